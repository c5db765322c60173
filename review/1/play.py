"""One unreadable entry in the server list ends the copy of all entries."""

from __future__ import annotations

import asyncio
import pathlib
import time

import heartbeats
import world as world_module

DEPTH = 2_000
UNREADABLE = b'{"sequence":' + b'[' * DEPTH + b']' * DEPTH + b'}'
"""Bytes of another writer; 4 kB, where ``value_bytes`` allows 1 MB."""

CONFIG_S = world_module.BOUNDS['config_ms'] / 1000
CONTACT_S = world_module.BOUNDS['contact_ms'] / 1000
SENDS = 60
INTERVAL_S = 0.1


def build_routes(service):
    """Build the routes; ``/open/`` needs no key and changes its service."""
    return [
        world_module.build_route('/read/', 'idempotent', 'ledger'),
        world_module.build_route(
            '/open/', 'idempotent', service, anonymous=True
        ),
    ]


async def send(world, path, label):
    calls = []
    for index in range(SENDS):
        entry = world.entries[index % len(world.entries)]
        calls.append(
            asyncio.ensure_future(
                world_module.call(
                    world,
                    entry,
                    'GET',
                    path,
                    f'{label}-{index:03}',
                    deadline_ms=3_000,
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*calls)


async def play(world, troubled):
    await world.start(
        entries=3, engines=0, plain=3, routes=build_routes('ledger')
    )
    for index, domain in enumerate('abc'):
        await world.add_server(f'catalog-{index}', 'catalog', domain)
    heartbeats.start(world)
    await asyncio.sleep(CONTACT_S)
    if troubled:
        await world.put_raw('servers/from-another-writer', UNREADABLE)
        world.record('another writer writes servers/from-another-writer')
    await asyncio.sleep(1.0)
    await world.publish(build_routes('catalog'))
    acknowledged_at = time.monotonic()
    await asyncio.sleep(CONFIG_S + 0.1)
    answers = await send(world, '/open/1', 'open')
    by_old = [
        one
        for one in answers
        if one.sent_at > acknowledged_at + CONFIG_S
        and any(name.startswith('ledger') for name in runs_of(world, one))
    ]
    keyed = await send(world, '/read/1', 'read')
    served = sum(one.status == 200 for one in keyed)
    for entry in world.entries:
        world.record(
            f'{entry.name} is {"" if await entry.is_ready() else "not "}ready'
        )
    world.record(
        f'{len(by_old)} of {len(answers)} requests that were sent later than '
        f'{CONFIG_S:.0f} s after the acknowledgement were run by the old '
        'service'
    )
    world.record(f'{served} of {len(keyed)} requests with a key were served')
    if not troubled and served < 0.95 * len(keyed):
        raise RuntimeError('the deployment serves too little')
    return bool(by_old)


def runs_of(world, answer):
    return world.runs.get(answer.attempt, [])


if __name__ == '__main__':
    world_module.main(pathlib.Path(__file__).parent, play)
