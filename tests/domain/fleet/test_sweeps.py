"""Tests of rounds of questions to all engines."""

from __future__ import annotations

import itertools
import random
import unittest

from thornspool.domain.fleet import sweeps

NAMES = [f'a-{number}' for number in range(25)]


class SweepTest(unittest.TestCase):
    def setUp(self):
        self.sweep = sweeps.Sweep()
        self.source = random.Random(1)

    def test_all_engines_are_asked_a_few_at_a_time(self):
        self.sweep.begin(NAMES, self.source, 0)
        turns = [self.sweep.take_next() for _ in range(4)]
        self.assertEqual([10, 10, 5, 0], [len(one) for one in turns])
        self.assertEqual(sorted(NAMES), sorted(itertools.chain(*turns)))

    def test_rounds_do_not_follow_each_other_at_once(self):
        """Guards against a slow fleet that is asked without end."""
        self.sweep.begin(NAMES, self.source, 0)
        while self.sweep.take_next():
            pass
        self.sweep.begin(NAMES, self.source, sweeps.PAUSE_MS - 1)
        self.assertEqual([], self.sweep.take_next())
        self.sweep.begin(NAMES, self.source, sweeps.PAUSE_MS)
        self.assertTrue(self.sweep.take_next())
