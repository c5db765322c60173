"""Tests of the graceful shutdown of an entry."""

from __future__ import annotations

import asyncio
import unittest

from tests import builders
from thornspool.application import drain
from thornspool.domain.membership import drains

LINGER_MS = 18_000
HOUR_MS = 3_600_000
Phase = drains.Phase


class DrainServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.announced = 0
        self.service = drain.DrainService(self.clock, self.announce, LINGER_MS)

    def announce(self) -> None:
        self.announced += 1

    async def wait_for_check(self) -> None:
        """Wait until the waiting task has checked the phase again."""
        await asyncio.sleep(0.12)

    def test_phases(self) -> None:
        """An entry is told to stop while requests are in flight.

        If it exits too early, a request is aborted, or callers that have its
        address cached get a refused connection.
        """
        draining = drains.begin(drains.Drain(), 1000)
        busy = drains.Drain(1000, in_flight=1)
        table = (
            ('not begun', drains.Drain(), HOUR_MS, Phase.SERVING),
            ('busy, not begun', drains.Drain(None, 3), 0, Phase.SERVING),
            ('requests may arrive', draining, 999 + LINGER_MS, Phase.UNLISTED),
            ('none can arrive', draining, 1000 + LINGER_MS, Phase.DRAINED),
            ('in flight', busy, 1000 + LINGER_MS, Phase.UNLISTED),
            ('in flight for long', busy, HOUR_MS, Phase.UNLISTED),
            (
                'begun twice',
                drains.begin(draining, 9000),
                1000 + LINGER_MS,
                Phase.DRAINED,
            ),
        )
        for name, state, now, expected in table:
            with self.subTest(name):
                phase = drains.decide_phase(state, LINGER_MS, now)
                self.assertIs(expected, phase)

    async def test_in_flight_request_is_finished(self) -> None:
        """The stop signal arrives twice while a stream runs for an hour.

        The stream must still be finished.
        """
        waiting = asyncio.create_task(self.service.wait_drained())
        with self.service.track():
            self.service.begin()
            self.service.begin()
            self.clock.advance(HOUR_MS)
            await self.wait_for_check()
            self.assertFalse(waiting.done())
            self.assertFalse(self.service.is_accepting())
        async with asyncio.timeout(5):
            await waiting
        self.assertEqual(1, self.announced)

    async def test_failed_request_is_no_longer_in_flight(self) -> None:
        """A request ends with an error.

        If it still counted as in flight, the entry would never exit.
        """
        with self.assertRaises(ValueError), self.service.track():
            raise ValueError
        self.assertEqual(0, self.service.in_flight)

    async def test_entry_serves_until_the_drain_begins(self) -> None:
        waiting = asyncio.create_task(self.service.wait_drained())
        self.clock.advance(HOUR_MS)
        await self.wait_for_check()
        self.assertTrue(self.service.is_accepting())
        self.assertFalse(waiting.done())
        waiting.cancel()
