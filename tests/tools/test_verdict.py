"""Tests of the plugin that counts test outcomes."""

from __future__ import annotations

import io
import pathlib
import tempfile
import types
import unittest

from tools import verdict

OUTCOMES = (
    # outcome, expected, has an error, passed, failed, skipped
    ('passed', True, False, 1, 0, 0),
    ('passed', False, False, 0, 1, 0),
    ('failed', False, True, 0, 1, 0),
    ('failed', True, True, 1, 0, 0),
    ('error', False, True, 0, 1, 0),
    ('subtest', None, True, 0, 1, 0),
    ('subtest', None, False, 0, 0, 0),
    ('skipped', False, False, 0, 0, 1),
)


class _Subtests(unittest.TestCase):
    def check(self):
        """Fail in two subtests, one of which has a message."""
        for keywords in ({'msg': 'silent'}, {'x': 1}):
            with self.subTest(**keywords):
                self.fail()


class _SubtestResult(unittest.TestResult):
    """Keeps the subtests that fail."""

    def __init__(self):
        super().__init__()
        self.failed = []

    def addSubTest(self, test, subtest, err):
        self.failed.append(subtest)


def _build_event(outcome, expected, has_error, name='tests.a.Test.test_b'):
    return types.SimpleNamespace(
        outcome=outcome,
        expected=expected,
        exc_info=(ValueError, ValueError(), None) if has_error else None,
        test=types.SimpleNamespace(id=lambda: name),
        stream=types.SimpleNamespace(writeln=print),
    )


def _build_plugin(known_failures):
    plugin = verdict.Verdict.__new__(verdict.Verdict)
    plugin.known_failures = known_failures
    plugin.seen_failures = []
    plugin.passed = plugin.failed = plugin.skipped = 0
    return plugin


class VerdictTest(unittest.TestCase):
    def test_outcomes_are_counted(self) -> None:
        for outcome, expected, has_error, *counts in OUTCOMES:
            with self.subTest(outcome=outcome, expected=expected):
                plugin = _build_plugin({})
                event = _build_event(outcome, expected, has_error)
                plugin.setTestOutcome(event)
                plugin.testOutcome(event)
                actual = [plugin.passed, plugin.failed, plugin.skipped]
                self.assertEqual(counts, actual)

    def test_only_the_failure_of_a_listed_test_is_skipped(self) -> None:
        """A test listed as known to fail and an unlisted test both fail.

        Only the unlisted test must fail the run; the listed one is printed.
        """
        plugin = _build_plugin({'tests.a.Test.test_b': 'line of test_b'})
        for name in ('tests.a.Test.test_b', 'tests.a.Test.test_c'):
            event = _build_event('failed', False, True, name)
            plugin.setTestOutcome(event)
            plugin.testOutcome(event)
        self.assertEqual((1, 1), (plugin.failed, plugin.skipped))
        out = io.StringIO()
        stream = types.SimpleNamespace(writeln=lambda t: out.write(t + '\n'))
        plugin.afterSummaryReport(types.SimpleNamespace(stream=stream))
        self.assertIn('known red: line of test_b', out.getvalue())
        self.assertTrue(
            out.getvalue().endswith('0 passed, 1 failed, 1 skipped\n')
        )

    def test_failure_of_a_subtest_of_a_listed_test_is_skipped(self) -> None:
        """Guards against subtests whose messages hide the test."""
        case = _Subtests('check')
        case.run(outcomes := _SubtestResult())
        plugin = _build_plugin({case.id(): 'line of the test'})
        for test in outcomes.failed:
            event = _build_event('subtest', None, True)
            event.test = test
            plugin.setTestOutcome(event)
            plugin.testOutcome(event)
        self.assertEqual((0, 2), (plugin.failed, plugin.skipped))

    def test_known_failures_file_is_parsed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'KNOWN-RED.txt'
            self.assertEqual({}, verdict.read_known_failures(path))
            path.write_text('# none\n\ntests.a.T.b | seed 1 | red | 4\n')
            read = verdict.read_known_failures(path)
        self.assertEqual(['tests.a.T.b'], list(read))
