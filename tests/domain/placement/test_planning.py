"""Tests of the planning of orders that place layers."""

from __future__ import annotations

import itertools
import random
import unittest

import attrs

from tests.domain.fleet import builders
from thornspool.domain.fleet import messages
from thornspool.domain.placement import layout
from thornspool.domain.placement import moving
from thornspool.domain.placement import orders as orders_module
from thornspool.domain.placement import planning

MODEL = builders.build_model()


def list_gaps(engines):
    held = [one.layers for one in engines if one.layers is not None]
    return orders_module.find_coverage_gaps(held, MODEL.layers)


def apply_orders(engines, orders):
    """Return the engines with the layers that orders give them."""
    planned = {order.server.id: order.layers for order in orders}
    return [
        attrs.evolve(one, layers=planned.get(one.id, one.layers))
        for one in engines
    ]


def plan(engines, stable=()):
    holdings = [orders_module.Holding(one) for one in engines]
    return planning.plan_orders(holdings, MODEL, stable)


def place_layers(domain):
    """Return the engines of a domain with their first layers."""
    engines = builders.build_domain(domain)
    return apply_orders(engines, plan(engines))


class EmptyEnginesTest(unittest.TestCase):
    def test_every_domain_gets_a_complete_replica_at_once(self):
        for domain in builders.DOMAINS:
            with self.subTest(domain):
                self.assertEqual([], list_gaps(place_layers(domain)))

    def test_every_engine_has_memory_for_requests(self):
        for domain in builders.DOMAINS:
            for engine in place_layers(domain):
                capacity = MODEL.compute_free_capacity(
                    engine.kind, engine.layers.count
                )
                requests = capacity / engine.layers.count / 946
                self.assertGreaterEqual(requests, layout.MIN_CAPACITY_REQUESTS)

    def test_a_domain_too_small_for_a_replica_stays_empty(self):
        engines = builders.build_domain('b')[:3]
        self.assertEqual([], plan(engines))

    def test_a_large_domain_gets_several_replicas(self):
        engines = [
            builders.build_engine(f'a-{number}', 'small')
            for number in range(24)
        ]
        placed = apply_orders(engines, plan(engines))
        covered = [0] * MODEL.layers
        for one in placed:
            for layer in range(one.layers.first, one.layers.end):
                covered[layer] += 1
        self.assertGreaterEqual(min(covered), 2)


