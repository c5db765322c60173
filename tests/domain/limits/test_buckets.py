"""Tests of token buckets."""

from __future__ import annotations

import unittest

from thornspool.domain.limits import buckets


class TokenBucketTest(unittest.TestCase):
    def test_tokens_are_limited_to_the_rate_after_the_burst(self) -> None:
        bucket = buckets.build_bucket(10.0, 5.0, 0)
        taken = [bucket.try_acquire(1.0, now) for now in range(0, 1000, 10)]
        self.assertEqual(5 + 9, sum(taken))
        self.assertEqual(10, bucket.compute_wait(1.0, 990))

    def test_earlier_time_adds_no_tokens(self) -> None:
        """An event has an earlier time than the one before it.

        Tokens would be added twice for the same interval.
        """
        bucket = buckets.build_bucket(10.0, 5.0, 1000)
        self.assertTrue(bucket.try_acquire(5.0, 1000))
        self.assertFalse(bucket.try_acquire(1.0, 0))
        self.assertFalse(bucket.try_acquire(1.0, 1099))
        self.assertTrue(bucket.try_acquire(1.0, 1100))

    def test_reservation_succeeds_within_the_maximum_wait(self) -> None:
        bucket = buckets.build_bucket(10.0, 1.0, 0)
        waits = [bucket.reserve(1.0, 0, 150) for _ in range(3)]
        self.assertEqual([0, 100, None], waits)

    def test_bucket_with_rate_zero_never_fills(self) -> None:
        bucket = buckets.TokenBucket(0.0, 5.0, 0.0)
        self.assertIsNone(bucket.compute_wait(1.0, 10**9))
