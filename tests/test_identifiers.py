"""Tests of time-ordered identifiers."""

from __future__ import annotations

import unittest
import uuid

from thornspool import identifiers


class IdentifiersTest(unittest.TestCase):
    def test_reads_time_of_created_uuid7(self) -> None:
        created = identifiers.make_uuid7(1_790_000_000_123, (1 << 74) - 1)
        self.assertEqual(7, created.version)
        self.assertEqual(uuid.RFC_4122, created.variant)
        self.assertEqual(
            1_790_000_000_123, identifiers.read_uuid7_time(created)
        )

    def test_returns_no_time_for_other_versions(self) -> None:
        self.assertIsNone(identifiers.read_uuid7_time(uuid.UUID(int=4)))