class LostEngineTest(unittest.TestCase):
    """An engine crashes, and its domain has a coverage gap.

    Until the gap is closed, other domains serve the requests of that domain.
    They do not have the capacity for all of them and refuse some.
    """

    def lose_each(self):
        """Yield every engine with the remaining engines of its domain."""
        for domain in builders.DOMAINS:
            engines = place_layers(domain)
            for lost in engines:
                yield lost, [one for one in engines if one is not lost]

    def test_one_round_of_orders_closes_the_gap(self):
        remote = builders.build_engine('z-0', 'large', 0, 80)
        for lost, remaining in self.lose_each():
            with self.subTest(lost=lost.id, layers=lost.layers):
                orders = plan([*remaining, remote])
                self.assertEqual(
                    [], list_gaps(apply_orders(remaining, orders))
                )

    def test_small_gaps_take_at_most_two_orders(self):
        remote = builders.build_engine('z-0', 'large', 0, 80)
        counts = [
            len(plan([*remaining, remote]))
            for lost, remaining in self.lose_each()
            if lost.layers.first > 0
            and lost.layers.end < 80
            and lost.kind in {'small', 'tiny'}
        ]
        small = [count for count in counts if count <= 2]
        self.assertGreaterEqual(len(small), 0.9 * len(counts))

    def test_no_gap_is_added_while_a_safe_move_exists(self):
        """The only domain that serves requests loses an engine."""
        for lost, remaining in self.lose_each():
            self.check_recovery(lost, remaining)

    def test_the_only_domain_recovers_from_a_second_loss(self):
        """Its engines have little spare memory after the first loss."""
        for lost, remaining in self.lose_two():
            self.check_recovery(lost, remaining)

    def check_recovery(self, lost, remaining):
        """Check that the gaps close, and grow only if no safe move exists."""
        before = list_gaps(remaining)
        for _ in range(20):
            orders = plan(remaining)
            if not list_gaps(remaining):
                return
            held = retain_layers(remaining, orders)
            is_safe = all(
                any(
                    one.first <= gap.first and gap.end <= one.end
                    for one in before
                )
                for gap in list_gaps(held)
            )
            self.assertTrue(is_safe or not plan_safe_moves(remaining), lost.id)
            remaining = apply_orders(remaining, orders)
        self.assertEqual([], list_gaps(remaining), lost.id)

    def lose_two(self):
        """Yield every engine of a repaired domain, and the remaining ones."""
        remote = builders.build_engine('z-0', 'large', 0, 80)
        for _, remaining in self.lose_each():
            repaired = apply_orders(remaining, plan([*remaining, remote]))
            for lost in repaired:
                yield lost, [one for one in repaired if one is not lost]

    def test_few_layers_are_unloaded_to_close_a_gap(self):
        """A second engine is lost, and the neighbours lack spare memory."""
        remote = builders.build_engine('z-0', 'large', 0, 80)
        unloaded = []
        for lost, remaining in self.lose_two():
            orders = plan([*remaining, remote])
            self.assertEqual(
                [], list_gaps(apply_orders(remaining, orders)), lost.id
            )
            unloaded.append(
                sum(
                    order.server.layers.count
                    - orders_module.Holding(
                        order.server, order.layers
                    ).retained.count
                    for order in orders
                    if orders_module.Holding(
                        order.server, order.layers
                    ).retained
                )
            )
        self.assertLess(sum(unloaded) / len(unloaded), 6)

    def test_domains_under_repair_keep_a_path_across_them(self):
        """Guards against domains that unload the same layers at once.

        Two domains lose two engines each, and neither is complete.
        """
        randomness = random.Random(1)
        rounds = []
        for _ in range(300):
            remaining = [
                one
                for domain in ('a', 'b')
                for one in lose(randomness, place_layers(domain), 2)
            ]
            gaps = list_gaps(remaining)
            count = 0
            while not any(is_complete(remaining, one) for one in ('a', 'b')):
                count += 1
                self.assertLess(count, 20)
                orders = plan(remaining)
                if not gaps:
                    held = retain_layers(remaining, orders)
                    self.assertEqual([], list_gaps(held))
                remaining = apply_orders(remaining, orders)
            rounds.append(count)
        self.assertLess(sum(rounds) / len(rounds), 1.5)

    def test_an_engine_that_returns_empty_gets_layers_at_once(self):
        engines = place_layers('b')
        lost = engines[4]
        remaining = [one for one in engines if one is not lost]
        extended = apply_orders(remaining, plan(remaining))
        returned = attrs.evolve(lost, id='b-new', layers=None)
        orders = plan([*extended, returned])
        self.assertEqual(['b-new'], [one.server.id for one in orders])

    def test_ranges_move_only_in_a_stable_domain(self):
        """Guards against moves that a returning engine would undo."""
        engines = place_layers('b')
        remaining = apply_orders(
            engines[:4] + engines[5:], plan(engines[:4] + engines[5:])
        )
        self.assertEqual([], plan(remaining))
        self.assertNotEqual([], plan(remaining, {'b'}))


def lose(randomness, engines, count):
    lost = randomness.sample(engines, count)
    return [one for one in engines if one not in lost]


def is_complete(engines, domain):
    return not list_gaps(
        [one for one in engines if one.failure_domain == domain]
    )


def measure_balance(engines, domain):
    """Return a domain's capacity as a share of its best layout's."""
    local = [one for one in engines if one.failure_domain == domain]
    planned = planning._plan_ranges(
        [orders_module.Holding(one) for one in local], MODEL
    )
    held = [(one.kind, one.layers) for one in local]
    best = [(one.kind, planned[one.id]) for one in local]
    return layout.count_concurrent_requests(
        held, MODEL
    ) / layout.count_concurrent_requests(best, MODEL)


def plan_safe_moves(engines):
    """Plan moves during which no layer loses its last engine."""
    holdings = [orders_module.Holding(one) for one in engines]
    planned = planning._plan_ranges(holdings, MODEL)
    return moving.move_ranges(holdings, planned, MODEL, 6)


def retain_layers(engines, orders):
    """Return the engines with the layers that they retain during orders."""
    pending = {order.server.id: order.layers for order in orders}
    result = []
    for one in engines:
        retained = orders_module.Holding(one, pending.get(one.id)).retained
        result.append(attrs.evolve(one, layers=retained))
    return result


