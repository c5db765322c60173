"""Measure the control traffic and processor time of an idle entry.

The real part runs entry processes on loopback with stand-ins of targets and
without callers; the bytes come from each entry's metrics of peer messages,
the processor time from ``/proc``. The simulated part is the gossip of a fleet
of the design size, from ``tools.bench_membership``.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import sys
import typing

import attrs

from tools import bench_deployment
from tools import bench_membership
from tools import processes

ENTRIES = 9
CHAINS = 21
WINDOW_S = 20.0
SETTLE_S = 10.0
FLEET_SIZE = 350
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')

_BYTES_METRIC = re.compile(
    r'^thornspool_peer_bytes_total\{([^}]*)\} ([0-9.e+]+)$', re.MULTILINE
)
_LABEL = re.compile(r'(\w+)="([^"]*)"')

Figures = dict[str, typing.Any]


@attrs.frozen
class Usage:
    """Resources that a process used since its start.

    Attributes
    ----------
    cpu_s : float
        Processor time, in seconds.
    memory_bytes : int
        Resident memory.
    peer_bytes : dict of tuple of str to float
        Bytes of peer messages by direction and kind.
    """

    cpu_s: float
    memory_bytes: int
    peer_bytes: dict[tuple[str, str], float]


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    # The command name in parentheses may contain spaces.
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * PAGE_BYTES


def parse_peer_bytes(text: str) -> dict[tuple[str, str], float]:
    """Parse the bytes by direction and kind from the metrics."""
    found = {}
    for labels, value in _BYTES_METRIC.findall(text):
        labels_by_name = dict(_LABEL.findall(labels))
        found[labels_by_name['direction'], labels_by_name['kind']] = float(
            value
        )
    return found


async def read_usage(
    session: bench_deployment.Session, entry: processes.Process
) -> Usage:
    """Read the resources that an entry used since its start."""
    url = f'{entry.ready["operators"]}/metrics'
    response = await session.send('GET', url)
    pid = entry.popen.pid
    return Usage(
        read_cpu_s(pid),
        read_memory_bytes(pid),
        parse_peer_bytes(response.body.decode()),
    )


def compare(before: Usage, after: Usage, seconds: float) -> Figures:
    """Return the usage per second between two readings."""
    rates = {
        label: (value - before.peer_bytes.get(label, 0.0)) / seconds
        for label, value in after.peer_bytes.items()
    }
    kinds = {
        f'{direction} {kind}': round(rate, 1)
        for (direction, kind), rate in sorted(rates.items())
        if rate
    }
    return {
        'sent': sum(
            rate
            for (direction, _), rate in rates.items()
            if direction == 'sent'
        ),
        'received': sum(
            rate
            for (direction, _), rate in rates.items()
            if direction == 'received'
        ),
        'cpu_percent': (after.cpu_s - before.cpu_s) / seconds * 100,
        'memory_megabytes': after.memory_bytes / 1e6,
        'kinds': kinds,
    }


async def _measure_idle(deployment: bench_deployment.Deployment) -> Figures:
    """Read the usage of every entry before and after an idle window."""
    session = bench_deployment.Session()
    entries = deployment.entries
    try:
        await bench_deployment.publish(
            session, entries[0], deployment.documents, 0
        )
        await bench_deployment.wait_settled(session, deployment)
        await asyncio.sleep(SETTLE_S)
        loop = asyncio.get_running_loop()
        started = loop.time()
        before = [await read_usage(session, entry) for entry in entries]
        await asyncio.sleep(WINDOW_S)
        after = [await read_usage(session, entry) for entry in entries]
        seconds = loop.time() - started
    finally:
        session.close()
    used = [
        compare(first, last, seconds)
        for first, last in zip(before, after, strict=True)
    ]
    return {
        'entries': len(entries),
        'targets': len(deployment.targets),
        'seconds': round(seconds, 1),
        **{
            f'{name}_{suffix}': round(
                function(usage[name] for usage in used), 3
            )
            for name in ('sent', 'received', 'cpu_percent', 'memory_megabytes')
            for suffix, function in (('mean', _compute_mean), ('max', max))
        },
        'kinds_of_first_entry': used[0]['kinds'],
    }


def _compute_mean(values: typing.Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / len(listed)


def measure_idle(entries: int = ENTRIES, chains: int = CHAINS) -> Figures:
    """Measure idle entry processes with two services.

    Parameters
    ----------
    entries : int, optional
        Number of entries.
    chains : int, optional
        Number of chains of two engines.

    Returns
    -------
    Figures
        ``sent`` and ``received`` in bytes a second of messages between
        entries, without TCP and IP headers; processor time in percent of a
        core.
    """
    with processes.open_processes() as scope:
        deployment = bench_deployment.start_deployment(scope, entries, chains)
        return asyncio.run(_measure_idle(deployment))


def measure_control() -> dict[str, Figures]:
    """Measure the entry processes and the simulated gossip."""
    return {
        'real': measure_idle(),
        'simulated_gossip': {
            'members': FLEET_SIZE,
            **bench_membership.measure_idle(FLEET_SIZE),
        },
    }


def main() -> int:
    """Print one JSON object."""
    print(json.dumps(measure_control()))
    return 0


if __name__ == '__main__':
    sys.exit(main())
