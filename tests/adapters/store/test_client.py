"""Tests of the store client with failing and working connections."""

from __future__ import annotations

import base64
import json
import random
import typing
import unittest

from standins import common
from standins import kv_store
from tests import builders
from tests.adapters import broken
from thornspool.adapters.store import client
from thornspool.adapters.store import gate
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.platform import documents

HOSTS = documents.SERVERS_PREFIX


def build_reply(status: str, body: str = '{}') -> bytes:
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
    return f'{head}{body}'.encode()


DONE = build_reply('200 OK', '{"revision": 7}')
CONFLICT = build_reply('412 Precondition Failed')
NO_KEY = build_reply('404 Not Found')
EMPTY = build_reply('200 OK', '{"items": [], "as_of": 4}')
NO_EVENTS = build_reply('200 OK', '{"events": [], "as_of": 4}')


def build_platform(
    test: typing.Any, url: str, **limits: typing.Any
) -> client.StorePlatform:
    settings = client.StoreSettings(
        url.removeprefix('http://'), 300, gate.GateSettings(**limits)
    )
    platform = client.StorePlatform(
        settings, builders.FakeClock(), random.Random(1).random
    )
    test.addCleanup(platform.close)
    return platform


class BrokenStoreTest(unittest.IsolatedAsyncioTestCase):
    async def test_write_result_requires_a_complete_response(self) -> None:
        """Guards against a publication in force that is reported as rejected.

        The connection breaks or the service fails during a write, so it is
        unknown whether the write took effect. It must not be reported as a
        conflict or an error.
        """
        cases: dict[str, tuple[bytes | None, object]] = {
            'done': (DONE, ports.WriteDone(7)),
            'conflict': (CONFLICT, ports.WriteConflict()),
            'closed': (None, ports.WriteUnknown()),
            'cut': (broken.TRUNCATED, ports.WriteUnknown()),
            'failed': (build_reply('500 Error'), ports.WriteUnknown()),
            'no revision': (broken.DONE, ports.WriteUnknown()),
        }
        for name, (reply, expected) in cases.items():
            with self.subTest(name):
                async with broken.open_broken([reply]) as server:
                    platform = build_platform(self, server.url)
                    result = await platform.put('k', b'v', 0)
                    self.assertEqual(expected, result)
                    self.assertEqual(1, len(server.requests))

    async def test_rejected_write_raises(self) -> None:
        """Guards against an unknown outcome of a rejected write.

        The store rejects the call and guarantees that it was not executed.
        """
        for status in ('503 Unavailable', '429 Too Many', '403 Forbidden'):
            with self.subTest(status):
                async with broken.open_broken([build_reply(status)]) as server:
                    platform = build_platform(self, server.url)
                    with self.assertRaises(exceptions.PlatformError):
                        await platform.put('k', b'v', 0)

    async def test_unsent_write_raises(self) -> None:
        """Guards against an unknown outcome of a write that was not sent.

        The service refuses connections or does not accept them, so no byte
        of the write was sent.
        """
        cases = {
            'refused': lambda: broken.open_port(None),
            'connecting hangs': broken.open_full_port,
        }
        for name, opener in cases.items():
            with self.subTest(name), opener() as url:
                platform = build_platform(self, url)
                with self.assertRaises(exceptions.PlatformError):
                    await platform.put('k', b'v', 0)
                self.assertEqual(1, platform.errors['put'])

    async def test_write_to_an_unresponsive_service_is_unknown(self) -> None:
        """Guards against an error for a write that is executed later.

        The kernel accepts the connection, but no process reads from it. The
        write stays in the receive buffer and may be executed later.
        """
        with broken.open_port(8) as url:
            platform = build_platform(self, url)
            result = await platform.put('k', b'v', 0)
        self.assertEqual(ports.WriteUnknown(), result)

    async def test_write_is_not_resent(self) -> None:
        """Guards against a conflict of a write with itself.

        The service closes a reused connection when it receives the second
        write. libcurl would resend it on a new connection, where it results
        in a conflict although it took effect.
        """
        replies: list[bytes | None] = [DONE, None, CONFLICT]
        async with broken.open_broken(replies, close=False) as server:
            platform = build_platform(self, server.url)
            await platform.put('k', b'one', 0)
            result = await platform.put('k', b'two', 7)
            self.assertEqual(ports.WriteUnknown(), result)
            self.assertEqual(2, len(server.requests))

    async def test_outage_stops_calls(self) -> None:
        """Guards against an outage that is prolonged by retries.

        The service is down while the entry gets requests. After two failures
        calls fail without being sent, so that the number of calls stays low
        while the number of errors increases.
        """
        with broken.open_port(None) as url:
            platform = build_platform(
                self, url, backoff_base_ms=4000, backoff_cap_ms=4000
            )
            for _ in range(20):
                with self.assertRaises(exceptions.PlatformError):
                    await platform.get('k')
        self.assertEqual(2, platform.calls['get'])
        self.assertEqual(20, platform.errors['get'])

    async def test_watch_as_a_probe_does_not_block(self) -> None:
        """Guards against rejected actions after the platform recovered.

        The first call after an outage is a watch. While it is the probe and
        waits for events, for up to 20 s, all other calls are rejected.
        """
        replies = [None, None, EMPTY, NO_EVENTS, NO_EVENTS]
        async with broken.open_broken(replies) as server:
            platform = build_platform(self, server.url)
            for _ in range(2):
                with self.assertRaises(exceptions.PlatformError):
                    await platform.get('k')
            platform._clock.advance(10_000)
            self.assertIsNone(await platform.watch('k', 1, 20_000))
            self.assertIsNone(await platform.watch('k', 1, 20_000))
        self.assertIn(b'wait_ms=0 ', server.requests[3])
        self.assertIn(b'wait_ms=20000 ', server.requests[4])

    async def test_rate_limit_applies_to_calls(self) -> None:
        """Guards against one entry that overloads the platform.

        A fault causes calls to the platform in a loop. The platform is
        shared by all entries.
        """
        replies: list[bytes | None] = [NO_KEY] * 9
        async with broken.open_broken(replies, close=False) as server:
            platform = build_platform(
                self, server.url, calls_per_s=1.0, burst=3.0
            )
            for _ in range(3):
                await platform.get('k')
            with self.assertRaises(exceptions.PlatformError):
                await platform.get('k')
            self.assertEqual(3, len(server.requests))


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = builders.FakeClock()
        self.state = kv_store.Store(self.clock)
        server, url = common.listen(kv_store.make_application(self.state))
        self.addCleanup(server.stop)
        self.platform = build_platform(self, url)

    def write(self, key: str, value: bytes) -> int:
        text = base64.b64encode(value).decode()
        return self.state.write([{'key': key, 'value': text}], [])

    async def test_version_is_returned_until_it_is_applied(self) -> None:
        """Guards against an entry that keeps an old configuration.

        An entry received a new head, but could not read all its buckets. It
        watches again with its own version, and must receive the head again.
        """
        self.write(f'{client.PREFIX}head', b'one')
        for _ in range(3):
            seen = await self.platform.watch('head', 0, 50)
            assert seen is not None
            self.assertEqual(b'one', seen.value)
        self.assertIsNone(await self.platform.watch('head', seen.version, 50))

    async def test_changes_are_found_without_a_history(self) -> None:
        """Guards against an entry that misses a change for hours.

        The store compacts its history while an entry does not watch, so the
        change is only visible in the value of the key.
        """
        first = self.write(f'{client.PREFIX}head', b'one')
        await self.platform.watch('head', 0, 50)
        self.assertIsNone(await self.platform.watch('head', first, 50))
        self.write(f'{client.PREFIX}head', b'two')
        self.state.drop_history()
        seen = await self.platform.watch('head', first, 50)
        assert seen is not None
        self.assertEqual(b'two', seen.value)

    async def test_restored_store_is_watched_again(self) -> None:
        """Guards against missed changes after the store was restored.

        The store was restored to an earlier state and reuses its revisions.
        Changes must be returned when they are newer than the entry's version.
        """
        for _ in range(5):
            first = self.write(f'{client.PREFIX}head', b'one')
        self.assertIsNotNone(await self.platform.watch('head', 0, 50))
        self.state.items.clear()
        self.state.history.clear()
        self.state.revision = 1
        self.assertIsNone(await self.platform.watch('head', first, 50))
        self.assertIsNone(await self.platform.watch('head', first, 50))
        for _ in range(first):
            self.write(f'{client.PREFIX}head', b'two')
        seen = await self.platform.watch('head', first, 2_000)
        assert seen is not None
        self.assertEqual(b'two', seen.value)

    async def test_keys_without_the_prefix_are_ignored(self) -> None:
        """Guards against values of servers and operators in the same store."""
        self.write('head', b'of another writer')
        self.write(f'{client.PREFIX}head-2', b'beside')
        self.assertEqual(0, (await self.platform.get('head')).version)
        self.assertIsNone(await self.platform.watch('head', 0, 50))

    async def test_hosts_of_draining_servers_are_leaving(self) -> None:
        """Guards against new requests to a host that is about to leave."""
        server = {'service': 's', 'address': 'h:1', 'zone': 'perth-a'}
        for name, state in (('h1', 'ready'), ('h2', 'draining')):
            body = json.dumps({**server, 'state': state}).encode()
            self.write(f'{HOSTS}{name}', body)
        self.write(f'{HOSTS}h3', b'of another writer')
        expected = (
            ports.Host('h1', 'perth-a', ports.HostState.LIVE),
            ports.Host('h2', 'perth-a', ports.HostState.LEAVING),
        )
        self.assertEqual(expected, await self.platform.list_hosts())

    async def test_announcements_expire(self) -> None:
        """Guards against joins through addresses of other programs.

        An entry announces itself and is killed. Entries join through the
        list, and another program may use the address later.
        """
        host = ports.Host(
            'one', 'perth-a', ports.HostState.LIVE, 'tcp://one:1'
        )
        await self.platform.announce(host)
        self.write(f'{client.ENTRIES_PREFIX}other', b'of another writer')
        self.assertEqual((host,), await self.platform.list_hosts())
        self.clock.advance(client.ANNOUNCE_TTL_MS - 1)
        await self.platform.announce(host)
        self.clock.advance(client.ANNOUNCE_TTL_MS - 1)
        self.state.sweep()
        self.assertEqual((host,), await self.platform.list_hosts())
        self.clock.advance(2)
        self.state.sweep()
        self.assertEqual((), await self.platform.list_hosts())
        await self.platform.announce(host)
        self.assertEqual((host,), await self.platform.list_hosts())
