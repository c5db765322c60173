"""Streams whose engine spoils one byte of the answer's head."""

from __future__ import annotations

import asyncio
import pathlib

import spoiling
import world as world_module

RATE_PER_S = 32
WINDOWS = 2
PAUSE_S = 3.0


def answer_soundly_or_not(spoiler):
    """Stream like a sound engine, but for the spoiled heads."""

    async def answer(server, request, reader, writer):
        headers = request[2]
        attempt = headers['attempt-id']
        first = int(headers.get('last-event-id') or -1) + 1
        header = spoiler.choose_header(server, attempt)
        world_module.write_chunked_head(
            writer,
            [
                *server.seal(attempt),
                ('Content-Type', 'text/event-stream'),
                header,
            ],
        )
        for index in range(first, world_module.EVENTS):
            await asyncio.sleep(world_module.STEP_S)
            world_module.write_chunk(writer, world_module.format_event(index))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        server.world.record(f'server {server.id} answers {attempt} whole')
        return True

    return answer


async def play(world, troubled):
    await world.start(entries=3, engines=5, plain=1)
    engines = [one for one in world.servers.values() if one.layers]
    spoiler = spoiling.Spoiler(engines)
    for engine in engines:
        engine.fault = answer_soundly_or_not(spoiler)
    calls = []
    for window in range(WINDOWS):
        spoiler.is_on = troubled
        for number in range(round(RATE_PER_S * spoiling.FOR_S)):
            calls.append(
                asyncio.create_task(
                    world_module.call(
                        world,
                        world.entries[number % 3],
                        'POST',
                        '/brief/1',
                        f'brief-{window}-{number}',
                        body=b'%d' % number,
                    )
                )
            )
            await asyncio.sleep(1 / RATE_PER_S)
        spoiler.is_on = False
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*calls)
    return judge(world, spoiler, answers)


def judge(world, spoiler, answers):
    """Apply the rule MIXED on bytes that are no answer in the protocol.

    It does not apply where the engine itself broke off its answer, which no
    engine does here.
    """
    mixed = [one for one in answers if one.problem.startswith('bytes that')]
    for one in mixed:
        world.record(
            f'{one.attempt} ran at {",".join(world.runs[one.attempt])}; the '
            f'client got first: {one.raw[:60]!r}'
        )
    text = (
        f'{len(answers)} requests, {len(spoiler.spoiled)} spoiled answers, '
        f'{len(mixed)} clients got bytes that are no answer'
    )
    world.record(text)
    print(text)
    return bool(mixed)


world_module.main(pathlib.Path(__file__).parent, play)
