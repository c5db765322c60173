"""An event loop in virtual time, which passes as soon as no task can run."""

from __future__ import annotations

import asyncio
import selectors

from tests import builders
from thornspool import clock as clock_module

_MS_PER_S = 1000.0


class _InstantSelector(selectors.SelectSelector):
    """Advances the virtual time by each timeout instead of waiting."""

    def __init__(self):
        super().__init__()
        self.elapsed_s = 0.0

    def select(self, timeout=None):
        if timeout:
            self.elapsed_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs tasks in the order of their virtual times."""

    def __init__(self):
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self):
        return self._instant.elapsed_s


class LoopClock(clock_module.Clock):
    """Clock that shows the virtual time of a loop in milliseconds."""

    def __init__(self, loop, start_ms=10_000):
        self._loop = loop
        self._start_ms = start_ms

    def now(self):
        return self._start_ms + round(self._loop.time() * _MS_PER_S)

    def wall(self):
        return builders.WALL_START + self.now()


async def sleep_ms(milliseconds):
    """Wait in virtual time."""
    await asyncio.sleep(max(0.0, milliseconds) / _MS_PER_S)


async def run_periodically(interval_ms, tick, delay_ms=0):
    """Call a function at an interval, for the first time after a delay."""
    await sleep_ms(delay_ms)
    while True:
        tick()
        await sleep_ms(interval_ms)
