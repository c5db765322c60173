"""Tests of what work usually takes."""

from __future__ import annotations

import unittest

from thornspool.domain.limits import paces

# Times, whether so much is in flight that a queue may be part of them, and
# between which milliseconds the usual time has to end.
CASES = (
    ('first answers', [200] * 3, False, 199, 201),
    ('slower while idle', [200] * 50 + [600] * 200, False, 590, 600),
    ('slower under load', [200] * 50 + [600] * 200, True, 200, 240),
    ('quicker under load', [600] * 50 + [200] * 200, True, 200, 400),
    ('wide spread under load', [20, 40, 300, 440] * 100, True, 120, 260),
)


class PaceTest(unittest.TestCase):
    def test_usual_time(self) -> None:
        for name, times, may_queue, least, most in CASES:
            with self.subTest(name):
                pace = paces.Pace()
                for now, took in enumerate(times):
                    pace.learn(took, may_queue, 100 * now)
                self.assertLessEqual(least, pace.usual_ms)
                self.assertLessEqual(pace.usual_ms, most)

    def test_targets_slower_for_good_become_usual(self) -> None:
        """A new version of the weights takes three times as long.

        Were that never learnt, the group would look overloaded for good.
        """
        pace = paces.Pace()
        for _ in range(50):
            pace.learn(200, False, 0)
        for now in range(0, 3_600_000, 1000):
            stretch = pace.learn(600, True, now)
        self.assertLess(stretch, 1.1)


class WorkPaceTest(unittest.TestCase):
    def test_estimate_expects_the_tokens_of_other_answers(self) -> None:
        """Callers allow 4,096 tokens; answers have 20.

        Estimated by the longest answer, each request would be refused for
        its deadline.
        """
        pace = paces.WorkPace()
        pace.first.learn(300, False, 0)
        for now in range(50):
            pace.learn_rest(20, 20 * 40, False, now)
        self.assertAlmostEqual(300 + 20 * 40, pace.estimate(4096), delta=1)
        self.assertAlmostEqual(300 + 5 * 40, pace.estimate(5), delta=1)
        self.assertAlmostEqual(300, pace.estimate(0), delta=1)

    def test_nothing_known_refuses_nothing(self) -> None:
        self.assertEqual(0, paces.WorkPace().estimate(1000))
