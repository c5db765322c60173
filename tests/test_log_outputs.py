"""Tests of the non-blocking, rate-limited output of log lines."""

from __future__ import annotations

import os
import unittest

from tests import builders
from thornspool import log_outputs


class BoundedOutputTest(unittest.TestCase):
    def setUp(self):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.clock = builders.FakeClock()
        self.output = log_outputs.BoundedOutput(writer, self.clock)

    def read(self):
        os.set_blocking(self.reader, False)
        try:
            return os.read(self.reader, 1_000_000).decode()
        except BlockingIOError:
            return ''

    def test_does_not_block_when_the_reader_stops(self):
        """Guards against a blocked event loop when the log collector stops.

        The collector no longer reads the pipe, so its buffer fills and a
        blocking write would delay every request.
        """
        for _ in range(3_000):
            self.output.warning('x' * 100)
        self.assertGreater(self.output.dropped, 1_000)
        while self.read():
            self.output._flush()
        self.output.warning('after')
        self.assertIn('log_lines_left_out count=', self.read())

    def test_limits_the_rate_and_writes_the_number_of_dropped_lines(self):
        for _ in range(int(log_outputs.BURST_LINES) + 50):
            self.output.info('line')
        self.assertEqual(50, self.output.dropped)
        self.clock.advance(1_000)
        self.output.info('next')
        self.assertIn('count=50\nnext\n', self.read())

    def test_warnings_are_exempt_from_the_rate_limit(self):
        for _ in range(int(log_outputs.BURST_LINES) + 50):
            self.output.info('line')
        self.read()
        self.output.warning('refused')
        self.assertIn('refused', self.read())
