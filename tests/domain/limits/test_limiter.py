"""Tests of an entry's side of the limits."""

from __future__ import annotations

import unittest

from thornspool.domain.configuration import documents
from thornspool.domain.limits import limiter
from thornspool.domain.limits import messages

LIMITS = documents.Limits(requests_per_s=100.0)


def build_grant(sequence: int, rate: float) -> messages.WorkspaceGrant:
    return messages.WorkspaceGrant('w', sequence, messages.Amounts(rate), 5000)


def drain(subject: limiter.WorkspaceLimiter, now: int) -> int:
    for count in range(1000):
        refused = subject.admit('w', LIMITS, now)
        if isinstance(refused, messages.Refused):
            return count
        subject.finish('w', 0, now)
    raise AssertionError('no limit')


class WorkspaceLimiterTest(unittest.TestCase):
    def test_share_ends_when_the_owner_counts_it_as_ended(self) -> None:
        """A reply was on its way for long.

        Counted from its arrival, the share would outlive the time after
        which the owner hands it to another entry.
        """
        subject = limiter.WorkspaceLimiter(10)
        drain(subject, 0)
        self.assertEqual(1, len(subject.collect(0, 9)))
        subject.apply(build_grant(0, 90.0), 1000)
        drain(subject, 1000)
        drain(subject, 5000)
        self.assertLessEqual(drain(subject, 6000), 1)

    def test_reply_to_an_older_report_is_not_applied(self) -> None:
        """Replies arrive crossed.

        The owner counts on the last report's reply; an older and larger
        share would come on top of what others were given since.
        """
        subject = limiter.WorkspaceLimiter(10)
        drain(subject, 0)
        subject.collect(0, 9)
        drain(subject, 1000)
        subject.collect(1000, 9)
        subject.apply(build_grant(1000, 5.0), 1100)
        subject.apply(build_grant(0, 90.0), 1200)
        drain(subject, 1200)
        self.assertLessEqual(drain(subject, 2200), 6)

    def test_idle_workspace_does_not_regain_its_burst(self) -> None:
        """A caller pauses just long enough for its state to be dropped.

        Built anew, the bucket would be full: the burst again and again.
        """
        subject = limiter.WorkspaceLimiter(10)
        drain(subject, 0)
        subject.collect(0, 9)
        subject.collect(limiter.IDLE_MS, 9)
        self.assertLessEqual(drain(subject, limiter.IDLE_MS), 2)

    def test_first_refusal_sends_nobody_away_for_minutes(self) -> None:
        """An entry without a share refuses, and asks for one at once.

        Told to wait for the floor, the caller would stay away long after
        the share has come.
        """
        subject = limiter.WorkspaceLimiter(350)
        drain(subject, 0)
        refused = subject.admit('w', LIMITS, 0)
        assert refused is not None
        self.assertEqual(limiter.NO_SHARE_RETRY_MS, refused.retry_after_ms)
        self.assertEqual(1, len(subject.collect(0, 9)))

    def test_rare_callers_of_many_entries_are_served_without_reports(
        self,
    ) -> None:
        """Callers come to each of many entries once in many minutes.

        Each would be refused first, and would cost a report.
        """
        subject = limiter.WorkspaceLimiter(350)
        limits = documents.Limits(requests_per_s=1.0, tokens_per_s=1000.0)
        for now in range(0, 20_000_000, 1_000_000):
            self.assertIsNone(subject.admit('w', limits, now))
            subject.finish('w', 350, now)
            self.assertEqual((), subject.collect(now, 9))
