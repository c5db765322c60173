"""Rules on requests that end without a complete answer.

Each such end is attributed to the engine, to the caller, to the time limit or
to the entry, from what callers saw and what the engines did. A server that is
unresponsive for a time and then continues has not ended its run. All times
are milliseconds of one clock.
"""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from tests import engine_rules

GRACE_TAIL = 1 / 6
"""Last part of the grace period in which streams in progress may be cut."""

GRACE_SENT_MS = 3_000
"""Time after SIGTERM until which a request may end in that part."""

PLANNED_SLACK_MS = 1_000
"""Time after planned work for which its requests still count."""

USED_SHARE = 0.7
"""Share of its time from which a request doesn't count beside a change."""

MAX_CUT_RATIO = 3
"""Most cuts beside a change for each one in as much time without."""

MAX_CLOSED = 3
"""Kept connections that an entry may close without an answer."""


class Ender(enum.Enum):
    """What ended a request that got no complete answer."""

    CALLER = 'the caller left'
    TIME = 'its time was over'
    ENGINE = 'its engine broke off'
    ENTRY = 'the entry ended it'


class RunEnd(enum.Enum):
    """End of a run at an engine, as the engine knows it."""

    OPEN = 'open'
    COMPLETE = 'complete'
    REFUSED = 'refused'
    BROKEN = 'broken'
    STOPPED = 'stopped'


@attrs.define
class Run:
    """A run of a request at an engine.

    Attributes
    ----------
    attempt : str
        Id of the attempt.
    server : str
        Name of the first engine of its path.
    host : str
        Entry that sent it.
    arrived_at : int
        Time of its arrival.
    began_at : int or None
        Time at which the engine accepted it.
    first_event_at : int or None
        Time of its first event.
    ended_at : int or None
        Time of its end.
    end : RunEnd
        ``BROKEN`` if the engine ended or broke off, ``STOPPED`` if the entry
        closed the connection.
    """

    attempt: str
    server: str
    host: str
    arrived_at: int
    began_at: int | None = None
    first_event_at: int | None = None
    ended_at: int | None = None
    end: RunEnd = RunEnd.OPEN


@attrs.frozen
class Request:
    """A request of a caller, as far as this rule concerns it.

    Attributes
    ----------
    id : str
        Id of the attempt.
    host : str
        Entry that took it from the caller.
    sent_at : int
        Time at which its last byte was sent.
    ended_at : int
        Time at which the answer or the connection ended.
    deadline_at : int
        Earlier one of the caller's deadline and the time limit of the route.
    is_complete : bool
        Whether a complete answer arrived, a refusal included.
    is_started : bool
        Whether the head of an answer arrived.
    has_caller_left : bool
        Whether the caller closed the connection.
    has_lost_patience : bool
        Whether it did so after too long a time without an event.
    is_on_kept_connection : bool
        Whether another request preceded it on its connection.
    """

    id: str
    host: str
    sent_at: int
    ended_at: int
    deadline_at: int
    is_complete: bool = False
    is_started: bool = True
    has_caller_left: bool = False
    has_lost_patience: bool = False
    is_on_kept_connection: bool = False


@attrs.frozen
class Bounds:
    """Bounds of a deployment, in milliseconds."""

    contact_ms: int = 3_000
    grace_ms: int = 8_000
    configuration_ms: int = 2_000
    loss_slack_ms: int = 200


@attrs.frozen
class Signal:
    """A SIGTERM or SIGHUP of an entry."""

    host: str
    at: int


@attrs.frozen
class PlannedWork:
    """Planned work on a fleet.

    Attributes
    ----------
    terms, hangups : sequence of Signal
        SIGTERM and SIGHUP of entries.
    changes : sequence of engine_rules.Version
        Versions of the configuration; the first precedes all requests.
    """

    terms: Sequence[Signal] = ()
    hangups: Sequence[Signal] = ()
    changes: Sequence[engine_rules.Version] = ()


def find_ender(request: Request, runs: Sequence[Run]) -> Ender | None:
    """Return what ended a request without a complete answer.

    Parameters
    ----------
    request : Request
        The request.
    runs : sequence of Run
        All of its runs.

    Returns
    -------
    Ender or None
        None if the answer is complete. The entry has ended it if a run was
        left that its engine had not ended and that no later run had replaced,
        or if there was no run.
    """
    if request.is_complete:
        return None
    if request.has_caller_left:
        return Ender.CALLER
    if request.ended_at >= request.deadline_at:
        return Ender.TIME
    if any(_is_abandoned(one, runs) for one in runs):
        return Ender.ENTRY
    if any(one.end is RunEnd.BROKEN for one in runs):
        return Ender.ENGINE
    return Ender.ENTRY


