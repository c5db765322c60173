"""Stateful fuzzing of the state machines against a simple oracle."""

from __future__ import annotations

import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.domain.actions import simulation
from thornspool.domain.actions import results

HISTORIES = 2_000
COUNTS: collections.Counter[str] = collections.Counter()

entries = strategies.integers(0, 2)
sendable = strategies.sampled_from(['a', 'a', 'b', 'dedup', 'dedup', 'later'])
digests = strategies.sampled_from(['one', 'one', 'one', 'two'])


class ActionsMachine(stateful.RuleBasedStateMachine):
    """Histories of calls, faults and time; the oracle checks each step."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = simulation.Simulation()

    @stateful.rule(index=entries, key=sendable, via=entries, digest=digests)
    def send(self, index: int, key: str, via: int, digest: str) -> None:
        self.simulation.send(index, key, via, digest)

    @stateful.rule(key=sendable, via=entries)
    def send_everywhere(self, key: str, via: int) -> None:
        for index in range(3):
            self.simulation.send(index, key, via, 'one')

    @stateful.rule(index=entries)
    def send_bound(self, index: int) -> None:
        name = self.simulation.entries[index].name
        self.simulation.send(index, f'bound@{name}', index, 'one')

    @stateful.rule(
        number=strategies.integers(0, 9),
        mode=strategies.sampled_from(simulation.MODES),
    )
    def step(self, number: int, mode: str) -> None:
        self.simulation.step(number, mode)

    @stateful.rule(count=strategies.integers(1, 8))
    def deliver(self, count: int) -> None:
        for _ in range(count):
            self.simulation.step(0, 'deliver')

    @stateful.rule(
        milliseconds=strategies.sampled_from([10, 60, 600, 2_100, 6_000])
    )
    def advance(self, milliseconds: int) -> None:
        self.simulation.advance(milliseconds)

    @stateful.rule(index=entries)
    def suspend_or_resume(self, index: int) -> None:
        entry = self.simulation.entries[index]
        entry.suspended = not entry.suspended

    @stateful.rule(index=entries)
    def kill(self, index: int) -> None:
        self.simulation.kill(index)

    @stateful.rule()
    def fail_or_restore_platform(self) -> None:
        self.simulation.down = not self.simulation.down

    @stateful.rule(index=entries)
    def propose_locally(self, index: int) -> None:
        self.simulation.propose_locally(index)

    @stateful.rule(index=entries)
    def time_out_ledger(self, index: int) -> None:
        self.simulation.time_out_ledger(index)

    def teardown(self) -> None:
        """Check that no key is held forever without a reason."""
        self.simulation.settle()
        COUNTS['histories'] += 1
        COUNTS.update(
            type(r).__name__
            for r in self.simulation.results_by_attempt.values()
        )
        COUNTS['executions'] += len(self.simulation.executions)
        for key in sorted(set(self.simulation.key_of.values())):
            owner = self.simulation.find(key.partition('@')[2])
            if key not in simulation.SLOTS and owner is None:
                continue
            index = self.simulation.entries.index(owner) if owner else 0
            attempt = self.simulation.send(index, key, 0, 'one')
            self.simulation.settle()
            result = self.simulation.results_by_attempt[attempt]
            if isinstance(result, results.ActionRefused):
                attempt = self.simulation.send(0, key, 0, 'two')
                self.simulation.settle()
                result = self.simulation.results_by_attempt[attempt]
            if not isinstance(result, results.ActionDone):
                COUNTS['left unknown'] += 1
                assert isinstance(result, results.ActionUnknown), result
                assert self.simulation.may_stay_unknown(key), (key, result)


class FuzzTest(unittest.TestCase):
    def test_no_history_runs_a_key_twice_or_misreports_it(self) -> None:
        """Network, platform, targets and hosts fail in random combinations.

        The oracle fails when a payout runs twice, when a call that ran is
        answered "not run", or when a key can never run again without reason.
        """
        COUNTS.clear()
        stateful.run_state_machine_as_test(
            ActionsMachine,
            settings=hypothesis.settings(
                max_examples=HISTORIES,
                stateful_step_count=30,
                derandomize=True,
                database=None,
                deadline=None,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )
        print(dict(COUNTS))
        self.assertGreaterEqual(COUNTS['histories'], HISTORIES)
        self.assertGreater(COUNTS['executions'], HISTORIES // 2)
        self.assertGreater(COUNTS['ActionNotRun'], HISTORIES // 10)
