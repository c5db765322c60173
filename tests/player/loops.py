"""An event loop whose time passes as soon as nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors

from tests import builders
from thornspool import clock as clock_module

_MS_PER_S = 1000.0


class _InstantSelector(selectors.SelectSelector):
    """Lets the time of a wait pass in place of waiting."""

    def __init__(self):
        super().__init__()
        self.passed_s = 0.0

    def select(self, timeout=None):
        if timeout:
            self.passed_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks in the order of their times."""

    def __init__(self):
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self):
        return self._instant.passed_s


class LoopClock(clock_module.Clock):
    """The time of a loop in milliseconds."""

    def __init__(self, loop, start=10_000):
        self._loop = loop
        self._start = start

    def now(self):
        return self._start + round(self._loop.time() * _MS_PER_S)

    def wall(self):
        return builders.WALL_START + self.now()


async def pass_time(milliseconds):
    """Wait in virtual time."""
    await asyncio.sleep(max(0.0, milliseconds) / _MS_PER_S)


async def repeat(interval_ms, work, first_ms=0):
    """Run a piece of work again and again."""
    await pass_time(first_ms)
    while True:
        work()
        await pass_time(interval_ms)
