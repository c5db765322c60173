"""Measure the resources of one real entry process at several sizes.

One entry, stand-ins and this client share the machine. The figures are the
processor time and the resident memory of only the entry's process, from
``/proc``.
"""

from __future__ import annotations

import asyncio
import json
import random
import typing

import attrs

from tools import bench_control
from tools import bench_deployment
from tools import processes

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

CALL_SIZES = (200, 600, 1_800)
ACTION_SIZES = (50, 100, 200)
TOKEN_SIZES = (1_000, 3_000, 9_000)
STREAM_SIZES = (4, 8, 16)
TARGET_SIZES = (43, 200, 690)
CONCURRENCY = 1
"""More concurrent requests could be refused: calls by the adaptive limit when
the machine is busy, and actions because a single entry, which writes every
page of the ledger itself, exhausts its limit of platform calls."""
STREAM_TOKENS = 20_000
TIMEOUT_MS = 300_000
SETTLE_S = 2.0
POLL_WINDOW_S = 10.0
SEED = 20261202

Series = tuple[tuple[int, ...], tuple[float, ...]]


@attrs.frozen
class Measurer:
    """Client of the measured entry.

    Attributes
    ----------
    session : bench_deployment.Session
        HTTP client.
    entry : processes.Process
        The measured entry.
    random : random.Random
        Random source for keys.
    """

    session: bench_deployment.Session
    entry: processes.Process
    random: random.Random

    def read_cpu_ms(self) -> float:
        """Return the processor time of the entry in milliseconds."""
        return bench_control.read_cpu_s(self.entry.popen.pid) * 1000

    def read_memory(self) -> float:
        """Return the resident memory of the entry in bytes."""
        return float(bench_control.read_memory_bytes(self.entry.popen.pid))

    async def call(self) -> None:
        """Send one idempotent call."""
        url = self.entry.ready['callers'] + bench_deployment.CALL_PATH
        response = await self.session.send('POST', url, b'{}')
        if response.code != 200:
            raise ConnectionError(f'{response.code} {response.body!r}')

    async def act(self) -> None:
        """Send one action."""
        key = bench_deployment.make_key(self.random)
        url = self.entry.ready['callers']
        response = await self.session.act(url, key)
        if response.code != 200:
            raise ConnectionError(f'{response.code} {response.body!r}')

    async def stream(
        self, tokens: int, on_chunk: Callable[[bytes], None]
    ) -> None:
        """Send one generation request."""
        url = self.entry.ready['callers'] + bench_deployment.GENERATE_PATH
        body = json.dumps(
            {
                'prompt': 'Compare.',
                'max_tokens': tokens,
                'timeout_ms': TIMEOUT_MS,
            }
        )
        response = await self.session.send(
            'POST', url, body.encode(), on_chunk=on_chunk, timeout_s=60.0
        )
        if response.code != 200:
            raise ConnectionError(f'{response.code} {response.error}')


async def _run_many(work: Callable[[], Awaitable[None]], count: int) -> None:
    """Run a coroutine function many times with limited concurrency."""
    remaining = iter(range(count))

    async def run_next() -> None:
        for _ in remaining:
            await work()

    await asyncio.gather(*(run_next() for _ in range(CONCURRENCY)))


async def _measure_cpu(
    measurer: Measurer,
    work: Callable[[], Awaitable[None]],
    sizes: tuple[int, ...],
) -> Series:
    """Measure the processor time of the entry by number of requests."""
    await _run_many(work, CONCURRENCY)
    values = []
    for size in sizes:
        before = measurer.read_cpu_ms()
        await _run_many(work, size)
        values.append(measurer.read_cpu_ms() - before)
    return sizes, tuple(values)


async def _measure_tokens(measurer: Measurer) -> Series:
    """Measure the processor time by the tokens of one stream."""
    values = []
    for size in TOKEN_SIZES:
        before = measurer.read_cpu_ms()
        received = bytearray()
        await measurer.stream(size, received.extend)
        values.append(measurer.read_cpu_ms() - before)
        if b'event: end' not in received:
            raise ConnectionError(bytes(received[-300:]).decode())
    return TOKEN_SIZES, tuple(values)