def find_abandoned_requests(
    requests: Iterable[Request],
    runs: Iterable[Run],
    disturbances: Sequence[engine_rules.Excuse] = (),
) -> list[str]:
    """Find requests that entries ended though a run could have continued.

    Parameters
    ----------
    requests : iterable of Request
        Requests of the callers.
    runs : iterable of Run
        All runs.
    disturbances : sequence of engine_rules.Excuse, optional
        Disturbances of hosts; an empty host stands for all.

    Returns
    -------
    list of str
        One line for each request.
    """
    by_attempt = group_runs(runs)
    return [
        _describe(request, by_attempt.get(request.id, ()))
        for request in requests
        if not _is_disturbed(
            request.host, request.sent_at, request.ended_at, disturbances
        )
        and find_ender(request, by_attempt.get(request.id, ())) is Ender.ENTRY
    ]


def find_starved_requests(
    requests: Iterable[Request], runs: Iterable[Run]
) -> list[str]:
    """Find requests that callers left out of patience while no run was open.

    The entry had stopped a run of each before, without a later run that had
    delivered an event. The parameters are those of `find_abandoned_requests`.
    """
    by_attempt = group_runs(runs)
    return [
        _describe(request, own_runs)
        for request in requests
        if request.has_lost_patience
        and (own_runs := by_attempt.get(request.id, []))
        and all(
            one.ended_at is not None and one.ended_at < request.ended_at
            for one in own_runs
        )
        and any(_is_abandoned(one, own_runs) for one in own_runs)
    ]


def find_planned_cuts(
    requests: Iterable[Request],
    runs: Iterable[Run],
    planned: PlannedWork,
    bounds: Bounds,
    disturbances: Sequence[engine_rules.Excuse] = (),
) -> list[str]:
    """Find requests that entries ended around planned work.

    A request counts if it was passed on to an engine, or ended later than
    ``loss_slack_ms`` after its last byte, and if nothing disturbed its entry
    from ``contact_ms`` before it to its end. Beside a change of the
    configuration it counts only if the entry ends requests over three times
    as often then as at other times. An outage of the store is no disturbance.

    Parameters
    ----------
    requests, runs : iterable
        Requests of the callers, and all runs.
    planned : PlannedWork
        The planned work.
    bounds : Bounds
        Bounds of the deployment.
    disturbances : sequence of engine_rules.Excuse, optional
        Unplanned disturbances of hosts; an empty host stands for all.

    Returns
    -------
    list of str
        One line for each request.
    """
    all_requests = list(requests)
    by_attempt = group_runs(runs)
    cut = [
        request
        for request in all_requests
        if not _is_disturbed(
            request.host,
            request.sent_at - bounds.contact_ms,
            request.ended_at,
            disturbances,
        )
        and _is_cut(request, by_attempt.get(request.id, ()), bounds)
    ]
    beside = _list_cuts_beside_changes(all_requests, cut, planned, bounds)
    violations = []
    for request in cut:
        own_runs = by_attempt.get(request.id, ())
        if _is_cut_by_term(request, own_runs, planned, bounds):
            work = 'SIGTERM'
        elif _is_cut_by_hangup(request, planned, bounds):
            work = 'SIGHUP'
        elif request in beside:
            work = 'a change of the configuration'
        else:
            continue
        violations.append(f'beside {work}: {_describe(request, own_runs)}')
    return violations


def find_closed_connections(
    requests: Iterable[Request],
    runs: Iterable[Run],
    bounds: Bounds,
    disturbances: Sequence[engine_rules.Excuse] = (),
) -> list[str]:
    """Find entries that close kept connections without an answer.

    An entry that was not disturbed in the last ``contact_ms`` passes a request
    from a kept connection on and closes that connection without an answer,
    more than three times. The parameters are those of `find_planned_cuts`.
    """
    by_attempt = group_runs(runs)
    closed: dict[str, list[str]] = {}
    for request in requests:
        own_runs = by_attempt.get(request.id, ())
        if (
            request.is_on_kept_connection
            and not request.is_started
            and own_runs
            and find_ender(request, own_runs) is Ender.ENTRY
            and not _is_disturbed(
                request.host,
                request.sent_at - bounds.contact_ms,
                request.ended_at,
                disturbances,
            )
        ):
            closed.setdefault(request.host, []).append(request.id)
    return [
        f'{host} closed {len(ids)} kept connections without an answer: '
        f'{", ".join(ids)}'
        for host, ids in sorted(closed.items())
        if len(ids) > MAX_CLOSED
    ]


