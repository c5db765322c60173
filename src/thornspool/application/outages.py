"""Ends an outage of the platform at every entry as soon as one sees it end.

Each entry that waited for its own next call would go on refusing actions
for as long as its backoff lasts, though others are served. So an entry whose
call is answered after failures tells a few others, and who hears it calls
the platform at once and, when it is answered, tells a few more. What is told
is never believed: only an answer of the platform ends a backoff, so a false
word costs one read.
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

FAN_OUT = 8
"""Entries told by one that was answered; three rounds reach 350."""

SPREAD_MS_PER_ENTRY = 1
"""Spread of the reads of all entries: a thousand a second at most."""

HEED_INTERVAL_MS = 1_000
"""Least time between two words that are followed, for a platform that
answers now and then."""

_LEAST_WAIT_MS = 10
"""Between two probes, also when none may leave for want of a budget."""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


@attrs.frozen
class PlatformBack:
    """Tells that the platform answered the sender after failures."""


class OutageService:
    """Follows the outages of the platform on this entry.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    platform : ports.FailingPlatform
        The platform's client.
    peers : ports.Peers
        Messages to the other entries.
    members : ports.MemberView
        The entries in view.
    incarnation : str
        This entry's own.
    random_source : random.Random
        Chooses who is told, and when to read.
    note_back : callable
        Called when an outage ends for this entry.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        platform: ports.FailingPlatform,
        peers: ports.Peers,
        members: ports.MemberView,
        incarnation: str,
        random_source: randoms.Random,
        note_back: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._platform = platform
        self._peers = peers
        self._members = members
        self._incarnation = incarnation
        self._random = random_source
        self._note_back = note_back
        self._heeded_at: int | None = None
        self._task: asyncio.Task[None] | None = None
        peers.handle(PlatformBack, self._hear)
        platform.follow_outages(
            self._count_members, self._begin_probing, self._take_recovery
        )

    def _count_members(self) -> int:
        return len(self._members.list_members())

    def _begin_probing(self) -> None:
        """Call the platform until it answers, at the pace of its gate.

        Left to the calls of others, the next one may be long in coming, and
        the first caller after the outage would be refused.
        """
        if self._task is None or self._task.done():
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._probe_until_back())

    async def _probe_until_back(self) -> None:
        while (wait_ms := self._platform.read_backoff()) is not None:
            await asyncio.sleep(max(wait_ms, _LEAST_WAIT_MS) / _MS_PER_S)
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
        except exceptions.PlatformHeldBack as error:
            await asyncio.sleep(error.retry_after_ms / _MS_PER_S)
        except exceptions.PlatformError as error:
            logger.debug('platform_probe_failed', reason=str(error))

    def _take_recovery(self) -> None:
        logger.info('platform_back')
        self._note_back()
        others = [
            member
            for member in self._members.list_members()
            if member.incarnation != self._incarnation
            and member.state is not ports.MemberState.DEAD
        ]
        chosen = self._random.sample(others, min(FAN_OUT, len(others)))
        for member in chosen:
            self._peers.tell(member.peer_address, PlatformBack())

    async def _hear(self, _sender: str, _news: PlatformBack) -> None:
        if self._platform.read_backoff() is None or not self._may_heed():
            return
        spread_ms = self._count_members() * SPREAD_MS_PER_ENTRY
        delay_ms = self._random.uniform(0, spread_ms)
        await asyncio.sleep(delay_ms / _MS_PER_S)
        self._platform.end_backoff()
        await self._probe()

    def _may_heed(self) -> bool:
        now = self._clock.now()
        last = self._heeded_at
        if last is not None and now - last < HEED_INTERVAL_MS:
            return False
        self._heeded_at = now
        return True
