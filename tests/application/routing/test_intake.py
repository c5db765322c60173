"""Tests of what an entry decides on its local copy of the configuration."""

from __future__ import annotations

import unittest

from tests.application.routing import builders
from thornspool.application.routing import intake
from thornspool.application.routing import streams


class OutdatedEntryTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.world.clock.advance(5_000)

    def test_retry_after_is_short_when_another_entry_is_current(self):
        """Guards against requests that miss their target by the wait alone."""
        self.world.others_serve = True
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertEqual(streams.DRAINING_RETRY_MS, reply.retry_after_ms)

    def test_retry_after_is_long_while_no_entry_reaches_the_store(self):
        """Guards against callers that use up their attempts in an outage."""
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertEqual(intake.NOT_READY_RETRY_MS, reply.retry_after_ms)

    def test_routes_without_keys_are_served(self):
        reply = self.world.serve('/open/x')
        self.assertIsNone(reply.status)


class DenialTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()

    def test_only_a_current_copy_shows_that_a_route_does_not_exist(self):
        """Guards against 404 for routes that the copy does not show yet."""
        self.assertEqual(404, self.world.serve('/none/x').status)
        for age_ms in (1_900, 4_300, 60_000):
            with self.subTest(age_ms):
                world = builders.World()
                world.clock.advance(age_ms)
                reply = world.serve('/none/x')
                self.assertEqual(503, reply.status)
                self.assertIsNotNone(reply.retry_after_ms)

    def test_copy_that_lags_behind_a_peer_shows_no_absence(self):
        """Guards against 404 for routes that another entry serves."""
        confirmed = []
        self.world.intake.confirm_copy = lambda: confirmed.append(True)
        self.world.intake.find_newest_version = lambda: 2
        self.assertEqual(503, self.world.serve('/none/x').status)
        self.assertEqual(503, self.world.serve(key='key-2').status)
        self.assertEqual(2, len(confirmed))
        self.assertIsNone(self.world.serve(number=2).status)

    def test_only_a_current_copy_shows_that_a_key_does_not_exist(self):
        """Guards against 401 for keys that the copy does not show yet."""
        self.assertEqual(401, self.world.serve(key='key-2').status)
        self.assertEqual(401, self.world.serve(key=None).status)
        self.world.clock.advance(1_900)
        self.assertEqual(503, self.world.serve(key='key-2').status)
        self.assertIsNone(self.world.serve(number=2).status)
