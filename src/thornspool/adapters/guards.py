"""Admits the bodies of requests, and answers requests before their end.

A request that is answered before its body has arrived can't be ended at once:
closing a connection with unread bytes resets it, and the client may lose the
response. What still arrives is discarded, for a limited time.
"""

from __future__ import annotations

import typing

from tornado import httputil

from thornspool.adapters import refusals
from thornspool.domain.clients import connections

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from thornspool.adapters import connections as connections_module

SMALL_BODY_BYTES = 16_384
"""Largest body that is read without a check, within a connection's memory."""

FIRST_CHUNK_BYTES = connections.SMALL_BYTES
"""Memory that is reserved at first for a body of unknown length."""

DECISION_WORK = 500_000
"""Work to decide on a large request, in nanoseconds of a fast processor."""

_UNLIMITED_BYTES = 2**62
_MAX_LENGTH_DIGITS = 18


class GuardedConnection:
    """Connection through which a request is answered.

    It takes the place of tornado's connection for the delegate. An answer
    that comes before the end of the request leaves the connection open until
    the rest has arrived.

    Parameters
    ----------
    connection : httputil.HTTPConnection
        The connection of tornado.

    Attributes
    ----------
    on_early_answer : callable
        Called when the request is answered before it has arrived completely.
    is_read : bool
        Whether the request has arrived completely.
    closes_early : bool
        Whether the connection is closed after an early answer.
    """

    def __init__(self, connection: httputil.HTTPConnection) -> None:
        self._connection = typing.cast(typing.Any, connection)
        # Events of streams pass these; __getattr__ takes several times as
        # long.
        self.stream = self._connection.stream
        self.write = self._connection.write
        self.on_early_answer: Callable[[], None] = _do_nothing
        self.is_read = True
        self.closes_early = False

    @property
    def request_began_at(self) -> int:
        """Time of the first byte of the request, in milliseconds."""
        began_at: int = self._connection.stream.context.request_began_at
        return began_at

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._connection, name)

    def write_headers(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
        chunk: bytes | None = None,
    ) -> typing.Any:
        """Send the head of a response."""
        if not self.is_read and self.closes_early:
            headers['Connection'] = 'close'
        return self._connection.write_headers(start_line, headers, chunk)

    def finish(self) -> None:
        """Complete the response."""
        if self.is_read:
            self._connection.finish()
        else:
            if self.closes_early:
                self._connection.stream.end_output()
            self._connection.stream.is_muted = True
            self.on_early_answer()

    def end_early_answer(self) -> None:
        """Continue after the rest of the request has arrived."""
        self._connection.stream.is_muted = False
        self._connection.finish()
        if self.closes_early:
            self._connection.close()


