"""Admission and routing of caller requests.

Checks that a request can be served by this entry, matches it with a route and
a workspace, and passes it to the service that handles it.
"""

from __future__ import annotations

import typing

import structlog

from thornspool.application.routing import containment
from thornspool.application.routing import exchanges
from thornspool.application.routing import streams as streams_module
from thornspool.domain.clients import connections
from thornspool.domain.quarantine import fingerprints
from thornspool.domain.routing import decisions
from thornspool.domain.routing import messages as routing

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module
    from thornspool import metrics as metrics_module
    from thornspool.application.routing import calls
    from thornspool.application.routing import ports
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.domain.fleet import timings
    from thornspool.domain.freshness import age_limits

NOT_READY_RETRY_MS = 700
"""Retry-After of an entry that can't serve yet. An entry reads its
configuration within about 100 ms of its start; store outages last seconds."""

_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_NOT_CONFIRMED_REASONS = frozenset(
    {'route_not_confirmed', 'key_not_confirmed'}
)
_DENIAL_STATUSES = {'no_route': 404, 'unknown_key': 401}

logger = structlog.get_logger(__name__)


class Intake:
    """Matches requests with routes and workspaces and dispatches them.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Configuration and its freshness.
    streams : streams_module.StreamService
        Serves requests to models.
    calls : calls.CallService
        Serves requests to plain services.
    metrics : metrics_module.Metrics
        Counts requests, outcomes and refusals.
    limits : age_limits.AgeLimits
        Ages up to which the copy of the store supports a decision.
    random_source : random.Random
        Source of randomness for the choice of services by weight.
    is_peer_current : callable, optional
        Returns whether another entry's copy may be within an age in
        milliseconds.

    Attributes
    ----------
    find_newest_version : callable
        Returns the newest version that any peer has announced.
    confirm_copy : callable
        Confirms the copy and then calls a function; returns False if this
        can't be done now.
    describe_copy : callable
        Returns fields for the log line of a refusal.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        streams: streams_module.StreamService,
        calls: calls.CallService,
        metrics: metrics_module.Metrics,
        limits: age_limits.AgeLimits,
        random_source: random.Random,
        is_peer_current: Callable[[float], bool] = lambda age_ms: False,
    ) -> None:
        self._clock = clock
        self._is_peer_current = is_peer_current
        self._routing_state = routing_state
        self._streams = streams
        self._calls = calls
        self._metrics = metrics
        self._limits = limits
        self._random = random_source
        self.find_newest_version: Callable[[], int] = lambda: 0
        self.confirm_copy: Callable[[Callable[[], None]], bool] = (
            lambda on_end: False
        )
        self.describe_copy: Callable[[], dict[str, typing.Any]] = dict
        self.in_flight = 0
        self.is_draining = False
        self._is_closing = False

    def begin_closing(self) -> None:
        """Record that this entry closes the remaining connections itself."""
        self._is_closing = True

    def is_current(self) -> bool:
        """Return whether requests with a key may be served."""
        return self._routing_state.freshness.is_within(
            self._limits.key_ms, self._clock.now()
        )

    def serve(
        self, request: ports.Request, reply: ports.ResponseWriter
    ) -> None:
        """Serve a request, once the copy is confirmed if that is needed."""
        decision = self.decide(request)

        def serve_confirmed() -> None:
            self.in_flight -= 1
            try:
                self._serve_decided(request, reply, self.decide(request))
            except Exception:
                logger.exception('request_failed', id=request.id)
                reply.refuse(_INTERNAL_ERROR, 'internal')

        if (
            decision.reason in _NOT_CONFIRMED_REASONS
            and not self.is_draining
            and self.confirm_copy(serve_confirmed)
        ):
            self.in_flight += 1
        else:
            self._serve_decided(request, reply, decision)

    def check_body(
        self,
        request: ports.Request,
        reply: ports.ResponseWriter,
        on_decided: Callable[[connections.BodyTerms | None], None],
    ) -> None:
        """Decide on a request before its body is read.

        Parameters
        ----------
        request : ports.Request
            The request without its body.
        reply : ports.ResponseWriter
            Its reply.
        on_decided : callable
            Called with the terms on which the body is read, or with None
            after the request was refused.
        """

        def decide() -> None:
            on_decided(self._check_confirmed(request, reply))

        if (
            self.is_draining
            or self.decide(request).reason not in _NOT_CONFIRMED_REASONS
            or not self.confirm_copy(decide)
        ):
            decide()

    def _check_confirmed(
        self, request: ports.Request, reply: ports.ResponseWriter
    ) -> connections.BodyTerms | None:
        """Return the terms for a body, or refuse the request."""
        decision = self.decide(request)
        route, workspace = decision.route, decision.workspace
        if route is None or decision.verdict is not decisions.Verdict.ALLOWED:
            self._serve_decided(request, reply, decision)
            return None
        if self.find_unavailability(decision) is not None:
            self._serve_decided(request, reply, decision)
            return None
        timeout_ms = request.timeout_ms
        if route.timeout_ms > 0:
            timeout_ms = min(timeout_ms, route.timeout_ms)
        return connections.BodyTerms(
            timeout_ms, '' if workspace is None else workspace.name
        )

    def _serve_decided(
        self,
        request: ports.Request,
        reply: ports.ResponseWriter,
        decision: decisions.Decision,
    ) -> None:
        """Serve, deny or refuse a request."""
        unavailability = self.find_unavailability(decision)
        if unavailability is not None:
            self._refuse(request, reply, _UNAVAILABLE, *unavailability)
            return
        configuration = self._routing_state.configuration
        route = decision.route
        if decision.verdict is decisions.Verdict.DENIED:
            status = _DENIAL_STATUSES[decision.reason]
            self._refuse(request, reply, status, decision.reason)
            return
        assert configuration is not None
        assert route is not None
        exchange = exchanges.Exchange(
            request,
            reply,
            route,
            decision.workspace,
            routing.choose_service(route, self._random.random()),
            configuration.version,
            self._record_end,
        )
        self.in_flight += 1
        with containment.end_on_error(exchange, lambda: None):
            if self._routing_state.find_model(exchange.service) is not None:
                self._streams.serve(exchange)
            else:
                self._calls.serve(exchange)

    def is_available(self, request: ports.Request) -> bool:
        """Return whether this entry may serve a request now.

        Another entry may serve it where this one may not.
        """
        relay = request.relay
        if (
            relay is not None
            and relay.configuration_version
            > self._routing_state.configuration_version
        ):
            # The sender's configuration allows the request; an older one
            # may lack its route.
            self.confirm_copy(lambda: None)
            return False
        return self.find_unavailability(self.decide(request)) is None

    def _find_route(self, request: ports.Request) -> routing.Route | None:
        configuration = self._routing_state.configuration
        if configuration is None:
            return None
        return configuration.find_route(request.host, request.path)

    def decide(self, request: ports.Request) -> decisions.Decision:
        """Decide what the local copy of the configuration proves."""
        state = self._routing_state
        copy = decisions.Copy(
            state.configuration,
            state.freshness.compute_age(self._clock.now()),
            self.find_newest_version(),
        )
        return decisions.decide(
            copy, self._limits, request.host, request.path, request.key
        )

    def find_unavailability(
        self, decision: decisions.Decision
    ) -> tuple[str, int] | None:
        """Return why this entry may not decide on a request now.

        Returns
        -------
        tuple of str and int, or None
            The reason, and Retry-After in milliseconds.
        """
        if self._routing_state.configuration is None:
            return decision.reason, NOT_READY_RETRY_MS
        if self.is_draining:
            return 'draining', streams_module.DRAINING_RETRY_MS
        if decision.verdict is not decisions.Verdict.UNKNOWN:
            return None
        limit_ms = (
            self._limits.denial_ms
            if decision.reason in _NOT_CONFIRMED_REASONS
            else self._limits.key_ms
        )
        return decision.reason, self._choose_not_current_retry_ms(limit_ms)

    def find_priority(self, request: ports.Request) -> int:
        """Return the priority of a request's route from 0 to 9."""
        route = self._find_route(request)
        return 9 if route is None else min(9, max(0, route.priority))

    def count_relayed(self) -> int:
        """Count the requests in progress that peers have passed on."""
        exchanges_in_progress = [
            one.exchange for one in self._streams.in_flight_requests
        ]
        exchanges_in_progress += [one.exchange for one in self._calls.calls]
        return sum(
            one.request.relay is not None for one in exchanges_in_progress
        )

    def _choose_not_current_retry_ms(self, limit_ms: float) -> int:
        """Choose the Retry-After for a request that the copy can't decide.

        When the store rejects single hosts only, another entry can serve the
        request at once, and a longer wait alone would make it late.
        """
        if self._is_peer_current(limit_ms):
            return streams_module.DRAINING_RETRY_MS
        return NOT_READY_RETRY_MS

    def _refuse(
        self,
        request: ports.Request,
        reply: ports.ResponseWriter,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
    ) -> None:
        freshness = self._routing_state.freshness
        copy_age_ms = freshness.compute_age(self._clock.now())
        configuration = self._routing_state.configuration
        reply.refuse(status, reason, retry_after_ms)
        if status != _UNAVAILABLE and copy_age_ms is not None:
            self._metrics.observe_denial(reason, copy_age_ms)
        logger.info(
            'request_refused',
            id=request.id,
            asked_host=request.host,
            path=request.path,
            status=status,
            reason=reason,
            configuration=None
            if configuration is None
            else configuration.version,
            proof_age_ms=copy_age_ms,
            proof_source=freshness.source,
            relayed_by='' if request.relay is None else request.relay.host,
            **self.describe_copy(),
        )
        self._metrics.count_event(f'refused_{reason}')

    def _record_end(self, exchange: exchanges.Exchange, outcome: str) -> None:
        self.in_flight -= 1
        now = self._clock.now()
        request = exchange.request
        first_event_at = exchange.first_event_at
        if outcome == 'caller_left' and self._is_closing:
            outcome = 'cut'
            exchange.outcome_reason = 'stopping'
        ended_by = _find_ended_by(outcome, exchange.outcome_reason)
        if ended_by:
            self._metrics.count_cut_answer(ended_by)
        logger.info(
            'request_ended',
            id=request.id,
            route=exchange.route.name,
            outcome=outcome,
            ended_by=ended_by,
            reason=exchange.outcome_reason,
            workspace=exchange.workspace_name,
            service=exchange.service,
            configuration=exchange.version,
            sends=exchange.sends,
            runs=exchange.runs,
            path=exchange.path,
            left_domain=exchange.left_domain,
            fingerprint=exchange.fingerprint,
            parts=fingerprints.shorten(exchange.parts),
            first_ms=None
            if first_event_at is None
            else first_event_at - request.arrived_at,
            took_ms=now - request.arrived_at,
            target_ms=exchange.route.target_latency_ms,
            target_pause_ms=exchange.route.target_gap_ms,
            **_describe_admission(exchange),
            **describe_timing(exchange.timing),
        )
        self._metrics.count_request(
            exchange.route.kind.value,
            '',
            outcome,
            now - request.arrived_at,
        )
        if exchange.left_domain:
            self._metrics.count_domain_exit(
                exchange.left_domain, exchange.link_bytes
            )
        if first_event_at is not None:
            self._metrics.observe_first_token(
                '', first_event_at - request.arrived_at
            )


