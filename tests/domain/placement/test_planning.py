"""Tests of the orders that place layers."""

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


def list_holes(engines):
    held = [one.layers for one in engines if one.layers is not None]
    return orders_module.find_holes(held, MODEL.layers)


def carry_out(engines, orders):
    wanted = {order.server.id: order.layers for order in orders}
    return [
        attrs.evolve(one, layers=wanted.get(one.id, one.layers))
        for one in engines
    ]


def plan(engines, steady=()):
    holdings = [orders_module.Holding(one) for one in engines]
    return planning.plan_orders(holdings, MODEL, steady)


def place(domain):
    engines = builders.build_domain(domain)
    return carry_out(engines, plan(engines))


class EmptyFleetTest(unittest.TestCase):
    def test_every_domain_gets_a_whole_replica_at_once(self):
        for domain in builders.DOMAINS:
            with self.subTest(domain):
                self.assertEqual([], list_holes(place(domain)))

    def test_no_engine_holds_more_than_its_memory(self):
        for domain in builders.DOMAINS:
            for engine in place(domain):
                room = MODEL.compute_room(engine.kind, engine.layers.count)
                requests = room / engine.layers.count / 946
                self.assertGreaterEqual(requests, layout.MIN_ROOM_REQUESTS)

    def test_a_domain_too_small_for_a_replica_is_left_empty(self):
        engines = builders.build_domain('b')[:3]
        self.assertEqual([], plan(engines))

    def test_a_large_domain_gets_several_replicas(self):
        engines = [
            builders.build_engine(f'a-{number}', 'small')
            for number in range(24)
        ]
        placed = carry_out(engines, plan(engines))
        covered = [0] * MODEL.layers
        for one in placed:
            for layer in range(one.layers.first, one.layers.end):
                covered[layer] += 1
        self.assertGreaterEqual(min(covered), 2)


class LostEngineTest(unittest.TestCase):
    """An engine of a domain dies, so that some layers have no holder there.

    Callers of that domain are served by others meanwhile, which then hold
    more requests than they have room for, and refuse some.
    """

    def lose_each(self):
        for domain in builders.DOMAINS:
            engines = place(domain)
            for lost in engines:
                yield lost, [one for one in engines if one is not lost]

    def test_one_round_of_orders_makes_the_domain_whole_again(self):
        spare = builders.build_engine('z-0', 'large', 0, 80)
        for lost, left in self.lose_each():
            with self.subTest(lost=lost.id, layers=lost.layers):
                orders = plan([*left, spare])
                self.assertEqual([], list_holes(carry_out(left, orders)))

    def test_small_holes_cost_two_orders_at_most(self):
        spare = builders.build_engine('z-0', 'large', 0, 80)
        counts = [
            len(plan([*left, spare]))
            for lost, left in self.lose_each()
            if lost.layers.first > 0
            and lost.layers.end < 80
            and lost.kind in {'small', 'tiny'}
        ]
        small = [count for count in counts if count <= 2]
        self.assertGreaterEqual(len(small), 0.9 * len(counts))

    def test_nothing_is_given_up_while_a_safe_way_is_left(self):
        """The last domain that serves loses an engine."""
        for lost, left in self.lose_each():
            self.check_safe_way(lost, left)

    def test_the_last_domain_is_whole_again_after_a_second_loss(self):
        """Its engines have little to spare by then."""
        for lost, left in self.lose_two():
            self.check_safe_way(lost, left)

    def check_safe_way(self, lost, left):
        before = list_holes(left)
        for _ in range(20):
            orders = plan(left)
            if not list_holes(left):
                return
            held = carry_out_safe(left, orders)
            is_safe = all(
                any(
                    one.first <= hole.first and hole.end <= one.end
                    for one in before
                )
                for hole in list_holes(held)
            )
            self.assertTrue(is_safe or not find_safe_moves(left), lost.id)
            left = carry_out(left, orders)
        self.assertEqual([], list_holes(left), lost.id)

    def lose_two(self):
        spare = builders.build_engine('z-0', 'large', 0, 80)
        for _, left in self.lose_each():
            mended = carry_out(left, plan([*left, spare]))
            for lost in mended:
                yield lost, [one for one in mended if one is not lost]

    def test_few_layers_are_given_up_for_a_hole(self):
        """A domain loses a second engine, and neighbours have no memory."""
        spare = builders.build_engine('z-0', 'large', 0, 80)
        given_up = []
        for lost, left in self.lose_two():
            orders = plan([*left, spare])
            self.assertEqual([], list_holes(carry_out(left, orders)), lost.id)
            given_up.append(
                sum(
                    order.server.layers.count
                    - orders_module.Holding(
                        order.server, order.layers
                    ).sure.count
                    for order in orders
                    if orders_module.Holding(order.server, order.layers).sure
                )
            )
        self.assertLess(sum(given_up) / len(given_up), 6)

    def test_domains_that_mend_keep_a_path_across_them(self):
        """Two domains lose two engines each, and none is whole."""
        source = random.Random(1)
        rounds = []
        for _ in range(300):
            left = [
                one
                for domain in ('a', 'b')
                for one in lose(source, place(domain), 2)
            ]
            holes = list_holes(left)
            count = 0
            while not any(is_whole(left, one) for one in ('a', 'b')):
                count += 1
                self.assertLess(count, 20)
                orders = plan(left)
                if not holes:
                    held = carry_out_safe(left, orders)
                    self.assertEqual([], list_holes(held))
                left = carry_out(left, orders)
            rounds.append(count)
        self.assertLess(sum(rounds) / len(rounds), 1.5)

    def test_an_engine_that_comes_back_empty_gets_layers_at_once(self):
        engines = place('b')
        lost = engines[4]
        left = [one for one in engines if one is not lost]
        patched = carry_out(left, plan(left))
        back = attrs.evolve(lost, id='b-new', layers=None)
        orders = plan([*patched, back])
        self.assertEqual(['b-new'], [one.server.id for one in orders])

    def test_ranges_move_only_in_a_domain_that_is_steady(self):
        """A crashed engine is back within seconds."""
        engines = place('b')
        left = carry_out(
            engines[:4] + engines[5:], plan(engines[:4] + engines[5:])
        )
        self.assertEqual([], plan(left))
        self.assertNotEqual([], plan(left, {'b'}))


