"""Builders of a listener with small limits, and of clients that test it."""

from __future__ import annotations

import asyncio
import typing

import attrs

from tests import builders
from thornspool.adapters import connections
from thornspool.adapters import servers
from thornspool.domain.clients import limits
from thornspool.platform import callers

if typing.TYPE_CHECKING:
    from tornado import httputil

BODY_BYTES = 1_000_000
LIMITS = limits.ClientLimits(8_192, BODY_BYTES, 3_000, 15_000)
CAPACITY = limits.HostCapacity(4 * BODY_BYTES, 100)
TIMEOUT_S = 5.0


@attrs.define
class Client:
    """Client with one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        async with asyncio.timeout(TIMEOUT_S):
            await self.writer.drain()

    async def read(self) -> tuple[int, bytes]:
        """Read a response with a length; return its status and all of it."""
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            _, _, rest = head.lower().partition(b'content-length:')
            length = int(rest.partition(b'\r\n')[0])
            body = await self.reader.readexactly(length)
        return int(head[9:12]), head + body

    async def read_rest(self) -> bytes:
        """Read until the connection is closed."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()


def build_request(
    *lines: str, method: str = 'POST', path: str = '/', body: bytes = b''
) -> bytes:
    """Build a request with its head and the body as far as it is sent."""
    head = '\r\n'.join(
        (f'{method} {path} HTTP/1.1', 'Host: x', *lines, '\r\n')
    )
    return head.encode() + body


class Deployment:
    """A listener whose requests a test serves.

    Attributes
    ----------
    clock : builders.FakeClock
        Clock that the test moves.
    manager : connections.ConnectionManager
        Manager of the connections.
    served : list of ports.Request
        Requests that were served.
    denied : str
        Path that is answered before the body is read.
    """

    def __init__(
        self, capacity: limits.HostCapacity = CAPACITY, share: float = 1.0
    ) -> None:
        self.clock = builders.FakeClock()
        self.manager = connections.ConnectionManager(
            self.clock, capacity, LIMITS
        )
        self.listener = servers.Listener(
            '127.0.0.1:0', None, BODY_BYTES, manager=self.manager, share=share
        )
        self.served: list[typing.Any] = []
        self.replies: list[typing.Any] = []
        self.denied = '/denied'
        self.holds = False
        self.listener.start(
            callers.CallerDelegate(
                self.clock,
                self._serve,
                self._decode,
                check_body=self._check_body,
            )
        )

    async def connect(self) -> Client:
        """Open a connection."""
        _, _, port = self.listener.read_url().rpartition(':')
        return Client(*await asyncio.open_connection('127.0.0.1', int(port)))

    async def stop(self) -> None:
        """Close all connections."""
        await self.listener.stop(10)

    def count(self, reason: str) -> int:
        """Count the refusals for a reason."""
        return self.manager.refusals['callers', reason]

    def _decode(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        now: int,
    ) -> typing.Any:
        return callers.decode_request(start_line, headers, body, now)

    def _check_body(
        self, request: typing.Any, reply: typing.Any, on_decided: typing.Any
    ) -> None:
        if request.path == self.denied:
            reply.refuse(404, 'no_route')
            on_decided(None)
            return
        on_decided(callers.connections.BodyTerms(request.timeout_ms))

    def _serve(self, request: typing.Any, reply: typing.Any) -> None:
        self.served.append(request)
        self.replies.append(reply)
        if not self.holds:
            reply.send(200, (), str(len(request.body)).encode())
