"""Tests of the decision whether the configuration allows a request."""

from __future__ import annotations

import unittest

from tests.application.routing import builders
from thornspool.domain.freshness import age_limits
from thornspool.domain.routing import decisions

ALLOWED = decisions.Verdict.ALLOWED
DENIED = decisions.Verdict.DENIED
UNKNOWN = decisions.Verdict.UNKNOWN


class DecisionTest(unittest.TestCase):
    def test_verdict_follows_from_the_age_of_the_copy(self):
        """Guards against denials on a copy that may lack a version."""
        limits = age_limits.AgeLimits(key_ms=4_000, denial_ms=2_000)
        anonymous, keyed = ('/open/x', None), ('/brief/x', 'key-1')
        no_route, no_key = ('/none/x', 'key-1'), ('/brief/x', None)
        table = (
            (2_000, 1, (ALLOWED, ALLOWED, DENIED, DENIED)),
            (2_001, 1, (ALLOWED, ALLOWED, UNKNOWN, UNKNOWN)),
            (4_001, 1, (ALLOWED, UNKNOWN, UNKNOWN, UNKNOWN)),
            (None, 1, (ALLOWED, UNKNOWN, UNKNOWN, UNKNOWN)),
            (0, 2, (ALLOWED, ALLOWED, UNKNOWN, UNKNOWN)),
        )
        for age_ms, newest_version, verdicts in table:
            copy = decisions.Copy(
                builders.build_configuration(), age_ms, newest_version
            )
            with self.subTest(age_ms, newest_version=newest_version):
                self.assertEqual(
                    verdicts,
                    tuple(
                        decisions.decide(
                            copy, limits, builders.HOST, path, key
                        ).verdict
                        for path, key in (anonymous, keyed, no_route, no_key)
                    ),
                )

    def test_nothing_is_known_without_a_configuration(self):
        decision = decisions.decide(
            decisions.Copy(None, 0),
            age_limits.AgeLimits(4_000, 2_000),
            builders.HOST,
            '/open/x',
            None,
        )
        self.assertIs(UNKNOWN, decision.verdict)
