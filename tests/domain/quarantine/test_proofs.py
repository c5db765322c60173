"""Tests of the proofs that parts of prompts run well."""

from __future__ import annotations

import unittest

from thornspool.domain.quarantine import proofs


class ProvenPartsTest(unittest.TestCase):
    def test_least_recently_proven_parts_are_dropped(self):
        """Guards against memory that grows with the parts of callers."""
        proven = proofs.ProvenParts(capacity=2)
        for part in ('a', 'b', 'a', 'c'):
            proven.record(part)
        self.assertEqual(
            (True, False, True, 2),
            ('a' in proven, 'b' in proven, 'c' in proven, len(proven)),
        )
