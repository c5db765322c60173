"""Selection of a path for a request from the local routing state."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.paths import bounds
from thornspool.domain.paths import choice
from thornspool.domain.paths import crossings

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import beliefs as beliefs_module
    from thornspool.application.routing import flights
    from thornspool.application.routing import repeats
    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import reservations
    from thornspool.domain.paths import search


class PathFinder:
    """Finds paths for requests.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Routing state with the engines and their exclusions.
    reserved : reservations.Reservations
        Engine memory that requests reserve.
    budget : repeats.Repeats
        Retry budget, which estimates the request rate.
    failure_domain : str
        Failure domain of this entry.
    random_source : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        beliefs: beliefs_module.Beliefs,
        reserved: reservations.Reservations,
        budget: repeats.Repeats,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs
        self._reservations = reserved
        self._budget = budget
        self._failure_domain = failure_domain
        self._random = random_source
        self._bounds: dict[str, tuple[int, dict[str, bounds.Bound]]] = {}

    def describe(
        self, service: str, excluded: set[str]
    ) -> choice.Situation | None:
        """Collect what the choice of a path depends on.

        Parameters
        ----------
        service : str
            Service of the request.
        excluded : set of str
            Ids of the engines to exclude.

        Returns
        -------
        choice.Situation or None
            None when the service has no model or is not in the configuration.
        """
        model = self._beliefs.find_model(service)
        if model is None:
            return None
        now = self._clock.now()
        engines = self._beliefs.list_servers(service, now)
        return choice.Situation(
            model,
            tuple(
                self._beliefs.moves.narrow(engine)
                for engine in engines
                if engine.id not in excluded
            ),
            frozenset(self._beliefs.leaving),
            self._reservations,
            self._beliefs.paces.select((engine.id for engine in engines), now),
            self._failure_domain,
            self._random.random,
            may_cross=False,
            bounds=self._find_bounds(service, model),
        )

    def _find_bounds(
        self, service: str, model: fleet.Model
    ) -> dict[str, bounds.Bound]:
        """Return the bounds of a service, recomputed after a change."""
        revision = self._beliefs.revision
        cached = self._bounds.get(service)
        if cached is None or cached[0] != revision:
            engines = [
                server
                for server in self._beliefs.servers.values()
                if server.service == service
            ]
            cached = (revision, bounds.compute_bounds(model, engines))
            self._bounds[service] = cached
        return cached[1]

    def list_avoided(self, flight: flights.Flight) -> set[str]:
        """List the engines that a request should not use now.

        Parameters
        ----------
        flight : flights.Flight
            The request.

        Returns
        -------
        set of str
            Ids of the engines that are excluded for this or for all requests.
        """
        now = self._clock.now()
        excluded = self._beliefs.refusals.select(self._beliefs.servers, now)
        return flight.exchange.list_avoided(now) | excluded

    def find(self, flight: flights.Flight) -> search.Path | choice.Lack | None:
        """Find a path for a request.

        Parameters
        ----------
        flight : flights.Flight
            The request.

        Returns
        -------
        search.Path, choice.Lack or None
            The path, or the reason why none exists; None when the service is
            no longer in the configuration.
        """
        excluded = self.list_avoided(flight)
        situation = self.describe(flight.exchange.service, excluded)
        if situation is None:
            return None
        found = choice.choose_path(situation, flight.need)
        if isinstance(found, choice.Lack) and self._may_cross(
            flight, situation
        ):
            situation = attrs.evolve(situation, may_cross=True)
            found = choice.choose_path(situation, flight.need)
        if found is choice.Lack.NOT_COVERED and excluded:
            return self._find_reason_with_excluded(flight, found)
        return found

    def _may_cross(
        self, flight: flights.Flight, situation: choice.Situation
    ) -> bool:
        """Decide whether a path may use engines of several failure domains.

        This is drawn once for each request. A stream that has started always
        may, as a longer wait would end it.
        """
        if flight.exchange.begun:
            return True
        if flight.may_cross is None:
            rate = self._budget.estimate_rate(flight.exchange.service)
            share = crossings.compute_share(situation.model, rate)
            flight.may_cross = self._random.random() < share
        return flight.may_cross

    def _find_reason_with_excluded(
        self, flight: flights.Flight, no_path_reason: choice.Lack
    ) -> choice.Lack:
        """Return the reason why no path exists when engines are excluded.

        Where a path exists with the excluded engines, the request only has to
        wait for one of them.
        """
        situation = self.describe(flight.exchange.service, set())
        assert situation is not None
        found = choice.choose_path(situation, flight.need)
        return (
            no_path_reason
            if isinstance(found, choice.Lack)
            else choice.Lack.NO_ROOM
        )
