"""Tests of streams whose engines stall together and then continue."""

from __future__ import annotations

import functools
import unittest

import attrs
from structlog import testing

from tests import answer_rules
from tests import run_rules
from tests.simulation import callers
from tests.simulation import conditions
from tests.simulation import mixes
from tests.simulation import stalls
from tests.simulation import world

SECONDS = 9
ATTEMPTS = 2
LEAVING_SHARE = 0.1
WORKLOADS = {'mesh': mixes.LONG, 'collectors': mixes.WIDE}
SEEDS = {'mesh': 1, 'collectors': 2}


@attrs.frozen
class Scenario:
    """Stalls, and what happens beside them.

    Attributes
    ----------
    share : float
        Share of the engines that stall together.
    retry_slack : float
        Retries that all entries may send beyond the ratio.
    has_retries : bool
        Whether other requests leave any retries.
    """

    share: float
    retry_slack: float = world.RETRY_SLACK
    has_retries: bool = True


SCENARIOS = {
    'a quarter of the engines': Scenario(0.25),
    'half of the engines': Scenario(0.5),
    'few retries': Scenario(0.25, retry_slack=12.0),
    'no retries': Scenario(0.25, has_retries=False),
}


@functools.cache
def simulate(name, scenario):
    """Simulate stalls beside changes of the configuration.

    Some callers leave, and all lose their patience.
    """
    seed = SEEDS[name]
    workload = attrs.evolve(
        WORKLOADS[name], retry_slack=SCENARIOS[scenario].retry_slack
    )
    faults = [
        stalls.stall_engines(seed, SCENARIOS[scenario].share),
        stalls.change_configurations(seed),
    ]
    if not SCENARIOS[scenario].has_retries:
        faults.append(stalls.use_up_retries())
    with testing.capture_logs():
        return callers.simulate(
            workload,
            seed,
            SECONDS,
            conditions.combine(*faults),
            callers.build_patience(workload, LEAVING_SHARE),
        )


class StallTest(unittest.TestCase):
    def check_all(self, find_violations):
        """Check a rule in all scenarios."""
        for name in WORKLOADS:
            for scenario in SCENARIOS:
                with self.subTest(name, scenario=scenario):
                    results = simulate(name, scenario)
                    self.assertGreater(results.total, 0)
                    self.assertEqual([], find_violations(results, scenario))

    def test_streams_are_not_cut_while_their_engines_continue(self):
        """Guards against runs that are left before another one has begun."""
        self.check_all(
            lambda results, scenario: answer_rules.find_abandoned_requests(
                [one.request for one in results.streams], results.runs
            )
        )

    def test_callers_are_not_kept_waiting_without_a_run(self):
        """Guards against streams that wait for a path until callers leave."""
        self.check_all(
            lambda results, scenario: answer_rules.find_starved_requests(
                [one.request for one in results.streams], results.runs
            )
        )

    def test_events_arrive_once_and_in_order(self):
        self.check_all(
            lambda results, scenario: run_rules.find_order_violations(
                results.streams
            )
        )

    def test_runs_stay_within_the_attempts_of_the_route(self):
        self.check_all(
            lambda results, scenario: run_rules.find_attempt_violations(
                results.runs, ATTEMPTS
            )
        )

    def test_no_engine_has_two_runs_of_a_request(self):
        self.check_all(
            lambda results, scenario: run_rules.find_simultaneous_runs(
                results.runs
            )
        )

    def test_no_run_is_left_after_the_end_of_a_request(self):
        self.check_all(
            lambda results, scenario: run_rules.find_work_after_callers(
                [one.request for one in results.streams], results.runs
            )
        )

    def test_retries_stay_within_the_budget(self):
        self.check_all(
            lambda results, scenario: run_rules.find_retry_violations(
                results.arrivals,
                results.sent_at,
                run_rules.RetryBounds(
                    world.RETRY_RATIO,
                    SCENARIOS[scenario].retry_slack,
                    world.RETRY_WINDOW_MS,
                ),
            )
        )
