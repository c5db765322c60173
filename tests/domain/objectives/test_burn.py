"""Tests of sliding window counts and of burn rates."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies

from thornspool.domain.configuration import documents
from thornspool.domain.objectives import burn
from thornspool.domain.objectives import counts

MINUTE = counts.MINUTE_MS
HOUR = counts.HOUR_MS
SUBJECT = burn.Subject('swan-coast', 'slots', burn.Indicator.AVAILABILITY)

# Shares of bad events in the windows of 5 min, 30 min, 1 h, 6 h and 72 h for
# an objective of 0.99, and the expected severity.
SEVERITIES = (
    ((0.0, 0.0, 0.0, 0.0, 0.0), burn.Severity.NONE),
    ((0.2, 0.2, 0.2, 0.0, 0.0), burn.Severity.PAGE),
    ((0.0, 0.2, 0.2, 0.0, 0.0), burn.Severity.NONE),
    ((0.0, 0.07, 0.1, 0.07, 0.0), burn.Severity.PAGE),
    ((0.0, 0.0, 0.0, 0.02, 0.02), burn.Severity.TICKET),
    ((0.0, 0.0, 0.0, 0.0, 0.02), burn.Severity.NONE),
)


class SlidingCountsTest(unittest.TestCase):
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 20).map(lambda n: n * MINUTE // 2),
                strategies.integers(0, 3),
                strategies.integers(0, 3),
            ),
            max_size=60,
        ),
        strategies.sampled_from([5, 30, 60]),
    )
    def test_windows_match_a_list_of_events(self, steps, minutes):
        sliding = counts.SlidingCounts()
        events = []
        now = 0
        for wait, good, bad in steps:
            now += wait
            sliding.add(now, good, bad)
            events.append((now // MINUTE, good, bad))
        start = (now - minutes * MINUTE) // MINUTE
        inside = [event for event in events if event[0] > start]
        read = sliding.read(now, minutes * MINUTE)
        self.assertEqual(sum(e[1] for e in inside), read.good)
        self.assertEqual(sum(e[2] for e in inside), read.bad)

    def test_memory_is_bounded(self) -> None:
        sliding = counts.SlidingCounts()
        for minute in range(10_000):
            sliding.add(minute * MINUTE, 1, 0)
        held = (len(sliding._minutes) + len(sliding._hours)) // 3
        self.assertLessEqual(held, counts.MINUTE_SLOTS + counts.HOUR_SLOTS)
        now = 9_999 * MINUTE
        self.assertEqual(60, sliding.read(now, HOUR).good)


class BurnTest(unittest.TestCase):
    def test_severity_requires_both_windows(self) -> None:
        for shares, severity in SEVERITIES:
            with self.subTest(shares=shares):
                windows = tuple(
                    burn.WindowCounts(
                        window_ms,
                        counts.Counts(
                            round(1000 * (1 - share)), round(1000 * share)
                        ),
                    )
                    for window_ms, share in zip(
                        burn.WINDOWS_MS, shares, strict=True
                    )
                )
                assessed = burn.assess_burn(SUBJECT, 0.99, windows)
                self.assertEqual(severity, assessed.severity)

    def test_burn_rate_without_events_is_zero(self) -> None:
        assessed = burn.assess_burn(SUBJECT, 0.99, ())
        self.assertEqual((0.0,) * len(burn.WINDOWS_MS), assessed.rates)

    def test_only_configured_bounds_are_checked(self) -> None:
        objective = documents.Objective(first_token_ms=840)
        self.assertEqual(
            [burn.Indicator.AVAILABILITY, burn.Indicator.FIRST_TOKEN],
            [check[0] for check in burn.list_checks(objective)],
        )
