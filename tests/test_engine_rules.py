"""Tests that the rules on denials find the violations that they cover."""

from __future__ import annotations

import unittest

from tests import engine_rules

BOUND_MS = 2_000
CONTACT_MS = 3_000
VERSIONS = (
    engine_rules.Version(1, 0, 0, frozenset({'first'})),
    engine_rules.Version(2, 10_000, 10_100, frozenset({'first', 'added'})),
    engine_rules.Version(3, 40_000, 40_100, frozenset({'first'})),
)


def build_denial(sent_at, target='added', host='a', **changes):
    """Build a denial that is answered at once."""
    values = {
        'sent_at': sent_at,
        'at': sent_at,
        'host': host,
        'target': target,
        'status': 404,
    }
    values.update(changes)
    return engine_rules.Denial(**values)


def find_violations(denials, disturbances=(), request_count=100):
    return engine_rules.find_denial_violations(
        denials, VERSIONS, request_count, BOUND_MS, CONTACT_MS, disturbances
    )


class DenialRuleTest(unittest.TestCase):
    def test_denials_are_judged_by_the_versions_that_may_apply(self):
        table = (
            ('before the version', build_denial(5_000), 0),
            ('within the bound', build_denial(12_100), 0),
            ('after the bound', build_denial(12_101), 1),
            ('sent in time', build_denial(12_100, at=15_000), 0),
            ('beside a withdrawal', build_denial(39_999, at=40_000), 0),
            ('after a withdrawal', build_denial(41_000), 0),
            ('never there', build_denial(20_000, 'never'), 0),
        )
        for name, denial, count in table:
            with self.subTest(name):
                self.assertEqual(count, len(find_violations([denial])))

    def test_disturbed_hosts_may_apply_older_versions(self):
        for host, since, until, count in (
            ('a', 15_000, 18_000, 0),
            ('', 15_000, 18_000, 0),
            ('b', 15_000, 18_000, 1),
            ('a', 14_000, 16_999, 1),
            ('a', 20_001, 21_000, 1),
        ):
            with self.subTest(host=host, since=since):
                excuse = engine_rules.Excuse(host, since, until)
                found = find_violations([build_denial(20_000)], [excuse])
                self.assertEqual(count, len(found))

    def test_few_denials_of_what_all_versions_allow_are_accepted(self):
        denials = [build_denial(20_000, 'first')] * 6
        self.assertEqual(1, len(find_violations(denials)))
        self.assertEqual([], find_violations(denials, request_count=500))
        self.assertEqual([], find_violations(denials[:5]))

    def test_hosts_out_of_touch_deny_little_that_all_versions_allow(self):
        excuse = engine_rules.Excuse('', 0, 50_000)
        denials = [build_denial(20_000, 'first')] * 11
        self.assertEqual(1, len(find_violations(denials, [excuse])))
        self.assertEqual([], find_violations(denials[:10], [excuse]))
        others = [build_denial(20_000, 'added')] * 11
        self.assertEqual([], find_violations(others, [excuse]))


class VersionRuleTest(unittest.TestCase):
    def test_version_must_be_in_force_within_the_bound(self):
        for at, number, count in (
            (12_100, 1, 0),
            (12_101, 1, 1),
            (12_101, 2, 0),
            (12_101, 3, 0),
        ):
            with self.subTest(at, number=number):
                applied = [engine_rules.InForce(at, 'a', number)] * 2
                found = engine_rules.find_late_versions(
                    applied, VERSIONS, BOUND_MS, CONTACT_MS
                )
                self.assertEqual(count, len(found))

    def test_disturbed_hosts_are_excused(self):
        applied = [engine_rules.InForce(20_000, 'a', 1)]
        excuse = engine_rules.Excuse('a', 10_000, 17_000)
        found = engine_rules.find_late_versions(
            applied, VERSIONS, BOUND_MS, CONTACT_MS, [excuse]
        )
        self.assertEqual([], found)


class RetryRuleTest(unittest.TestCase):
    """Budget: 0.5 for each request and 2 further ones in 10 s."""

    def find(self, retry_times, sent_times=(0, 0)):
        requests = {
            f'r{number}': engine_rules.SentRequest(at, 'drafting')
            for number, at in enumerate(sent_times)
        }
        arrivals = [
            engine_rules.Arrival(at, 'a-1', 'a', attempt='r0')
            for at in (0, *retry_times)
        ]
        arrivals.append(engine_rules.Arrival(5, 'a-1', 'a', attempt='other'))
        return engine_rules.find_retry_violations(
            arrivals, requests, 10_000, 0.5, 2.0
        )

    def test_retries_are_counted_in_every_window(self):
        self.assertEqual([], self.find([1, 2, 3]))
        self.assertEqual(1, len(self.find([1, 2, 3, 10_000])))
        self.assertEqual([], self.find([1, 2, 3, 10_001]))

    def test_requests_of_earlier_windows_count(self):
        """Guards against findings right after an outage."""
        self.assertEqual([], self.find([14_000, 14_001, 14_002]))
        self.assertEqual(1, len(self.find([24_000, 24_001, 24_002])))

    def test_probes_are_no_retries(self):
        arrivals = [
            engine_rules.Arrival(at, 'a-1', 'a', 'probe', 'r0')
            for at in range(9)
        ]
        requests = {'r0': engine_rules.SentRequest(0, 'drafting')}
        self.assertEqual(
            [],
            engine_rules.find_retry_violations(
                arrivals, requests, 10_000, 0.0, 0.0
            ),
        )
