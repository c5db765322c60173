"""A proxy in front of the store, which turns one machine away on demand."""

from __future__ import annotations

import asyncio

import world as world_module


class StoreProxy:
    """Passes calls on to the store, or answers all of them with 503."""

    def __init__(self, world):
        self.world = world
        self.port = world_module.find_ports(1)[0]
        self.address = f'127.0.0.1:{self.port}'
        self._turns_away = False
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    def turn_away(self, is_on):
        """Begin or end to answer with 503; waiting calls are cut."""
        self._turns_away = is_on
        if is_on:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader, writer):
        self.world.tasks.add(asyncio.current_task())
        self._writers.add(writer)
        try:
            if self._turns_away:
                await world_module.read_request(reader)
                world_module.write_response(writer, 503, [], b'{}')
                await writer.drain()
                return
            host, _, port = self.world.store_address.partition(':')
            store_reader, store_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(store_writer)
            await asyncio.gather(
                _copy(reader, store_writer), _copy(store_reader, writer)
            )
            self._writers.discard(store_writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self.world.tasks.discard(asyncio.current_task())
            writer.close()


async def _copy(reader, writer):
    try:
        while chunk := await reader.read(65_536):
            writer.write(chunk)
            await writer.drain()
    except (ConnectionError, asyncio.CancelledError):
        pass
    finally:
        writer.close()
