"""Tests of planning costs: loads, links, prefix caches and candidates."""

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
    def test_local_requests_since_the_report_count(self):
        """An entry has sent many requests since an old report.

        According to the report alone the target is still idle, and the
        entry would keep sending there until the next report.
        """
        local = loads.LocalRequests()
        report = builders.build_load('a-1', running=8, waiting=8)
        before = loads.estimate_time(report, local, 'a-1', 0)
        for _ in range(16):
            local.add('a-1', 1)
        after = loads.estimate_time(report, local, 'a-1', 0)
        self.assertEqual((before, after), (20.0, 30.0))
        next_report = builders.build_load('a-1', received_at=1, waiting=32)
        self.assertEqual(
            loads.estimate_time(next_report, local, 'a-1', 1), 30.0
        )

    def test_an_old_report_loses_weight(self):
        """A target stops reporting its load.

        Without a decay, it would count as busy, or as idle, for ever.
        """
        local = loads.LocalRequests()
        report = builders.build_load('a-1', waiting=1_600)
        self.assertEqual(loads.estimate_time(report, local, 'a-1', 0), 1_010.0)
        later = loads.estimate_time(report, local, 'a-1', 60_000)
        self.assertAlmostEqual(later, 10.0, places=3)


class LinkTimesTest(unittest.TestCase):
    def test_slow_link_is_learned_and_later_used_again(self):
        """A link becomes a hundred times slower and later recovers.

        If its time were not learned, every plan would use it. If the time
        did not decay, the link would stay unused for ever, since only a link
        in use is measured.
        """
        times = links.LinkTimes({('a', 'b'): 0.25})
        self.assertEqual(times.read('b', 'a', 0), 0.25)
        times.record_hop('a', 'b', 25.0, 0)
        self.assertEqual(times.read('a', 'b', 0), 25.0)
        self.assertLess(times.read('a', 'b', 300_000), 0.3)

    def test_a_stall_raises_the_links_of_the_route(self):
        """A link fails completely, so no time is measured on it."""
        times = links.LinkTimes()
        route = builders.build_route('a-1', 'b-1')
        times.record_stall(route, 1_000, 0)
        self.assertEqual(times.read('a', 'b', 0), 500.0)
        self.assertEqual(times.read('a', 'c', 0), 0.5)


class PrefixAffinityTest(unittest.TestCase):
    def test_weight_decays_and_size_is_bounded(self):
        """Cache events are lost, so a record of a prefix may be outdated.

        Without a decay, it would attract requests to a target that evicted
        the prefix long ago.
        """
        prefixes = affinity.PrefixAffinity(max_prefixes=2)
        for prefix in range(3):
            prefixes.record(prefix, (0, 4), 'a-1', 0)
        self.assertEqual(prefixes.find(0, (0, 4)), '')
        self.assertEqual(prefixes.find(2, (0, 4)), 'a-1')
        weights = [
            prefixes.read_weight(2, (0, 4), target, now)
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

    def test_entries_are_balanced_over_the_engines(self):
        counts = collections.Counter(
            target
            for entry in range(350)
            for target in self.choose(f'entry-{entry}', self.model)
        )
        self.assertEqual(len(counts), 60)
        self.assertLess(max(counts.values()), 2 * 350 * 6 / 60)

    def test_removed_engine_affects_only_its_entries(self):
        """An engine is removed.

        If all entries changed their candidates, the caches and connections
        of the whole fleet would be lost.
        """
        stages = self.model.stages[2:]
        smaller = documents.Model('text', '1', 8, stages)
        for entry in range(50):
            before = self.choose(f'entry-{entry}', self.model)
            after = self.choose(f'entry-{entry}', smaller)
            lost = before & {'engine-0'}
            self.assertEqual(len(before - after), len(lost))
