"""Tests of exponential backoff."""

from __future__ import annotations

import unittest

from thornspool.domain.retries import backoff


class BackoffTest(unittest.TestCase):
    def test_the_delay_doubles_up_to_the_cap(self) -> None:
        delays = [backoff.compute_delay(n, 50, 300, 1.0) for n in range(5)]
        self.assertEqual([50, 100, 200, 300, 300], delays)

    def test_the_delay_is_scaled_by_the_fraction(self) -> None:
        delays = [backoff.compute_delay(2, 50, 300, f) for f in (0, 0.5)]
        self.assertEqual([0, 100], delays)

    def test_the_delay_of_a_late_attempt_is_within_the_cap(self) -> None:
        self.assertEqual(300, backoff.compute_delay(10**6, 50, 300, 1.0))
