"""Idempotent calls and non-idempotent actions on plain services.

A non-idempotent action is retried at another server only if the first server
was certainly not reached or states that it did not execute the action. After
any other failure the outcome is unknown, and the caller gets an error that
says so: a second execution could, for example, pay out twice.
"""

from __future__ import annotations

import functools
import typing

import attrs
import structlog

from thornspool.application.routing import crash_detection
from thornspool.application.routing import listeners
from thornspool.application.routing import ports
from thornspool.application.routing import run_permits
from thornspool.domain.fleet import server_scores

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import exchanges
    from thornspool.application.routing import retry_pools
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.application.routing import server_evidence
    from thornspool.application.routing import server_limits
    from thornspool.domain.fleet import messages as fleet

MAX_SENDS = 4
"""Maximum number of sends of one request, including refused ones."""

RESPONSE_WAIT_SHARE = 0.75
"""Share of the target latency after which an idempotent call is retried.

A server that hangs answers no request. A typical response takes a fifth of
the target latency; one in a hundred takes longer than this share.
"""

MIN_RESPONSE_WAIT_MS = 120
"""Minimum wait for a response before an idempotent call is retried."""

MIN_REMAINING_MS = 20
"""Remaining time below which a retry can't complete before the deadline."""

RETRY_AFTER_RANGE_MS = (150, 400)
"""Range of Retry-After when no server accepts a call; a slot becomes free
after one call, about 100 ms."""

MAX_QUEUE_WAIT_MS = 40
"""Maximum wait for a usable server, an eighth of the target latencies."""

MAX_PERMIT_WAIT_MS = 1_500
"""Maximum wait of a call that may have crashed servers for its trial."""

logger = structlog.get_logger(__name__)


@attrs.define(eq=False)
class Call:
    """An in-flight call.

    Attributes
    ----------
    exchange : exchanges.Exchange
        Request, reply and progress.
    server : fleet.Server or None
        Server of the last attempt.
    cancel : callable or None
        Cancels the current attempt; None when there is none.
    run : crash_detection.TrackedRun or None
        The current attempt, as the crash detection tracks it.
    sent_at : int
        Time of the last send, in milliseconds of the clock.
    generation : int
        Incremented for each attempt, so that late data of earlier attempts
        is dropped.
    trial_at : int
        Time in milliseconds from which a reservation may be tried again.
    is_overdue : bool
        Whether the current attempt has been recorded as overdue.
    head : ports.ResponseHead or None
        Head of the current response, once received.
    body : bytearray
        Body received so far.
    """

    exchange: exchanges.Exchange
    server: fleet.Server | None = None
    cancel: Callable[[], None] | None = None
    run: crash_detection.TrackedRun | None = None
    trial_at: int = 0
    sent_at: int = 0
    generation: int = 0
    is_overdue: bool = False
    head: ports.ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray)


