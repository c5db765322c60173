"""Tests of the retries that a fleet has sent."""

from __future__ import annotations

import unittest

from thornspool.domain.retries import histories

WINDOW_MS = 10_000


class RetryHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = histories.RetryHistory(WINDOW_MS)

    def test_retries_of_an_ended_process_count_until_they_expire(self):
        """Guards against retries that end with the process that sent them."""
        self.history.record(1, histories.Report(5, 5, ((0, 3), (4_000, 2))), 0)
        self.history.record(2, histories.Report(1, 1, ((0, 1),)), 100)
        self.assertEqual(6, self.history.count(5_999))
        self.assertEqual(4, self.history.count(6_000))
        self.assertEqual(0, self.history.count(10_100))

    def test_repeated_and_late_reports_add_nothing(self):
        """Guards against retries that are counted for each peer."""
        report = histories.Report(5, 5, ((0, 3), (4_000, 2)))
        self.history.record(1, report, 0)
        self.history.record(1, report, 700)
        self.history.record(1, histories.Report(3, 3, ((0, 3),)), 900)
        self.assertEqual(5, self.history.count(900))

    def test_lost_reports_are_made_up_for(self):
        self.history.record(1, histories.Report(2, 2, ((0, 2),)), 0)
        later = histories.Report(7, 7, ((100, 4), (600, 1), (1_000, 2)))
        self.history.record(1, later, 1_000)
        self.assertEqual(7, self.history.count(1_000))
        self.assertEqual(5, self.history.count(WINDOW_MS))
        self.assertEqual(4, self.history.count(WINDOW_MS + 400))

    def test_report_of_the_latest_retries_makes_up_for_lost_ones(self):
        """Guards against retries that were sent while updates were lost."""
        self.history.record(1, histories.Report(2, 2, ((0, 2),)), 0)
        self.history.record(1, histories.Report(9, 9, ((500, 1),)), 6_000)
        self.assertEqual(9, self.history.count(6_000))
        self.assertEqual(7, self.history.count(15_499))
        self.assertEqual(0, self.history.count(15_500))

    def test_reports_list_the_latest_retries(self):
        self.history.record(1, histories.Report(5, 5, ((0, 3), (4_000, 2))), 0)
        self.history.record(2, histories.Report(1, 1, ((3_500, 1),)), 0)
        self.assertEqual(
            {1: histories.Report(5, 5, ((1_000, 3),))},
            self.history.list_reports(1_000, 3_000),
        )

    def test_earlier_retries_of_an_unknown_process_do_not_count(self):
        """Guards against an entry that starts and is charged for hours."""
        self.history.record(1, histories.Report(5_000, 4, ((200, 4),)), 0)
        self.assertEqual(4, self.history.count(0))

    def test_reports_that_are_passed_on_expire_at_the_same_time(self):
        """Guards against retries that chains of restarts keep in force."""
        histories_by_age = [self.history]
        self.history.record(1, histories.Report(3, 3, ((0, 3),)), 0)
        for now in range(500, WINDOW_MS, 500):
            newest = histories.RetryHistory(WINDOW_MS)
            reports = histories_by_age[-1].list_reports(now)
            for process_id, report in reports.items():
                newest.record(process_id, report, now)
            histories_by_age.append(newest)
        self.assertEqual(3, histories_by_age[-1].count(WINDOW_MS - 1))
        for history in histories_by_age:
            self.assertEqual(0, history.count(WINDOW_MS))

    def test_expired_retries_of_a_slow_peer_are_not_added_again(self):
        """Guards against retries that two entries keep in force by turns."""
        self.history.record(1, histories.Report(3, 3, ((0, 3),)), 0)
        for now in range(0, 2 * WINDOW_MS, 200):
            self.history.drop_expired(now)
            self.history.record(1, histories.Report(3, 3, ((9_800, 3),)), now)
        self.assertEqual(0, self.history.count(2 * WINDOW_MS))

    def test_processes_without_retries_are_forgotten(self):
        """Guards against memory that grows with each restart."""
        for number in range(100):
            now = number * WINDOW_MS
            self.history.record(number, histories.Report(1, 1, ((0, 1),)), now)
            self.history.drop_expired(now)
        self.assertLessEqual(len(self.history._processes), 3)


class SentRetriesTest(unittest.TestCase):
    def test_report_groups_retries_by_time(self):
        sent = histories.SentRetries(WINDOW_MS)
        for at in (0, 100, 499, 500, 2_000):
            sent.record_retry(at)
        report = sent.build_report(3_000)
        self.assertEqual(
            histories.Report(5, 5, ((1_000, 1), (2_500, 1), (2_501, 3))),
            report,
        )
        self.assertEqual(((8_500, 1),), sent.build_report(10_500).groups)
