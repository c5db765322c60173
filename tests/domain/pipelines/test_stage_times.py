"""Tests of the times of stages that are learnt from streams."""

from __future__ import annotations

import unittest

from thornspool.domain.pipelines import stage_times


class PaceMeterTest(unittest.TestCase):
    def test_pace_leaves_the_first_tokens_out(self):
        """A long prompt is worked through before the first token.

        Counted in, it would make a quick engine look slow.
        """
        meter = stage_times.PaceMeter()
        self.assertIsNone(meter.count(1, 900_000))
        paces = [
            meter.count(2, 900_000 + 20 * chunk) for chunk in range(1, 17)
        ]
        told = [pace for pace in paces if pace is not None]
        self.assertEqual(told, [10.0, 10.0])


class StageTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = stage_times.StageTimes()

    def read(self, target, now, trust=0.0):
        return self.times.refine(target, 10.0, trust, now)

    def note(self, targets, pace, now=0):
        expected = [
            (target, self.read(target, now).time) for target in targets
        ]
        self.times.note_pace(expected, pace, now)

    def test_streams_on_other_routes_tell_a_slow_stage_apart(self):
        """One of three engines slows tenfold and no report says so."""
        real = {'a': 10.0, 'b': 10.0, 'c': 100.0}
        for _ in range(40):
            for route in ('ab', 'ac', 'bc'):
                self.note(route, sum(real[target] for target in route))
        for target, time in real.items():
            with self.subTest(target):
                self.assertAlmostEqual(
                    self.read(target, 0).time, time, delta=0.1 * time
                )

    def test_what_was_learnt_fades_and_a_fresh_report_goes_before_it(self):
        """An engine was slow and is not any more.

        An entry that went on avoiding it would never find out.
        """
        self.note('a', 100.0)
        learnt = self.read('a', 0)
        self.assertGreater(learnt.time, 50)
        self.assertLess(learnt.doubt, 0.5)
        later = self.read('a', 60_000)
        self.assertAlmostEqual(later.time, 10.0, delta=0.1)
        self.assertGreater(later.doubt, 0.99)
        reported = self.read('a', 0, trust=1.0)
        self.assertEqual(reported, stage_times.Estimate(10.0, 0.0))

    def test_times_stay_positive_when_links_were_overrated(self):
        for _ in range(20):
            self.note('ab', -50.0)
        self.assertGreater(self.read('a', 0).time, 0)

    def test_targets_of_the_past_are_forgotten(self):
        """Hosts are replaced every day and their names never come back."""
        for number in range(10_000):
            self.note([f'engine-{number}'], 20.0, now=100 * number)
        self.assertLess(len(self.times._learnt), 5_000)
