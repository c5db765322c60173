"""A server whose connections break at defined positions."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

TRUNCATED = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
_DISCONNECT_ERRORS = (
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
    ConnectionError,
)
DONE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class BrokenServer:
    """Sends the n-th reply to the n-th request of all connections.

    The reply ``None`` closes the connection. With ``close``, the connection
    is closed after each reply.
    """

    def __init__(self, replies: list[bytes | None], close: bool) -> None:
        self.replies = replies
        self.close = close
        self.requests: list[bytes] = []
        self.url = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*_DISCONNECT_ERRORS):
            while True:
                request = await reader.readuntil(b'\r\n\r\n')
                self.requests.append(request)
                reply = self.replies[len(self.requests) - 1]
                if reply is None:
                    break
                writer.write(reply)
                await writer.drain()
                if self.close:
                    break
        writer.close()


@contextlib.asynccontextmanager
async def open_broken(
    replies: list[bytes | None], close: bool = True
) -> AsyncIterator[BrokenServer]:
    broken = BrokenServer(replies, close)
    server = await asyncio.start_server(broken.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    broken.url = f'http://127.0.0.1:{port}'
    try:
        yield broken
    finally:
        server.close()


@contextlib.contextmanager
def open_port(backlog: int | None) -> typing.Iterator[str]:
    """Bind a port without an acceptor; it refuses without a backlog."""
    with socket.socket() as bound:
        bound.bind(('127.0.0.1', 0))
        if backlog is not None:
            bound.listen(backlog)
        yield f'http://127.0.0.1:{bound.getsockname()[1]}'


@contextlib.contextmanager
def open_full_port() -> typing.Iterator[str]:
    """Listen on a port with a full backlog, so that connecting blocks."""
    with open_port(0) as url, contextlib.ExitStack() as stack:
        address = ('127.0.0.1', int(url.rsplit(':', 1)[1]))
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(address)
        yield url
