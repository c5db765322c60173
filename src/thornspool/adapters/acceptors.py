"""Accepts connections of clients, within the limits of the host.

tornado accepts connections without a bound, also when descriptors run out,
and gives each of them buffers and a task. Here a connection gets these once
its first bytes have arrived.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import typing

import structlog
from tornado import ioloop

from thornspool.adapters import client_streams
from thornspool.adapters import connections as connections_module
from thornspool.adapters import refusals
from thornspool.domain.clients import connections

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import socket

ACCEPTS_PER_TURN = 16
MAX_ACCEPTS_PER_TURN = 128
"""Connections that one listener accepts in a turn of the event loop, without
and with those whose clients have left."""

EXHAUSTED_PAUSE_S = 0.1
"""Pause after the descriptors or buffers of the host are exhausted."""

_EXHAUSTED = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)

logger = structlog.get_logger(__name__)


class Acceptor:
    """Accepts the connections of one listener.

    Parameters
    ----------
    sockets : iterable of socket.socket
        Listening sockets.
    manager : connections_module.ConnectionManager
        Manager of all connections.
    pool : connections.ConnectionPool
        Connections of this listener.
    serve : callable
        Called with a connection, its address, its context, and the bytes
        that have arrived already.
    is_encrypted : bool
        Whether the first bytes are left in the socket, for TLS.
    format_refusal : callable
        Formats refusals for the clients of the listener.

    Attributes
    ----------
    is_backlogged : bool
        Whether more connections wait to be accepted than one turn accepts.
    """

    def __init__(
        self,
        sockets: Iterable[socket.socket],
        manager: connections_module.ConnectionManager,
        pool: connections.ConnectionPool,
        serve: Callable[
            [
                socket.socket,
                typing.Any,
                connections_module.ClientContext,
                bytes,
            ],
            Callable[[], None],
        ],
        is_encrypted: bool,
        format_refusal: refusals.RefusalFormatter,
    ) -> None:
        self._sockets = list(sockets)
        self._manager = manager
        self._pool = pool
        self._serve = serve
        self._is_encrypted = is_encrypted
        self._format_refusal = format_refusal
        self._loop = asyncio.get_running_loop()
        self._resumption: asyncio.TimerHandle | None = None
        self.is_backlogged = False
        self._resume()

    def stop(self) -> None:
        """Close the listening sockets, and connections without a request."""
        if self._resumption is not None:
            self._resumption.cancel()
        else:
            self._pause()
        for listening in self._sockets:
            listening.close()
        for connection in self._pool:
            if connection.phase is connections.Phase.OPEN:
                connection.close()

    def _pause(self) -> None:
        for listening in self._sockets:
            ioloop.IOLoop.current().remove_handler(listening)

    def _resume(self) -> None:
        self._resumption = None
        for listening in self._sockets:
            ioloop.IOLoop.current().add_handler(
                listening, self._accept_pending, ioloop.IOLoop.READ
            )

    def _accept_pending(self, listening: typing.Any, _events: int) -> None:
        admitted = 0
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if admitted == ACCEPTS_PER_TURN:
                self.is_backlogged = True
                return
            try:
                accepted, address = listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                self.is_backlogged = False
                return
            except OSError as error:
                self._record_failure(error)
                return
            admitted += self._admit(accepted, address)

    def _record_failure(self, error: OSError) -> None:
        """Pause if the host is exhausted; other errors concern one client."""
        if error.errno not in _EXHAUSTED:
            self._manager.count(self._pool, 'accept_failed')
            return
        self._manager.count(self._pool, 'descriptors')
        self._pause()
        self._resumption = self._loop.call_later(
            EXHAUSTED_PAUSE_S, self._resume
        )

    def _admit(self, accepted: socket.socket, address: typing.Any) -> bool:
        """Admit a connection; return whether its client is still there."""
        if not self._manager.make_room(self._pool):
            accepted.close()
            return False
        accepted.setblocking(False)
        waiting = _Waiting(self, accepted, address)
        self._pool.add(waiting.context.connection)
        waiting.start()
        return not waiting.context.connection.is_closed

    def make_context(
        self, close: Callable[[], None]
    ) -> connections_module.ClientContext:
        """Create the context of a new connection."""
        return connections_module.ClientContext(
            self._manager,
            self._pool,
            connections.Connection(close, self._manager.now()),
            self._format_refusal,
        )

    def begin(self, waiting: _Waiting, first_bytes: bytes) -> None:
        """Serve a connection whose first bytes have arrived."""
        context = waiting.context
        close_stream = self._serve(
            waiting.accepted, waiting.address, context, first_bytes
        )

        def close() -> None:
            # tornado reports the end of a connection in a later turn.
            context.end()
            close_stream()

        context.connection.close = close

    @property
    def reads_first_bytes(self) -> bool:
        """Whether the first bytes are read before the connection is served."""
        return not self._is_encrypted


class _Waiting:
    """A connection on which nothing has arrived yet."""

    def __init__(
        self, acceptor: Acceptor, accepted: socket.socket, address: typing.Any
    ) -> None:
        self._acceptor = acceptor
        self.accepted = accepted
        self.address = address
        self.context = acceptor.make_context(self.close)
        self._loop = asyncio.get_running_loop()
        self._is_waiting = False

    def start(self) -> None:
        """Read the first bytes, or wait for them."""
        if self._acceptor.reads_first_bytes:
            self._read()
        else:
            self._wait(self._begin)

    def _read(self) -> None:
        try:
            first_bytes = self.accepted.recv(client_streams.READ_BYTES)
        except BlockingIOError:
            self._wait(self._read)
        except OSError:
            self.close()
        else:
            if self._acceptor.is_backlogged:
                first_bytes = self._read_on(first_bytes)
            if first_bytes:
                self._begin(first_bytes)
            else:
                self.close()

    def _read_on(self, first_bytes: bytes) -> bytes:
        """Return the first bytes; none if the client has left meanwhile.

        Requests of clients that have left while they waited to be accepted
        would hold up those of others.
        """
        room = client_streams.READ_BYTES - len(first_bytes)
        if not first_bytes or not room:
            return first_bytes
        try:
            further_bytes = self.accepted.recv(room)
        except BlockingIOError:
            return first_bytes
        except OSError:
            return b''
        return first_bytes + further_bytes if further_bytes else b''

    def _begin(self, first_bytes: bytes = b'') -> None:
        self._stop_waiting()
        try:
            self._acceptor.begin(self, first_bytes)
        except OSError:
            self.close()

    def _wait(self, call: Callable[[], None]) -> None:
        if not self._is_waiting:
            self._is_waiting = True
            self._loop.add_reader(self.accepted.fileno(), call)

    def _stop_waiting(self) -> None:
        if self._is_waiting:
            self._is_waiting = False
            self._loop.remove_reader(self.accepted.fileno())

    def close(self) -> None:
        """Close the connection."""
        self._stop_waiting()
        with contextlib.suppress(OSError):
            self.accepted.close()
        self.context.end()
