"""The command that shows which requests were lost or late, and the causes.

Log lines are processed as a stream and only counts are kept, so that memory
use is bounded for logs of any size.
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
"""Length of the windows that requests are grouped by."""

DEFAULT_FIRST_EVENT_MS = 500
"""Longest time to the first event that is not late, for lines without the
target of their route."""

DEFAULT_IDLE_MS = 200
"""Longest time without an event that is not late, for lines without the
target of their route."""

MAX_GROUPS = 20_000
"""Groups of window, route and cause that are kept."""

MAX_IDS = 3
"""Request ids that are kept for each group."""

MAX_WORKSPACES = 3
"""Workspaces over their share that are shown for each group."""

MAX_SERVERS = 3
"""Servers that are shown for each group, those with most requests first."""


@attrs.frozen
class Thresholds:
    """Times above which a request counts as late.

    Attributes
    ----------
    first_event_ms : int or None
        Longest time to the first event of a response, in milliseconds; None
        for the target of each request's route.
    idle_ms : int or None
        Longest time without an event, in milliseconds; None for the target
        of each request's route.
    """

    first_event_ms: int | None = None
    idle_ms: int | None = None


@attrs.define
class Group:
    """Requests of one window and route that were lost or late for one cause.

    Attributes
    ----------
    count : int
        Number of requests.
    ids : list of str
        Ids of the first requests, at most ``MAX_IDS``.
    servers : collections.Counter of str
        Requests by server.
    hosts : set of str
        Hosts of the entries that logged the requests.
    kept_count : int
        Requests for which less memory was open, as some was kept for more
        urgent ones.
    estimated_wait_ms : float
        Longest estimate of a wait for memory.
    over_share_count : int
        Requests beyond the share of their workspace.
    workspaces : collections.Counter of str
        These requests by workspace.
    least_share_tokens : float
        Smallest share of a workspace, in tokens per second; infinite for
        none.
    """

    count: int = 0
    ids: list[str] = attrs.field(factory=list)
    servers: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    hosts: set[str] = attrs.field(factory=set)
    kept_count: int = 0
    estimated_wait_ms: float = 0.0
    over_share_count: int = 0
    workspaces: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    least_share_tokens: float = math.inf

    def add(self, line: logs.Line) -> None:
        """Count the request of a log line."""
        self.count += 1
        if len(self.ids) < MAX_IDS:
            self.ids.append(line.fields.get('id', '?'))
        self.hosts.add(line.fields.get('host', '?'))
        if line.event == 'request_ended':
            self.servers.update(_list_servers(line.fields.get('path', '')))
            self.kept_count += _parse_ms(line.fields, 'kept_tokens') > 0
            estimated_ms = _parse_ms(line.fields, 'estimated_wait_ms')
            # A line without an estimate gives NaN, which exceeds nothing.
            self.estimated_wait_ms = max(self.estimated_wait_ms, estimated_ms)
            self._add_share(line.fields)

    def _add_share(self, fields: dict[str, str]) -> None:
        """Count a request while workspaces share memory."""
        share_tokens = _parse_ms(fields, 'share_tokens')
        if not math.isnan(share_tokens):
            self.least_share_tokens = min(
                self.least_share_tokens, share_tokens
            )
        if fields.get('is_over_share') == 'True':
            self.over_share_count += 1
            self.workspaces[fields.get('workspace', '?')] += 1


INVALID_REQUEST_REASONS = frozenset({'no_route', 'unknown_key'})
"""Reasons for refusing invalid requests, which do not count as lost."""

_COMPLETION_FIELDS = ('event=request_ended ', 'event=request_refused ')
"""Text that only the log lines of completed or refused requests contain."""

_GroupKey = tuple[str, str, str]
"""Start of the window, route and cause."""


@attrs.define
class Losses:
    """Counts of requests that were lost or late.

    Attributes
    ----------
    thresholds : Thresholds
        Times above which a request counts as late.
    ended_count : int
        Requests whose completion or refusal was read, without those of
        ``invalid_counts``.
    groups : dict of tuple to Group
        Lost or late requests by window, route and cause.
    invalid_counts : collections.Counter of str
        Refusals of invalid requests by reason.
    omitted_count : int
        Lost or late requests that belong to groups beyond ``MAX_GROUPS``.
    unreadable_count : int
        Lines that are not log lines of an entry.
    """

    thresholds: Thresholds
    ended_count: int = 0
    groups: dict[_GroupKey, Group] = attrs.field(factory=dict)
    invalid_counts: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    omitted_count: int = 0
    unreadable_count: int = 0

    def add(self, text: str) -> None:
        """Count the request of a log line.

        Lines of other events, which are most of a log, are skipped without
        parsing.
        """
        if (
            not any(field in text for field in _COMPLETION_FIELDS)
            and ' event=' in text
        ):
            return
        line = logs.parse_line(text)
        if line is None:
            self.unreadable_count += bool(text.strip())
            return
        if line.event not in {'request_ended', 'request_refused'}:
            return
        reason = line.fields.get('reason', '')
        if (
            line.event == 'request_refused'
            and reason in INVALID_REQUEST_REASONS
        ):
            self.invalid_counts[reason] += 1
            return
        self.ended_count += 1
        cause = find_cause(line, self.thresholds)
        if not cause:
            return
        route = line.fields.get('route', '-')
        key = (_compute_window_start(line.time), route, cause)
        group = self.groups.get(key)
        if group is None:
            if len(self.groups) >= MAX_GROUPS:
                self.omitted_count += 1
                return
            group = self.groups[key] = Group()
        group.add(line)

    def count_causes(self) -> list[tuple[str, int]]:
        """Return the causes with their requests, the most frequent first."""
        counts: collections.Counter[str] = collections.Counter()
        for (_, _, cause), group in self.groups.items():
            counts[cause] += group.count
        return counts.most_common()


def find_cause(line: logs.Line, thresholds: Thresholds) -> str:
    """Return the cause for which a request was lost or late.

    Parameters
    ----------
    line : logs.Line
        Line of a completed or refused request.
    thresholds : Thresholds
        Times above which the request counts as late.

    Returns
    -------
    str
        The cause; empty if the request was neither lost nor late.
    """
    fields = line.fields
    reason = fields.get('reason', '')
    if line.event == 'request_refused':
        return f'refused: {reason}'
    outcome = fields.get('outcome', '')
    if outcome != 'served':
        return f'{outcome}: {reason}' if reason else outcome
    first_event_ms = _choose_threshold(
        thresholds.first_event_ms, fields, 'target_ms', DEFAULT_FIRST_EVENT_MS
    )
    if _parse_ms(fields, 'first_ms') > first_event_ms:
        return f'late first event: {fields.get("first_cause") or "server"}'
    idle_ms = _choose_threshold(
        thresholds.idle_ms, fields, 'target_pause_ms', DEFAULT_IDLE_MS
    )
    if _parse_ms(fields, 'pause_ms') > idle_ms:
        return f'long pause: {fields.get("pause_cause", "?")}'
    return ''


def _choose_threshold(
    option_ms: int | None, fields: dict[str, str], name: str, default_ms: int
) -> float:
    """Return the option if set, else the route's target, else the default."""
    if option_ms is not None:
        return option_ms
    target_ms = _parse_ms(fields, name)
    return target_ms if target_ms > 0 else default_ms