def lose(source, engines, count):
    lost = source.sample(engines, count)
    return [one for one in engines if one not in lost]


def is_whole(engines, domain):
    return not list_holes(
        [one for one in engines if one.failure_domain == domain]
    )


def measure_balance(engines, domain):
    """Compare the requests that a domain holds with its best layout."""
    near = [one for one in engines if one.failure_domain == domain]
    wanted = planning._find_wanted(
        [orders_module.Holding(one) for one in near], MODEL
    )
    held = [(one.kind, one.layers) for one in near]
    best = [(one.kind, wanted[one.id]) for one in near]
    return layout.count_at_once(held, MODEL) / layout.count_at_once(
        best, MODEL
    )


def find_safe_moves(engines):
    """Find moves after which each layer held before is held all along."""
    holdings = [orders_module.Holding(one) for one in engines]
    wanted = planning._find_wanted(holdings, MODEL)
    return moving.move_ranges(holdings, wanted, MODEL, 6)


def carry_out_safe(engines, orders):
    """Return the engines with what they hold all along their orders."""
    wanted = {order.server.id: order.layers for order in orders}
    result = []
    for one in engines:
        sure = orders_module.Holding(one, wanted.get(one.id)).sure
        result.append(attrs.evolve(one, layers=sure))
    return result


class BalanceTest(unittest.TestCase):
    """No layer is missing, but some engines hold more than their share.

    An engine that moves gives up layers, and takes nothing new for them
    until what passes through has ended.
    """

    def lose_one_each(self):
        left = []
        for domain in builders.DOMAINS:
            engines = place(domain)
            engines.pop(4)
            left.extend(carry_out(engines, plan(engines)))
        return left

    def test_few_engines_move_at_once_in_all_domains(self):
        """Engines were lost in all domains, and the holes were closed."""
        left = self.lose_one_each()
        for _ in range(40):
            orders = plan(left, builders.DOMAINS)
            if not orders:
                break
            self.assertLessEqual(len(orders), 3)
            domains = {order.server.failure_domain for order in orders}
            self.assertEqual(1, len(domains))
            wanted = {order.server.id: order.layers for order in orders}
            busy = [
                orders_module.Holding(one, wanted.get(one.id)) for one in left
            ]
            further = planning.plan_orders(busy, MODEL, builders.DOMAINS)
            self.assertLessEqual(len(orders) + len(further), 3)
            left = carry_out(left, orders)
        self.assertEqual([], orders)
        for domain in builders.DOMAINS:
            self.assertGreater(measure_balance(left, domain), 0.65)

    def test_a_domain_that_is_nearly_even_is_left_alone(self):
        engines = place('a')
        for number in (9, 10, 12):
            left = engines[:number] + engines[number + 1 :]
            left = carry_out(left, plan(left))
            if measure_balance(left, 'a') >= planning.BALANCED_SHARE:
                self.assertEqual([], plan(left, {'a'}))


class BusyEngineTest(unittest.TestCase):
    def test_an_engine_with_an_order_gets_no_second_one(self):
        engines = place('b')
        left = engines[:4] + engines[5:]
        first = plan(left)
        wanted = {order.server.id: order.layers for order in first}
        holdings = [
            orders_module.Holding(one, wanted.get(one.id)) for one in left
        ]
        self.assertEqual([], planning.plan_orders(holdings, MODEL))

    def test_moves_end(self):
        for domain in builders.DOMAINS:
            engines = place(domain)[1:]
            for step in itertools.count():
                orders = plan(engines, {domain})
                if not orders:
                    break
                self.assertLess(step, 40)
                engines = carry_out(engines, orders)
            self.assertEqual([], list_holes(engines))


class LayoutTest(unittest.TestCase):
    def test_engines_run_out_of_room_at_about_the_same_load(self):
        shares = layout.compute_shares(
            builders.build_domain('a'), MODEL, layout.REQUESTS_AT_ONCE
        )
        for engine in builders.build_domain('a'):
            room = MODEL.compute_room(engine.kind, shares[engine.id])
            requests = room / shares[engine.id] / 946
            self.assertGreaterEqual(requests, layout.REQUESTS_AT_ONCE)

    def test_ranges_follow_each_other_with_overlap(self):
        engines = builders.build_domain('a')
        shares = layout.choose_shares(engines, MODEL)
        slots = layout.lay_out(engines, shares, MODEL.layers)
        for before, after in itertools.pairwise(slots):
            self.assertLessEqual(after.layers.first, before.layers.end)
        self.assertEqual(0, slots[0].layers.first)
        self.assertEqual(MODEL.layers, slots[-1].layers.end)

    def test_an_unknown_kind_gets_nothing(self):
        engine = builders.build_engine('a-0', 'unknown')
        self.assertEqual({}, layout.compute_shares([engine], MODEL, 4))


class RangesTest(unittest.TestCase):
    def test_finds_what_no_range_covers(self):
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
            orders_module.find_holes(ranges, 10),
        )