def _find_ended_by(outcome: str, reason: str) -> str:
    """Return who ended a request without a complete answer, or nothing."""
    if outcome == 'caller_left':
        return 'caller'
    if outcome != 'cut':
        return ''
    return {'stopping': 'stop', 'deadline': 'deadline'}.get(reason, 'entry')


def _describe_admission(
    exchange: exchanges.Exchange,
) -> dict[str, typing.Any]:
    """Build the log fields for a request that had to wait for memory."""
    if exchange.estimated_wait_ms is None:
        return _describe_share(exchange) if exchange.is_over_share else {}
    return {
        'kept_tokens': round(exchange.kept_tokens),
        'estimated_wait_ms': round(
            min(exchange.estimated_wait_ms, exchange.route.timeout_ms)
        ),
        **_describe_share(exchange),
    }


def _describe_share(exchange: exchanges.Exchange) -> dict[str, typing.Any]:
    """Build the log fields for the share of a workspace."""
    if exchange.share_tokens is None:
        return {}
    return {
        'is_over_share': exchange.is_over_share,
        'share_tokens': round(exchange.share_tokens),
    }


def describe_timing(timing: timings.StreamTiming) -> dict[str, typing.Any]:
    """Build the log fields for the queueing and event gaps of a stream.

    Parameters
    ----------
    timing : timings.StreamTiming
        Timing of the stream.

    Returns
    -------
    dict
        Fields for the log line of the request.
    """
    if not timing.first_cause:
        return {'waited_ms': timing.waited_ms} if timing.waited_ms else {}
    return {
        'waited_ms': timing.waited_ms,
        'first_cause': timing.first_cause,
        'pause_ms': timing.longest_interval_ms,
        'pause_cause': timing.pause_cause,
    }
