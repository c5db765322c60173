"""In-memory fakes of the ports, with injected faults and virtual time."""

from __future__ import annotations

import asyncio
import collections
import selectors
import typing

from structlog import testing

from thornspool.application import exceptions
from thornspool.application import ports

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests import builders


class VirtualSelector(selectors.DefaultSelector):
    """Selector that advances the fake clock instead of sleeping."""

    def __init__(self, clock: builders.FakeClock) -> None:
        super().__init__()
        self._clock = clock
        self.time = 0.0

    def select(self, timeout: float | None = None) -> typing.Any:
        if timeout is None:
            raise RuntimeError('The event loop has nothing to wait for.')
        if timeout > 0:
            before = int(self.time * 1000)
            self.time += timeout
            self._clock.advance(int(self.time * 1000) - before)
            timeout = 0
        return super().select(timeout)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs on the time of the fake clock."""

    def __init__(self, clock: builders.FakeClock) -> None:
        self._virtual_selector = VirtualSelector(clock)
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.time


def run(
    clock: builders.FakeClock,
    work: typing.Coroutine[typing.Any, typing.Any, typing.Any],
) -> typing.Any:
    """Run a coroutine in virtual time, with its log output captured."""
    with (
        testing.capture_logs(),
        asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner,
    ):
        return runner.run(work)


class FakePlatform:
    """Key-value store with a queue of faults for the next writes.

    'unknown-done': the write takes effect, its response is lost.
    'unknown-late': it takes effect ``late_ms`` after its response was lost.
    'unknown-never': it never takes effect.
    """

    def __init__(self, latency_ms: int = 3) -> None:
        self.values: dict[str, ports.Versioned] = {}
        self.latency_ms = latency_ms
        self.late_ms = 20
        self.down = False
        self.faults: collections.deque[str] = collections.deque()
        self.reads = 0
        self.writes = 0

    async def get(self, key: str) -> ports.Versioned:
        self.reads += 1
        await asyncio.sleep(self.latency_ms / 1000)
        if self.down:
            raise exceptions.PlatformError('The platform is down.')
        return self.values.get(key, ports.Versioned(b'', 0))

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        self.writes += 1
        fault = self.faults.popleft() if self.faults else ''
        await asyncio.sleep(self.latency_ms / 1000)
        if self.down or fault == 'unknown-never':
            return ports.WriteUnknown()
        if fault == 'unknown-late':
            loop = asyncio.get_running_loop()
            late = self.late_ms / 1000
            loop.call_later(late, self._write, key, value, expected_version)
            return ports.WriteUnknown()
        result = self._write(key, value, expected_version)
        if fault == 'unknown-done':
            return ports.WriteUnknown()
        return result

    def _write(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        found = self.values.get(key, ports.Versioned(b'', 0))
        if found.version != expected_version:
            return ports.WriteConflict()
        self.values[key] = ports.Versioned(value, expected_version + 1)
        return ports.WriteDone(expected_version + 1)

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> ports.Versioned | None:
        await asyncio.sleep(timeout_ms / 1000)
        return None

    async def announce(self, own: ports.Host) -> None:
        pass

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        return ()


class FakeNetwork:
    """Delivers messages between fake peers; entries can be disconnected."""

    def __init__(self, latency_ms: int = 1) -> None:
        self.latency_ms = latency_ms
        self.nodes: dict[str, FakePeers] = {}
        self.cut: set[str] = set()
        self.lose: set[str] = set()
        self.lose_replies: set[str] = set()


class FakePeers:
    """Peer messaging of one entry over the fake network."""

    def __init__(self, network: FakeNetwork, member: ports.Member) -> None:
        self.member = member
        self._network = network
        self._send_tasks: list[asyncio.Future[typing.Any]] = []
        self._handlers: dict[
            type, Callable[[str, typing.Any], Awaitable[typing.Any]]
        ] = {}
        network.nodes[member.peer_address] = self

    def handle(
        self,
        message_type: type,
        handler: Callable[[str, typing.Any], Awaitable[typing.Any]],
    ) -> None:
        self._handlers[message_type] = handler

    async def request(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        try:
            return await asyncio.wait_for(
                self._deliver(peer_address, message), timeout_ms / 1000
            )
        except TimeoutError:
            raise exceptions.PeerUnreachable('No reply in time.') from None

    def send(self, peer_address: str, message: typing.Any) -> None:
        work = self._deliver(peer_address, message)
        self._send_tasks.append(asyncio.ensure_future(work))

    async def _deliver(self, address: str, message: typing.Any) -> typing.Any:
        network = self._network
        await asyncio.sleep(network.latency_ms / 1000)
        unreachable = {address, self.member.peer_address} & network.cut
        lost = type(message).__name__ in network.lose
        if unreachable or lost or address not in network.nodes:
            await asyncio.Event().wait()
        node = network.nodes[address]
        handler = node._handlers[type(message)]
        # The handler continues even if the sender stops waiting.
        reply = await asyncio.shield(
            asyncio.ensure_future(handler(self.member.incarnation, message))
        )
        await asyncio.sleep(network.latency_ms / 1000)
        if type(message).__name__ in network.lose_replies:
            await asyncio.Event().wait()
        return reply


class FakeServices:
    """Plain services that count executions by key.

    ``faults`` maps the URL of a target to the faults of its next calls.
    'refused': the target is not reached.
    'lost': the call runs, its response is lost.
    'lost-before': the call doesn't run, its response is lost.
    'slow': the call runs, its response is late.
    """

    def __init__(self, latency_ms: int = 5) -> None:
        self.latency_ms = latency_ms
        self.slow_ms = 1_000
        self.executions: collections.Counter[str] = collections.Counter()
        self.calls: list[ports.ServiceCall] = []
        self.faults: dict[str, collections.deque[str]] = {}
        self.deduplicates = False

    async def call(self, call: ports.ServiceCall) -> ports.ServiceResponse:
        self.calls.append(call)
        faults = self.faults.get(call.url)
        fault = faults.popleft() if faults else ''
        if fault == 'refused':
            raise exceptions.TargetUnreachable('Connection refused.')
        if fault == 'lost-before':
            raise exceptions.TargetResponseLost('Connection reset.')
        if not (self.deduplicates and self.executions[call.key]):
            self.executions[call.key] += 1
        delay = self.slow_ms if fault == 'slow' else self.latency_ms
        await asyncio.sleep(delay / 1000)
        if fault == 'lost':
            raise exceptions.TargetResponseLost('Connection reset.')
        body = b'{"key": "%s"}' % call.key.encode()
        return ports.ServiceResponse(200, 'application/json', body)


class FakeMembers:
    """Member view that a test sets."""

    def __init__(self, members: tuple[ports.Member, ...]) -> None:
        self.members = members

    def list_members(self) -> tuple[ports.Member, ...]:
        return self.members

    def find(self, incarnation: str) -> ports.Member | None:
        for member in self.members:
            if member.incarnation == incarnation:
                return member
        return None
