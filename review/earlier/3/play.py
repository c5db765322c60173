"""Engines crash while prompts of many parts begin to run on them."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import time

import world as world_module

SESSIONS = 60
PARTS = int(os.environ.get('PARTS', '32'))
"""Parts that the prompts of a session share."""

STREAMS_PER_S = 32
STREAMS_PER_ACTION = 4
FOR_S = 26
CRASHES_AT_S = (3.0, 5.0, 7.0, 9.0, 11.0, 13.0)
CRASHED = 2
"""Engines that crash at once, 0.125 of 16."""

BACK_AFTER_S = 4.5
TIMEOUT_S = 1.5
GRACE_S = 0.5


class Engines:
    """Counts the streams of each engine and crashes the busiest ones."""

    def __init__(self, world):
        self.world = world
        self.streams = {}
        self.tasks = set()
        self.list = [
            one for one in world.servers.values() if one.service == 'writer'
        ]
        for engine in self.list:
            engine.fault = self.answer

    async def answer(self, server, request, reader, writer):
        self.streams[server.id] = self.streams.get(server.id, 0) + 1
        try:
            await server._stream(request[2], reader, writer)
        finally:
            self.streams[server.id] -= 1
        return True

    def crash(self):
        alive = [one for one in self.list if one.is_alive and one.layers]
        alive.sort(key=lambda one: -self.streams.get(one.id, 0))
        for engine in alive[:CRASHED]:
            self.world.record(
                f'server {engine.id} crashes with '
                f'{self.streams.get(engine.id, 0)} streams'
            )
            engine.kill()
            self.tasks.add(asyncio.create_task(self.restart(engine)))

    async def restart(self, engine):
        await asyncio.sleep(BACK_AFTER_S)
        engine.layers = None
        engine.sequence = 0
        await engine.start()
        self.world.record(f'server {engine.id} is back')


async def play(world, troubled):
    await world.start(entries=3, engines=16, plain=3)
    engines = Engines(world)
    source = random.Random(48)
    sessions = [
        ','.join(f'{source.getrandbits(32):08x}:20' for _ in range(PARTS))
        for _ in range(SESSIONS)
    ]
    crashes_at = list(CRASHES_AT_S) if troubled else []
    streams, actions = [], []
    began = time.monotonic()
    number = 0
    while time.monotonic() - began < FOR_S:
        own = f'{source.getrandbits(32):08x}:100'
        prefix = f'{source.choice(sessions)},{own}'
        streams.append(
            asyncio.create_task(
                world_module.call(
                    world,
                    world.entries[number % 3],
                    'POST',
                    '/brief/1',
                    f'brief-{number}',
                    body=b'%d' % number,
                    headers=[('Prompt-Prefix', prefix)],
                )
            )
        )
        if number % STREAMS_PER_ACTION == 0:
            actions.append(
                asyncio.create_task(
                    world_module.call(
                        world,
                        world.entries[number // STREAMS_PER_ACTION % 3],
                        'POST',
                        '/hold/1',
                        f'hold-{number}',
                        body=b'%d' % number,
                        deadline_ms=3000,
                        wait_s=12.0,
                    )
                )
            )
        number += 1
        if crashes_at and time.monotonic() - began > crashes_at[0]:
            crashes_at.pop(0)
            engines.crash()
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*streams)
    return judge(world, await asyncio.gather(*actions))


def judge(world, actions):
    """Apply the rule CONFIG on requests that are unanswered in time."""
    unanswered = [one for one in actions if is_open(one, TIMEOUT_S)]
    late = [one for one in unanswered if is_open(one, TIMEOUT_S + GRACE_S)]
    longest = max(one.took_s for one in actions)
    text = (
        f'{len(actions)} actions; {len(unanswered)} were unanswered at the '
        f'timeout of their route, {len(late)} of them still half a second '
        f'later; the longest wait was {longest:.1f} s'
    )
    world.record(text)
    print(text)
    return len(late) > len(unanswered) / 2


def is_open(answer, after_s):
    """Return whether a request has no answer some time after its sending."""
    return answer.took_s > after_s


world_module.main(pathlib.Path(__file__).parent, play)
