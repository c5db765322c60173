"""Tests of route planning on an entry."""

from __future__ import annotations

import collections
import functools
import random
import unittest

from tests.domain.pipelines import builders
from thornspool.application.generation import planning as generation_planning
from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import report_requests
from thornspool.domain.targets import messages


class PlanningTest(unittest.TestCase):
    def setUp(self):
        self.view = builders.FakeTargetView()
        self.snapshot = builders.build_snapshot(
            {f'a-{number}': (0, 4) for number in range(6)}
        )

    def build_planning(self, seed=1, **options):
        return generation_planning.Planning(
            'entry-1',
            lambda: self.snapshot,
            self.view,
            random.Random(seed),
            **options,
        )

    def plan(self, planning, now=0, **changes):
        request = generation_planning.RouteRequest(
            self.snapshot.models['text'], 1, 10, **changes
        )
        return planning.plan(request, now).list_targets()[0]

    def test_uses_other_engines_without_ready_candidates(self):
        """Every candidate engine of this entry has left.

        Other engines still hold the layers, so the request must not fail.
        """
        planning = self.build_planning(per_range=1)
        first_choice = self.plan(planning)
        self.view.readiness[first_choice] = messages.Readiness.LEAVING
        self.assertNotEqual(self.plan(planning), first_choice)

    def test_avoided_targets_are_the_last_resort(self):
        """After a stall without a suspect, no other engine has the layers.

        The stalled engines are used again before the request fails, but
        never a target that the fault was attributed to.
        """
        planning = self.build_planning()
        names = frozenset(self.snapshot.targets)
        self.assertIn(self.plan(planning, avoided=names), names)
        rest = self.plan(planning, avoided=names, excluded=names - {'a-3'})
        self.assertEqual(rest, 'a-3')
        with self.assertRaises(exceptions.NoPipeline):
            self.plan(planning, excluded=names)

    def test_outdated_reports_balance_entries(self):
        """Many entries read the same report, which is seconds old.

        If they all trusted it fully, the engine that was idle at that time
        would get all requests until the next report.
        """
        for name in self.snapshot.targets:
            waiting = 0 if name == 'a-3' else 8
            self.view.loads[name] = builders.build_load(name, waiting=waiting)
        shares = []
        for now in (0, 5_000):
            chosen = collections.Counter(
                self.plan(self.build_planning(seed), now)
                for seed in range(300)
            )
            shares.append(chosen['a-3'] / 300)
        fresh, old = shares
        self.assertGreater(fresh, 0.28)
        self.assertLess(old, 0.22)

    def test_local_token_intervals_count_with_outdated_reports(self):
        """An engine slows down and its last report is outdated.

        Its streams become slow. An entry that only used reports would keep
        sending requests to it.
        """
        for name in self.snapshot.targets:
            self.view.loads[name] = builders.build_load(name)
        chosen = collections.Counter()
        for seed in range(200):
            planning = self.build_planning(seed)
            for number in range(6):
                route = builders.build_route(f'a-{number}')
                interval_ms = 100.0 if number == 3 else 10.0
                planning.record_token_interval(route, interval_ms, 20_000)
            chosen[self.plan(planning, 20_000)] += 1
        self.assertEqual(chosen['a-3'], 0)

    def test_requests_outdated_reports_at_a_limited_rate(self):
        """Engines reported their loads in each response.

        At the design size this exceeded the budget for control messages.
        """
        planning = self.build_planning(
            read_limits=lambda: report_requests.ReportLimits(0.5, 2.0)
        )
        route = builders.build_route('a-1', 'b-1')
        other = builders.build_route('a-3', 'b-3')
        fresh = builders.build_route('a-2', 'b-2')
        check = functools.partial(self.check_reports, planning)
        check(0, route, report_requests.ReportRequest(loads=True, hops=True))
        check(100, other, report_requests.NO_REPORTS)
        check(500, route, report_requests.NO_REPORTS)
        check(2_000, other, report_requests.ReportRequest(loads=True))
        check(
            5_000, route, report_requests.ReportRequest(loads=True, hops=True)
        )
        planning.record_hops(route, [1.0], 6_000)
        check(9_100, other, report_requests.ReportRequest(loads=True))
        for name in ('a-2', 'b-2'):
            self.view.loads[name] = builders.build_load(
                name, received_at=29_999
            )
        check(30_000, fresh, report_requests.ReportRequest(hops=True))
        check(32_000, route, report_requests.ReportRequest(loads=True))

    def check_reports(self, planning, now, route, expected):
        with self.subTest(now):
            self.assertEqual(planning.choose_reports(route, now), expected)
