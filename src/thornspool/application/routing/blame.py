"""Attribution of failed runs to engines."""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import beliefs as beliefs_module

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module
    from thornspool.application.routing import flights
    from thornspool.application.routing import ports
    from thornspool.domain.fleet import messages as fleet

MAX_USUAL_SIZE_RATIO = 1.5
"""Size of a request, as a multiple of the usual size, above which a refusal
says nothing about other requests.
"""

_MISDIRECTED_STATUS = 421

logger = structlog.get_logger(__name__)


class FaultAttribution:
    """Records which engine caused the failure of a run.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Routing state in which failures are recorded.
    """

    def __init__(
        self, clock: clock_module.Clock, beliefs: beliefs_module.Beliefs
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs

    def record_unreachable(self, server: fleet.Server | None) -> None:
        """Suspect an engine to which no connection could be opened.

        Parameters
        ----------
        server : fleet.Server or None
            The engine; None when the run had no path.
        """
        if server is not None:
            self._beliefs.suspect(
                server.id, beliefs_module.NOT_REACHED, self._clock.now()
            )

    def record_refusal(self, flight: flights.Flight, head: ports.Head) -> None:
        """Exclude the engine that reports that it has not run a request.

        Parameters
        ----------
        flight : flights.Flight
            The refused request.
        head : ports.Head
            Head of the answer, which names the refusing engine.
        """
        refusing = flight.find_server(head.fault_address)
        if refusing is None:
            return
        now = self._clock.now()
        flight.exchange.avoid([refusing.id], now)
        if self._has_usual_size(flight) and self._beliefs.refusals.note(
            refusing.id, now
        ):
            self._beliefs.probe_candidates.add(refusing.id)
        if head.status == _MISDIRECTED_STATUS:
            # The server list is outdated: the address belongs to another
            # engine, or the engine has changed.
            self._beliefs.suspect(refusing.id, beliefs_module.MISDIRECTED, now)
        logger.info(
            'run_refused',
            id=flight.exchange.inquiry.id,
            status=head.status,
            server=refusing.id,
        )

    def _has_usual_size(self, flight: flights.Flight) -> bool:
        """Return whether a request is of at most about the usual size.

        An engine that refuses such a request has no free capacity at all. A
        large request may not fit where all others do.
        """
        model = self._beliefs.find_model(flight.exchange.service)
        if model is None:
            return False
        usual_tokens = model.usual_prompt + model.usual_answer
        return flight.need.tokens <= MAX_USUAL_SIZE_RATIO * usual_tokens

    def record_broken_run(self, flight: flights.Flight) -> None:
        """Exclude the first engine of a broken run for this request.

        An engine that breaks runs before it answers at all may be excluded for
        all requests.

        Parameters
        ----------
        flight : flights.Flight
            The request whose run broke.
        """
        first_server = flight.first_server
        if first_server is None:
            return
        now = self._clock.now()
        flight.exchange.avoid([first_server.id], now)
        if flight.head is None:
            self._beliefs.note_broken_run(first_server.id, now)
