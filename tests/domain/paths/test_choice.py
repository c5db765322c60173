"""Tests of the choice of a path among failure domains."""

from __future__ import annotations

import collections
import random
import unittest

from tests.domain.fleet import builders
from thornspool.domain.paths import choice
from thornspool.domain.paths import reservations
from thornspool.domain.paths import search

MODEL = builders.build_model()
NEED = choice.RequestSize(760.0, 160.0)
RANGES = ((0, 27), (27, 54), (54, 80))


def build_situation(reserved, domain='a', kinds=('large', 'large')):
    """Build two remote domains; the local one has no engines."""
    engines = [
        builders.build_engine(f'{name}-{number}', kind, first, end)
        for name, kind in zip('bc', kinds, strict=True)
        for number, (first, end) in enumerate(RANGES)
    ]
    return choice.FleetSnapshot(
        MODEL,
        tuple(engines),
        frozenset(),
        reserved,
        {},
        domain,
        random.Random(1).random,
    )


class PrefillBurstTest(unittest.TestCase):
    """A failure domain is lost; the others prefill all its streams at once."""

    def count_by_domain(self, count, **changes):
        """Choose paths for a burst; return the streams of each domain."""
        reserved = reservations.Reservations()
        counts = collections.Counter()
        for _ in range(count):
            path = choice.choose_path(
                build_situation(reserved, **changes), NEED
            )
            # No memory is reserved: that would spread the streams too, but
            # later than the prefill backlog.
            reserved.begin_prefill(path.hops, NEED.prompt_tokens)
            counts[path.hops[0].server.failure_domain] += 1
        return counts

    def test_a_burst_is_spread_over_the_domains(self):
        """Guards against a burst that one domain has to prefill alone."""
        counts = self.count_by_domain(20)
        self.assertGreaterEqual(min(counts['b'], counts['c']), 7)

    def test_a_faster_domain_gets_more_streams(self):
        counts = self.count_by_domain(20, kinds=('large', 'medium'))
        self.assertGreater(counts['b'], counts['c'])

    def test_prefilled_prompts_leave_the_backlog(self):
        reserved = reservations.Reservations()
        path = choice.choose_path(build_situation(reserved), NEED)
        reserved.begin_prefill(path.hops, 760.0)
        reserved.end_prefill(path.hops, 760.0)
        self.assertEqual({}, reserved.prefill_backlog)


class RepairTest(unittest.TestCase):
    """Engines of a path are lost while its stream is in progress."""

    def setUp(self):
        self.engines = [
            builders.build_engine(f'{domain}-{number}', 'large', first, end)
            for domain in 'ab'
            for number, (first, end) in enumerate(RANGES)
        ]

    def repair(self, lost, *others, seed=1):
        """Repair the path in domain a; return the hops of the new path."""
        reserved = reservations.Reservations()
        fleet_snapshot = choice.FleetSnapshot(
            MODEL,
            tuple(
                one for one in (*self.engines, *others) if one.id not in lost
            ),
            frozenset(),
            reserved,
            {},
            'a',
            random.Random(seed).random,
        )
        hops = [
            search.Hop(one, one.layers.first, one.layers.end)
            for one in self.engines[:3]
        ]
        found = choice.choose_repair(fleet_snapshot, NEED, hops, lost)
        return found and [(hop.server.id, hop.first, hop.end) for hop in found]

    def test_remaining_engines_retain_their_layers(self):
        other = builders.build_engine('a-9', 'large', 24, 58)
        self.assertEqual(
            [('a-0', 0, 27), ('a-9', 27, 54), ('a-2', 54, 80)],
            self.repair({'a-1'}, other),
        )

    def test_two_engines_may_replace_one(self):
        others = (
            builders.build_engine('a-8', 'medium', 25, 40),
            builders.build_engine('a-9', 'medium', 40, 54),
        )
        self.assertEqual(
            [('a-0', 0, 27), ('a-8', 27, 40), ('a-9', 40, 54)],
            self.repair({'a-1'}, *others)[:3],
        )

    def test_an_engine_is_not_replaced_from_another_domain(self):
        """Guards against prompts that cross the link between domains."""
        self.assertIsNone(self.repair({'a-1'}))

    def test_adjacent_lost_engines_are_replaced_together(self):
        others = (
            builders.build_engine('a-8', 'large', 27, 54),
            builders.build_engine('a-9', 'large', 54, 80),
        )
        self.assertEqual(
            [('a-0', 0, 27), ('a-8', 27, 54), ('a-9', 54, 80)],
            self.repair({'a-1', 'a-2'}, *others),
        )

    def test_streams_of_a_lost_engine_are_spread_over_its_replacements(self):
        """Guards against one replacement that has to prefill all streams."""
        others = [
            builders.build_engine(f'a-{number}', 'large', 27, 54)
            for number in (7, 8, 9)
        ]
        chosen = collections.Counter(
            self.repair({'a-1'}, *others, seed=seed)[1][0]
            for seed in range(90)
        )
        self.assertEqual({'a-7', 'a-8', 'a-9'}, set(chosen))
        self.assertGreaterEqual(min(chosen.values()), 15)

    def test_a_faster_replacement_gets_more_streams(self):
        others = (
            builders.build_engine('a-8', 'large', 27, 46),
            builders.build_engine('a-9', 'medium', 27, 46),
            builders.build_engine('a-7', 'large', 46, 54),
        )
        chosen = collections.Counter(
            self.repair({'a-1'}, *others, seed=seed)[1][0]
            for seed in range(90)
        )
        self.assertGreater(chosen['a-8'], chosen['a-9'])
        self.assertGreater(chosen['a-9'], 0)