def _parse_ms(fields: dict[str, str], name: str) -> float:
    """Return a field as a number, or NaN, which exceeds no threshold."""
    try:
        return float(fields.get(name, 'nan'))
    except ValueError:
        return math.nan


def _compute_window_start(time: str) -> str:
    """Return the start of the window of a time, with a precision of 1 s."""
    head, _, second = time.partition('.')[0].rstrip('Z').rpartition(':')
    if not second.isdigit():
        return time
    return f'{head}:{int(second) // WINDOW_S * WINDOW_S:02}'


def _list_servers(path: str) -> Iterator[str]:
    """List the servers in the path field of a log line."""
    for hop in path.rpartition(':')[2].split(','):
        if hop:
            yield hop.partition('=')[0]


def _add_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--first-ms',
        type=int,
        help='longest time to the first event that is not late (default: '
        'the target of the route)',
    )
    parser.add_argument(
        '--pause-ms',
        type=int,
        help='longest time without an event that is not late (default: the '
        'target of the route)',
    )
    logs.add_log_files(parser)


def _run(
    options: argparse.Namespace, console: base.Console
) -> exceptions.ExitCode:
    losses = Losses(Thresholds(options.first_ms, options.pause_ms))
    try:
        for text in logs.read_lines(options.logs):
            losses.add(text)
    except OSError as error:
        console.write_error(f'{error.filename}: {error.strerror}.')
        return exceptions.ExitCode.USAGE
    if not losses.ended_count:
        console.write_error(
            'No completed request was found. Specify the logs of entries on '
            f'the platform; {losses.unreadable_count} lines could not be read.'
        )
        return exceptions.ExitCode.PROBLEM
    console.write_result(_build_result(losses), _format_lines(losses))
    return exceptions.ExitCode.OK


