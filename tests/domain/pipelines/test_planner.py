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


def compute_cost(stages, stage_cost, link):
    domains = [stage.target.partition('-')[0] for stage in stages]
    links = zip(domains, domains[1:] + domains[:1], strict=True)
    return sum(map(stage_cost, stages)) + sum(link(*pair) for pair in links)


def list_routes(stages, boundary=0):
    """List every route that covers the layers, by exhaustive search."""
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
        stage_costs = {stage.target: source.uniform(1, 9) for stage in stages}
        links = {
            pair: source.choice((0.1, 10.0))
            for pair in itertools.product('abc', repeat=2)
        }
        costs = planner.Costs(
            stage=lambda stage: stage_costs[stage.target],
            link=lambda first, second: links[first, second],
        )
        model = documents.Model('text', '1', LAYERS, tuple(stages))
        route_costs = [
            compute_cost(route, costs.stage, costs.link)
            for route in list_routes(stages)
        ]
        if not route_costs:
            with self.assertRaises(exceptions.NoPipeline):
                planner.plan_route(model, stages, targets, costs, source)
            return
        route = planner.plan_route(model, stages, targets, costs, source)
        self.assertTrue(route.covers(LAYERS))
        self.assertAlmostEqual(route.cost_ms, min(route_costs))

    def test_entries_with_the_same_outdated_load_are_balanced(self):
        """Many entries plan with the same report before the next arrives.

        If each used the stage that was best at that time, all would overload
        it, and callers would wait in its queue while others were idle.
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

    def test_targets_that_accept_no_new_work_are_excluded(self):
        """A target is leaving, unreachable, or no longer configured.

        A request sent there would be refused or lost.
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
