"""Which engine is at fault when a run does not come about or breaks."""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import beliefs as beliefs_module

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module
    from thornspool.application.routing import flights
    from thornspool.application.routing import ports
    from thornspool.domain.fleet import messages as fleet

LARGE_FACTOR = 1.5
"""Size, in usual requests, above which a refusal says nothing of others."""

_MISDIRECTED = 421

logger = structlog.get_logger(__name__)


class Blame:
    """Notes what runs tell of engines.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Where it is noted.
    """

    def __init__(
        self, clock: clock_module.Clock, beliefs: beliefs_module.Beliefs
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs

    def note_not_reached(self, server: fleet.Server | None) -> None:
        """Note an engine to which no connection came about."""
        if server is not None:
            self._beliefs.suspect(
                server.id, beliefs_module.NOT_REACHED, self._clock.now()
            )

    def note_refusal(self, flight: flights.Flight, head: ports.Head) -> None:
        """Note who states not to have run a request, and leave it out."""
        blamed = flight.find_server(head.fault_address)
        if blamed is None:
            return
        now = self._clock.now()
        flight.exchange.avoid([blamed.id], now)
        if self._is_usual(flight) and self._beliefs.refusals.note(
            blamed.id, now
        ):
            self._beliefs.doubted.add(blamed.id)
        if head.status == _MISDIRECTED:
            # The list is behind: it is not the one, or not what it was.
            self._beliefs.suspect(blamed.id, beliefs_module.MISDIRECTED, now)
        logger.info(
            'run_refused',
            id=flight.exchange.inquiry.id,
            status=head.status,
            server=blamed.id,
        )

    def _is_usual(self, flight: flights.Flight) -> bool:
        """Tell whether an engine that refuses a request has no room at all.

        A large request may find no room where all others do.
        """
        model = self._beliefs.find_model(flight.exchange.service)
        if model is None:
            return False
        usual = model.usual_prompt + model.usual_answer
        return flight.need.tokens <= LARGE_FACTOR * usual

    def note_broken(self, flight: flights.Flight) -> None:
        """Avoid the first engine of a run that broke, for this request.

        One that breaks runs before it answers at all may be left out for
        all requests.
        """
        first = flight.first_server
        if first is None:
            return
        now = self._clock.now()
        flight.exchange.avoid([first.id], now)
        if flight.head is None:
            self._beliefs.note_broken_run(first.id, now)
