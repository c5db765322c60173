"""Measure what actions cost the platform and how long a grant takes.

Six entries run in one process on an in-memory platform; times are real.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
import typing

import attrs

from thornspool import clock
from thornspool import identifiers
from thornspool.application import ports
from thornspool.application.actions import service as actions
from thornspool.domain.configuration import documents

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

PLATFORM_S = 0.003
PEER_S = 0.0005
TARGET_S = 0.005
ENTRIES = 6
RATES = (10, 500)
DURATION_S = 8.0


class MemoryPlatform:
    """Key-value service in memory that answers after a fixed time."""

    def __init__(self) -> None:
        self.values: dict[str, ports.Versioned] = {}
        self.reads = 0
        self.writes = 0
        self.conflicts = 0
        self.written_bytes = 0

    async def get(self, key: str) -> ports.Versioned:
        """Read a key."""
        self.reads += 1
        await asyncio.sleep(PLATFORM_S)
        return self.values.get(key, ports.Versioned(b'', 0))

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        """Write a key by compare-and-swap."""
        self.writes += 1
        self.written_bytes += len(value)
        await asyncio.sleep(PLATFORM_S)
        found = self.values.get(key, ports.Versioned(b'', 0))
        if found.version != expected_version:
            self.conflicts += 1
            return ports.WriteConflict()
        self.values[key] = ports.Versioned(value, expected_version + 1)
        return ports.WriteDone(expected_version + 1)

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> ports.Versioned | None:
        """Wait in vain; actions watch nothing."""
        await asyncio.sleep(timeout_ms / 1000)
        return None

    async def announce(self, own: ports.Host) -> None:
        """Do nothing; all entries run in one process."""

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        """Return no hosts; actions read none."""
        return ()


class MemoryPeers:
    """Messages between entries of one process."""

    nodes: typing.ClassVar[dict[str, MemoryPeers]] = {}

    def __init__(self, member: ports.Member) -> None:
        self.member = member
        self.handlers: dict[
            type, Callable[[str, typing.Any], Awaitable[typing.Any]]
        ] = {}
        self.nodes[member.peer_address] = self

    def handle(
        self,
        message_type: type,
        handler: Callable[[str, typing.Any], Awaitable[typing.Any]],
    ) -> None:
        """Register a handler."""
        self.handlers[message_type] = handler

    async def request(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        """Ask another entry."""
        await asyncio.sleep(PEER_S)
        handler = self.nodes[peer_address].handlers[type(message)]
        reply = await handler(self.member.incarnation, message)
        await asyncio.sleep(PEER_S)
        return reply

    def send(self, peer_address: str, message: typing.Any) -> None:
        """Tell nobody; actions only ask."""


class TimedServices:
    """A plain service that notes when each key's call was made."""

    def __init__(self) -> None:
        self.called: dict[str, float] = {}

    async def call(self, call: ports.ServiceCall) -> ports.ServiceResponse:
        """Answer after a fixed time."""
        self.called[call.key] = time.perf_counter()
        await asyncio.sleep(TARGET_S)
        return ports.ServiceResponse(200, 'application/json', b'{"ok": true}')


@attrs.frozen
class StaticMembers:
    """A view of entries that never changes."""

    members: tuple[ports.Member, ...]

    def list_members(self) -> tuple[ports.Member, ...]:
        """Return all entries."""
        return self.members

    def find(self, incarnation: str) -> ports.Member | None:
        """Return an entry by incarnation."""
        return next(
            (m for m in self.members if m.incarnation == incarnation), None
        )


@attrs.define
class Bench:
    """Entries under one rate of actions, and what was seen."""

    rate: int
    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    services: TimedServices = attrs.field(factory=TimedServices)
    started: dict[str, float] = attrs.field(factory=dict)
    done: int = 0

    async def run(self) -> dict[str, float]:
        """Send actions for ``DURATION_S`` and sum up."""
        entries = self._build_entries()
        source = random.Random(self.rate)
        begin, cpu = time.perf_counter(), time.process_time()
        tasks = []
        for number in range(int(self.rate * DURATION_S)):
            due = begin + number / self.rate
            await asyncio.sleep(max(due - time.perf_counter(), 0))
            entry = source.choice(entries)
            tasks.append(asyncio.ensure_future(self._send(entry, source)))
        await asyncio.gather(*tasks)
        for entry in entries:
            await entry.drain(5_000)
        spent = time.process_time() - cpu
        return self._sum_up(time.perf_counter() - begin, spent)

    def _build_entries(self) -> list[actions.ActionService]:
        members = tuple(
            ports.Member(
                f'entry-{number}', f'host-{number}', 'a', 'r', f'{number}', ''
            )
            for number in range(ENTRIES)
        )
        return [
            actions.ActionService(
                clock.Clock(),
                self.platform,
                MemoryPeers(member),
                self.services,
                StaticMembers(members),
                member,
                random.Random(number),
            )
            for number, member in enumerate(members)
        ]

    async def _send(
        self, entry: actions.ActionService, source: random.Random
    ) -> None:
        time_source = clock.Clock()
        key = str(
            identifiers.make_uuid7(time_source.wall(), source.getrandbits(74))
        )
        target = documents.Target(
            'booking', documents.TargetKind.SERVICE, 'h', 'a', 'http://booking'
        )
        self.started[key] = time.perf_counter()
        result = await entry.run(
            actions.ActionRequest(
                'swan',
                'booking',
                'hold',
                key,
                b'{"slot": 17}',
                time_source.now() + 5_000,
                (target,),
            )
        )
        self.done += isinstance(result, actions.ActionDone)

    def _sum_up(self, seconds: float, cpu: float) -> dict[str, float]:
        waits = [
            (called - self.started[key]) * 1000
            for key, called in self.services.called.items()
        ]
        cuts = statistics.quantiles(waits, n=100)
        calls = self.platform.reads + self.platform.writes
        return {
            'actions': len(self.started),
            'done': self.done,
            'platform_calls_per_s': round(calls / seconds, 1),
            'platform_writes_per_s': round(self.platform.writes / seconds, 1),
            'write_conflicts': self.platform.conflicts,
            'kilobytes_per_write': round(
                self.platform.written_bytes / self.platform.writes / 1000, 1
            ),
            'grant_p50_ms': round(cuts[49], 1),
            'grant_p99_ms': round(cuts[98], 1),
            'cpu_ms_per_action': round(cpu * 1000 / len(self.started), 2),
        }


def measure_actions() -> dict[str, dict[str, float]]:
    """Measure platform calls and grant latency at each of ``RATES``.

    Returns
    -------
    dict of str to dict of str to float
        Figures by rate, in the units that their names carry.
    """
    return {f'{rate}_per_s': asyncio.run(Bench(rate).run()) for rate in RATES}


if __name__ == '__main__':
    for name, figures in measure_actions().items():
        print(name, figures)
