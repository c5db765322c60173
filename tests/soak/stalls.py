"""Stalls of sound servers in the soak test, and planned work beside them."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import urllib.error

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from tests.soak import world as world_module

LENGTHS_S = (0.8, 1.5)
"""Shortest and longest time for which a sound server is unresponsive."""

INTERVALS_S = (0.3, 1.2)
"""Shortest and longest time between the ends of two rounds."""

WORK_BEFORE_S = 0.5
"""Longest time from planned work to the stall beside it."""

MAX_SHARE = 0.5


class Stalls:
    """Suspends servers, alone and together, beside planned work.

    Parameters
    ----------
    world : world_module.World
        Processes that are affected.
    source : random.Random
        Source of every random choice.
    """

    def __init__(
        self, world: world_module.World, source: random.Random
    ) -> None:
        self._world = world
        self._random = source
        self._tasks: list[asyncio.Task[None]] = []
        self.drawn: list[str] = []
        self._work: dict[str, Callable[[], Awaitable[None]]] = {
            'alone': self._do_nothing,
            'change': self._change,
            'hang_up': self._hang_up,
            'stop': self._stop,
        }

    async def inject(self, seconds: float) -> None:
        """Inject stalls for a period, and wait until all work has ended."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            self._world.record_exits()
            kind = self._random.choice(sorted(self._work))
            self.drawn.append(kind)
            self._tasks.append(asyncio.create_task(self._do(kind)))
            await asyncio.sleep(self._random.uniform(0, WORK_BEFORE_S))
            with contextlib.suppress(OSError, urllib.error.URLError):
                await self._stall()
            await asyncio.sleep(self._random.uniform(*INTERVALS_S))
        await asyncio.gather(*self._tasks)

    async def _do(self, kind: str) -> None:
        try:
            await self._work[kind]()
        except (OSError, urllib.error.URLError) as error:
            # The simulated store answers late on a busy machine.
            self.drawn.append(f'{kind} failed: {error}')

    async def _stall(self) -> None:
        """Suspend some servers for a time."""
        deployment = self._world.deployment
        fleet = await asyncio.to_thread(deployment.read_fleet)
        names = sorted(fleet['records'])
        most = max(1, round(MAX_SHARE * len(names)))
        chosen = self._random.sample(names, self._random.randint(1, most))
        for_s = self._random.uniform(*LENGTHS_S)
        await asyncio.to_thread(
            lambda: deployment.control(suspend=chosen, for_s=for_s)
        )
        await asyncio.sleep(for_s)

    async def _do_nothing(self) -> None:
        pass

    async def _change(self) -> None:
        await asyncio.to_thread(self._world.configure)

    async def _hang_up(self) -> None:
        name = self._draw_entry()
        if name:
            await self._world.hang_up(name)

    async def _stop(self) -> None:
        name = self._draw_entry()
        if name:
            await self._world.replace(name)

    def _draw_entry(self) -> str | None:
        available = sorted(
            set(self._world.entries) - self._world.entries_in_fault
        )
        # Most entries serve, so that stalls matter.
        if len(available) <= len(self._world.entries) // 2:
            return None
        return self._random.choice(available)
