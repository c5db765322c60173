"""Tests of what an entry knows for planning."""

from __future__ import annotations

import collections
import functools
import random
import unittest

from tests.domain.pipelines import builders
from thornspool.application.generation import planning as generation_planning
from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import questions
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
        wish = generation_planning.Wish(
            self.snapshot.models['text'], 1, 10, **changes
        )
        return planning.plan(wish, now).list_targets()[0]

    def test_goes_beyond_the_candidates_when_they_are_gone(self):
        """Every engine that this entry usually asks has left.

        Other entries' engines still hold the layers, so the request need
        not fail.
        """
        planning = self.build_planning(per_range=1)
        usual = self.plan(planning)
        self.view.readiness[usual] = messages.Readiness.LEAVING
        self.assertNotEqual(self.plan(planning), usual)

    def test_avoided_targets_are_the_last_resort(self):
        """A stall blames nobody, and no other engine holds the layers.

        The stalled ones are tried again before the request fails; a target
        that is known to be at fault is not.
        """
        planning = self.build_planning()
        names = frozenset(self.snapshot.targets)
        self.assertIn(self.plan(planning, avoided=names), names)
        rest = self.plan(planning, avoided=names, excluded=names - {'a-3'})
        self.assertEqual(rest, 'a-3')
        with self.assertRaises(exceptions.NoPipeline):
            self.plan(planning, excluded=names)

    def test_doubt_in_old_reports_spreads_entries(self):
        """Many entries read one report that is seconds old.

        If they all believed it, the engine that was idle then would get
        all requests until the next report.
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

    def test_pace_of_own_streams_counts_where_reports_are_old(self):
        """An engine slows down and its last report is of long ago.

        Its streams crawl. An entry that waited for the next report would
        send it more.
        """
        for name in self.snapshot.targets:
            self.view.loads[name] = builders.build_load(name)
        chosen = collections.Counter()
        for seed in range(200):
            planning = self.build_planning(seed)
            for number in range(6):
                route = builders.build_route(f'a-{number}')
                pace = 100.0 if number == 3 else 10.0
                planning.note_pace(route, pace, 20_000)
            chosen[self.plan(planning, 20_000)] += 1
        self.assertEqual(chosen['a-3'], 0)

    def test_asks_of_old_loads_and_links_and_only_so_often(self):
        """Engines told their loads with each answer.

        At the size to design for that was more than control may spend.
        """
        planning = self.build_planning(
            read_limits=lambda: questions.Limits(0.5, 2.0)
        )
        route = builders.build_route('a-1', 'b-1')
        other = builders.build_route('a-3', 'b-3')
        fresh = builders.build_route('a-2', 'b-2')
        check = functools.partial(self.check_tell, planning)
        check(0, route, questions.Tell(loads=True, hops=True))
        check(100, other, questions.NOTHING)
        check(500, route, questions.NOTHING)
        check(2_000, other, questions.Tell(loads=True))
        check(5_000, route, questions.Tell(loads=True, hops=True))
        planning.note_hops(route, [1.0], 6_000)
        check(9_100, other, questions.Tell(loads=True))
        for name in ('a-2', 'b-2'):
            self.view.loads[name] = builders.build_load(
                name, received_at=29_999
            )
        check(30_000, fresh, questions.Tell(hops=True))
        check(32_000, route, questions.Tell(loads=True))

    def check_tell(self, planning, now, route, tell):
        with self.subTest(now):
            self.assertEqual(planning.choose_tell(route, now), tell)
