"""Restarts of entries and ends of leases, in series and all at once."""

from __future__ import annotations

import asyncio
import contextlib
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

    from tests.soak import world as world_module

INTERVALS_S = (0.2, 2.5)
"""Shortest and longest time between two disturbances; they may overlap."""

OUTAGE_S = (0.5, 3.0)
"""Shortest and longest time for which the store rejects calls."""


class Restarts:
    """Disturbs what entries know of each other.

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
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            'hang_up': self._hang_up,
            'kill': self._kill,
            'kill_all': self._kill_all,
            'leases_end': self._end_leases,
            'pause': self._suspend,
            'series': self._kill_in_series,
            'stop': self._terminate,
        }

    async def inject(self, seconds: float) -> None:
        """Inject disturbances for a period, and wait until all have ended."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            self._world.record_exits()
            kind = self._random.choice(sorted(self._kinds))
            self.drawn.append(kind)
            self._tasks.append(asyncio.create_task(self._kinds[kind]()))
            await asyncio.sleep(self._random.uniform(*INTERVALS_S))
        await asyncio.gather(*self._tasks)

    def _list_available(self) -> list[str]:
        return sorted(set(self._world.entries) - self._world.entries_in_fault)

    def _draw_entry(self) -> str | None:
        available = self._list_available()
        return self._random.choice(available) if available else None

    async def _hang_up(self) -> None:
        if name := self._draw_entry():
            await self._world.hang_up(name)

    async def _kill(self) -> None:
        if name := self._draw_entry():
            await self._world.kill(name)

    async def _kill_all(self) -> None:
        await asyncio.gather(
            *(self._world.kill(name) for name in self._list_available())
        )

    async def _kill_in_series(self) -> None:
        for name in self._list_available():
            if name not in self._world.entries_in_fault:
                await self._world.kill(name)
                await asyncio.sleep(self._random.uniform(0.0, 1.0))

    async def _terminate(self) -> None:
        if name := self._draw_entry():
            await self._world.terminate(name)

    async def _suspend(self) -> None:
        if name := self._draw_entry():
            self._world.entries_in_fault.add(name)
            with self._world.interrupt(name, self._world.interruptions):
                await self._world.suspend(self._world.entries[name].popen)
            self._world.entries_in_fault.discard(name)

    async def _end_leases(self) -> None:
        """End the leases of all entries while the store rejects calls."""
        control = self._world.deployment.control_store
        with (
            self._world.interrupt('', self._world.store_outages),
            contextlib.suppress(OSError),
        ):
            await asyncio.to_thread(control, mode='busy', end_leases=True)
            await asyncio.sleep(self._random.uniform(*OUTAGE_S))
            await asyncio.to_thread(control, mode='up')
