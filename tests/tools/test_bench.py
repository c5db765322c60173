"""Tests of how benchmarks compute their figures."""

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
    def test_tokens_in_transit_are_not_a_recovery(self) -> None:
        """Tokens that a stage sent before it crashed arrive after the crash.

        The gap at the caller starts after them; the first one would give a
        recovery time of a millisecond.
        """
        cases = (
            # arrivals in seconds, kill, milliseconds
            ((0.1, 0.2, 0.7, 0.71), 0.25, 450),
            ((0.1, 0.251, 0.252, 0.9, 0.91), 0.25, 650),
            ((0.1, 0.2), 0.25, None),
        )
        for arrivals, killed_at, expected in cases:
            with self.subTest(arrivals=arrivals):
                found = samples.compute_recovery_ms(list(arrivals), killed_at)
                if expected is None:
                    self.assertIsNone(found)
                    continue
                self.assertAlmostEqual(expected, found)

    def test_percentiles_are_values_that_occurred(self) -> None:
        values = [float(value) for value in range(1, 21)]
        self.assertEqual(10.0, samples.compute_percentile(values, 50))
        self.assertEqual(20.0, samples.compute_percentile(values, 99))
        self.assertEqual(1.0, samples.compute_percentile(values, 0))

    def test_failed_measurements_are_counted(self) -> None:
        collected = samples.Samples()
        collected.add(None)
        self.assertEqual({'count': 0, 'failed': 1}, collected.summarize())
        collected.add(5.0)
        self.assertEqual(1, collected.summarize()['failed'])

    def test_stream_with_a_missing_or_repeated_token_is_incomplete(
        self,
    ) -> None:
        def build(indexes):
            lines = [
                'event: tokens\ndata: '
                + json.dumps({'first_index': index, 'texts': ['a']})
                for index in indexes
            ]
            return '\n\n'.join([*lines, 'event: end\ndata: {}']).encode()

        count = bench_recovery.TOKENS
        self.assertTrue(bench_recovery.is_complete_stream(build(range(count))))
        for indexes in (range(1, count), range(count - 1), [0, *range(count)]):
            self.assertFalse(bench_recovery.is_complete_stream(build(indexes)))


class ControlTest(unittest.TestCase):
    def test_bytes_are_parsed_by_direction_and_kind(self) -> None:
        self.assertEqual(
            {
                ('sent', 'membership.Ping'): 120.0,
                ('received', 'membership.Ack'): 1000.0,
            },
            bench_control.parse_peer_bytes(METRICS),
        )

    def test_rates_include_kinds_without_an_earlier_value(self) -> None:
        before = bench_control.Usage(1.0, 10, {('sent', 'a'): 100.0})
        after = bench_control.Usage(
            1.5, 20, {('sent', 'a'): 300.0, ('sent', 'b'): 50.0}
        )
        used = bench_control.compare(before, after, 10.0)
        self.assertEqual(25.0, used['sent'])
        self.assertEqual(5.0, used['cpu_percent'])


class PaceTest(unittest.TestCase):
    def test_arrival_is_the_time_of_the_chunk_that_completes_an_event(
        self,
    ) -> None:
        recorder = pace_caller._Recorder(b'\n\n')
        for chunk, expected in ((b'a\n', 0), (b'\nb', 1), (b'\n\nc\n\n', 3)):
            recorder.append_chunk(chunk)
            self.assertEqual(expected, len(recorder.arrivals))

    def test_times_of_all_streams_are_aggregated(self) -> None:
        stream_times = [
            bench_pace.StreamTimes(1.0, [1.25, 2.0], 0),
            bench_pace.StreamTimes(1.0, [1.125, 1.375], 2),
        ]
        window = bench_pace.Window(1.2, 2.0, {'entry': 0.2})
        self.assertEqual(25.0, window.compute_cpu_percent('entry'))
        figures = bench_pace.summarize(stream_times, window)
        # Two of four tokens in 0.8 s.
        self.assertEqual(2, figures['tokens_per_s'])
        self.assertEqual(2, figures['refusals'])
        self.assertEqual(125.0, figures['first_token_ms']['p50'])
        self.assertEqual(250.0, figures['between_tokens_ms']['p50'])
        self.assertEqual(750.0, figures['between_tokens_ms']['p99'])

    def test_incomplete_stream_raises_an_error(self) -> None:
        """A token of a stream is lost.

        Without the check, the stream would appear as one with a longer time
        between two tokens.
        """
        count = bench_pace.TOKENS
        arrivals = [float(second) for second in range(count + 1)]
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
            events = '\n\n'.join([*texts, end])
            lines = '\n'.join([*frames, json.dumps({'end': count})])
            for read, body in (
                (bench_pace.parse_entry_stream, events),
                (bench_pace.parse_engine_stream, lines),
            ):
                stream = pace_caller.Stream(0.0, arrivals, 0, body)
                with self.subTest(lost=lost, read=read.__name__):
                    if lost is None:
                        self.assertEqual(count, len(read(stream).tokens))
                        continue
                    with self.assertRaises(ConnectionError):
                        read(stream)


class BenchTest(unittest.TestCase):
    def test_failed_benchmark_is_listed_with_the_figures_of_the_others(
        self,
    ) -> None:
        """One benchmark fails; the run must not appear complete."""
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
