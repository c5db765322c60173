"""Graceful shutdown of an entry: drains its in-flight requests."""

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

PROPAGATION_MS = 3000
_CHECK_INTERVAL_S = 0.05

logger = structlog.get_logger(__name__)


class DrainService:
    """Shuts an entry down gracefully: unlists it, then drains it.

    An entry that leaves is unlisted at once and accepts no new work. As long
    as callers may have its address cached, it responds to new requests with
    "not run" and the addresses of other entries. It finishes its in-flight
    requests and exits.

    Parameters
    ----------
    clock : Clock
        Source of time.
    announce_leaving : callable
        Announces to the other entries that this entry leaves, as
        ``MembershipService.announce_leaving`` does.
    linger_ms : int, optional
        Time during which requests may still arrive, in milliseconds: the
        time for which callers cache a list of entries, plus the time until
        the last entry no longer lists this address.
    """

    def __init__(
        self,
        clock: clock.Clock,
        announce_leaving: Callable[[], None],
        linger_ms: int = membership.CALLER_CACHE_MS + PROPAGATION_MS,
    ) -> None:
        self._clock = clock
        self._announce_leaving = announce_leaving
        self._linger_ms = linger_ms
        self._drain = drains.Drain()

    @property
    def phase(self) -> drains.Phase:
        """Current phase of the drain."""
        now = self._clock.now()
        return drains.decide_phase(self._drain, self._linger_ms, now)

    @property
    def in_flight(self) -> int:
        """Number of requests whose response is not complete."""
        return self._drain.in_flight

    def is_accepting(self) -> bool:
        """Return whether the entry accepts new work."""
        return self.phase is drains.Phase.SERVING

    def begin(self) -> None:
        """Start to drain; further calls have no effect."""
        if not self.is_accepting():
            logger.info('drain_already_begun', in_flight=self.in_flight)
            return
        self._drain = drains.begin(self._drain, self._clock.now())
        logger.info('drain_begun', in_flight=self.in_flight)
        self._announce_leaving()

    @contextlib.contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as in flight until its response is written.

        It never refuses a request: requests for the outcome of earlier work
        are served until the entry exits.
        """
        self._add_in_flight(1)
        try:
            yield
        finally:
            self._add_in_flight(-1)

    async def wait_drained(self) -> None:
        """Wait until nothing is in flight and no more requests can arrive.

        There is no separate timeout: the deadlines of the in-flight requests
        bound the wait.
        """
        while self.phase is not drains.Phase.DRAINED:
            await asyncio.sleep(_CHECK_INTERVAL_S)
        logger.info('drain_done')

    def _add_in_flight(self, change: int) -> None:
        in_flight = self._drain.in_flight + change
        self._drain = attrs.evolve(self._drain, in_flight=in_flight)
