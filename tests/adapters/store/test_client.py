"""Tests of the port over the store, where connections break and without."""

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
NO_NEWS = build_reply('200 OK', '{"events": [], "as_of": 4}')


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
    async def test_write_is_settled_only_by_a_whole_answer(self) -> None:
        """The connection of a write breaks, or the service fails, midway.

        Nobody can tell whether it took effect. An operator would see a
        publication reported as refused that is in force, if any of these
        were called a conflict or an error.
        """
        cases: dict[str, tuple[bytes | None, object]] = {
            'done': (DONE, ports.WriteDone(7)),
            'conflict': (CONFLICT, ports.WriteConflict()),
            'closed': (None, ports.WriteUnknown()),
            'cut': (broken.CUT, ports.WriteUnknown()),
            'failed': (build_reply('500 Error'), ports.WriteUnknown()),
            'no revision': (broken.DONE, ports.WriteUnknown()),
        }
        for name, (reply, expected) in cases.items():
            with self.subTest(name):
                async with broken.open_broken([reply]) as server:
                    platform = build_platform(self, server.url)
                    answer = await platform.put('k', b'v', 0)
                    self.assertEqual(expected, answer)
                    self.assertEqual(1, len(server.requests))

    async def test_refused_write_raises(self) -> None:
        """The store turns calls away, or knows no such call.

        It promises that nothing was done, so the caller can be told.
        """
        for status in ('503 Unavailable', '429 Too Many', '403 Forbidden'):
            with self.subTest(status):
                async with broken.open_broken([build_reply(status)]) as server:
                    platform = build_platform(self, server.url)
                    with self.assertRaises(exceptions.PlatformError):
                        await platform.put('k', b'v', 0)

    async def test_unsent_write_raises(self) -> None:
        """The service refuses connections or accepts none.

        Not a byte of the write was sent, so the caller can be told that
        it was not done, instead of being left with an unknown outcome.
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

    async def test_silent_service_leaves_the_write_unknown(self) -> None:
        """The kernel takes the connection, but no process reads from it.

        The bytes wait in its buffer and may be carried out later.
        """
        with broken.open_port(8) as url:
            platform = build_platform(self, url)
            answer = await platform.put('k', b'v', 0)
        self.assertEqual(ports.WriteUnknown(), answer)

    async def test_write_is_never_sent_twice(self) -> None:
        """The service closes a kept connection when the second write comes.

        libcurl would send the write again on a new connection, where it
        meets itself and looks like a conflict although it took effect.
        """
        replies: list[bytes | None] = [DONE, None, CONFLICT]
        async with broken.open_broken(replies, close=False) as server:
            platform = build_platform(self, server.url)
            await platform.put('k', b'one', 0)
            answer = await platform.put('k', b'two', 7)
            self.assertEqual(ports.WriteUnknown(), answer)
            self.assertEqual(2, len(server.requests))

    async def test_outage_is_not_hammered(self) -> None:
        """The service is gone and the entry keeps being asked.

        After two failures calls are held back without touching the
        network; the counts of calls stay small while errors grow.
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

    async def test_watch_as_a_probe_does_not_wait(self) -> None:
        """After an outage the first call that passes is a watch.

        While it waits for news, for up to 20 s, every other call is held
        back as long as it is the probe. Callers' actions are refused with
        the platform being up.
        """
        replies = [None, None, EMPTY, NO_NEWS, NO_NEWS]
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

    async def test_budget_bounds_calls(self) -> None:
        """A defect asks the platform in a loop.

        The service is shared by all entries; one entry may not use it up.
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

    async def test_a_version_is_shown_until_it_was_taken(self) -> None:
        """An entry saw a new head and could not read all that it names.

        It asks again for what is past its own version; a watch that went on
        behind the head would leave it on the old configuration.
        """
        self.write(f'{client.PREFIX}head', b'one')
        for _ in range(3):
            seen = await self.platform.watch('head', 0, 50)
            assert seen is not None
            self.assertEqual(b'one', seen.value)
        self.assertIsNone(await self.platform.watch('head', seen.version, 50))

    async def test_changes_are_seen_without_a_history(self) -> None:
        """The store drops its history while an entry does not watch.

        The change is only in the key by then. An entry that waited for the
        next one would stay behind for hours.
        """
        first = self.write(f'{client.PREFIX}head', b'one')
        await self.platform.watch('head', 0, 50)
        self.assertIsNone(await self.platform.watch('head', first, 50))
        self.write(f'{client.PREFIX}head', b'two')
        self.state.drop_history()
        seen = await self.platform.watch('head', first, 50)
        assert seen is not None
        self.assertEqual(b'two', seen.value)

    async def test_a_store_put_back_is_followed_again(self) -> None:
        """The store was restored to an earlier state.

        Its revisions are used a second time; changes under those that the
        entry has seen must wake it again once they are past its version.
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

    async def test_other_keys_are_none_of_this_project(self) -> None:
        """Servers and operators write to the same store."""
        self.write('head', b'of another writer')
        self.write(f'{client.PREFIX}head-2', b'beside')
        self.assertEqual(0, (await self.platform.get('head')).version)
        self.assertIsNone(await self.platform.watch('head', 0, 50))

    async def test_hosts_of_servers_that_drain_are_leaving(self) -> None:
        """A target's host is about to go, and the list says so."""
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

    async def test_announced_entries_are_listed_for_some_time(self) -> None:
        """An entry announces itself, is killed, and stays away.

        Others join through the list. One that never forgot would have them
        probe addresses that other programs use by then.
        """
        own = ports.Host('one', 'perth-a', ports.HostState.LIVE, 'tcp://one:1')
        await self.platform.announce(own)
        self.write(f'{client.ENTRIES_PREFIX}other', b'of another writer')
        self.assertEqual((own,), await self.platform.list_hosts())
        self.clock.advance(client.ANNOUNCE_TTL_MS - 1)
        await self.platform.announce(own)
        self.clock.advance(client.ANNOUNCE_TTL_MS - 1)
        self.state.sweep()
        self.assertEqual((own,), await self.platform.list_hosts())
        self.clock.advance(2)
        self.state.sweep()
        self.assertEqual((), await self.platform.list_hosts())
        await self.platform.announce(own)
        self.assertEqual((own,), await self.platform.list_hosts())
