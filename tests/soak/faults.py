"""The faults of a soak, drawn at random, in series and overlapping."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import typing
import urllib.error

from tests.soak import proxies

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.soak import world as world_module

MAX_AT_ONCE = 3
"""Faults that last at the same time."""

MEAN_PAUSE_S = 0.5


class Faults:
    """Draws faults and carries them out.

    Parameters
    ----------
    world : world_module.World
        The processes.
    """

    def __init__(self, world: world_module.World) -> None:
        self._world = world
        self._random = world.random
        self._tasks: set[asyncio.Task[None]] = set()
        self._engines = 0
        self.drawn: list[str] = []
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            'kill': self._kill,
            'stop': self._stop,
            'pause': self._pause,
            'hang_up': self._hang_up,
            'pause_store': self._pause_store,
            'store_busy': self._break_store,
            'store_history': self._drop_history,
            'store_link': self._trouble_store_link,
            'caller_link': self._trouble_caller_link,
            'reset': self._reset,
            'engine_lost': self._lose_engine,
            'engine_leaves': self._drain_engine,
            'answers_lost': self._lose_answers,
            'configuration': self._configure,
        }

    async def inject(self, seconds: float) -> None:
        """Inject faults for a while and let all of them end."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            self._world.note_exits()
            if len(self._tasks) < MAX_AT_ONCE:
                kind = self._random.choice(sorted(self._kinds))
                self.drawn.append(kind)
                task = asyncio.create_task(self._carry_out(kind))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _carry_out(self, kind: str) -> None:
        try:
            await self._kinds[kind]()
        except (OSError, urllib.error.URLError) as error:
            # A stand-in that another fault has paused took no order.
            self.drawn.append(f'{kind} not done: {error}')

    def _draw_entry(self) -> str | None:
        free = sorted(set(self._world.entries) - self._world.busy)
        # One is left alone, so that callers find somebody.
        return self._random.choice(free) if len(free) > 1 else None

    async def _kill(self) -> None:
        name = self._draw_entry()
        if name:
            await self._world.kill(name)

    async def _stop(self) -> None:
        name = self._draw_entry()
        if name:
            await self._world.terminate(name)

    async def _pause(self) -> None:
        name = self._draw_entry()
        if name:
            self._world.busy.add(name)
            await self._world.pause(self._world.entries[name].popen)
            self._world.busy.discard(name)

    async def _hang_up(self) -> None:
        name = self._draw_entry()
        if name:
            popen = self._world.entries[name].popen
            with contextlib.suppress(ProcessLookupError):
                popen.send_signal(signal.SIGHUP)

    async def _pause_store(self) -> None:
        await self._world.pause(self._world.deployment.store.popen)

    async def _break_store(self) -> None:
        mode = self._random.choice(('busy', 'silent'))
        await self._control_store(mode=mode)
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        await self._control_store(mode='up')

    async def _drop_history(self) -> None:
        await self._control_store(drop_history=True)

    async def _control_store(self, **orders: typing.Any) -> None:
        await asyncio.to_thread(
            lambda: self._world.deployment.control_store(**orders)
        )

    async def _control(self, **orders: typing.Any) -> None:
        await asyncio.to_thread(
            lambda: self._world.deployment.control(**orders)
        )

    async def _trouble_store_link(self) -> None:
        name = self._random.choice(sorted(self._world.to_store))
        await self._trouble(self._world.to_store[name])

    async def _trouble_caller_link(self) -> None:
        name = self._random.choice(sorted(self._world.to_entry))
        await self._trouble(self._world.to_entry[name])

    async def _trouble(self, proxy: proxies.Proxy) -> None:
        proxy.trouble = self._random.choice(
            (
                proxies.Trouble(delay_s=self._random.uniform(0.02, 0.3)),
                proxies.Trouble(holds_up=True),
                proxies.Trouble(holds_down=True),
                proxies.Trouble(holds_up=True, holds_down=True),
            )
        )
        await asyncio.sleep(self._random.uniform(0.5, 4.0))
        proxy.trouble = proxies.Trouble()

    async def _reset(self) -> None:
        every = (
            *self._world.to_store.values(),
            *self._world.to_entry.values(),
        )
        for proxy in every:
            if self._random.random() < 0.5:
                proxy.reset()

    async def _lose_engine(self) -> None:
        """Let an engine vanish; another one comes a little later."""
        held = await asyncio.to_thread(self._world.deployment.read_fleet)
        name = self._random.choice(sorted(held['servers']))
        await self._control(kill=name)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        await self._control(delete=f'servers/{name}')
        await self._add_engine(name.split('-')[0])

    async def _drain_engine(self) -> None:
        held = await asyncio.to_thread(self._world.deployment.read_fleet)
        name = self._random.choice(sorted(held['servers']))
        await self._add_engine(name.split('-')[0])
        await self._control(drain=name)
        await asyncio.sleep(3.0)
        await self._control(kill=name)
        await self._control(delete=f'servers/{name}')

    async def _add_engine(self, domain: str) -> None:
        self._engines += 1
        await self._control(add=f'{domain}-{100 + self._engines}')

    async def _lose_answers(self) -> None:
        await self._control(lose_answers=self._random.randint(1, 3))

    async def _configure(self) -> None:
        south = self._random.random() < 0.5
        await asyncio.to_thread(lambda: self._world.configure(south))
