"""Simulated entries, platform and links with faults, in virtual time."""

from __future__ import annotations

import asyncio
import random
import selectors
import typing

import attrs
from structlog import testing

from tests import builders
from thornspool import clock
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application.configuration import service as configuration
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import publications

GOSSIP_INTERVAL_MS = 250
LATE_WRITE_DELAY_MS = 3_000
SLOW_CALL_DELAY_MS = 1_500
UNREACHABLE_MS = 500


class _VirtualSelector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.time = 0.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is None:
            raise AssertionError(
                'The loop has no timer and would wait forever.'
            )
        self.time += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs in virtual time."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.time


class LoopClock(clock.Clock):
    """A clock that returns the virtual time of a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> int:
        return int(self._loop.time() * 1000)

    def wall(self) -> int:
        return builders.WALL_START + self.now()


@attrs.define
class Faults:
    """Faults between one entry and the platform or its peers."""

    platform_up: bool = True
    slow: bool = False
    jitter_s: float = 0.0
    stale: int = 0
    write: str = 'done'
    write_prefix: str = ''
    peers_up: bool = True
    corrupt: bool = False
    running: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.running.set()


class SharedPlatform:
    """All versions of each key's value; the last one is current."""

    def __init__(self) -> None:
        self.values: dict[str, list[ports.Versioned]] = {}

    def read(self, key: str, versions_back: int = 0) -> ports.Versioned:
        versions = [ports.Versioned(b'', 0), *self.values.get(key, [])]
        return versions[max(len(versions) - 1 - versions_back, 0)]

    def write(
        self, key: str, value: bytes, expected: int
    ) -> ports.WriteResult:
        if self.read(key).version != expected:
            return ports.WriteConflict()
        written = ports.Versioned(value, expected + 1)
        self.values.setdefault(key, []).append(written)
        return ports.WriteDone(written.version)


