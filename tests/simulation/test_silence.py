"""Tests of sound engines that are silent for a second."""

from __future__ import annotations

import unittest

from structlog import testing

from tests.simulation import callers
from tests.simulation import conditions
from tests.simulation import mixes

SECONDS = 16
SILENCE_MS = 1_000
MAX_CUT_SHARE = 1 / 100
WORKLOADS = {'mesh': mixes.LONG, 'collectors': mixes.WIDE}


class SilenceTest(unittest.TestCase):
    def test_silent_engine_is_used_again_when_it_goes_on(self):
        """Guards against sound engines that count as lost or as ended."""
        for name, workload in WORKLOADS.items():
            with self.subTest(name), testing.capture_logs() as logs:
                results = callers.simulate(
                    workload,
                    1,
                    SECONDS,
                    conditions.pause_engines(1, 1_000, SILENCE_MS),
                )
                events = [line['event'] for line in logs]
                self.assertIn('server_suspected', events)
                self.assertIn('suspicion_contradicted', events)
                self.assertNotIn('server_ended', events)
                self.assertNotIn('links_lost', events)
                self.assertLessEqual(
                    results.share('cut', 'refused'), MAX_CUT_SHARE
                )
