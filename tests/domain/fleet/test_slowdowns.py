"""Tests of the slowdown factors of engines."""

from __future__ import annotations

import unittest

from thornspool.domain.fleet import server_hashes
from thornspool.domain.fleet import slowdowns as slowdowns_module


class SlowdownsTest(unittest.TestCase):
    def setUp(self):
        self.slowdowns = slowdowns_module.Slowdowns()
        self.server_hash = server_hashes.compute_server_hash('a-1')

    def test_a_factor_expires(self):
        """An engine was slow and is no longer probed."""
        self.slowdowns.record_probe('a-1', 5.0, 0)
        self.assertEqual(
            {'a-1': 5.0}, self.slowdowns.select(['a-1', 'a-2'], 10)
        )
        after = slowdowns_module.VALID_MS + 1
        self.assertEqual(1.0, self.slowdowns.get('a-1', after))
        self.slowdowns.forget_old(after)
        self.assertFalse(self.slowdowns.is_fresh('a-1', after, 10_000))

    def test_the_factor_of_a_fast_engine_is_one(self):
        self.slowdowns.record_probe('a-1', 0.5, 0)
        self.assertEqual(1.0, self.slowdowns.get('a-1', 0))

    def test_a_forwarded_factor_is_not_forwarded_again(self):
        """Two collectors send each other the factor of a slow engine."""
        self.slowdowns.record_reported(
            {self.server_hash: 5.0}, 0, direct=False
        )
        self.assertEqual({}, self.slowdowns.list_slow(0, direct_only=True))
        announced = self.slowdowns.list_slow(0, direct_only=False)
        self.assertEqual({self.server_hash: 5.0}, announced)

    def test_a_report_does_not_replace_a_recent_probe(self):
        self.slowdowns.record_probe('a-1', 1.0, 0)
        self.slowdowns.record_reported(
            {self.server_hash: 5.0}, 500, direct=False
        )
        self.assertEqual(1.0, self.slowdowns.get('a-1', 500))
