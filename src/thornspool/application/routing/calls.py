"""Requests to plain services: calls, actions, and streams of events.

A non-idempotent action is retried at another server only if the first server
was certainly not reached or states that it did not execute the action. After
any other failure the outcome is unknown, and the caller gets an error that
says so: a second execution could, for example, pay out twice.

A response is passed on once it is complete. The events of a stream are passed
on as they arrive, and from the first one on its attempt is the only one.
"""

from __future__ import annotations

import copy
import functools
import typing

import attrs
import structlog

from thornspool.application.routing import containment
from thornspool.application.routing import crash_detection
from thornspool.application.routing import listeners
from thornspool.application.routing import ports
from thornspool.application.routing import run_permits
from thornspool.domain.fleet import bodies
from thornspool.domain.fleet import events
from thornspool.domain.fleet import server_scores
from thornspool.domain.paths import domain_choice

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import contextlib
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

_OK = 200

logger = structlog.get_logger(__name__)


@attrs.define(eq=False)
class Attempt:
    """An attempt of a call that is in progress at a server.

    Attributes
    ----------
    server : fleet.Server
        The server.
    sent_at : int
        Time of the send, in milliseconds of the clock.
    cancel : callable or None
        Cancels the attempt; None once it has ended.
    run : crash_detection.TrackedRun or None
        The attempt as the crash detection tracks it.
    generation : int
        Incremented at the end of the attempt, so that late data is dropped.
    is_overdue : bool
        Whether the attempt has been recorded as overdue.
    head : ports.ResponseHead or None
        Head of the response, once received.
    body : bodies.BodyBuffer
        Body received so far, unless it is a stream of events.
    events : events.EventBuffer
        Splits a stream into complete events.
    """

    server: fleet.Server
    sent_at: int
    cancel: Callable[[], None] | None = None
    run: crash_detection.TrackedRun | None = None
    generation: int = 0
    is_overdue: bool = False
    head: ports.ResponseHead | None = None
    body: bodies.BodyBuffer = attrs.field(factory=bodies.BodyBuffer)
    events: events.EventBuffer = attrs.field(factory=events.EventBuffer)


@attrs.define(eq=False)
class Call:
    """An in-flight call.

    Attributes
    ----------
    exchange : exchanges.Exchange
        Request, reply and progress.
    current : Attempt or None
        The latest attempt; None while the call waits for a server.
    overdue : Attempt or None
        An earlier attempt without a complete response, which stays open as
        the next server may refuse the call.
    trial_at : int
        Time in milliseconds from which a reservation may be tried again.
    domain_draw : float or None
        Random number that determines whether it leaves its failure domain;
        None until it is drawn.
    """

    exchange: exchanges.Exchange
    current: Attempt | None = None
    overdue: Attempt | None = None
    trial_at: int = 0
    domain_draw: float | None = None

    @property
    def attempts(self) -> list[Attempt]:
        """Its attempts in progress."""
        return [one for one in (self.current, self.overdue) if one is not None]


