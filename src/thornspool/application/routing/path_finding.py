"""Selection of a path for a request from the local routing state."""

from __future__ import annotations

import copy
import typing

import attrs

from thornspool.application.routing import spillover
from thornspool.domain.admission import path_memory
from thornspool.domain.paths import bounds
from thornspool.domain.paths import choice
from thornspool.domain.paths import crossings
from thornspool.domain.paths import reservations
from thornspool.domain.paths import search

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import admission_control
    from thornspool.application.routing import in_flight as in_flight_module
    from thornspool.application.routing import retry_pools
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.application.routing import server_limits
    from thornspool.domain.fleet import messages as fleet


@attrs.frozen
class EngineMemory:
    """Memory of the engines of a service for requests.

    Attributes
    ----------
    capacity_tokens, free_tokens : float
        Tokens for which there is memory on whole paths, and of these those
        that are not reserved.
    """

    capacity_tokens: float
    free_tokens: float


@attrs.frozen
class PathSearch:
    """Search for a path for a request.

    Attributes
    ----------
    found : search.Path or choice.NoPathReason
        The path, or the reason why none exists.
    fleet_snapshot : choice.FleetSnapshot
        State of the engines for the request.
    domain_paths : sequence of choice.DomainPath
        Paths of the failure domains that were searched.
    """

    found: search.Path | choice.NoPathReason
    fleet_snapshot: choice.FleetSnapshot
    domain_paths: Sequence[choice.DomainPath]


