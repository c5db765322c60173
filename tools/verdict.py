"""Test runner plugin that counts outcomes and prints a summary line.

A test listed in ``KNOWN-RED.txt`` is run; its failure is printed and counted
as a skip. Every other failure fails the run.
"""

from __future__ import annotations

import pathlib
import typing

from nose2 import events
from nose2 import result

KNOWN_FAILURES_PATH = pathlib.Path('KNOWN-RED.txt')


def read_known_failures(
    path: pathlib.Path = KNOWN_FAILURES_PATH,
) -> dict[str, str]:
    """Read the list of tests that are known to fail.

    Parameters
    ----------
    path : pathlib.Path
        File of lines ``test id | command and seed | seen | issue``. Blank
        lines and lines that start with ``#`` are ignored.

    Returns
    -------
    dict of str to str
        Whole line by test id.
    """
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith('#')]
    return {line.split('|')[0].strip(): line for line in entries}


def _is_failure(event: typing.Any) -> bool:
    """Return whether an outcome fails the run."""
    if event.outcome == result.SKIP:
        return False
    if event.outcome == result.SUBTEST:
        return event.exc_info is not None
    return not event.expected


class Verdict(events.Plugin):  # type: ignore[misc]
    """Counts of the test outcomes of one run."""

    configSection = 'verdict'

    def __init__(self) -> None:
        self.known_failures = read_known_failures()
        self.seen_failures: list[str] = []
        self.passed = 0
        self.failed = 0
        self.skipped = 0

    def setTestOutcome(self, event: typing.Any) -> None:
        """Convert the failure of a test that is known to fail into a skip."""
        if not _is_failure(event):
            return
        # The id of a subtest ends with its message and its parameters.
        test = getattr(event.test, 'test_case', event.test)
        line = self.known_failures.get(test.id())
        if line is None:
            return
        self.seen_failures.append(line)
        event.outcome = result.SKIP
        event.reason = f'known red: {line}'
        event.exc_info = None

    def testOutcome(self, event: typing.Any) -> None:
        """Count one outcome; each failed subtest counts as a failure."""
        if _is_failure(event):
            self.failed += 1
        elif event.outcome == result.SKIP:
            self.skipped += 1
        elif event.outcome != result.SUBTEST:
            self.passed += 1

    def afterSummaryReport(self, event: typing.Any) -> None:
        """Print the known failures that occurred and the summary line."""
        for line in self.seen_failures:
            event.stream.writeln(f'known red: {line}')
        summary = f'{self.passed} passed, {self.failed} failed'
        if self.skipped:
            summary = f'{summary}, {self.skipped} skipped'
        event.stream.writeln(summary)
