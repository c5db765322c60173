"""Faults in which sound engines are unresponsive and then continue."""

from __future__ import annotations

import random

from tests.simulation import loops
from tests.simulation import world as world_module

LENGTHS_MS = (800, 1_500)
"""Shortest and longest time for which a sound engine is unresponsive."""

ACCEPTING_SHARE = 0.5
"""Share of these engines that still accept connections."""

TIMEOUTS_MS = (20_000, 18_000)
"""Time limits of the route in consecutive versions."""

MAX_LAG_MS = 2_000
"""Latest time at which an entry applies a version."""


def stall_engines(seed, share=0.25, at_ms=1_500, interval_ms=3_000, rounds=3):
    """Return a fault in which a share of the engines stalls at once.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    share : float, optional
        Share of the engines that stall together.
    at_ms : int, optional
        Virtual milliseconds from the start of the load to the first round.
    interval_ms : int, optional
        Virtual milliseconds between the starts of two rounds.
    rounds : int, optional
        Number of rounds.
    """

    async def stall(simulated):
        source = random.Random(f'{seed} stalls')
        await loops.sleep_ms(at_ms)
        for _ in range(rounds):
            names = sorted(
                engine.server.id
                for engine in simulated.engines.by_address.values()
                if engine.state == 'up'
            )
            for name in source.sample(names, round(share * len(names))):
                simulated.engines.start_task(
                    simulated.engines.pause(
                        name,
                        source.uniform(*LENGTHS_MS),
                        accepts=source.random() < ACCEPTING_SHARE,
                    )
                )
            await loops.sleep_ms(interval_ms)

    return stall


def change_configurations(seed, at_ms=1_000, interval_ms=3_000):
    """Return a fault in which versions change the time limit of the route.

    Parameters
    ----------
    seed : int
        Seed of the lags with which entries apply a version.
    at_ms : int, optional
        Virtual milliseconds from the start of the load to the first one.
    interval_ms : int, optional
        Virtual milliseconds between two of them.
    """

    async def apply(entry, configuration, lag_ms):
        await loops.sleep_ms(lag_ms)
        entry.routing_state.apply_configuration(configuration)

    async def change(simulated):
        source = random.Random(f'{seed} versions')
        await loops.sleep_ms(at_ms)
        version = 1
        while True:
            version += 1
            configuration = world_module.build_configuration(
                simulated.workload,
                simulated.model,
                version,
                timeout_ms=TIMEOUTS_MS[version % len(TIMEOUTS_MS)],
            )
            for entry in simulated.entries.values():
                simulated.engines.start_task(
                    apply(entry, configuration, source.uniform(0, MAX_LAG_MS))
                )
            await loops.sleep_ms(interval_ms)

    return change


def use_up_retries(interval_ms=100):
    """Return a fault in which other requests use up the retry budgets."""

    async def use_up(simulated):
        while True:
            for entry in simulated.entries.values():
                while entry.budget.acquire('drafting', urgent=True):
                    pass
            await loops.sleep_ms(interval_ms)

    return use_up
