"""Tests of requests to an entry whose local copy is outdated."""

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
