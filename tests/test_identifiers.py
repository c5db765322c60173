"""Tests of identifiers that carry their time."""

from __future__ import annotations

import unittest
import uuid

from thornspool import identifiers


class IdentifiersTest(unittest.TestCase):
    def test_uuid7_gives_its_time_back(self) -> None:
        made = identifiers.make_uuid7(1_790_000_000_123, (1 << 74) - 1)
        self.assertEqual(7, made.version)
        self.assertEqual(uuid.RFC_4122, made.variant)
        self.assertEqual(1_790_000_000_123, identifiers.read_uuid7_time(made))

    def test_other_versions_carry_no_time(self) -> None:
        self.assertIsNone(identifiers.read_uuid7_time(uuid.UUID(int=4)))
