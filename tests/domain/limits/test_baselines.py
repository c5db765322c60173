"""Tests of the baseline durations of work."""

from __future__ import annotations

import unittest

from thornspool.domain.limits import baselines

# Durations of answers, whether they may include time in a queue, and the
# range in milliseconds that the baseline must reach.
CASES = (
    ('first answers', [200] * 3, False, 199, 201),
    ('slower while idle', [200] * 50 + [600] * 200, False, 590, 600),
    ('slower under load', [200] * 50 + [600] * 200, True, 200, 240),
    ('quicker under load', [600] * 50 + [200] * 200, True, 200, 400),
    ('wide spread under load', [20, 40, 300, 440] * 100, True, 120, 260),
)


class StepBaselineTest(unittest.TestCase):
    def test_baseline_follows_the_durations(self) -> None:
        for name, durations_ms, may_queue, min_ms, max_ms in CASES:
            with self.subTest(name):
                baseline = baselines.StepBaseline()
                for now, duration_ms in enumerate(durations_ms):
                    baseline.observe(duration_ms, may_queue, 100 * now)
                self.assertLessEqual(min_ms, baseline.baseline_ms)
                self.assertLessEqual(baseline.baseline_ms, max_ms)

    def test_baseline_rises_for_permanently_slower_targets(self) -> None:
        """A new version of the weights takes three times as long.

        If the baseline never rose, the group would count as overloaded
        forever.
        """
        baseline = baselines.StepBaseline()
        for _ in range(50):
            baseline.observe(200, False, 0)
        for now in range(0, 3_600_000, 1000):
            ratio = baseline.observe(600, True, now)
        self.assertLess(ratio, 1.1)


class WorkBaselineTest(unittest.TestCase):
    def test_estimate_uses_the_mean_tokens_of_answers(self) -> None:
        """Callers allow 4,096 tokens, but answers have 20.

        With an estimate for the longest possible answer, each request would
        be refused because of its deadline.
        """
        baseline = baselines.WorkBaseline()
        baseline.first.observe(300, False, 0)
        for now in range(50):
            baseline.observe_following(20, 20 * 40, False, now)
        self.assertAlmostEqual(300 + 20 * 40, baseline.estimate(4096), delta=1)
        self.assertAlmostEqual(300 + 5 * 40, baseline.estimate(5), delta=1)
        self.assertAlmostEqual(300, baseline.estimate(0), delta=1)

    def test_estimate_without_answers_is_zero(self) -> None:
        self.assertEqual(0, baselines.WorkBaseline().estimate(1000))
