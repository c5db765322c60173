"""Streams that pause: which engine is at fault.

Work that depends on a lost engine stands still for seconds before anybody
says so, and callers give a stream up after two. So the engines that silent
streams point at are asked at once whether they live, and the first engine of
a stream that pauses on, which knows the engine that it waits for.
"""

from __future__ import annotations

import asyncio
import collections
import typing

import structlog

from thornspool.application.routing import beliefs as beliefs_module
from thornspool.application.routing import questions
from thornspool.application.routing import repairs
from thornspool.domain.fleet import paces
from thornspool.domain.fleet import sweeps
from thornspool.domain.paths import silence

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import flights
    from thornspool.application.routing import ports
    from thornspool.application.routing import streams
    from thornspool.domain.fleet import messages as fleet

FIRST_EVENT_MS = 450
"""Silence before the first event after which its engine is asked.

A usual prompt is read in 30 to 100 ms; the aim of callers is 500 ms.
"""

PAUSE_MS = 350
"""Silence between events after which the engine is asked; usual pauses are
30 to 60 ms, and the engine's own report is 200 ms old."""

LATE_FIRST_MS = 180
"""Silence before the first event after which all engines of a path are
asked how fast they work: three times the usual 60 ms."""

LATE_PAUSE_MS = 150
"""Silence between events after which they are asked; callers count a stream
as late from a pause of 200 ms."""

RECHECK_MS = (500, 1_000)
"""Range of the age at which a slow engine's pace is asked for again.

The first entry that asks tells the others, so that about one of them asks.
While an engine that has recovered counts as slow, the others take its load.
"""

GIVE_UP_MS = 1_500
"""Silence after which a stream leaves its path without knowing why; callers
leave after 2 s."""

_MS_PER_S = 1000.0

LOSS_REPORT_MS = 40
"""Longest wait for the report of an engine that may be lost; a sound one
answers within some 10 ms."""

SECOND_QUESTION_MS = 20
"""Time after which an engine that may be lost is asked a second time; a lost
packet takes one question, and both unanswered prove the loss."""

QUICK_LATE_MS = 15
"""Lateness of this entry from which an unanswered short question shows
nothing: the answer may lie unread."""

LATE_LOOK_MS = 75
"""Lateness of a look from which silence proves nothing: what came meanwhile
is not read yet."""

FROZEN_MS = 500
"""Lateness of its own work after which an entry distrusts what it timed."""

logger = structlog.get_logger(__name__)


