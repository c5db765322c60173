"""Readiness and load of targets, by polls and updates of other entries."""

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

TICK_INTERVAL_MS = 100
POLL_INTERVAL_MS = 1500
POLL_JITTER_FRACTION = 0.1
POLL_TIMEOUT_MS = 1000
PROBE_TIMEOUT_MS = 100
PROBE_TTL_MS = 2000
POLLERS_PER_TARGET = 2
MAX_IN_FLIGHT_POLLS = 32
RECOVERY_POLLS_PER_S = 2
SEND_BATCH_SIZE = 32

Readiness = messages.Readiness
FetchLoad = typing.Callable[
    ['documents.Target'], 'Awaitable[messages.LoadReport]'
]

logger = structlog.get_logger(__name__)


class TargetService:
    """Maintains readiness and load of targets.

    Its sources are polls, responses of targets and updates of other entries.

    Parameters
    ----------
    clock : Clock
        Source of time.
    peers : Peers
        Messaging between entries.
    members : MemberView
        Entries in view.
    incarnation : str
        Incarnation of the local entry.
    read_snapshot : callable
        Returns the configuration in force.
    fetch_load : coroutine function
        Fetches the load report of a target; raises ``TargetError``.
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
        self._availabilities: dict[str, availability.Availability] = {}
        self._loads: dict[str, messages.LoadReport] = {}
        self._leaving_hosts: frozenset[str] = frozenset()
        self._assignment = rendezvous.Assignment(POLLERS_PER_TARGET)
        self._assigned: frozenset[str] = frozenset()
        self._last_members: tuple[ports.Member, ...] | None = None
        self._incarnations: tuple[str, ...] = ()
        self._configuration_version: int | None = None
        self._next_poll_at: dict[str, int] = {}
        self._recovery_poll_credit = 0.0
        self._polls: set[asyncio.Task[bool]] = set()
        self._probes: dict[str, asyncio.Future[bool]] = {}
        self._responded_at: dict[str, int] = {}
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._leaving_announcements: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None
        peers.handle(messages.TargetNews, self._apply_target_update)
        peers.handle(messages.HostNews, self._apply_host_update)

    async def start(self) -> None:
        """Start to poll."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop polling."""
        tasks: list[asyncio.Future[typing.Any]] = [
            *self._polls,
            *self._send_tasks,
            *self._probes.values(),
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
        """Return whether a target accepts new work.

        A target that is no longer configured counts as leaving.
        """
        document = self._read_snapshot().targets.get(target)
        if document is None:
            return Readiness.LEAVING
        return availability.derive_readiness(
            self._get_availability(target),
            document.leaving,
            document.host in self._leaving_hosts,
        )

    def read_load(self, target: str) -> messages.LoadReport | None:
        """Return the last load report of a target; None before the first."""
        return self._loads.get(target)

    def record_failure(self, target: str, reason: str) -> None:
        """Record a failed call; the target gets no work for some time."""
        self._record_failure(target, reason, is_conclusive=True)

    def apply_load_report(self, report: messages.LoadReport) -> None:
        """Apply a load report of a response or a poll."""
        if report.target not in self._read_snapshot().targets:
            return
        self._loads[report.target] = report
        before = self._get_availability(report.target)
        now = self._clock.now()
        after = availability.apply_own_readiness(before, report.readiness, now)
        self._set_availability(report.target, after)
        if report.target in self._assigned:
            self._announce_change(report.target, before, after)

    def apply_host_list(self, hosts: Iterable[ports.Host]) -> None:
        """Apply the platform's host list and broadcast a change."""
        leaving = frozenset(
            host.name
            for host in hosts
            if host.state is ports.HostState.LEAVING
        )
        if leaving == self._leaving_hosts:
            return
        self._leaving_hosts = leaving
        logger.info('hosts_leaving', hosts=','.join(sorted(leaving)))
        self._broadcast(messages.HostNews(tuple(sorted(leaving))))

    def tick(self) -> None:
        """Run the periodic work; called ten times a second."""
        self._apply_configuration()
        self._apply_members()
        now = self._clock.now()
        for target in self._list_due(now):
            self._start_poll(target, now)

    async def is_responsive(self, target: str) -> bool:
        """Probe a target immediately, for a request that waits for it.

        Many requests wait for the same target when it is unresponsive; they
        share one probe. A target that responded is not probed again for
        `PROBE_TTL_MS`: when all targets are overloaded, every entry waits
        for each of them, and their probes would add to the load.

        Returns
        -------
        bool
            Whether the target responded.
        """
        responded_at = self._responded_at.get(target)
        now = self._clock.now()
        if responded_at is not None and now - responded_at < PROBE_TTL_MS:
            return True
        probe = self._probes.get(target)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(target))
            self._probes[target] = probe
            probe.add_done_callback(lambda _: self._probes.pop(target))
        return await asyncio.shield(probe)

    async def _probe(self, target: str) -> bool:
        responded = await self.poll(target, PROBE_TIMEOUT_MS)
        if responded:
            self._responded_at[target] = self._clock.now()
        return responded

    async def poll(
        self, target: str, timeout_ms: int = POLL_TIMEOUT_MS
    ) -> bool:
        """Poll the load of a target and return whether it responded."""
        document = self._read_snapshot().targets.get(target)
        if document is None:
            return False
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                report = await self._fetch_load(document)
        except exceptions.TargetUnreachable as error:
            self._record_failure(target, str(error), is_conclusive=True)
        except (exceptions.TargetError, TimeoutError) as error:
            self._record_failure(target, str(error), is_conclusive=False)
        else:
            self.apply_load_report(report)
            return True
        return False

    # Availability of targets.

    def _get_availability(self, target: str) -> availability.Availability:
        return self._availabilities.get(target, availability.Availability())

    def _set_availability(
        self, target: str, current: availability.Availability, reason: str = ''
    ) -> None:
        before = self._get_availability(target)
        if before.is_usable != current.is_usable:
            logger.info(
                'target_changed',
                target=target,
                leaving=current.is_leaving,
                failed=current.is_failed,
                reason=reason,
            )
        if current == availability.Availability():
            self._availabilities.pop(target, None)
            return
        self._availabilities[target] = current

    def _record_failure(
        self, target: str, reason: str, is_conclusive: bool
    ) -> None:
        if target not in self._read_snapshot().targets:
            return
        current = availability.record_failure(
            self._get_availability(target),
            self._clock.now(),
            self._random.random(),
            is_conclusive,
        )
        self._set_availability(target, current, reason)

    def _apply_configuration(self) -> None:
        snapshot = self._read_snapshot()
        if snapshot.version == self._configuration_version:
            return
        self._configuration_version = snapshot.version
        names = snapshot.targets.keys()
        for by_target in (
            self._availabilities,
            self._loads,
            self._leaving_announcements,
            self._next_poll_at,
            self._responded_at,
        ):
            for name in by_target.keys() - names:
                del by_target[name]
        self._assignment.set_tasks(names)
        self._assign()

    def _apply_members(self) -> None:
        members = self._members.list_members()
        if members is self._last_members:
            return
        self._last_members = members
        incarnations = tuple(member.incarnation for member in members)
        if incarnations == self._incarnations:
            return
        self._incarnations = incarnations
        added = self._assignment.set_members(incarnations)
        self._assign()
        self._send_leaving_targets(
            [m for m in members if m.incarnation in added]
        )

    def _send_leaving_targets(self, members: Iterable[ports.Member]) -> None:
        """Send the leaving targets to new members.

        New members missed the earlier updates. They would give new work to
        targets that began to leave before they joined.
        """
        leaving = self._list_leaving_targets()
        if leaving:
            self._send(members, messages.TargetNews(leaving=leaving))

    def _list_leaving_targets(self) -> tuple[str, ...]:
        return tuple(
            sorted(
                t
                for t in self._assigned
                if self._get_availability(t).is_leaving
            )
        )

    # Polling.

    def _assign(self) -> None:
        assigned = frozenset(self._assignment.list_tasks(self._incarnation))
        now = self._clock.now()
        for target in sorted(assigned - self._assigned):
            delay = self._random.randrange(POLL_INTERVAL_MS // 3)
            self._next_poll_at[target] = now + delay
        for target in self._assigned - assigned:
            self._next_poll_at.pop(target, None)
        self._assigned = assigned

    def _list_due(self, now: int) -> list[str]:
        due = [
            target for target, at in self._next_poll_at.items() if at <= now
        ]
        self._recovery_poll_credit = min(
            float(RECOVERY_POLLS_PER_S),
            self._recovery_poll_credit
            + RECOVERY_POLLS_PER_S * TICK_INTERVAL_MS / 1000,
        )
        recovery_polls = sorted(
            (current.probe_at, target)
            for target, current in self._availabilities.items()
            if not current.is_usable
            and current.probe_at <= now
            and target not in self._assigned
        )
        chosen = recovery_polls[: int(self._recovery_poll_credit)]
        self._recovery_poll_credit -= len(chosen)
        return due + [target for _, target in chosen]

    def _start_poll(self, target: str, now: int) -> None:
        if len(self._polls) >= MAX_IN_FLIGHT_POLLS:
            return
        if target in self._assigned:
            jitter = self._random.uniform(
                1 - POLL_JITTER_FRACTION, 1 + POLL_JITTER_FRACTION
            )
            self._next_poll_at[target] = now + int(POLL_INTERVAL_MS * jitter)
        current = self._availabilities.get(target)
        if current is not None:
            postponed = availability.postpone_check(current, now)
            self._availabilities[target] = postponed
        task = asyncio.create_task(self.poll(target))
        self._polls.add(task)
        task.add_done_callback(self._finish_poll)

    def _finish_poll(self, task: asyncio.Task[bool]) -> None:
        self._polls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error('target_poll_failed', exc_info=task.exception())

    async def _run(self) -> None:
        while True:
            # An error in one round must not end the polling. Otherwise
            # leaving targets would be given new work, without any log line.
            try:
                self.tick()
            except Exception:
                logger.exception('target_tick_failed')
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    # Updates between entries.

    def _announce_change(
        self,
        target: str,
        before: availability.Availability,
        after: availability.Availability,
    ) -> None:
        if after.is_leaving:
            self._announce_leaving(target)
        elif not before.is_usable:
            self._leaving_announcements.pop(target, None)
            self._broadcast(messages.TargetNews(ready=(target,)))

    def _announce_leaving(self, target: str) -> None:
        # A message may be lost, so the next poll announces it again.
        announcements = self._leaving_announcements.get(target, 0)
        if announcements < 2:
            self._leaving_announcements[target] = announcements + 1
            self._broadcast(messages.TargetNews(leaving=(target,)))

    def _broadcast(self, update: typing.Any) -> None:
        self._send(self._members.list_members(), update)

    def _send(
        self, members: Iterable[ports.Member], update: typing.Any
    ) -> None:
        addresses = [
            member.peer_address
            for member in members
            if member.incarnation != self._incarnation
        ]
        for address in addresses[:SEND_BATCH_SIZE]:
            self._peers.send(address, update)
        if len(addresses) <= SEND_BATCH_SIZE:
            return
        task = asyncio.create_task(
            self._send_remaining(addresses[SEND_BATCH_SIZE:], update)
        )
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    async def _send_remaining(
        self, addresses: list[str], update: typing.Any
    ) -> None:
        # Sending to 350 entries occupies the event loop for about 30 ms,
        # which would delay every token stream. Other tasks therefore run
        # between the batches.
        for start in range(0, len(addresses), SEND_BATCH_SIZE):
            await asyncio.sleep(0)
            for address in addresses[start : start + SEND_BATCH_SIZE]:
                self._peers.send(address, update)

    async def _apply_target_update(
        self, sender: str, update: messages.TargetNews
    ) -> None:
        now = self._clock.now()
        for names, readiness in (
            (update.leaving, Readiness.LEAVING),
            (update.ready, Readiness.READY),
        ):
            for name in names:
                if name in self._read_snapshot().targets:
                    current = self._get_availability(name)
                    updated = availability.apply_reported_readiness(
                        current, readiness, now
                    )
                    self._set_availability(name, updated)

    async def _apply_host_update(
        self, sender: str, update: messages.HostNews
    ) -> None:
        self._leaving_hosts = frozenset(update.leaving)
