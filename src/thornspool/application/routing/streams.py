"""Model requests: their paths, their streams and their retries."""

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
"""Most times that one request is sent, refused sends included."""

QUEUE_MS = 1_500
"""Longest wait for free capacity.

A stream releases its memory after 2 to 4 s, so that some capacity becomes free
every few tens of milliseconds. A request that has waited this long is behind
more requests than the engines can serve.
"""

MIN_LEFT_MS = 300
"""Remaining time below which a run can't even deliver its first event."""

COMES_BACK_MS = (400, 900)
"""Range of Retry-After where no path exists.

A lost engine is detected within 0.5 s, and its neighbours load its layers
within another second.
"""

DRAINING_RETRY_MS = 50
"""Retry-After of a draining entry: another entry can serve at once."""

logger = structlog.get_logger(__name__)

_OK = 200


class StreamService:
    """Serves model requests.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Routing state with the configuration and the engines.
    reserved : reservations.Reservations
        Engine memory that requests reserve.
    servers : ports.Servers
        Client for calls to engines.
    budget : repeats.Repeats
        Retry budget.
    failure_domain : str
        Failure domain of this entry.
    random_source : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        beliefs: beliefs_module.Beliefs,
        reserved: reservations.Reservations,
        servers: ports.Servers,
        budget: repeats.Repeats,
        failure_domain: str,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs
        self._reservations = reserved
        self._servers = servers
        self._budget = budget
        self._random = random_source
        self.paths = finding.PathFinder(
            clock, beliefs, reserved, budget, failure_domain, random_source
        )
        self._fault_attribution = blame.FaultAttribution(clock, beliefs)
        self.flights: set[flights.Flight] = set()
        self.event_interval = silence.UsualPause()
        self._waiting: list[flights.Flight] = []
        self._shutdown_at: int | None = None

    def serve(self, exchange: exchanges.Exchange) -> None:
        """Start to serve a request.

        The exchange ends when the request has been answered.

        Parameters
        ----------
        exchange : exchanges.Exchange
            The request with its route.
        """
        inquiry = exchange.inquiry
        model = self._beliefs.find_model(exchange.service)
        assert model is not None
        need = choice.Need(
            inquiry.prompt_tokens or model.usual_prompt,
            inquiry.answer_tokens or model.usual_answer,
        )
        flight = flights.Flight(exchange, need)
        exchange.reply.set_on_close(lambda: self._abandon(flight))
        self.flights.add(flight)
        self._budget.record_request(exchange.service)
        self._start(flight)

    def work(self) -> None:
        """Start waiting requests and end expired ones; called every few ms."""
        now = self._clock.now()
        for flight in list(self.flights):
            if flight.exchange.compute_left(now) <= 0:
                self._expire(flight)
        self._retry_waiting()

    def _retry_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        waiting.sort(
            key=lambda flight: (
                flight.exchange.priority,
                flight.exchange.inquiry.arrived_at,
            )
        )
        for flight in waiting:
            if not flight.exchange.ended:
                self._start(flight)

    def _start(
        self, flight: flights.Flight, path: search.Path | None = None
    ) -> None:
        """Send a request on a path, queue it or refuse it.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        path : search.Path, optional
            Path that the caller has just found; None to find one.
        """
        now = self._clock.now()
        found = path or self.paths.find(flight)
        if found is None:
            self._fail(flight, 'service_unknown', 1_000)
        elif isinstance(found, choice.Lack):
            self._wait_or_refuse(flight, found)
        elif self._would_be_cut(flight, found, now):
            self._fail(flight, 'draining', DRAINING_RETRY_MS)
        elif flight.needs_retry and not self._acquire_retry(flight):
            self._wait_for_retry(flight)
        else:
            self._send(flight, found.hops)

    def _wait_or_refuse(
        self, flight: flights.Flight, no_path_reason: choice.Lack
    ) -> None:
        waited_ms = self._clock.now() - flight.exchange.inquiry.arrived_at
        if self._may_wait(flight, no_path_reason, waited_ms):
            self._enqueue(flight)
            return
        self._fail(
            flight, no_path_reason.value, self._random.randint(*COMES_BACK_MS)
        )

    def _enqueue(self, flight: flights.Flight) -> None:
        flight.exchange.timing.note_wait(self._clock.now())
        self._waiting.append(flight)

    def _acquire_retry(self, flight: flights.Flight) -> bool:
        exchange = flight.exchange
        return self._budget.take(exchange.service, exchange.begun)

    def _wait_for_retry(self, flight: flights.Flight) -> None:
        """Queue a started stream until a retry is available; refuse others.

        The time window of the retry budget moves on, so that retries become
        available. A cut stream is lost to its caller, while a refused request
        can be sent again.
        """
        exchange = flight.exchange
        if exchange.begun and self._may_wait_for_event(flight):
            self._enqueue(flight)
            return
        self._fail(
            flight,
            f'{exchange.note}_no_repeats',
            self._random.randint(*COMES_BACK_MS),
        )

    def set_end(self, at: int) -> None:
        """Set the time at which this draining entry ends.

        Parameters
        ----------
        at : int
            Time in milliseconds.
        """
        self._shutdown_at = at

    def _would_be_cut(
        self, flight: flights.Flight, path: search.Path, now: int
    ) -> bool:
        """Return whether a stream would be cut by the end of this entry.

        Long answers take 7 s and more, which is most of the grace period.
        Those accepted in its first seconds were cut at its end, and their
        callers had to request the rest from another entry.
        """
        if self._shutdown_at is None or flight.exchange.begun:
            return False
        return now + path.cost_ms > self._shutdown_at

    def _may_wait(
        self,
        flight: flights.Flight,
        no_path_reason: choice.Lack,
        waited_ms: int,
    ) -> bool:
        if flight.exchange.begun:
            return self._may_wait_for_event(flight)
        if no_path_reason is choice.Lack.NO_ROOM:
            return waited_ms < QUEUE_MS
        return False

    def _may_wait_for_event(self, flight: flights.Flight) -> bool:
        """Return whether a started stream may wait for its next event.

        Its caller has received a part of the answer, and an attempt to resume
        by the caller would not be faster than this one.
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
        flight.needs_retry = False
        flight.hops = hops
        flight.active_at = now
        flight.probed_at = now
        flight.generation += 1
        flight.head = None
        flight.body.clear()
        flight.events.drop_pending()
        self._reservations.take(hops, flight.need.tokens)
        flight.prefill_tokens = flight.need.prompt_tokens
        self._reservations.begin_reading(hops, flight.prefill_tokens)
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
            functools.partial(self.handle_head, flight),
            functools.partial(self.handle_body, flight),
            functools.partial(self.handle_end, flight),
        )
        flight.stop = self._servers.send(run, listener)

    def handle_head(self, flight: flights.Flight, head: ports.Head) -> None:
        """Handle the head of an engine's answer.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        head : ports.Head
            The head.
        """
        exchange = flight.exchange
        flight.head = head
        first_server = flight.first_server
        if first_server is not None:
            self._beliefs.outliers.note_success(
                first_server.id, self._clock.now()
            )
        if not head.ran:
            return
        if head.status == _OK and head.genuine and not exchange.begun:
            flight.active_at = self._clock.now()
            exchange.begun = True
            exchange.reply.begin(head.status, head.headers)

    def handle_body(self, flight: flights.Flight, chunk: bytes) -> None:
        """Handle a chunk of an engine's answer.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        chunk : bytes
            The chunk.
        """
        head = flight.head
        exchange = flight.exchange
        if head is None or head.status != _OK or not head.genuine:
            flight.body.extend(chunk)
            return
        now = self._clock.now()
        complete = flight.events.take(chunk)
        if complete:
            if flight.events.count > 1:
                self.event_interval.note(now - flight.active_at)
                flight.event_interval.note(now - flight.active_at)
            flight.active_at = now
            self._end_prefill(flight)
            exchange.timing.note_event(now)
            if exchange.first_event_at is None:
                exchange.first_event_at = now
            exchange.reply.write(complete)

    def handle_end(self, flight: flights.Flight, ending: ports.Ending) -> None:
        """Handle the end of a run.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        ending : ports.Ending
            How the run ended.
        """
        head = flight.head
        exchange = flight.exchange
        flight.stop = None
        first_server = flight.first_server
        if ending is ports.Ending.NOT_SENT:
            exchange.runs -= 1
            self._fault_attribution.record_unreachable(first_server)
            self._retry_or_fail(flight, 'not_reached')
        elif head is not None and not head.ran:
            exchange.runs -= 1
            self._handle_refusal(flight, head)
        elif ending is ports.Ending.BROKEN or head is None:
            self._fault_attribution.record_broken_run(flight)
            self._retry_or_fail(flight, 'broken')
        elif head.status == _OK and head.genuine:
            if flight.events.pending:
                self._retry_or_fail(flight, 'broken')
                return
            self._release(flight)
            exchange.reply.finish()
            self._end(flight, 'served')
        elif head.genuine and not exchange.begun:
            self._handle_failure(flight, head)
        else:
            self._retry_or_fail(flight, 'malformed')

    def _handle_refusal(
        self, flight: flights.Flight, head: ports.Head
    ) -> None:
        """Retry a request that an engine reports not to have run."""
        self._fault_attribution.record_refusal(flight, head)
        self._retry_or_fail(flight, f'refused_by_engine_{head.status}')

    def _handle_failure(
        self, flight: flights.Flight, head: ports.Head
    ) -> None:
        """Retry a request that failed at its engine, or pass on its answer."""
        exchange = flight.exchange
        if self.may_retry(flight) and self._budget.take(exchange.service):
            first_server = flight.first_server
            if first_server is not None:
                exchange.avoid([first_server.id], self._clock.now())
            self._release(flight)
            self._start(flight)
            return
        self._release(flight)
        exchange.reply.answer(head.status, head.headers, bytes(flight.body))
        self._end(flight, f'engine_{head.status}')

    def may_retry(self, flight: flights.Flight) -> bool:
        """Return whether a request that may have run may run again.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        """
        exchange = flight.exchange
        lost = flight.lost_runs + int(self._has_lost_engine(flight))
        return (
            exchange.route.repeatable
            and exchange.runs < exchange.route.attempts + lost
            and exchange.sends < MAX_SENDS
            and exchange.compute_left(self._clock.now()) > MIN_LEFT_MS
        )

    def _has_lost_engine(self, flight: flights.Flight) -> bool:
        """Return whether the first engine of a run is lost.

        Such a run does not count towards the attempts that the route allows. A
        run whose first engine only waits for another engine does.
        """
        first_server = flight.first_server
        return first_server is not None and self._beliefs.is_lost(
            first_server.id
        )

    def _may_resend(self, flight: flights.Flight) -> bool:
        """Return whether a request that did not run may be sent again."""
        exchange = flight.exchange
        return (
            exchange.sends < MAX_SENDS
            and exchange.compute_left(self._clock.now()) > MIN_LEFT_MS
        )

    def _retry_or_fail(
        self,
        flight: flights.Flight,
        reason: str,
        path: search.Path | None = None,
    ) -> None:
        """Send a request once more if this is allowed, or end it."""
        exchange = flight.exchange
        ran = exchange.runs > 0
        self._release(flight)
        allowed = self.may_retry(flight) if ran else self._may_resend(flight)
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
            flight.needs_retry = True
            self._start(flight, path)
            return
        self._fail(flight, reason, self._random.randint(*COMES_BACK_MS))

    def compute_event_interval(self, flight: flights.Flight) -> float:
        """Return the usual interval between two events of a stream.

        Parameters
        ----------
        flight : flights.Flight
            The request.

        Returns
        -------
        float
            Milliseconds; the average of all streams until the stream has one
            of its own.
        """
        return (
            flight.event_interval.mean_ms
            or self.event_interval.mean_ms
            or silence.UNKNOWN_MS
        )

    def count_idle_intervals(self, flight: flights.Flight, now: int) -> float:
        """Return the idle time of a stream in units of its event interval.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        now : int
            Current time in milliseconds.
        """
        return (now - flight.active_at) / self.compute_event_interval(flight)

    def mend(self, flight: flights.Flight, reason: str) -> None:
        """Fail a stalled request over to another path.

        A stream that has no other path, or no retry left, stays on its path.
        Its engine may still continue, as the suspicion of another engine may
        be wrong, while leaving the path would certainly cut the stream.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        reason : str
            Reason for the log.
        """
        if flight.exchange.ended or not flight.hops:
            return
        path = self._find_retry_path(flight)
        if path is None:
            return
        if flight.stop is not None:
            flight.stop()
            flight.stop = None
        flight.generation += 1
        flight.lost_runs += int(self._has_lost_engine(flight))
        self._retry_or_fail(flight, reason, path)

    def _find_retry_path(self, flight: flights.Flight) -> search.Path | None:
        """Find another path on which a request may be retried now."""
        exchange = flight.exchange
        if not self.may_retry(flight):
            return None
        if not self._budget.has_room(exchange.service, exchange.begun):
            return None
        found = self.paths.find(flight)
        return found if isinstance(found, search.Path) else None

    def apply_path_change(
        self, flight: flights.Flight, hops: tuple[search.Hop, ...]
    ) -> None:
        """Record that a running request continues on another path.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        hops : tuple of search.Hop
            The new path.
        """
        flight.exchange.timing.note_disturbance('path_changed')
        self._end_prefill(flight)
        self._reservations.free(flight.hops, flight.need.tokens)
        flight.hops = hops
        flight.exchange.path = search.describe_path(hops)
        self._reservations.take(hops, flight.need.tokens)

    def _fail(
        self, flight: flights.Flight, reason: str, retry_after_ms: int
    ) -> None:
        """End a request that can't be served now."""
        exchange = flight.exchange
        self._release(flight)
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

    def _expire(self, flight: flights.Flight) -> None:
        exchange = flight.exchange
        if flight.stop is not None:
            flight.stop()
            flight.stop = None
        flight.generation += 1
        self._release(flight)
        if exchange.begun:
            exchange.note = 'deadline'
            exchange.reply.abort()
            self._end(flight, 'cut')
        elif exchange.runs > 0:
            self._finish_refused(flight, 504, 'deadline')
        else:
            self._finish_refused(flight, 503, 'deadline', 500)

    def _abandon(self, flight: flights.Flight) -> None:
        """End the run of a caller that has closed the connection."""
        if flight.exchange.ended:
            return
        if flight.stop is not None:
            flight.stop()
            flight.stop = None
        flight.generation += 1
        self._release(flight)
        self._end(flight, 'caller_left')

    def _end_prefill(self, flight: flights.Flight) -> None:
        if flight.prefill_tokens:
            self._reservations.end_reading(flight.hops, flight.prefill_tokens)
            flight.prefill_tokens = 0.0

    def _release(self, flight: flights.Flight) -> None:
        self._end_prefill(flight)
        if flight.hops:
            self._reservations.free(flight.hops, flight.need.tokens)
            flight.hops = ()

    def _end(self, flight: flights.Flight, outcome: str) -> None:
        self.flights.discard(flight)
        flight.exchange.end(outcome)
