"""Connections of clients: their streams, limits, refusals and memory."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import http.client
import socket
import typing

import attrs
import msgspec
import structlog
from tornado import ioloop
from tornado import iostream

from thornspool import allocation
from thornspool.adapters import turns as turns_module
from thornspool.domain.clients import connections
from thornspool.domain.clients import limits as limits_module

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module

TICK_INTERVAL_MS = 500
"""Interval at which expired connections are closed and refusals logged."""

READ_BYTES = 16_384
"""Bytes that are read at once, also ahead of what is needed."""

MAX_BUFFER_BYTES = 262_144
"""Largest read buffer; a head has to fit in it, a body does not."""

RECEIVE_BUFFER_BYTES = 16_384
"""Buffer of the kernel for bytes of a connection that are not read yet."""

MEMORY_RETRY_MS = 500
"""Retry-After while the memory for requests is full. A body arrives and is
served in about that time."""

BUSY_RETRY_MS = 1_000
"""Retry-After while demanding heads have to wait; they do so for a second."""

MAX_WAITING_WORK = 1_000_000_000
"""Work that may wait for its turn, in nanoseconds of a fast processor."""

SHORT_HEAD_BYTES = 4_096
"""Longest head that is parsed at once."""

FIELD_WORK = 8_000
HEAD_BYTE_WORK = 200
CHUNK_WORK = 40_000
"""Work to parse a header field, a byte of a head, and a chunk of a body."""

BUSY_SHARE = 0.3
CALMER_FACTOR = 2
"""Free pages are released when clients hold less than half of the most that
they have held, if that was over this share of their memory."""

COLLECT_INTERVAL_MS = 2_000
"""Shortest time between two collections of garbage while memory is short."""

CHUNKS_PER_TURN = 32
PIPELINED_WORK = 1_000_000
"""Work of a request that was sent ahead, before its predecessor's answer."""

IDLE_REASON = 'idle'
"""Reason that is usual, so that it is counted and not logged."""

Refusal = tuple[int, str, int | None]
"""Status, reason, and Retry-After in milliseconds."""

RefusalFormatter = typing.Callable[
    [int, str, int | None], tuple[tuple[tuple[str, str], ...], bytes]
]

logger = structlog.get_logger(__name__)


def format_refusal(
    status: int, reason: str, retry_after_ms: int | None
) -> tuple[tuple[tuple[str, str], ...], bytes]:
    """Format the refusal of a request that was not run.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Short name of the reason.
    retry_after_ms : int or None
        Time after which a retry may succeed, in milliseconds; None if it
        would not.

    Returns
    -------
    tuple of headers and bytes
        Headers without those on the connection, and the body.
    """
    headers = [('Content-Type', 'application/json')]
    if retry_after_ms is not None:
        headers.append(('Retry-After', f'{retry_after_ms / 1000:.3f}'))
    return tuple(headers), msgspec.json.encode({'error': reason})


