"""The command that tells which requests were lost or late, and why.

Lines are read one by one and only counts are kept, so that logs of any size
pass in bounded memory.
"""

from __future__ import annotations

import collections
import math
import typing

import attrs

from thornspool.console import base
from thornspool.console import exceptions
from thornspool.console import logs

if typing.TYPE_CHECKING:
    import argparse
    from collections.abc import Iterable
    from collections.abc import Iterator

WINDOW_S = 2
"""Length of a window in seconds."""

FIRST_MS = 500
"""Time to the first part of an answer that counts as late where the line does
not tell the target of its route."""

PAUSE_MS = 200
"""Pause between two events that counts as late where the line does not tell
the target of its route."""

MAX_GROUPS = 20_000
"""Groups of window, route and cause that are kept."""

MAX_IDS = 3
"""Requests that are named for each group."""

MAX_SERVERS = 3
"""Servers that are named for each group, those of most requests first."""


@attrs.frozen
class Aims:
    """What counts as late.

    Attributes
    ----------
    first_ms, pause_ms : int or None
        Longest time to the first part of an answer and between two events;
        None for the target of each request's own route.
    """

    first_ms: int | None = None
    pause_ms: int | None = None


@attrs.define
class Group:
    """Requests of one window and route that were lost for one cause."""

    count: int = 0
    ids: list[str] = attrs.field(factory=list)
    servers: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    hosts: set[str] = attrs.field(factory=set)

    def add(self, line: logs.Line) -> None:
        """Count one request."""
        self.count += 1
        if len(self.ids) < MAX_IDS:
            self.ids.append(line.fields.get('id', '?'))
        self.hosts.add(line.fields.get('host', '?'))
        if line.event == 'request_ended':
            self.servers.update(_list_servers(line.fields.get('path', '')))


NOT_OWED = frozenset({'no_route', 'unknown_key'})
"""Reasons of refusals that no proper request meets."""

_ENDS = ('event=request_ended ', 'event=request_refused ')
"""What the lines have in common that tell how a request ended."""

_Key = tuple[str, str, str]
"""Begin of the window, route and cause."""


@attrs.define
class Losses:
    """What the logs tell of requests that were lost or late.

    Attributes
    ----------
    ended : int
        Requests whose end was read.
    groups : dict
        Those that were lost or late, by window, route and cause.
    not_owed : collections.Counter of str
        Refusals of requests that nobody is owed, by reason.
    left_out : int
        Requests of further groups.
    unreadable : int
        Lines that are none of an entry's log.
    """

    aims: Aims
    ended: int = 0
    groups: dict[_Key, Group] = attrs.field(factory=dict)
    not_owed: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    left_out: int = 0
    unreadable: int = 0

    def add(self, text: str) -> None:
        """Take one line of a log.

        Most lines tell of something else and are not taken apart.
        """
        if not any(end in text for end in _ENDS) and ' event=' in text:
            return
        line = logs.parse_line(text)
        if line is None:
            self.unreadable += bool(text.strip())
            return
        if line.event not in {'request_ended', 'request_refused'}:
            return
        reason = line.fields.get('reason', '')
        if line.event == 'request_refused' and reason in NOT_OWED:
            self.not_owed[reason] += 1
            return
        self.ended += 1
        cause = name_cause(line, self.aims)
        if not cause:
            return
        route = line.fields.get('route', '-')
        key = (_find_window(line.time), route, cause)
        group = self.groups.get(key)
        if group is None:
            if len(self.groups) >= MAX_GROUPS:
                self.left_out += 1
                return
            group = self.groups[key] = Group()
        group.add(line)

    def count_causes(self) -> list[tuple[str, int]]:
        """Count requests by cause, the most frequent first."""
        counts: collections.Counter[str] = collections.Counter()
        for (_, _, cause), group in self.groups.items():
            counts[cause] += group.count
        return counts.most_common()


