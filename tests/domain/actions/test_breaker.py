"""Tests of the circuit breaker for a failing platform."""

from __future__ import annotations

import unittest

from thornspool.domain.actions import breaker

LONGEST_MS = 500


class BreakerTest(unittest.TestCase):
    def test_calls_resume_soon_after_any_outage(self) -> None:
        """The platform recovers after an outage of any length.

        If the backoff grew with the outage, callers would be refused for
        seconds although the platform answers again.
        """
        for outage in range(50, 10_000, 50):
            with self.subTest(outage=outage):
                subject = breaker.Breaker()
                subject.record_failure(0)
                for now in range(0, outage, 10):
                    if subject.admit(now):
                        subject.record_failure(now)
                self.assertLessEqual(_find_wait(subject, outage), LONGEST_MS)

    def test_call_rejected_by_the_client_is_not_a_failure(self) -> None:
        """The client still rejects calls for a short time after an outage.

        If these rejections counted as platform failures, each would double
        the backoff up to its maximum although no call was sent.
        """
        subject = breaker.Breaker()
        subject.record_failure(0)
        for now in range(200, 600, 50):
            self.assertTrue(subject.admit(now))
            self.assertFalse(subject.admit(now))
            subject.record_not_sent(now, 50)
        subject.record_not_sent(600, 10 * LONGEST_MS)
        self.assertEqual(LONGEST_MS, _find_wait(subject, 600))


def _find_wait(subject: breaker.Breaker, recovered_at: int) -> int:
    """Return the milliseconds until a call is admitted."""
    now = recovered_at
    while not subject.admit(now):
        now += 10
    return now - recovered_at
