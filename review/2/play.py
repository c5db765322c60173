"""Calls and actions whose server spoils one byte of the answer's head."""

from __future__ import annotations

import asyncio
import pathlib

import spoiling
import world as world_module

TIMEOUT_S = 1.5
GRACE_S = 0.5
RATE_PER_S = 40


def answer_soundly_or_not(spoiler):
    """Answer like a sound plain server, but for the spoiled heads."""

    async def answer(server, request, reader, writer):
        headers = request[2]
        attempt = headers['attempt-id']
        await asyncio.sleep(server.work_s)
        header = spoiler.choose_header(server, attempt)
        world_module.write_response(
            writer,
            200,
            [*server.seal(attempt), header],
            f'{server.id} for {attempt}'.encode(),
        )
        await writer.drain()
        server.world.record(f'server {server.id} answers {attempt} 200')
        return True

    return answer


async def play(world, troubled):
    await world.start(entries=3, engines=0, plain=5)
    servers = list(world.servers.values())
    spoiler = spoiling.Spoiler(servers)
    for server in servers:
        server.fault = answer_soundly_or_not(spoiler)
    spoiler.is_on = troubled
    calls = []
    for number in range(round(RATE_PER_S * spoiling.FOR_S)):
        entry = world.entries[number % 3]
        method, path = (
            ('POST', '/hold/1') if number % 2 else ('GET', '/read/1')
        )
        calls.append(
            asyncio.create_task(
                world_module.call(
                    world,
                    entry,
                    method,
                    path,
                    f'{path[1:5]}-{number}',
                    body=b'%d' % number,
                    deadline_ms=3000,
                    wait_s=6.0,
                )
            )
        )
        await asyncio.sleep(1 / RATE_PER_S)
    spoiler.is_on = False
    answers = await asyncio.gather(*calls)
    return judge(world, spoiler, answers)


def judge(world, spoiler, answers):
    """Apply the rule CONFIG on requests that are unanswered in time."""
    unanswered = [one for one in answers if is_open(one, TIMEOUT_S)]
    late = [one for one in unanswered if is_open(one, TIMEOUT_S + GRACE_S)]
    never = [one for one in late if not one.raw]
    record = world.record
    record(f'{len(answers)} requests, {len(spoiler.spoiled)} spoiled answers')
    record(f'{len(unanswered)} requests unanswered at the timeout of 1.5 s')
    record(f'{len(late)} of them unanswered half a second later')
    for one in never:
        runs = world.runs.get(one.attempt, [])
        reason = (
            'its answer was spoiled'
            if one.attempt in spoiler.spoiled
            else 'a sound server had answered it'
        )
        record(
            f'{one.attempt} ran at {",".join(runs)} and had no answer after '
            f'{one.took_s:.1f} s; {reason}'
        )
    print(
        f'{len(answers)} requests, {len(spoiler.spoiled)} spoiled, '
        f'{len(unanswered)} unanswered at their timeout, {len(late)} half a '
        f'second later, {len(never)} after 6 s'
    )
    return len(late) > len(unanswered) / 2


def is_open(answer, after_s):
    """Return whether a request has no answer some time after its sending."""
    return not answer.status and answer.took_s > after_s


world_module.main(pathlib.Path(__file__).parent, play)