class PlatformClient:
    """Client of the platform for one entry, with its faults."""

    def __init__(
        self, shared: SharedPlatform, faults: Faults, seed: str
    ) -> None:
        self._shared = shared
        self._faults = faults
        self._rng = random.Random(seed)
        self.reads: list[str] = []
        self.writes: list[str] = []

    async def get(self, key: str) -> ports.Versioned:
        self.reads.append(key)
        await self._simulate_call()
        stored = self._shared.read(key, self._faults.stale)
        await self._faults.running.wait()
        return stored

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        self.writes.append(key)
        await self._simulate_call()
        write_fault = self._faults.write
        if not key.startswith(self._faults.write_prefix):
            write_fault = 'done'
        if write_fault == 'late':
            asyncio.get_running_loop().call_later(
                LATE_WRITE_DELAY_MS / 1000,
                self._shared.write,
                key,
                value,
                expected_version,
            )
        if write_fault in ('late', 'never'):
            return ports.WriteUnknown()
        result = self._shared.write(key, value, expected_version)
        await self._faults.running.wait()
        return ports.WriteUnknown() if write_fault == 'lost' else result

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> ports.Versioned | None:
        for _ in range(timeout_ms // 100):
            await self._simulate_call()
            stored = self._shared.read(key, self._faults.stale)
            await self._faults.running.wait()
            if stored.version > after_version:
                return stored
            await asyncio.sleep(0.1)
        return None

    async def announce(self, own: ports.Host) -> None:
        pass

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        return ()

    async def _simulate_call(self) -> None:
        """Delay the call or fail it, according to the faults."""
        await self._faults.running.wait()
        jitter = self._rng.uniform(0, self._faults.jitter_s)
        await asyncio.sleep(0.002 + jitter)
        if self._faults.slow:
            await asyncio.sleep(SLOW_CALL_DELAY_MS / 1000)
        if not self._faults.platform_up:
            raise exceptions.PlatformError('No response.')


class PeerLinks:
    """Messages from one entry to others, with its faults."""

    def __init__(self, cluster: Cluster, faults: Faults) -> None:
        self._cluster = cluster
        self._faults = faults
        self.handlers: dict[type, ports.Handler] = {}
        self.requests: list[typing.Any] = []

    async def request(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        self.requests.append(message)
        await asyncio.sleep(0.001)
        await self._faults.running.wait()
        peer = self._cluster.entries.get(peer_address)
        if peer is None or not (
            self.is_connected() and peer.links.is_connected()
        ):
            await asyncio.sleep(timeout_ms / 1000)
            raise exceptions.PeerUnreachable('No reply.')
        reply = await peer.links.handlers[type(message)]('sender', message)
        if not getattr(reply, 'digest', ''):
            return reply
        previous_bucket, self._cluster.last_bucket = (
            self._cluster.last_bucket,
            reply.value,
        )
        if peer.faults.corrupt:
            return attrs.evolve(reply, value=previous_bucket)
        return reply

    def send(self, peer_address: str, message: typing.Any) -> None:
        raise NotImplementedError

    def handle(self, message_type: type, handler: ports.Handler) -> None:
        self.handlers[message_type] = handler

    def is_connected(self) -> bool:
        return self._faults.peers_up and self._faults.running.is_set()


class View:
    """The members that were reported to one entry."""

    def __init__(self) -> None:
        self.members: dict[str, ports.Member] = {}

    def list_members(self) -> tuple[ports.Member, ...]:
        return tuple(self.members.values())

    def find(self, incarnation: str) -> ports.Member | None:
        return self.members.get(incarnation)


class Entry:
    """An entry with its faults and all snapshots it put in force."""

    def __init__(
        self, cluster: Cluster, name: str, **options: typing.Any
    ) -> None:
        self.faults = Faults()
        self.links = PeerLinks(cluster, self.faults)
        self.platform = PlatformClient(cluster.platform, self.faults, name)
        self.view = View()
        self.applied: list[documents.Snapshot] = []
        self.member = builders.build_member(name, incarnation=name)
        self.service = configuration.ConfigurationService(
            cluster.clock,
            self.platform,
            self.links,
            self.view,
            name,
            random.Random(name),
            **options,
        )
        self.service.subscribe(self.applied.append)

    @property
    def address(self) -> str:
        return self.member.peer_address


class Cluster:
    """Entries that share a platform and exchange versions by gossip."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.clock = LoopClock(loop)
        self.platform = SharedPlatform()
        self.entries: dict[str, Entry] = {}
        self.last_bucket = b''
        self._tasks: list[asyncio.Task[None]] = []
        self._tasks.append(loop.create_task(self._gossip()))

    def add_entry(self, name: str, **options: typing.Any) -> Entry:
        entry = Entry(self, name, **options)
        self.entries[entry.address] = entry
        for one in self.entries.values():
            one.view.members[name] = entry.member
            entry.view.members[one.member.incarnation] = one.member
        self._tasks.append(asyncio.create_task(entry.service.run()))
        return entry

    async def stop(self) -> None:
        for entry in self.entries.values():
            entry.faults.running.set()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_MS / 1000)
            connected = [
                one
                for one in self.entries.values()
                if one.links.is_connected()
            ]
            for sender in connected:
                for receiver in connected:
                    self._gossip_version(sender, receiver)

    def _gossip_version(self, sender: Entry, receiver: Entry) -> None:
        version = sender.service.version()
        receiver.service.record_reported_version(sender.address, version)
        receiver.view.members[sender.member.incarnation] = attrs.evolve(
            sender.member, configuration_version=version
        )


def build_workspace(name: str, limit: float = 1.0) -> documents.Workspace:
    """Build a workspace whose limit identifies its publication."""
    return documents.Workspace(
        name, limits=documents.Limits(requests_per_s=limit)
    )


def build_publication(
    publication_id: str, base: int, *additions: documents.Document
) -> publications.Publication:
    """Build a publication that adds or replaces documents."""
    return publications.Publication(
        publication_id, 'alice', base, tuple(additions)
    )


def run_virtual(
    scenario: typing.Callable[[Cluster], typing.Awaitable[None]],
) -> None:
    """Run a scenario on a new cluster in virtual time."""
    with (
        testing.capture_logs(),
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
    ):
        cluster = Cluster(runner.get_loop())

        async def run() -> None:
            try:
                await scenario(cluster)
            finally:
                await cluster.stop()

        runner.run(run())
