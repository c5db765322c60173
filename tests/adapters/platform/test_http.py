"""Tests of the platform's client where connections break."""

from __future__ import annotations

import random
import typing
import unittest

from tests import builders
from tests.adapters.platform import builders as broken
from thornspool.adapters.platform import gate
from thornspool.adapters.platform import http
from thornspool.application import exceptions
from thornspool.application import ports

DONE = b'HTTP/1.1 204 No Content\r\nETag: "7"\r\n\r\n'
CONFLICT = b'HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n'
NO_NEWS = b'HTTP/1.1 304 Not Modified\r\n\r\n'
FAILED = b'HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n'


def build_platform(
    test: typing.Any, url: str, **limits: typing.Any
) -> http.HttpPlatform:
    settings = http.PlatformSettings(
        url, 300, gate=gate.GateSettings(**limits)
    )
    platform = http.HttpPlatform(
        settings, builders.FakeClock(), random.Random(1).random
    )
    test.addCleanup(platform.close)
    return platform


class HttpPlatformTest(unittest.IsolatedAsyncioTestCase):
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
            'failed': (FAILED, ports.WriteUnknown()),
            'no version': (broken.DONE, ports.WriteUnknown()),
        }
        for name, (reply, expected) in cases.items():
            with self.subTest(name):
                async with broken.open_broken([reply]) as server:
                    platform = build_platform(self, server.url)
                    answer = await platform.put('k', b'v', 0)
                    self.assertEqual(expected, answer)
                    self.assertEqual(1, len(server.requests))

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
        replies = [None, None, NO_NEWS, NO_NEWS]
        async with broken.open_broken(replies) as server:
            platform = build_platform(self, server.url)
            for _ in range(2):
                with self.assertRaises(exceptions.PlatformError):
                    await platform.get('k')
            platform._clock.advance(10_000)
            self.assertIsNone(await platform.watch('k', 1, 20_000))
            self.assertIsNone(await platform.watch('k', 1, 20_000))
        self.assertIn(b'wait_ms=0 ', server.requests[2])
        self.assertIn(b'wait_ms=20000 ', server.requests[3])

    async def test_budget_bounds_calls(self) -> None:
        """A defect asks the platform in a loop.

        The service is shared by all entries; one entry may not use it up.
        """
        found = b'HTTP/1.1 200 OK\r\nETag: "1"\r\nContent-Length: 0\r\n\r\n'
        replies: list[bytes | None] = [found] * 9
        async with broken.open_broken(replies, close=False) as server:
            platform = build_platform(
                self, server.url, calls_per_s=1.0, burst=3.0
            )
            for _ in range(3):
                await platform.get('k')
            with self.assertRaises(exceptions.PlatformError):
                await platform.get('k')
            self.assertEqual(3, len(server.requests))
