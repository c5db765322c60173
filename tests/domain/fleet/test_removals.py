"""Tests of servers that the list no longer shows."""

from __future__ import annotations

import unittest

from thornspool.domain.fleet import removals as removals_module

RUN = 7


class RemovalsTest(unittest.TestCase):
    def setUp(self):
        self.removals = removals_module.Removals()

    def report(self, revision, copy_revision, now=100):
        return self.removals.record_reported(
            {RUN: revision}, copy_revision, now
        )

    def test_report_counts_until_the_copy_has_reached_its_revision(self):
        """Guards against departures that only other copies show."""
        self.assertEqual({RUN}, self.report(12, 10))
        self.assertEqual(set(), self.report(12, 10, 900))
        self.assertEqual(100, self.removals.find_since(RUN))
        self.removals.forget_old(11, 1_000)
        self.assertEqual(100, self.removals.find_since(RUN))
        self.removals.forget_old(12, 1_000)
        self.assertIsNone(self.removals.find_since(RUN))

    def test_report_that_the_copy_has_reached_says_nothing(self):
        """Guards against late reports of servers that are listed again."""
        self.assertEqual(set(), self.report(12, 12))
        self.assertIsNone(self.removals.find_since(RUN))

    def test_own_removal_is_reported_for_a_time(self):
        self.removals.record(RUN, 12, 0)
        self.assertTrue(self.removals.has_unsent)
        self.assertIsNone(self.removals.find_since(RUN))
        self.assertEqual({RUN: 12}, self.removals.list_announced())
        self.removals.forget_old(99, removals_module.ANNOUNCE_MS + 1)
        self.assertEqual({}, self.removals.list_announced())

    def test_removal_ends_when_the_server_is_listed_again(self):
        self.report(12, 10)
        self.removals.forget(RUN)
        self.assertIsNone(self.removals.find_since(RUN))