class ConnectionManager:
    """Admits, refuses and closes the connections of all listeners.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    capacity : limits_module.HostCapacity
        What clients may use of this host.
    limits : limits_module.ClientLimits, optional
        Limits on one client.

    Attributes
    ----------
    memory : connections.ClientMemory
        Account of the memory that clients hold.
    turns : turns_module.Turns
        Work that waits for its turn.
    pools : list of connections.ConnectionPool
        Connections of each listener.
    refusals : collections.Counter of tuple of str
        Requests that were refused and connections that were closed, by
        listener and reason.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        capacity: limits_module.HostCapacity,
        limits: limits_module.ClientLimits | None = None,
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self.limits = limits or limits_module.ClientLimits()
        self.memory = connections.ClientMemory(capacity.memory_bytes)
        self.turns = turns_module.Turns(clock)
        self.pools: list[connections.ConnectionPool] = []
        self.refusals: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._unlogged: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._most_held = 0
        self._collected_at = 0
        self._timer = ioloop.PeriodicCallback(self.tick, TICK_INTERVAL_MS)

    def add_pool(self, name: str, share: float) -> connections.ConnectionPool:
        """Add a listener, which may have a share of all connections."""
        pool = connections.ConnectionPool(
            name, self._capacity.compute_connections(share)
        )
        self.pools.append(pool)
        self.memory.add_pool(pool)
        if not self._timer.is_running():
            self._timer.start()
        return pool

    def remove_pool(self, pool: connections.ConnectionPool) -> None:
        """Remove a listener that has stopped."""
        if pool in self.pools:
            self.pools.remove(pool)
        if not self.pools:
            self._timer.stop()

    def now(self) -> int:
        """Return the time in milliseconds of the clock."""
        return self._clock.now()

    def count(self, pool: connections.ConnectionPool, reason: str) -> None:
        """Count a refusal or a connection that was closed for a reason."""
        self.refusals[pool.name, reason] += 1
        if reason != IDLE_REASON:
            self._unlogged[pool.name, reason] += 1

    def make_room(self, pool: connections.ConnectionPool) -> bool:
        """Close a connection if a listener is full.

        Returns
        -------
        bool
            False if all connections have requests in progress.
        """
        if not pool.is_full():
            return True
        evicted = pool.choose_evicted(self.now())
        if evicted is None:
            self.count(pool, 'connections')
            return False
        self.count(pool, 'evicted')
        evicted.close()
        return True

    def open_stream(self, context: ClientContext) -> None:
        """Account for the buffers of a connection, and make room for them."""
        self.memory.open(context.connection)
        now = self.now()
        while self.memory.held_bytes > self.memory.budget_bytes:
            for pool in self.pools:
                evicted = pool.choose_evicted(now, frees_memory=True)
                if evicted is not None and evicted is not context.connection:
                    self.count(pool, 'evicted')
                    evicted.close()
                    break
            else:
                return

    def close_unread(self) -> None:
        """Close connections whose unsent responses exceed the memory."""
        now = self.now()
        while unread := self.memory.choose_unread(now):
            for pool in self.pools:
                if unread in pool:
                    self.count(pool, 'unread_response')
            unread.close()

    def _adjust_budget(self) -> None:
        """Adjust what clients may hold; release pages when they hold less."""
        memory = self.memory
        self._most_held = max(self._most_held, memory.held_bytes)
        is_calmer = memory.held_bytes * CALMER_FACTOR < self._most_held
        if is_calmer and self._most_held > memory.budget_bytes * BUSY_SHARE:
            self._most_held = memory.held_bytes
            allocation.release_free_pages()
        memory.budget_bytes = self._capacity.compute_budget(
            allocation.read_resident_bytes(), memory.held_bytes
        )
        is_short = memory.budget_bytes < self._capacity.memory_bytes
        if is_short and self.now() - self._collected_at >= COLLECT_INTERVAL_MS:
            self._collected_at = self.now()
            allocation.collect_garbage()

    def tick(self) -> None:
        """Close expired connections, and log what was refused."""
        now = self.now()
        for pool in self.pools:
            for connection in pool:
                reason = connections.find_expiry(connection, self.limits, now)
                if reason is None:
                    continue
                self.count(pool, reason)
                if connection.phase is connections.Phase.BODY:
                    connection.refuse(reason)
                else:
                    connection.close()
        self._adjust_budget()
        for (name, reason), count in self._unlogged.items():
            logger.warning(
                'clients_refused', listener=name, reason=reason, count=count
            )
        self._unlogged.clear()


@attrs.define(eq=False)
class ClientContext:
    """A connection together with what serves it.

    Attributes
    ----------
    manager : ConnectionManager
        Manager of all connections.
    pool : connections.ConnectionPool
        Connections of the same listener.
    connection : connections.Connection
        State of the connection.
    format_refusal : callable
        Formats refusals for the clients of the listener.
    request_began_at : int
        Time of the first byte of the request, in milliseconds of the clock.
    """

    manager: ConnectionManager
    pool: connections.ConnectionPool
    connection: connections.Connection
    format_refusal: RefusalFormatter = format_refusal
    request_began_at: int = 0
    _turn: asyncio.Future[None] | None = None

    def take_turn(
        self, work: int, is_urgent: bool = True
    ) -> asyncio.Future[None]:
        """Return a future that is resolved when work may begin.

        It is resolved at once when the connection is closed, so that those
        that have left do not wait.
        """
        self._turn = self.manager.turns.take(work, is_urgent)
        return self._turn

    def begin_request(self) -> None:
        """Record that the first byte of a request is available."""
        self.enter(connections.Phase.HEAD)
        self.request_began_at = self.connection.phase_began_at

    def enter(self, phase: connections.Phase) -> None:
        """Record the phase of the connection."""
        self.pool.move(self.connection, phase, self.manager.now())

    def discard(self) -> None:
        """Record that the request is answered before its end."""
        self.end_request()
        self.enter(connections.Phase.DISCARDING)
        surplus = self.pool.choose_surplus()
        if surplus is not None:
            surplus.close()

    def reserve(self, request_bytes: int) -> bool:
        """Reserve memory for a request, with what it has already."""
        return self.manager.memory.reserve(
            self.connection, request_bytes, self.manager.now()
        )

    def end_request(self) -> None:
        """Release what the last request held."""
        self.manager.memory.release(self.connection)
        self.connection.body_expires_at = None
        self.connection.group = ''

    def end(self) -> None:
        """Release what the connection held."""
        connection = self.connection
        self.manager.memory.close(connection)
        self.pool.remove(connection)
        # These refer to the stream, which would stay in memory until the next
        # collection of reference cycles.
        connection.close = _do_nothing
        connection.refuse = _ignore_reason
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)


def _do_nothing() -> None:
    """Close a connection that is closed."""


def _ignore_reason(_reason: str) -> None:
    """Refuse a request that has ended."""


class _ClientStreamMixin:
    """Adds limits and the account of memory to a stream of tornado.

    ``context`` is set before the stream is used.
    """

    context: ClientContext
    first_bytes = b''
    is_encrypted = False
    has_served = False
    is_muted = False
    """Whether further writes are dropped, since the response is complete."""

    _chunk_count = 0
    _head_bytes = 0

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
        context = self.context
        if self.is_muted:
            done = asyncio.get_running_loop().create_future()
            done.set_result(None)
            return done
        manager = context.manager
        connection = context.connection
        if not connection.unsent_bytes:
            connection.progress_at = manager.now()
        manager.memory.change_unsent(connection, len(data))
        base: typing.Any = super()
        future: asyncio.Future[None] = base.write(data)
        if manager.memory.held_bytes > manager.memory.budget_bytes:
            manager.close_unread()
        return future

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
            connection = self.context.connection
            connection.progress_at = self.context.manager.now()
            self.context.manager.memory.change_unsent(connection, -count)
        return count

    async def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> bytes:
        """Read a head once there is room for it, in its turn."""
        stream: typing.Any = self
        if stream.closed():
            # tornado would serve what a client has sent ahead before it left.
            raise iostream.StreamClosedError
        limit_bytes = self.context.manager.limits.max_head_bytes
        reading = super().read_until_regex(  # type: ignore[misc]
            regex, limit_bytes + READ_BYTES
        )
        is_pipelined = self.has_served and reading.done()
        is_idle = self.context.connection.phase is connections.Phase.IDLE
        if is_idle and reading.done():
            self.context.begin_request()
        head: bytes = await reading
        refusal: Refusal | None = 431, 'head_too_large', None
        if len(head) <= limit_bytes:
            refusal = await self._admit_head(head, is_pipelined)
        if refusal is not None:
            await self._refuse_head(head, refusal)
        if stream.closed():
            raise iostream.StreamClosedError
        self.has_served = True
        return head

    async def _admit_head(
        self, head: bytes, is_pipelined: bool
    ) -> Refusal | None:
        """Wait for the turn of a head; return why it is refused, if it is."""
        turns = self.context.manager.turns
        fields = head.count(b'\n')
        memory = 2 * len(head) + fields * connections.FIELD_BYTES
        if len(head) > SHORT_HEAD_BYTES:
            if turns.waiting_work > MAX_WAITING_WORK:
                return 503, 'busy', BUSY_RETRY_MS
            await self.context.take_turn(
                fields * FIELD_WORK + len(head) * HEAD_BYTE_WORK
            )
            if not self.context.reserve(memory):
                return 503, 'memory', MEMORY_RETRY_MS
        elif is_pipelined:
            await self.context.take_turn(PIPELINED_WORK)
        return None

    async def _refuse_head(self, head: bytes, refusal: Refusal) -> None:
        """Refuse a request before its head is parsed, and read on."""
        context = self.context
        context.manager.count(context.pool, refusal[1])
        stream: typing.Any = self
        stream.write(
            build_refusal(
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


class ClientStream(_ClientStreamMixin, iostream.IOStream):
    """Stream of a client's connection."""


class TlsClientStream(_ClientStreamMixin, iostream.SSLIOStream):
    """Stream of a client's connection with TLS."""

    is_encrypted = True


def build_refusal(
    refusal: Refusal, format_body: RefusalFormatter, has_body: bool
) -> bytes:
    """Build the bytes of a refusal after which the connection is closed.

    Parameters
    ----------
    refusal : tuple
        Status, reason, and Retry-After in milliseconds.
    format_body : callable
        Formats the refusal for the clients of the listener.
    has_body : bool
        Whether the body is sent; the answer to HEAD has none.
    """
    status, reason, retry_after_ms = refusal
    headers, body = format_body(status, reason, retry_after_ms)
    lines = [
        f'HTTP/1.1 {status} {http.client.responses.get(status, "Unknown")}',
        *(f'{name}: {value}' for name, value in headers),
        f'Content-Length: {len(body)}',
        'Connection: close',
        '\r\n',
    ]
    return '\r\n'.join(lines).encode() + (body if has_body else b'')


def make_stream(
    accepted: socket.socket,
    context: ClientContext,
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
