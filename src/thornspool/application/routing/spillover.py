"""Spillover of model requests to other failure domains.

Collects what ``domain_choice`` decides by, holds the state of its hysteresis,
and turns its decision into the cost of the other domains for one request.
"""

from __future__ import annotations

import copy
import statistics
import typing

import attrs

from thornspool.domain.paths import choice
from thornspool.domain.paths import domain_choice
from thornspool.domain.paths import search

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import in_flight as in_flight_module
    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import reservations

LOADS_VALID_MS = 100
"""Time for which measured loads are used; waiting requests look for a path
every 25 ms, and reports arrive every 200 ms and more."""

OBSERVED_VALID_MS = 3_000
"""Time for which an observed first event describes a domain, about the time
of a stream."""

MIN_OBSERVED = 3
"""First events from which their median is used; a single one may be late by
an engine that has just failed."""

NO_PATH = 'no_path'
"""Reason of requests that leave as their domain has no path."""

FIXED_COST = 'fixed_cost'
"""Reason of requests that leave by the fixed cost of other domains."""


@attrs.define
class _ServiceState:
    """State of one service.

    Attributes
    ----------
    export : domain_choice.ExportState
        Hysteresis and recent exports.
    decision : domain_choice.Export or None
        Last decision, for the metrics.
    loads : dict of str to domain_choice.DomainLoad
        Loads by failure domain.
    measured_at : int or None
        Time at which they were measured, in milliseconds.
    first_events : dict of str to list of tuple of int
        Times of recent first events and the milliseconds that they took, by
        failure domain.
    """

    export: domain_choice.ExportState = attrs.field(
        factory=domain_choice.ExportState
    )
    decision: domain_choice.Export | None = None
    loads: dict[str, domain_choice.DomainLoad] = attrs.field(factory=dict)
    measured_at: int | None = None
    first_events: dict[str, list[tuple[int, int]]] = attrs.field(factory=dict)


