"""Tests of entries that lose their links to all engines."""

from __future__ import annotations

import unittest

from structlog import testing

from tests import engine_rules
from tests.simulation import callers
from tests.simulation import conditions
from tests.simulation import mixes

SECONDS = 18
CONTACT_MS = 3_000
KINDS = ('silent', 'reset', 'refused')
FLEETS = {'mesh': (mixes.LONG, 1 / 3), 'collectors': (mixes.WIDE, 1 / 2)}
MAX_FAILED_SHARE = 1 / 50


class Day:
    """One simulated day with entries that are cut off from all engines."""

    def __init__(self, workload, seed, kind, share, *faults, **options):
        self.cuts = []
        with testing.capture_logs() as self.logs:
            self.results = callers.simulate(
                workload,
                seed,
                SECONDS,
                conditions.combine(
                    conditions.cut_links(self.cuts, kind, share, **options),
                    *faults,
                ),
            )

    def count(self, contact_ms=CONTACT_MS):
        """Count the first tries at cut entries and at the others."""
        return engine_rules.count_tries(
            self.results.tries, self.cuts[0], contact_ms
        )

    def count_lines(self, event):
        return sum(line['event'] == event for line in self.logs)


class LinksTest(unittest.TestCase):
    def test_entries_with_links_serve_as_before(self):
        """Guards against evidence of entries that reach no engine."""
        for fleet, (workload, share) in FLEETS.items():
            for kind in KINDS:
                with self.subTest(fleet, kind=kind):
                    day = Day(workload, 1, kind, share)
                    _, others = day.count(0)
                    self.assertLessEqual(
                        others.count(False), MAX_FAILED_SHARE * len(others)
                    )
                    self.assertEqual(0, day.count_lines('server_ended'))

    def test_callers_of_cut_entries_are_served(self):
        """Guards against entries without links that only refuse."""
        for fleet, (workload, share) in FLEETS.items():
            for kind in KINDS:
                with self.subTest(fleet, kind=kind):
                    day = Day(workload, 1, kind, share)
                    self.assertEqual(
                        [],
                        engine_rules.find_recovery_violations(
                            day.results.tries, day.cuts, CONTACT_MS
                        ),
                    )
