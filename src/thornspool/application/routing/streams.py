"""Model requests: a path, its stream, and what happens when it breaks."""

from __future__ import annotations

import functools
import typing

import structlog

from thornspool.application.routing import blame
from thornspool.application.routing import finding
from thornspool.application.routing import flights
from thornspool.application.routing import listeners
from thornspool.application.routing import ports
from thornspool.domain.paths import choice
from thornspool.domain.paths import search
from thornspool.domain.paths import silence

if typing.TYPE_CHECKING:
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import beliefs as beliefs_module
    from thornspool.application.routing import exchanges
    from thornspool.application.routing import repeats
    from thornspool.domain.paths import reservations

MAX_SENDS = 6
"""Times that one request is sent at most, refused sends included."""

QUEUE_MS = 1_500
"""Longest wait for room.

A stream frees its room after 2 to 4 s, so that some room comes free every
few tens of milliseconds; a request that has waited this long stands behind
more work than the engines can take.
"""

MIN_LEFT_MS = 300
"""Time below which a run can't give even its first event."""

COMES_BACK_MS = (400, 900)
"""Range of Retry-After where no path exists.

A lost engine is noticed within 0.5 s and its layers are loaded by its
neighbours within another second.
"""

DRAINING_RETRY_MS = 50
"""Retry-After of an entry that leaves: another one serves at once."""

logger = structlog.get_logger(__name__)

_OK = 200


