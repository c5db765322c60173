"""Tests that the rules on runs find the violations that they cover."""

from __future__ import annotations

import unittest

import attrs

from tests import answer_rules
from tests import engine_rules
from tests import run_rules

RunEnd = answer_rules.RunEnd


def build_run(server='i-1', arrived_at=1_000, ended_at=5_000, **changes):
    """Build a run of the only request."""
    values = {
        'attempt': 'one',
        'server': server,
        'host': 'a',
        'arrived_at': arrived_at,
        'began_at': arrived_at,
        'first_event_at': arrived_at + 100,
        'ended_at': ended_at,
        'end': RunEnd.STOPPED,
    }
    values.update(changes)
    return answer_rules.Run(**values)


def build_stream(events, is_complete=True, status=200):
    """Build a stream of three events."""
    request = answer_rules.Request(
        'one', 'a', 1_000, 5_000, 21_000, is_complete
    )
    return run_rules.Stream(request, tuple(events), 3, status)


class OrderRuleTest(unittest.TestCase):
    def test_events_must_be_in_order(self):
        table = (
            ('whole', build_stream([0, 1, 2]), 0),
            ('refused', build_stream([], status=503), 0),
            ('cut', build_stream([0, 1], is_complete=False), 0),
            ('missing', build_stream([0, 2], is_complete=False), 1),
            ('twice', build_stream([0, 1, 1, 2]), 1),
            ('late', build_stream([1, 2], is_complete=False), 1),
            ('ends early', build_stream([0, 1]), 1),
            ('ends before the first', build_stream([]), 1),
        )
        for name, stream, count in table:
            with self.subTest(name):
                self.assertEqual(
                    count, len(run_rules.find_order_violations([stream]))
                )


class PauseTest(unittest.TestCase):
    def test_pauses_are_those_of_streams_in_progress(self):
        table = (
            ('across', (100, 250), [50]),
            ('ended before', (100, 150), []),
            ('begun later', (250, 300), []),
        )
        for name, times, expected in table:
            with self.subTest(name):
                stream = attrs.evolve(build_stream([0, 1]), times=times)
                self.assertEqual(
                    expected, run_rules.list_pauses([stream], 200)
                )


class AttemptRuleTest(unittest.TestCase):
    def test_runs_at_engines_that_go_on_count(self):
        runs = [build_run('i-1'), build_run('i-2')]
        table = (
            ('within', [], 0),
            ('same engine again', [build_run('i-2')], 0),
            ('third engine', [build_run('i-3')], 1),
            ('broken', [build_run('i-3', end=RunEnd.BROKEN)], 0),
            ('not begun', [build_run('i-3', began_at=None)], 0),
            ('another request', [build_run('i-3', attempt='two')], 0),
        )
        for name, more, count in table:
            with self.subTest(name):
                found = run_rules.find_attempt_violations([*runs, *more], 2)
                self.assertEqual(count, len(found))

    def test_runs_at_the_same_time_are_limited(self):
        table = (
            ('one after the other', [build_run(arrived_at=5_000)], 0),
            ('twice at an engine', [build_run(arrived_at=4_999)], 1),
            ('left open', [build_run(arrived_at=500, ended_at=None)], 1),
            ('two engines', [build_run('i-2')], 0),
            ('three engines', [build_run('i-2'), build_run('i-3')], 3),
        )
        for name, more, count in table:
            with self.subTest(name):
                found = run_rules.find_simultaneous_runs([build_run(), *more])
                self.assertEqual(count, len(found))

    def test_runs_end_with_their_request(self):
        request = build_stream([0]).request
        for ended_at, count in ((5_500, 0), (5_501, 1), (None, 1)):
            with self.subTest(ended_at):
                found = run_rules.find_work_after_callers(
                    [request], [build_run(ended_at=ended_at)]
                )
                self.assertEqual(count, len(found))


class RetryRuleTest(unittest.TestCase):
    BOUNDS = run_rules.RetryBounds(0.2, 1.0, 10_000)

    def find(self, repeats, requests=5, sent_at=1_000, at=2_000):
        arrivals = [
            engine_rules.Arrival(at, 'i-1', 'a', attempt='0')
            for _ in range(repeats + 1)
        ]
        return run_rules.find_retry_violations(
            arrivals,
            {str(number): sent_at for number in range(requests)},
            self.BOUNDS,
        )

    def test_repeats_are_limited_by_the_requests(self):
        # Five requests allow one repeat, beyond the slack of one.
        for repeats, count in ((0, 0), (2, 0), (3, 1)):
            with self.subTest(repeats):
                self.assertEqual(count, len(self.find(repeats)))

    def test_requests_of_the_window_before_count(self):
        for at, count in ((11_000, 0), (11_001, 1)):
            with self.subTest(at):
                self.assertEqual(count, len(self.find(2, at=at)))

    def test_probes_and_orders_are_no_repeats(self):
        arrival = engine_rules.Arrival(2_000, 'i-1', 'a', attempt='0')
        arrivals = [arrival] + [
            attrs.evolve(arrival, kind='reroute') for _ in range(9)
        ]
        self.assertEqual(
            [],
            run_rules.find_retry_violations(
                arrivals, {'0': 1_000}, self.BOUNDS
            ),
        )
