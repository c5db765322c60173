"""Which path a request may take now, by what this entry believes."""

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
    """Finds paths.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Engines, and which of them to avoid.
    taken : reservations.Reservations
        Memory that requests hold.
    budget : repeats.Repeats
        Knows the rate of requests.
    failure_domain : str
        Where this entry stands.
    random_source : random.Random
        Source of every random choice.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        beliefs: beliefs_module.Beliefs,
        taken: reservations.Reservations,
        budget: repeats.Repeats,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs
        self._taken = taken
        self._budget = budget
        self._domain = failure_domain
        self._random = random_source
        self._bounds: dict[str, tuple[int, dict[str, bounds.Bound]]] = {}

    def describe(
        self, service: str, avoid: set[str]
    ) -> choice.Situation | None:
        """Describe the engines of a service for a choice."""
        model = self._beliefs.find_model(service)
        if model is None:
            return None
        now = self._clock.now()
        engines = self._beliefs.list_servers(service, now)
        return choice.Situation(
            model,
            tuple(
                self._beliefs.moves.narrow(one)
                for one in engines
                if one.id not in avoid
            ),
            frozenset(self._beliefs.leaving),
            self._taken,
            self._beliefs.paces.select((one.id for one in engines), now),
            self._domain,
            self._random.random,
            may_cross=False,
            bounds=self._find_bounds(service, model),
        )

    def _find_bounds(
        self, service: str, model: fleet.Model
    ) -> dict[str, bounds.Bound]:
        """Compute the bounds of a service again when the list has changed."""
        revision = self._beliefs.revision
        known = self._bounds.get(service)
        if known is None or known[0] != revision:
            engines = [
                one
                for one in self._beliefs.servers.values()
                if one.service == service
            ]
            known = (revision, bounds.compute_bounds(model, engines))
            self._bounds[service] = known
        return known[1]

    def list_avoided(self, flight: flights.Flight) -> set[str]:
        """List the engines that a request should not use now."""
        now = self._clock.now()
        refusing = self._beliefs.refusals.select(self._beliefs.servers, now)
        return flight.exchange.list_avoided(now) | refusing

    def find(self, flight: flights.Flight) -> search.Path | choice.Lack | None:
        """Find a path; None for a service that is not known any more."""
        avoided = self.list_avoided(flight)
        situation = self.describe(flight.exchange.service, avoided)
        if situation is None:
            return None
        found = choice.choose_path(situation, flight.need)
        if isinstance(found, choice.Lack) and self._may_cross(
            flight, situation
        ):
            situation = attrs.evolve(situation, may_cross=True)
            found = choice.choose_path(situation, flight.need)
        if found is choice.Lack.NOT_COVERED and avoided:
            return self._look_past(flight, found)
        return found

    def _may_cross(
        self, flight: flights.Flight, situation: choice.Situation
    ) -> bool:
        """Draw once whether a request may take engines of several domains.

        A stream that has begun may: waiting longer would end it.
        """
        if flight.exchange.begun:
            return True
        if flight.may_cross is None:
            rate = self._budget.estimate_rate(flight.exchange.service)
            share = crossings.compute_share(situation.model, rate)
            flight.may_cross = self._random.random() < share
        return flight.may_cross

    def _look_past(
        self, flight: flights.Flight, lack: choice.Lack
    ) -> choice.Lack:
        """Tell whether only the servers that it avoids are missing."""
        situation = self.describe(flight.exchange.service, set())
        assert situation is not None
        found = choice.choose_path(situation, flight.need)
        return lack if isinstance(found, choice.Lack) else choice.Lack.NO_ROOM
