"""Tests of what a plan costs: loads, links, caches, and who is asked."""

from __future__ import annotations

import collections
import unittest

from tests.domain.pipelines import builders
from thornspool.domain.configuration import documents
from thornspool.domain.pipelines import affinity
from thornspool.domain.pipelines import candidates
from thornspool.domain.pipelines import links
from thornspool.domain.pipelines import loads


class LoadsTest(unittest.TestCase):
    def test_own_requests_since_the_report_count(self):
        """A report is old and this entry has sent much since.

        By the report alone the target still looks idle, and this entry
        would go on sending there until the next report.
        """
        own = loads.OwnRequests()
        report = builders.build_load('a-1', running=8, waiting=8)
        before = loads.estimate_time(report, own, 'a-1', 0)
        for _ in range(16):
            own.add('a-1', 1)
        after = loads.estimate_time(report, own, 'a-1', 0)
        self.assertEqual((before, after), (20.0, 30.0))
        renewed = builders.build_load('a-1', received_at=1, waiting=32)
        self.assertEqual(loads.estimate_time(renewed, own, 'a-1', 1), 30.0)

    def test_an_old_report_loses_weight(self):
        """A target's reports stop coming.

        Its last one would otherwise keep it busy, or idle, for ever.
        """
        own = loads.OwnRequests()
        report = builders.build_load('a-1', waiting=1_600)
        self.assertEqual(loads.estimate_time(report, own, 'a-1', 0), 1_010.0)
        later = loads.estimate_time(report, own, 'a-1', 60_000)
        self.assertAlmostEqual(later, 10.0, places=3)


class LinkTimesTest(unittest.TestCase):
    def test_learns_a_slow_link_and_tries_it_again(self):
        """A link slows a hundredfold and later recovers.

        Unlearnt, every plan would cross it; never forgotten, it would stay
        unused for ever, since only a link in use is timed.
        """
        times = links.LinkTimes({('a', 'b'): 0.25})
        self.assertEqual(times.read('b', 'a', 0), 0.25)
        times.note_hop('a', 'b', 25.0, 0)
        self.assertEqual(times.read('a', 'b', 0), 25.0)
        self.assertLess(times.read('a', 'b', 300_000), 0.3)

    def test_a_stall_raises_the_links_of_the_route(self):
        """A link stops altogether, so nothing is timed on it."""
        times = links.LinkTimes()
        route = builders.build_route('a-1', 'b-1')
        times.note_stall(route, 1_000, 0)
        self.assertEqual(times.read('a', 'b', 0), 500.0)
        self.assertEqual(times.read('a', 'c', 0), 0.5)


class PrefixAffinityTest(unittest.TestCase):
    def test_fades_and_stays_bounded(self):
        """Cache events are lost, so what is remembered may be untrue.

        Trusted for ever, it would pull requests to a target that dropped
        the prefix long ago.
        """
        known = affinity.PrefixAffinity(longest=2)
        for prefix in range(3):
            known.note(prefix, (0, 4), 'a-1', 0)
        self.assertEqual(known.find(0, (0, 4)), '')
        self.assertEqual(known.find(2, (0, 4)), 'a-1')
        weights = [
            known.read_weight(2, (0, 4), target, now)
            for target, now in (('a-1', 0), ('a-1', 30_000), ('a-2', 0))
        ]
        self.assertEqual(weights, [1.0, 0.5, 0.0])


class CandidatesTest(unittest.TestCase):
    def setUp(self):
        self.model = documents.Model(
            'text',
            '1',
            8,
            tuple(
                documents.Stage(f'engine-{number}', first, first + 4)
                for number in range(60)
                for first in (0, 4)
            ),
        )

    def choose(self, entry, model):
        stages = candidates.choose_candidates(entry, model, 6)
        return {stage.target for stage in stages}

    def test_entries_spread_over_the_engines(self):
        counts = collections.Counter(
            target
            for entry in range(350)
            for target in self.choose(f'entry-{entry}', self.model)
        )
        self.assertEqual(len(counts), 60)
        self.assertLess(max(counts.values()), 2 * 350 * 6 / 60)

    def test_a_lost_engine_moves_only_those_that_had_it(self):
        """An engine goes away.

        If all entries chose anew, caches and connections of the whole
        fleet would be lost with it.
        """
        stages = self.model.stages[2:]
        smaller = documents.Model('text', '1', 8, stages)
        for entry in range(50):
            before = self.choose(f'entry-{entry}', self.model)
            after = self.choose(f'entry-{entry}', smaller)
            lost = before & {'engine-0'}
            self.assertEqual(len(before - after), len(lost))
