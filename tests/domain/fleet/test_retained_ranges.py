"""Tests of the layers that engines retain while they release others."""

from __future__ import annotations

import unittest

from tests.domain.fleet import builders
from thornspool.domain.fleet import messages
from thornspool.domain.fleet import retained_ranges as retained_ranges_module
from thornspool.domain.fleet import server_hashes

SERVER = builders.build_engine('a-1', 'small', 10, 20)
SERVER_HASH = server_hashes.compute_server_hash('a-1')


class RetainedRangesTest(unittest.TestCase):
    def setUp(self):
        self.retained_ranges = retained_ranges_module.RetainedRanges()

    def test_an_engine_without_an_order_retains_all_layers(self):
        self.assertIs(SERVER, self.retained_ranges.narrow(SERVER))

    def test_an_engine_accepts_requests_for_its_retained_layers(self):
        cases = (
            (messages.LayerRange(12, 20), (12, 20)),
            (messages.LayerRange(10, 15), (10, 15)),
            (None, None),
        )
        for retained, expected in cases:
            with self.subTest(retained):
                self.retained_ranges = retained_ranges_module.RetainedRanges()
                self.assertTrue(self.retained_ranges.begin(SERVER, retained))
                layers = self.retained_ranges.narrow(SERVER).layers
                found = layers and (layers.first, layers.end)
                self.assertEqual(expected, found)

    def test_an_engine_that_releases_no_layers_is_not_announced(self):
        self.assertFalse(self.retained_ranges.begin(SERVER, SERVER.layers))
        self.assertEqual({}, self.retained_ranges.list_known(local_only=True))

    def test_a_reported_range_expires(self):
        """Guards against layers that stay unused after the leader has died."""
        self.retained_ranges.record_reported({SERVER_HASH: (15, 20)}, 0)
        self.assertEqual(15, self.retained_ranges.narrow(SERVER).layers.first)
        self.assertEqual({}, self.retained_ranges.list_known(local_only=True))
        self.assertIn(
            SERVER_HASH, self.retained_ranges.list_known(local_only=False)
        )
        self.retained_ranges.forget_old(
            retained_ranges_module.REPORT_VALID_MS + 1
        )
        self.assertIs(SERVER, self.retained_ranges.narrow(SERVER))

    def test_a_completed_order_is_removed(self):
        self.retained_ranges.begin(SERVER, messages.LayerRange(15, 20))
        self.retained_ranges.end('a-1')
        self.assertIs(SERVER, self.retained_ranges.narrow(SERVER))
