"""Test runner plugin that counts outcomes and prints one closing line.

A test listed in ``KNOWN-RED.txt`` is run, printed and passed over when it
fails; every other failure fails the run.
"""

from __future__ import annotations

import pathlib
import typing

from nose2 import events
from nose2 import result

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')


def read_known_red(path: pathlib.Path = KNOWN_RED) -> dict[str, str]:
    """Read the tests whose failure is known.

    Parameters
    ----------
    path : pathlib.Path
        File of lines ``test id | command and seed | seen | issue``. Blank
        lines and lines that start with ``#`` are passed over.

    Returns
    -------
    dict of str to str
        Test id to its whole line.
    """
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith('#')]
    return {line.split('|')[0].strip(): line for line in entries}


def _is_failure(event: typing.Any) -> bool:
    """Tell whether an outcome has to fail the run."""
    if event.outcome == result.SKIP:
        return False
    if event.outcome == result.SUBTEST:
        return event.exc_info is not None
    return not event.expected


class Verdict(events.Plugin):  # type: ignore[misc]
    """Counts of test outcomes in one run."""

    configSection = 'verdict'

    def __init__(self) -> None:
        self.known_red = read_known_red()
        self.seen_red: list[str] = []
        self.passed = 0
        self.failed = 0
        self.skipped = 0

    def setTestOutcome(self, event: typing.Any) -> None:
        """Turn the failure of a known red test into a skip."""
        if not _is_failure(event):
            return
        line = self.known_red.get(event.test.id().split(' (')[0])
        if line is None:
            return
        self.seen_red.append(line)
        event.outcome = result.SKIP
        event.reason = f'known red: {line}'
        event.exc_info = None

    def testOutcome(self, event: typing.Any) -> None:
        """Count one outcome; a failed subtest counts by itself."""
        if _is_failure(event):
            self.failed += 1
        elif event.outcome == result.SKIP:
            self.skipped += 1
        elif event.outcome != result.SUBTEST:
            self.passed += 1

    def afterSummaryReport(self, event: typing.Any) -> None:
        """Print the known red tests and the closing line."""
        for line in self.seen_red:
            event.stream.writeln(f'known red: {line}')
        closing = f'{self.passed} passed, {self.failed} failed'
        if self.skipped:
            closing = f'{closing}, {self.skipped} skipped'
        event.stream.writeln(closing)
