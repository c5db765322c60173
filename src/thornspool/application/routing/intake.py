"""The first decisions about a request: may it be served here and now."""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import exchanges
from thornspool.application.routing import streams as streams_module
from thornspool.domain.freshness import proofs
from thornspool.domain.routing import messages as routing

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module
    from thornspool import metrics as metrics_module
    from thornspool.application.routing import beliefs as beliefs_module
    from thornspool.application.routing import calls
    from thornspool.application.routing import ports
    from thornspool.domain.fleet import timings

NOT_READY_RETRY_MS = 700
"""Retry-After of an entry that can't serve yet; it reads its configuration
within some 100 ms of its start, and the store's outages last for seconds."""

logger = structlog.get_logger(__name__)


class Intake:
    """Matches requests with routes and workspaces and passes them on.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Configuration and its proof.
    streams : streams_module.StreamService
        Serves model requests.
    calls : calls.CallService
        Serves the others.
    metrics : metrics_module.Metrics
        Counts outcomes.
    withdrawn_key_ms : int
        Time after which a withdrawn key must not work.
    random_source : random.Random
        Chooses services by weight.
    do_others_serve : callable, optional
        Tells whether other entries are current while this one may not be.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        beliefs: beliefs_module.Beliefs,
        streams: streams_module.StreamService,
        calls: calls.CallService,
        metrics: metrics_module.Metrics,
        withdrawn_key_ms: int,
        random_source: random.Random,
        do_others_serve: Callable[[], bool] = lambda: False,
    ) -> None:
        self._clock = clock
        self._do_others_serve = do_others_serve
        self._beliefs = beliefs
        self._streams = streams
        self._calls = calls
        self._metrics = metrics
        self.key_bound_ms = withdrawn_key_ms * proofs.KEY_AGE_SHARE
        self._random = random_source
        self.in_flight = 0
        self.refuses_new = False

    def is_fresh(self) -> bool:
        """Tell whether requests with a key may be served."""
        return self._beliefs.proof.is_within(
            self.key_bound_ms, self._clock.now()
        )

    def serve(self, inquiry: ports.Inquiry, reply: ports.Reply) -> None:
        """Serve a request."""
        configuration = self._beliefs.configuration
        if configuration is None:
            self._refuse(
                inquiry, reply, 503, 'no_configuration', NOT_READY_RETRY_MS
            )
            return
        if self.refuses_new:
            self._refuse(
                inquiry,
                reply,
                503,
                'draining',
                streams_module.DRAINING_RETRY_MS,
            )
            return
        route = configuration.find_route(inquiry.host, inquiry.path)
        if route is None:
            self._refuse(inquiry, reply, 404, 'no_route')
            return
        workspace = None
        if configuration.needs_keys and not route.anonymous:
            # A key that was withdrawn must stop working also here when the
            # store no longer talks to this host.
            if not self.is_fresh():
                self._refuse(
                    inquiry,
                    reply,
                    503,
                    'not_current',
                    self._choose_outdated_retry(),
                )
                return
            workspace = configuration.workspaces.get(inquiry.key or '')
            if workspace is None:
                self._refuse(inquiry, reply, 401, 'unknown_key')
                return
        exchange = exchanges.Exchange(
            inquiry,
            reply,
            route,
            workspace,
            routing.choose_service(route, self._random.random()),
            configuration.version,
            self._note_end,
        )
        self.in_flight += 1
        if self._beliefs.find_model(exchange.service) is not None:
            self._streams.serve(exchange)
        else:
            self._calls.serve(exchange)

    def _choose_outdated_retry(self) -> int:
        """Choose when a caller may return whose key can't be checked.

        Where the store turns single hosts away, another entry serves at
        once, and a longer wait alone would make the request late.
        """
        if self._do_others_serve():
            return streams_module.DRAINING_RETRY_MS
        return NOT_READY_RETRY_MS

    def _refuse(
        self,
        inquiry: ports.Inquiry,
        reply: ports.Reply,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
    ) -> None:
        now = self._clock.now()
        configuration = self._beliefs.configuration
        reply.refuse(status, reason, retry_after_ms)
        logger.info(
            'request_refused',
            id=inquiry.id,
            asked_host=inquiry.host,
            path=inquiry.path,
            status=status,
            reason=reason,
            configuration=None
            if configuration is None
            else configuration.version,
            proof_age_ms=self._beliefs.proof.compute_age(now),
        )
        self._metrics.count_event(f'refused_{reason}')

    def _note_end(self, exchange: exchanges.Exchange, outcome: str) -> None:
        self.in_flight -= 1
        now = self._clock.now()
        inquiry = exchange.inquiry
        first = exchange.first_event_at
        logger.info(
            'request_ended',
            id=inquiry.id,
            route=exchange.route.name,
            outcome=outcome,
            reason=exchange.note,
            workspace=exchange.workspace_name,
            service=exchange.service,
            configuration=exchange.version,
            sends=exchange.sends,
            runs=exchange.runs,
            path=exchange.path,
            first_ms=None if first is None else first - inquiry.arrived_at,
            took_ms=now - inquiry.arrived_at,
            target_ms=exchange.route.target_latency_ms,
            target_pause_ms=exchange.route.target_gap_ms,
            **describe_timing(exchange.timing),
        )
        self._metrics.count_request(
            exchange.route.kind.value,
            '',
            outcome,
            now - inquiry.arrived_at,
        )
        if first is not None:
            self._metrics.observe_first_token('', first - inquiry.arrived_at)


def describe_timing(timing: timings.StreamTiming) -> dict[str, typing.Any]:
    """Describe the waits and pauses of a stream for the log."""
    if not timing.first_cause:
        return {'waited_ms': timing.waited_ms} if timing.waited_ms else {}
    return {
        'waited_ms': timing.waited_ms,
        'first_cause': timing.first_cause,
        'pause_ms': timing.longest_pause_ms,
        'pause_cause': timing.pause_cause,
    }
