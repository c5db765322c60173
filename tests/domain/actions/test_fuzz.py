"""Stateful fuzzing of the pure machines against a simple oracle."""

from __future__ import annotations

import collections
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.domain.actions import world
from thornspool.domain.actions import results

HISTORIES = 2_000
COUNTS: collections.Counter[str] = collections.Counter()

entries = strategies.integers(0, 2)
sendable = strategies.sampled_from(['a', 'a', 'b', 'dedup', 'dedup', 'later'])
digests = strategies.sampled_from(['one', 'one', 'one', 'two'])


class ActionsMachine(stateful.RuleBasedStateMachine):
    """Histories of callers, faults and time; the world checks each step."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world.World()

    @stateful.rule(index=entries, key=sendable, via=entries, digest=digests)
    def send(self, index: int, key: str, via: int, digest: str) -> None:
        self.world.send(index, key, via, digest)

    @stateful.rule(key=sendable, via=entries)
    def send_everywhere(self, key: str, via: int) -> None:
        for index in range(3):
            self.world.send(index, key, via, 'one')

    @stateful.rule(index=entries)
    def send_bound(self, index: int) -> None:
        name = self.world.entries[index].name
        self.world.send(index, f'bound@{name}', index, 'one')

    @stateful.rule(
        number=strategies.integers(0, 9),
        how=strategies.sampled_from(world.HOWS),
    )
    def step(self, number: int, how: str) -> None:
        self.world.step(number, how)

    @stateful.rule(count=strategies.integers(1, 8))
    def deliver(self, count: int) -> None:
        for _ in range(count):
            self.world.step(0, 'deliver')

    @stateful.rule(
        milliseconds=strategies.sampled_from([10, 60, 600, 2_100, 6_000])
    )
    def advance(self, milliseconds: int) -> None:
        self.world.advance(milliseconds)

    @stateful.rule(index=entries)
    def freeze_or_wake(self, index: int) -> None:
        entry = self.world.entries[index]
        entry.frozen = not entry.frozen

    @stateful.rule(index=entries)
    def kill(self, index: int) -> None:
        self.world.kill(index)

    @stateful.rule()
    def fail_or_restore_platform(self) -> None:
        self.world.down = not self.world.down

    @stateful.rule(index=entries)
    def fall_back(self, index: int) -> None:
        self.world.fall_back(index)

    @stateful.rule(index=entries)
    def fall_silent(self, index: int) -> None:
        self.world.fall_silent(index)

    def teardown(self) -> None:
        """Check that no key is held for good without a reason."""
        self.world.settle()
        COUNTS['histories'] += 1
        COUNTS.update(type(r).__name__ for r in self.world.told.values())
        COUNTS['executions'] += len(self.world.executions)
        for key in sorted(set(self.world.key_of.values())):
            owner = self.world.find(key.partition('@')[2])
            if key not in world.SLOTS and owner is None:
                continue
            index = self.world.entries.index(owner) if owner else 0
            attempt = self.world.send(index, key, 0, 'one')
            self.world.settle()
            result = self.world.told[attempt]
            if isinstance(result, results.ActionRefused):
                attempt = self.world.send(0, key, 0, 'two')
                self.world.settle()
                result = self.world.told[attempt]
            if not isinstance(result, results.ActionDone):
                COUNTS['left unknown'] += 1
                assert isinstance(result, results.ActionUnknown), result
                assert self.world.may_stay_unknown(key), (key, result)


class FuzzTest(unittest.TestCase):
    def test_no_history_runs_a_key_twice_or_denies_what_ran(self) -> None:
        """Faults of network, platform, targets and hosts meet at random.

        A payout that ran twice, a "not run" for what ran, or a hold that
        nobody can place again would show up as a failed check of the model.
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
