"""Tests of what entries assume of each other's requests."""

from __future__ import annotations

import unittest

from tests import builders as common
from thornspool.application.routing import repeats

SERVICE = 'drafting'


class CrowdTest(unittest.TestCase):
    def setUp(self):
        self.clock = common.FakeClock(10_000)
        self.budget = repeats.Repeats(
            self.clock, 0.2, 300.0, 10_000, lambda: 78
        )

    def test_an_entry_that_has_just_started_expects_all_others_to_send(self):
        """Guards against a first choice that all entries make alike."""
        self.assertEqual(77.0, self.budget.estimate_crowd(SERVICE, 500))
        for _ in range(3):
            self.budget.record_request(SERVICE)
        self.assertEqual(231.0, self.budget.estimate_crowd(SERVICE, 500))

    def test_the_crowd_follows_the_rate_that_others_tell(self):
        self.budget.record_request(SERVICE)
        other = repeats.Repeats(self.clock, 0.2, 300.0, 10_000, lambda: 78)
        for _ in range(999):
            other.record_request(SERVICE)
        self.budget.take_others(other.list_marked())
        self.assertEqual(50.0, self.budget.estimate_crowd(SERVICE, 500))
