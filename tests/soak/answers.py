"""Checks of the soak test on requests that end without an answer."""

from __future__ import annotations

import typing

from tests import answer_rules
from tests import engine_rules
from tests.soak import callers as callers_module

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from tests.soak import world as world_module

BOUNDS = answer_rules.Bounds()


def read_runs(
    lines: Iterable[dict[str, typing.Any]],
) -> list[answer_rules.Run]:
    """Read the runs from the log of the servers."""
    runs: list[answer_rules.Run] = []
    open_runs: dict[tuple[str, str], answer_rules.Run] = {}
    for line in lines:
        key = (line['attempt'], line['server'])
        if line['event'] == 'run':
            run = answer_rules.Run(
                *key, line['host'], line['at_ms'], line['at_ms']
            )
            runs.append(run)
            open_runs[key] = run
        elif line['event'] == 'first_event':
            open_runs[key].first_event_at = line['at_ms']
        elif line['event'] == 'run_end':
            ended = open_runs[key]
            ended.ended_at = line['at_ms']
            ended.end = answer_rules.RunEnd(line['end'])
    return runs


def list_requests(
    sent_requests: Iterable[callers_module.SentRequest],
) -> list[answer_rules.Request]:
    """List the requests that have ended, without those that crash servers."""
    return [
        answer_rules.Request(
            one.id,
            one.entry,
            round(one.sent_at * 1000),
            round(one.ended_at * 1000),
            round(one.sent_at * 1000) + callers_module.DEADLINE_MS,
            is_complete=one.complete,
            is_started=bool(one.status),
            has_caller_left=one.has_left,
            is_on_kept_connection=one.is_on_kept_connection,
        )
        for one in sent_requests
        if one.ended_at and one.sent_body != callers_module.CRASHING_BODY
    ]


def list_disturbances(
    world: world_module.World,
) -> list[engine_rules.Excuse]:
    """List what excuses an entry; disturbances of the store do not."""
    return [
        *world.interruptions,
        *world.downtimes,
        *world.caller_cuts,
        *(
            engine_rules.Excuse(host, cut.since, cut.until)
            for cut in world.link_cuts
            for host in cut.hosts
        ),
    ]


def check_planned_work(
    world: world_module.World,
    sent_requests: Sequence[callers_module.SentRequest],
    log: Iterable[dict[str, typing.Any]],
) -> list[str]:
    """Check what ended around planned work, and kept connections."""
    requests, runs = list_requests(sent_requests), read_runs(log)
    disturbances = list_disturbances(world)
    planned = answer_rules.PlannedWork(
        world.stops, world.hangups, world.versions
    )
    return [
        *answer_rules.find_planned_cuts(
            requests, runs, planned, BOUNDS, disturbances
        ),
        *answer_rules.find_closed_connections(
            requests, runs, BOUNDS, disturbances
        ),
    ]


def check_stalls(
    world: world_module.World,
    sent_requests: Sequence[callers_module.SentRequest],
    log: Iterable[dict[str, typing.Any]],
) -> list[str]:
    """Check that no request was ended though a run could continue.

    A process that stops ends what is in progress at the end of its grace
    period; `check_planned_work` judges that.
    """
    stops = [
        engine_rules.Excuse(one.host, one.at, one.at + BOUNDS.grace_ms)
        for one in world.stops
    ]
    return answer_rules.find_abandoned_requests(
        list_requests(sent_requests),
        read_runs(log),
        [*list_disturbances(world), *stops],
    )
