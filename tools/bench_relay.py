"""Measure how many tokens a second one entry relays and verifies.

A stand-in engine in a separate process streams without a step time; the
engine client, the verifier and the generation service run in this process.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import subprocess
import sys
import time

from thornspool import clock
from thornspool.adapters.targets import engines
from thornspool.application.generation import messages as generation_messages
from thornspool.application.generation import planning as generation_planning
from thornspool.application.generation import service as generation
from thornspool.domain.configuration import documents
from thornspool.domain.targets import messages as target_messages
from tools import demo
from tools import processes
from tools import requester

_STREAMS = 8
_TOKENS = 25_000
_LAYERS = 32
_TIMEOUT_MS = 60_000


class _ReadyTargets:
    """Target states where every target is ready and none has reported."""

    def read_readiness(self, target: str) -> target_messages.Readiness:
        return target_messages.Readiness.READY

    def read_load(self, target: str) -> target_messages.LoadReport | None:
        return None


def _build_snapshot(url: str) -> documents.Snapshot:
    stage = documents.Stage('engine-1', 0, _LAYERS)
    model = documents.Model('text', '1', _LAYERS, (stage,))
    target = documents.Target(
        'engine-1', documents.TargetKind.ENGINE, 'host-1', 'perth-a', url
    )
    return documents.Snapshot(
        1, models={'text': model}, targets={'engine-1': target}
    )


async def _read(
    service: generation.GenerationService, number: int, tokens: int
) -> tuple[int, int]:
    """Read one response; return the numbers of its tokens and its chunks."""
    request = generation_messages.GenerationRequest(
        request_id=f'request-{number}',
        workspace='brokers',
        model='text',
        prompt=f'Prompt {number}',
        max_tokens=tokens,
        priority=0,
        deadline=clock.Clock().now() + _TIMEOUT_MS,
    )
    received = chunks = 0
    last_event: generation_messages.GenerationEvent | None = None
    async for last_event in service.stream(request):
        if isinstance(last_event, generation_messages.Tokens):
            received += len(last_event.texts)
            chunks += 1
    if last_event != generation_messages.Finished(tokens):
        raise RuntimeError(f'incomplete response: {last_event}.')
    return received, chunks


async def _relay(url: str, tokens: int) -> dict[str, float]:
    client = engines.CurlEngines(max_streams=64)
    snapshot = _build_snapshot(url)
    planning = generation_planning.Planning(
        'entry-1', lambda: snapshot, _ReadyTargets(), random.Random(1)
    )
    service = generation.GenerationService(clock.Clock(), client, planning)
    wall_s, cpu_s = time.monotonic(), time.process_time()
    results = await asyncio.gather(
        *(_read(service, number, tokens) for number in range(_STREAMS))
    )
    wall_s = time.monotonic() - wall_s
    cpu_s = time.process_time() - cpu_s
    await service.close()
    await client.close()
    count = sum(received for received, _ in results)
    return {
        'tokens': count,
        'chunks': sum(chunks for _, chunks in results),
        'tokens_per_s': round(count / wall_s),
        'tokens_per_core_s': round(count / cpu_s),
    }


def _measure(burst: int, tokens: int) -> dict[str, float]:
    command = [sys.executable, '-m', 'standins.engine', '--step-ms', '0']
    options = ['--name', 'engine-1', '--burst', str(burst), '--guarded']
    with subprocess.Popen(
        command + options, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        try:
            url = json.loads(process.stdout.readline())['url']
            return asyncio.run(_relay(url, tokens))
        finally:
            process.kill()


def measure_relay() -> dict[str, dict[str, float]]:
    """Measure the relay with bursts of frames and with single frames.

    Returns
    -------
    dict of str to dict
        ``bursts`` and ``single``, each with ``tokens``, relayed ``chunks``,
        ``tokens_per_s`` of wall time (which includes the time of the
        stand-in) and ``tokens_per_core_s`` of this process's processor time.
    """
    return {
        'bursts': _measure(64, _TOKENS),
        'single': _measure(1, _TOKENS // 10),
    }


def measure_entry_relay(tokens: int = _TOKENS // 5) -> dict[str, float]:
    """Measure an entry process with one token a chunk.

    The entry, a stand-in engine without a step time and the caller are three
    processes; the caller is this one. The entry writes server-sent events.

    Parameters
    ----------
    tokens : int
        Tokens of each stream.

    Returns
    -------
    dict of str to float
        ``tokens``; ``tokens_per_s`` of wall time, which includes the time of
        the stand-in; ``tokens_per_core_s`` of the entry's processor time.
    """
    with processes.open_processes() as scope:
        engine = scope.start(
            'engine-1',
            'standins.engine',
            *('--name', 'engine-1', '--step-ms', '0', '--burst', '1'),
            *('--end-layer', str(_LAYERS)),
        )
        entry = scope.start_entry('host-1')
        _publish(scope, entry, engine)
        asyncio.run(_read_all(entry, 100))
        cpu_before_s, wall_s = _read_cpu_s(entry), time.monotonic()
        count = asyncio.run(_read_all(entry, tokens))
        wall_s = time.monotonic() - wall_s
        cpu_s = _read_cpu_s(entry) - cpu_before_s
    return {
        'tokens': count,
        'tokens_per_s': round(count / wall_s),
        'tokens_per_core_s': round(count / cpu_s),
    }


def _publish(
    scope: processes.Processes,
    entry: processes.Process,
    engine: processes.Process,
) -> None:
    """Publish one workspace, one model and the engine that serves it."""
    folder = scope.folder / 'services'
    folder.mkdir()
    listed_documents = (
        {'kind': 'workspace', 'name': 'brokers', 'models': ['text']},
        {
            'kind': 'target',
            'name': 'engine-1',
            'serves': 'engine',
            'host': 'host-2',
            'failure_domain': 'perth-a',
            'url': engine.ready['url'],
        },
        {
            'kind': 'model',
            'name': 'text',
            'version': '1',
            'layers': _LAYERS,
            'stages': [
                {
                    'target': 'engine-1',
                    'first_layer': 0,
                    'end_layer': _LAYERS,
                }
            ],
        },
    )
    for document in listed_documents:
        path = folder / f'{document["name"]}.json'
        path.write_text(json.dumps(document))
    deployment = demo.Deployment(scope, {}, (entry,))
    demo.run_tool(deployment, 'publish', str(folder))


async def _read_all(entry: processes.Process, tokens: int) -> int:
    """Read all streams concurrently and check the end of each."""
    url = (
        entry.ready['callers'] + '/v1/workspaces/brokers/models/text/generate'
    )
    responses = await asyncio.gather(
        *(
            requester.send_async(
                'POST',
                url,
                json.dumps(
                    {'prompt': f'Prompt {number}', 'max_tokens': tokens}
                ).encode(),
            )
            for number in range(_STREAMS)
        )
    )
    for response in responses:
        end = requester.read_events(response.body)[-1]
        if end != ('end', {'count': tokens}):
            raise RuntimeError(f'incomplete response: {end}.')
    return tokens * len(responses)


def _read_cpu_s(process: processes.Process) -> float:
    """Return the processor time of a process in seconds, see proc(5)."""
    path = pathlib.Path(f'/proc/{process.popen.pid}/stat')
    fields = path.read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


if __name__ == '__main__':
    measured = {**measure_relay(), 'entry': measure_entry_relay()}
    print(json.dumps(measured, indent=2))
