"""Idempotent calls and non-idempotent actions on plain services.

An action is sent to a second server only when the first one was certainly
not reached, or states that it did not run it. After anything else its
outcome is unknown to us and the caller is told so: a second run would be a
second payout.
"""

from __future__ import annotations

import functools
import typing

import attrs
import structlog

from thornspool.application.routing import beliefs as beliefs_module
from thornspool.application.routing import listeners
from thornspool.application.routing import ports
from thornspool.domain.fleet import standing

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import exchanges
    from thornspool.application.routing import repeats
    from thornspool.domain.fleet import messages as fleet

MAX_SENDS = 4
"""Times that one request is sent at most, refused sends included."""

SILENCE_SHARE = 0.75
"""Share of the aimed latency after which an idempotent call goes elsewhere.

A server that hangs answers nobody; usual answers take a fifth of the aim,
one in a hundred takes longer than this.
"""

MIN_SILENCE_MS = 120
"""Least silence after which an idempotent call goes elsewhere."""

MIN_LEFT_MS = 20
"""Time below which another send can't be answered in time."""

COMES_BACK_MS = (150, 400)
"""Range of Retry-After where no server takes a call; a place comes free
after one call, some 100 ms."""

QUEUE_MS = 40
"""Longest wait for a server that can be used, an eighth of the aims."""

logger = structlog.get_logger(__name__)


@attrs.define(eq=False)
class Call:
    """A call that is on its way."""

    exchange: exchanges.Exchange
    server: fleet.Server | None = None
    stop: Callable[[], None] | None = None
    sent_at: int = 0
    generation: int = 0
    head: ports.Head | None = None
    body: bytearray = attrs.field(factory=bytearray)