def name_cause(line: logs.Line, aims: Aims) -> str:
    """Name why a request was lost or late; empty for one that was not."""
    fields = line.fields
    reason = fields.get('reason', '')
    if line.event == 'request_refused':
        return f'refused: {reason}'
    outcome = fields.get('outcome', '')
    if outcome != 'served':
        return f'{outcome}: {reason}' if reason else outcome
    first_ms = _choose_bound(aims.first_ms, fields, 'target_ms', FIRST_MS)
    if _read_ms(fields, 'first_ms') > first_ms:
        return f'late first event: {fields.get("first_cause") or "server"}'
    pause_ms = _choose_bound(
        aims.pause_ms, fields, 'target_pause_ms', PAUSE_MS
    )
    if _read_ms(fields, 'pause_ms') > pause_ms:
        return f'long pause: {fields.get("pause_cause", "?")}'
    return ''


def _choose_bound(
    aim: int | None, fields: dict[str, str], name: str, default: int
) -> float:
    """Choose what counts as late: as asked, by the route, or by default."""
    if aim is not None:
        return aim
    told = _read_ms(fields, name)
    return told if told > 0 else default


def _read_ms(fields: dict[str, str], name: str) -> float:
    try:
        return float(fields.get(name, 'nan'))
    except ValueError:
        return math.nan


def _find_window(time: str) -> str:
    """Return the begin of the window, to the second."""
    head, _, second = time.partition('.')[0].rstrip('Z').rpartition(':')
    if not second.isdigit():
        return time
    return f'{head}:{int(second) // WINDOW_S * WINDOW_S:02}'


def _list_servers(path: str) -> Iterator[str]:
    """List the servers that a line names as the path of a request."""
    for part in path.rpartition(':')[2].split(','):
        if part:
            yield part.partition('=')[0]


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--first-ms',
        type=int,
        help='time to the first part of an answer that is not late '
        '(default: the target of its route)',
    )
    parser.add_argument(
        '--pause-ms',
        type=int,
        help='pause between events that is not late (default: the target of '
        'its route)',
    )
    logs.add_files(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    losses = Losses(Aims(options.first_ms, options.pause_ms))
    try:
        for text in logs.read_lines(options.logs):
            losses.add(text)
    except OSError as error:
        console.write_error(f'{error.filename}: {error.strerror}.')
        return exceptions.ExitCode.USAGE
    if not losses.ended:
        console.write_error(
            'No line tells how a request ended. Give the logs of entries on '
            f'the platform; {losses.unreadable} lines could not be read.'
        )
        return exceptions.ExitCode.PROBLEM
    console.write_result(_describe(losses), _format(losses))
    return exceptions.ExitCode.OK


def _describe(losses: Losses) -> dict[str, typing.Any]:
    return {
        'ended': losses.ended,
        'causes': dict(losses.count_causes()),
        'groups': [
            {
                'window': window,
                'route': route,
                'cause': cause,
                'count': group.count,
                'servers': _name_most(group),
                'hosts': sorted(group.hosts),
                'ids': group.ids,
            }
            for (window, route, cause), group in sorted(losses.groups.items())
        ],
        'not_owed': dict(losses.not_owed),
        'left_out': losses.left_out,
        'unreadable': losses.unreadable,
    }


def _name_most(group: Group) -> list[str]:
    return [name for name, _ in group.servers.most_common(MAX_SERVERS)]


def _format(losses: Losses) -> Iterable[str]:
    lost = sum(count for _, count in losses.count_causes())
    yield f'{lost} of {losses.ended} requests were lost or late.'
    for cause, count in losses.count_causes():
        yield f'  {count:6} {cause}'
    for (window, route, cause), group in sorted(losses.groups.items()):
        yield (
            f'{window} {route} {cause}: {group.count}; servers '
            f'{",".join(_name_most(group)) or "-"}; hosts '
            f'{",".join(sorted(group.hosts))}; ids {",".join(group.ids)}'
        )
    for reason, count in losses.not_owed.most_common():
        yield f'{count} refused as {reason}, which nobody is owed.'
    if losses.left_out:
        yield f'{losses.left_out} requests of further groups were left out.'
    if losses.unreadable:
        yield f'{losses.unreadable} lines could not be read.'


COMMAND = base.Command(
    'losses',
    'Tell which requests were lost or late and why, from the logs of hosts.',
    'thornspool losses --pause-ms 200 host-*.log',
    _add_options,
    _run,
)
