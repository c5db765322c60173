"""Tests of what is known of slow engines."""

from __future__ import annotations

import unittest

from thornspool.domain.fleet import marks
from thornspool.domain.fleet import paces as paces_module


class PacesTest(unittest.TestCase):
    def setUp(self):
        self.paces = paces_module.Paces()
        self.mark = marks.compute_mark('a-1')

    def test_counts_for_a_while(self):
        """An engine was slow and is not asked any more."""
        self.paces.note('a-1', 5.0, 0)
        self.assertEqual({'a-1': 5.0}, self.paces.select(['a-1', 'a-2'], 10))
        after = paces_module.VALID_MS + 1
        self.assertEqual(1.0, self.paces.get('a-1', after))
        self.paces.forget_old(after)
        self.assertFalse(self.paces.is_fresh('a-1', after, 10_000))

    def test_a_fast_one_is_no_faster_than_expected(self):
        self.paces.note('a-1', 0.5, 0)
        self.assertEqual(1.0, self.paces.get('a-1', 0))

    def test_what_was_passed_on_is_not_passed_on_again(self):
        """Two collectors tell each other of a slow engine."""
        self.paces.note_told({self.mark: 5.0}, 0, direct=False)
        self.assertEqual({}, self.paces.list_slow(0, direct_only=True))
        told = self.paces.list_slow(0, direct_only=False)
        self.assertEqual({self.mark: 5.0}, told)

    def test_old_word_does_not_replace_a_fresh_answer(self):
        self.paces.note('a-1', 1.0, 0)
        self.paces.note_told({self.mark: 5.0}, 500, direct=False)
        self.assertEqual(1.0, self.paces.get('a-1', 500))