class Spillover:
    """Decides which model requests leave the failure domain of this entry.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    reserved : reservations.Reservations
        Engine memory that requests of all entries reserve.
    failure_domain : str
        Failure domain of this entry.
    random_source : random.Random
        Source of the draws.

    Attributes
    ----------
    is_enabled : bool
        Whether the deployment decides by loads; if not, the fixed costs of
        other domains apply.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        reserved: reservations.Reservations,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._reserved = reserved
        self._failure_domain = failure_domain
        self._random = random_source
        self._services: dict[str, _ServiceState] = {}
        self.is_enabled = True

    def detach(self, random_source: random.Random) -> Spillover:
        """Copy the state for a dry run, which changes only the copy."""
        detached = copy.copy(self)
        detached._random = random_source
        detached._services = copy.deepcopy(self._services)
        return detached

    def list_exports(self) -> dict[str, float]:
        """List the share of requests that leave now, by service."""
        return {
            service: sum(state.export.exported.values())
            for service, state in self._services.items()
        }

    def set_costs(
        self,
        in_flight: in_flight_module.InFlightRequest,
        fleet_snapshot: choice.FleetSnapshot,
        describe_fleet: Callable[[], choice.FleetSnapshot | None],
    ) -> choice.FleetSnapshot:
        """Set the costs of the other failure domains for a request.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request. A stream that has started keeps the fixed costs, as a
            longer search for a path would end it.
        fleet_snapshot : choice.FleetSnapshot
            State of the engines that the request may use.
        describe_fleet : callable
            Returns the state of all engines, with those that refuse requests.

        Returns
        -------
        choice.FleetSnapshot
            The state with the costs; unchanged in a fleet with one domain.
        """
        remote = {
            engine.failure_domain for engine in fleet_snapshot.engines
        } - {self._failure_domain}
        if (
            not remote
            or not self.is_enabled
            or in_flight.exchange.response_started
        ):
            return fleet_snapshot
        export = self._decide(in_flight, describe_fleet)
        in_flight.domain_reason = export.reason
        if export.reason in domain_choice.FIXED_COST_REASONS:
            return fleet_snapshot
        costs = dict.fromkeys(remote, choice.STAY_COST_MS)
        if export.shares:
            if in_flight.domain_draw is None:
                in_flight.domain_draw = self._random.random()
            chosen = export.choose(in_flight.domain_draw)
            if chosen is not None:
                costs[chosen] = _compute_min_gain(in_flight)
        return attrs.evolve(fleet_snapshot, remote_costs=costs)

    def _decide(
        self,
        in_flight: in_flight_module.InFlightRequest,
        describe_fleet: Callable[[], choice.FleetSnapshot | None],
    ) -> domain_choice.Export:
        """Decide about a request by the loads of all domains."""
        now = self._clock.now()
        exchange = in_flight.exchange
        state = self._services.setdefault(exchange.service, _ServiceState())
        loads = {}
        if self._has_reports(now):
            self._measure(state, describe_fleet, now)
            loads = {
                domain: self._add_observed(state, load, now)
                for domain, load in state.loads.items()
                if domain not in self._reserved.silent_domains
            }
        own = loads.pop(self._failure_domain, None)
        if own is not None:
            state.export.update_share(own.share)
        export = domain_choice.decide_export(
            own,
            list(loads.values()),
            domain_choice.Target(
                exchange.route.target_latency_ms,
                exchange.route.target_gap_ms,
                _compute_min_gain(in_flight),
            ),
            state.export,
        )
        state.export.record_export(export.shares, now)
        state.decision = export
        return export

    def _has_reports(self, now: int) -> bool:
        reported_at = self._reserved.reported_at
        return (
            reported_at is not None
            and now - reported_at <= domain_choice.MAX_REPORT_AGE_MS
        )

    def _measure(
        self,
        state: _ServiceState,
        describe_fleet: Callable[[], choice.FleetSnapshot | None],
        now: int,
    ) -> None:
        """Measure the loads of all domains, unless they are recent.

        The engines that a single request has to avoid are included, as other
        requests decide by the same loads, and so are those that refuse
        requests: without its full engines, a domain looks less loaded.
        """
        if (
            state.measured_at is not None
            and now - state.measured_at < LOADS_VALID_MS
        ):
            return
        fleet_snapshot = describe_fleet()
        if fleet_snapshot is None:
            return
        state.measured_at = now
        state.loads = domain_choice.measure_loads(
            fleet_snapshot.model,
            fleet_snapshot.engines,
            self._reserved,
            lambda name: fleet_snapshot.slowdowns.get(name, 1.0),
        )

    def _add_observed(
        self,
        state: _ServiceState,
        load: domain_choice.DomainLoad,
        now: int,
    ) -> domain_choice.DomainLoad:
        """Replace the estimated first event by observed ones if later."""
        recent = [
            took_ms
            for at, took_ms in state.first_events.get(load.domain, ())
            if now - at <= OBSERVED_VALID_MS
        ]
        if len(recent) < MIN_OBSERVED:
            return load
        return attrs.evolve(
            load,
            first_event_ms=max(load.first_event_ms, statistics.median(recent)),
        )

    def record_first_event(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        now: int,
    ) -> None:
        """Record the time to the first event of a request.

        In the own domain it includes the wait for a path; in another one it
        begins with the send, as the wait is that of the own domain.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        run : in_flight_module.OpenRun
            The run that delivered the event.
        now : int
            Milliseconds of the clock.
        """
        state = self._services.get(in_flight.exchange.service)
        if state is None:
            return
        domain = run.first_server.failure_domain
        began_at = (
            in_flight.exchange.request.arrived_at
            if domain == self._failure_domain
            else run.sent_at
        )
        times = state.first_events.setdefault(domain, [])
        times.append((now, now - began_at))
        while now - times[0][0] > OBSERVED_VALID_MS:
            times.pop(0)

    def record_choice(
        self,
        in_flight: in_flight_module.InFlightRequest,
        found: search.Path | choice.NoPathReason,
    ) -> None:
        """Record why a path is outside the own domain.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        found : search.Path or choice.NoPathReason
            What was found for it.
        """
        if isinstance(found, choice.NoPathReason):
            return
        if not found.has_local_path:
            in_flight.exit_reason = NO_PATH
        elif in_flight.domain_reason is domain_choice.Reason.LATE:
            in_flight.exit_reason = domain_choice.Reason.LATE.value
        else:
            in_flight.exit_reason = FIXED_COST

    def record_send(
        self,
        in_flight: in_flight_module.InFlightRequest,
        first_server: fleet.Server,
    ) -> None:
        """Record that a request is sent to an engine.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        first_server : fleet.Server
            Engine that receives it.
        """
        if first_server.failure_domain != self._failure_domain:
            exchange = in_flight.exchange
            exchange.left_domain = in_flight.exit_reason
            exchange.link_bytes += len(exchange.request.body)

    def record_events(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        event_bytes: int,
    ) -> None:
        """Record bytes of events that an engine has sent.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        run : in_flight_module.OpenRun
            The run that delivered the events.
        event_bytes : int
            Bytes of the events.
        """
        if run.first_server.failure_domain != self._failure_domain:
            in_flight.exchange.link_bytes += event_bytes


def _estimate_bytes(in_flight: in_flight_module.InFlightRequest) -> float:
    return domain_choice.estimate_bytes(
        len(in_flight.exchange.request.body),
        in_flight.request_size.output_tokens,
    )


def _compute_min_gain(in_flight: in_flight_module.InFlightRequest) -> float:
    return domain_choice.compute_min_gain(_estimate_bytes(in_flight))
