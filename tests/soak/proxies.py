"""Loopback proxies that delay, reset, cut one way or silence connections."""

from __future__ import annotations

import asyncio
import contextlib

import attrs

CHUNK_BYTES = 65_536
WAIT_S = 0.02


@attrs.define
class Trouble:
    """What a proxy does to the bytes of all its connections.

    Attributes
    ----------
    delay_s : float
        Time by which each piece comes later.
    holds_up, holds_down : bool
        Whether bytes towards the server, or from it, stay in the proxy.
    """

    delay_s: float = 0.0
    holds_up: bool = False
    holds_down: bool = False


class Proxy:
    """One listener before one address.

    Parameters
    ----------
    target : str
        ``ip:port`` behind it.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.trouble = Trouble()
        self.address = ''

    async def start(self) -> None:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

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
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ip, _, port = self._target.rpartition(':')
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._open.add(writer)
        behind: asyncio.StreamWriter | None = None
        try:
            answers, behind = await asyncio.open_connection(ip, int(port))
            self._open.add(behind)
            await asyncio.gather(
                self._pass(reader, behind, up=True),
                self._pass(answers, writer, up=False),
            )
        except (OSError, asyncio.CancelledError):
            # Either side has gone, or the soak ends: the other one is told
            # by a reset.
            pass
        finally:
            self._tasks.discard(task)
            for one in (writer, behind):
                if one is not None:
                    self._open.discard(one)
                    one.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        up: bool,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.trouble.delay_s:
                await asyncio.sleep(self.trouble.delay_s)
            while self.trouble.holds_up if up else self.trouble.holds_down:
                await asyncio.sleep(WAIT_S)
            writer.write(chunk)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
