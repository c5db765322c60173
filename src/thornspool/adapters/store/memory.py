"""In-memory platform for embedding and tests.

It fulfils the contract of the port and can inject the failures of the real
service, so that the same contract tests cover both.
"""

from __future__ import annotations

import asyncio
import random
import typing

import attrs

from thornspool import clock as clock_module
from thornspool.application import exceptions
from thornspool.application import ports

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value in bytes."""

DEFAULT_TIMEOUT_MS = 1000

_MS_PER_S = 1000.0


@attrs.define
class Faults:
    """Injected faults.

    Attributes
    ----------
    down : bool
        Whether no call is executed or gets a response.
    slow_ms : int
        Delay in milliseconds before each call is executed.
    lose_writes : int
        Number of next writes that take effect without a response.
    lose_probability : float
        Probability from 0 to 1 that a write takes effect without a
        response.
    drop_writes : int
        Number of next writes that neither take effect nor get a response.
    late_writes : int
        Number of next writes that lose their response and take effect
        later.
    late_ms : int
        Delay of these writes in milliseconds.
    stale_reads : int
        Number of next reads that return the value before the last write.
    seed : int
        Seed of the random generator.
    """

    down: bool = False
    slow_ms: int = 0
    lose_writes: int = 0
    lose_probability: float = 0.0
    drop_writes: int = 0
    late_writes: int = 0
    late_ms: int = 0
    stale_reads: int = 0
    seed: int = 1

    def consume(self, name: str) -> bool:
        """Consume one occurrence of a counted fault; False if none remains."""
        remaining = getattr(self, name)
        if remaining <= 0:
            return False
        setattr(self, name, remaining - 1)
        return True


class MemoryPlatform:
    """Implements the ``Platform`` port with dictionaries.

    Parameters
    ----------
    clock : thornspool.clock.Clock, optional
        Clock for the delay of the host list.
    hosts : iterable of Host, optional
        Initial list of hosts.
    host_lag_ms : int, optional
        Delay in milliseconds until a change of the list is visible.
    timeout_ms : int, optional
        Timeout of a call in milliseconds.
    """

    def __init__(
        self,
        clock: clock_module.Clock | None = None,
        hosts: Iterable[ports.Host] = (),
        host_lag_ms: int = 0,
        timeout_ms: int = DEFAULT_TIMEOUT_MS,
    ) -> None:
        self.faults = Faults()
        self.host_lag_ms = host_lag_ms
        self._clock = clock or clock_module.Clock()
        self._timeout_ms = timeout_ms
        self._random = random.Random(self.faults.seed)
        self._revision = 0
        self._values: dict[str, ports.Versioned] = {}
        self._previous: dict[str, ports.Versioned] = {}
        self._changed: dict[str, asyncio.Event] = {}
        self._hosts = tuple(hosts)
        self._pending_hosts: list[tuple[int, tuple[ports.Host, ...]]] = []

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and reseed the random generator."""
        self.faults = faults
        self._random = random.Random(faults.seed)

    def set_hosts(self, hosts: Iterable[ports.Host]) -> None:
        """Change the list of hosts; it is visible after the delay."""
        visible_at = self._clock.now() + self.host_lag_ms
        self._pending_hosts.append((visible_at, tuple(hosts)))

    async def get(self, key: str) -> ports.Versioned:
        """Read a key; version 0 and an empty value if it does not exist."""
        await self._delay()
        if self.faults.consume('stale_reads'):
            return self._previous.get(key, ports.Versioned(b'', 0))
        return self._read(key)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        """Write a key if its version is the expected one."""
        if len(value) > MAX_VALUE_BYTES:
            raise exceptions.PlatformError(
                f'The value of {key} has {len(value)} bytes.',
                f'Split it: the maximum is {MAX_VALUE_BYTES} bytes.',
            )
        loop = asyncio.get_running_loop()
        if self.faults.slow_ms >= self._timeout_ms:
            delay = self.faults.slow_ms / _MS_PER_S
            loop.call_later(delay, self._apply, key, value, expected_version)
            await asyncio.sleep(self._timeout_ms / _MS_PER_S)
            return ports.WriteUnknown()
        await asyncio.sleep(self.faults.slow_ms / _MS_PER_S)
        if self.faults.down or self.faults.consume('drop_writes'):
            return ports.WriteUnknown()
        if self.faults.consume('late_writes'):
            delay = self.faults.late_ms / _MS_PER_S
            loop.call_later(delay, self._apply, key, value, expected_version)
            return ports.WriteUnknown()
        return self._respond(self._apply(key, value, expected_version))

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> ports.Versioned | None:
        """Wait for a newer version of a key; None after the timeout."""
        await self._delay()
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                while self._read(key).version <= after_version:
                    changed = self._changed.setdefault(key, asyncio.Event())
                    await changed.wait()
        except TimeoutError:
            return None
        self._check_available()
        return self._read(key)

    async def announce(self, own: ports.Host) -> None:
        """Do nothing, because no other entry can read the list."""

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        """Read the list of live and leaving hosts."""
        await self._delay()
        now = self._clock.now()
        while self._pending_hosts and self._pending_hosts[0][0] <= now:
            self._hosts = self._pending_hosts.pop(0)[1]
        return self._hosts

    async def _delay(self) -> None:
        slow_ms = min(self.faults.slow_ms, self._timeout_ms)
        if slow_ms:
            await asyncio.sleep(slow_ms / _MS_PER_S)
        if slow_ms >= self._timeout_ms:
            raise exceptions.PlatformError(
                'The platform did not respond in time.', 'Retry later.'
            )
        self._check_available()

    def _check_available(self) -> None:
        if self.faults.down:
            raise exceptions.PlatformError(
                'The platform is down.', 'Retry later.'
            )

    def _read(self, key: str) -> ports.Versioned:
        return self._values.get(key, ports.Versioned(b'', 0))

    def _apply(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteDone | ports.WriteConflict:
        current = self._read(key)
        if current.version != expected_version:
            return ports.WriteConflict()
        self._revision += 1
        self._previous[key] = current
        self._values[key] = ports.Versioned(value, self._revision)
        changed = self._changed.pop(key, None)
        if changed is not None:
            changed.set()
        return ports.WriteDone(self._revision)

    def _respond(
        self, result: ports.WriteDone | ports.WriteConflict
    ) -> ports.WriteResult:
        if isinstance(result, ports.WriteConflict):
            return result
        if self.faults.consume('lose_writes'):
            return ports.WriteUnknown()
        if self._random.random() < self.faults.lose_probability:
            return ports.WriteUnknown()
        return result
