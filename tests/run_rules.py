"""Rules on the runs of a request and on the events that its caller gets.

All times are milliseconds of one clock.
"""

from __future__ import annotations

import collections
import itertools
import typing

import attrs

from tests import answer_rules

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tests import engine_rules

LEFT_SLACK_MS = 500
"""Time after a caller has left within which its runs end."""


@attrs.frozen
class Stream:
    """An attempt of a caller, with the events that it received.

    Attributes
    ----------
    request : answer_rules.Request
        The attempt.
    events : tuple of int
        Numbers of the events, in the order of their arrival.
    expected : int
        Number of events of the whole answer.
    status : int or None
        Status of the answer; None before its head.
    reason : str
        Reason of a refusal.
    times : tuple of int
        Times of the events.
    """

    request: answer_rules.Request
    events: tuple[int, ...]
    expected: int
    status: int | None = 200
    reason: str = ''
    times: tuple[int, ...] = ()


@attrs.frozen
class RetryBounds:
    """Share of the requests in a window that may arrive once more."""

    ratio: float
    slack: float
    window_ms: int


def find_order_violations(streams: Iterable[Stream]) -> list[str]:
    """Find streams with events that are missing, repeated or joined.

    A complete success has all events; any other stream has the first ones.
    """
    violations = []
    for one in streams:
        is_whole = one.status == 200 and one.request.is_complete
        if one.events != tuple(range(len(one.events))):
            violations.append(f'{one.request.id} got the events {one.events}')
        elif is_whole and len(one.events) != one.expected:
            violations.append(
                f'{one.request.id} ended after {len(one.events)} of '
                f'{one.expected} events'
            )
    return violations


def find_attempt_violations(
    runs: Iterable[answer_rules.Run], attempts: int
) -> list[str]:
    """Find requests with more runs than their route allows.

    Runs at engines that broke off or ended do not count, and neither do runs
    that engines refused.

    Parameters
    ----------
    runs : iterable of answer_rules.Run
        All runs.
    attempts : int
        Most engines to which one request may be sent.
    """
    violations = []
    for attempt, own_runs in answer_rules.group_runs(runs).items():
        counted = {
            one.server
            for one in own_runs
            if one.began_at is not None
            and one.end is not answer_rules.RunEnd.BROKEN
        }
        if len(counted) > attempts:
            violations.append(
                f'{attempt} ran at {", ".join(sorted(counted))}; allowed '
                f'{attempts}'
            )
    return violations


def find_simultaneous_runs(
    runs: Iterable[answer_rules.Run], most: int = 2
) -> list[str]:
    """Find requests with two runs at one engine, or too many, at a time.

    Parameters
    ----------
    runs : iterable of answer_rules.Run
        All runs.
    most : int, optional
        Most runs of one request at a time.
    """
    violations = []
    for attempt, own_runs in answer_rules.group_runs(runs).items():
        for first, second in itertools.combinations(own_runs, 2):
            if first.server == second.server and _overlap(first, second):
                violations.append(f'{attempt} ran twice at {first.server}')
        for one in own_runs:
            open_runs = [
                other
                for other in own_runs
                if other.arrived_at <= one.arrived_at
                and (other.ended_at is None or other.ended_at > one.arrived_at)
            ]
            if len(open_runs) > most:
                violations.append(
                    f'{attempt} had {len(open_runs)} runs at {one.arrived_at}'
                )
    return violations


def _overlap(first: answer_rules.Run, second: answer_rules.Run) -> bool:
    earlier, later = sorted((first, second), key=lambda one: one.arrived_at)
    return earlier.ended_at is None or earlier.ended_at > later.arrived_at


def find_work_after_callers(
    requests: Iterable[answer_rules.Request],
    runs: Iterable[answer_rules.Run],
) -> list[str]:
    """Find runs of requests that have ended for their callers.

    A run arrives, or is still in progress, over half a second after the
    caller has left or has got the end of its answer.
    """
    by_attempt = answer_rules.group_runs(runs)
    violations = []
    for request in requests:
        until = request.ended_at + LEFT_SLACK_MS
        violations += [
            f'{one.server} works on {request.id} until {one.ended_at}, which '
            f'ended at {request.ended_at}'
            for one in by_attempt.get(request.id, ())
            if one.ended_at is None or one.ended_at > until
        ]
    return violations


def find_retry_violations(
    arrivals: Sequence[engine_rules.Arrival],
    sent_at: Mapping[str, int],
    bounds: RetryBounds,
) -> list[str]:
    """Find windows with more repeated arrivals than the budget allows.

    The requests that count are those sent in the window, in the one before
    it or in the one half a window before it, whichever has most.

    Parameters
    ----------
    arrivals : sequence of engine_rules.Arrival
        What reached the engines of one service.
    sent_at : mapping of str to int
        Times at which callers sent their requests, by id of the attempt.
    bounds : RetryBounds
        The budget.
    """
    counts: collections.Counter[str] = collections.Counter()
    repeats = []
    for one in sorted(arrivals, key=lambda one: one.at):
        if one.kind == 'request' and one.attempt in sent_at:
            counts[one.attempt] += 1
            if counts[one.attempt] > 1:
                repeats.append(one.at)
    for index, start in enumerate(repeats):
        count = sum(at < start + bounds.window_ms for at in repeats[index:])
        requests = max(
            _count_between(sent_at.values(), since, bounds.window_ms)
            for since in (
                start,
                start - bounds.window_ms // 2,
                start - bounds.window_ms,
            )
        )
        allowed = bounds.ratio * requests + bounds.slack
        if count > allowed:
            return [
                f'{count} repeats in the window at {start}; allowed '
                f'{allowed:.1f}'
            ]
    return []


def list_pauses(streams: Iterable[Stream], at: int) -> list[int]:
    """List the times from a moment to the next event of each stream.

    Streams without an event before or after it are left out.
    """
    return [
        min(later) - at
        for one in streams
        if any(time < at for time in one.times)
        and (later := [time for time in one.times if time >= at])
    ]


def _count_between(times: Iterable[int], since: int, length_ms: int) -> int:
    return sum(since <= at < since + length_ms for at in times)