def _build_result(losses: Losses) -> dict[str, typing.Any]:
    return {
        'ended': losses.ended_count,
        'causes': dict(losses.count_causes()),
        'groups': [
            {
                'window': window,
                'route': route,
                'cause': cause,
                'count': group.count,
                'servers': _list_top_servers(group),
                'hosts': sorted(group.hosts),
                'ids': group.ids,
                'kept': group.kept_count,
                'estimated_wait_ms': group.estimated_wait_ms,
                'over_share': group.over_share_count,
                'over_share_workspaces': _list_top_workspaces(group),
                'least_share_tokens': None
                if math.isinf(group.least_share_tokens)
                else group.least_share_tokens,
            }
            for (window, route, cause), group in sorted(losses.groups.items())
        ],
        'not_owed': dict(losses.invalid_counts),
        'left_out': losses.omitted_count,
        'unreadable': losses.unreadable_count,
    }


def _list_top_servers(group: Group) -> list[str]:
    return [name for name, _ in group.servers.most_common(MAX_SERVERS)]


def _list_top_workspaces(group: Group) -> list[str]:
    return [name for name, _ in group.workspaces.most_common(MAX_WORKSPACES)]


def _format_lines(losses: Losses) -> Iterable[str]:
    lost_count = sum(count for _, count in losses.count_causes())
    yield f'{lost_count} of {losses.ended_count} requests were lost or late.'
    for cause, count in losses.count_causes():
        yield f'  {count:6} {cause}'
    for (window, route, cause), group in sorted(losses.groups.items()):
        yield (
            f'{window} {route} {cause}: {group.count}; servers '
            f'{",".join(_list_top_servers(group)) or "-"}; hosts '
            f'{",".join(sorted(group.hosts))}; ids {",".join(group.ids)}'
            f'{_describe_admission(group)}'
        )
    for reason, count in losses.invalid_counts.most_common():
        yield f'{count} refused as {reason}, not counted as lost.'
    if losses.omitted_count:
        yield f'{losses.omitted_count} requests of further groups are omitted.'
    if losses.unreadable_count:
        yield f'{losses.unreadable_count} lines could not be read.'


def _describe_admission(group: Group) -> str:
    """Describe the waits for memory; empty if there were none."""
    text = ''
    if group.estimated_wait_ms > 0:
        text = f'; estimated wait up to {group.estimated_wait_ms:.0f} ms'
    if group.kept_count:
        text += f'; memory was kept from {group.kept_count}'
    if group.over_share_count:
        text += (
            f'; {group.over_share_count} over the share of their workspace, '
            f'most of {",".join(_list_top_workspaces(group))}'
        )
    if not math.isinf(group.least_share_tokens):
        text += f'; share from {group.least_share_tokens:.0f} tokens a second'
    return text


COMMAND = base.Command(
    'losses',
    'Show which requests were lost or late and why, from the logs of hosts.',
    'thornspool losses --pause-ms 200 host-*.log',
    _add_options,
    _run,
)
