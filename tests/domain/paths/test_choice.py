"""Tests of the choice among failure domains."""

from __future__ import annotations

import collections
import random
import unittest

from tests.domain.fleet import builders
from thornspool.domain.paths import choice
from thornspool.domain.paths import reservations

MODEL = builders.build_model()
NEED = choice.Need(760.0, 160.0)
RANGES = ((0, 27), (27, 54), (54, 80))


def build_situation(taken, domain='a', kinds=('large', 'large')):
    """Build two domains beside the entry's own one, which is lost."""
    engines = [
        builders.build_engine(f'{name}-{number}', kind, first, end)
        for name, kind in zip('bc', kinds, strict=True)
        for number, (first, end) in enumerate(RANGES)
    ]
    return choice.Situation(
        MODEL,
        tuple(engines),
        frozenset(),
        taken,
        {},
        domain,
        random.Random(1).random,
    )


class ReadingWaveTest(unittest.TestCase):
    """A failure domain is lost, and all its streams are read again."""

    def place(self, count, **changes):
        """Send streams at once; returns how many each domain reads."""
        taken = reservations.Reservations()
        placed = collections.Counter()
        for _ in range(count):
            path = choice.choose_path(build_situation(taken, **changes), NEED)
            # Memory is left out: it would spread them as well, only later.
            taken.begin_reading(path.hops, NEED.prompt_tokens)
            placed[path.hops[0].server.failure_domain] += 1
        return placed

    def test_the_wave_is_spread_over_the_domains(self):
        """Guards against one domain that reads all prompts."""
        placed = self.place(20)
        self.assertGreaterEqual(min(placed['b'], placed['c']), 7)

    def test_a_faster_domain_reads_more(self):
        placed = self.place(20, kinds=('large', 'medium'))
        self.assertGreater(placed['b'], placed['c'])

    def test_what_was_read_does_not_count(self):
        taken = reservations.Reservations()
        path = choice.choose_path(build_situation(taken), NEED)
        taken.begin_reading(path.hops, 760.0)
        taken.end_reading(path.hops, 760.0)
        self.assertEqual({}, taken.reading)
