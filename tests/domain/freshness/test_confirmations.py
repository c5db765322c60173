"""Tests of the freshness of the local copy of the store."""

from __future__ import annotations

import unittest

from thornspool.domain.freshness import confirmations


class FreshnessTest(unittest.TestCase):
    def test_an_unconfirmed_copy_is_not_current(self):
        self.assertFalse(confirmations.Freshness().is_within(1e9, 5))

    def test_an_older_confirmation_does_not_replace_a_newer_one(self):
        freshness = confirmations.Freshness()
        freshness.confirm(100)
        freshness.confirm(50)
        self.assertEqual(20, freshness.compute_age(120))

    def test_a_copy_is_current_up_to_the_bound(self):
        freshness = confirmations.Freshness()
        freshness.confirm(100)
        self.assertTrue(freshness.is_within(50, 150))
        self.assertFalse(freshness.is_within(50, 151))
