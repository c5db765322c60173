"""Tests of which attempts are dispatched."""

from __future__ import annotations

import typing
import unittest

import attrs

from tests.domain.actions import builders
from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results
from thornspool.domain.actions import runner

GIVEN = events.LedgerAnswered('a1', messages.GrantGiven('a1', 1, False))
DISPATCH = events.Dispatch('a1', 0, 1)


def build_runner(**changes: typing.Any) -> runner.Runner:
    """Build a runner that has asked for the grant of attempt a1."""
    made = runner.Runner()
    made.request(builders.build_requested(**changes), 0)
    return made


def find_result(
    commands: list[events.RunnerCommand],
) -> results.ActionResult:
    """Return the only answer among commands."""
    (answer,) = [c for c in commands if isinstance(c, events.Answer)]
    return answer.result


class RunnerTest(unittest.TestCase):
    def test_voided_attempt_never_runs(self) -> None:
        """A caller was told "not run", and the grant arrives afterwards."""
        silent = events.LedgerSilent('a1')
        table = {
            'silence': (silent, 50),
            'deadline': (events.DeadlinePassed('a1'), 100),
        }
        for name, (event, now) in table.items():
            with self.subTest(name):
                made = build_runner()
                told = find_result(made.handle(event, now))
                self.assertIsInstance(told, results.ActionNotRun)
                for late in (GIVEN, events.TargetLost('a1'), GIVEN):
                    self.assertEqual([], made.handle(late, now))
                report = made.report('a1')
                self.assertIs(messages.AttemptState.VOID, report.state)

    def test_grant_after_the_deadline_is_given_up(self) -> None:
        """A paused process wakes with a grant; its caller has moved on."""
        made = build_runner()
        commands = made.handle(GIVEN, 100)
        self.assertNotIn(DISPATCH, commands)
        self.assertIsInstance(commands[-1], events.Settle)
        not_run = results.ActionNotRun(results.NOT_RUN_DEADLINE, 500, True)
        self.assertEqual(not_run, find_result(commands))

    def test_doubled_verdict_dispatches_once(self) -> None:
        """The network or a second writer delivers the grant twice."""
        made = build_runner()
        self.assertEqual([DISPATCH], made.handle(GIVEN, 1))
        self.assertEqual([], made.handle(GIVEN, 2))

    def test_what_a_targets_failure_comes_to(self) -> None:
        """Targets refuse connections and lose answers, one after another."""
        unreached = events.TargetUnreached('a1')
        lost = events.TargetLost('a1')
        table = {
            'unreached': (False, [unreached, unreached], results.ActionNotRun),
            'lost': (False, [lost], results.ActionUnknown),
            'unreached, lost': (
                False,
                [unreached, lost],
                results.ActionUnknown,
            ),
            'lost thrice': (True, [lost] * 3, results.ActionUnknown),
            'lost, unreached': (
                True,
                [lost, unreached, unreached],
                results.ActionUnknown,
            ),
        }
        for name, (deduplicates, failures, expected) in table.items():
            with self.subTest(name):
                made = build_runner(targets=2, deduplicates=deduplicates)
                made.handle(GIVEN, 1)
                for failure in failures[:-1]:
                    (command,) = made.handle(failure, 2)
                    self.assertIsInstance(command, events.Dispatch)
                told = find_result(made.handle(failures[-1], 3))
                self.assertIsInstance(told, expected)

    def test_what_a_holders_word_comes_to(self) -> None:
        """The key is held by an attempt of another entry, in any state."""
        states = messages.AttemptState
        ask = events.AskHolder('a1', 'b1', 'r2', 'tcp://r2')
        table = {
            (states.VOID, False): events.RequestGrant('a1', 'b1', False),
            (states.RUNNING, False): attrs.evolve(ask, wait=True),
            (states.GONE, True): events.RequestGrant('a1', 'b1', True),
            (states.GONE, False): results.UNKNOWN_RUNNER_GONE,
        }
        held = records.Record(
            records.RecordState.GRANTED, 'b1', 'r2', 'tcp://r2', 'one'
        )
        found = messages.RecordFound('a1', held)
        for (state, deduplicates), expected in table.items():
            with self.subTest(state=state, deduplicates=deduplicates):
                made = build_runner(deduplicates=deduplicates)
                (asked,) = made.handle(events.LedgerAnswered('a1', found), 1)
                self.assertEqual(ask, asked)
                report = messages.AttemptReport('b1', state)
                answered = events.HolderAnswered('a1', report)
                commands = made.handle(answered, 2)
                if isinstance(expected, str):
                    told = find_result(commands)
                    self.assertEqual(
                        results.ActionUnknown(expected, 500), told
                    )
                else:
                    self.assertEqual([expected], commands)

    def test_outcome_stays_in_memory_until_it_is_recorded(self) -> None:
        """Another entry asks before the ledger has the outcome."""
        made = build_runner()
        made.handle(GIVEN, 1)
        made.handle(events.TargetAnswered('a1', builders.DONE), 2)
        self.assertEqual(builders.DONE, made.report('a1').outcome)
        made.handle(events.RecordConfirmed('a1'), 3)
        self.assertEqual(0, made.open_count)

    def test_outage_leaves_nothing_behind(self) -> None:
        """An outage lasts for hours and callers keep sending actions.

        A release for each would fill the memory; what was never proposed
        needs none.
        """
        for written, expected in ((False, 0), (True, 1)):
            with self.subTest(written=written):
                made = build_runner()
                down = messages.LedgerUnavailable('a1', 200, written)
                made.handle(events.LedgerAnswered('a1', down), 1)
                self.assertEqual(expected, made.open_count)

    def test_too_many_open_attempts_are_refused(self) -> None:
        """Outcomes can not be recorded, and memory must not grow."""
        made = runner.Runner(runner.RunnerSettings(max_attempts=1))
        made.request(builders.build_requested(), 0)
        second = builders.build_requested('a2', name='swan/b')
        told = find_result(made.request(second, 0))
        self.assertIsInstance(told, results.ActionNotRun)

    def test_resent_key_is_not_denied_without_the_ledger(self) -> None:
        """A caller lost its first answer and sends again in an outage.

        The first call may have run, so "not run" would be a lie.
        """
        made = build_runner(resent=True)
        down = messages.LedgerUnavailable('a1', 200, False)
        told = find_result(made.handle(events.LedgerAnswered('a1', down), 1))
        self.assertIsInstance(told, results.ActionUnknown)
        late = builders.build_requested('a2', resent=True, deadline=0)
        told = find_result(made.request(late, 1))
        self.assertIsInstance(told, results.ActionUnknown)
