"""Tests of planning routes."""

from __future__ import annotations

import collections
import itertools
import random
import unittest

import hypothesis
from hypothesis import strategies

from tests.domain.pipelines import builders
from thornspool.domain.configuration import documents
from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import planner
from thornspool.domain.targets import messages

LAYERS = 6
RANGES = strategies.tuples(
    strategies.integers(0, LAYERS), strategies.integers(0, LAYERS)
).filter(lambda ends: ends[0] < ends[1])
STAGES = strategies.lists(
    strategies.tuples(RANGES, strategies.sampled_from('abc')),
    max_size=12,
    unique=True,
)


def compute_cost(stages, price, link):
    domains = [stage.target.partition('-')[0] for stage in stages]
    ways = zip(domains, domains[1:] + domains[:1], strict=True)
    return sum(map(price, stages)) + sum(link(*way) for way in ways)


def list_routes(stages, boundary=0):
    """List every way to cover the layers, by trying all."""
    if boundary == LAYERS:
        yield ()
    for stage in stages:
        if stage.first_layer == boundary:
            for rest in list_routes(stages, stage.end_layer):
                yield (stage, *rest)


class PlannerTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(STAGES, strategies.randoms(use_true_random=False))
    def test_finds_the_cheapest_cover(self, drawn, source):
        stages = [
            documents.Stage(f'{domain}-{number}', *layers)
            for number, (layers, domain) in enumerate(drawn)
        ]
        targets = {
            stage.target: builders.build_target(stage.target)
            for stage in stages
        }
        prices = {stage.target: source.uniform(1, 9) for stage in stages}
        ways = {
            way: source.choice((0.1, 10.0))
            for way in itertools.product('abc', repeat=2)
        }
        costs = planner.Costs(
            stage=lambda stage: prices[stage.target],
            link=lambda first, second: ways[first, second],
        )
        model = documents.Model('text', '1', LAYERS, tuple(stages))
        known = [
            compute_cost(route, costs.stage, costs.link)
            for route in list_routes(stages)
        ]
        if not known:
            with self.assertRaises(exceptions.NoPipeline):
                planner.plan_route(model, stages, targets, costs, source)
            return
        route = planner.plan_route(model, stages, targets, costs, source)
        self.assertTrue(route.covers(LAYERS))
        self.assertAlmostEqual(route.cost_ms, min(known))

    def test_entries_with_the_same_old_load_spread(self):
        """Many entries plan by one report before the next one comes.

        If each took the stage that was best then, all would rush to it and
        its queue would make callers wait while others stood idle.
        """
        snapshot = builders.build_snapshot(
            {f'a-{number}': (0, 4) for number in range(8)}
        )
        costs = planner.Costs(
            stage=lambda stage: float(stage.target[2:]),
            link=lambda *_: 0.0,
        )
        model = snapshot.models['text']
        chosen = collections.Counter(
            planner.plan_route(
                model,
                model.stages,
                snapshot.targets,
                costs,
                random.Random(seed),
            ).list_targets()
            for seed in range(400)
        )
        self.assertGreaterEqual(len(chosen), 7)
        self.assertLess(max(chosen.values()), 0.35 * 400)

    def test_targets_that_take_no_new_work_are_left_out(self):
        """A target leaves, is unreachable, or is no longer configured.

        Sent there, the work would be refused or lost.
        """
        snapshot = builders.build_snapshot(
            {f'a-{number}': (0, 4) for number in range(6)}
        )
        view = builders.FakeTargetView()
        view.readiness['a-0'] = messages.Readiness.LEAVING
        view.readiness['a-1'] = messages.Readiness.UNREACHABLE
        targets = dict(snapshot.targets)
        targets['a-2'] = builders.build_target('a-2', leaving=True)
        del targets['a-3']
        usable = planner.list_usable(
            snapshot.models['text'].stages, targets, view, frozenset({'a-4'})
        )
        self.assertEqual([stage.target for stage in usable], ['a-5'])
