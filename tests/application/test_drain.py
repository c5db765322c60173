"""Tests of leaving without cutting off a request."""

from __future__ import annotations

import asyncio
import unittest

from tests import builders
from thornspool.application import drain
from thornspool.domain.membership import drains

LINGER_MS = 18_000
LONG_MS = 3_600_000
Phase = drains.Phase


class DrainServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.announced = 0
        self.service = drain.DrainService(self.clock, self.announce, LINGER_MS)

    def announce(self) -> None:
        self.announced += 1

    async def settle(self) -> None:
        """Let the waiting task look at the clock again."""
        await asyncio.sleep(0.12)

    def test_phases(self) -> None:
        """A stop is ordered while requests are in flight.

        Exiting too soon cuts off a request, or leaves callers that still
        hold the address with a refused connection.
        """
        began = drains.begin(drains.Drain(), 1000)
        busy = drains.Drain(1000, in_flight=1)
        table = (
            ('not begun', drains.Drain(), LONG_MS, Phase.SERVING),
            ('busy, not begun', drains.Drain(None, 3), 0, Phase.SERVING),
            ('callers may come', began, 999 + LINGER_MS, Phase.UNLISTED),
            ('nobody comes', began, 1000 + LINGER_MS, Phase.DRAINED),
            ('in flight', busy, 1000 + LINGER_MS, Phase.UNLISTED),
            ('in flight for long', busy, LONG_MS, Phase.UNLISTED),
            (
                'ordered twice',
                drains.begin(began, 9000),
                1000 + LINGER_MS,
                Phase.DRAINED,
            ),
        )
        for name, state, now, expected in table:
            with self.subTest(name):
                phase = drains.decide_phase(state, LINGER_MS, now)
                self.assertIs(expected, phase)

    async def test_nothing_in_flight_is_cut_off(self) -> None:
        """The stop signal comes twice while a stream runs for an hour.

        The stream must be finished all the same.
        """
        waiting = asyncio.create_task(self.service.wait_drained())
        with self.service.track():
            self.service.begin()
            self.service.begin()
            self.clock.advance(LONG_MS)
            await self.settle()
            self.assertFalse(waiting.done())
            self.assertFalse(self.service.is_accepting())
        async with asyncio.timeout(5):
            await waiting
        self.assertEqual(1, self.announced)

    async def test_request_that_fails_is_counted_off(self) -> None:
        """A request ends in an error.

        Counted on, it would keep the entry from ever leaving.
        """
        with self.assertRaises(ValueError), self.service.track():
            raise ValueError
        self.assertEqual(0, self.service.in_flight)

    async def test_entry_serves_until_told_to_leave(self) -> None:
        waiting = asyncio.create_task(self.service.wait_drained())
        self.clock.advance(LONG_MS)
        await self.settle()
        self.assertTrue(self.service.is_accepting())
        self.assertFalse(waiting.done())
        waiting.cancel()
