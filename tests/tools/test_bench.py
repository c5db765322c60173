"""Tests of what measurements conclude from what they saw."""

from __future__ import annotations

import contextlib
import io
import json
import unittest
from unittest import mock

from tools import bench
from tools import bench_control
from tools import bench_recovery

METRICS = """\
# TYPE thornspool_peer_bytes_total counter
thornspool_peer_bytes_total{direction="sent",kind="membership.Ping"} 120.0
thornspool_peer_bytes_total{direction="received",kind="membership.Ack"} 1e3
thornspool_events_total{event="retry"} 3
"""


class RecoveryTest(unittest.TestCase):
    def test_tokens_under_way_are_no_recovery(self) -> None:
        """A stage dies, and tokens that it had sent still arrive.

        The caller's wait starts after them; counting the first one would
        tell a recovery of a millisecond.
        """
        cases = (
            # arrivals in seconds, kill, milliseconds
            ((0.1, 0.2, 0.7, 0.71), 0.25, 450),
            ((0.1, 0.251, 0.252, 0.9, 0.91), 0.25, 650),
            ((0.1, 0.2), 0.25, None),
        )
        for arrivals, killed_at, expected in cases:
            with self.subTest(arrivals=arrivals):
                found = bench_recovery.find_recovery_ms(
                    list(arrivals), killed_at
                )
                if expected is None:
                    self.assertIsNone(found)
                    continue
                self.assertAlmostEqual(expected, found)

    def test_percentiles_are_values_that_occurred(self) -> None:
        values = [float(value) for value in range(1, 21)]
        self.assertEqual(10.0, bench_recovery.read_percentile(values, 50))
        self.assertEqual(20.0, bench_recovery.read_percentile(values, 99))
        self.assertEqual(1.0, bench_recovery.read_percentile(values, 0))

    def test_failed_tries_are_counted_and_not_dropped(self) -> None:
        samples = bench_recovery.Samples()
        samples.add(None)
        self.assertEqual({'count': 0, 'failed': 1}, samples.sum_up())
        samples.add(5.0)
        self.assertEqual(1, samples.sum_up()['failed'])

    def test_stream_with_a_gap_is_not_whole(self) -> None:
        def build(indexes):
            lines = [
                'event: tokens\ndata: '
                + json.dumps({'first_index': index, 'texts': ['a']})
                for index in indexes
            ]
            return '\n\n'.join([*lines, 'event: end\ndata: {}']).encode()

        count = bench_recovery.TOKENS
        self.assertTrue(bench_recovery.is_whole(build(range(count))))
        for indexes in (range(1, count), range(count - 1), [0, *range(count)]):
            self.assertFalse(bench_recovery.is_whole(build(indexes)))


class ControlTest(unittest.TestCase):
    def test_bytes_are_read_by_direction_and_kind(self) -> None:
        self.assertEqual(
            {
                ('sent', 'membership.Ping'): 120.0,
                ('received', 'membership.Ack'): 1000.0,
            },
            bench_control.parse_peer_bytes(METRICS),
        )

    def test_rates_count_kinds_that_are_new(self) -> None:
        before = bench_control.Usage(1.0, 10, {('sent', 'a'): 100.0})
        after = bench_control.Usage(
            1.5, 20, {('sent', 'a'): 300.0, ('sent', 'b'): 50.0}
        )
        used = bench_control.compare(before, after, 10.0)
        self.assertEqual(25.0, used['sent'])
        self.assertEqual(5.0, used['cpu_percent'])


class BenchTest(unittest.TestCase):
    def test_failed_measurement_is_named_beside_the_others(self) -> None:
        """One measurement of many fails; the run must not look whole."""
        runs = {
            'latency': mock.Mock(return_value={'added_latency_ms': 1}),
            'relay': mock.Mock(side_effect=ConnectionError('refused')),
        }
        output = io.StringIO()
        with (
            mock.patch.dict(bench.RUNS, runs, clear=True),
            contextlib.redirect_stdout(output),
        ):
            code = bench.main([])
        last = json.loads(output.getvalue().splitlines()[-1])
        self.assertEqual(1, code)
        self.assertEqual(1, last['added_latency_ms'])
        self.assertEqual({'relay': 'ConnectionError: refused'}, last['errors'])