class CallService:
    """Serves calls and actions on plain services.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Servers.
    servers : ports.Servers
        Calls to them.
    budget : repeats.Repeats
        What may be sent again.
    failure_domain : str
        Where this entry stands.
    random_source : random.Random
        Source of every random choice.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        beliefs: beliefs_module.Beliefs,
        servers: ports.Servers,
        budget: repeats.Repeats,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs
        self._servers = servers
        self._budget = budget
        self._domain = failure_domain
        self._random = random_source
        self._standings = standing.Standings()
        self.calls: set[Call] = set()
        self._waiting: list[Call] = []

    def serve(self, exchange: exchanges.Exchange) -> None:
        """Serve a request; its exchange ends when it is answered."""
        call = Call(exchange)
        exchange.reply.set_on_close(lambda: self._leave(call))
        self.calls.add(call)
        self._budget.record_request(exchange.service)
        self._start(call)

    def work(self) -> None:
        """End what is too late and move calls off silent servers."""
        now = self._clock.now()
        for call in list(self.calls):
            if call.exchange.compute_left(now) <= 0:
                self._time_out(call)
            elif call.stop is not None and self._is_silent(call, now):
                self._leave_silent(call)
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            if not call.exchange.ended:
                self._start(call)

    def _is_silent(self, call: Call, now: int) -> bool:
        route = call.exchange.route
        if not route.repeatable or call.head is not None:
            return False
        bound = max(MIN_SILENCE_MS, route.target_latency_ms * SILENCE_SHARE)
        return (
            now - call.sent_at > bound and call.exchange.runs < route.attempts
        )

    def _leave_silent(self, call: Call) -> None:
        if not self._budget.take(call.exchange.service):
            return
        assert call.stop is not None
        call.stop()
        if call.server is not None:
            call.exchange.avoid([call.server.id], self._clock.now())
        self._note_failure(call, standing.SILENT_WEIGHT)
        self._release(call)
        self._start(call)

    def _start(self, call: Call) -> None:
        exchange = call.exchange
        now = self._clock.now()
        listed = self._beliefs.list_servers(exchange.service, now)
        avoided = exchange.list_avoided(now)
        server = self._standings.choose(
            [one for one in listed if one.id not in avoided],
            self._domain,
            now,
            self._random.random,
        )
        if server is None:
            self._wait_or_refuse(call, now)
            return
        exchange.sends += 1
        exchange.runs += 1
        call.server = server
        call.sent_at = now
        call.generation += 1
        call.head = None
        call.body.clear()
        exchange.path = server.id
        self._standings.begin(server.id)
        run = ports.Run(
            exchange.inquiry,
            server,
            (),
            exchange.compute_left(now),
            exchange.workspace_name,
            '',
            exchange.priority,
        )
        listener = listeners.RunListener(
            call,
            functools.partial(_take_head, call),
            call.body.extend,
            functools.partial(self.take_end, call),
        )
        call.stop = self._servers.send(run, listener)

    def _wait_or_refuse(self, call: Call, now: int) -> None:
        exchange = call.exchange
        waited = now - exchange.inquiry.arrived_at
        if exchange.runs == 0 and waited < QUEUE_MS:
            self._waiting.append(call)
            return
        self._give_up(call, exchange.note or 'no_server')

    def take_end(self, call: Call, ending: ports.Ending) -> None:
        """Take the end of a run."""
        head = call.head
        exchange = call.exchange
        if head is not None and call.server is not None:
            self._standings.note_load(
                call.server.id, head.load, self._clock.now()
            )
        if ending is ports.Ending.NOT_SENT:
            exchange.runs -= 1
            if call.server is not None:
                self._beliefs.suspect(
                    call.server.id,
                    beliefs_module.NOT_REACHED,
                    self._clock.now(),
                )
            self._again(call, 'not_reached', True)
        elif head is not None and not head.ran:
            exchange.runs -= 1
            self._note_failure(call, standing.REFUSED_WEIGHT)
            self._again(call, f'refused_by_server_{head.status}', True)
        elif ending is ports.Ending.BROKEN or head is None or not head.genuine:
            self._note_failure(call, standing.BROKEN_WEIGHT)
            self._again(call, 'broken', exchange.route.repeatable)
        elif head.status >= 500 and exchange.route.repeatable:
            self._note_failure(call, standing.ERROR_WEIGHT)
            self._take_failure(call, head)
        else:
            self._pass_on(call, head)

    def _take_failure(self, call: Call, head: ports.Head) -> None:
        """Run an idempotent call that failed at its server once more."""
        if self._may_repeat(call) and self._budget.take(call.exchange.service):
            if call.server is not None:
                call.exchange.avoid([call.server.id], self._clock.now())
            self._release(call)
            self._start(call)
            return
        self._pass_on(call, head)

    def _pass_on(self, call: Call, head: ports.Head) -> None:
        exchange = call.exchange
        if exchange.first_event_at is None:
            exchange.first_event_at = self._clock.now()
        body = bytes(call.body)
        self._release(call)
        self.calls.discard(call)
        exchange.reply.answer(head.status, head.headers, body)
        exchange.end(
            'served' if head.status < 400 else f'server_{head.status}'
        )

    def _may_repeat(self, call: Call) -> bool:
        exchange = call.exchange
        left = exchange.compute_left(self._clock.now())
        return (
            exchange.runs < exchange.route.attempts
            and exchange.sends < MAX_SENDS
            and left > MIN_LEFT_MS
        )

    def _again(self, call: Call, reason: str, allowed: bool) -> None:
        exchange = call.exchange
        if call.server is not None:
            exchange.avoid([call.server.id], self._clock.now())
        self._release(call)
        exchange.note = reason
        if (
            allowed
            and self._may_repeat(call)
            and self._budget.take(exchange.service)
        ):
            logger.info(
                'run_repeated',
                id=exchange.inquiry.id,
                reason=reason,
                sends=exchange.sends,
            )
            self._start(call)
            return
        self._give_up(call, reason)

    def _give_up(self, call: Call, reason: str) -> None:
        exchange = call.exchange
        self.calls.discard(call)
        if exchange.runs > 0:
            exchange.refuse(502, f'outcome_unknown_{reason}')
        else:
            exchange.refuse(503, reason, self._random.randint(*COMES_BACK_MS))

    def _time_out(self, call: Call) -> None:
        if call.stop is not None:
            call.stop()
        self._release(call)
        self.calls.discard(call)
        if call.exchange.runs > 0:
            call.exchange.refuse(504, 'deadline')
        else:
            call.exchange.refuse(503, 'deadline', COMES_BACK_MS[0])

    def _leave(self, call: Call) -> None:
        """End the work for a caller that has left.

        What only reads is ended at once; a server that has an action would
        run it to its end all the same, so nothing is lost by closing.
        """
        if call.exchange.ended:
            return
        if call.stop is not None:
            call.stop()
        self._release(call)
        self.calls.discard(call)
        call.exchange.end('caller_left')

    def _note_failure(self, call: Call, weight: float) -> None:
        if call.server is not None:
            self._standings.note_failure(
                call.server.id, weight, self._clock.now()
            )

    def _release(self, call: Call) -> None:
        if call.stop is not None and call.server is not None:
            self._standings.finish(call.server.id)
        call.stop = None
        call.generation += 1


def _take_head(call: Call, head: ports.Head) -> None:
    call.head = head
