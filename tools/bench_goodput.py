"""Measure model requests under load, with real entries and engines.

Callers arrive at random, by a rate that does not follow the answers. A
refused one goes away. The bound is what the engines can compute when every
batch is full.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
import typing

import attrs

from tools import bench_deployment
from tools import processes
from tools import samples

LOADS = (0.5, 1.0, 2.0, 3.0)
ENTRIES = 3
CHAINS = 4
STEP_MS = 20
BATCH = 8
TOKENS = 40
TIMEOUT_MS = 10_000
WARM_UP_S = 6.0
DURATION_S = 15.0
SEED = 20261203
FIRST_EVENT = b'event: tokens'

CAPACITY = CHAINS * BATCH * 1000 / STEP_MS
"""Tokens a second of all chains with full batches."""

Figures = dict[str, typing.Any]


@attrs.define
class Outcomes:
    """What callers saw who came within the measured time.

    Attributes
    ----------
    first_token_ms : list of float
        Wait for the first token, of whole answers.
    whole, refused, failed : int
        Answers with all their tokens, refusals, and the rest.
    tokens : int
        Tokens of whole answers that ended within the measured time.
    problems : list of str
        What came instead, for a reader of failures.
    """

    first_token_ms: list[float] = attrs.field(factory=list)
    whole: int = 0
    refused: int = 0
    failed: int = 0
    tokens: int = 0
    problems: list[str] = attrs.field(factory=list)

    def sum_up(self) -> Figures:
        """Return shares and percentiles."""
        waits = sorted(self.first_token_ms)
        offered = max(1, self.whole + self.refused + self.failed)
        return {
            'throughput_to_bound': round(
                self.tokens / (CAPACITY * DURATION_S), 3
            ),
            'first_token_p50_ms': _read(waits, 50),
            'first_token_p95_ms': _read(waits, 95),
            'refused': round(self.refused / offered, 3),
            'failed': self.failed,
            'answers': self.whole,
            'problems': self.problems[:3],
        }


def _read(ordered: list[float], percent: float) -> float | None:
    if not ordered:
        return None
    return round(samples.read_percentile(ordered, percent), 1)


class Callers:
    """Callers of one load.

    Parameters
    ----------
    session : bench_deployment.Session
        Client.
    urls : tuple of str
        Callers' addresses of the entries.
    """

    def __init__(
        self, session: bench_deployment.Session, urls: tuple[str, ...]
    ) -> None:
        self._session = session
        self._urls = urls
        self._random = random.Random(SEED)
        self._asking: set[asyncio.Task[None]] = set()

    async def arrive(self, load: float) -> Outcomes:
        """Let callers arrive at a load until the measured time is over."""
        outcomes = Outcomes()
        rate = load * CAPACITY / TOKENS
        began = time.monotonic() + WARM_UP_S
        while time.monotonic() < began + DURATION_S:
            await asyncio.sleep(self._random.expovariate(rate))
            task = asyncio.create_task(self._ask(outcomes, began))
            self._asking.add(task)
            task.add_done_callback(self._asking.discard)
        if self._asking:
            await asyncio.wait(self._asking)
        return outcomes

    async def _ask(self, outcomes: Outcomes, began: float) -> None:
        url = self._random.choice(self._urls)
        prompt = str(self._random.getrandbits(64))
        body = json.dumps(
            {
                'prompt': prompt,
                'max_tokens': TOKENS,
                'timeout_ms': TIMEOUT_MS,
            }
        ).encode()
        sent_at = time.monotonic()
        first_at: list[float] = []
        chunks: list[bytes] = []

        def take(chunk: bytes) -> None:
            if not first_at and FIRST_EVENT in chunk:
                first_at.append(time.monotonic())
            chunks.append(chunk)

        response = await self._session.send(
            'POST',
            url + bench_deployment.GENERATE_PATH,
            body,
            {'Content-Type': 'application/json'},
            take,
            TIMEOUT_MS / 1000 + 1,
        )
        now = time.monotonic()
        text = b''.join(chunks)
        is_whole = response.code == 200 and b'event: end' in text
        if is_whole and began <= now < began + DURATION_S:
            outcomes.tokens += TOKENS
        if sent_at < began:
            return
        if is_whole:
            outcomes.whole += 1
            outcomes.first_token_ms.append((first_at[0] - sent_at) * 1000)
        elif response.code in (429, 503):
            outcomes.refused += 1
        else:
            outcomes.failed += 1
            outcomes.problems.append(f'{response.code} {text[-200:]!r}')


async def _measure(scope: processes.Processes) -> Figures:
    deployment = bench_deployment.start_deployment(
        scope, ENTRIES, CHAINS, step_ms=STEP_MS, batch=BATCH
    )
    session = bench_deployment.Session()
    try:
        await bench_deployment.publish(
            session, deployment.entries[0], deployment.documents, 0
        )
        await bench_deployment.wait_settled(session, deployment)
        urls = tuple(one.ready['callers'] for one in deployment.entries)
        callers = Callers(session, urls)
        return {
            str(load): (await callers.arrive(load)).sum_up() for load in LOADS
        }
    finally:
        session.close()


def measure_goodput() -> Figures:
    """Measure answers under load.

    Returns
    -------
    dict
        By load over capacity: ``throughput_to_bound`` (tokens of whole
        answers over what the engines can compute), waits for the first
        token in milliseconds, the share of callers that were refused, and
        how many failed otherwise.
    """
    with processes.open_processes() as scope:
        return asyncio.run(_measure(scope))


if __name__ == '__main__':
    json.dump(measure_goodput(), sys.stdout, indent=2)
