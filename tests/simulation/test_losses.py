"""Tests of the answers that callers get while engines are lost."""

from __future__ import annotations

import unittest

from structlog import testing

from tests.simulation import callers
from tests.simulation import mixes

SECONDS = 6
WORKLOADS = {'short': mixes.SHORT, 'long': mixes.LONG, 'wide': mixes.WIDE}


def simulate(workload, fault=lambda world: None, seconds=SECONDS):
    with testing.capture_logs():
        return callers.simulate(workload, 1, seconds, fault)


class LossTest(unittest.TestCase):
    def test_requests_are_on_time_without_a_fault(self):
        for name, workload in WORKLOADS.items():
            with self.subTest(name):
                results = simulate(workload)
                self.assertGreaterEqual(results.share('on_time'), 0.98)
                self.assertEqual(0, results.refused_runs)

    def test_no_request_is_refused_or_cut_if_engines_are_lost(self):
        """Guards against abandoned retries while other engines have capacity.

        Two engines of the fleet crash or become unresponsive under load.
        """
        for name, workload in WORKLOADS.items():
            for state in ('crashed', 'unresponsive'):
                with self.subTest(name, state=state):
                    results = simulate(
                        workload, mixes.lose_engines(2_500, 2, state)
                    )
                    self.assertEqual(0.0, results.share('refused', 'cut'))

    def test_results_do_not_depend_on_the_time_scale_of_the_workload(self):
        """Guards against limits that only fit the times of one workload."""
        for factor in (0.5, 2.0):
            with self.subTest(factor):
                workload = mixes.scale_times(mixes.WIDE, factor)
                results = simulate(workload, mixes.lose_engines(2_500, 2))
                self.assertGreaterEqual(results.share('on_time'), 0.85)