class PathFinder:
    """Finds paths for requests.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Routing state with the engines and their exclusions.
    limits : server_limits.ServerLimits
        Limits that servers name.
    reserved : reservations.Reservations
        Engine memory that requests reserve.
    budget : retry_pools.RetryPools
        Retry budget, which estimates the request rate.
    control : admission_control.AdmissionControl
        Demand of all entries for the memory of the engines.
    failure_domain : str
        Failure domain of this entry.
    random_source : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        limits: server_limits.ServerLimits,
        reserved: reservations.Reservations,
        budget: retry_pools.RetryPools,
        control: admission_control.AdmissionControl,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self.limits = limits
        self.reservations = reserved
        self._budget = budget
        self.control = control
        self._failure_domain = failure_domain
        self._random = random_source
        self._bounds: dict[str, tuple[int, dict[str, bounds.Bound]]] = {}
        self.spillover = spillover.Spillover(
            clock, reserved, failure_domain, random_source
        )

    def detach(self, random_source: random.Random) -> PathFinder:
        """Copy the finder for a dry run, which changes only the copy.

        Parameters
        ----------
        random_source : random.Random
            Source of the random choices of the copy.
        """
        detached = copy.copy(self)
        detached._random = random_source
        detached._bounds = dict(self._bounds)
        detached._budget = self._budget.detach()
        detached.limits = self.limits.detach()
        detached.control = self.control.detach(random_source)
        detached.spillover = self.spillover.detach(random_source)
        return detached

    def describe(
        self, service: str, excluded: set[str]
    ) -> choice.FleetSnapshot | None:
        """Collect what the choice of a path depends on.

        Parameters
        ----------
        service : str
            Service of the request.
        excluded : set of str
            Ids of the engines to exclude.

        Returns
        -------
        choice.FleetSnapshot or None
            None when the service has no model or is not in the configuration.
        """
        model = self._routing_state.find_model(service)
        if model is None:
            return None
        now = self._clock.now()
        engines = self._routing_state.list_servers(service, now)
        return choice.FleetSnapshot(
            model,
            tuple(
                self._routing_state.retained_ranges.narrow(engine)
                for engine in engines
                if engine.id not in excluded
            ),
            frozenset(self._routing_state.leaving),
            self.reservations,
            self._routing_state.slowdowns.select(
                (engine.id for engine in engines), now
            ),
            self._failure_domain,
            self._random.random,
            allow_crossing=False,
            bounds=self._find_bounds(service, model),
            exhausted=frozenset(self.limits.select_exhausted(engines)),
        )

    def _find_bounds(
        self, service: str, model: fleet.Model
    ) -> dict[str, bounds.Bound]:
        """Return the bounds of a service, recomputed after a change."""
        revision = self._routing_state.revision
        cached = self._bounds.get(service)
        if cached is None or cached[0] != revision:
            engines = [
                server
                for server in self._routing_state.servers.values()
                if server.service == service
            ]
            cached = (revision, bounds.compute_bounds(model, engines))
            self._bounds[service] = cached
        return cached[1]

    def measure_memory(self, service: str) -> EngineMemory:
        """Measure the memory of the engines that a service can use now.

        Parameters
        ----------
        service : str
            The service.
        """
        model = self._routing_state.find_model(service)
        if model is None:
            return EngineMemory(0.0, 0.0)
        capacity: list[path_memory.EngineAmount] = []
        free: list[path_memory.EngineAmount] = []
        for engine in self._routing_state.list_servers(
            service, self._clock.now()
        ):
            if engine.layers is None:
                continue
            own = model.compute_free_capacity(engine.kind, engine.layers.count)
            usable = own * reservations.MAX_RESERVED_SHARE
            reserved = self.reservations.compute_reserved(engine.id)
            amount = path_memory.EngineAmount(
                engine.failure_domain,
                engine.layers.first,
                engine.layers.end,
                own,
            )
            capacity.append(amount)
            free.append(
                attrs.evolve(amount, token_layers=max(0.0, usable - reserved))
            )
        return EngineMemory(
            path_memory.compute_path_tokens(capacity, model.layers),
            path_memory.compute_path_tokens(free, model.layers),
        )

    def list_excluded(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> set[str]:
        """List the engines that a request should not use now.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.

        Returns
        -------
        set of str
            Ids of the engines that are excluded for this or for all requests.
        """
        now = self._clock.now()
        servers = self._routing_state.servers
        excluded = self._routing_state.refusals.select(servers, now)
        excluded.update(self._routing_state.rests.select(servers, now))
        return in_flight.exchange.list_excluded(now) | excluded

    def find(
        self,
        in_flight: in_flight_module.InFlightRequest,
        avoided: Iterable[str] = (),
    ) -> search.Path | choice.NoPathReason | None:
        """Find a path for a request.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        avoided : iterable of str, optional
            Ids of further engines to exclude.

        Returns
        -------
        search.Path, choice.NoPathReason or None
            The path, or the reason why none exists; None when the service is
            no longer in the configuration.
        """
        path_search = self.search(in_flight, avoided)
        return None if path_search is None else path_search.found

    def search(
        self,
        in_flight: in_flight_module.InFlightRequest,
        avoided: Iterable[str] = (),
        is_exhaustive: bool = False,
    ) -> PathSearch | None:
        """Find a path like ``find``, and return what it was chosen from.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        avoided : iterable of str, optional
            Ids of further engines to exclude.
        is_exhaustive : bool, optional
            Whether to search also domains that can't have the cheapest path.

        Returns
        -------
        PathSearch or None
            None when the service is no longer in the configuration.
        """
        excluded = self.list_excluded(in_flight).union(avoided)
        fleet_snapshot = self.describe(in_flight.exchange.service, excluded)
        if fleet_snapshot is None:
            return None
        fleet_snapshot = self.spillover.set_costs(
            in_flight,
            fleet_snapshot,
            lambda: self.describe(in_flight.exchange.service, set()),
        )
        if fleet_snapshot.exhausted and not in_flight.exchange.demanded:
            self._record_demand(in_flight, fleet_snapshot)
        fleet_snapshot = attrs.evolve(
            fleet_snapshot, max_reserved_share=in_flight.max_reserved_share
        )
        if in_flight.exchange.response_started:
            # A stream that has begun would end if it had to wait.
            fleet_snapshot = attrs.evolve(fleet_snapshot, max_start_share=1.0)
        size = in_flight.request_size
        domain_paths = choice.search_domains(
            fleet_snapshot, size, is_exhaustive
        )
        found = choice.choose_path(fleet_snapshot, size, domain_paths)
        if isinstance(found, choice.NoPathReason) and self._may_cross(
            in_flight, fleet_snapshot
        ):
            fleet_snapshot = attrs.evolve(fleet_snapshot, allow_crossing=True)
            found = choice.choose_path(fleet_snapshot, size, domain_paths)
        self.spillover.record_choice(in_flight, found)
        if found is choice.NoPathReason.NOT_COVERED and excluded:
            found = self._find_reason_with_excluded(in_flight, found)
        return PathSearch(found, fleet_snapshot, domain_paths)

    def _record_demand(
        self,
        in_flight: in_flight_module.InFlightRequest,
        fleet_snapshot: choice.FleetSnapshot,
    ) -> None:
        """Record demand for the engine that would receive the request.

        It is the first engine of the path that would be chosen if no limit
        were used up.
        """
        preferred = choice.choose_path(
            attrs.evolve(fleet_snapshot, exhausted=frozenset()),
            in_flight.request_size,
        )
        if isinstance(preferred, search.Path):
            self.limits.record_demand(
                preferred.hops[0].server.id, in_flight.exchange
            )

    def _may_cross(
        self,
        in_flight: in_flight_module.InFlightRequest,
        fleet_snapshot: choice.FleetSnapshot,
    ) -> bool:
        """Decide whether a path may use engines of several failure domains.

        This is drawn once for each request. A stream that has started always
        may, as a longer wait would end it.
        """
        if in_flight.exchange.response_started:
            return True
        if in_flight.may_cross is None:
            rate = self._budget.estimate_rate(in_flight.exchange.service)
            share = crossings.compute_share(fleet_snapshot.model, rate)
            in_flight.may_cross = self._random.random() < share
        return in_flight.may_cross

    def compute_rest(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> int | None:
        """Compute when enough engines have rested for a path to exist.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.

        Returns
        -------
        int or None
            Milliseconds; None if a path does not depend on engines that want
            rest.
        """
        rests = self._routing_state.rests.select(
            self._routing_state.servers, self._clock.now()
        )
        for rest_ms in sorted(set(rests.values())):
            resting = {name for name, left in rests.items() if left > rest_ms}
            rested = set(rests) - resting
            fleet_snapshot = self.describe(
                in_flight.exchange.service,
                self.list_excluded(in_flight) - rested,
            )
            if fleet_snapshot is None:
                return None
            found = choice.choose_path(
                attrs.evolve(
                    fleet_snapshot, exhausted=fleet_snapshot.exhausted - rested
                ),
                in_flight.request_size,
            )
            if isinstance(found, search.Path):
                return rest_ms
        return None

    def _find_reason_with_excluded(
        self,
        in_flight: in_flight_module.InFlightRequest,
        no_path_reason: choice.NoPathReason,
    ) -> choice.NoPathReason:
        """Return the reason why no path exists when engines are excluded.

        Where a path exists with the excluded engines, the request only has to
        wait for one of them.
        """
        if self.compute_rest(in_flight) is not None:
            return choice.NoPathReason.LIMITED
        fleet_snapshot = self.describe(in_flight.exchange.service, set())
        assert fleet_snapshot is not None
        found = choice.choose_path(fleet_snapshot, in_flight.request_size)
        if (
            isinstance(found, search.Path)
            or found is choice.NoPathReason.NO_CAPACITY
        ):
            return choice.NoPathReason.NO_CAPACITY
        return no_path_reason
