"""Which targets may be given new work, and how loaded they are."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.membership import rendezvous
from thornspool.domain.targets import availability
from thornspool.domain.targets import messages

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable
    import random as randoms

    from thornspool import clock
    from thornspool.domain.configuration import documents

TICK_MS = 100
POLL_MS = 1500
POLL_JITTER = 0.1
POLL_TIMEOUT_MS = 1000
CHECK_TIMEOUT_MS = 100
CHECK_INTERVAL_MS = 2000
POLLERS = 2
MAX_POLLS_IN_FLIGHT = 32
CHECKS_PER_S = 2
TELL_BATCH = 32

Readiness = messages.Readiness
FetchLoad = typing.Callable[
    ['documents.Target'], 'Awaitable[messages.LoadReport]'
]

logger = structlog.get_logger(__name__)


class TargetService:
    """The view of targets, kept by polls, answers and the other entries.

    Parameters
    ----------
    clock : Clock
        Source of time.
    peers : Peers
        Messages to the other entries.
    members : MemberView
        The other entries.
    incarnation : str
        This process.
    read_snapshot : callable
        Returns the configuration in force.
    fetch_load : coroutine function
        Asks a target for its load; raises ``TargetError``.
    random : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        clock: clock.Clock,
        peers: ports.Peers,
        members: ports.MemberView,
        incarnation: str,
        read_snapshot: Callable[[], documents.Snapshot],
        fetch_load: FetchLoad,
        random: randoms.Random,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._members = members
        self._incarnation = incarnation
        self._read_snapshot = read_snapshot
        self._fetch_load = fetch_load
        self._random = random
        self._known: dict[str, availability.Availability] = {}
        self._loads: dict[str, messages.LoadReport] = {}
        self._leaving_hosts: frozenset[str] = frozenset()
        self._assignment = rendezvous.Assignment(POLLERS)
        self._assigned: frozenset[str] = frozenset()
        self._seen_members: tuple[ports.Member, ...] | None = None
        self._listed: tuple[str, ...] = ()
        self._version: int | None = None
        self._poll_at: dict[str, int] = {}
        self._check_credit = 0.0
        self._polls: set[asyncio.Task[bool]] = set()
        self._checks: dict[str, asyncio.Future[bool]] = {}
        self._answered_at: dict[str, int] = {}
        self._tells: set[asyncio.Task[None]] = set()
        self._told: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None
        peers.handle(messages.TargetNews, self._receive_news)
        peers.handle(messages.HostNews, self._receive_hosts)

    async def start(self) -> None:
        """Start to poll."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop polling."""
        tasks: list[asyncio.Future[typing.Any]] = [
            *self._polls,
            *self._tells,
            *self._checks.values(),
        ]
        if self._task is not None:
            tasks.append(self._task)
        self._task = None
        for task in tasks:
            task.cancel()
        for task in tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    def read_readiness(self, target: str) -> Readiness:
        """Return whether a target may be given new work now.

        One that is not configured may not: it was taken out.
        """
        document = self._read_snapshot().targets.get(target)
        if document is None:
            return Readiness.LEAVING
        return availability.decide(
            self._find(target),
            document.leaving,
            document.host in self._leaving_hosts,
        )

    def read_load(self, target: str) -> messages.LoadReport | None:
        """Return the last load report of a target, None before the first."""
        return self._loads.get(target)

    def note_failure(self, target: str, reason: str) -> None:
        """Note that a call of a target failed; it gets no work for now."""
        self._note_failure(target, reason, is_certain=True)

    def hear_load(self, report: messages.LoadReport) -> None:
        """Take in a load report of an answer or of a poll."""
        if report.target not in self._read_snapshot().targets:
            return
        self._loads[report.target] = report
        before = self._find(report.target)
        now = self._clock.now()
        after = availability.hear_word(before, report.readiness, now)
        self._put(report.target, after)
        if report.target in self._assigned:
            self._tell_change(report.target, before, after)

    def hear_hosts(self, hosts: Iterable[ports.Host]) -> None:
        """Take in the platform's list of hosts, and pass a change on."""
        leaving = frozenset(
            host.name
            for host in hosts
            if host.state is ports.HostState.LEAVING
        )
        if leaving == self._leaving_hosts:
            return
        self._leaving_hosts = leaving
        logger.info('hosts_leaving', hosts=','.join(sorted(leaving)))
        self._tell_all(messages.HostNews(tuple(sorted(leaving))))

    def tick(self) -> None:
        """Do what is due; the loop calls it ten times a second."""
        self._follow_configuration()
        self._follow_members()
        now = self._clock.now()
        for target in self._list_due(now):
            self._start_poll(target, now)

    async def is_answering(self, target: str) -> bool:
        """Ask a target at once, for somebody who waits for it.

        Many wait for the same target when it is silent; one question serves
        them all. One that answered is not asked again for a while: when all
        targets are overloaded, every entry waits for every one of them, and
        their questions would add to the load.
        """
        answered_at = self._answered_at.get(target)
        now = self._clock.now()
        if answered_at is not None and now - answered_at < CHECK_INTERVAL_MS:
            return True
        check = self._checks.get(target)
        if check is None:
            check = asyncio.ensure_future(self._check(target))
            self._checks[target] = check
            check.add_done_callback(lambda _: self._checks.pop(target))
        return await asyncio.shield(check)

    async def _check(self, target: str) -> bool:
        answers = await self.poll(target, CHECK_TIMEOUT_MS)
        if answers:
            self._answered_at[target] = self._clock.now()
        return answers

    async def poll(
        self, target: str, timeout_ms: int = POLL_TIMEOUT_MS
    ) -> bool:
        """Ask one target for its load and return whether it answered."""
        document = self._read_snapshot().targets.get(target)
        if document is None:
            return False
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                report = await self._fetch_load(document)
        except exceptions.TargetNotReached as error:
            self._note_failure(target, str(error), is_certain=True)
        except (exceptions.TargetError, TimeoutError) as error:
            self._note_failure(target, str(error), is_certain=False)
        else:
            self.hear_load(report)
            return True
        return False

    # What is known.

    def _find(self, target: str) -> availability.Availability:
        return self._known.get(target, availability.Availability())

    def _put(
        self, target: str, known: availability.Availability, reason: str = ''
    ) -> None:
        before = self._find(target)
        if before.is_usable != known.is_usable:
            logger.info(
                'target_changed',
                target=target,
                leaving=known.is_leaving,
                failed=known.is_failed,
                reason=reason,
            )
        if known == availability.Availability():
            self._known.pop(target, None)
            return
        self._known[target] = known

    def _note_failure(
        self, target: str, reason: str, is_certain: bool
    ) -> None:
        if target not in self._read_snapshot().targets:
            return
        known = availability.note_failure(
            self._find(target),
            self._clock.now(),
            self._random.random(),
            is_certain,
        )
        self._put(target, known, reason)

    def _follow_configuration(self) -> None:
        snapshot = self._read_snapshot()
        if snapshot.version == self._version:
            return
        self._version = snapshot.version
        names = snapshot.targets.keys()
        for table in (
            self._known,
            self._loads,
            self._told,
            self._poll_at,
            self._answered_at,
        ):
            for name in table.keys() - names:
                del table[name]
        self._assignment.set_tasks(names)
        self._assign()

    def _follow_members(self) -> None:
        members = self._members.list_members()
        if members is self._seen_members:
            return
        self._seen_members = members
        listed = tuple(member.incarnation for member in members)
        if listed == self._listed:
            return
        self._listed = listed
        added = self._assignment.set_members(listed)
        self._assign()
        self._greet([m for m in members if m.incarnation in added])

    def _greet(self, members: Iterable[ports.Member]) -> None:
        """Tell new members which targets leave.

        They missed the news, and would give new work to targets that have
        been leaving for long.
        """
        leaving = self._list_leaving()
        if leaving:
            self._tell(members, messages.TargetNews(leaving=leaving))

    def _list_leaving(self) -> tuple[str, ...]:
        return tuple(
            sorted(t for t in self._assigned if self._find(t).is_leaving)
        )

    # Polling.

    def _assign(self) -> None:
        assigned = frozenset(self._assignment.list_tasks(self._incarnation))
        now = self._clock.now()
        for target in sorted(assigned - self._assigned):
            delay = self._random.randrange(POLL_MS // 3)
            self._poll_at[target] = now + delay
        for target in self._assigned - assigned:
            self._poll_at.pop(target, None)
        self._assigned = assigned

    def _list_due(self, now: int) -> list[str]:
        due = [target for target, at in self._poll_at.items() if at <= now]
        self._check_credit = min(
            float(CHECKS_PER_S),
            self._check_credit + CHECKS_PER_S * TICK_MS / 1000,
        )
        checks = sorted(
            (known.check_at, target)
            for target, known in self._known.items()
            if not known.is_usable
            and known.check_at <= now
            and target not in self._assigned
        )
        chosen = checks[: int(self._check_credit)]
        self._check_credit -= len(chosen)
        return due + [target for _, target in chosen]

    def _start_poll(self, target: str, now: int) -> None:
        if len(self._polls) >= MAX_POLLS_IN_FLIGHT:
            return
        if target in self._assigned:
            share = self._random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
            self._poll_at[target] = now + int(POLL_MS * share)
        known = self._known.get(target)
        if known is not None:
            waiting = availability.postpone(known, now)
            self._known[target] = waiting
        task = asyncio.create_task(self.poll(target))
        self._polls.add(task)
        task.add_done_callback(self._finish_poll)

    def _finish_poll(self, task: asyncio.Task[bool]) -> None:
        self._polls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error('target_poll_failed', exc_info=task.exception())

    async def _run(self) -> None:
        while True:
            # An error in one round must not end the polling: targets that
            # leave would be given new work without anybody noticing.
            try:
                self.tick()
            except Exception:
                logger.exception('target_tick_failed')
            await asyncio.sleep(TICK_MS / 1000)

    # News between entries.

    def _tell_change(
        self,
        target: str,
        before: availability.Availability,
        after: availability.Availability,
    ) -> None:
        if after.is_leaving:
            self._tell_leaving(target)
        elif not before.is_usable:
            self._told.pop(target, None)
            self._tell_all(messages.TargetNews(ready=(target,)))

    def _tell_leaving(self, target: str) -> None:
        # A message may be lost, so the next poll tells it once more.
        told = self._told.get(target, 0)
        if told < 2:
            self._told[target] = told + 1
            self._tell_all(messages.TargetNews(leaving=(target,)))

    def _tell_all(self, news: typing.Any) -> None:
        self._tell(self._members.list_members(), news)

    def _tell(self, members: Iterable[ports.Member], news: typing.Any) -> None:
        addresses = [
            member.peer_address
            for member in members
            if member.incarnation != self._incarnation
        ]
        for address in addresses[:TELL_BATCH]:
            self._peers.tell(address, news)
        if len(addresses) <= TELL_BATCH:
            return
        task = asyncio.create_task(
            self._tell_rest(addresses[TELL_BATCH:], news)
        )
        self._tells.add(task)
        task.add_done_callback(self._tells.discard)

    async def _tell_rest(self, addresses: list[str], news: typing.Any) -> None:
        # At 350 entries one round takes the loop some 30 ms, which every
        # token stream would notice, so the others get their turn between.
        for start in range(0, len(addresses), TELL_BATCH):
            await asyncio.sleep(0)
            for address in addresses[start : start + TELL_BATCH]:
                self._peers.tell(address, news)

    async def _receive_news(
        self, sender: str, news: messages.TargetNews
    ) -> None:
        now = self._clock.now()
        for names, readiness in (
            (news.leaving, Readiness.LEAVING),
            (news.ready, Readiness.READY),
        ):
            for name in names:
                if name in self._read_snapshot().targets:
                    known = self._find(name)
                    heard = availability.hear_news(known, readiness, now)
                    self._put(name, heard)

    async def _receive_hosts(
        self, sender: str, news: messages.HostNews
    ) -> None:
        self._leaving_hosts = frozenset(news.leaving)
