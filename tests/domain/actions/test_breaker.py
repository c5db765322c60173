"""Tests of when the ledger calls a platform that fails."""

from __future__ import annotations

import unittest

from thornspool.domain.actions import breaker

LONGEST_MS = 500


class BreakerTest(unittest.TestCase):
    def test_actions_go_on_soon_after_any_outage(self) -> None:
        """The platform comes back after an outage of any length.

        Where the wait between two tries grows with the outage, callers are
        told for seconds that a platform is down which answers everybody
        else.
        """
        for outage in range(50, 10_000, 50):
            with self.subTest(outage=outage):
                subject = breaker.Breaker()
                subject.record_failure(0)
                for now in range(0, outage, 10):
                    if subject.admit(now):
                        subject.record_failure(now)
                self.assertLessEqual(_find_wait(subject, outage), LONGEST_MS)

    def test_call_that_was_held_back_is_no_failure(self) -> None:
        """The client holds calls back for a moment longer.

        Counted as failures of the platform, refusals of our own would close
        the ledger for longer each time, up to the longest wait, though
        nobody asked the platform.
        """
        subject = breaker.Breaker()
        subject.record_failure(0)
        for now in range(200, 600, 50):
            self.assertTrue(subject.admit(now))
            self.assertFalse(subject.admit(now))
            subject.record_held_back(now, 50)
        subject.record_held_back(600, 10 * LONGEST_MS)
        self.assertEqual(LONGEST_MS, _find_wait(subject, 600))


def _find_wait(subject: breaker.Breaker, back: int) -> int:
    """Return the milliseconds after which a call is let through."""
    now = back
    while not subject.admit(now):
        now += 10
    return now - back
