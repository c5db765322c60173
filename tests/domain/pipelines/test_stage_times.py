"""Tests of learning the times of stages from streams."""

from __future__ import annotations

import unittest

from thornspool.domain.pipelines import stage_times


class PaceMeterTest(unittest.TestCase):
    def test_interval_excludes_the_first_tokens(self):
        """The prefill of a long prompt delays the first token.

        If it were included, a fast engine would count as slow.
        """
        meter = stage_times.TokenIntervalMeter()
        self.assertIsNone(meter.count(1, 900_000))
        intervals = [
            meter.count(2, 900_000 + 20 * chunk) for chunk in range(1, 17)
        ]
        measured = [
            interval_ms for interval_ms in intervals if interval_ms is not None
        ]
        self.assertEqual(measured, [10.0, 10.0])


class StageTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = stage_times.StageTimes()

    def read(self, target, now, report_weight=0.0):
        return self.times.refine(target, 10.0, report_weight, now)

    def learn(self, targets, interval_ms, now=0):
        expected = [
            (target, self.read(target, now).time) for target in targets
        ]
        self.times.record_token_interval(expected, interval_ms, now)

    def test_streams_on_other_routes_identify_a_slow_stage(self):
        """One of three engines becomes ten times slower without a report."""
        actual = {'a': 10.0, 'b': 10.0, 'c': 100.0}
        for _ in range(40):
            for route in ('ab', 'ac', 'bc'):
                self.learn(route, sum(actual[target] for target in route))
        for target, time in actual.items():
            with self.subTest(target):
                self.assertAlmostEqual(
                    self.read(target, 0).time, time, delta=0.1 * time
                )

    def test_learned_time_decays_and_a_new_report_overrides_it(self):
        """A slow engine has recovered.

        An entry that kept avoiding it would never measure its new time.
        """
        self.learn('a', 100.0)
        learned = self.read('a', 0)
        self.assertGreater(learned.time, 50)
        self.assertLess(learned.uncertainty, 0.5)
        later = self.read('a', 60_000)
        self.assertAlmostEqual(later.time, 10.0, delta=0.1)
        self.assertGreater(later.uncertainty, 0.99)
        reported = self.read('a', 0, report_weight=1.0)
        self.assertEqual(reported, stage_times.Estimate(10.0, 0.0))

    def test_times_stay_positive_when_link_times_are_too_high(self):
        for _ in range(20):
            self.learn('ab', -50.0)
        self.assertGreater(self.read('a', 0).time, 0)

    def test_outdated_targets_are_removed(self):
        """Hosts are replaced every day and their names are not reused."""
        for number in range(10_000):
            self.learn([f'engine-{number}'], 20.0, now=100 * number)
        self.assertLess(len(self.times._learned_times), 5_000)
