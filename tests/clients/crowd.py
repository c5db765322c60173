"""Plays a crowd of clients of one kind against one address.

``python -m tests.clients.crowd KIND PATH IP:PORT --connections N --seconds S``
keeps N connections busy, opens a new one for each that is closed, and prints
the number of connections and of answers as JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import contextlib
import json
import socket
import struct
import time
import typing

from tests.clients import builders

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

RECONNECT_S = 0.05
READ_BYTES = 65_536
PIECE_BYTES = 2_048
CHUNK_BYTES = 64
FIELDS = 2_600
SAME_FIELDS = 3_800
PARTS = 2_300
OVERLONG_BYTES = 1 << 30


class Client:
    """One connection of a crowd.

    Parameters
    ----------
    connection : socket.socket
        Connected, non-blocking socket.
    path : str
        Path that is requested.
    answers : collections.Counter of str
        Statuses that the crowd has received.
    """

    def __init__(
        self,
        connection: socket.socket,
        path: str,
        answers: collections.Counter[str],
    ) -> None:
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._answers = answers
        self.path = path

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        await self._loop.sock_sendall(self._connection, data)

    async def read(self) -> bytes:
        """Read bytes, with the end of an answer as it happens to arrive."""
        data = await self._loop.sock_recv(self._connection, READ_BYTES)
        if not data:
            raise ConnectionResetError
        if data.startswith(b'HTTP/1.1 '):
            self._answers[data[9:12].decode()] += 1
        return data

    async def read_to_end(self) -> None:
        """Read until the connection is closed."""
        while True:
            await self.read()

    async def read_answer(self) -> None:
        """Read one answer with a length, or of chunks."""
        data = b''
        while b'\r\n\r\n' not in data:
            data += await self.read()
        head, _, body = data.partition(b'\r\n\r\n')
        fields = head.lower().split(b'\r\n')
        lengths = [
            int(one.partition(b':')[2])
            for one in fields
            if one.startswith(b'content-length:')
        ]
        while lengths and len(body) < lengths[0]:
            body += await self.read()
        while not lengths and not body.endswith(b'0\r\n\r\n'):
            body += await self.read()
        if b'connection: close' in fields:
            raise ConnectionResetError

    async def stay(self) -> None:
        """Stay connected until the other side closes the connection."""
        with contextlib.suppress(OSError):
            await self.read_to_end()

    def reset(self) -> None:
        """Close the connection by a reset."""
        linger = struct.pack('ii', 1, 0)
        self._connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )
        self._connection.close()


def _head(client: Client, *lines: str, method: str = 'POST') -> bytes:
    return builders.build_head(method, client.path, *lines)


async def _send_length(client: Client, length: int) -> None:
    await client.send(_head(client, f'Content-Length: {length}'))


async def _send_chunked(client: Client) -> None:
    await client.send(_head(client, 'Transfer-Encoding: chunked'))


async def send_whole_body(client: Client) -> None:
    """Send bodies of the largest legal size, in one piece."""
    while True:
        await _send_length(client, builders.BODY_BYTES)
        await client.send(bytes(builders.BODY_BYTES))
        await client.read_answer()


async def send_pieces(client: Client) -> None:
    """Send bodies of the largest legal size, in small pieces."""
    while True:
        await _send_length(client, builders.BODY_BYTES)
        for _ in range(builders.BODY_BYTES // PIECE_BYTES):
            await client.send(bytes(PIECE_BYTES))
            await asyncio.sleep(0)
        await client.read_answer()


async def send_small_chunks(client: Client) -> None:
    """Send bodies of the largest legal size, in very small chunks."""
    chunk = b'%x\r\n%b\r\n' % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    while True:
        await _send_chunked(client)
        for _ in range(builders.BODY_BYTES // CHUNK_BYTES // 32):
            await client.send(chunk * 32)
        await client.send(b'0\r\n\r\n')
        await client.read_answer()


async def stop_before_last_byte(client: Client) -> None:
    """Send all of a body but its last byte."""
    await _send_length(client, builders.BODY_BYTES)
    await client.send(bytes(builders.BODY_BYTES - 1))
    await client.stay()


async def stop_before_last_byte_of_chunk(client: Client) -> None:
    """Send all of one large chunk but its last byte."""
    await _send_chunked(client)
    size = builders.BODY_BYTES
    await client.send(b'%x\r\n%b' % (size, bytes(size - 1)))
    await client.stay()


async def send_chunks_without_end(client: Client) -> None:
    """Send chunks without end."""
    await _send_chunked(client)
    while True:
        await client.send(b'8000\r\n%b\r\n' % bytes(0x8000))


async def send_chunk_line_without_end(client: Client) -> None:
    """Send the size of a chunk without end."""
    await _send_chunked(client)
    while True:
        await client.send(b'0' * 4096)


async def exceed_body_limit(client: Client) -> None:
    """Announce a body far over the limit, and send it."""
    await _send_length(client, OVERLONG_BYTES)
    while True:
        await client.send(bytes(65_536))


async def send_fields_without_body(client: Client) -> None:
    """Send a head of many fields whose body does not come."""
    fields = builders.build_fields(FIELDS)
    await client.send(_head(client, *fields, 'Content-Length: 1'))
    await client.stay()


async def send_many_fields(client: Client) -> None:
    """Send heads of many fields, one after the other."""
    fields = builders.build_fields(FIELDS)
    while True:
        await client.send(_head(client, *fields, method='GET'))
        await client.read_answer()


async def send_same_field(client: Client) -> None:
    """Send heads that repeat one empty field."""
    fields = builders.build_fields(SAME_FIELDS, same=True)
    while True:
        await client.send(_head(client, *fields, method='GET'))
        await client.read_answer()


async def send_many_parts(client: Client) -> None:
    """Send heads that name many parts of a prompt."""
    parts = builders.build_parts(PARTS)
    while True:
        await client.send(_head(client, parts, 'Content-Length: 0'))
        await client.read_answer()


async def send_head_without_end(client: Client) -> None:
    """Send a head without end."""
    await client.send(_head(client)[:-2])
    while True:
        await client.send(b'X: %b\r\n' % (b'x' * 1024))


async def send_head_slowly(client: Client) -> None:
    """Send a head byte by byte."""
    for byte in _head(client, *['X: y'] * 1_000, method='GET'):
        await client.send(bytes((byte,)))
        await asyncio.sleep(0.2)


async def send_body_slowly(client: Client) -> None:
    """Send a body at 200 bytes a second."""
    await _send_length(client, 100_000)
    while True:
        await client.send(bytes(40))
        await asyncio.sleep(0.2)


async def send_nothing(client: Client) -> None:
    """Send nothing."""
    await client.stay()


async def pipeline_gets(client: Client) -> None:
    """Send GET requests ahead and read nothing."""
    await _pipeline(client, _head(client, method='GET') * 32)


async def pipeline_posts(client: Client) -> None:
    """Send POST requests ahead and read nothing."""
    one = _head(client, 'Content-Length: 2') + b'{}'
    await _pipeline(client, one * 32)


async def _pipeline(client: Client, data: bytes) -> None:
    while True:
        await client.send(data)


async def connect_and_leave(client: Client) -> None:
    """Connect and leave."""


async def reset_after_request(client: Client) -> None:
    """Reset the connection after a request."""
    await client.send(_head(client, 'Content-Length: 2') + b'{}')
    await asyncio.sleep(0.01)
    client.reset()


async def expect_continue(client: Client) -> None:
    """Wait for leave to send a body, and stop half-way."""
    await client.send(
        _head(
            client,
            f'Content-Length: {builders.BODY_BYTES}',
            'Expect: 100-continue',
        )
    )
    await client.read()
    await client.send(bytes(builders.BODY_BYTES // 2))
    await client.stay()


KINDS: dict[str, Callable[[Client], Awaitable[None]]] = {
    one.__name__: one
    for one in (
        send_whole_body,
        send_pieces,
        send_small_chunks,
        stop_before_last_byte,
        stop_before_last_byte_of_chunk,
        send_chunks_without_end,
        send_chunk_line_without_end,
        exceed_body_limit,
        send_fields_without_body,
        send_many_fields,
        send_same_field,
        send_many_parts,
        send_head_without_end,
        send_head_slowly,
        send_body_slowly,
        send_nothing,
        pipeline_gets,
        pipeline_posts,
        connect_and_leave,
        reset_after_request,
        expect_continue,
    )
}


class Crowd:
    """Clients of one kind, each with one connection at a time."""

    def __init__(self, kind: str, path: str, address: str) -> None:
        self._play = KINDS[kind]
        self._path = path
        host, _, port = address.partition(':')
        self._address = (host, int(port))
        self.connection_count = 0
        self.answers: collections.Counter[str] = collections.Counter()

    async def run(self, connections: int, seconds: float) -> None:
        """Play all clients for a time."""
        self._end = time.monotonic() + seconds
        tasks = [
            asyncio.create_task(self._run_client()) for _ in range(connections)
        ]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_client(self) -> None:
        loop = asyncio.get_running_loop()
        while time.monotonic() < self._end:
            with socket.socket() as connection:
                connection.setblocking(False)
                with contextlib.suppress(OSError):
                    await loop.sock_connect(connection, self._address)
                    self.connection_count += 1
                    await self._play(
                        Client(connection, self._path, self.answers)
                    )
            await asyncio.sleep(RECONNECT_S)


async def main() -> None:
    """Play a crowd and print what it saw."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kind', choices=KINDS)
    parser.add_argument('path')
    parser.add_argument('address')
    parser.add_argument('--connections', type=int, default=100)
    parser.add_argument('--seconds', type=float, default=10.0)
    options = parser.parse_args()
    crowd = Crowd(options.kind, options.path, options.address)
    await crowd.run(options.connections, options.seconds)
    print(
        json.dumps(
            {'connections': crowd.connection_count, 'answers': crowd.answers}
        )
    )


if __name__ == '__main__':
    asyncio.run(main())
