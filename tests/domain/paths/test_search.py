"""Tests of paths over layer ranges."""

from __future__ import annotations

import itertools
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from tests.domain.fleet import builders
from thornspool.domain.fleet import marks
from thornspool.domain.paths import bounds
from thornspool.domain.paths import choice
from thornspool.domain.paths import reservations
from thornspool.domain.paths import search

MODEL = builders.build_model()
LAYERS = 6
OFFERS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, LAYERS - 1),
        strategies.integers(1, LAYERS),
        strategies.integers(0, LAYERS),
        strategies.sampled_from('abc'),
        strategies.integers(1, 50),
    ).filter(lambda drawn: drawn[0] < drawn[1]),
    max_size=6,
)


def build_offers(drawn):
    return [
        search.Offer(
            builders.build_engine(f'{domain}-{number}', 'small', first, end),
            float(cost),
            most,
        )
        for number, (first, end, most, domain, cost) in enumerate(drawn)
    ]


def list_paths(offers, at=0):
    """List every path with rising ends, by trying all."""
    if at == LAYERS:
        yield ()
        return
    for offer in offers:
        held = offer.server.layers
        if not held.first <= at < held.end:
            continue
        rest = [
            one
            for one in offers
            if (one.server.layers.end, one.server.id)
            > (held.end, offer.server.id)
        ]
        for cut in range(at + 1, min(held.end, at + offer.max_layers) + 1):
            for path in list_paths(rest, cut):
                yield (search.Hop(offer.server, at, cut), *path)


def compute_cost(hops, costs):
    total = 0.0
    for hop in hops:
        total += search.HOP_COST_MS + hop.count * costs[hop.server.id]
    for before, after in itertools.pairwise(hops):
        if before.server.failure_domain != after.server.failure_domain:
            total += search.CROSSING_COST_MS
    return total


class SearchTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(OFFERS)
    def test_paths_run_each_layer_once_and_name_no_engine_twice(self, drawn):
        path = search.find_path(build_offers(drawn), LAYERS)
        if path is None:
            return
        at = 0
        for hop in path.hops:
            self.assertEqual(at, hop.first)
            self.assertLessEqual(hop.server.layers.first, hop.first)
            self.assertLessEqual(hop.end, hop.server.layers.end)
            at = hop.end
        self.assertEqual(LAYERS, at)
        names = [hop.server.id for hop in path.hops]
        self.assertEqual(len(names), len(set(names)))

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(OFFERS)
    def test_no_cut_makes_a_cheaper_path(self, drawn):
        offers = build_offers(drawn)
        costs = {one.server.id: one.layer_cost_ms for one in offers}
        path = search.find_path(offers, LAYERS)
        every = [compute_cost(one, costs) for one in list_paths(offers)]
        if path is None:
            self.assertEqual([], every)
        else:
            self.assertAlmostEqual(min(every), path.cost_ms)

    def test_path_ends_after_32_engines(self):
        offers = [
            search.Offer(
                builders.build_engine(f'a-{at}', 'small', at, at + 1), 1.0, 1
            )
            for at in range(40)
        ]
        self.assertIsNone(search.find_path(offers, 40))
        self.assertIsNotNone(search.find_path(offers, 32))


FLEETS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from('abc'),
        strategies.sampled_from(sorted(builders.KINDS)),
        strategies.integers(0, 3),
        strategies.integers(1, 4),
        strategies.floats(0.0, 1.2),
    ).filter(lambda drawn: drawn[2] < drawn[3]),
    max_size=10,
)
"""Failure domain, kind, quarters of the model held, share of memory taken."""


class BoundsTest(unittest.TestCase):
    @hypothesis.given(FLEETS, strategies.floats(1, 4_000))
    def test_bounds_change_no_choice(self, drawn, prompt):
        """A failure domain that is not searched can't have a better path."""
        taken = reservations.Reservations()
        engines = []
        for number, (domain, kind, first, end, share) in enumerate(drawn):
            engine = builders.build_engine(
                f'{domain}-{number}', kind, first * 20, end * 20
            )
            engines.append(engine)
            room = MODEL.compute_room(kind, engine.layers.count)
            taken.own[engine.id] = share * room
            taken.running[engine.id] = 1
        plain = choice.Situation(
            MODEL,
            tuple(engines),
            frozenset(),
            taken,
            {engine.id: 2.0 for engine in engines[:2]},
            'a',
            lambda: 0.0,
        )
        bounded = attrs.evolve(
            plain, bounds=bounds.compute_bounds(MODEL, engines)
        )
        need = choice.Need(prompt, 170)
        self.assertEqual(
            choice.choose_path(plain, need), choice.choose_path(bounded, need)
        )

    def test_only_the_own_domain_is_searched_while_none_is_better(self):
        """All domains are alike, and lightly loaded."""
        engines = tuple(
            builders.build_engine(
                f'{domain}-{part}', 'large', part * 20, part * 20 + 20
            )
            for domain in 'abcd'
            for part in range(4)
        )
        drawn = []
        situation = choice.Situation(
            MODEL,
            engines,
            frozenset(),
            reservations.Reservations(),
            {},
            'c',
            lambda: drawn.append(1) or 0.5,
            bounds=bounds.compute_bounds(MODEL, engines),
        )
        found = choice.choose_path(situation, choice.Need(760, 170))
        self.assertEqual('c', found.hops[0].server.failure_domain)
        self.assertEqual(4, len(drawn))


