"""Measure the platform calls of actions and the latency of a grant.

Six entries run in one process on an in-memory platform, in real time.
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

PLATFORM_DELAY_S = 0.003
PEER_DELAY_S = 0.0005
TARGET_DELAY_S = 0.005
ENTRIES = 6
RATES = (10, 500)
DURATION_S = 8.0


class MemoryPlatform:
    """Key-value service in memory that responds after a fixed delay."""

    def __init__(self) -> None:
        self.values: dict[str, ports.Versioned] = {}
        self.reads = 0
        self.writes = 0
        self.conflicts = 0
        self.written_bytes = 0

    async def get(self, key: str) -> ports.Versioned:
        """Read a key."""
        self.reads += 1
        await asyncio.sleep(PLATFORM_DELAY_S)
        return self.values.get(key, ports.Versioned(b'', 0))

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        """Write a key by compare-and-swap."""
        self.writes += 1
        self.written_bytes += len(value)
        await asyncio.sleep(PLATFORM_DELAY_S)
        current = self.values.get(key, ports.Versioned(b'', 0))
        if current.version != expected_version:
            self.conflicts += 1
            return ports.WriteConflict()
        self.values[key] = ports.Versioned(value, expected_version + 1)
        return ports.WriteDone(expected_version + 1)

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> ports.Versioned | None:
        """Wait for the timeout; actions watch no key."""
        await asyncio.sleep(timeout_ms / 1000)
        return None

    async def announce(self, own: ports.Host) -> None:
        """Do nothing, as all entries run in one process."""

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        """Return no hosts, as actions read none."""
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
        """Send a request to another entry and return its reply."""
        await asyncio.sleep(PEER_DELAY_S)
        handler = self.nodes[peer_address].handlers[type(message)]
        reply = await handler(self.member.incarnation, message)
        await asyncio.sleep(PEER_DELAY_S)
        return reply

    def send(self, peer_address: str, message: typing.Any) -> None:
        """Do nothing, as actions send only requests with a reply."""


class TimedServices:
    """A plain service that records the time of each key's call."""

    def __init__(self) -> None:
        self.called_at: dict[str, float] = {}

    async def call(self, call: ports.ServiceCall) -> ports.ServiceResponse:
        """Respond after a fixed delay."""
        self.called_at[call.key] = time.perf_counter()
        await asyncio.sleep(TARGET_DELAY_S)
        return ports.ServiceResponse(200, 'application/json', b'{"ok": true}')


@attrs.frozen
class StaticMembers:
    """A membership view that never changes."""

    members: tuple[ports.Member, ...]

    def list_members(self) -> tuple[ports.Member, ...]:
        """Return all entries."""
        return self.members

    def find(self, incarnation: str) -> ports.Member | None:
        """Return the entry with an incarnation, or None."""
        return next(
            (
                member
                for member in self.members
                if member.incarnation == incarnation
            ),
            None,
        )


@attrs.define
class Bench:
    """Entries under one rate of actions, with the collected figures.

    Attributes
    ----------
    rate : int
        Actions a second.
    platform : MemoryPlatform
        Platform that all entries share.
    services : TimedServices
        The only service.
    started : dict of str to float
        Start of each action by key, in seconds.
    done : int
        Number of actions that completed.
    """

    rate: int
    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    services: TimedServices = attrs.field(factory=TimedServices)
    started: dict[str, float] = attrs.field(factory=dict)
    done: int = 0

    async def run(self) -> dict[str, float]:
        """Send actions for ``DURATION_S`` and return the figures."""
        entries = self._build_entries()
        random_source = random.Random(self.rate)
        begin, cpu_begin = time.perf_counter(), time.process_time()
        tasks = []
        for number in range(int(self.rate * DURATION_S)):
            due = begin + number / self.rate
            await asyncio.sleep(max(due - time.perf_counter(), 0))
            entry = random_source.choice(entries)
            tasks.append(
                asyncio.ensure_future(self._send(entry, random_source))
            )
        await asyncio.gather(*tasks)
        for entry in entries:
            await entry.drain(5_000)
        cpu_s = time.process_time() - cpu_begin
        return self._summarize(time.perf_counter() - begin, cpu_s)

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
        self, entry: actions.ActionService, random_source: random.Random
    ) -> None:
        time_source = clock.Clock()
        key = str(
            identifiers.make_uuid7(
                time_source.wall(), random_source.getrandbits(74)
            )
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

    def _summarize(self, seconds: float, cpu_s: float) -> dict[str, float]:
        grant_times_ms = [
            (called_at - self.started[key]) * 1000
            for key, called_at in self.services.called_at.items()
        ]
        percentiles = statistics.quantiles(grant_times_ms, n=100)
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
            'grant_p50_ms': round(percentiles[49], 1),
            'grant_p99_ms': round(percentiles[98], 1),
            'cpu_ms_per_action': round(cpu_s * 1000 / len(self.started), 2),
        }


def measure_actions() -> dict[str, dict[str, float]]:
    """Measure platform calls and grant latency at each rate of ``RATES``.

    Returns
    -------
    dict of str to dict of str to float
        Figures by rate, in the units of their names.
    """
    return {f'{rate}_per_s': asyncio.run(Bench(rate).run()) for rate in RATES}


if __name__ == '__main__':
    for name, figures in measure_actions().items():
        print(name, figures)