class StreamService:
    """Serves model requests.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Configuration and engines.
    taken : reservations.Reservations
        Memory that requests hold.
    servers : ports.Servers
        Calls to engines.
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
        taken: reservations.Reservations,
        servers: ports.Servers,
        budget: repeats.Repeats,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs
        self._taken = taken
        self._servers = servers
        self._budget = budget
        self._random = random_source
        self.paths = finding.PathFinder(
            clock, beliefs, taken, budget, failure_domain, random_source
        )
        self._blame = blame.Blame(clock, beliefs)
        self.flights: set[flights.Flight] = set()
        self.usual_pause = silence.UsualPause()
        self._waiting: list[flights.Flight] = []
        self._ends_at: int | None = None

    def serve(self, exchange: exchanges.Exchange) -> None:
        """Serve a request; its exchange ends when it is answered."""
        inquiry = exchange.inquiry
        model = self._beliefs.find_model(exchange.service)
        assert model is not None
        need = choice.Need(
            inquiry.prompt_tokens or model.usual_prompt,
            inquiry.answer_tokens or model.usual_answer,
        )
        flight = flights.Flight(exchange, need)
        exchange.reply.set_on_close(lambda: self._leave(flight))
        self.flights.add(flight)
        self._budget.record_request(exchange.service)
        self._start(flight)

    def work(self) -> None:
        """Start what waits and end what is too late; run every few ms."""
        now = self._clock.now()
        for flight in list(self.flights):
            if flight.exchange.compute_left(now) <= 0:
                self._time_out(flight)
        self._retry_waiting()

    def _retry_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        waiting.sort(
            key=lambda one: (
                one.exchange.priority,
                one.exchange.inquiry.arrived_at,
            )
        )
        for flight in waiting:
            if not flight.exchange.ended:
                self._start(flight)

    def _start(
        self, flight: flights.Flight, path: search.Path | None = None
    ) -> None:
        """Put a request on a path, or let it wait, or refuse it.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        path : search.Path, optional
            A path that was found just now.
        """
        now = self._clock.now()
        found = path or self.paths.find(flight)
        if found is None:
            self._give_up(flight, 'service_unknown', 1_000)
        elif isinstance(found, choice.Lack):
            self._wait_or_refuse(flight, found)
        elif self._ends_too_late(flight, found, now):
            self._give_up(flight, 'draining', DRAINING_RETRY_MS)
        elif flight.owes_repeat and not self._take_repeat(flight):
            self._wait_for_repeat(flight)
        else:
            self._send(flight, found.hops)

    def _wait_or_refuse(
        self, flight: flights.Flight, lack: choice.Lack
    ) -> None:
        waited = self._clock.now() - flight.exchange.inquiry.arrived_at
        if self._may_wait(flight, lack, waited):
            self._await_path(flight)
            return
        self._give_up(flight, lack.value, self._random.randint(*COMES_BACK_MS))

    def _await_path(self, flight: flights.Flight) -> None:
        flight.exchange.timing.note_wait(self._clock.now())
        self._waiting.append(flight)

    def _take_repeat(self, flight: flights.Flight) -> bool:
        exchange = flight.exchange
        return self._budget.take(exchange.service, exchange.begun)

    def _wait_for_repeat(self, flight: flights.Flight) -> None:
        """Let a begun stream wait until a repeat comes free; refuse others.

        The window of repeats slides on, and a cut stream is lost to its
        caller, while a refused request can come back.
        """
        exchange = flight.exchange
        if exchange.begun and self._may_wait_on(flight):
            self._await_path(flight)
            return
        self._give_up(
            flight,
            f'{exchange.note}_no_repeats',
            self._random.randint(*COMES_BACK_MS),
        )

    def set_end(self, at: int) -> None:
        """Note when this entry will end, as it drains."""
        self._ends_at = at

    def _ends_too_late(
        self, flight: flights.Flight, path: search.Path, now: int
    ) -> bool:
        """Tell whether a stream would be cut by the end of this entry.

        Long answers take 7 s and more, most of the grace period; taken in
        its first seconds they were cut at its end, and their callers had to
        ask another entry for the rest.
        """
        if self._ends_at is None or flight.exchange.begun:
            return False
        return now + path.cost_ms > self._ends_at

    def _may_wait(
        self, flight: flights.Flight, lack: choice.Lack, waited: int
    ) -> bool:
        if flight.exchange.begun:
            return self._may_wait_on(flight)
        if lack is choice.Lack.NO_ROOM:
            return waited < QUEUE_MS
        return False

    def _may_wait_on(self, flight: flights.Flight) -> bool:
        """Tell whether a stream may wait for its next event.

        The caller has a part; a second one of its tries can't go on sooner
        than this one.
        """
        return self._clock.now() - flight.active_at < QUEUE_MS

    def _send(
        self, flight: flights.Flight, hops: tuple[search.Hop, ...]
    ) -> None:
        exchange = flight.exchange
        now = self._clock.now()
        exchange.sends += 1
        exchange.runs += 1
        exchange.timing.note_send(now)
        flight.owes_repeat = False
        flight.hops = hops
        flight.active_at = now
        flight.asked_at = now
        flight.generation += 1
        flight.head = None
        flight.body.clear()
        flight.events.drop_pending()
        self._taken.take(hops, flight.need.tokens)
        flight.reading_tokens = flight.need.prompt_tokens
        self._taken.begin_reading(hops, flight.reading_tokens)
        run = ports.Run(
            exchange.inquiry,
            hops[0].server,
            hops,
            exchange.compute_left(now),
            exchange.workspace_name,
            flight.events.last_id or exchange.inquiry.resume_after,
            exchange.priority,
        )
        exchange.path = search.describe_path(hops)
        listener = listeners.RunListener(
            flight,
            functools.partial(self.take_head, flight),
            functools.partial(self.take_body, flight),
            functools.partial(self.take_end, flight),
        )
        flight.stop = self._servers.send(run, listener)

    def take_head(self, flight: flights.Flight, head: ports.Head) -> None:
        """Take the head of an engine's answer."""
        exchange = flight.exchange
        flight.head = head
        first = flight.first_server
        if first is not None:
            self._beliefs.outliers.note_success(first.id, self._clock.now())
        if not head.ran:
            return
        if head.status == _OK and head.genuine and not exchange.begun:
            flight.active_at = self._clock.now()
            exchange.begun = True
            exchange.reply.begin(head.status, head.headers)

    def take_body(self, flight: flights.Flight, chunk: bytes) -> None:
        """Take a piece of an engine's answer."""
        head = flight.head
        exchange = flight.exchange
        if head is None or head.status != _OK or not head.genuine:
            flight.body.extend(chunk)
            return
        now = self._clock.now()
        whole = flight.events.take(chunk)
        if whole:
            if flight.events.count > 1:
                self.usual_pause.note(now - flight.active_at)
                flight.rhythm.note(now - flight.active_at)
            flight.active_at = now
            self._end_reading(flight)
            exchange.timing.note_event(now)
            if exchange.first_event_at is None:
                exchange.first_event_at = now
            exchange.reply.write(whole)

    def take_end(self, flight: flights.Flight, ending: ports.Ending) -> None:
        """Take the end of a run."""
        head = flight.head
        exchange = flight.exchange
        flight.stop = None
        first = flight.first_server
        if ending is ports.Ending.NOT_SENT:
            exchange.runs -= 1
            self._blame.note_not_reached(first)
            self._again(flight, 'not_reached')
        elif head is not None and not head.ran:
            exchange.runs -= 1
            self._take_refusal(flight, head)
        elif ending is ports.Ending.BROKEN or head is None:
            self._blame.note_broken(flight)
            self._again(flight, 'broken')
        elif head.status == _OK and head.genuine:
            if flight.events.pending:
                self._again(flight, 'broken')
                return
            self._free(flight)
            exchange.reply.finish()
            self._end(flight, 'served')
        elif head.genuine and not exchange.begun:
            self._take_failure(flight, head)
        else:
            self._again(flight, 'malformed')

    def _take_refusal(self, flight: flights.Flight, head: ports.Head) -> None:
        """Send a request elsewhere that an engine states not to have run."""
        self._blame.note_refusal(flight, head)
        self._again(flight, f'refused_by_engine_{head.status}')

    def _take_failure(self, flight: flights.Flight, head: ports.Head) -> None:
        """Run a request that failed at its engine once more, or tell it."""
        exchange = flight.exchange
        if self.may_run_again(flight) and self._budget.take(exchange.service):
            first = flight.first_server
            if first is not None:
                exchange.avoid([first.id], self._clock.now())
            self._free(flight)
            self._start(flight)
            return
        self._free(flight)
        exchange.reply.answer(head.status, head.headers, bytes(flight.body))
        self._end(flight, f'engine_{head.status}')

    def may_run_again(self, flight: flights.Flight) -> bool:
        """Tell whether a request that may have run may run again."""
        exchange = flight.exchange
        lost = flight.lost_runs + int(self._has_lost_engine(flight))
        return (
            exchange.route.repeatable
            and exchange.runs < exchange.route.attempts + lost
            and exchange.sends < MAX_SENDS
            and exchange.compute_left(self._clock.now()) > MIN_LEFT_MS
        )

    def _has_lost_engine(self, flight: flights.Flight) -> bool:
        """Tell whether the engine of a run has ended.

        Such a run does not count among those that a route allows; one on an
        engine that only waits for another one does.
        """
        first = flight.first_server
        return first is not None and self._beliefs.is_lost(first.id)

    def _may_send_again(self, flight: flights.Flight) -> bool:
        """Tell whether a request that did not run may be sent again."""
        exchange = flight.exchange
        return (
            exchange.sends < MAX_SENDS
            and exchange.compute_left(self._clock.now()) > MIN_LEFT_MS
        )

    def _again(
        self,
        flight: flights.Flight,
        reason: str,
        path: search.Path | None = None,
    ) -> None:
        """Send a request once more where that is allowed, or end it."""
        exchange = flight.exchange
        ran = exchange.runs > 0
        self._free(flight)
        allowed = (
            self.may_run_again(flight) if ran else self._may_send_again(flight)
        )
        exchange.note = reason
        exchange.timing.note_disturbance(reason)
        if allowed:
            logger.info(
                'run_repeated',
                id=exchange.inquiry.id,
                reason=reason,
                sends=exchange.sends,
                after=flight.events.last_id,
            )
            flight.owes_repeat = True
            self._start(flight, path)
            return
        self._give_up(flight, reason, self._random.randint(*COMES_BACK_MS))

    def find_usual_pause(self, flight: flights.Flight) -> float:
        """Return the milliseconds that usually pass between two events."""
        return (
            flight.rhythm.mean_ms
            or self.usual_pause.mean_ms
            or silence.UNKNOWN_MS
        )

    def count_pauses(self, flight: flights.Flight, now: int) -> float:
        """Return the silence of a stream in usual pauses of its own."""
        return (now - flight.active_at) / self.find_usual_pause(flight)

    def mend(self, flight: flights.Flight, reason: str) -> None:
        """Leave a path on which nothing comes any more.

        A stream that may not go on elsewhere stays: its engine may still
        go on, as the suspicion of another one may be wrong, and left now it
        would be cut for certain.
        """
        if flight.exchange.ended or not flight.hops:
            return
        path = self._find_way_on(flight)
        if path is None:
            return
        if flight.stop is not None:
            flight.stop()
            flight.stop = None
        flight.generation += 1
        flight.lost_runs += int(self._has_lost_engine(flight))
        self._again(flight, reason, path)

    def _find_way_on(self, flight: flights.Flight) -> search.Path | None:
        """Find another path on which a request could go on now."""
        exchange = flight.exchange
        if not self.may_run_again(flight):
            return None
        if not self._budget.has_room(exchange.service, exchange.begun):
            return None
        found = self.paths.find(flight)
        return found if isinstance(found, search.Path) else None

    def move(
        self, flight: flights.Flight, hops: tuple[search.Hop, ...]
    ) -> None:
        """Note that a running request goes on over another path."""
        flight.exchange.timing.note_disturbance('path_changed')
        self._end_reading(flight)
        self._taken.free(flight.hops, flight.need.tokens)
        flight.hops = hops
        flight.exchange.path = search.describe_path(hops)
        self._taken.take(hops, flight.need.tokens)

    def _give_up(
        self, flight: flights.Flight, reason: str, retry_after_ms: int
    ) -> None:
        """End a request that can't be served now."""
        exchange = flight.exchange
        self._free(flight)
        if exchange.begun:
            exchange.note = reason
            exchange.reply.abort()
            self._end(flight, 'cut')
        elif exchange.runs > 0 and not exchange.route.repeatable:
            self._finish_refused(flight, 502, f'outcome_unknown_{reason}')
        elif exchange.runs > 0:
            self._finish_refused(flight, 502, reason)
        else:
            self._finish_refused(flight, 503, reason, retry_after_ms)

    def _finish_refused(
        self,
        flight: flights.Flight,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
    ) -> None:
        self.flights.discard(flight)
        flight.exchange.refuse(status, reason, retry_after_ms)

    def _time_out(self, flight: flights.Flight) -> None:
        exchange = flight.exchange
        if flight.stop is not None:
            flight.stop()
            flight.stop = None
        flight.generation += 1
        self._free(flight)
        if exchange.begun:
            exchange.note = 'deadline'
            exchange.reply.abort()
            self._end(flight, 'cut')
        elif exchange.runs > 0:
            self._finish_refused(flight, 504, 'deadline')
        else:
            self._finish_refused(flight, 503, 'deadline', 500)

    def _leave(self, flight: flights.Flight) -> None:
        """End the work for a caller that has left."""
        if flight.exchange.ended:
            return
        if flight.stop is not None:
            flight.stop()
            flight.stop = None
        flight.generation += 1
        self._free(flight)
        self._end(flight, 'caller_left')

    def _end_reading(self, flight: flights.Flight) -> None:
        if flight.reading_tokens:
            self._taken.end_reading(flight.hops, flight.reading_tokens)
            flight.reading_tokens = 0.0

    def _free(self, flight: flights.Flight) -> None:
        self._end_reading(flight)
        if flight.hops:
            self._taken.free(flight.hops, flight.need.tokens)
            flight.hops = ()

    def _end(self, flight: flights.Flight, outcome: str) -> None:
        self.flights.discard(flight)
        flight.exchange.end(outcome)
