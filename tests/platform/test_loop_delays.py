"""Tests of the delays of periodic tasks."""

from __future__ import annotations

import unittest

from thornspool.platform import loop_delays


class LoopDelayTest(unittest.TestCase):
    def test_longest_delay_of_the_last_second(self):
        delay = loop_delays.LoopDelay(25)
        for now in (0, 25, 350, 375, 410):
            delay.record(now)
        self.assertEqual(300, delay.read(500))
        self.assertEqual(0, delay.read(1_400))
