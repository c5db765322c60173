"""A proxy in front of the store whose open connections can go silent."""

from __future__ import annotations

import asyncio
import re
import time

import world as world_module

_WATCH = re.compile(rb'/v1/kv-watch\?\S*wait_ms=(\d+)')
_LONG_MS = 100
"""Shorter watches only confirm a copy."""


class SilentProxy:
    """Passes one machine's calls on to the store.

    Attributes
    ----------
    watched_at, confirmed_at : float
        When the last long and the last short watch were passed on, by the
        steady clock.
    open_count : int
        Connections that are open and not silent.
    """

    def __init__(self, world):
        self.world = world
        self.port = world_module.find_ports(1)[0]
        self.address = f'127.0.0.1:{self.port}'
        self.watched_at = 0.0
        self.confirmed_at = 0.0
        self.open_count = 0
        self._generation = 0
        self._silent = []
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    def silence(self):
        """Pass nothing more on over the connections that are open now.

        They are neither closed nor reset, and new ones work.
        """
        self._generation += 1
        self.open_count = 0

    async def _serve(self, reader, writer):
        self.world.tasks.add(asyncio.current_task())
        generation = self._generation
        self.open_count += 1
        host, _, port = self.world.store_address.partition(':')
        store_reader, store_writer = await asyncio.open_connection(
            host, int(port)
        )
        await asyncio.gather(
            self._copy(generation, reader, store_writer, True),
            self._copy(generation, store_reader, writer, False),
        )
        if generation == self._generation:
            self.open_count -= 1

    async def _copy(self, generation, reader, writer, is_call):
        try:
            while chunk := await reader.read(65_536):
                if generation != self._generation:
                    continue
                watch = _WATCH.search(chunk) if is_call else None
                if watch is not None and int(watch[1]) < _LONG_MS:
                    self.confirmed_at = time.monotonic()
                elif watch is not None:
                    self.watched_at = time.monotonic()
                writer.write(chunk)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if generation == self._generation:
            writer.close()
        else:
            # A connection that has gone silent shows no end either.
            self._silent.append(writer)
