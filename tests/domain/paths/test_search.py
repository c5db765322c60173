"""Tests of the search for paths over layer ranges."""

from __future__ import annotations

import itertools
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from tests.domain.fleet import builders
from thornspool.domain.fleet import server_hashes
from thornspool.domain.paths import bounds
from thornspool.domain.paths import choice
from thornspool.domain.paths import reservations
from thornspool.domain.paths import search

MODEL = builders.build_model()
LAYERS = 6
CANDIDATES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, LAYERS - 1),
        strategies.integers(1, LAYERS),
        strategies.integers(0, LAYERS),
        strategies.sampled_from('abc'),
        strategies.integers(1, 50),
    ).filter(lambda drawn: drawn[0] < drawn[1]),
    max_size=6,
)


def build_candidates(drawn):
    return [
        search.Candidate(
            builders.build_engine(f'{domain}-{number}', 'small', first, end),
            float(cost),
            most,
        )
        for number, (first, end, most, domain, cost) in enumerate(drawn)
    ]


def list_paths(candidates, start=0):
    """Yield every path whose ranges have ascending ends, by enumeration."""
    if start == LAYERS:
        yield ()
        return
    for candidate in candidates:
        held = candidate.server.layers
        if not held.first <= start < held.end:
            continue
        later = [
            one
            for one in candidates
            if (one.server.layers.end, one.server.id)
            > (held.end, candidate.server.id)
        ]
        for end in range(
            start + 1, min(held.end, start + candidate.max_layers) + 1
        ):
            for path in list_paths(later, end):
                yield (search.Hop(candidate.server, start, end), *path)


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
    @hypothesis.given(CANDIDATES)
    def test_paths_run_each_layer_once_and_use_no_engine_twice(self, drawn):
        path = search.find_path(build_candidates(drawn), LAYERS)
        if path is None:
            return
        end = 0
        for hop in path.hops:
            self.assertEqual(end, hop.first)
            self.assertLessEqual(hop.server.layers.first, hop.first)
            self.assertLessEqual(hop.end, hop.server.layers.end)
            end = hop.end
        self.assertEqual(LAYERS, end)
        names = [hop.server.id for hop in path.hops]
        self.assertEqual(len(names), len(set(names)))

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(CANDIDATES)
    def test_the_path_is_the_cheapest_of_all(self, drawn):
        candidates = build_candidates(drawn)
        costs = {one.server.id: one.layer_cost_ms for one in candidates}
        path = search.find_path(candidates, LAYERS)
        all_costs = [
            compute_cost(one, costs) for one in list_paths(candidates)
        ]
        if path is None:
            self.assertEqual([], all_costs)
        else:
            self.assertAlmostEqual(min(all_costs), path.cost_ms)

    def test_a_path_has_at_most_32_engines(self):
        candidates = [
            search.Candidate(
                builders.build_engine(f'a-{layer}', 'small', layer, layer + 1),
                1.0,
                1,
            )
            for layer in range(40)
        ]
        self.assertIsNone(search.find_path(candidates, 40))
        self.assertIsNotNone(search.find_path(candidates, 32))


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
"""Drawn engines.

Failure domain, kind, range of layers in quarters of the model, and reserved
share of the memory.
"""


class BoundsTest(unittest.TestCase):
    @hypothesis.given(FLEETS, strategies.floats(1, 4_000))
    def test_bounds_do_not_change_the_chosen_path(self, drawn, prompt):
        """Guards against skipped failure domains that have a cheaper path."""
        reserved = reservations.Reservations()
        engines = []
        for number, (domain, kind, first, end, share) in enumerate(drawn):
            engine = builders.build_engine(
                f'{domain}-{number}', kind, first * 20, end * 20
            )
            engines.append(engine)
            capacity = MODEL.compute_free_capacity(kind, engine.layers.count)
            reserved.local[engine.id] = share * capacity
            reserved.request_counts[engine.id] = 1
        unbounded = choice.FleetSnapshot(
            MODEL,
            tuple(engines),
            frozenset(),
            reserved,
            {engine.id: 2.0 for engine in engines[:2]},
            'a',
            lambda: 0.0,
        )
        bounded = attrs.evolve(
            unbounded, bounds=bounds.compute_bounds(MODEL, engines)
        )
        request_size = choice.RequestSize(prompt, 170)
        self.assertEqual(
            choice.choose_path(unbounded, request_size),
            choice.choose_path(bounded, request_size),
        )

    def test_only_the_local_domain_is_searched_while_none_is_cheaper(self):
        """All domains have the same engines and no load."""
        engines = tuple(
            builders.build_engine(
                f'{domain}-{part}', 'large', part * 20, part * 20 + 20
            )
            for domain in 'abcd'
            for part in range(4)
        )
        draws = []
        fleet_snapshot = choice.FleetSnapshot(
            MODEL,
            engines,
            frozenset(),
            reservations.Reservations(),
            {},
            'c',
            lambda: draws.append(1) or 0.5,
            bounds=bounds.compute_bounds(MODEL, engines),
        )
        found = choice.choose_path(
            fleet_snapshot, choice.RequestSize(760, 170)
        )
        self.assertEqual('c', found.hops[0].server.failure_domain)
        self.assertEqual(4, len(draws))


