"""Measurement of operators who race on different documents.

Run it with ``python -m tests.application.configuration_racing``. Time is
virtual: a call to the platform takes 2 to 6 ms and a message to a peer 1 ms,
so the figures tell how often operators wait for each other, not how fast a
machine is.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import typing

import attrs

from tests.application import configuration_builders as make
from thornspool.application.configuration import (
    following as configuration_following,
)
from thornspool.application.configuration import (
    results as configuration_results,
)
from thornspool.domain.configuration import contents as whole
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import publications

DURATION_S = 4
OPERATORS = (1, 2, 4, 8)
JITTER_S = 0.004
TIMING = configuration_following.Timing(in_force=0)


@attrs.define
class Count:
    """What the operators saw; times in seconds."""

    accepted: int = 0
    refused: int = 0
    times: list[float] = attrs.field(factory=list)


def find_any_change(
    contents: whole.Contents, publication: publications.Publication
) -> tuple[documents.DocumentKey, ...]:
    """Take every publication for a conflict whose base is not the head."""
    if contents.head.version == publication.base_version:
        return ()
    return tuple(map(documents.identify, publication.additions))


async def _publish_often(entry: make.Entry, count: Count) -> None:
    """Publish one after the other, again at once after a refusal."""
    loop = asyncio.get_running_loop()
    name = entry.member.incarnation
    mark = 0
    while True:
        mark += 1
        began = loop.time()
        workspace = make.build_workspace(name, mark)
        result: typing.Any = None
        while not isinstance(result, configuration_results.Accepted):
            count.refused += result is not None
            base = entry.service.version()
            if isinstance(result, publications.Conflict):
                base = result.version
            result = await entry.service.publish(
                make.build_publication(f'{name}-{mark}', base, workspace)
            )
        count.accepted += 1
        count.times.append(loop.time() - began)


def measure(
    operators: int, conflicts: publications.FindConflicts
) -> tuple[Count, int]:
    """Return what the operators saw and the calls to the platform."""
    count = Count()
    calls = 0

    async def scenario(cluster: make.Cluster) -> None:
        nonlocal calls
        entries = [
            cluster.add_entry(
                f'entry-{index}', timing=TIMING, conflicts=conflicts
            )
            for index in range(operators)
        ]
        for entry in entries:
            entry.faults.jitter_s = JITTER_S
        tasks = [
            asyncio.create_task(_publish_often(one, count)) for one in entries
        ]
        await asyncio.sleep(DURATION_S)
        for task in tasks:
            task.cancel()
        calls = sum(
            len(one.platform.reads) + len(one.platform.writes)
            for one in entries
        )

    make.run_virtual(scenario)
    return count, calls


def main() -> None:
    """Print one line for each number of operators and relation."""
    relations = {
        'by document': publications.find_conflicts,
        'any change': find_any_change,
    }
    for operators in OPERATORS:
        for name, relation in relations.items():
            count, calls = measure(operators, relation)
            sys.stdout.write(
                f'{operators} operators, {name}: '
                f'{count.accepted / DURATION_S:.1f} accepted/s, '
                f'{count.refused / max(count.accepted, 1):.2f} refusals and '
                f'{calls / max(count.accepted, 1):.1f} calls each, '
                f'median {statistics.median(count.times) * 1000:.0f} ms, '
                f'slowest {max(count.times) * 1000:.0f} ms\n'
            )


if __name__ == '__main__':
    main()
