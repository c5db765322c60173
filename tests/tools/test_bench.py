"""Tests of what measurements conclude from what they saw."""

from __future__ import annotations

import contextlib
import io
import json
import unittest
from unittest import mock

from tools import bench
from tools import bench_control
from tools import bench_pace
from tools import bench_recovery
from tools import pace_caller
from tools import samples

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
                found = samples.find_recovery_ms(list(arrivals), killed_at)
                if expected is None:
                    self.assertIsNone(found)
                    continue
                self.assertAlmostEqual(expected, found)

    def test_percentiles_are_values_that_occurred(self) -> None:
        values = [float(value) for value in range(1, 21)]
        self.assertEqual(10.0, samples.read_percentile(values, 50))
        self.assertEqual(20.0, samples.read_percentile(values, 99))
        self.assertEqual(1.0, samples.read_percentile(values, 0))

    def test_failed_tries_are_counted_and_not_dropped(self) -> None:
        taken = samples.Samples()
        taken.add(None)
        self.assertEqual({'count': 0, 'failed': 1}, taken.sum_up())
        taken.add(5.0)
        self.assertEqual(1, taken.sum_up()['failed'])

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


class PaceTest(unittest.TestCase):
    def test_token_is_timed_by_the_chunk_that_completes_it(self) -> None:
        recorder = pace_caller._Recorder(b'\n\n')
        for chunk, whole in ((b'a\n', 0), (b'\nb', 1), (b'\n\nc\n\n', 3)):
            recorder.note(chunk)
            self.assertEqual(whole, len(recorder.arrivals))

    def test_times_are_those_of_all_streams_in_order(self) -> None:
        answers = [
            bench_pace.Answer(1.0, [1.25, 2.0], 0),
            bench_pace.Answer(1.0, [1.125, 1.375], 2),
        ]
        window = bench_pace.Window(1.2, 2.0, {'entry': 0.2})
        self.assertEqual(25.0, window.read_percent('entry'))
        summed = bench_pace.sum_up(answers, window)
        # Two of four tokens in 0.8 s.
        self.assertEqual(2, summed['tokens_per_s'])
        self.assertEqual(2, summed['refusals'])
        self.assertEqual(125.0, summed['first_token_ms']['p50'])
        self.assertEqual(250.0, summed['between_tokens_ms']['p50'])
        self.assertEqual(750.0, summed['between_tokens_ms']['p99'])

    def test_answer_that_is_not_whole_gives_no_figure(self) -> None:
        """A token is lost on the way.

        Its stream would show one longer gap and look like a slow one.
        """
        count = bench_pace.TOKENS
        arrivals = [float(one) for one in range(count + 1)]
        for lost in (None, 0, 5, count - 1):
            texts = [
                'event: tokens\ndata: '
                + json.dumps({'first_index': index, 'texts': ['a']})
                for index in range(count)
                if index != lost
            ]
            frames = [
                json.dumps({'index': index})
                for index in range(count)
                if index != lost
            ]
            end = f'event: end\ndata: {{"count": {count}}}'
            whole = '\n\n'.join([*texts, end])
            lines = '\n'.join([*frames, json.dumps({'end': count})])
            for read, body in (
                (bench_pace.read_entry_answer, whole),
                (bench_pace.read_engine_answer, lines),
            ):
                stream = pace_caller.Stream(0.0, arrivals, 0, body)
                with self.subTest(lost=lost, read=read.__name__):
                    if lost is None:
                        self.assertEqual(count, len(read(stream).tokens))
                        continue
                    with self.assertRaises(ConnectionError):
                        read(stream)


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
