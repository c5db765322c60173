"""Benchmark of concurrent operators who change different documents.

Run it with ``python -m tests.application.configuration_racing``. Time is
virtual: a call to the platform takes 2 to 6 ms and a message to a peer 1 ms.
The figures show how often operators wait for each other and do not depend on
the speed of the machine.
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
from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import publications

DURATION_S = 4
OPERATORS = (1, 2, 4, 8)
JITTER_S = 0.004
TIMING = configuration_following.Timing(in_force_timeout_ms=0)


@attrs.define
class Results:
    """Results of the operators."""

    accepted: int = 0
    rejected: int = 0
    durations_s: list[float] = attrs.field(factory=list)


def find_any_change(
    contents: contents_module.Contents, publication: publications.Publication
) -> tuple[documents.DocumentKey, ...]:
    """Treat each publication whose base is not the head as a conflict."""
    if contents.head.version == publication.base_version:
        return ()
    return tuple(map(documents.build_key, publication.additions))


async def _publish_often(entry: make.Entry, results: Results) -> None:
    """Publish in sequence, and retry immediately after a rejection."""
    loop = asyncio.get_running_loop()
    name = entry.member.incarnation
    limit = 0
    while True:
        limit += 1
        started_at = loop.time()
        workspace = make.build_workspace(name, limit)
        result: typing.Any = None
        while not isinstance(result, configuration_results.Accepted):
            results.rejected += result is not None
            base = entry.service.version()
            if isinstance(result, publications.Conflict):
                base = result.version
            result = await entry.service.publish(
                make.build_publication(f'{name}-{limit}', base, workspace)
            )
        results.accepted += 1
        results.durations_s.append(loop.time() - started_at)


def measure(
    operators: int, conflicts: publications.FindConflicts
) -> tuple[Results, int]:
    """Return the operators' results and the number of platform calls."""
    results = Results()
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
            asyncio.create_task(_publish_often(one, results))
            for one in entries
        ]
        await asyncio.sleep(DURATION_S)
        for task in tasks:
            task.cancel()
        calls = sum(
            len(one.platform.reads) + len(one.platform.writes)
            for one in entries
        )

    make.run_virtual(scenario)
    return results, calls


def main() -> None:
    """Print one line per number of operators and conflict relation."""
    relations = {
        'by document': publications.find_conflicts,
        'any change': find_any_change,
    }
    for operators in OPERATORS:
        for name, relation in relations.items():
            results, calls = measure(operators, relation)
            sys.stdout.write(
                f'{operators} operators, {name}: '
                f'{results.accepted / DURATION_S:.1f} accepted/s, '
                f'{results.rejected / max(results.accepted, 1):.2f} '
                'rejections and '
                f'{calls / max(results.accepted, 1):.1f} calls each, '
                'median '
                f'{statistics.median(results.durations_s) * 1000:.0f} ms, '
                f'slowest {max(results.durations_s) * 1000:.0f} ms\n'
            )


if __name__ == '__main__':
    main()
