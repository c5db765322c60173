"""Servers that renew their entries in the list, as the pages tell.

"An engine writes there approximately every ``heartbeat_ms``", so that an
entry of another writer under the id of a server lasts for one interval.
"""

from __future__ import annotations

import asyncio

HEARTBEAT_S = 1.2


def start(world):
    """Renew the entries of all servers until the script ends."""
    for server in world.servers.values():
        task = asyncio.ensure_future(_renew(server))
        world.tasks.add(task)


async def _renew(server):
    while server.is_alive:
        await asyncio.sleep(HEARTBEAT_S)
        await server.publish()
