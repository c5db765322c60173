"""Tests of what engines keep while they give up layers."""

from __future__ import annotations

import unittest

from tests.domain.fleet import builders
from thornspool.domain.fleet import marks
from thornspool.domain.fleet import messages
from thornspool.domain.fleet import moves as moves_module

SERVER = builders.build_engine('a-1', 'small', 10, 20)
MARK = marks.compute_mark('a-1')


class MovesTest(unittest.TestCase):
    def setUp(self):
        self.moves = moves_module.Moves()

    def test_an_engine_without_an_order_keeps_all(self):
        self.assertIs(SERVER, self.moves.narrow(SERVER))

    def test_requests_get_only_what_is_kept(self):
        cases = (
            (messages.LayerRange(12, 20), (12, 20)),
            (messages.LayerRange(10, 15), (10, 15)),
            (None, None),
        )
        for kept, expected in cases:
            with self.subTest(kept):
                self.moves = moves_module.Moves()
                self.assertTrue(self.moves.begin(SERVER, kept))
                layers = self.moves.narrow(SERVER).layers
                found = layers and (layers.first, layers.end)
                self.assertEqual(expected, found)

    def test_an_engine_that_gives_up_nothing_is_not_told(self):
        self.assertFalse(self.moves.begin(SERVER, SERVER.layers))
        self.assertEqual({}, self.moves.list_known(own_only=True))

    def test_what_peers_tell_counts_for_a_while(self):
        """Guards against a layer that stays unused as its leader died."""
        self.moves.note_told({MARK: (15, 20)}, 0)
        self.assertEqual(15, self.moves.narrow(SERVER).layers.first)
        self.assertEqual({}, self.moves.list_known(own_only=True))
        self.assertIn(MARK, self.moves.list_known(own_only=False))
        self.moves.forget_old(moves_module.TOLD_MS + 1)
        self.assertIs(SERVER, self.moves.narrow(SERVER))

    def test_an_order_that_is_done_is_forgotten(self):
        self.moves.begin(SERVER, messages.LayerRange(15, 20))
        self.moves.end('a-1')
        self.assertIs(SERVER, self.moves.narrow(SERVER))
