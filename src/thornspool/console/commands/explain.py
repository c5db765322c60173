"""The command that tells a request's story from the logs of all hosts.

Lines are read one by one and only those of the request are kept, with the
latest changes of what entries believed, so that logs of any size pass in
bounded memory.
"""

from __future__ import annotations

import collections
import typing

import attrs

from thornspool.console import base
from thornspool.console import exceptions
from thornspool.console import logs

if typing.TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable
    from collections.abc import Iterator

MAX_LINES = 500
"""Lines of one request that are kept; one has fewer than 20 nearly always."""

MAX_CHANGES = 2_000
"""Latest changes that are kept to be told beside the request."""

CHANGES = frozenset(
    {
        'coverage_changed',
        'entry_stood_still',
        'history_lost',
        'lead_taken',
        'log_lines_left_out',
        'server_suspected',
        'server_unlisted',
        'store_lost',
        'store_regained',
    }
)
"""Events that may explain what became of a request."""

BEFORE_S = 5
"""Seconds before the request's end in which a change may explain it."""


@attrs.define
class Story:
    """What the logs tell of one request."""

    lines: list[logs.Line] = attrs.field(factory=list)
    changes: collections.deque[logs.Line] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_CHANGES)
    )
    left_out: int = 0

    def add(self, line: logs.Line, request: str) -> None:
        """Keep a line if it belongs to the story."""
        if line.fields.get('id') == request:
            if len(self.lines) < MAX_LINES:
                self.lines.append(line)
            else:
                self.left_out += 1
        elif line.event in CHANGES:
            self.changes.append(line)

    def find_causes(self) -> list[logs.Line]:
        """Return the changes that touch the request's servers and hosts."""
        if not self.lines:
            return []
        ordered = sorted(self.lines, key=lambda one: one.time)
        end = ordered[-1].time
        paths = ' '.join(
            f'{one.fields.get("path", "")} {one.fields.get("server", "")}'
            for one in ordered
        )
        hosts = {one.fields.get('host') for one in ordered}
        return [
            one
            for one in sorted(self.changes, key=lambda one: one.time)
            if _is_near(one.time, end) and _touches(one, paths, hosts)
        ]


def _is_near(time: str, end: str) -> bool:
    """Tell whether a time is at most some seconds before another one."""
    return time <= end and _read_seconds(end) - _read_seconds(time) <= BEFORE_S


def _read_seconds(time: str) -> float:
    """Return the seconds since midnight, of ``...THH:MM:SS.ffffffZ``."""
    clock = time.partition('T')[2].rstrip('Z')
    try:
        hours, minutes, seconds = clock.split(':')
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
    except ValueError:
        return 0.0


def _touches(line: logs.Line, paths: str, hosts: set[str | None]) -> bool:
    server = line.fields.get('server', '')
    if server:
        return server in paths
    return line.event in {'coverage_changed', 'lead_taken'} or (
        line.fields.get('host') in hosts
    )


def tell(lines: Iterable[str], request: str) -> Story:
    """Read lines and keep the story of a request."""
    story = Story()
    for text in lines:
        line = logs.parse_line(text)
        if line is not None:
            story.add(line, request)
    return story


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('request', metavar='ID', help='id of the request')
    logs.add_files(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    try:
        story = tell(logs.read_lines(options.logs), options.request)
    except OSError as error:
        console.write_error(f'{error.filename}: {error.strerror}.')
        return exceptions.ExitCode.USAGE
    if not story.lines:
        console.write_error(
            f'No line tells of {options.request}. Add the logs of all hosts; '
            'lines that were left out are counted in log_lines_left_out.'
        )
        return exceptions.ExitCode.PROBLEM
    causes = story.find_causes()
    ordered = sorted(story.lines, key=lambda one: one.time)
    value = {
        'request': [one.fields for one in ordered],
        'causes': [one.fields for one in causes],
        'left_out': story.left_out,
    }
    console.write_result(value, _format(ordered, causes, story.left_out))
    return exceptions.ExitCode.OK


def _format(
    ordered: list[logs.Line], causes: list[logs.Line], left_out: int
) -> Iterator[str]:
    yield 'The request:'
    yield from (f'  {one.describe()}' for one in ordered)
    if left_out:
        yield f'  and {left_out} more lines'
    if not any(one.event.startswith('request_') for one in ordered):
        yield '  Its end is missing: the host may have stopped before.'
    if causes:
        yield f'What changed in the {BEFORE_S} s before, the first first:'
        yield from (f'  {one.describe()}' for one in causes)
    else:
        yield 'Nothing that touches it changed shortly before.'


COMMAND = base.Command(
    'explain',
    'Tell what became of a request, from the logs of all hosts.',
    'thornspool explain 9c41d07be2a35f68 host-*.log',
    _add_options,
    _run,
)