def group_runs(runs: Iterable[Run]) -> dict[str, list[Run]]:
    """Return the runs by attempt."""
    by_attempt: dict[str, list[Run]] = {}
    for one in runs:
        by_attempt.setdefault(one.attempt, []).append(one)
    return by_attempt


def _is_abandoned(run: Run, runs: Iterable[Run]) -> bool:
    """Return whether a run was left before another one had replaced it."""
    if run.end is RunEnd.OPEN:
        return True
    return run.end is RunEnd.STOPPED and not any(
        one.arrived_at >= run.arrived_at
        and one is not run
        and one.first_event_at is not None
        and run.ended_at is not None
        and one.first_event_at <= run.ended_at
        for one in runs
    )


def _is_cut(request: Request, runs: Sequence[Run], bounds: Bounds) -> bool:
    """Return whether the entry ended a request that it had to answer."""
    return find_ender(request, runs) is Ender.ENTRY and (
        bool(runs) or request.ended_at - request.sent_at > bounds.loss_slack_ms
    )


def _is_cut_by_term(
    request: Request,
    runs: Iterable[Run],
    planned: PlannedWork,
    bounds: Bounds,
) -> bool:
    for term in planned.terms:
        until = term.at + bounds.grace_ms + PLANNED_SLACK_MS
        if term.host != request.host or not (
            term.at <= request.ended_at <= until
        ):
            continue
        tail_at = term.at + bounds.grace_ms * (1 - GRACE_TAIL)
        is_at_work = any(
            one.ended_at is None or one.ended_at >= request.ended_at
            for one in runs
        )
        if not (
            is_at_work
            and request.ended_at >= tail_at
            and request.sent_at <= term.at + GRACE_SENT_MS
        ):
            return True
    return False


def _is_cut_by_hangup(
    request: Request, planned: PlannedWork, bounds: Bounds
) -> bool:
    return any(
        one.host == request.host
        and request.sent_at <= one.at + bounds.configuration_ms
        and request.ended_at >= one.at
        for one in planned.hangups
    )


def _list_cuts_beside_changes(
    requests: Sequence[Request],
    cut: Sequence[Request],
    planned: PlannedWork,
    bounds: Bounds,
) -> list[Request]:
    """List the cuts beside changes that are more frequent than others."""
    if not requests:
        return []
    spans = _merge(
        (
            one.sent_at,
            one.acknowledged_at + bounds.configuration_ms + PLANNED_SLACK_MS,
        )
        for one in planned.changes
    )
    since = min(one.sent_at for one in requests)
    until = max(one.ended_at for one in requests)
    beside_ms = sum(
        max(0, min(until, end) - max(since, start)) for start, end in spans
    )
    listed = []
    for host in {one.host for one in cut}:
        own = [one for one in cut if one.host == host]
        beside = [one for one in own if _is_within(one.ended_at, spans)]
        others = len(own) - len(beside)
        other_ms = max(1, until - since - beside_ms)
        # Rates are compared as products, as there may be no other cuts.
        if len(beside) * other_ms > MAX_CUT_RATIO * others * beside_ms:
            listed += [one for one in beside if not _has_used_time(one)]
    return listed


def _has_used_time(request: Request) -> bool:
    """Return whether a request had used most of its time at its end."""
    allowed_ms = request.deadline_at - request.sent_at
    return request.ended_at - request.sent_at >= USED_SHARE * allowed_ms


def _merge(spans: Iterable[tuple[int, int]]) -> list[tuple[int, int]]:
    """Merge overlapping spans."""
    merged: list[tuple[int, int]] = []
    for start, end in sorted(spans):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(end, merged[-1][1]))
        else:
            merged.append((start, end))
    return merged


def _is_within(at: int, spans: Iterable[tuple[int, int]]) -> bool:
    return any(start <= at <= end for start, end in spans)


def _is_disturbed(
    host: str,
    since: int,
    until: int,
    disturbances: Iterable[engine_rules.Excuse],
) -> bool:
    return any(
        one.host in {'', host} and one.since <= until and since <= one.until
        for one in disturbances
    )


def _describe(request: Request, runs: Sequence[Run]) -> str:
    listed = ', '.join(
        f'{one.server} {one.end.value} at {one.ended_at}' for one in runs
    )
    return (
        f'{request.host} ended {request.id} at {request.ended_at}, sent at '
        f'{request.sent_at}; runs: {listed or "none"}'
    )
