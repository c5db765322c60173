"""Tests of outlier ejection."""

from __future__ import annotations

import unittest

from thornspool.domain.fleet import outliers as outliers_module
from thornspool.domain.fleet import server_hashes

SERVER_HASH = server_hashes.compute_server_hash('a-1')


class OutliersTest(unittest.TestCase):
    def setUp(self):
        self.outliers = outliers_module.Outliers()

    def test_one_break_ejects_no_engine(self):
        self.outliers.record_break('a-1', 0)
        self.assertFalse(self.outliers.is_outlier(SERVER_HASH, 0))

    def test_two_breaks_within_the_window_eject_an_engine(self):
        self.outliers.record_break('a-1', 0)
        self.outliers.record_break('a-1', outliers_module.WINDOW_MS)
        self.assertTrue(
            self.outliers.is_outlier(SERVER_HASH, outliers_module.WINDOW_MS)
        )

    def test_breaks_outside_the_window_eject_no_engine(self):
        self.outliers.record_break('a-1', 0)
        now = outliers_module.WINDOW_MS + 1
        self.outliers.record_break('a-1', now)
        self.assertFalse(self.outliers.is_outlier(SERVER_HASH, now))

    def test_occasional_breaks_eject_no_engine(self):
        """Guards against an ejection of a domain's only first engine."""
        for number in range(200):
            now = 50 * number
            if number % 10 in {0, 5}:
                self.outliers.record_break('a-1', now)
                self.outliers.record_reported('h-2', [SERVER_HASH], now)
                self.outliers.record_reported('h-3', [SERVER_HASH], now)
            else:
                self.outliers.record_success('a-1', now)
            if number > 10:
                self.assertFalse(self.outliers.is_outlier(SERVER_HASH, now))

    def test_breaks_of_two_entries_count_together(self):
        self.outliers.record_break('a-1', 0)
        self.assertEqual(
            {SERVER_HASH},
            self.outliers.record_reported('h-2', [SERVER_HASH], 10),
        )
        self.assertTrue(self.outliers.is_outlier(SERVER_HASH, 10))

    def test_a_break_reported_several_times_counts_once(self):
        for now in range(0, outliers_module.ANNOUNCE_MS, 100):
            self.outliers.record_reported('h-2', [SERVER_HASH], now)
        self.assertFalse(self.outliers.is_outlier(SERVER_HASH, 400))

    def test_old_breaks_expire(self):
        self.outliers.record_break('a-1', 0)
        self.assertTrue(self.outliers.has_broken(SERVER_HASH))
        self.outliers.forget_old(outliers_module.RETENTION_MS + 1)
        self.assertFalse(self.outliers.has_broken(SERVER_HASH))
        self.assertEqual((), self.outliers.list_announced(0))