class ChoiceTest(unittest.TestCase):
    def build_situation(self, engines, reserved=None, draining=(), domain='a'):
        return choice.FleetSnapshot(
            MODEL,
            tuple(engines),
            frozenset(draining),
            reserved or reservations.Reservations(),
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

    def test_prefers_a_path_within_the_local_domain(self):
        found = choice.choose_path(
            self.build_situation(self.build_replicas()),
            choice.RequestSize(760, 170),
        )
        self.assertEqual(
            ['a-1', 'a-2', 'a-3'], [hop.server.id for hop in found.hops]
        )

    def test_uses_one_remote_domain_if_the_local_one_has_a_coverage_gap(self):
        """An engine of the local domain is lost."""
        engines = [one for one in self.build_replicas() if one.id != 'a-2']
        found = choice.choose_path(
            self.build_situation(engines), choice.RequestSize(760, 170)
        )
        self.assertEqual(
            ['b-1', 'b-2', 'b-3'], [hop.server.id for hop in found.hops]
        )

    def test_crosses_domains_only_if_none_has_a_complete_path(self):
        engines = [
            one
            for one in self.build_replicas()
            if one.id not in {'a-2', 'b-3'}
        ]
        found = choice.choose_path(
            self.build_situation(engines), choice.RequestSize(760, 170)
        )
        self.assertEqual(
            ['b-1', 'b-2', 'a-3'], [hop.server.id for hop in found.hops]
        )

    def test_the_reason_distinguishes_full_engines_from_missing_layers(self):
        """An engine is full, or no engine holds some layer."""
        engines = self.build_replicas()[:3]
        reserved = reservations.Reservations()
        server_hash = server_hashes.compute_server_hash('a-2')
        reserved.remote = {server_hash: 1e9}
        request_size = choice.RequestSize(760, 170)
        self.assertIs(
            choice.NoPathReason.NO_CAPACITY,
            choice.choose_path(
                self.build_situation(engines, reserved), request_size
            ),
        )
        self.assertIs(
            choice.NoPathReason.NOT_COVERED,
            choice.choose_path(
                self.build_situation(engines[:2]), request_size
            ),
        )

    def test_uses_a_draining_engine_only_if_there_is_no_other(self):
        engines = self.build_replicas()
        request_size = choice.RequestSize(760, 170)
        found = choice.choose_path(
            self.build_situation(engines, draining={'a-1'}), request_size
        )
        self.assertNotIn('a-1', [hop.server.id for hop in found.hops])
        found = choice.choose_path(
            self.build_situation(engines[:3], draining={'a-1'}), request_size
        )
        self.assertIn('a-1', [hop.server.id for hop in found.hops])

    def test_never_reserves_more_than_the_capacity(self):
        """Requests arrive, and none ends, until no path has free capacity."""
        engines = self.build_replicas()
        reserved = reservations.Reservations()
        request_size = choice.RequestSize(760, 170)
        fleet_snapshot = self.build_situation(engines, reserved)
        admitted = 0
        while True:
            found = choice.choose_path(fleet_snapshot, request_size)
            if isinstance(found, choice.NoPathReason):
                break
            reserved.reserve(found.hops, request_size.tokens)
            admitted += 1
        self.assertIs(choice.NoPathReason.NO_CAPACITY, found)
        self.assertGreater(admitted, 100)
        for engine in engines:
            capacity = MODEL.compute_free_capacity(
                engine.kind, engine.layers.count
            )
            self.assertLessEqual(
                reserved.compute_reserved(engine.id), capacity
            )


class MemoryWeightTest(unittest.TestCase):
    def test_the_fastest_engine_does_not_fill_up_while_others_are_empty(self):
        """Guards against preemptions on the fastest engine.

        Many entries choose paths at the same time, and their copies of the
        reservations of others are about a second old.
        """
        engines = [
            builders.build_engine('a-1', 'medium', 0, 8),
            builders.build_engine('a-2', 'small', 0, 8),
            builders.build_engine('a-3', 'small', 0, 8),
            builders.build_engine('a-4', 'large', 8, 44),
            builders.build_engine('a-5', 'large', 44, 80),
        ]
        reserved = reservations.Reservations()
        request_size = choice.RequestSize(760, 170)
        capacity = MODEL.compute_free_capacity('medium', 8)
        while reserved.compute_reserved('a-1') < 0.55 * capacity:
            reserved.reserve(
                [search.Hop(engines[0], 0, 8)], request_size.tokens
            )
        fleet_snapshot = choice.FleetSnapshot(
            MODEL, tuple(engines), frozenset(), reserved, {}, 'a', lambda: 0.5
        )
        first_engines = []
        for _ in range(12):
            found = choice.choose_path(fleet_snapshot, request_size)
            reserved.reserve(found.hops, request_size.tokens)
            first_engines.append(found.hops[0].server.id)
        self.assertLess(first_engines.count('a-1'), 6)
        share = reserved.compute_reserved('a-1') / capacity
        self.assertLess(share, 0.75)

    def test_reserved_memory_hardly_matters_below_half_of_the_capacity(self):
        self.assertEqual(1.0, search.compute_memory_weight(0.0))
        self.assertLess(search.compute_memory_weight(0.4), 1.5)
        self.assertGreater(search.compute_memory_weight(0.8), 10 * 1.9)


class ReservationsTest(unittest.TestCase):
    def test_releases_what_was_reserved(self):
        reserved = reservations.Reservations()
        hop = search.Hop(builders.build_engine('a-1', 'small', 0, 8), 0, 8)
        reserved.reserve([hop], 100.0)
        reserved.reserve([hop], 50.0)
        reserved.release([hop], 100.0)
        self.assertEqual(400.0, reserved.compute_reserved('a-1'))
        reserved.release([hop], 50.0)
        self.assertEqual({}, reserved.local)

    def test_includes_the_reservations_of_others(self):
        reserved = reservations.Reservations()
        server_hash = server_hashes.compute_server_hash('a-1')
        reserved.remote = {server_hash: 13.0}
        self.assertEqual(13.0, reserved.compute_reserved('a-1'))
        reserved.remote = {}
        self.assertEqual(0.0, reserved.compute_reserved('a-1'))
