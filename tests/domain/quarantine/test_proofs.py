"""Tests of the proofs that parts of prompts run well."""

from __future__ import annotations

import unittest

from thornspool.domain.quarantine import proofs

TARGETS = [f't{number}' for number in range(proofs.MAX_ENDED)]


def explain_nothing(target):
    return False


class ProvenPartsTest(unittest.TestCase):
    def setUp(self):
        self.proven = proofs.ProvenParts()
        self.proven.record('part')

    def record_ends(self, targets, is_explained=explain_nothing):
        for target in targets:
            self.proven.record_end('part', target, is_explained)

    def test_proof_is_dropped_after_several_ends(self):
        """Guards against a part that begins to crash servers later."""
        self.record_ends(TARGETS[:-1] * 2)
        self.assertIn('part', self.proven)
        self.record_ends(TARGETS[-1:])
        self.assertNotIn('part', self.proven)

    def test_new_proof_begins_a_new_count(self):
        """Guards against a shared part that is blamed for many ends."""
        self.record_ends(TARGETS[:-1])
        self.proven.record('part')
        self.record_ends(TARGETS[-1:])
        self.assertIn('part', self.proven)

    def test_ends_that_a_suspect_explains_do_not_count(self):
        """Guards against a shared part that is blamed beside another one."""
        self.record_ends(TARGETS * 2, lambda target: target != TARGETS[0])
        self.assertIn('part', self.proven)
        self.record_ends([f'{target} again' for target in TARGETS])
        self.assertNotIn('part', self.proven)

    def test_least_recently_proven_parts_are_dropped(self):
        """Guards against memory that grows with the parts of callers."""
        proven = proofs.ProvenParts(capacity=2)
        for part in ('a', 'b', 'a', 'c'):
            proven.record(part)
        self.assertEqual(
            (True, False, True, 2),
            ('a' in proven, 'b' in proven, 'c' in proven, len(proven)),
        )
