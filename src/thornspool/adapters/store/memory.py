"""A platform inside the process, for embedding and for tests.

It keeps the promises of the port and fails on demand in the ways in which
the real service fails, so that one table of contract tests covers both.
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

LARGEST_VALUE = 1_000_000
"""Bytes of the largest value."""

DEFAULT_TIMEOUT_MS = 1000

_MS_PER_S = 1000.0


@attrs.define
class Faults:
    """What goes wrong from now on.

    Attributes
    ----------
    down : bool
        No call is carried out, none is answered.
    slow_ms : int
        Wait before each call is carried out.
    lose_writes : int
        The next writes that take effect lose their answer.
    lose_probability : float
        Chance that a write that took effect loses its answer.
    drop_writes : int
        The next writes never take effect, and nobody is told.
    late_writes : int
        The next writes cut the caller off and take effect later.
    late_ms : int
        How much later, in milliseconds.
    stale_reads : int
        The next reads give the value before the last write.
    seed : int
        Seed of the chances.
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

    def use(self, name: str) -> bool:
        """Use up one of a counted fault; False when none is left."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


class MemoryPlatform:
    """The platform's port over dictionaries.

    Parameters
    ----------
    clock : thornspool.clock.Clock, optional
        Times the lag of the host list.
    hosts : iterable of Host, optional
        The list of hosts at the start.
    host_lag_ms : int, optional
        How late a change of the list is seen, in milliseconds.
    timeout_ms : int, optional
        Longest time of a call, in milliseconds.
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
        self._next_hosts: list[tuple[int, tuple[ports.Host, ...]]] = []

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and start their chances from the seed."""
        self.faults = faults
        self._random = random.Random(faults.seed)

    def set_hosts(self, hosts: Iterable[ports.Host]) -> None:
        """Change the list of hosts; it is seen after the lag."""
        due = self._clock.now() + self.host_lag_ms
        self._next_hosts.append((due, tuple(hosts)))

    async def get(self, key: str) -> ports.Versioned:
        """Read a key; version 0 and no bytes when it does not exist."""
        await self._delay()
        if self.faults.use('stale_reads'):
            return self._previous.get(key, ports.Versioned(b'', 0))
        return self._read(key)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        """Write a key if its version still is the expected one."""
        if len(value) > LARGEST_VALUE:
            raise exceptions.PlatformError(
                f'The value of {key} has {len(value)} bytes.',
                f'Split it: {LARGEST_VALUE} bytes is the most.',
            )
        loop = asyncio.get_running_loop()
        if self.faults.slow_ms >= self._timeout_ms:
            delay = self.faults.slow_ms / _MS_PER_S
            loop.call_later(delay, self._apply, key, value, expected_version)
            await asyncio.sleep(self._timeout_ms / _MS_PER_S)
            return ports.WriteUnknown()
        await asyncio.sleep(self.faults.slow_ms / _MS_PER_S)
        if self.faults.down or self.faults.use('drop_writes'):
            return ports.WriteUnknown()
        if self.faults.use('late_writes'):
            delay = self.faults.late_ms / _MS_PER_S
            loop.call_later(delay, self._apply, key, value, expected_version)
            return ports.WriteUnknown()
        return self._answer(self._apply(key, value, expected_version))

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> ports.Versioned | None:
        """Wait until a key is past a version; None when time is up."""
        await self._delay()
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                while self._read(key).version <= after_version:
                    changed = self._changed.setdefault(key, asyncio.Event())
                    await changed.wait()
        except TimeoutError:
            return None
        self._check_up()
        return self._read(key)

    async def announce(self, own: ports.Host) -> None:
        """Do nothing: no other entry can read the list."""

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        """Read the list of live and leaving hosts."""
        await self._delay()
        now = self._clock.now()
        while self._next_hosts and self._next_hosts[0][0] <= now:
            self._hosts = self._next_hosts.pop(0)[1]
        return self._hosts

    async def _delay(self) -> None:
        slow_ms = min(self.faults.slow_ms, self._timeout_ms)
        if slow_ms:
            await asyncio.sleep(slow_ms / _MS_PER_S)
        if slow_ms >= self._timeout_ms:
            raise exceptions.PlatformError(
                'The platform gave no answer in time.', 'Try again later.'
            )
        self._check_up()

    def _check_up(self) -> None:
        if self.faults.down:
            raise exceptions.PlatformError(
                'The platform is down.', 'Try again later.'
            )

    def _read(self, key: str) -> ports.Versioned:
        return self._values.get(key, ports.Versioned(b'', 0))

    def _apply(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteDone | ports.WriteConflict:
        found = self._read(key)
        if found.version != expected_version:
            return ports.WriteConflict()
        self._revision += 1
        self._previous[key] = found
        self._values[key] = ports.Versioned(value, self._revision)
        changed = self._changed.pop(key, None)
        if changed is not None:
            changed.set()
        return ports.WriteDone(self._revision)

    def _answer(
        self, result: ports.WriteDone | ports.WriteConflict
    ) -> ports.WriteResult:
        if isinstance(result, ports.WriteConflict):
            return result
        if self.faults.use('lose_writes'):
            return ports.WriteUnknown()
        if self._random.random() < self.faults.lose_probability:
            return ports.WriteUnknown()
        return result
