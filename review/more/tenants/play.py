"""A configuration that takes the last key away opens all routes."""

from __future__ import annotations

import asyncio
import pathlib
import time

import heartbeats
import world as world_module

REVOKE_S = world_module.BOUNDS['revoke_ms'] / 1000
CONTACT_S = world_module.BOUNDS['contact_ms'] / 1000
SENDS = 60
INTERVAL_S = 0.1
KEY = world_module.KEY
UNKNOWN = 'key-that-no-configuration-held'


async def play(world, troubled):
    world.tenants = [{'name': 'north', 'api_keys': [KEY]}]
    await world.start(entries=3, engines=0, plain=3)
    heartbeats.start(world)
    await asyncio.sleep(CONTACT_S)
    if troubled:
        world.tenants = []
    await world.publish()
    acknowledged_at = time.monotonic()
    world.record(f'the tenants of this configuration: {world.tenants}')
    await asyncio.sleep(REVOKE_S + 0.5)
    calls = []
    for index in range(SENDS):
        entry = world.entries[index % len(world.entries)]
        name, key = [('known', KEY), ('unknown', UNKNOWN)][index % 2]
        calls.append(
            asyncio.ensure_future(
                world_module.call(
                    world,
                    entry,
                    'POST',
                    '/hold/7',
                    f'{name}-{index:03}',
                    deadline_ms=3_000,
                    key=key,
                )
            )
        )
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*calls)
    late = [one for one in answers if one.sent_at > acknowledged_at + REVOKE_S]
    ran = [one.attempt for one in late if world.runs.get(one.attempt)]
    known = sum(name.startswith('known') for name in ran)
    unknown = len(ran) - known
    world.record(
        f'sent later than {REVOKE_S:.0f} s after the acknowledgement: '
        f'{known} of {SENDS // 2} holds with the key of the first '
        f'configuration ran, {unknown} of {SENDS // 2} with a key that no '
        'configuration held'
    )
    if not troubled and known < 0.95 * SENDS // 2:
        raise RuntimeError('the deployment serves too little')
    return bool(unknown or (troubled and known))


if __name__ == '__main__':
    world_module.main(pathlib.Path(__file__).parent, play)
