"""Tests of the slowdown factors of engines."""

from __future__ import annotations

import unittest

from thornspool.domain.fleet import marks
from thornspool.domain.fleet import paces as paces_module


class PacesTest(unittest.TestCase):
    def setUp(self):
        self.paces = paces_module.Paces()
        self.server_hash = marks.compute_mark('a-1')

    def test_a_factor_expires(self):
        """An engine was slow and is no longer probed."""
        self.paces.note('a-1', 5.0, 0)
        self.assertEqual({'a-1': 5.0}, self.paces.select(['a-1', 'a-2'], 10))
        after = paces_module.VALID_MS + 1
        self.assertEqual(1.0, self.paces.get('a-1', after))
        self.paces.forget_old(after)
        self.assertFalse(self.paces.is_fresh('a-1', after, 10_000))

    def test_the_factor_of_a_fast_engine_is_one(self):
        self.paces.note('a-1', 0.5, 0)
        self.assertEqual(1.0, self.paces.get('a-1', 0))

    def test_a_forwarded_factor_is_not_forwarded_again(self):
        """Two collectors send each other the factor of a slow engine."""
        self.paces.note_told({self.server_hash: 5.0}, 0, direct=False)
        self.assertEqual({}, self.paces.list_slow(0, direct_only=True))
        announced = self.paces.list_slow(0, direct_only=False)
        self.assertEqual({self.server_hash: 5.0}, announced)

    def test_a_report_does_not_replace_a_recent_probe(self):
        self.paces.note('a-1', 1.0, 0)
        self.paces.note_told({self.server_hash: 5.0}, 500, direct=False)
        self.assertEqual(1.0, self.paces.get('a-1', 500))
