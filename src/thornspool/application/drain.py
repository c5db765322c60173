"""Leaving without cutting off a request."""

from __future__ import annotations

import asyncio
import contextlib
import typing

import attrs
import structlog

from thornspool.application import membership
from thornspool.domain.membership import drains

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from thornspool import clock

SPREAD_MS = 3000
_CHECK_S = 0.05

logger = structlog.get_logger(__name__)


class DrainService:
    """The way out of an entry: unlisted, then drained.

    An entry that leaves is unlisted at once and takes no new work. It
    answers new requests with "not run" and the addresses to use for as long
    as callers may hold its own, finishes what is in flight and exits.

    Parameters
    ----------
    clock : Clock
        Source of time.
    announce_leaving : callable
        Tells the other entries, as ``MembershipService.announce_leaving``.
    linger_ms : int, optional
        How long callers may still come: the time for which they keep an
        answer, and the time in which the last entry stops giving the
        address out.
    """

    def __init__(
        self,
        clock: clock.Clock,
        announce_leaving: Callable[[], None],
        linger_ms: int = membership.KEEP_MS + SPREAD_MS,
    ) -> None:
        self._clock = clock
        self._announce_leaving = announce_leaving
        self._linger_ms = linger_ms
        self._drain = drains.Drain()

    @property
    def phase(self) -> drains.Phase:
        """How far the entry is on its way out."""
        now = self._clock.now()
        return drains.decide_phase(self._drain, self._linger_ms, now)

    @property
    def in_flight(self) -> int:
        """Requests that have not got their whole answer."""
        return self._drain.in_flight

    def is_accepting(self) -> bool:
        """Return whether new work may begin here."""
        return self.phase is drains.Phase.SERVING

    def begin(self) -> None:
        """Start to leave; calling it again changes nothing."""
        if not self.is_accepting():
            logger.info('drain_already_begun', in_flight=self.in_flight)
            return
        self._drain = drains.begin(self._drain, self._clock.now())
        logger.info('drain_begun', in_flight=self.in_flight)
        self._announce_leaving()

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as in flight until its answer is written.

        It does not refuse: requests that read the outcome of earlier work
        are served until the end.
        """
        self._count(1)
        try:
            yield
        finally:
            self._count(-1)

    async def wait_drained(self) -> None:
        """Wait until nothing is in flight and no caller may still come.

        There is no limit of its own: what bounds the wait are the deadlines
        of the requests in flight.
        """
        while self.phase is not drains.Phase.DRAINED:
            await asyncio.sleep(_CHECK_S)
        logger.info('drain_done')

    def _count(self, change: int) -> None:
        in_flight = self._drain.in_flight + change
        self._drain = attrs.evolve(self._drain, in_flight=in_flight)
