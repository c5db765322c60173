"""Measure model requests under load, with real entries and engines.

Requests arrive at random in an open loop: the rate does not depend on the
responses, and a refused request is not retried. The bound is the number of
tokens that the engines compute when every batch is full.
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
    """Outcomes of the requests that arrived in the measurement window.

    Attributes
    ----------
    first_token_ms : list of float
        Time to the first token of each complete response.
    complete, refused, failed : int
        Responses with all tokens, refusals, and all other responses.
    tokens : int
        Tokens of complete responses that ended within the window.
    problems : list of str
        Status and end of the body of each failed response.
    """

    first_token_ms: list[float] = attrs.field(factory=list)
    complete: int = 0
    refused: int = 0
    failed: int = 0
    tokens: int = 0
    problems: list[str] = attrs.field(factory=list)

    def summarize(self) -> Figures:
        """Return shares and percentiles."""
        times_ms = sorted(self.first_token_ms)
        offered = max(1, self.complete + self.refused + self.failed)
        return {
            'throughput_to_bound': round(
                self.tokens / (CAPACITY * DURATION_S), 3
            ),
            'first_token_p50_ms': _compute_percentile(times_ms, 50),
            'first_token_p95_ms': _compute_percentile(times_ms, 95),
            'refused': round(self.refused / offered, 3),
            'failed': self.failed,
            'answers': self.complete,
            'problems': self.problems[:3],
        }


def _compute_percentile(ordered: list[float], percent: float) -> float | None:
    if not ordered:
        return None
    return round(samples.compute_percentile(ordered, percent), 1)


class Callers:
    """Open-loop source of requests.

    Parameters
    ----------
    session : bench_deployment.Session
        HTTP client.
    urls : tuple of str
        URLs of the entries for callers.
    """

    def __init__(
        self, session: bench_deployment.Session, urls: tuple[str, ...]
    ) -> None:
        self._session = session
        self._urls = urls
        self._random = random.Random(SEED)
        self._tasks: set[asyncio.Task[None]] = set()

    async def arrive(self, load: float) -> Outcomes:
        """Send requests until the measurement window ends.

        Parameters
        ----------
        load : float
            Offered load as a multiple of the capacity.
        """
        outcomes = Outcomes()
        rate = load * CAPACITY / TOKENS
        window_start = time.monotonic() + WARM_UP_S
        while time.monotonic() < window_start + DURATION_S:
            await asyncio.sleep(self._random.expovariate(rate))
            task = asyncio.create_task(
                self._send_request(outcomes, window_start)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)
        return outcomes

    async def _send_request(
        self, outcomes: Outcomes, window_start: float
    ) -> None:
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
        first_token_at: list[float] = []
        chunks: list[bytes] = []

        def store_chunk(chunk: bytes) -> None:
            if not first_token_at and FIRST_EVENT in chunk:
                first_token_at.append(time.monotonic())
            chunks.append(chunk)

        response = await self._session.send(
            'POST',
            url + bench_deployment.GENERATE_PATH,
            body,
            {'Content-Type': 'application/json'},
            store_chunk,
            TIMEOUT_MS / 1000 + 1,
        )
        now = time.monotonic()
        content = b''.join(chunks)
        is_complete = response.code == 200 and b'event: end' in content
        if is_complete and window_start <= now < window_start + DURATION_S:
            outcomes.tokens += TOKENS
        if sent_at < window_start:
            return
        if is_complete:
            outcomes.complete += 1
            outcomes.first_token_ms.append(
                (first_token_at[0] - sent_at) * 1000
            )
        elif response.code in (429, 503):
            outcomes.refused += 1
        else:
            outcomes.failed += 1
            outcomes.problems.append(f'{response.code} {content[-200:]!r}')


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
        urls = tuple(entry.ready['callers'] for entry in deployment.entries)
        callers = Callers(session, urls)
        return {
            str(load): (await callers.arrive(load)).summarize()
            for load in LOADS
        }
    finally:
        session.close()


def measure_goodput() -> Figures:
    """Measure responses under load.

    Returns
    -------
    dict
        By load as a multiple of the capacity: ``throughput_to_bound`` (tokens
        of complete responses divided by the tokens that the engines can
        compute), times to the first token in milliseconds, the share of
        refused requests, and the number of failed ones.
    """
    with processes.open_processes() as scope:
        return asyncio.run(_measure(scope))


if __name__ == '__main__':
    json.dump(measure_goodput(), sys.stdout, indent=2)
