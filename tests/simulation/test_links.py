"""Tests of entries that lose their links to all engines."""

from __future__ import annotations

import functools
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
MAX_RESTORE_MS = 1_000


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

    def list_lines(self, event):
        return [line for line in self.logs if line['event'] == event]

    def find_violations(self):
        return engine_rules.find_recovery_violations(
            self.results.tries, self.cuts, CONTACT_MS
        )


@functools.cache
def simulate(fleet, kind):
    """Simulate a day of a fleet without other faults."""
    workload, share = FLEETS[fleet]
    return Day(workload, 1, kind, share)


class LinksTest(unittest.TestCase):
    def list_days(self):
        for fleet in FLEETS:
            for kind in KINDS:
                with self.subTest(fleet, kind=kind):
                    yield simulate(fleet, kind)

    def test_entries_with_links_serve_as_before(self):
        """Guards against evidence of entries that reach no engine."""
        for day in self.list_days():
            _, others = day.count(0)
            self.assertLessEqual(
                others.count(False), MAX_FAILED_SHARE * len(others)
            )
            self.assertEqual([], day.list_lines('server_ended'))

    def test_callers_of_cut_entries_are_served(self):
        """Guards against entries without links that only refuse."""
        for day in self.list_days():
            self.assertEqual([], day.find_violations())

    def test_links_are_used_again_a_second_after_the_cut(self):
        """Guards against entries that go on without links."""
        for day in self.list_days():
            (cut,) = day.cuts
            restored = day.list_lines('links_restored')
            self.assertEqual(len(cut.hosts), len(restored))
            length_ms = cut.until - cut.since
            for line in restored:
                self.assertLessEqual(
                    line['after_ms'], length_ms + MAX_RESTORE_MS
                )

    def test_restored_links_are_found_without_a_stampede(self):
        """Guards against many probes when a cut ends."""
        for day in self.list_days():
            (cut,) = day.cuts
            probes = [
                one
                for one in day.results.arrivals
                if one.kind == 'probe'
                and cut.until <= one.at <= cut.until + MAX_RESTORE_MS
                and one.host in cut.hosts
            ]
            self.assertLessEqual(len(probes), 6 * len(cut.hosts))


class OtherFaultsTest(unittest.TestCase):
    """Cuts of all entries of a domain, of most, and beside other faults."""

    def check(self, day):
        self.assertEqual([], day.find_violations())
        own, others = day.count()
        self.assertGreater(len(own), 20)
        self.assertLessEqual(
            others.count(False), 1 + MAX_FAILED_SHARE * len(others)
        )

    def test_all_entries_of_a_failure_domain_are_cut_off(self):
        self.check(Day(mixes.LONG, 2, 'silent', 1.0, domain='a'))

    def test_most_entries_are_cut_off(self):
        self.check(Day(mixes.LONG, 3, 'reset', 0.8))

    def test_engines_crash_while_entries_are_cut_off(self):
        """Guards against real losses that are taken for lost links."""
        crashes = conditions.crash_engines(4, 1_000, interval_ms=3_000)
        day = Day(mixes.LONG, 4, 'refused', 1 / 3, crashes)
        self.check(day)
        self.assertEqual(
            len(day.cuts[0].hosts), len(day.list_lines('links_lost'))
        )

    def test_entries_fail_while_others_are_cut_off(self):
        """Guards against requests that are lost with the peer."""
        faults = conditions.disturb_entries(5, [], ('kill', 'freeze', 'cut'))
        day = Day(mixes.WIDE, 5, 'silent', 1 / 2, faults)
        self.assertEqual([], day.find_violations())
