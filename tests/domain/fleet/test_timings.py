"""Tests of the timing of a stream."""

from __future__ import annotations

import unittest

from thornspool.domain.fleet import timings


class StreamTimingTest(unittest.TestCase):
    def setUp(self):
        self.timing = timings.StreamTiming()

    def test_an_undisturbed_stream_attributes_its_time_to_the_engines(self):
        for now in (50, 90, 190, 230):
            self.timing.record_event(now)
        self.assertEqual('engines', self.timing.first_cause)
        self.assertEqual(100, self.timing.longest_interval_ms)
        self.assertEqual('engines', self.timing.pause_cause)

    def test_the_first_disturbance_of_an_interval_is_its_cause(self):
        self.timing.record_event(0)
        self.timing.record_disruption('engine_lost')
        self.timing.record_disruption('refused_by_engine_503')
        self.timing.record_event(300)
        self.timing.record_event(400)
        self.assertEqual(
            ('engine_lost', 300),
            (self.timing.pause_cause, self.timing.longest_interval_ms),
        )

    def test_a_wait_for_capacity_delays_the_first_event(self):
        self.timing.record_wait(10)
        self.timing.record_wait(35)
        self.timing.record_send(60)
        self.timing.record_event(100)
        self.assertEqual(50, self.timing.waited_ms)
        self.assertEqual('waited_for_room', self.timing.first_cause)
