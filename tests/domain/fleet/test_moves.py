"""Tests of the layers that engines retain while they release others."""

from __future__ import annotations

import unittest

from tests.domain.fleet import builders
from thornspool.domain.fleet import marks
from thornspool.domain.fleet import messages
from thornspool.domain.fleet import moves as moves_module

SERVER = builders.build_engine('a-1', 'small', 10, 20)
SERVER_HASH = marks.compute_mark('a-1')


class MovesTest(unittest.TestCase):
    def setUp(self):
        self.moves = moves_module.Moves()

    def test_an_engine_without_an_order_retains_all_layers(self):
        self.assertIs(SERVER, self.moves.narrow(SERVER))

    def test_an_engine_accepts_requests_for_its_retained_layers(self):
        cases = (
            (messages.LayerRange(12, 20), (12, 20)),
            (messages.LayerRange(10, 15), (10, 15)),
            (None, None),
        )
        for retained, expected in cases:
            with self.subTest(retained):
                self.moves = moves_module.Moves()
                self.assertTrue(self.moves.begin(SERVER, retained))
                layers = self.moves.narrow(SERVER).layers
                found = layers and (layers.first, layers.end)
                self.assertEqual(expected, found)

    def test_an_engine_that_releases_no_layers_is_not_announced(self):
        self.assertFalse(self.moves.begin(SERVER, SERVER.layers))
        self.assertEqual({}, self.moves.list_known(local_only=True))

    def test_a_reported_range_expires(self):
        """Guards against layers that stay unused after the leader has died."""
        self.moves.note_told({SERVER_HASH: (15, 20)}, 0)
        self.assertEqual(15, self.moves.narrow(SERVER).layers.first)
        self.assertEqual({}, self.moves.list_known(local_only=True))
        self.assertIn(SERVER_HASH, self.moves.list_known(local_only=False))
        self.moves.forget_old(moves_module.REPORT_VALID_MS + 1)
        self.assertIs(SERVER, self.moves.narrow(SERVER))

    def test_a_completed_order_is_removed(self):
        self.moves.begin(SERVER, messages.LayerRange(15, 20))
        self.moves.end('a-1')
        self.assertIs(SERVER, self.moves.narrow(SERVER))
