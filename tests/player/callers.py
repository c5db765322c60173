"""Callers of a mix, and what they get."""

from __future__ import annotations

import collections
import math
import random

import attrs

from tests.application.routing import builders
from tests.player import engines
from tests.player import loops
from tests.player import world as world_module

CALLER_MS = 3
"""One way between a caller and an entry."""

MAX_PROMPT, MAX_ANSWER = 2_280, 470


@attrs.define
class Tally:
    """What callers got.

    Attributes
    ----------
    counts : collections.Counter
        Requests by ``on_time``, ``late_first``, ``late_pause``, ``refused``
        and ``cut``.
    late_at : collections.Counter
        Those that were not on time, by second of their arrival.
    """

    counts: collections.Counter = attrs.field(factory=collections.Counter)
    late_at: collections.Counter = attrs.field(factory=collections.Counter)
    sent: int = 0
    refused_runs: int = 0
    no_repeats: int = 0
    repaths: int = 0

    @property
    def total(self):
        return sum(self.counts.values())

    def share(self, *names):
        """Return the share of requests that ended in one of some ways."""
        return sum(self.counts[name] for name in names) / self.total


class _Caller(builders.FakeReply):
    """One request of a caller, with the times at which events came."""

    def __init__(self, clock, arrived_at):
        super().__init__()
        self._clock = clock
        self._last = arrived_at
        self._arrived_at = arrived_at
        self.first_ms = None
        self.pause_ms = 0

    def write(self, chunk):
        super().write(chunk)
        now = self._clock.now()
        if self.first_ms is None:
            self.first_ms = now - self._arrived_at + CALLER_MS
        else:
            self.pause_ms = max(self.pause_ms, now - self._last)
        self._last = now


def draw(source, median, spread, most):
    """Draw a size in tokens."""
    size = median * math.exp(spread * source.gauss(0.0, 1.0) * 0.6)
    return max(3.0, min(most, size))


async def _call(world, tally, number, source, entry):
    mix = world.mix
    begun = world.clock.now()
    began_s = world.count_seconds()
    prompt = draw(source, mix.prompt, mix.spread, MAX_PROMPT)
    answer = draw(source, mix.answer, mix.spread, MAX_ANSWER)
    hint = answer if source.random() < 0.5 else mix.answer
    for attempt in range(2):
        key = f'{number}-{attempt}'
        world.engines.lengths[key] = answer
        await loops.pass_time(CALLER_MS)
        reply = _Caller(world.clock, begun)
        entry.intake.serve(
            builders.build_inquiry(
                '/brief/x',
                id=key,
                arrived_at=world.clock.now(),
                prompt_tokens=prompt,
                answer_tokens=hint,
            ),
            reply,
        )
        while not (reply.whole or reply.aborted):
            await loops.pass_time(5)
        if reply.status != 503 or attempt:
            break
        await loops.pass_time(reply.retry_after_ms or 500)
        entry = source.choice(list(world.entries.values()))
    outcome = _judge(mix, reply)
    tally.counts[outcome] += 1
    if outcome != 'on_time':
        tally.late_at[int(began_s)] += 1


def _judge(mix, reply):
    if reply.aborted:
        return 'cut'
    if reply.status != 200:
        return 'refused'
    if reply.first_ms > mix.first_ms:
        return 'late_first'
    if reply.pause_ms > mix.gap_ms:
        return 'late_pause'
    return 'on_time'


def play(mix, seed, seconds, trouble=lambda world: None):
    """Play a load; returns what callers got.

    Parameters
    ----------
    mix : world_module.Mix
        Load and fleet.
    seed : int
        Of arrivals, sizes and all choices.
    seconds : int
        Length of the load.
    trouble : callable, optional
        A coroutine function that disturbs the world.
    """
    tally = Tally()
    with engines.virtual_loop() as loop:
        world = world_module.World(loop, mix, seed)
        loop.run_until_complete(_play(world, tally, seed, seconds, trouble))
        tally.sent = world.engines.sent
        tally.repaths = world.engines.repaths
        tally.refused_runs = world.engines.refused
        tally.no_repeats = sum(
            one.budget.refused for one in world.entries.values()
        )
    return tally


async def _play(world, tally, seed, seconds, trouble):
    world.start()
    await loops.pass_time(1_000)
    disturbing = trouble(world)
    if disturbing is not None:
        world.engines.run(disturbing)
    source = random.Random(seed)
    entries = list(world.entries.values())
    calls = []
    at = 0.0
    number = 0
    while at < seconds:
        wait = source.expovariate(world.mix.requests_per_s)
        at += wait
        await loops.pass_time(wait * 1000)
        number += 1
        calls.append(
            world.engines.run(
                _call(
                    world,
                    tally,
                    number,
                    random.Random(f'{seed} {number}'),
                    source.choice(entries),
                )
            )
        )
    for call in calls:
        await call
