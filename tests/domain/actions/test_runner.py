"""Tests of the runner that dispatches attempts."""

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

GIVEN = events.VerdictReceived('a1', messages.GrantGiven('a1', 1, False))
DISPATCH = events.Dispatch('a1', 0, 1)


def build_runner(**changes: typing.Any) -> runner.Runner:
    """Build a runner that has requested the grant of attempt a1."""
    subject = runner.Runner()
    subject.request(builders.build_requested(**changes), 0)
    return subject


def find_result(
    commands: list[events.RunnerCommand],
) -> results.ActionResult:
    """Return the only answer among commands."""
    (answer,) = [c for c in commands if isinstance(c, events.Answer)]
    return answer.result


class RunnerTest(unittest.TestCase):
    def test_voided_attempt_never_runs(self) -> None:
        """A grant arrives after the caller was answered "not run"."""
        timed_out = events.LedgerTimedOut('a1')
        table = {
            'timeout': (timed_out, 50),
            'deadline': (events.DeadlinePassed('a1'), 100),
        }
        for name, (event, now) in table.items():
            with self.subTest(name):
                subject = build_runner()
                result = find_result(subject.handle(event, now))
                self.assertIsInstance(result, results.ActionNotRun)
                for late in (GIVEN, events.TargetResponseLost('a1'), GIVEN):
                    self.assertEqual([], subject.handle(late, now))
                report = subject.report('a1')
                self.assertIs(messages.AttemptState.VOID, report.state)

    def test_grant_after_the_deadline_is_released(self) -> None:
        """A suspended process receives a grant after its caller timed out."""
        subject = build_runner()
        commands = subject.handle(GIVEN, 100)
        self.assertNotIn(DISPATCH, commands)
        self.assertIsInstance(commands[-1], events.Settle)
        not_run = results.ActionNotRun(results.NOT_RUN_DEADLINE, 500, True)
        self.assertEqual(not_run, find_result(commands))

    def test_duplicate_verdict_dispatches_once(self) -> None:
        """The network or a second writer delivers the grant twice."""
        subject = build_runner()
        self.assertEqual([DISPATCH], subject.handle(GIVEN, 1))
        self.assertEqual([], subject.handle(GIVEN, 2))

    def test_results_of_target_failures(self) -> None:
        """Targets refuse connections, or their answers are lost, in order."""
        unreached = events.TargetUnreachable('a1')
        lost = events.TargetResponseLost('a1')
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
                subject = build_runner(targets=2, deduplicates=deduplicates)
                subject.handle(GIVEN, 1)
                for failure in failures[:-1]:
                    (command,) = subject.handle(failure, 2)
                    self.assertIsInstance(command, events.Dispatch)
                result = find_result(subject.handle(failures[-1], 3))
                self.assertIsInstance(result, expected)

    def test_reaction_to_the_state_of_the_holder(self) -> None:
        """An attempt of another entry holds the key, in any state."""
        states = messages.AttemptState
        query = events.QueryHolder('a1', 'b1', 'r2', 'tcp://r2')
        table = {
            (states.VOID, False): events.RequestGrant('a1', 'b1', False),
            (states.RUNNING, False): attrs.evolve(query, wait=True),
            (states.GONE, True): events.RequestGrant('a1', 'b1', True),
            (states.GONE, False): results.UNKNOWN_RUNNER_GONE,
        }
        held = records.Record(
            records.RecordState.GRANTED, 'b1', 'r2', 'tcp://r2', 'one'
        )
        found = messages.RecordFound('a1', held)
        for (state, deduplicates), expected in table.items():
            with self.subTest(state=state, deduplicates=deduplicates):
                subject = build_runner(deduplicates=deduplicates)
                (command,) = subject.handle(
                    events.VerdictReceived('a1', found), 1
                )
                self.assertEqual(query, command)
                report = messages.AttemptReport('b1', state)
                answered = events.HolderReported('a1', report)
                commands = subject.handle(answered, 2)
                if isinstance(expected, str):
                    result = find_result(commands)
                    self.assertEqual(
                        results.ActionUnknown(expected, 500), result
                    )
                else:
                    self.assertEqual([expected], commands)

    def test_outcome_stays_in_memory_until_recorded(self) -> None:
        """Another entry queries an attempt before its outcome is recorded."""
        subject = build_runner()
        subject.handle(GIVEN, 1)
        subject.handle(events.TargetAnswered('a1', builders.DONE), 2)
        self.assertEqual(builders.DONE, subject.report('a1').outcome)
        subject.handle(events.RecordConfirmed('a1'), 3)
        self.assertEqual(0, subject.open_count)

    def test_outage_accumulates_no_releases(self) -> None:
        """Callers keep sending actions during an outage of several hours.

        A release for each would fill the memory; an attempt that was never
        written needs none.
        """
        for written, expected in ((False, 0), (True, 1)):
            with self.subTest(written=written):
                subject = build_runner()
                down = messages.LedgerUnavailable('a1', 200, written)
                subject.handle(events.VerdictReceived('a1', down), 1)
                self.assertEqual(expected, subject.open_count)

    def test_too_many_open_attempts_are_refused(self) -> None:
        """Memory must stay bounded while outcomes can not be recorded."""
        subject = runner.Runner(runner.RunnerSettings(max_attempts=1))
        subject.request(builders.build_requested(), 0)
        second = builders.build_requested('a2', name='swan/b')
        result = find_result(subject.request(second, 0))
        self.assertIsInstance(result, results.ActionNotRun)

    def test_resent_key_is_unknown_without_the_ledger(self) -> None:
        """A caller resends a key during an outage after losing its answer.

        The first call may have run, so "not run" would be wrong.
        """
        subject = build_runner(is_resent=True)
        down = messages.LedgerUnavailable('a1', 200, False)
        result = find_result(
            subject.handle(events.VerdictReceived('a1', down), 1)
        )
        self.assertIsInstance(result, results.ActionUnknown)
        late = builders.build_requested('a2', is_resent=True, deadline=0)
        result = find_result(subject.request(late, 1))
        self.assertIsInstance(result, results.ActionUnknown)
