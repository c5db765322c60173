"""Tests of how often an entry requests reports from engines."""

from __future__ import annotations

import unittest

from thornspool.domain.pipelines import report_requests


class ReportLimiterTest(unittest.TestCase):
    def setUp(self):
        self.limiter = report_requests.ReportLimiter(max_age_ms=4_000)

    def test_rate_is_limited_over_all_subjects(self):
        requested = [
            self.limiter.should_request([(f'engine-{now}', None)], 2.0, now)
            for now in range(0, 10_000, 10)
        ]
        self.assertEqual(sum(requested), 20)

    def test_pending_report_is_requested_again_when_overdue(self):
        """A requested report arrives many seconds later, or never.

        If each request in the meantime asked again, the most used engines
        would consume the whole rate limit. If a report were never requested
        again, one lost report would hide an engine for ever.
        """
        for now, is_requested in ((0, True), (3_000, False), (4_000, True)):
            with self.subTest(now):
                reports = [('engine-1', None)]
                self.assertEqual(
                    self.limiter.should_request(reports, 2.0, now),
                    is_requested,
                )

    def test_outdated_subjects_are_removed(self):
        for number in range(10_000):
            self.limiter.should_request(
                [(f'engine-{number}', None)], 2.0, 1_000 * number
            )
        self.assertLess(len(self.limiter._requested_at), 5_000)


class LimitsTest(unittest.TestCase):
    def test_small_fleet_requests_loads_more_often(self):
        """Admission counts the queues that were reported recently.

        Six entries with the rate limit of 350 refused callers because of
        queues without a recent report.
        """
        for entries, loads_per_s in ((1, 2.0), (9, 2.0), (50, 1.75)):
            with self.subTest(entries):
                limits = report_requests.compute_limits(entries)
                self.assertEqual(limits.loads_per_s, loads_per_s)
        self.assertEqual(
            report_requests.compute_limits(350), report_requests.ReportLimits()
        )