@attrs.frozen
class DryRun:
    """What would happen to a new call.

    Attributes
    ----------
    call : Call
        The call, which is not sent.
    server : fleet.Server or None
        The server that would be chosen.
    costs : list of tuple of fleet.Server and float
        The servers to choose from, with their costs without jitter.
    refusal : str
        Reason why the call is not sent now; empty for one that is.
    """

    call: Call
    server: fleet.Server | None
    costs: list[tuple[fleet.Server, float]]
    refusal: str


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

    Attributes
    ----------
    decides_spillover : bool
        Whether loads decide which calls leave their failure domain; if not,
        the fixed weight of other domains applies.
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
        self.decides_spillover = True
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
        with self._end_on_error(call):
            if not exchange.is_counted:
                self._retry_budget.record_request(exchange.service)
            self._start_attempt(call)

    def _end_on_error(
        self, call: Call
    ) -> contextlib.AbstractContextManager[None]:
        """Create the context that ends a call if it raises an error."""
        return containment.end_on_error(
            call.exchange, functools.partial(self._release, call)
        )

    def _release(self, call: Call) -> None:
        self.calls.discard(call)
        self._end_all(call)

    def run_dry(
        self, exchange: exchanges.Exchange, random_source: random.Random
    ) -> DryRun:
        """Choose a server as for a new call, without any effect.

        Parameters
        ----------
        exchange : exchanges.Exchange
            The request with its route.
        random_source : random.Random
            Source of the random choices.

        Returns
        -------
        DryRun
            What would happen to it.
        """
        detached = copy.copy(self)
        detached._limits = self._limits.detach()
        detached._scores = copy.deepcopy(self._scores)
        detached._random = random_source
        return detached._choose_dry(Call(exchange))

    def _choose_dry(self, call: Call) -> DryRun:
        now = self._clock.now()
        server = self._choose_server(call, now)
        candidates = self._list_candidates(call.exchange, now)
        weights = self._weigh_domains(call, candidates, now)
        costs = [
            (
                one,
                self._scores.compute_cost(
                    one, self._failure_domain, now, weights
                ),
            )
            for one in candidates
        ]
        refusal = ''
        if server is None:
            exhausted = self._limits.select_exhausted(candidates)
            refusal = 'limited' if exhausted else 'no_server'
        return DryRun(call, server, costs, refusal)

    def tick(self) -> None:
        """Expire late calls and retry those whose server is unresponsive."""
        now = self._clock.now()
        for call in list(self.calls):
            with self._end_on_error(call):
                self._check(call, now)
        queued, self._queued = self._queued, []
        for call in queued:
            if not call.exchange.ended and call.current is None:
                with self._end_on_error(call):
                    self._start_attempt(call)

    def _check(self, call: Call, now: int) -> None:
        if call.exchange.compute_remaining_ms(now) <= 0:
            self._expire(call)
        elif (
            call.current is not None
            and not call.exchange.response_started
            and self._is_overdue(
                call.current, call.exchange.route.target_latency_ms, now
            )
        ):
            self._handle_overdue(call, call.current)

    def _is_overdue(
        self, attempt: Attempt, target_latency_ms: int, now: int
    ) -> bool:
        max_wait_ms = max(
            MIN_RESPONSE_WAIT_MS, target_latency_ms * RESPONSE_WAIT_SHARE
        )
        # Bytes of a response that isn't complete are no progress.
        return now - attempt.sent_at > max_wait_ms

    def _handle_overdue(self, call: Call, attempt: Attempt) -> None:
        """Check the links, and retry the call if it may run again."""
        if not attempt.is_overdue:
            attempt.is_overdue = True
            if attempt.head is None:
                self._evidence.record_failure(
                    attempt.server, attempt.sent_at, _ignore_overdue
                )
        if (
            call.exchange.route.retryable
            and call.overdue is None
            and self._may_retry(call)
        ):
            self._retry_overdue(call, attempt)

    def _retry_overdue(self, call: Call, attempt: Attempt) -> None:
        """Send an overdue call to another server as well, if there is one."""
        if not self._has_other_server(call) or not self._retry_budget.acquire(
            call.exchange.service
        ):
            return
        now = self._clock.now()
        call.exchange.exclude([attempt.server.id], now)
        self._scores.record_failure(
            attempt.server.id, server_scores.TIMEOUT_WEIGHT, now
        )
        call.overdue, call.current = attempt, None
        self._start_attempt(call)

    def _has_other_server(self, call: Call) -> bool:
        exchange = call.exchange
        if self._evidence.links.are_lost:
            return self.has_linked_peer()
        permit = self._permits.check(exchange.fingerprint)
        return permit is run_permits.Permit.GRANTED and any(
            self._limits.has_room(server.id)
            for server in self._list_candidates(exchange, self._clock.now())
            if all(server.id != one.server.id for one in call.attempts)
        )

    def _start_attempt(self, call: Call) -> None:
        exchange = call.exchange
        if self.take_over(exchange, '', True):
            self._release(call)
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
        server = self._choose_server(call, now)
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
        self._record_domain(call, server, now)
        attempt = call.current = Attempt(server, now, _cancel_nothing)
        exchange.path = server.id
        self._limits.record_send(server.id)
        self._scores.begin(server.id)
        run = ports.Run(
            exchange.request,
            server,
            (),
            exchange.compute_remaining_ms(now),
            exchange.workspace_name,
            exchange.request.resume_after,
            exchange.priority,
        )
        listener = listeners.RunListener(
            attempt,
            functools.partial(_store_head, attempt),
            functools.partial(self._handle_body, call, attempt),
            functools.partial(self.handle_completion, call, attempt),
            functools.partial(self._end_on_error, call),
        )
        attempt.run = self._permits.begin(
            exchange.fingerprint, [server], trial
        )
        attempt.cancel = self._servers.send(run, listener)

    def _choose_server(self, call: Call, now: int) -> fleet.Server | None:
        """Choose a server that accepts the request now, if there is any."""
        exchange = call.exchange
        candidates = self._list_candidates(exchange, now)
        weights = self._weigh_domains(call, candidates, now)
        server = self._score(candidates, weights, now)
        if server is None or self._limits.has_room(server.id):
            return server
        self._limits.record_demand(server.id, exchange)
        exhausted = set(self._limits.select_exhausted(candidates))
        return self._score(
            [one for one in candidates if one.id not in exhausted],
            weights,
            now,
        )

    def _weigh_domains(
        self, call: Call, candidates: list[fleet.Server], now: int
    ) -> dict[str, float]:
        """Compute the costs of the other failure domains for a call."""
        if not self.decides_spillover or all(
            one.failure_domain == self._failure_domain for one in candidates
        ):
            return {}
        if call.domain_draw is None:
            call.domain_draw = self._random.random()
        return self._scores.compute_remote_weights(
            candidates,
            self._failure_domain,
            now,
            server_scores.Need(
                call.exchange.route.target_latency_ms,
                domain_choice.compute_min_gain(
                    len(call.exchange.request.body)
                ),
                call.domain_draw,
            ),
        )

    def _record_domain(
        self, call: Call, server: fleet.Server, now: int
    ) -> None:
        """Record why a call leaves the failure domain, and its bytes."""
        exchange = call.exchange
        if server.failure_domain == self._failure_domain:
            return
        exchange.link_bytes += len(exchange.request.body)
        candidates = self._list_candidates(exchange, now)
        if all(
            one.failure_domain != self._failure_domain for one in candidates
        ):
            exchange.left_domain = 'no_server'
        elif (
            self._weigh_domains(call, candidates, now).get(
                server.failure_domain
            )
            == 0.0
        ):
            exchange.left_domain = domain_choice.Reason.LATE.value
        else:
            exchange.left_domain = 'fixed_cost'

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
        self,
        candidates: list[fleet.Server],
        remote_weights: dict[str, float],
        now: int,
    ) -> fleet.Server | None:
        return self._scores.choose(
            candidates,
            self._failure_domain,
            now,
            self._random.random,
            remote_weights,
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

    def _handle_body(self, call: Call, attempt: Attempt, chunk: bytes) -> bool:
        """Handle a chunk of a response; False if it is too long."""
        if not _is_stream(call, attempt):
            return attempt.body.append(chunk)
        complete = attempt.events.take(chunk)
        if complete:
            self._deliver(call, attempt, complete)
        return not attempt.events.is_overlong

    def _deliver(self, call: Call, attempt: Attempt, complete: bytes) -> None:
        """Pass on complete events, and end the other attempt if any."""
        exchange = call.exchange
        for other in call.attempts:
            if other is not attempt:
                if other.cancel is not None:
                    other.cancel()
                self._end_attempt(call, other)
        call.current, call.overdue = attempt, None
        now = self._clock.now()
        if not exchange.response_started:
            assert attempt.head is not None
            exchange.reply.begin(attempt.head.status, attempt.head.headers)
            exchange.response_started = True
            exchange.first_event_at = now
            exchange.path = attempt.server.id
        if attempt.run is not None:
            attempt.run.record_progress(now)
        if attempt.server.failure_domain != self._failure_domain:
            exchange.link_bytes += len(complete)
        exchange.timing.record_event(now)
        exchange.reply.write(complete)

    def _score_response(
        self, call: Call, attempt: Attempt, head: ports.ResponseHead
    ) -> None:
        """Record load and speed of a server that has responded."""
        now = self._clock.now()
        self._scores.record_load(attempt.server.id, head.load, now)
        if (
            head.load is not None
            and head.executed
            and not call.exchange.response_started
        ):
            self._scores.record_response(
                attempt.server, now - attempt.sent_at, now
            )

    def handle_completion(
        self, call: Call, attempt: Attempt, completion: ports.Completion
    ) -> None:
        """Handle the completion of an attempt."""
        head = attempt.head
        exchange = call.exchange
        if attempt.events.pending and completion is ports.Completion.COMPLETE:
            # The server has stopped in the middle of an event.
            completion = ports.Completion.BROKEN
        self._end_run(attempt, crash_detection.classify_end(head, completion))
        if head is not None:
            self._score_response(call, attempt, head)
        if completion is ports.Completion.NOT_SENT:
            exchange.runs -= 1
            self._evidence.record_unreachable(attempt.server, attempt.sent_at)
            self._retry_or_fail(call, attempt, 'not_reached', True)
        elif head is not None and not head.executed:
            exchange.runs -= 1
            self._record_failure(attempt, server_scores.REFUSED_WEIGHT)
            self._retry_or_fail(
                call, attempt, f'refused_by_server_{head.status}', True
            )
        elif (
            completion is ports.Completion.BROKEN
            or head is None
            or not head.is_authentic
        ):
            self._record_failure(attempt, server_scores.BROKEN_WEIGHT)
            self._retry_or_fail(
                call, attempt, 'broken', exchange.route.retryable
            )
        elif exchange.response_started:
            self._finish_stream(call, attempt)
        elif head.status >= 500 and exchange.route.retryable:
            self._record_failure(attempt, server_scores.ERROR_WEIGHT)
            self._handle_server_error(call, attempt, head)
        else:
            self._forward_response(call, attempt, head)

    def _handle_server_error(
        self, call: Call, attempt: Attempt, head: ports.ResponseHead
    ) -> None:
        """Retry an idempotent call that failed at its server, if allowed."""
        if self._continue_with_other(call, attempt, f'server_{head.status}'):
            return
        if self._may_retry(call) and self._retry_budget.acquire(
            call.exchange.service
        ):
            call.exchange.exclude([attempt.server.id], self._clock.now())
            self._end_attempt(call, attempt)
            self._start_attempt(call)
            return
        self._forward_response(call, attempt, head)

    def _continue_with_other(
        self, call: Call, attempt: Attempt, reason: str
    ) -> bool:
        """End a failed attempt if another one of the call is in progress."""
        if len(call.attempts) < 2:
            return False
        self._end_attempt(call, attempt)
        logger.info(
            'attempt_failed',
            id=call.exchange.request.id,
            reason=reason,
            server=attempt.server.id,
        )
        return True

    def _forward_response(
        self, call: Call, attempt: Attempt, head: ports.ResponseHead
    ) -> None:
        exchange = call.exchange
        if exchange.first_event_at is None:
            exchange.first_event_at = self._clock.now()
        body = bytes(attempt.body)
        exchange.path = attempt.server.id
        if attempt.server.failure_domain != self._failure_domain:
            exchange.link_bytes += len(body)
        attempt.cancel = None
        self._scores.finish(attempt.server.id)
        exchange.reply.send(head.status, head.headers, body)
        self._release(call)
        exchange.end(
            'served' if head.status < 400 else f'server_{head.status}'
        )

    def _finish_stream(self, call: Call, attempt: Attempt) -> None:
        attempt.cancel = None
        self._scores.finish(attempt.server.id)
        call.exchange.reply.finish()
        self._release(call)
        call.exchange.end('served')

    def _may_retry(self, call: Call) -> bool:
        exchange = call.exchange
        remaining_ms = exchange.compute_remaining_ms(self._clock.now())
        return (
            not exchange.response_started
            and exchange.runs < exchange.route.attempts
            and exchange.sends < MAX_SENDS
            and remaining_ms > MIN_REMAINING_MS
        )

    def _retry_or_fail(
        self, call: Call, attempt: Attempt, reason: str, retryable: bool
    ) -> None:
        exchange = call.exchange
        exchange.exclude([attempt.server.id], self._clock.now())
        if attempt is call.overdue and self._continue_with_other(
            call, attempt, reason
        ):
            return
        self._end_attempt(call, attempt)
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
        """End a call, unless an overdue attempt is still in progress."""
        exchange = call.exchange
        if call.overdue is not None:
            call.current, call.overdue = call.overdue, None
            return
        self.calls.discard(call)
        if exchange.response_started:
            self._cut(call, reason)
        elif exchange.runs > 0:
            exchange.refuse(502, f'outcome_unknown_{reason}')
        else:
            exchange.refuse(
                503,
                reason,
                retry_after_ms or self._random.randint(*RETRY_AFTER_RANGE_MS),
            )

    def _cut(self, call: Call, reason: str) -> None:
        """End a stream of which the caller has received a part."""
        call.exchange.outcome_reason = reason
        call.exchange.reply.abort()
        call.exchange.end('cut')

    def _expire(self, call: Call) -> None:
        self._release(call)
        if call.exchange.response_started:
            self._cut(call, 'deadline')
        elif call.exchange.runs > 0:
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
        self._release(call)
        call.exchange.end('caller_left')

    def _record_failure(self, attempt: Attempt, weight: float) -> None:
        self._scores.record_failure(
            attempt.server.id, weight, self._clock.now()
        )

    def _end_run(
        self, attempt: Attempt, ending: crash_detection.RunEnd
    ) -> None:
        if attempt.run is not None:
            run, attempt.run = attempt.run, None
            self._permits.end(run, ending)

    def _end_all(self, call: Call) -> None:
        """Cancel the attempts of a call that are still in progress."""
        for attempt in call.attempts:
            if attempt.cancel is not None:
                attempt.cancel()
            self._end_attempt(call, attempt)

    def _end_attempt(self, call: Call, attempt: Attempt) -> None:
        self._end_run(attempt, crash_detection.RunEnd.LEFT)
        if attempt.cancel is not None:
            self._scores.finish(attempt.server.id)
        attempt.cancel = None
        attempt.generation += 1
        if attempt is call.current:
            call.current = None
        else:
            call.overdue = None


def _cancel_nothing() -> None:
    """Stand for the cancellation of an attempt that is being sent."""


def _ignore_overdue() -> None:
    """Hold nothing against a server that is only slow."""


def _is_stream(call: Call, attempt: Attempt) -> bool:
    """Return whether a server answers with events that are passed on."""
    head = attempt.head
    return (
        head is not None
        and call.exchange.route.is_streamed
        and head.status == _OK
        and head.is_authentic
        and head.is_event_stream
    )


def _store_head(attempt: Attempt, head: ports.ResponseHead) -> None:
    attempt.head = head
