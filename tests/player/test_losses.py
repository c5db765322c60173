"""What callers get while engines are lost."""

from __future__ import annotations

import unittest

from structlog import testing

from tests.player import callers
from tests.player import mixes

SECONDS = 6
MIXES = {'short': mixes.SHORT, 'long': mixes.LONG, 'wide': mixes.WIDE}


def play(mix, trouble=lambda world: None, seconds=SECONDS):
    with testing.capture_logs():
        return callers.play(mix, 1, seconds, trouble)


class LossTest(unittest.TestCase):
    def test_a_load_without_trouble_is_on_time(self):
        for name, mix in MIXES.items():
            with self.subTest(name):
                tally = play(mix)
                self.assertGreaterEqual(tally.share('on_time'), 0.98)
                self.assertEqual(0, tally.refused_runs)

    def test_nobody_is_refused_or_cut_where_engines_are_lost(self):
        """Guards against repeats that end while others have room."""
        for name, mix in MIXES.items():
            for how in ('crashed', 'dark'):
                with self.subTest(name, how=how):
                    tally = play(mix, mixes.lose_engines(2_500, 2, how))
                    self.assertEqual(0.0, tally.share('refused', 'cut'))

    def test_times_of_another_size_give_the_same(self):
        """Guards against decisions that hang on the times of one load."""
        for factor in (0.5, 2.0):
            with self.subTest(factor):
                mix = mixes.scale_times(mixes.WIDE, factor)
                tally = play(mix, mixes.lose_engines(2_500, 2))
                self.assertGreaterEqual(tally.share('on_time'), 0.85)
