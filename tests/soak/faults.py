"""Faults of the soak test, drawn at random, sequential and overlapping."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import typing
import urllib.error

from standins import kv_fleet
from tests import builders
from tests.soak import links
from tests.soak import proxies
from tests.soak import world as world_module

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    import random

MAX_CONCURRENT_FAULTS = 3
"""Bound on the number of concurrent faults."""

MEAN_FAULT_INTERVAL_S = 0.5


class Faults:
    """Draws random faults and injects them.

    Parameters
    ----------
    world : world_module.World
        Processes and proxies that the faults affect.
    change_source : random.Random
        Source of the choices for changes of the configuration and for entries
        that the store turns away, so that the other faults of a seed stay.
    odd_source : random.Random
        Source of the choices for entries that no one can read and for spoiled
        heads, for the same reason.
    claim_source : random.Random
        Source of the choices for records at the addresses of servers.
    """

    def __init__(
        self,
        world: world_module.World,
        change_source: random.Random,
        odd_source: random.Random,
        claim_source: random.Random,
    ) -> None:
        self._world = world
        self._changes = change_source
        self._odd = odd_source
        self._claims = claim_source
        self._random = world.random
        self._tasks: set[asyncio.Task[None]] = set()
        self._added_engines = 0
        self._is_cut = False
        self.drawn: list[str] = []
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            'kill': self._kill,
            'stop': self._terminate,
            'pause': self._suspend,
            'hang_up': self._send_hangup,
            'pause_store': self._suspend_store,
            'store_busy': self._break_store,
            'store_history': self._drop_history,
            'store_link': self._disturb_store_link,
            'caller_link': self._disturb_caller_link,
            'reset': self._reset_connections,
            'engine_lost': self._lose_engine,
            'engine_leaves': self._drain_engine,
            'answers_lost': self._lose_answers,
            'configuration': self._publish_configuration,
            'departure': self._announce_departure,
            'links_cut': self._cut_links,
        }

    async def inject(self, seconds: float) -> None:
        """Inject faults for a period and wait until all have ended.

        Servers name limits, ask for rest and spoil heads, operators change
        routes and keys, and another writer writes entries that no one can
        read or that have the addresses of servers, all the while.
        """
        conditions = [
            asyncio.create_task(self._repeat(seconds, inject, source))
            for inject, source in (
                (self._limit_server, self._random),
                (self._ask_for_rest, self._random),
                (self._change_routes, self._changes),
                (self._turn_away, self._changes),
                (self._write_odd_entry, self._odd),
                (self._spoil_heads, self._odd),
                (self._claim_address, self._claims),
            )
        ]
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(
                self._random.expovariate(1 / MEAN_FAULT_INTERVAL_S)
            )
            self._world.record_exits()
            if len(self._tasks) < MAX_CONCURRENT_FAULTS:
                kind = self._random.choice(sorted(self._kinds))
                self.drawn.append(kind)
                task = asyncio.create_task(self._inject_fault(kind))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks, *conditions)

    async def _repeat(
        self,
        seconds: float,
        inject: Callable[[], Awaitable[None]],
        source: random.Random,
    ) -> None:
        """Inject one kind of fault again and again for a period."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            with contextlib.suppress(OSError, urllib.error.URLError):
                await inject()
            await asyncio.sleep(source.uniform(0.0, 1.0))

    async def _inject_fault(self, kind: str) -> None:
        try:
            await self._kinds[kind]()
        except (OSError, urllib.error.URLError) as error:
            # A stand-in that another fault suspended rejects control requests.
            self.drawn.append(f'{kind} failed: {error}')

    def _draw_entry(self) -> str | None:
        available = sorted(
            set(self._world.entries) - self._world.entries_in_fault
        )
        # One entry stays without a fault, so that callers can be served.
        return self._random.choice(available) if len(available) > 1 else None

    async def _kill(self) -> None:
        name = self._draw_entry()
        if name:
            await self._world.kill(name)

    async def _terminate(self) -> None:
        name = self._draw_entry()
        if name:
            await self._world.terminate(name)

    async def _suspend(self) -> None:
        name = self._draw_entry()
        if name:
            self._world.entries_in_fault.add(name)
            with self._world.interrupt(name, self._world.interruptions):
                await self._world.suspend(self._world.entries[name].popen)
            self._world.entries_in_fault.discard(name)

    async def _send_hangup(self) -> None:
        name = self._draw_entry()
        if name:
            await self._world.hang_up(name)

    async def _suspend_store(self) -> None:
        with self._world.interrupt('', self._world.store_outages):
            await self._world.suspend(self._world.deployment.store.popen)

    async def _break_store(self) -> None:
        mode = self._random.choice(('busy', 'silent'))
        with self._world.interrupt('', self._world.store_outages):
            await self._control_store(mode=mode)
            await asyncio.sleep(self._random.uniform(0.5, 4.0))
            await self._control_store(mode='up')

    async def _drop_history(self) -> None:
        await self._control_store(drop_history=True)

    async def _control_store(self, **settings: typing.Any) -> None:
        await asyncio.to_thread(
            lambda: self._world.deployment.control_store(**settings)
        )

    async def _control(self, **settings: typing.Any) -> None:
        await asyncio.to_thread(
            lambda: self._world.deployment.control(**settings)
        )

    async def _disturb_store_link(self) -> None:
        await self._disturb_link_of(
            self._random.choice(sorted(self._world.to_store)), self._random
        )

    async def _turn_away(self) -> None:
        """Let the store serve only some of the entries for a time."""
        await asyncio.sleep(self._changes.uniform(1.0, 6.0))
        names = sorted(self._world.to_store)
        count = self._changes.randint(1, len(names) - 1)
        await asyncio.gather(
            *(
                self._disturb_link_of(name, self._changes)
                for name in self._changes.sample(names, count)
            )
        )

    async def _disturb_link_of(self, name: str, source: random.Random) -> None:
        with (
            self._world.interrupt(name, self._world.cuts),
            self._world.interrupt(name, self._world.store_cuts),
        ):
            await self._disturb(self._world.to_store[name], source)

    async def _disturb_caller_link(self) -> None:
        name = self._random.choice(sorted(self._world.to_entry))
        with self._world.interrupt(name, self._world.caller_cuts):
            await self._disturb(self._world.to_entry[name], self._random)

    async def _disturb(
        self, proxy: proxies.Proxy, source: random.Random
    ) -> None:
        proxy.link_fault = source.choice(
            (
                proxies.LinkFault(delay_s=source.uniform(0.02, 0.3)),
                proxies.LinkFault(blocks_upstream=True),
                proxies.LinkFault(blocks_downstream=True),
                proxies.LinkFault(
                    blocks_upstream=True, blocks_downstream=True
                ),
            )
        )
        await asyncio.sleep(source.uniform(0.5, 4.0))
        proxy.link_fault = proxies.LinkFault()

    async def _reset_connections(self) -> None:
        all_proxies = (
            *self._world.to_store.values(),
            *self._world.to_entry.values(),
        )
        chosen = [one for one in all_proxies if self._random.random() < 0.5]
        with contextlib.ExitStack() as interruptions:
            for by_name, cuts in (
                (self._world.to_store, self._world.store_cuts),
                (self._world.to_entry, self._world.caller_cuts),
            ):
                for name, proxy in by_name.items():
                    if proxy in chosen:
                        interruptions.enter_context(
                            self._world.interrupt(name, cuts)
                        )
            for proxy in chosen:
                proxy.reset()

    async def _lose_engine(self) -> None:
        """Kill an engine and add another one after a delay."""
        fleet = await asyncio.to_thread(self._world.deployment.read_fleet)
        name = self._random.choice(sorted(fleet['servers']))
        await self._control(kill=name)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        await self._control(delete=f'servers/{name}')
        await self._add_engine(name.split('-')[0])

    async def _drain_engine(self) -> None:
        fleet = await asyncio.to_thread(self._world.deployment.read_fleet)
        name = self._random.choice(sorted(fleet['servers']))
        await self._add_engine(name.split('-')[0])
        await self._control(drain=name)
        await asyncio.sleep(3.0)
        await self._control(kill=name)
        await self._control(delete=f'servers/{name}')

    async def _add_engine(self, domain: str) -> None:
        self._added_engines += 1
        await self._control(add=f'{domain}-{100 + self._added_engines}')

    async def _draw_server(self) -> str:
        """Draw a plain server or an engine that receives requests."""
        fleet = await asyncio.to_thread(self._world.deployment.read_fleet)
        first = [
            name
            for name, held in fleet['servers'].items()
            if held is not None and held['from'] == 0
        ]
        return self._random.choice(sorted([*first, 'a-9', 'b-9']))

    async def _limit_server(self) -> None:
        """Let a server name a limit, change it, and drop it."""
        name = await self._draw_server()
        for _ in range(self._random.randint(1, 2)):
            per_s = round(self._random.uniform(0.2, 1.5), 2)
            await self._control(limit=name, per_s=per_s)
            await asyncio.sleep(self._random.uniform(3.0, 6.0))
        await self._control(limit=name, per_s=None)

    async def _ask_for_rest(self) -> None:
        """Let a server turn an entry away and ask it for rest."""
        for_s = self._random.uniform(0.5, 4.0)
        await self._control(
            rest=await self._draw_server(),
            host=self._random.choice(sorted(self._world.entries)),
            seconds=round(self._random.uniform(1.0, 4.0), 2),
            for_s=for_s,
        )
        await asyncio.sleep(for_s)

    async def _announce_departure(self) -> None:
        """Let an engine say that it leaves, which the list does not show."""
        fleet = await asyncio.to_thread(self._world.deployment.read_fleet)
        name = self._random.choice(sorted(fleet['servers']))
        await self._add_engine(name.split('-')[0])
        await self._control(leave=name)
        await asyncio.sleep(self._random.uniform(3.0, 5.0))
        await self._control(kill=name)
        await self._control(delete=f'servers/{name}')

    async def _cut_links(self) -> None:
        """Cut some entries, or all of a failure domain, off from servers."""
        names = sorted(self._world.entries)
        if self._is_cut:
            return
        chosen = names[:: len(world_module.DOMAINS)]
        if self._random.random() < 0.5:
            count = self._random.randint(1, len(names) - 1)
            chosen = self._random.sample(names, count)
        kind = self._random.choice(('silent', 'reset', 'refused'))
        self._is_cut = True
        try:
            await self._world.cut_links(
                chosen, kind, self._random.uniform(2.0, 9.0)
            )
        finally:
            self._is_cut = False

    async def _lose_answers(self) -> None:
        await self._control(lose_answers=self._random.randint(1, 3))

    async def _spoil_heads(self) -> None:
        """Let the heads of some answers be no HTTP."""
        await self._control(spoil_heads=self._odd.randint(1, 3))

    async def _write_odd_entry(self) -> None:
        """Let another writer change an entry that no one can read."""
        kinds = sorted(builders.UNREADABLE_DOCUMENTS)
        raw = builders.UNREADABLE_DOCUMENTS[self._odd.choice(kinds)]
        key = f'{links.ODD_PREFIX}{self._odd.randint(1, 3)}'
        await self._control(
            put_raw=key, value=base64.b64encode(raw[:20_000]).decode()
        )

    async def _claim_address(self) -> None:
        """Let another writer list a process at the address of a server."""
        fleet = await asyncio.to_thread(self._world.deployment.read_fleet)
        name = self._claims.choice(sorted([*fleet['servers'], 'a-9', 'b-9']))
        await self._control(claim=[name], service='night-export')
        await asyncio.sleep(self._claims.uniform(0.5, 3.0))
        await self._control(delete=f'{kv_fleet.CLAIMS_PREFIX}{name}')

    async def _publish_configuration(self) -> None:
        include_south = self._random.random() < 0.5
        await asyncio.to_thread(lambda: self._world.configure(include_south))

    async def _change_routes(self) -> None:
        """Publish a version with a new route and key, at times a large one."""
        more_routes = 600 if self._changes.random() < 0.1 else 0
        await asyncio.to_thread(
            lambda: self._world.configure(more_routes=more_routes)
        )
