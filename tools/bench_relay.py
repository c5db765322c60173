"""Measure how many tokens a second one entry relays and checks.

A stand-in engine in a process of its own streams without a step time; the
client, the verifier and the use case run in this process.
"""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import time

from thornspool import clock
from thornspool.adapters.targets import engines
from thornspool.application import generation
from thornspool.application import generation_messages
from thornspool.application import generation_planning
from thornspool.domain.configuration import documents
from thornspool.domain.targets import messages as target_messages

_STREAMS = 8
_TOKENS = 25_000
_LAYERS = 32
_WAIT_MS = 60_000


class _ReadyTargets:
    """Every target is ready and none has reported."""

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
    """Read one answer; return its tokens and its chunks."""
    request = generation_messages.GenerationRequest(
        request_id=f'request-{number}',
        workspace='brokers',
        model='text',
        prompt=f'Prompt {number}',
        max_tokens=tokens,
        priority=0,
        deadline=clock.Clock().now() + _WAIT_MS,
    )
    received = chunks = 0
    last: generation_messages.GenerationEvent | None = None
    async for last in service.stream(request):
        if isinstance(last, generation_messages.Tokens):
            received += len(last.texts)
            chunks += 1
    if last != generation_messages.Finished(tokens):
        raise RuntimeError(f'The answer is not whole: {last}.')
    return received, chunks


async def _relay(url: str, tokens: int) -> dict[str, float]:
    client = engines.CurlEngines(max_streams=64)
    snapshot = _build_snapshot(url)
    planning = generation_planning.Planning(
        'entry-1', lambda: snapshot, _ReadyTargets(), random.Random(1)
    )
    service = generation.GenerationService(clock.Clock(), client, planning)
    wall, processor = time.monotonic(), time.process_time()
    read = await asyncio.gather(
        *(_read(service, number, tokens) for number in range(_STREAMS))
    )
    wall = time.monotonic() - wall
    processor = time.process_time() - processor
    await service.close()
    await client.close()
    count = sum(received for received, _ in read)
    return {
        'tokens': count,
        'chunks': sum(chunks for _, chunks in read),
        'tokens_per_s': round(count / wall),
        'tokens_per_core_s': round(count / processor),
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
    """Measure the relay with many and with single tokens in a frame burst.

    Returns
    -------
    dict of str to dict
        ``bursts`` and ``single``, each with ``tokens``, ``chunks`` handed
        on, ``tokens_per_s`` of the wall clock (the stand-in's pace is part
        of it) and ``tokens_per_core_s`` of this process's processor time.
    """
    return {
        'bursts': _measure(64, _TOKENS),
        'single': _measure(1, _TOKENS // 10),
    }


if __name__ == '__main__':
    print(json.dumps(measure_relay(), indent=2))
