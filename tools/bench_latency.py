"""Measures the latency that an entry adds to a plain call."""

from __future__ import annotations

import asyncio
import json
import time
import typing

import attrs
from hdrh import histogram
from tornado import curl_httpclient
from tornado import httpclient

from tools import processes
from tools import requester

WARM_UP = 100
CALLS = 1_000
MAX_US = 10_000_000
DIGITS = 3
SERVICE = 'status'
WORKSPACE = 'bench'


@attrs.frozen
class Sides:
    """Histograms of calls through the entry and straight to the target."""

    through: histogram.HdrHistogram
    direct: histogram.HdrHistogram


def make_documents(url: str) -> list[dict[str, typing.Any]]:
    """Make the documents of one workspace with one service."""
    return [
        {'kind': 'workspace', 'name': WORKSPACE},
        {
            'kind': 'target',
            'name': 'status-1',
            'serves': 'service',
            'host': 'status-1',
            'failure_domain': 'perth-a',
            'url': url,
        },
        {
            'kind': 'service',
            'name': SERVICE,
            'workspace': WORKSPACE,
            'targets': ['status-1'],
            'operations': [{'name': 'read', 'idempotent': True}],
        },
    ]


def publish_documents(
    entry: processes.Process, documents: list[dict[str, typing.Any]]
) -> requester.Answer:
    """Publish documents through the operators' interface of an entry."""
    body = {
        'id': f'publication-{time.time_ns()}',
        'author': 'measurement',
        'base_version': 0,
        'documents': documents,
    }
    answer = requester.send(
        'POST',
        f'{entry.ready["operators"]}/v1/publications',
        json.dumps(body).encode(),
        {'Authorization': f'Bearer {processes.OPERATOR_TOKEN}'},
    )
    if answer.status != 200:
        raise RuntimeError(f'not published: {answer.body.decode()}')
    return answer


def measure_latency() -> dict[str, float]:
    """Measure calls through one entry against direct ones.

    Both kinds alternate in one run over kept connections on loopback.

    Returns
    -------
    dict of str to float
        ``p50`` and ``p99`` of the added latency in milliseconds: the
        difference between the percentiles of both sides.
    """
    with processes.open_processes() as scope:
        service = scope.start('status-1', 'standins.service')
        entry = scope.start_entry('bench-1')
        publish_documents(entry, make_documents(service.ready['url']))
        path = f'/v1/workspaces/{WORKSPACE}/services/{SERVICE}/read'
        sides = asyncio.run(
            _alternate(
                entry.ready['callers'] + path,
                f'{service.ready["url"]}/v1/operations/read',
            )
        )
    return {
        f'p{percentile}': round(
            (
                sides.through.get_value_at_percentile(percentile)
                - sides.direct.get_value_at_percentile(percentile)
            )
            / 1000,
            3,
        )
        for percentile in (50, 99)
    }


async def _alternate(through_url: str, direct_url: str) -> Sides:
    """Send calls by turns to both sides and time them."""
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    sides = Sides(
        histogram.HdrHistogram(1, MAX_US, DIGITS),
        histogram.HdrHistogram(1, MAX_US, DIGITS),
    )
    for number in range(WARM_UP + CALLS):
        for url, side in (
            (through_url, sides.through),
            (direct_url, sides.direct),
        ):
            started = time.perf_counter_ns()
            await client.fetch(
                httpclient.HTTPRequest(url, method='POST', body=b'{}')
            )
            microseconds = (time.perf_counter_ns() - started) // 1000
            if number >= WARM_UP:
                side.record_value(microseconds)
    client.close()
    return sides
