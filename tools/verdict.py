"""Test runner plugin that counts outcomes and prints one closing line.

A test listed in ``KNOWN-RED.txt`` is run, printed and passed over when it
fails; every other failure fails the run.
"""

from __future__ import annotations

import pathlib
import typing

from nose2 import events

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
        if event.outcome not in ('failed', 'error'):
            return
        line = self.known_red.get(event.test.id())
        if line is None:
            return
        self.seen_red.append(line)
        event.outcome = 'skipped'
        event.reason = f'known red: {line}'
        event.exc_info = None

    def testOutcome(self, event: typing.Any) -> None:
        """Count one outcome."""
        if event.outcome == 'passed' and event.expected:
            self.passed += 1
        elif event.outcome == 'skipped':
            self.skipped += 1
        elif not event.expected or event.outcome != 'failed':
            self.failed += 1
        else:
            self.passed += 1

    def afterSummaryReport(self, event: typing.Any) -> None:
        """Print the known red tests and the closing line."""
        for line in self.seen_red:
            event.stream.writeln(f'known red: {line}')
        closing = f'{self.passed} passed, {self.failed} failed'
        if self.skipped:
            closing = f'{closing}, {self.skipped} skipped'
        event.stream.writeln(closing)
