"""Tests of the answers that callers get while engines are lost."""

from __future__ import annotations

import unittest

from structlog import testing

from tests import run_rules
from tests.simulation import callers
from tests.simulation import mixes

SECONDS = 6
LOST_AT_MS = 2_500
MIN_ON_TIME_SHARE = 0.85
"""Least share of requests that are on time while engines are lost."""

WORKLOADS = {'short': mixes.SHORT, 'long': mixes.LONG, 'wide': mixes.WIDE}


def simulate(workload, fault=lambda world: None, seconds=SECONDS):
    with testing.capture_logs():
        return callers.simulate(workload, 1, seconds, fault)


def list_pauses(workload, state, seed):
    """List the times from a loss to the next event of each stream."""
    lost_at = []

    async def lose(simulated):
        await mixes.lose_engines(LOST_AT_MS, 2, state)(simulated)
        lost_at.append(simulated.clock.now())

    with testing.capture_logs():
        results = callers.simulate(workload, seed, SECONDS, lose)
    return run_rules.list_pauses(results.streams, lost_at[0])


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

    def test_streams_continue_within_the_target_after_a_loss(self):
        """Guards against waiting for engines that are really gone."""
        for name, workload in WORKLOADS.items():
            for state in ('crashed', 'unresponsive'):
                for seed in (1, 2):
                    with self.subTest(name, state=state, seed=seed):
                        pauses = list_pauses(workload, state, seed)
                        self.assertGreater(len(pauses), 0)
                        in_time = sum(one <= workload.gap_ms for one in pauses)
                        self.assertGreaterEqual(
                            in_time, MIN_ON_TIME_SHARE * len(pauses)
                        )

    def test_results_do_not_depend_on_the_time_scale_of_the_workload(self):
        """Guards against limits that only fit the times of one workload."""
        for factor in (0.5, 2.0):
            with self.subTest(factor):
                workload = mixes.scale_times(mixes.WIDE, factor)
                results = simulate(workload, mixes.lose_engines(2_500, 2))
                self.assertGreaterEqual(
                    results.share('on_time'), MIN_ON_TIME_SHARE
                )
