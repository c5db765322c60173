"""Simulated callers of a workload, and the results that they get."""

from __future__ import annotations

import collections
import math
import random

import attrs

from tests import engine_rules
from tests.application.routing import builders
from tests.simulation import engines
from tests.simulation import loops
from tests.simulation import prompt_parts
from tests.simulation import world as world_module

CALLER_LATENCY_MS = 3
"""One-way latency between a caller and an entry."""

MAX_PROMPT_TOKENS, MAX_ANSWER_TOKENS = 2_280, 470


@attrs.define
class Results:
    """Outcomes of the requests of all callers.

    Attributes
    ----------
    counts : collections.Counter
        Requests by ``on_time``, ``late_first``, ``late_event``, ``refused``
        and ``cut``.
    late_at : collections.Counter
        Requests that were not on time, by second of their arrival.
    sent : int
        Runs that entries sent to engines.
    refused_runs : int
        Runs that engines refused.
    refused_retries : int
        Retries that the retry budgets refused.
    reroutes : int
        Running requests that were moved to another path.
    sent_at : dict of str to int
        Times at which the requests were sent, by id of the attempt.
    arrivals, answers, crashes : list
        What reached the engines, what they stated in their answers, and
        which of them ended under a request.
    reasons : collections.Counter
        Requests that were not on time, by the reason of the last refusal.
    tries : list of engine_rules.FirstTry
        First tries of all requests.
    attempts : list of part_rules.FirstAttempt
        The same with what they share with others.
    disordered : list of str
        Requests whose events were missing, duplicated or out of order.
    """

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    late_at: collections.Counter = attrs.field(factory=collections.Counter)
    sent: int = 0
    refused_runs: int = 0
    refused_retries: int = 0
    reroutes: int = 0
    sent_at: dict = attrs.field(factory=dict)
    arrivals: list = attrs.field(factory=list)
    answers: list = attrs.field(factory=list)
    crashes: list = attrs.field(factory=list)
    reasons: collections.Counter = attrs.field(factory=collections.Counter)
    tries: list = attrs.field(factory=list)
    attempts: list = attrs.field(factory=list)
    disordered: list = attrs.field(factory=list)

    @property
    def total(self):
        return sum(self.counts.values())

    def share(self, *outcomes):
        """Return the share of requests that had one of some outcomes."""
        return sum(self.counts[name] for name in outcomes) / self.total


class _TimedReply(builders.FakeResponseWriter):
    """Reply that measures the times between its events."""

    def __init__(self, clock, arrived_at):
        super().__init__()
        self._clock = clock
        self._last_at = arrived_at
        self._arrived_at = arrived_at
        self.first_ms = None
        self.max_interval_ms = 0

    def write(self, chunk):
        super().write(chunk)
        now = self._clock.now()
        if self.first_ms is None:
            self.first_ms = now - self._arrived_at + CALLER_LATENCY_MS
        else:
            self.max_interval_ms = max(
                self.max_interval_ms, now - self._last_at
            )
        self._last_at = now


def draw_size(source, median, spread, largest):
    """Draw a size in tokens from a log-normal distribution."""
    size = median * math.exp(spread * source.gauss(0.0, 1.0) * 0.6)
    return max(3.0, min(largest, size))


async def _send_request(world, results, number, source, entry):
    """Send a request, retry it once if refused, and count its outcome."""
    workload = world.workload
    began_at = world.clock.now()
    began_s = world.count_seconds()
    prompt = draw_size(
        source, workload.prompt, workload.spread, MAX_PROMPT_TOKENS
    )
    answer = draw_size(
        source, workload.answer, workload.spread, MAX_ANSWER_TOKENS
    )
    hint = answer if source.random() < 0.5 else workload.answer
    for attempt in range(2):
        key = f'{number}-{attempt}'
        world.engines.output_tokens[key] = answer
        results.sent_at[key] = world.clock.now()
        await loops.sleep_ms(CALLER_LATENCY_MS)
        reply = _TimedReply(world.clock, began_at)
        entry.intake.serve(
            builders.build_request(
                '/brief/x',
                id=key,
                body=_choose_body(number),
                arrived_at=world.clock.now(),
                prompt_tokens=prompt,
                output_tokens=hint,
                prompt_parts=prompt_parts.list_parts(number),
            ),
            reply,
        )
        while not (reply.whole or reply.aborted):
            await loops.sleep_ms(5)
        if not attempt:
            results.tries.append(
                engine_rules.FirstTry(
                    results.sent_at[key],
                    entry.host,
                    reply.status == 200 and not reply.aborted,
                )
            )
            results.attempts.append(
                prompt_parts.build_attempt(
                    results.sent_at[key], entry.host, reply, number
                )
            )
        if not prompt_parts.is_in_order(reply, answer):
            results.disordered.append(key)
        if reply.status != 503 or attempt:
            break
        await loops.sleep_ms(prompt_parts.compute_backoff(reply))
        entry = world.choose_entry(source)
    outcome = _classify(workload, reply)
    results.counts[outcome] += 1
    if outcome != 'on_time':
        results.reasons[reply.reason] += 1
        results.late_at[int(began_s)] += 1


def _choose_body(number):
    """Return a body; one in five requests has the same as others."""
    return b'shared' if number % 5 == 0 else b'%d' % number


def _classify(workload, reply):
    """Return the outcome of a request, as counted in the results."""
    if reply.aborted:
        return 'cut'
    if reply.status != 200:
        return 'refused'
    if reply.first_ms > workload.first_ms:
        return 'late_first'
    if reply.max_interval_ms > workload.gap_ms:
        return 'late_event'
    return 'on_time'


def simulate(workload, seed, seconds, fault=lambda world: None):
    """Simulate a workload; return the results of its callers.

    Parameters
    ----------
    workload : world_module.Workload
        Load and fleet.
    seed : int
        Seed of arrivals, sizes and all choices.
    seconds : int
        Virtual seconds during which requests arrive.
    fault : callable, optional
        A coroutine function that disturbs the simulated fleet.

    Returns
    -------
    Results
        Outcomes of all requests.
    """
    results = Results()
    with engines.virtual_loop() as loop:
        world = world_module.World(loop, workload, seed)
        loop.run_until_complete(
            _simulate(world, results, seed, seconds, fault)
        )
        results.sent = world.engines.sent
        results.reroutes = world.engines.reroutes
        results.arrivals = world.engines.arrivals
        results.answers = world.engines.answers
        results.crashes = world.engines.crashes
        results.refused_runs = world.engines.refused
        results.refused_retries = sum(
            one.budget.refused_count for one in world.entries.values()
        )
    return results


async def _simulate(world, results, seed, seconds, fault):
    world.start()
    await loops.sleep_ms(1_000)
    disturbance = fault(world)
    if disturbance is not None:
        world.engines.start_task(disturbance)
    source = random.Random(seed)
    requests = []
    at_s = 0.0
    number = 0
    while at_s < seconds:
        interval_s = source.expovariate(world.workload.requests_per_s)
        at_s += interval_s
        await loops.sleep_ms(interval_s * 1000)
        number += 1
        requests.append(
            world.engines.start_task(
                _send_request(
                    world,
                    results,
                    number,
                    random.Random(f'{seed} {number}'),
                    world.choose_entry(source),
                )
            )
        )
    for request in requests:
        await request