class BalanceTest(unittest.TestCase):
    """No layer is missing, but some engines hold more than planned.

    An engine that moves refuses requests for the layers that it unloads until
    the requests that use them are complete.
    """

    def lose_one_each(self):
        remaining = []
        for domain in builders.DOMAINS:
            engines = place_layers(domain)
            engines.pop(4)
            remaining.extend(apply_orders(engines, plan(engines)))
        return remaining

    def test_at_most_three_engines_move_at_once_in_all_domains(self):
        """All domains have lost an engine and closed their gaps."""
        remaining = self.lose_one_each()
        for _ in range(40):
            orders = plan(remaining, builders.DOMAINS)
            if not orders:
                break
            self.assertLessEqual(len(orders), 3)
            domains = {order.server.failure_domain for order in orders}
            self.assertEqual(1, len(domains))
            pending = {order.server.id: order.layers for order in orders}
            holdings = [
                orders_module.Holding(one, pending.get(one.id))
                for one in remaining
            ]
            further = planning.plan_orders(holdings, MODEL, builders.DOMAINS)
            self.assertLessEqual(len(orders) + len(further), 3)
            remaining = apply_orders(remaining, orders)
        self.assertEqual([], orders)
        for domain in builders.DOMAINS:
            self.assertGreater(measure_balance(remaining, domain), 0.65)

    def test_a_nearly_balanced_domain_does_not_move(self):
        engines = place_layers('a')
        for number in (9, 10, 12):
            remaining = engines[:number] + engines[number + 1 :]
            remaining = apply_orders(remaining, plan(remaining))
            if measure_balance(remaining, 'a') >= planning.BALANCED_SHARE:
                self.assertEqual([], plan(remaining, {'a'}))


class PendingOrderTest(unittest.TestCase):
    def test_an_engine_with_a_pending_order_gets_no_second_one(self):
        engines = place_layers('b')
        remaining = engines[:4] + engines[5:]
        first = plan(remaining)
        pending = {order.server.id: order.layers for order in first}
        holdings = [
            orders_module.Holding(one, pending.get(one.id))
            for one in remaining
        ]
        self.assertEqual([], planning.plan_orders(holdings, MODEL))

    def test_moves_come_to_an_end_without_a_gap(self):
        for domain in builders.DOMAINS:
            engines = place_layers(domain)[1:]
            for step in itertools.count():
                orders = plan(engines, {domain})
                if not orders:
                    break
                self.assertLess(step, 40)
                engines = apply_orders(engines, orders)
            self.assertEqual([], list_gaps(engines))


class LayoutTest(unittest.TestCase):
    def test_every_engine_has_capacity_for_the_target_load(self):
        layer_counts = layout.compute_layer_counts(
            builders.build_domain('a'),
            MODEL,
            layout.TARGET_CONCURRENT_REQUESTS,
        )
        for engine in builders.build_domain('a'):
            capacity = MODEL.compute_free_capacity(
                engine.kind, layer_counts[engine.id]
            )
            requests = capacity / layer_counts[engine.id] / 946
            self.assertGreaterEqual(
                requests, layout.TARGET_CONCURRENT_REQUESTS
            )

    def test_consecutive_ranges_overlap(self):
        engines = builders.build_domain('a')
        layer_counts = layout.choose_layer_counts(engines, MODEL)
        assignments = layout.assign_ranges(engines, layer_counts, MODEL.layers)
        for before, after in itertools.pairwise(assignments):
            self.assertLessEqual(after.layers.first, before.layers.end)
        self.assertEqual(0, assignments[0].layers.first)
        self.assertEqual(MODEL.layers, assignments[-1].layers.end)

    def test_an_unknown_kind_gets_no_layers(self):
        engine = builders.build_engine('a-0', 'unknown')
        self.assertEqual({}, layout.compute_layer_counts([engine], MODEL, 4))


class RangesTest(unittest.TestCase):
    def test_finds_the_layers_in_no_range(self):
        ranges = [
            messages.LayerRange(2, 4),
            messages.LayerRange(3, 6),
            messages.LayerRange(8, 9),
        ]
        self.assertEqual(
            [
                messages.LayerRange(0, 2),
                messages.LayerRange(6, 8),
                messages.LayerRange(9, 10),
            ],
            orders_module.find_coverage_gaps(ranges, 10),
        )
