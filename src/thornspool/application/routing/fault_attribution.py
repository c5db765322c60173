"""Attribution of failed runs to engines."""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import (
    routing_state as routing_state_module,
)

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module
    from thornspool.application.routing import in_flight as in_flight_module
    from thornspool.application.routing import ports
    from thornspool.application.routing import server_evidence

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
    routing_state : routing_state_module.RoutingState
        Routing state in which failures are recorded.
    evidence : server_evidence.ServerEvidence
        Decides which failures count.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        evidence: server_evidence.ServerEvidence,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._evidence = evidence

    def record_refusal(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        head: ports.ResponseHead,
    ) -> None:
        """Exclude the engine that reports that it has not run a request.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The refused request.
        run : in_flight_module.OpenRun
            The run that the engine has refused.
        head : ports.ResponseHead
            Head of the answer, which names the refusing engine.
        """
        refusing = run.find_server(head.fault_address)
        now = self._clock.now()
        in_flight.exchange.exclude([refusing.id], now)
        if self._has_usual_size(
            in_flight
        ) and self._routing_state.refusals.record(refusing.id, now):
            self._routing_state.probe_candidates.add(refusing.id)
        if head.status == _MISDIRECTED_STATUS:
            # The server list is outdated: the address belongs to another
            # engine, or the engine has changed.
            self._routing_state.suspect(
                refusing.id, routing_state_module.MISDIRECTED, now
            )
        logger.info(
            'run_refused',
            id=in_flight.exchange.request.id,
            status=head.status,
            server=refusing.id,
        )

    def _has_usual_size(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> bool:
        """Return whether a request is of at most about the usual size.

        An engine that refuses such a request has no free capacity at all. A
        large request may not fit where all others do.
        """
        model = self._routing_state.find_model(in_flight.exchange.service)
        if model is None:
            return False
        usual_tokens = model.usual_prompt + model.usual_answer
        return (
            in_flight.request_size.tokens
            <= MAX_USUAL_SIZE_RATIO * usual_tokens
        )

    def record_broken_run(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
    ) -> None:
        """Exclude the first engine of a broken run for this request.

        An engine that breaks runs before it answers at all may be excluded for
        all requests.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request whose run broke.
        run : in_flight_module.OpenRun
            The run.
        """
        first_server = run.first_server
        now = self._clock.now()
        in_flight.exchange.exclude([first_server.id], now)
        if run.head is None:
            self._evidence.record_failure(
                first_server,
                now,
                lambda: self._routing_state.record_broken_run(
                    first_server.id, self._clock.now()
                ),
            )