class ChoiceTest(unittest.TestCase):
    def describe(self, engines, taken=None, leaving=(), domain='a'):
        return choice.Situation(
            MODEL,
            tuple(engines),
            frozenset(leaving),
            taken or reservations.Reservations(),
            {},
            domain,
            lambda: 0.0,
        )

    def build_replicas(self):
        return [
            builders.build_engine('a-1', 'large', 0, 27),
            builders.build_engine('a-2', 'large', 27, 54),
            builders.build_engine('a-3', 'large', 54, 80),
            builders.build_engine('b-1', 'large', 0, 27),
            builders.build_engine('b-2', 'large', 27, 54),
            builders.build_engine('b-3', 'large', 54, 80),
        ]

    def test_stays_in_one_domain(self):
        found = choice.choose_path(
            self.describe(self.build_replicas()), choice.Need(760, 170)
        )
        self.assertEqual(
            ['a-1', 'a-2', 'a-3'], [hop.server.id for hop in found.hops]
        )

    def test_goes_to_another_domain_whole_when_its_own_has_a_hole(self):
        """An engine of the entry's own domain is lost."""
        engines = [one for one in self.build_replicas() if one.id != 'a-2']
        found = choice.choose_path(
            self.describe(engines), choice.Need(760, 170)
        )
        self.assertEqual(
            ['b-1', 'b-2', 'b-3'], [hop.server.id for hop in found.hops]
        )

    def test_crosses_only_where_no_domain_is_whole(self):
        engines = [
            one
            for one in self.build_replicas()
            if one.id not in {'a-2', 'b-3'}
        ]
        found = choice.choose_path(
            self.describe(engines), choice.Need(760, 170)
        )
        self.assertEqual(
            ['b-1', 'b-2', 'a-3'], [hop.server.id for hop in found.hops]
        )

    def test_tells_full_engines_from_missing_layers(self):
        """All engines are full, or some layer has no holder."""
        engines = self.build_replicas()[:3]
        taken = reservations.Reservations()
        mark = marks.compute_mark('a-2')
        taken.others = {mark: 1e9}
        need = choice.Need(760, 170)
        self.assertIs(
            choice.Lack.NO_ROOM,
            choice.choose_path(self.describe(engines, taken), need),
        )
        self.assertIs(
            choice.Lack.NOT_COVERED,
            choice.choose_path(self.describe(engines[:2]), need),
        )

    def test_uses_an_engine_that_leaves_only_where_it_must(self):
        engines = self.build_replicas()
        need = choice.Need(760, 170)
        found = choice.choose_path(
            self.describe(engines, leaving={'a-1'}), need
        )
        self.assertNotIn('a-1', [hop.server.id for hop in found.hops])
        found = choice.choose_path(
            self.describe(engines[:3], leaving={'a-1'}), need
        )
        self.assertIn('a-1', [hop.server.id for hop in found.hops])

    def test_never_takes_more_room_than_there_is(self):
        """Requests come faster than they end."""
        engines = self.build_replicas()
        taken = reservations.Reservations()
        need = choice.Need(760, 170)
        situation = self.describe(engines, taken)
        admitted = 0
        while True:
            found = choice.choose_path(situation, need)
            if isinstance(found, choice.Lack):
                break
            taken.take(found.hops, need.tokens)
            admitted += 1
        self.assertIs(choice.Lack.NO_ROOM, found)
        self.assertGreater(admitted, 100)
        for engine in engines:
            room = MODEL.compute_room(engine.kind, engine.layers.count)
            self.assertLessEqual(taken.compute_taken(engine.id), room)


class FillingTest(unittest.TestCase):
    def test_the_fastest_engine_is_not_filled_while_others_are_empty(self):
        """Many entries choose at once, by what they knew a second ago."""
        engines = [
            builders.build_engine('a-1', 'medium', 0, 8),
            builders.build_engine('a-2', 'small', 0, 8),
            builders.build_engine('a-3', 'small', 0, 8),
            builders.build_engine('a-4', 'large', 8, 44),
            builders.build_engine('a-5', 'large', 44, 80),
        ]
        taken = reservations.Reservations()
        need = choice.Need(760, 170)
        room = MODEL.compute_room('medium', 8)
        while taken.compute_taken('a-1') < 0.55 * room:
            taken.take([search.Hop(engines[0], 0, 8)], need.tokens)
        situation = choice.Situation(
            MODEL, tuple(engines), frozenset(), taken, {}, 'a', lambda: 0.5
        )
        entered = []
        for _ in range(12):
            found = choice.choose_path(situation, need)
            taken.take(found.hops, need.tokens)
            entered.append(found.hops[0].server.id)
        self.assertLess(entered.count('a-1'), 6)
        share = taken.compute_taken('a-1') / room
        self.assertLess(share, 0.75)

    def test_an_engine_that_is_half_empty_costs_what_its_speed_costs(self):
        self.assertEqual(1.0, search.weigh_filling(0.0))
        self.assertLess(search.weigh_filling(0.4), 1.5)
        self.assertGreater(search.weigh_filling(0.8), 10 * 1.9)


class ReservationsTest(unittest.TestCase):
    def test_frees_what_was_taken(self):
        taken = reservations.Reservations()
        hop = search.Hop(builders.build_engine('a-1', 'small', 0, 8), 0, 8)
        taken.take([hop], 100.0)
        taken.take([hop], 50.0)
        taken.free([hop], 100.0)
        self.assertEqual(400.0, taken.compute_taken('a-1'))
        taken.free([hop], 50.0)
        self.assertEqual({}, taken.own)

    def test_counts_what_others_have_taken(self):
        taken = reservations.Reservations()
        mark = marks.compute_mark('a-1')
        taken.others = {mark: 13.0}
        self.assertEqual(13.0, taken.compute_taken('a-1'))
        taken.others = {}
        self.assertEqual(0.0, taken.compute_taken('a-1'))
