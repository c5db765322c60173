"""Tests of the detection of lost engines from stalled streams."""

from __future__ import annotations

import unittest

from thornspool.domain.paths import stalls


def build_streams(count, idle_intervals, engines=('a-0', 'a-1')):
    return [(engines, idle_intervals)] * count


class SuspectsTest(unittest.TestCase):
    def test_engines_shared_by_several_stalled_streams_are_suspects(self):
        streams = [
            *build_streams(3, 2.0, ('a-0', 'a-1')),
            *build_streams(3, 2.0, ('a-2', 'a-1')),
            *build_streams(4, 0.5, ('a-2', 'a-3')),
        ]
        self.assertEqual(['a-1', 'a-0'], stalls.find_suspects(streams))

    def test_all_engines_of_a_single_stalled_stream_are_suspects(self):
        """Guards against undetected crashes on an entry with few streams."""
        self.assertEqual(
            ['a-0', 'a-1'], stalls.find_suspects(build_streams(1, 2.0))
        )

    def test_engines_with_the_most_stalled_streams_come_first(self):
        streams = [
            *build_streams(1, 2.0, ('a-0', 'a-1')),
            *build_streams(1, 2.0, ('a-2', 'a-1')),
        ]
        self.assertEqual('a-1', stalls.find_suspects(streams)[0])

    def test_an_engine_with_an_active_stream_is_no_suspect(self):
        """Guards against a probe after each stall on a busy entry."""
        streams = [
            *build_streams(2, 2.0, ('a-0', 'a-1')),
            *build_streams(1, 0.5, ('a-0', 'a-3')),
        ]
        self.assertEqual(['a-1'], stalls.find_suspects(streams))

    def test_an_engine_with_mostly_active_streams_is_no_suspect(self):
        streams = build_streams(3, 2.0) + build_streams(4, 0.5)
        self.assertEqual([], stalls.find_suspects(streams))

    def test_usual_event_intervals_yield_no_suspects(self):
        self.assertEqual([], stalls.find_suspects(build_streams(5, 1.2)))

    def test_without_streams_there_are_no_suspects(self):
        self.assertEqual([], stalls.find_suspects([]))


class EventIntervalTest(unittest.TestCase):
    def test_the_mean_follows_the_recorded_intervals(self):
        interval = stalls.EventInterval()
        self.assertIsNone(interval.mean_ms)
        for _ in range(400):
            interval.record(40)
        self.assertAlmostEqual(40, interval.mean_ms, delta=1)
        for _ in range(400):
            interval.record(150)
        self.assertAlmostEqual(150, interval.mean_ms, delta=1)

    def test_the_mean_of_a_stream_adapts_within_a_few_events(self):
        interval = stalls.EventInterval(stalls.STREAM_INTERVAL_WEIGHT)
        for interval_ms in (120, *[45] * 12):
            interval.record(interval_ms)
        self.assertLess(interval.mean_ms, 60)

    def test_the_mean_stays_within_the_limits(self):
        interval = stalls.EventInterval()
        interval.record(1)
        self.assertEqual(stalls.MIN_EVENT_INTERVAL_MS, interval.mean_ms)
        for _ in range(400):
            interval.record(60_000)
        self.assertAlmostEqual(
            stalls.MAX_EVENT_INTERVAL_MS, interval.mean_ms, delta=1
        )
