"""Loopback proxies that delay, reset or block connections."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

from tests.platform import deployment

CHUNK_BYTES = 65_536


@attrs.frozen
class LinkFault:
    """Fault that a proxy applies to the bytes of all its connections.

    Attributes
    ----------
    delay_s : float
        Delay of each chunk, in seconds.
    blocks_upstream, blocks_downstream : bool
        Whether the proxy retains bytes to the server, or from it.
    """

    delay_s: float = 0.0
    blocks_upstream: bool = False
    blocks_downstream: bool = False


class Proxy:
    """Listener that forwards connections to one address.

    Parameters
    ----------
    target : str
        Address of the server as ``ip:port``.
    source : str, optional
        Loopback address from which connections to the server are opened.
    """

    def __init__(self, target: str, source: str = '127.0.0.1') -> None:
        self._target = target
        self._source = source
        self._server: asyncio.Server | None = None
        self._is_accepting = True
        self._lock = asyncio.Lock()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._link_fault = LinkFault()
        self._fault_replaced = asyncio.Event()
        self.address = ''

    @property
    def link_fault(self) -> LinkFault:
        """Fault of all connections."""
        return self._link_fault

    @link_fault.setter
    def link_fault(self, fault: LinkFault) -> None:
        self._link_fault = fault
        self._fault_replaced.set()
        self._fault_replaced = asyncio.Event()

    async def start(self) -> None:
        """Listen on a port that no outgoing connection occupies."""
        (port,) = deployment.find_ports(1)
        await self._listen(port)
        self.address = f'127.0.0.1:{port}'

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )

    def refuse(self) -> None:
        """Refuse new connections; open ones live on."""
        self._is_accepting = False
        if self._server is not None:
            self._server.close()
            self._server = None

    async def accept(self) -> None:
        """Accept new connections again, at the same address."""
        self._is_accepting = True
        async with self._lock:
            if self._server is None:
                await self._listen(int(self.address.rpartition(':')[2]))
        if not self._is_accepting:
            self.refuse()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = self._target.rpartition(':')
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        server_writer: asyncio.StreamWriter | None = None
        try:
            server_reader, server_writer = await asyncio.open_connection(
                ip, int(port), local_addr=(self._source, 0)
            )
            self._writers.add(server_writer)
            await asyncio.gather(
                self._forward(reader, server_writer, upstream=True),
                self._forward(server_reader, writer, upstream=False),
            )
        except (OSError, asyncio.CancelledError):
            # When either side is gone or the test ends, the other side gets
            # a reset.
            pass
        finally:
            self._tasks.discard(task)
            for one in (writer, server_writer):
                if one is not None:
                    self._writers.discard(one)
                    one.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.link_fault.delay_s:
                await asyncio.sleep(self.link_fault.delay_s)
            while (
                self.link_fault.blocks_upstream
                if upstream
                else self.link_fault.blocks_downstream
            ):
                await self._fault_replaced.wait()
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