class CallService:
    """Forwards calls and actions to the servers of plain services.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Known servers and their failure suspicions.
    limits : server_limits.ServerLimits
        Limits that servers name.
    permits : run_permits.RunPermits
        Decides which requests may run, as far as they may crash servers.
    evidence : server_evidence.ServerEvidence
        Client for the servers, and what counts against them.
    retry_budget : retry_pools.RetryPools
        Limits retries.
    failure_domain : str
        Failure domain of this entry.
    random_source : random.Random
        Source of randomness for server selection and Retry-After.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        limits: server_limits.ServerLimits,
        permits: run_permits.RunPermits,
        evidence: server_evidence.ServerEvidence,
        retry_budget: retry_pools.RetryPools,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._limits = limits
        self._permits = permits
        self._evidence = evidence
        self._servers = evidence.servers
        self._retry_budget = retry_budget
        self._failure_domain = failure_domain
        self._random = random_source
        self._scores = server_scores.ServerScores()
        self.take_over: Callable[[exchanges.Exchange, str, bool], bool] = (
            lambda exchange, resume_after, is_counted: False
        )
        self.has_linked_peer: Callable[[], bool] = lambda: False
        self.calls: set[Call] = set()
        self._queued: list[Call] = []

    def serve(self, exchange: exchanges.Exchange) -> None:
        """Serve a request; its exchange ends when the response is sent."""
        if self.take_over(exchange, '', False):
            return
        call = Call(exchange)
        exchange.reply.set_disconnect_callback(
            lambda: self._handle_disconnect(call)
        )
        if exchange.ended:
            return
        self.calls.add(call)
        if not exchange.is_counted:
            self._retry_budget.record_request(exchange.service)
        self._start_attempt(call)

    def tick(self) -> None:
        """Expire late calls and retry those whose server is unresponsive."""
        now = self._clock.now()
        for call in list(self.calls):
            if call.exchange.compute_remaining_ms(now) <= 0:
                self._expire(call)
            elif call.cancel is not None and self._is_overdue(call, now):
                self._handle_overdue(call)
        queued, self._queued = self._queued, []
        for call in queued:
            if not call.exchange.ended:
                self._start_attempt(call)

    def _is_overdue(self, call: Call, now: int) -> bool:
        max_wait_ms = max(
            MIN_RESPONSE_WAIT_MS,
            call.exchange.route.target_latency_ms * RESPONSE_WAIT_SHARE,
        )
        return call.head is None and now - call.sent_at > max_wait_ms

    def _handle_overdue(self, call: Call) -> None:
        """Check the links, and retry the call if it may run again."""
        if not call.is_overdue and call.server is not None:
            call.is_overdue = True
            self._evidence.record_failure(
                call.server, call.sent_at, _ignore_overdue
            )
        route = call.exchange.route
        if route.retryable and call.exchange.runs < route.attempts:
            self._retry_unresponsive(call)

    def _retry_unresponsive(self, call: Call) -> None:
        """Cancel an attempt if the call can be sent to another server now."""
        if not self._has_other_server(call) or not self._retry_budget.acquire(
            call.exchange.service
        ):
            return
        assert call.cancel is not None
        call.cancel()
        if call.server is not None:
            call.exchange.exclude([call.server.id], self._clock.now())
        self._record_failure(call, server_scores.TIMEOUT_WEIGHT)
        self._end_attempt(call)
        self._start_attempt(call)

    def _has_other_server(self, call: Call) -> bool:
        exchange = call.exchange
        if self._evidence.links.are_lost:
            return self.has_linked_peer()
        permit = self._permits.check(exchange.fingerprint)
        return permit is run_permits.Permit.GRANTED and any(
            self._limits.has_room(server.id)
            for server in self._list_candidates(exchange, self._clock.now())
            if call.server is None or server.id != call.server.id
        )

    def _start_attempt(self, call: Call) -> None:
        exchange = call.exchange
        if self.take_over(exchange, '', True):
            self.calls.discard(call)
            return
        now = self._clock.now()
        permit = self._permits.check(exchange.fingerprint)
        if permit is run_permits.Permit.DENIED:
            self._fail(
                call,
                'quarantined',
                self._permits.compute_retry_after(exchange.fingerprint),
            )
            return
        server = self._choose_server(exchange, now)
        if server is None:
            self._queue_or_refuse(call, now)
        elif permit is run_permits.Permit.GRANTED:
            self._send(call, server)
        elif permit is run_permits.Permit.ON_TRIAL and now >= call.trial_at:
            self._permits.reserve(
                exchange.fingerprint,
                [server],
                max(1, exchange.compute_remaining_ms(now)),
                functools.partial(self._start_trial, call, server),
            )
        else:
            self._wait_for_permit(call)

    def _wait_for_permit(self, call: Call) -> None:
        """Queue a call that may have crashed servers; refuse it in time."""
        waited_ms = self._clock.now() - call.exchange.request.arrived_at
        if waited_ms < MAX_PERMIT_WAIT_MS:
            self._queued.append(call)
            return
        self._fail(call, 'no_trial', run_permits.RETRY_AFTER_MS)

    def _start_trial(
        self,
        call: Call,
        server: fleet.Server,
        trial: run_permits.Trial | None,
    ) -> None:
        """Send a suspect to a server that is reserved for it, or queue it."""
        exchange = call.exchange
        now = self._clock.now()
        if trial is not None and (
            exchange.ended
            or not self._routing_state.is_usable(server, now)
            or not self._limits.has_room(server.id)
        ):
            self._permits.abandon(trial)
            trial = None
        if exchange.ended:
            return
        if trial is None:
            exchange.exclude([server.id], now)
            call.trial_at = now + run_permits.TRIAL_POLL_MS
            self._wait_for_permit(call)
            return
        self._send(call, server, trial)

    def _send(
        self,
        call: Call,
        server: fleet.Server,
        trial: run_permits.Trial | None = None,
    ) -> None:
        exchange = call.exchange
        now = self._clock.now()
        exchange.sends += 1
        exchange.runs += 1
        call.server = server
        call.sent_at = now
        call.is_overdue = False
        call.generation += 1
        call.head = None
        call.body.clear()
        exchange.path = server.id
        self._limits.record_send(server.id)
        self._scores.begin(server.id)
        run = ports.Run(
            exchange.request,
            server,
            (),
            exchange.compute_remaining_ms(now),
            exchange.workspace_name,
            '',
            exchange.priority,
        )
        listener = listeners.RunListener(
            call,
            functools.partial(_store_head, call),
            call.body.extend,
            functools.partial(self.handle_completion, call),
        )
        call.run = self._permits.begin(exchange.fingerprint, [server], trial)
        call.cancel = self._servers.send(run, listener)

    def _choose_server(
        self, exchange: exchanges.Exchange, now: int
    ) -> fleet.Server | None:
        """Choose a server that accepts the request now, if there is any."""
        candidates = self._list_candidates(exchange, now)
        server = self._score(candidates, now)
        if server is None or self._limits.has_room(server.id):
            return server
        self._limits.record_demand(server.id, exchange)
        exhausted = set(self._limits.select_exhausted(candidates))
        return self._score(
            [one for one in candidates if one.id not in exhausted], now
        )

    def _list_candidates(
        self, exchange: exchanges.Exchange, now: int
    ) -> list[fleet.Server]:
        avoided_ids = exchange.list_excluded(now)
        return [
            candidate
            for candidate in self._routing_state.list_servers(
                exchange.service, now
            )
            if candidate.id not in avoided_ids
        ]

    def _score(
        self, candidates: list[fleet.Server], now: int
    ) -> fleet.Server | None:
        return self._scores.choose(
            candidates, self._failure_domain, now, self._random.random
        )

    def _queue_or_refuse(self, call: Call, now: int) -> None:
        exchange = call.exchange
        exhausted = self._limits.select_exhausted(
            self._list_candidates(exchange, now)
        )
        if exhausted:
            self._fail(
                call,
                exchange.outcome_reason or 'limited',
                self._limits.compute_retry_after(exhausted),
            )
            return
        waited_ms = now - exchange.request.arrived_at
        if exchange.runs == 0 and waited_ms < MAX_QUEUE_WAIT_MS:
            self._queued.append(call)
            return
        self._fail(call, exchange.outcome_reason or 'no_server')

    def handle_completion(
        self, call: Call, completion: ports.Completion
    ) -> None:
        """Handle the completion of the current attempt."""
        head = call.head
        exchange = call.exchange
        self._end_run(call, crash_detection.classify_end(head, completion))
        if head is not None and call.server is not None:
            self._scores.record_load(
                call.server.id, head.load, self._clock.now()
            )
        if completion is ports.Completion.NOT_SENT:
            exchange.runs -= 1
            if call.server is not None:
                self._evidence.record_unreachable(call.server, call.sent_at)
            self._retry_or_fail(call, 'not_reached', True)
        elif head is not None and not head.executed:
            exchange.runs -= 1
            self._record_failure(call, server_scores.REFUSED_WEIGHT)
            self._retry_or_fail(call, f'refused_by_server_{head.status}', True)
        elif (
            completion is ports.Completion.BROKEN
            or head is None
            or not head.is_authentic
        ):
            self._record_failure(call, server_scores.BROKEN_WEIGHT)
            self._retry_or_fail(call, 'broken', exchange.route.retryable)
        elif head.status >= 500 and exchange.route.retryable:
            self._record_failure(call, server_scores.ERROR_WEIGHT)
            self._handle_server_error(call, head)
        else:
            self._forward_response(call, head)

    def _handle_server_error(
        self, call: Call, head: ports.ResponseHead
    ) -> None:
        """Retry an idempotent call that failed at its server, if allowed."""
        if self._may_retry(call) and self._retry_budget.acquire(
            call.exchange.service
        ):
            if call.server is not None:
                call.exchange.exclude([call.server.id], self._clock.now())
            self._end_attempt(call)
            self._start_attempt(call)
            return
        self._forward_response(call, head)

    def _forward_response(self, call: Call, head: ports.ResponseHead) -> None:
        exchange = call.exchange
        if exchange.first_event_at is None:
            exchange.first_event_at = self._clock.now()
        body = bytes(call.body)
        self._end_attempt(call)
        self.calls.discard(call)
        exchange.reply.send(head.status, head.headers, body)
        exchange.end(
            'served' if head.status < 400 else f'server_{head.status}'
        )

    def _may_retry(self, call: Call) -> bool:
        exchange = call.exchange
        remaining_ms = exchange.compute_remaining_ms(self._clock.now())
        return (
            exchange.runs < exchange.route.attempts
            and exchange.sends < MAX_SENDS
            and remaining_ms > MIN_REMAINING_MS
        )

    def _retry_or_fail(self, call: Call, reason: str, retryable: bool) -> None:
        exchange = call.exchange
        if call.server is not None:
            exchange.exclude([call.server.id], self._clock.now())
        self._end_attempt(call)
        exchange.outcome_reason = reason
        if (
            retryable
            and self._may_retry(call)
            and self._retry_budget.acquire(exchange.service)
        ):
            logger.info(
                'run_repeated',
                id=exchange.request.id,
                reason=reason,
                sends=exchange.sends,
            )
            if self._evidence.is_checking:
                # It may soon be clear that no server can be reached.
                self._queued.append(call)
            else:
                self._start_attempt(call)
            return
        self._fail(call, reason)

    def _fail(
        self, call: Call, reason: str, retry_after_ms: int | None = None
    ) -> None:
        exchange = call.exchange
        self.calls.discard(call)
        if exchange.runs > 0:
            exchange.refuse(502, f'outcome_unknown_{reason}')
        else:
            exchange.refuse(
                503,
                reason,
                retry_after_ms or self._random.randint(*RETRY_AFTER_RANGE_MS),
            )

    def _expire(self, call: Call) -> None:
        if call.cancel is not None:
            call.cancel()
        self._end_attempt(call)
        self.calls.discard(call)
        if call.exchange.runs > 0:
            call.exchange.refuse(504, 'deadline')
        else:
            call.exchange.refuse(503, 'deadline', RETRY_AFTER_RANGE_MS[0])

    def _handle_disconnect(self, call: Call) -> None:
        """Cancel the call of a caller that has disconnected.

        A server that has received an action executes it even when the
        connection closes, so cancelling is safe for actions and reads.
        """
        if call.exchange.ended:
            return
        if call.cancel is not None:
            call.cancel()
        self._end_attempt(call)
        self.calls.discard(call)
        call.exchange.end('caller_left')

    def _record_failure(self, call: Call, weight: float) -> None:
        if call.server is not None:
            self._scores.record_failure(
                call.server.id, weight, self._clock.now()
            )

    def _end_run(self, call: Call, ending: crash_detection.RunEnd) -> None:
        if call.run is not None:
            run, call.run = call.run, None
            self._permits.end(run, ending)

    def _end_attempt(self, call: Call) -> None:
        self._end_run(call, crash_detection.RunEnd.LEFT)
        if call.cancel is not None and call.server is not None:
            self._scores.finish(call.server.id)
        call.cancel = None
        call.generation += 1


def _ignore_overdue() -> None:
    """Hold nothing against a server that is only slow."""


def _store_head(call: Call, head: ports.ResponseHead) -> None:
    call.head = head