class RequestGuard(httputil.HTTPMessageDelegate):
    """Limits the body of one request.

    Parameters
    ----------
    inner : httputil.HTTPMessageDelegate
        Delegate that serves the request. If it has a method ``check_body``,
        this is awaited before a large body is read; it returns
        ``connections.BodyTerms``, or None if it has answered the request.
    connection : GuardedConnection
        Connection of the request.
    context : connections_module.ClientContext
        State of the connection.
    max_body_bytes : int
        Largest body that the listener accepts.
    mark_busy : callable
        Called once the head has arrived.
    """

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        connection: GuardedConnection,
        context: connections_module.ClientContext,
        max_body_bytes: int,
        mark_busy: Callable[[], None],
    ) -> None:
        self._inner = inner
        self._connection = connection
        self._context = context
        self._max_body_bytes = max_body_bytes
        self._mark_busy = mark_busy
        self._is_discarding = False
        self._is_large = False
        self._has_answer_body = True
        self._head_bytes = 0
        self._arrived_bytes = 0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Admit the body of the request, or answer the request."""
        self._mark_busy()
        method = typing.cast(httputil.RequestStartLine, start_line).method
        self._has_answer_body = method != 'HEAD'
        length = _find_body_length(headers)
        if length == 0:
            self._context.enter(connections.Phase.SERVING)
            return self._inner.headers_received(start_line, headers)
        self._connection.is_read = False
        self._connection.on_early_answer = self._discard
        self._head_bytes = self._context.connection.request_bytes
        self._context.enter(connections.Phase.BODY)
        self._context.connection.refuse = self._refuse_arriving
        expects_leave = headers.get('Expect') is not None
        self._is_large = length is None or length > SMALL_BODY_BYTES
        self._connection.closes_early = self._is_large or expects_leave
        if length is not None and length > self._max_body_bytes:
            self.refuse(413, 'body_too_large')
            return None
        answer = self._inner.headers_received(start_line, headers)
        return self._admit_body(length) if self._is_large else answer

    async def _admit_body(self, length: int | None) -> None:
        """Reserve memory for a large body, or refuse the request."""
        await self._context.take_turn(DECISION_WORK)
        if self._is_discarding:
            return
        check = getattr(self._inner, 'check_body', _allow_body)
        terms: connections.BodyTerms | None = await check()
        if self._is_discarding:
            return
        if terms is None:
            self._discard()
            return
        connection = self._context.connection
        connection.group = terms.group
        if length is None:
            # tornado would end the request without a reason.
            self._connection.set_max_body_size(_UNLIMITED_BYTES)
        if terms.timeout_ms is not None:
            connection.body_expires_at = (
                self._connection.request_began_at + terms.timeout_ms
            )
        if not self._reserve(length or FIRST_CHUNK_BYTES):
            self._refuse_arriving('memory')

    def _reserve(self, body_bytes: int) -> bool:
        # A buffer that grows has room for an eighth more than it holds.
        return self._context.reserve(
            self._head_bytes + body_bytes + body_bytes // 8
        )

    def _refuse_arriving(self, reason: str) -> None:
        """Refuse the request while its body arrives; it has not run."""
        if reason == 'memory':
            self.refuse(503, reason, refusals.MEMORY_RETRY_MS)
        else:
            self.refuse(408, reason)

    def refuse(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        """Refuse a request whose body has not arrived, and discard the rest.

        Parameters
        ----------
        status : int
            HTTP status; it promises that the request has not run.
        reason : str
            Short name of the reason.
        retry_after_ms : int or None
            Time after which a retry may succeed, in milliseconds.
        """
        if self._is_discarding:
            return
        context = self._context
        context.manager.count(context.pool, reason)
        self._connection.closes_early = True
        stream = self._connection.stream
        if not stream.closed():
            stream.write(
                refusals.build_refusal(
                    (status, reason, retry_after_ms),
                    context.format_refusal,
                    self._has_answer_body,
                )
            )
        self._inner.on_connection_close()
        stream.end_output()
        self._discard()

    def _discard(self) -> None:
        """Discard what still arrives of the request."""
        if self._is_discarding:
            return
        self._is_discarding = True
        self._connection.set_max_body_size(_UNLIMITED_BYTES)
        self._context.discard()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body, or discard it."""
        size = len(chunk)
        self._arrived_bytes += size
        if self._is_discarding:
            if self._arrived_bytes > 2 * self._max_body_bytes:
                self._connection.close()
            return self._context.take_turn(size, is_urgent=False)
        if self._arrived_bytes > self._max_body_bytes:
            self.refuse(413, 'body_too_large')
            return self._context.take_turn(size)
        answer = self._inner.data_received(chunk)
        if not self._is_large:
            return answer
        connection = self._context.connection
        connection.arrived_bytes = self._arrived_bytes
        missing = (
            self._head_bytes + self._arrived_bytes - connection.request_bytes
        )
        if missing > 0 and not self._reserve(
            min(2 * self._arrived_bytes, self._max_body_bytes)
        ):
            self._refuse_arriving('memory')
        return self._context.take_turn(size)

    def finish(self) -> None:
        """Serve the request, or end its early answer."""
        self._connection.is_read = True
        self._connection.on_early_answer = _do_nothing
        if self._is_discarding:
            self._connection.end_early_answer()
            return
        self._context.connection.body_expires_at = None
        self._context.enter(connections.Phase.SERVING)
        self._inner.finish()

    def on_connection_close(self) -> None:
        """Tell the delegate that the client has left."""
        if not self._is_discarding:
            self._inner.on_connection_close()
        self._connection.on_early_answer = _do_nothing


def _do_nothing() -> None:
    """Continue after an answer that comes in time."""


async def _allow_body() -> connections.BodyTerms:
    """Read the body of a request whose delegate does not decide on it."""
    return connections.BodyTerms()


def _find_body_length(headers: httputil.HTTPHeaders) -> int | None:
    """Return the length of a body; None if it is sent in chunks.

    A malformed length counts as none; tornado refuses the request.
    """
    if 'Transfer-Encoding' in headers:
        return None
    text = headers.get('Content-Length', '0').partition(',')[0]
    if not (text.isascii() and text.isdigit()):
        return 0
    if len(text) > _MAX_LENGTH_DIGITS:
        return _UNLIMITED_BYTES
    return int(text)
