"""Tests of sweeps, which probe all engines."""

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

    def test_a_sweep_probes_all_engines_in_batches(self):
        self.sweep.begin(NAMES, self.source, 0)
        batches = [self.sweep.pop_batch() for _ in range(4)]
        self.assertEqual([10, 10, 5, 0], [len(one) for one in batches])
        self.assertEqual(sorted(NAMES), sorted(itertools.chain(*batches)))

    def test_sweeps_keep_a_minimum_interval(self):
        """Guards against endless sweeps of a fleet that stays slow."""
        self.sweep.begin(NAMES, self.source, 0)
        while self.sweep.pop_batch():
            pass
        self.sweep.begin(NAMES, self.source, sweeps.MIN_INTERVAL_MS - 1)
        self.assertEqual([], self.sweep.pop_batch())
        self.sweep.begin(NAMES, self.source, sweeps.MIN_INTERVAL_MS)
        self.assertTrue(self.sweep.pop_batch())
