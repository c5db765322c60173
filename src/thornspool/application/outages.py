"""Spreads the end of a platform outage from one entry to all others.

An entry that only waited for its own next call would refuse actions until
its backoff ends, although other entries already serve them. An entry whose
call succeeds after failures therefore notifies a few others. Each of them
calls the platform at once and, if that succeeds, notifies a few more. Only a
response of the platform ends a backoff, so a wrong notice costs one read.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import ports

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import random as randoms

    from thornspool import clock as clock_module

NOTICE_FAN_OUT = 8
"""Number of entries that one entry notifies; three rounds reach 350."""

READ_DELAY_PER_ENTRY_MS = 1
"""Range of the random delay of a read, per entry: all entries together send at
most a thousand reads a second."""

MIN_NOTICE_INTERVAL_MS = 1_000
"""Minimum interval between two notices that cause a read. It limits the reads
when the platform responds only intermittently."""

_MIN_PROBE_DELAY_MS = 10
"""Minimum delay between two probes, also while the call budget is empty."""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


@attrs.frozen
class PlatformBack:
    """Notice that the platform responded to the sender after failures."""


class OutageService:
    """Handles outages of the platform at the local entry.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    platform : ports.OutageSource
        Client of the platform.
    peers : ports.Peers
        Messaging between entries.
    members : ports.MemberView
        Entries in view.
    incarnation : str
        Incarnation of the local entry.
    random_source : random.Random
        Chooses the entries to notify and the delay of reads.
    on_recovery : callable
        Called when an outage ends at this entry.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        platform: ports.OutageSource,
        peers: ports.Peers,
        members: ports.MemberView,
        incarnation: str,
        random_source: randoms.Random,
        on_recovery: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._peers = peers
        self._members = members
        self._incarnation = incarnation
        self._random = random_source
        self._on_recovery = on_recovery
        self._last_notice_at: int | None = None
        self._task: asyncio.Task[None] | None = None
        peers.handle(PlatformBack, self._handle_notice)
        platform.set_outage_callbacks(
            self._count_members, self._start_probing, self._handle_recovery
        )

    def _count_members(self) -> int:
        return len(self._members.list_members())

    def _start_probing(self) -> None:
        """Probe the platform until it responds, as its call budget allows.

        Without probes, the next call may come much later, and the first
        caller after the outage would be refused.
        """
        if self._task is None or self._task.done():
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._probe_until_recovered())

    async def _probe_until_recovered(self) -> None:
        while (wait_ms := self._platform.compute_backoff_ms()) is not None:
            await asyncio.sleep(max(wait_ms, _MIN_PROBE_DELAY_MS) / _MS_PER_S)
            await self._probe()

    async def stop(self) -> None:
        """Stop probing."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _probe(self) -> None:
        try:
            await self._platform.probe()
        except exceptions.PlatformCallNotSent as error:
            await asyncio.sleep(error.retry_after_ms / _MS_PER_S)
        except exceptions.PlatformError as error:
            logger.debug('platform_probe_failed', reason=str(error))

    def _handle_recovery(self) -> None:
        logger.info('platform_back')
        self._on_recovery()
        others = [
            member
            for member in self._members.list_members()
            if member.incarnation != self._incarnation
            and member.state is not ports.MemberState.DEAD
        ]
        chosen = self._random.sample(others, min(NOTICE_FAN_OUT, len(others)))
        for member in chosen:
            self._peers.send(member.peer_address, PlatformBack())

    async def _handle_notice(
        self, _sender: str, _notice: PlatformBack
    ) -> None:
        if (
            self._platform.compute_backoff_ms() is None
            or not self._accept_notice()
        ):
            return
        max_delay_ms = self._count_members() * READ_DELAY_PER_ENTRY_MS
        delay_ms = self._random.uniform(0, max_delay_ms)
        await asyncio.sleep(delay_ms / _MS_PER_S)
        self._platform.end_backoff()
        await self._probe()

    def _accept_notice(self) -> bool:
        now = self._clock.now()
        last = self._last_notice_at
        if last is not None and now - last < MIN_NOTICE_INTERVAL_MS:
            return False
        self._last_notice_at = now
        return True
