"""Tests of the proof of freshness."""

from __future__ import annotations

import unittest

from thornspool.domain.freshness import proofs


class ProofTest(unittest.TestCase):
    def test_nothing_is_proved_at_first(self):
        self.assertFalse(proofs.Proof().is_within(1e9, 5))

    def test_an_older_proof_does_not_replace_a_newer_one(self):
        proof = proofs.Proof()
        proof.renew(100)
        proof.renew(50)
        self.assertEqual(20, proof.compute_age(120))

    def test_ends_with_its_bound(self):
        proof = proofs.Proof()
        proof.renew(100)
        self.assertTrue(proof.is_within(50, 150))
        self.assertFalse(proof.is_within(50, 151))