async def _measure_streams(measurer: Measurer) -> Series:
    """Measure the resident memory by the number of open streams."""
    values = []
    tasks: list[asyncio.Task[None]] = []
    for size in STREAM_SIZES:
        while len(tasks) < size:
            work = measurer.stream(STREAM_TOKENS, lambda chunk: None)
            tasks.append(asyncio.create_task(work))
        await asyncio.sleep(SETTLE_S)
        values.append(measurer.read_memory())
    ended = [task for task in tasks if task.done()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if ended:
        raise ConnectionError(f'{len(ended)} streams ended early: {ended[0]}')
    return STREAM_SIZES, tuple(values)


def build_documents(
    urls: dict[str, str], engines: int = 1
) -> list[bench_deployment.Document]:
    """Build the documents of one service and of engines at one URL."""
    names = [f'engine-{number}' for number in range(engines)]
    location = {'host': 'host-1', 'failure_domain': 'perth-a'}
    stages = [
        {
            'target': name,
            'first_layer': 0,
            'end_layer': bench_deployment.LAYERS,
        }
        for name in names
    ]
    operations = [
        {'name': 'read', 'idempotent': True},
        {'name': 'hold', 'idempotent': False},
    ]
    return [
        {
            'kind': 'workspace',
            'name': bench_deployment.WORKSPACE,
            'models': [bench_deployment.MODEL],
        },
        {
            'kind': 'target',
            'name': 'booking-1',
            'serves': 'service',
            'url': urls['service'],
            **location,
        },
        *(
            {
                'kind': 'target',
                'name': name,
                'serves': 'engine',
                'url': urls['engine'],
                **location,
            }
            for name in names
        ),
        {
            'kind': 'service',
            'name': bench_deployment.SERVICE,
            'workspace': bench_deployment.WORKSPACE,
            'targets': ['booking-1'],
            'operations': operations,
        },
        {
            'kind': 'model',
            'name': bench_deployment.MODEL,
            'version': '1',
            'layers': bench_deployment.LAYERS,
            'stages': stages,
        },
    ]


async def _measure_polls(
    entry: processes.Process, urls: dict[str, str]
) -> Series:
    """Measure the processor time per second by the polled targets."""
    session = bench_deployment.Session()
    values = []
    try:
        for version, size in enumerate(TARGET_SIZES):
            documents = build_documents(urls, size)
            await bench_deployment.publish(session, entry, documents, version)
            await asyncio.sleep(SETTLE_S)
            before = bench_control.read_cpu_s(entry.popen.pid)
            await asyncio.sleep(POLL_WINDOW_S)
            cpu_s = bench_control.read_cpu_s(entry.popen.pid) - before
            values.append(cpu_s * 1000 / POLL_WINDOW_S)
    finally:
        session.close()
    return TARGET_SIZES, tuple(values)


async def _measure(
    entry: processes.Process, urls: dict[str, str]
) -> dict[str, tuple[str, Series]]:
    session = bench_deployment.Session()
    measurer = Measurer(session, entry, random.Random(SEED))
    try:
        idle_memory = measurer.read_memory()
        await bench_deployment.publish(
            session, entry, build_documents(urls), 0
        )
        await asyncio.sleep(SETTLE_S)
        calls = await _measure_cpu(measurer, measurer.call, CALL_SIZES)
        actions = await _measure_cpu(measurer, measurer.act, ACTION_SIZES)
        return {
            'entry_memory_at_rest': ('bytes', ((1,), (idle_memory,))),
            'entry_cpu_by_call': ('ms', calls),
            'entry_cpu_by_action': ('ms', actions),
            'entry_cpu_by_token': ('ms', await _measure_tokens(measurer)),
            'entry_memory_by_stream': (
                'bytes',
                await _measure_streams(measurer),
            ),
        }
    finally:
        session.close()


def measure_processes() -> dict[str, tuple[str, Series]]:
    """Measure one entry process.

    Returns
    -------
    dict of str to tuple
        Unit, sizes and values by name; a single size has no slope.
    """
    with processes.open_processes() as scope:
        platform = scope.start('platform', 'standins.kv_store')
        service = scope.start('booking-1', 'standins.service')
        engine = scope.start(
            'engine-0',
            'standins.engine',
            *('--name', 'engine-0', '--step-ms', '1', '--max-batch', '256'),
        )
        urls = {'service': service.ready['url'], 'engine': engine.ready['url']}
        poller = scope.start_entry('entry-0')
        polls = asyncio.run(_measure_polls(poller, urls))
        poller.kill()
        entry = scope.start_entry(
            'entry-1',
            platform={'kind': 'http', 'url': platform.ready['url']},
        )
        return {
            'entry_cpu_per_s_by_polled_target': ('ms a second', polls),
            **asyncio.run(_measure(entry, urls)),
        }
