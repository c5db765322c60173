"""Tests of requests that are refused before they are routed."""

from __future__ import annotations

import unittest

from tests.application.routing import builders
from thornspool.application.routing import intake
from thornspool.application.routing import streams


class OutdatedTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.world.clock.advance(5_000)

    def test_a_caller_returns_at_once_where_others_are_current(self):
        """Guards against drafts that are late by the wait alone."""
        self.world.others_serve = True
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertEqual(streams.DRAINING_RETRY_MS, reply.retry_after_ms)

    def test_a_caller_returns_later_while_the_store_is_away_from_all(self):
        """Guards against callers who use up their tries in an outage."""
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertEqual(intake.NOT_READY_RETRY_MS, reply.retry_after_ms)

    def test_routes_that_need_no_key_are_served(self):
        reply = self.world.serve('/open/x')
        self.assertIsNone(reply.status)
