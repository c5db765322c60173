"""Streams of clients' connections, which apply limits to what is read."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import typing

from tornado import iostream

from thornspool.adapters import refusals
from thornspool.domain.clients import connections

if typing.TYPE_CHECKING:
    from thornspool.adapters import connections as connections_module

READ_BYTES = 8_192
"""Bytes that are read at once, also ahead of what is needed."""

MAX_BUFFER_BYTES = 262_144
"""Largest read buffer; a head has to fit in it, a body does not."""

RECEIVE_BUFFER_BYTES = 16_384
"""Buffer of the kernel for bytes of a connection that are not read yet."""

MAX_WAITING_WORK = 1_000_000_000
"""Work that may wait for its turn, in nanoseconds of a fast processor."""

SHORT_HEAD_BYTES = 4_096
"""Longest head that is parsed at once."""

FIELD_WORK = 8_000
HEAD_BYTE_WORK = 200
CHUNK_WORK = 40_000
"""Work to parse a header field, a byte of a head, and a chunk of a body."""

CHUNKS_PER_TURN = 32
PIPELINED_WORK = 1_000_000
"""Work of a request that was sent ahead, before its predecessor's answer."""


class _ClientStreamMixin:
    """Adds limits and the account of memory to a stream of tornado.

    ``context`` is set before the stream is used.
    """

    context: connections_module.ClientContext
    first_bytes = b''
    is_encrypted = False
    has_served = False
    is_muted = False
    """Whether further writes are dropped, since the response is complete."""

    _chunk_count = 0
    _head_bytes = 0
    _queued_bytes = 0
    _admission: asyncio.Task[None] | None = None

    def read_from_fd(self, buffer: bytearray | memoryview) -> int | None:
        """Read from the socket, after what was read before the stream."""
        if self.first_bytes:
            count = len(self.first_bytes)
            buffer[:count] = self.first_bytes
            self.first_bytes = b''
        else:
            count = super().read_from_fd(buffer)  # type: ignore[misc]
        if count:
            self._record_received(count)
        return count

    def _record_received(self, count: int) -> None:
        connection = self.context.connection
        if connection.phase in {
            connections.Phase.OPEN,
            connections.Phase.IDLE,
        }:
            self._head_bytes = count
            self.context.begin_request()
            return
        connection.progress_at = self.context.manager.now()
        if connection.phase is connections.Phase.HEAD:
            self._head_bytes += count
            if self._head_bytes > READ_BYTES and not self.context.reserve(
                self._head_bytes
            ):
                self.context.manager.count(self.context.pool, 'memory')
                asyncio.get_running_loop().call_soon(connection.close)

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Queue bytes for the client."""
        if self.is_muted:
            done = asyncio.get_running_loop().create_future()
            done.set_result(None)
            return done
        self._queued_bytes += len(data)
        base: typing.Any = super()
        future: asyncio.Future[None] = base.write(data)
        if self._queued_bytes:
            self._account_queue()
        return future

    def _account_queue(self) -> None:
        """Account for bytes that the socket has not taken at once."""
        connection, manager = self.context.connection, self.context.manager
        if not connection.unsent_bytes:
            connection.progress_at = manager.now()
        manager.memory.change_unsent(
            connection, self._queued_bytes - connection.unsent_bytes
        )
        if manager.memory.held_bytes > manager.memory.budget_bytes:
            manager.close_unread()

    def end_output(self) -> None:
        """Send the end of the stream, and drop further writes.

        The client need not wait until the rest of its request is discarded.
        """
        self.is_muted = True
        stream: typing.Any = self
        if not (self.is_encrypted or stream.closed() or stream.writing()):
            with contextlib.suppress(OSError):
                stream.socket.shutdown(socket.SHUT_WR)

    def write_to_fd(self, data: memoryview) -> int:
        """Send queued bytes."""
        count: int = super().write_to_fd(data)  # type: ignore[misc]
        if count:
            self._queued_bytes -= count
            connection = self.context.connection
            if connection.unsent_bytes:
                connection.progress_at = self.context.manager.now()
                self.context.manager.memory.change_unsent(connection, -count)
        return count

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> asyncio.Future[bytes]:
        """Read a head once there is room for it, in its turn."""
        loop = asyncio.get_running_loop()
        admitted: asyncio.Future[bytes] = loop.create_future()
        stream: typing.Any = self
        if stream.closed():
            # tornado would serve what a client has sent ahead before it left.
            _resolve(admitted, iostream.StreamClosedError())
            return admitted
        limit_bytes = self.context.manager.limits.max_head_bytes
        base: typing.Any = super()
        reading: asyncio.Future[bytes] = base.read_until_regex(
            regex, limit_bytes + READ_BYTES
        )
        is_pipelined = self.has_served and reading.done()
        is_idle = self.context.connection.phase is connections.Phase.IDLE
        if is_idle and reading.done():
            self.context.begin_request()

        def handle_head(_done: asyncio.Future[bytes]) -> None:
            if reading.cancelled():
                admitted.cancel()
            elif reading.exception() is not None:
                _resolve(admitted, reading.exception())
            elif is_pipelined or len(reading.result()) > min(
                SHORT_HEAD_BYTES, limit_bytes
            ):
                self._admission = loop.create_task(
                    self._admit(reading.result(), is_pipelined, admitted)
                )
            else:
                self._pass_on(reading.result(), admitted)

        if reading.done():
            handle_head(reading)
        else:
            reading.add_done_callback(handle_head)
        return admitted

    async def _admit(
        self, head: bytes, is_pipelined: bool, admitted: asyncio.Future[bytes]
    ) -> None:
        """Pass on a head in its turn, or refuse it."""
        limit_bytes = self.context.manager.limits.max_head_bytes
        try:
            refusal: refusals.Refusal | None = 431, 'head_too_large', None
            if len(head) <= limit_bytes:
                refusal = await self._admit_head(head, is_pipelined)
            if refusal is not None:
                await self._refuse_head(head, refusal)
        except Exception as error:
            # Without a result, tornado would wait for the head for ever.
            _resolve(admitted, error)
        else:
            self._pass_on(head, admitted)

    def _pass_on(self, head: bytes, admitted: asyncio.Future[bytes]) -> None:
        """Let tornado parse a head, unless its client has left."""
        stream: typing.Any = self
        if stream.closed():
            _resolve(admitted, iostream.StreamClosedError())
        elif not admitted.done():
            self.has_served = True
            admitted.set_result(head)

    async def _admit_head(
        self, head: bytes, is_pipelined: bool
    ) -> refusals.Refusal | None:
        """Wait for the turn of a head; return why it is refused, if it is."""
        turns = self.context.manager.turns
        fields = head.count(b'\n')
        memory = 2 * len(head) + fields * connections.FIELD_BYTES
        if len(head) > SHORT_HEAD_BYTES:
            if turns.waiting_work > MAX_WAITING_WORK:
                return 503, 'busy', refusals.BUSY_RETRY_MS
            await self.context.take_turn(
                fields * FIELD_WORK + len(head) * HEAD_BYTE_WORK
            )
            if not self.context.reserve(memory):
                return 503, 'memory', refusals.MEMORY_RETRY_MS
        elif is_pipelined:
            await self.context.take_turn(PIPELINED_WORK)
        return None

    async def _refuse_head(
        self, head: bytes, refusal: refusals.Refusal
    ) -> None:
        """Refuse a request before its head is parsed, and read on."""
        context = self.context
        context.manager.count(context.pool, refusal[1])
        stream: typing.Any = self
        stream.write(
            refusals.build_refusal(
                refusal, context.format_refusal, not head.startswith(b'HEAD ')
            )
        )
        self.end_output()
        context.discard()
        while True:
            await stream.read_bytes(READ_BYTES, partial=True)
            await context.take_turn(READ_BYTES, is_urgent=False)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> typing.Any:
        """Read the size of a chunk; many small chunks wait for their turn."""
        self._chunk_count += 1
        if self._chunk_count % CHUNKS_PER_TURN == 0:
            return self._read_in_turn(delimiter, max_bytes)
        return super().read_until(delimiter, max_bytes)  # type: ignore[misc]

    async def _read_in_turn(
        self, delimiter: bytes, max_bytes: int | None
    ) -> bytes:
        await self.context.take_turn(CHUNKS_PER_TURN * CHUNK_WORK)
        base: typing.Any = super()
        line: bytes = await base.read_until(delimiter, max_bytes)
        return line


def _resolve(
    future: asyncio.Future[bytes], error: BaseException | None
) -> None:
    """Let a read fail, unless nobody waits for it any more."""
    if error is not None and not future.done():
        future.set_exception(error)
        # tornado may have stopped waiting; asyncio would log the error.
        future.exception()


class ClientStream(_ClientStreamMixin, iostream.IOStream):
    """Stream of a client's connection."""


class TlsClientStream(_ClientStreamMixin, iostream.SSLIOStream):
    """Stream of a client's connection with TLS."""

    is_encrypted = True


def make_stream(
    accepted: socket.socket,
    context: connections_module.ClientContext,
    first_bytes: bytes,
    is_encrypted: bool,
) -> ClientStream | TlsClientStream:
    """Create the stream of an accepted connection."""
    kind = TlsClientStream if is_encrypted else ClientStream
    stream = kind(
        accepted, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_BYTES
    )
    stream.context = context
    stream.first_bytes = first_bytes
    context.manager.open_stream(context)
    return stream
