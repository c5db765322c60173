"""Tests of the decision to retry."""

from __future__ import annotations

import unittest

from thornspool.domain.retries import budget
from thornspool.domain.retries import decisions
from thornspool.domain.retries import messages

FAR = 10**9
NOT_RUN = messages.Fate.NOT_RUN
MAY_HAVE_RUN = messages.Fate.MAY_HAVE_RUN


class DecideTest(unittest.TestCase):
    def test_decides_by_fate_attempts_deadline_and_budget(self) -> None:
        """An attempt fails in each of the listed ways."""
        abandon = messages.Abandon
        reason = messages.AbandonReason
        cases = [
            ((NOT_RUN, False, 1, FAR), 10.0, messages.Retry(25)),
            ((NOT_RUN, True, 3, FAR), 10.0, messages.Retry(100)),
            ((MAY_HAVE_RUN, True, 1, FAR), 10.0, messages.Retry(25)),
            (
                (MAY_HAVE_RUN, False, 1, FAR),
                10.0,
                abandon(reason.MAY_HAVE_RUN),
            ),
            ((NOT_RUN, True, 4, FAR), 10.0, abandon(reason.ATTEMPTS)),
            ((NOT_RUN, True, 1, 125), 10.0, abandon(reason.DEADLINE)),
            ((NOT_RUN, True, 1, 126), 10.0, messages.Retry(25)),
            ((NOT_RUN, True, 1, 175, 50), 10.0, abandon(reason.DEADLINE)),
            ((NOT_RUN, True, 1, FAR), 0.9, abandon(reason.BUDGET)),
        ]
        for values, level, expected in cases:
            with self.subTest(values=values, level=level):
                tokens = budget.build_budget(100, floor_per_s=0.0)
                tokens.bucket.level = level
                decision = decisions.decide(
                    messages.Failure(*values), tokens, 100, 1.0
                )
                self.assertEqual(expected, decision)
                spent = isinstance(decision, messages.Retry)
                self.assertEqual(level - spent, tokens.bucket.level)

    def test_a_failed_target_group_gets_few_retries(self) -> None:
        """A target group fails after it has served without errors."""
        tokens = budget.build_budget(0, 0.1, 1.0, 10.0)
        tokens.bucket.level = 0.0
        for now in range(1000):
            tokens.record_success(now)
        retries = sum(tokens.spend(now) for now in range(1000, 11_000, 10))
        # The full burst, and the floor rate over 9.99 seconds.
        self.assertEqual(10 + 9, retries)
