"""Tests of the order in which demanding work begins."""

from __future__ import annotations

import asyncio
import unittest

from tests import builders
from thornspool.adapters import turns

LARGE = 10 * turns.WORK_PER_TURN


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = builders.FakeClock()
        self.turns = turns.Turns(self.clock)

    async def count_begun(self, futures, iterations):
        """Let the loop run for some turns; return what has begun since."""
        for _ in range(iterations):
            await asyncio.sleep(0)
        return sum(future.done() for future in futures)

    async def test_one_demanding_piece_begins_in_a_turn(self):
        """Guards against a crowd that holds up all others for seconds."""
        futures = [self.turns.take(LARGE) for _ in range(10)]
        self.assertEqual(3, await self.count_begun(futures, 3))
        self.assertEqual(7 * LARGE, self.turns.waiting_work)
        self.assertEqual(10, await self.count_begun(futures, 8))
        self.assertEqual(0, self.turns.waiting_work)

    async def test_small_pieces_begin_together(self):
        futures = [self.turns.take(turns.WORK_PER_TURN // 10) for _ in '12345']
        self.assertEqual(5, await self.count_begun(futures, 1))

    async def test_other_work_gets_more_time_than_a_long_turn(self):
        """Guards against demanding work that takes all turns."""
        futures = [self.turns.take(LARGE) for _ in range(3)]
        self.assertEqual(1, await self.count_begun(futures, 1))
        self.clock.advance(20)
        self.assertEqual(1, await self.count_begun(futures, 5))
        await asyncio.sleep(0.06)
        self.assertEqual(3, await self.count_begun(futures, 3))

    async def test_urgent_work_goes_first(self):
        """Guards against bodies in service that wait for discarded ones."""
        small = turns.WORK_PER_TURN // 10
        discarded = [self.turns.take(small, is_urgent=False) for _ in '12345']
        urgent = [self.turns.take(LARGE) for _ in '12']
        self.assertEqual(2, await self.count_begun(urgent, 2))
        self.assertEqual(2, sum(future.done() for future in discarded))

    async def test_work_that_is_no_longer_wanted_takes_no_turn(self):
        """Guards against clients that have left and that others wait for."""
        futures = [self.turns.take(LARGE) for _ in range(5)]
        for future in futures[:4]:
            future.set_result(None)
        await self.count_begun(futures, 1)
        self.assertTrue(futures[4].done())
