"""Tests of the admission at one entry within the limits of workspaces."""

from __future__ import annotations

import unittest

from thornspool.domain.configuration import documents
from thornspool.domain.limits import limiter
from thornspool.domain.limits import messages

LIMITS = documents.Limits(requests_per_s=100.0)


def build_grant(sequence: int, rate: float) -> messages.WorkspaceGrant:
    return messages.WorkspaceGrant('w', sequence, messages.Amounts(rate), 5000)


def exhaust_limit(subject: limiter.WorkspaceLimiter, now: int) -> int:
    for count in range(1000):
        refused = subject.admit('w', LIMITS, now)
        if isinstance(refused, messages.Rejection):
            return count
        subject.finish_request('w', 0, now)
    raise AssertionError('no limit')


class WorkspaceLimiterTest(unittest.TestCase):
    def test_share_expires_no_later_than_at_the_owner(self) -> None:
        """A reply is delayed.

        If the lifetime of the share started with the arrival of the reply,
        the share would still be used after the owner granted it to another
        entry.
        """
        subject = limiter.WorkspaceLimiter(10)
        exhaust_limit(subject, 0)
        self.assertEqual(1, len(subject.collect_reports(0, 9)))
        subject.apply_grant(build_grant(0, 90.0), 1000)
        exhaust_limit(subject, 1000)
        exhaust_limit(subject, 5000)
        self.assertLessEqual(exhaust_limit(subject, 6000), 1)

    def test_reply_to_an_older_report_is_not_applied(self) -> None:
        """Replies arrive out of order.

        The owner records the share of its latest reply. An older and larger
        share would be used in addition to what it granted to others since.
        """
        subject = limiter.WorkspaceLimiter(10)
        exhaust_limit(subject, 0)
        subject.collect_reports(0, 9)
        exhaust_limit(subject, 1000)
        subject.collect_reports(1000, 9)
        subject.apply_grant(build_grant(1000, 5.0), 1100)
        subject.apply_grant(build_grant(0, 90.0), 1200)
        exhaust_limit(subject, 1200)
        self.assertLessEqual(exhaust_limit(subject, 2200), 6)

    def test_idle_workspace_does_not_regain_its_burst(self) -> None:
        """A caller pauses just long enough for its state to be dropped.

        A new bucket would be full, so the caller could use the burst
        repeatedly.
        """
        subject = limiter.WorkspaceLimiter(10)
        exhaust_limit(subject, 0)
        subject.collect_reports(0, 9)
        subject.collect_reports(limiter.IDLE_MS, 9)
        self.assertLessEqual(exhaust_limit(subject, limiter.IDLE_MS), 2)

    def test_first_refusal_has_a_short_retry_delay(self) -> None:
        """An entry without a share refuses a request and reports its demand.

        With a retry delay that follows from the floor, the caller would wait
        for minutes although the share is granted at once.
        """
        subject = limiter.WorkspaceLimiter(350)
        exhaust_limit(subject, 0)
        refused = subject.admit('w', LIMITS, 0)
        assert refused is not None
        self.assertEqual(limiter.NO_SHARE_RETRY_MS, refused.retry_after_ms)
        self.assertEqual(1, len(subject.collect_reports(0, 9)))

    def test_rare_requests_at_many_entries_are_admitted_without_reports(
        self,
    ) -> None:
        """Each of many entries receives one request in many minutes.

        With the usual floor each request would be refused at first and would
        cause a report.
        """
        subject = limiter.WorkspaceLimiter(350)
        limits = documents.Limits(requests_per_s=1.0, tokens_per_s=1000.0)
        for now in range(0, 20_000_000, 1_000_000):
            self.assertIsNone(subject.admit('w', limits, now))
            subject.finish_request('w', 350, now)
            self.assertEqual((), subject.collect_reports(now, 9))
