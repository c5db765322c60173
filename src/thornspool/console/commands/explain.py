"""The command that shows the log lines of a request and their likely causes.

Log lines are processed as a stream. Only those of the request and the latest
state changes are kept, so that memory use is bounded for logs of any size.
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
"""Lines of the request that are kept; almost all requests have fewer than 20
lines."""

MAX_CHANGES = 2_000
"""Number of latest state changes that are kept as possible causes."""

STATE_CHANGES = frozenset(
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
"""Log events of state changes that can cause a request to fail."""

CAUSE_WINDOW_S = 5
"""Time before the last line of a request in which a state change counts as a
possible cause."""


@attrs.define
class RequestHistory:
    """Log lines of one request and the latest state changes.

    Attributes
    ----------
    lines : list of logs.Line
        Lines of the request, at most ``MAX_LINES``, in the order read.
    changes : collections.deque of logs.Line
        Latest state changes, in the order read.
    omitted_count : int
        Lines of the request beyond ``MAX_LINES``.
    """

    lines: list[logs.Line] = attrs.field(factory=list)
    changes: collections.deque[logs.Line] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_CHANGES)
    )
    omitted_count: int = 0

    def add(self, line: logs.Line, request: str) -> None:
        """Keep a line if it is a state change or has the request's id."""
        if line.fields.get('id') == request:
            if len(self.lines) < MAX_LINES:
                self.lines.append(line)
            else:
                self.omitted_count += 1
        elif line.event in STATE_CHANGES:
            self.changes.append(line)

    def find_causes(self) -> list[logs.Line]:
        """Return the changes that affect the request's servers and hosts.

        Returns
        -------
        list of logs.Line
            Changes within ``CAUSE_WINDOW_S`` before the last line of the
            request, sorted by time.
        """
        if not self.lines:
            return []
        sorted_lines = sorted(self.lines, key=lambda line: line.time)
        end = sorted_lines[-1].time
        paths = ' '.join(
            f'{line.fields.get("path", "")} {line.fields.get("server", "")}'
            for line in sorted_lines
        )
        hosts = {line.fields.get('host') for line in sorted_lines}
        return [
            change
            for change in sorted(self.changes, key=lambda line: line.time)
            if _is_in_cause_window(change.time, end)
            and _affects(change, paths, hosts)
        ]


def _is_in_cause_window(time: str, end: str) -> bool:
    """Return whether a time is within ``CAUSE_WINDOW_S`` before the end."""
    return (
        time <= end
        and _parse_time_of_day_s(end) - _parse_time_of_day_s(time)
        <= CAUSE_WINDOW_S
    )


def _parse_time_of_day_s(time: str) -> float:
    """Return the seconds since midnight of a ``...THH:MM:SS.ffffffZ`` time."""
    time_of_day = time.partition('T')[2].rstrip('Z')
    try:
        hours, minutes, seconds = time_of_day.split(':')
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
    except ValueError:
        return 0.0


def _affects(line: logs.Line, paths: str, hosts: set[str | None]) -> bool:
    servers = line.fields.get('server', '')
    if servers:
        return any(server in paths for server in servers.split(','))
    return line.event in {'coverage_changed', 'lead_taken'} or (
        line.fields.get('host') in hosts
    )


def collect_history(lines: Iterable[str], request: str) -> RequestHistory:
    """Collect the log lines of a request and the latest state changes.

    Parameters
    ----------
    lines : iterable of str
        Lines of the logs, in any order.
    request : str
        Id of the request.

    Returns
    -------
    RequestHistory
        The collected lines.
    """
    history = RequestHistory()
    for text in lines:
        line = logs.parse_line(text)
        if line is not None:
            history.add(line, request)
    return history


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('request', metavar='ID', help='id of the request')
    logs.add_log_files(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    try:
        history = collect_history(
            logs.read_lines(options.logs), options.request
        )
    except OSError as error:
        console.write_error(f'{error.filename}: {error.strerror}.')
        return exceptions.ExitCode.USAGE
    if not history.lines:
        console.write_error(
            f'No line for request {options.request} was found. Specify the '
            'logs of all hosts; log_lines_left_out events count lines that '
            'were not logged.'
        )
        return exceptions.ExitCode.PROBLEM
    causes = history.find_causes()
    sorted_lines = sorted(history.lines, key=lambda line: line.time)
    value = {
        'request': [line.fields for line in sorted_lines],
        'causes': [change.fields for change in causes],
        'left_out': history.omitted_count,
    }
    console.write_result(
        value, _format_history(sorted_lines, causes, history.omitted_count)
    )
    return exceptions.ExitCode.OK


def _format_history(
    sorted_lines: list[logs.Line], causes: list[logs.Line], omitted_count: int
) -> Iterator[str]:
    yield 'The request:'
    for line in sorted_lines:
        yield f'  {line.format_text()}'
        yield from _describe_admission(line)
    if omitted_count:
        yield f'  and {omitted_count} more lines'
    if not any(line.event.startswith('request_') for line in sorted_lines):
        yield '  The end of the request is missing; the host may have failed.'
    if causes:
        yield f'State changes in the {CAUSE_WINDOW_S} s before, oldest first:'
        yield from (f'  {change.format_text()}' for change in causes)
    else:
        yield 'No state change shortly before affects the request.'


def _describe_admission(line: logs.Line) -> Iterator[str]:
    """Explain the wait of a request that ended, if it waited for memory."""
    if line.event != 'request_ended':
        return
    yield from _describe_share(line)
    estimated_ms = line.fields.get('estimated_wait_ms')
    if estimated_ms is None:
        return
    yield (
        '  No path had free memory: the last estimate of its further wait was '
        f'{estimated_ms} ms.'
    )
    kept_tokens = line.fields.get('kept_tokens', '0')
    if kept_tokens != '0':
        yield (
            f'  Memory for {kept_tokens} tokens was kept for more urgent '
            'requests.'
        )


def _describe_share(line: logs.Line) -> Iterator[str]:
    """Explain the rank of a request while workspaces shared memory."""
    share_tokens = line.fields.get('share_tokens')
    if share_tokens is None:
        return
    if line.fields.get('is_over_share') == 'True':
        yield (
            '  Its workspace exceeded its share of '
            f'{share_tokens} tokens a second; the request ranked behind '
            'those within shares.'
        )
    else:
        yield (
            '  Memory was shared by workspace: the request was within the '
            f'share of {share_tokens} tokens a second.'
        )


COMMAND = base.Command(
    'explain',
    'Show the log lines of a request and their likely causes, from the logs '
    'of all hosts.',
    'thornspool explain 9c41d07be2a35f68 host-*.log',
    _add_options,
    _run,
)
