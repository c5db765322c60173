"""Requests whose paths hold percent escapes reach servers with other paths."""

from __future__ import annotations

import asyncio
import pathlib

import heartbeats
import world as world_module

SENDS = 60
INTERVAL_S = 0.05
TARGETS = {
    # Escapes as RFC 3986 allows them, in both cases.
    True: '/hold/kaup%c3%b0/2%2f7?item=caf%c3%a9',
    False: '/hold/kaup%C3%B0/2%2F7?item=caf%C3%A9',
}


async def play(world, troubled):
    await world.start(entries=3, engines=0, plain=3)
    heartbeats.start(world)
    target = TARGETS[troubled]
    calls = []
    for index in range(SENDS):
        entry = world.entries[index % len(world.entries)]
        calls.append(
            asyncio.ensure_future(
                world_module.call(
                    world,
                    entry,
                    'POST',
                    target,
                    f'hold-{index:03}',
                    deadline_ms=3_000,
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*calls)
    changed = [
        one
        for one in answers
        if world.targets.get(one.attempt, target) != target
    ]
    world.record(
        f'{len(changed)} of {len(answers)} requests were run with another '
        f'path or query than {target}'
    )
    if sum(one.status == 200 for one in answers) < 0.95 * len(answers):
        raise RuntimeError('the deployment serves too little')
    return bool(changed)


if __name__ == '__main__':
    world_module.main(pathlib.Path(__file__).parent, play)