class Detector:
    """Watches the streams of an entry.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Where suspects are noted.
    service : streams.StreamService
        Whose streams are watched.
    servers : ports.Servers
        Calls to engines.
    random_source : random.Random
        Spreads questions of many entries.
    count_entries : callable
        Returns how many entries ask.
    tell : callable, optional
        Tells peers which servers have failed.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        beliefs: beliefs_module.Beliefs,
        service: streams.StreamService,
        servers: ports.Servers,
        random_source: random.Random,
        count_entries: Callable[[], int],
        tell: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs
        self._service = service
        self._servers = servers
        self._random = random_source
        self._count_entries = count_entries
        self._tell = tell
        self._tasks: set[asyncio.Task[None]] = set()
        self._questions = questions.Questions(clock.now(), self._count_share)
        self._worked_at = clock.now()
        self._looked_at = clock.now()
        self._sweep = sweeps.Sweep()
        self._looks_again = False
        self._repairs = repairs.Repairs(clock, service, servers, self._run)

    def _count_share(self) -> float:
        """Count the engines for each entry that may ask."""
        return len(self._beliefs.servers) / self._count_entries()

    def work(self) -> None:
        """Look for streams that pause; run every 100 ms or so."""
        now = self._clock.now()
        late = now - self._worked_at
        self._worked_at = now
        if late > FROZEN_MS:
            # This host stood still: what came meanwhile is not read yet,
            # and silence proves nothing about the engines.
            logger.warning('entry_stood_still', milliseconds=late)
            for flight in self._service.flights:
                flight.active_at = now
            return
        for flight in list(self._service.flights):
            if flight.stop is None or flight.mending:
                continue
            self._check(flight, now)
        self._check_refusals(now)
        self._check_paces(now)
        self._recheck_slow(now)
        self._ask_swept(now)

    def look(self) -> None:
        """Look for streams that fall silent together; run every few ms."""
        now = self._clock.now()
        late = now - self._looked_at
        self._looked_at = now
        if late > LATE_LOOK_MS:
            return
        self.leave_suspects()
        doubtful = [
            self._beliefs.servers[name]
            for name in self._find_doubtful(now)
            if name in self._beliefs.servers
            and name not in self._beliefs.suspects
        ]
        asked = [one for one in doubtful if self._questions.take(one, now)]
        if asked:
            self._run(self._ask_quickly(asked))

    def _find_doubtful(self, now: int) -> list[str]:
        """Find the engines that the silence of streams points at."""
        return silence.find_doubtful(
            (one.engines, self._service.count_pauses(one, now))
            for one in self._list_running()
            if one.events.count
        )

    def _look_again(self, after_ms: float) -> None:
        """Look for streams to move once more, when the next one is overdue."""
        if not self._looks_again:
            self._looks_again = True
            self._run(self._look_later(after_ms))

    async def _look_later(self, after_ms: float) -> None:
        await asyncio.sleep(max(1.0, after_ms) / _MS_PER_S)
        self._looks_again = False
        self.leave_suspects()

    def _list_running(self) -> list[flights.Flight]:
        return [
            one
            for one in self._service.flights
            if one.stop is not None and not one.mending
        ]

    def leave_suspects(self) -> None:
        """Let streams leave the engines that are suspected."""
        if not self._beliefs.suspects:
            return
        for flight in self._list_running():
            self._move_off_suspect(flight)

    def _check_refusals(self, now: int) -> None:
        """Ask engines that have refused work whether they live.

        The first engine of a path refuses in the name of one that is gone,
        as of one that is full. One that is gone was tried again and again
        while the store, and with it the list of engines, was away.
        """
        doubted, self._beliefs.doubted = self._beliefs.doubted, set()
        for name in doubted:
            server = self._beliefs.servers.get(name)
            if server is not None:
                self._ask_within_budget(server, now)

    def _check(self, flight: flights.Flight, now: int) -> None:
        if self._move_off_suspect(flight):
            return
        quiet = now - flight.active_at
        begun = flight.events.count > 0
        if quiet < (PAUSE_MS if begun else FIRST_EVENT_MS):
            return
        if quiet >= GIVE_UP_MS and self._service.may_run_again(flight):
            names = [hop.server.id for hop in flight.hops]
            flight.exchange.avoid(names, now)
            self._service.mend(flight, 'silent')
            return
        first = flight.first_server
        if first is None or now - flight.asked_at < questions.ASK_AGAIN_MS:
            return
        flight.asked_at = now
        self._ask_pace(first, now)

    def _check_paces(self, now: int) -> None:
        """Ask the engines of late streams how fast they work.

        Those that most late streams have in common come first: they are
        the likeliest to be at fault, and questions are priced.
        """
        suspected: collections.Counter[str] = collections.Counter()
        for flight in self._service.flights:
            if flight.stop is not None and self._is_late(flight, now):
                suspected.update(hop.server.id for hop in flight.hops)
        for name, _ in suspected.most_common():
            if self._beliefs.paces.is_fresh(name, now):
                continue
            server = self._beliefs.servers.get(name)
            if server is not None and not self._ask_within_budget(server, now):
                return

    def _is_late(self, flight: flights.Flight, now: int) -> bool:
        quiet = now - flight.active_at
        begun = flight.events.count > 0
        return quiet >= (LATE_PAUSE_MS if begun else LATE_FIRST_MS)

    def _ask_within_budget(self, server: fleet.Server, now: int) -> bool:
        """Ask an engine; False when this entry has asked enough for now."""
        if not self._questions.has_any(now):
            return False
        if self._questions.take(server, now):
            self._run(self._ask(server))
        return True

    def _recheck_slow(self, now: int) -> None:
        """Ask slow engines again, before what is known of them is old."""
        slow = self._beliefs.paces.select(self._beliefs.servers, now)
        for name in slow:
            age_ms = self._random.randint(*RECHECK_MS)
            if not self._beliefs.paces.is_fresh(name, now, age_ms):
                self._ask_within_budget(self._beliefs.servers[name], now)

    def _begin_sweep(self, service: str, now: int) -> None:
        """Have all engines of a service asked, as one has turned slow."""
        names = [
            name
            for name, one in self._beliefs.servers.items()
            if one.service == service
        ]
        self._sweep.begin(names, self._random, now)

    def _ask_swept(self, now: int) -> None:
        for name in self._sweep.take_next():
            server = self._beliefs.servers.get(name)
            if server is None or self._beliefs.paces.is_fresh(name, now):
                continue
            self._ask_pace(server, now)

    def _ask_pace(self, server: fleet.Server, now: int) -> None:
        if self._questions.note(server, now):
            self._run(self._ask(server))

    def _move_off_suspect(self, flight: flights.Flight) -> bool:
        """Move a stream off its path when an engine of it is suspected.

        Returns
        -------
        bool
            Whether it was to be moved.
        """
        suspected = [
            hop.server.id
            for hop in flight.hops
            if hop.server.id in self._beliefs.suspects
        ]
        if not suspected:
            return False
        pauses = self._service.count_pauses(flight, self._clock.now())
        begun = flight.events.count > 0
        confirming = silence.UNUSUAL_PAUSES
        if begun:
            confirming = silence.OVERDUE_PAUSES
        if pauses < confirming:
            # It still moves: the suspicion may be wrong.
            usual_ms = self._service.find_usual_pause(flight)
            self._look_again((confirming - pauses) * usual_ms)
            return False
        self._repairs.mend(flight, suspected)
        return True

    def _run(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(self, server: fleet.Server) -> None:
        """Ask an engine which of its requests wait for whom."""
        asked_at = self._clock.now()
        report = await self._servers.ask_report(server)
        if report is None:
            self._beliefs.note_silence(server.id, asked_at, self._clock.now())
            return
        self._take_report(server, report)

    async def _ask_quickly(self, servers: list[fleet.Server]) -> None:
        """Ask engines that may be lost whether they live."""
        asked_at = self._clock.now()
        answers = await asyncio.gather(
            *(self._is_silent(one) for one in servers)
        )
        silent = [
            one
            for one, is_silent in zip(servers, answers, strict=True)
            if is_silent
        ]
        if not silence.is_credible(len(servers), len(silent)):
            logger.warning(
                'own_link_doubted', asked=len(servers), silent=len(silent)
            )
            return
        for server in silent:
            self._beliefs.note_silence(
                server.id,
                asked_at,
                self._clock.now(),
                LOSS_REPORT_MS,
                beliefs_module.NO_QUICK_REPORT,
                QUICK_LATE_MS,
            )
        self._tell_losses()

    def _tell_losses(self) -> None:
        """Tell peers of lost engines at once, and leave these.

        The streams of all entries stand still until they hear of it, and
        callers count every pause.
        """
        self._tell()
        self.leave_suspects()

    async def _is_silent(self, server: fleet.Server) -> bool:
        """Ask one engine; tells whether it gave no answer.

        One that refuses the connection is gone, which is noted at once; one
        that is silent gets a second question beside the first.
        """
        asked_at = self._clock.now()
        first = asyncio.ensure_future(
            self._servers.ask_report(server, LOSS_REPORT_MS)
        )
        await asyncio.wait({first}, timeout=SECOND_QUESTION_MS / _MS_PER_S)
        waited_ms = self._clock.now() - asked_at
        report = first.result() if first.done() else None
        refused = first.done() and waited_ms < SECOND_QUESTION_MS
        if report is None and not refused:
            left_ms = LOSS_REPORT_MS - SECOND_QUESTION_MS
            report = await self._servers.ask_report(server, left_ms)
            report = report or await first
        if report is not None:
            self._take_report(server, report)
        elif refused:
            self._beliefs.note_silence(
                server.id, asked_at, self._clock.now(), LOSS_REPORT_MS
            )
            self._tell_losses()
        return report is None and not refused

    def _take_report(self, server: fleet.Server, report: ports.Report) -> None:
        now = self._clock.now()
        self._note_pace(server, report.slowness, now)
        for one in report.stalled:
            blamed = self._beliefs.find_by_address(one.address)
            if blamed is not None:
                self._beliefs.suspect(blamed.id, 'stalls_others', now)

    def _note_pace(
        self, server: fleet.Server, factor: float, now: int
    ) -> None:
        if factor <= 0:
            return
        before = self._beliefs.paces.get(server.id, now)
        self._beliefs.paces.note(server.id, factor, now)
        if before < paces.SLOW <= factor:
            self._begin_sweep(server.service, now)
        if (before >= paces.SLOW) is not (factor >= paces.SLOW):
            logger.info(
                'pace_changed',
                server=server.id,
                before=round(before, 1),
                pace=round(factor, 1),
            )
