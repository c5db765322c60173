"""Measure the latency that an entry adds to a plain call."""

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

WARM_UP_CALLS = 100
CALLS = 1_000
MAX_US = 10_000_000
SIGNIFICANT_DIGITS = 3
SERVICE = 'status'
WORKSPACE = 'bench'


@attrs.frozen
class Latencies:
    """Latency histograms of calls through the entry and direct calls.

    Attributes
    ----------
    through, direct : HdrHistogram
        Microseconds of calls through the entry, and of calls sent directly
        to the target.
    """

    through: histogram.HdrHistogram
    direct: histogram.HdrHistogram


def build_documents(url: str) -> list[dict[str, typing.Any]]:
    """Build the documents of one workspace with one service."""
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
    """Publish documents through the operators' interface of an entry.

    Raises
    ------
    RuntimeError
        When the publication is not accepted.
    """
    body = {
        'id': f'publication-{time.time_ns()}',
        'author': 'measurement',
        'base_version': 0,
        'documents': documents,
    }
    response = requester.send(
        'POST',
        f'{entry.ready["operators"]}/v1/publications',
        json.dumps(body).encode(),
        {'Authorization': f'Bearer {processes.OPERATOR_TOKEN}'},
    )
    if response.status != 200:
        raise RuntimeError(f'publication failed: {response.body.decode()}')
    return response


def measure_latency() -> dict[str, float]:
    """Compare calls through one entry with direct calls.

    Both kinds alternate in one run over persistent connections on loopback.

    Returns
    -------
    dict of str to float
        ``p50`` and ``p99`` of the added latency in milliseconds: the
        difference between the percentiles of both histograms.
    """
    with processes.open_processes() as scope:
        service = scope.start('status-1', 'standins.service')
        entry = scope.start_entry('bench-1')
        publish_documents(entry, build_documents(service.ready['url']))
        path = f'/v1/workspaces/{WORKSPACE}/services/{SERVICE}/read'
        latencies = asyncio.run(
            _measure_alternately(
                entry.ready['callers'] + path,
                f'{service.ready["url"]}/v1/operations/read',
            )
        )
    return {
        f'p{percentile}': round(
            (
                latencies.through.get_value_at_percentile(percentile)
                - latencies.direct.get_value_at_percentile(percentile)
            )
            / 1000,
            3,
        )
        for percentile in (50, 99)
    }


async def _measure_alternately(through_url: str, direct_url: str) -> Latencies:
    """Send calls alternately to both URLs and record their latency."""
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    latencies = Latencies(
        histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS),
        histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS),
    )
    for number in range(WARM_UP_CALLS + CALLS):
        for url, latency in (
            (through_url, latencies.through),
            (direct_url, latencies.direct),
        ):
            started = time.perf_counter_ns()
            await client.fetch(
                httpclient.HTTPRequest(url, method='POST', body=b'{}')
            )
            microseconds = (time.perf_counter_ns() - started) // 1000
            if number >= WARM_UP_CALLS:
                latency.record_value(microseconds)
    client.close()
    return latencies
