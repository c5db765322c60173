"""Run seeds of the soak: ``python -m tests.soak --seeds 1-50``.

Each seed starts a store, a small fleet and entries as processes on
loopback, injects faults from outside for a while, lets them end, and checks
what callers saw and back ends ran. The exit code is 1 when anything is wrong.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import random
import shutil
import sys
import typing

import attrs

from tests.soak import callers as callers_module
from tests.soak import checks
from tests.soak import faults as faults_module
from tests.soak import world as world_module
from tools import processes

ENTRIES = 4
START_S = 20.0
BACK_S = 15.0
"""Time after the last fault within which everything must serve again: a
lease of 4 s, a configuration in force, and engines that load."""

MEAN_ASK_S = 0.04


@attrs.define
class Report:
    """What one seed showed."""

    seed: int
    problems: list[str]
    faults: list[str]
    requests: int
    served: int


async def run_seed(
    seed: int, seconds: float, folder: pathlib.Path | None = None
) -> Report:
    """Run one seed.

    Parameters
    ----------
    seed : int
        Decides every random choice.
    seconds : float
        Time for which faults are injected.
    folder : pathlib.Path, optional
        Where logs are kept when something is wrong.
    """
    source = random.Random(seed)
    with processes.open_processes() as running:
        world = world_module.World(running, source, ENTRIES)
        callers = callers_module.Callers(
            f's{seed}', random.Random(seed + 1), world.list_entries
        )
        try:
            report = await _play(seed, seconds, world, callers)
        finally:
            callers.close()
            await world.stop()
        if report.problems and folder is not None:
            shutil.copytree(
                running.folder, folder / f'seed-{seed}', dirs_exist_ok=True
            )
        return report


async def _play(
    seed: int,
    seconds: float,
    world: world_module.World,
    callers: callers_module.Callers,
) -> Report:
    await world.start()
    missing = await world.wait_until_served(START_S)
    if missing:
        return Report(seed, [f'at the start: {missing}'], [], 0, 0)
    asking = asyncio.create_task(callers.ask_forever(MEAN_ASK_S))
    faults = faults_module.Faults(world)
    await faults.inject(seconds)
    missing = await world.wait_until_served(BACK_S)
    asking.cancel()
    await callers.finish()
    problems = list(world.problems)
    if missing:
        problems.append(f'after the last fault: {missing}')
    problems += await _check_recovery(world, callers)
    fleet = await asyncio.to_thread(world.deployment.read_fleet)
    if fleet['wrong_paths']:
        problems.append(f'{fleet["wrong_paths"]} paths miss or repeat layers')
    problems += checks.check_sendings(
        callers.sendings, fleet['runs'], world.revoked_at
    )
    served = sum(one.status == 200 for one in callers.sendings)
    return Report(seed, problems, faults.drawn, len(callers.sendings), served)


async def _check_recovery(
    world: world_module.World, callers: callers_module.Callers
) -> list[str]:
    """Check that every entry serves every kind once faults have ended."""
    problems = []
    for name in world.entries:
        for kind in ('brief', 'hold', 'read'):
            for _ in range(8):
                sending = await callers.ask(kind, name)
                if sending.status == 200 and sending.whole:
                    break
                await asyncio.sleep(1.0)
            else:
                status = sending.status
                problems.append(f'{name} serves no {kind}: {status}')
    return problems


def _parse_seeds(text: str) -> list[int]:
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


async def _run_all(options: typing.Any) -> int:
    gate = asyncio.Semaphore(options.jobs)
    failed = 0

    async def run_one(seed: int) -> None:
        nonlocal failed
        async with gate:
            report = await run_seed(seed, options.seconds, options.logs)
        failed += bool(report.problems)
        verdict = 'WRONG' if report.problems else 'held'
        print(
            f'seed {seed}: {verdict}; {report.served} of {report.requests} '
            f'served; {len(report.faults)} faults',
            flush=True,
        )
        for line in report.problems[:10]:
            print(f'    {line}', flush=True)

    await asyncio.gather(*(run_one(seed) for seed in options.seeds))
    print(f'{len(options.seeds) - failed} held, {failed} wrong')
    return 1 if failed else 0


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(
        prog='python -m tests.soak', description=__doc__
    )
    parser.add_argument(
        '--seeds', type=_parse_seeds, default=[1], metavar='N[-M]'
    )
    parser.add_argument('--seconds', type=float, default=12.0)
    parser.add_argument(
        '--jobs', type=int, default=2, help='seeds at the same time'
    )
    parser.add_argument(
        '--logs', type=pathlib.Path, help='folder for logs of failed seeds'
    )
    return asyncio.run(_run_all(parser.parse_args()))


if __name__ == '__main__':
    sys.exit(main())
