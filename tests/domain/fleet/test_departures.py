"""Tests of servers that state in their responses that they leave."""

from __future__ import annotations

import unittest

import attrs

from tests.domain.fleet import builders
from thornspool.domain.fleet import departures as departures_module

SERVER = builders.build_server('a-1')
RESTARTED = attrs.evolve(SERVER, started_at=99)


class DeparturesTest(unittest.TestCase):
    def setUp(self):
        self.departures = departures_module.Departures()

    def test_server_leaves_until_its_process_restarts(self):
        self.assertIsNone(self.departures.get_since(SERVER))
        self.assertTrue(self.departures.record(SERVER, 10))
        self.assertFalse(self.departures.record(SERVER, 20))
        self.assertEqual(10, self.departures.get_since(SERVER))
        self.assertIsNone(self.departures.get_since(RESTARTED))

    def test_reported_departure_is_passed_on(self):
        other = departures_module.Departures()
        self.departures.record(SERVER, 10)
        self.assertTrue(self.departures.has_unsent)
        announced = self.departures.list_announced()
        self.assertEqual(set(announced), other.record_reported(announced, 20))
        self.assertEqual(set(), other.record_reported(announced, 30))
        self.assertEqual(20, other.get_since(SERVER))
        self.assertEqual(announced, other.list_announced())

    def test_only_a_later_start_ends_a_departure(self):
        """Guards against records that come late or lack the start."""
        unknown = attrs.evolve(SERVER, started_at=None)
        earlier = attrs.evolve(SERVER, started_at=SERVER.started_at - 1)
        for first in (SERVER, unknown):
            with self.subTest(first.started_at):
                departures = departures_module.Departures()
                departures.record(first, 10)
                for record in (unknown, SERVER, earlier, unknown):
                    self.assertEqual(10, departures.get_since(record))
                    self.assertFalse(departures.record(record, 20))
                self.assertIsNone(departures.get_since(RESTARTED))
                self.assertEqual(10, departures.get_since(unknown))

    def test_reported_departure_holds_for_records_without_a_start(self):
        """Guards against entries that know only the reported hash."""
        other = departures_module.Departures()
        self.departures.record(SERVER, 10)
        other.record_reported(self.departures.list_announced(), 20)
        self.assertEqual(20, other.get_since(SERVER))
        unknown = attrs.evolve(SERVER, started_at=None)
        self.assertEqual(20, other.get_since(unknown))

    def test_departure_outlasts_the_record_of_its_server(self):
        """Guards against use of a leaving server whose record returns."""
        self.departures.record(SERVER, 0)
        self.departures.forget_old([SERVER], 1_000_000)
        self.departures.forget_old([], 1_500_000)
        self.assertEqual(0, self.departures.get_since(SERVER))
        self.departures.forget_old([], 1_600_001)
        self.assertIsNone(self.departures.get_since(SERVER))
