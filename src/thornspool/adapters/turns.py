"""Spreads the work for demanding clients over turns of the event loop."""

from __future__ import annotations

import asyncio
import collections
import typing

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module

WORK_PER_TURN = 1_000_000
"""Work in one turn of the loop; one unit takes about a nanosecond."""

LONG_TURN_MS = 4
PAUSE_FACTOR = 2
MAX_PAUSE_MS = 200
"""Time that is left to other work after a long turn, as a multiple of it."""

_MS_PER_S = 1000.0
_Queue = collections.deque[tuple[asyncio.Future[None], int]]


class Turns:
    """Lets work wait for its turn, in the order in which it asks.

    In one turn of the event loop, every connection may do all work for which
    bytes have arrived. A crowd with demanding requests would hold up all
    others for seconds. After a turn that has taken long, other work gets twice
    as much time.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.

    Attributes
    ----------
    waiting_work : int
        Work that waits for its turn.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._queues: tuple[_Queue, _Queue] = (
            collections.deque(),
            collections.deque(),
        )
        self._is_scheduled = False
        self._released_at: int | None = None
        self.waiting_work = 0

    def take(self, work: int, is_urgent: bool = True) -> asyncio.Future[None]:
        """Return a future that is resolved when the work may begin.

        Parameters
        ----------
        work : int
            Estimate of the work in nanoseconds of a fast processor.
        is_urgent : bool, optional
            Whether it goes before work that is not, of which one piece begins
            in a turn then.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._queues[not is_urgent].append((future, work))
        self.waiting_work += work
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._release, loop)
        return future

    def _release(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin the work of one turn, at least one piece of each queue."""
        now = self._clock.now()
        if self._released_at is not None:
            took_ms = now - self._released_at
            self._released_at = None
            if took_ms >= LONG_TURN_MS:
                pause_ms = min(PAUSE_FACTOR * took_ms, MAX_PAUSE_MS)
                loop.call_later(pause_ms / _MS_PER_S, self._release, loop)
                return
        left = WORK_PER_TURN
        for queue in self._queues:
            begun = 0
            while queue and (left > 0 or not begun):
                future, work = queue.popleft()
                self.waiting_work -= work
                if not future.done():
                    future.set_result(None)
                    left -= work
                    begun += 1
        self._is_scheduled = any(self._queues)
        if self._is_scheduled:
            self._released_at = now
            loop.call_soon(self._release, loop)
