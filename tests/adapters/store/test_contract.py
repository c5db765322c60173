"""Contract tests for both implementations of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing
import unittest

from standins import common
from standins import kv_store
from tests import builders
from thornspool import clock
from thornspool.adapters.store import client
from thornspool.adapters.store import memory
from thornspool.application import exceptions
from thornspool.application import ports

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_MS = 250


@contextlib.asynccontextmanager
async def open_memory() -> AsyncIterator[tuple[typing.Any, typing.Any]]:
    platform = memory.MemoryPlatform(timeout_ms=TIMEOUT_MS)
    yield platform, platform


@contextlib.asynccontextmanager
async def open_store() -> AsyncIterator[tuple[typing.Any, typing.Any]]:
    state = kv_store.Store(builders.FakeClock())
    server, url = common.listen(kv_store.make_application(state))
    platform = client.StorePlatform(
        client.StoreSettings(url.removeprefix('http://'), TIMEOUT_MS),
        clock.Clock(),
        random.Random(1).random,
    )
    try:
        yield platform, state
    finally:
        platform.close()
        server.stop()
        await server.close_all_connections()


async def check_done(test: typing.Any, platform: typing.Any) -> None:
    test.assertEqual(ports.Versioned(b'', 0), await platform.get('a/b c'))
    first = await platform.put('a/b c', b'\x00\xff', 0)
    test.assertIsInstance(first, ports.WriteDone)
    found = await platform.get('a/b c')
    test.assertEqual(ports.Versioned(b'\x00\xff', first.version), found)
    second = await platform.put('a/b c', b'', first.version)
    test.assertGreater(second.version, first.version)
    test.assertEqual(b'', (await platform.get('a/b c')).value)


async def check_conflict(test: typing.Any, platform: typing.Any) -> None:
    done = await platform.put('k', b'one', 0)
    for expected in (0, done.version + 7):
        result = await platform.put('k', b'two', expected)
        test.assertEqual(ports.WriteConflict(), result)
    test.assertEqual(b'one', (await platform.get('k')).value)


async def check_large(test: typing.Any, platform: typing.Any) -> None:
    largest = b'x' * memory.MAX_VALUE_BYTES
    with test.assertRaises(exceptions.PlatformError):
        await platform.put('k', largest + b'x', 0)
    test.assertEqual(0, (await platform.get('k')).version)
    test.assertIsInstance(await platform.put('k', largest, 0), ports.WriteDone)


async def check_response_lost(test: typing.Any, platform: typing.Any) -> None:
    test.store.faults.lose_writes = 1
    test.assertEqual(ports.WriteUnknown(), await platform.put('k', b'v', 0))
    test.assertEqual(b'v', (await platform.get('k')).value)


async def check_write_lost(test: typing.Any, platform: typing.Any) -> None:
    test.store.faults.drop_writes = 1
    test.assertEqual(ports.WriteUnknown(), await platform.put('k', b'v', 0))
    test.assertEqual(0, (await platform.get('k')).version)
    test.assertIsInstance(await platform.put('k', b'w', 0), ports.WriteDone)


async def check_late(test: typing.Any, platform: typing.Any) -> None:
    test.store.set_faults(memory.Faults(late_writes=1, late_ms=100))
    test.assertEqual(ports.WriteUnknown(), await platform.put('k', b'v', 0))
    test.assertEqual(0, (await platform.get('k')).version)
    found = await platform.watch('k', 0, 5000)
    test.assertEqual(b'v', found.value)


async def check_down(test: typing.Any, platform: typing.Any) -> None:
    test.store.faults.down = True
    test.assertEqual(ports.WriteUnknown(), await platform.put('k', b'v', 0))
    with test.assertRaises(exceptions.PlatformError):
        await platform.get('k')
    with test.assertRaises(exceptions.PlatformError):
        await platform.watch('k', 0, 50)
    test.store.faults.down = False
    await asyncio.sleep(0.3)
    test.assertEqual(0, (await platform.get('k')).version)


async def check_slow(test: typing.Any, platform: typing.Any) -> None:
    test.store.faults.slow_ms = 2 * TIMEOUT_MS
    test.assertEqual(ports.WriteUnknown(), await platform.put('k', b'v', 0))
    with test.assertRaises(exceptions.PlatformError):
        await platform.get('k')
    test.store.faults.slow_ms = 0
    test.assertEqual(b'v', (await platform.watch('k', 0, 5000)).value)


async def check_watch(test: typing.Any, platform: typing.Any) -> None:
    test.assertIsNone(await platform.watch('k', 0, 30))
    first = await platform.put('k', b'one', 0)
    watched = await platform.watch('k', 0, 5000)
    test.assertEqual(ports.Versioned(b'one', first.version), watched)
    waiting = asyncio.ensure_future(platform.watch('k', first.version, 5000))
    await asyncio.sleep(0.05)
    test.assertFalse(waiting.done())
    second = await platform.put('k', b'two', first.version)
    watched = await waiting
    test.assertEqual(ports.Versioned(b'two', second.version), watched)


async def check_stale(test: typing.Any, platform: typing.Any) -> None:
    first = await platform.put('k', b'one', 0)
    await platform.put('k', b'two', first.version)
    test.store.faults.stale_reads = 1
    test.assertEqual(b'one', (await platform.get('k')).value)
    test.assertEqual(b'two', (await platform.get('k')).value)


CHECKS = {
    'done': check_done,
    'conflict': check_conflict,
    'too large': check_large,
    'unknown, written': check_response_lost,
    'unknown, not written': check_write_lost,
    'unknown, written later': check_late,
    'down': check_down,
    'slow': check_slow,
    'watch': check_watch,
    'stale': check_stale,
}


class PlatformContractTest(unittest.IsolatedAsyncioTestCase):
    store: typing.Any

    async def test_memory_keeps_the_contract(self) -> None:
        """Guards against actions that run twice and holds that are lost.

        The platform fails in each way of the table. A write whose response
        is lost or late, or that was not executed, must be reported as
        unknown, not as conflict or done.
        """
        await self._run_checks(open_memory)

    async def test_store_keeps_the_contract(self) -> None:
        """Guards against the same failures over a real connection.

        A closed connection or a timeout of a write must be reported as
        unknown, and the next read must return the stored value.
        """
        await self._run_checks(open_store)

    async def test_memory_lists_hosts(self) -> None:
        platform = memory.MemoryPlatform()
        hosts = (ports.Host('h2', 'perth-b', ports.HostState.LEAVING),)
        self.assertEqual((), await platform.list_hosts())
        platform.set_hosts(hosts)
        self.assertEqual(hosts, await platform.list_hosts())

    async def _run_checks(self, opener: typing.Any) -> None:
        for name, check in CHECKS.items():
            with self.subTest(name):
                async with opener() as (platform, self.store):
                    async with asyncio.timeout(20):
                        await check(self, platform)
