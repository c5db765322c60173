"""Streaming, cancellable HTTP transfers over libcurl's multi interface.

tornado's curl client cannot cancel a transfer, and it does not preserve the
order of headers and body when both arrive together. libcurl also resends a
request when a reused connection breaks before the first byte of the
response. This module delivers the headers before the body, lets the owner
cancel a transfer, and uses a dedicated connection for requests that must not
be retried, because libcurl never resends on a new connection.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import errno
import typing
import urllib.parse

import attrs
import pycurl
import structlog

from thornspool.adapters import exceptions
from thornspool.adapters import head_checks
from thornspool.adapters import response_heads

if typing.TYPE_CHECKING:
    from collections.abc import Callable

Headers = response_heads.Headers

_MS_PER_S = 1000.0
_MAX_IDLE_HANDLES = 64
"""Idle curl handles kept for reuse; a handle uses about 20 kB."""

MAX_HEAD_BYTES = 32_768
"""Largest head of a response in bytes, with its interim heads and trailers.

A healthy server sends less than 1 kB, and common servers limit one header to
8 kB. libcurl delivers complete lines only; it ends a transfer itself when one
line exceeds 100 kB.
"""

_UNSENT_ERRORS = frozenset(
    {
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_OPERATION_TIMEDOUT,
    }
)
"""Errors that can occur before the first byte of a request is sent."""

_CONNECTION_ERRORS = frozenset(
    {
        # A reused connection broke and libcurl could not open a new one to
        # resend the request.
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)
"""Errors that report a connection closed by the server or the network."""

_TOO_LARGE_ERROR = 100
"""libcurl's error for a header line over its own limit; pycurl lacks a name
for it."""

_CUSTOM_BODY = frozenset({'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'})

logger = structlog.get_logger(__name__)


class TransferResult(enum.Enum):
    """Result of a transfer.

    ``NOT_SENT`` and ``REFUSED`` guarantee that no byte of the request was
    written. After any other failure the server may have received the request.
    ``REFUSED`` states in addition that nothing listens at the address.
    """

    COMPLETE = 'whole'
    NOT_SENT = 'not_sent'
    REFUSED = 'refused'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'


@attrs.frozen
class Request:
    """An HTTP request.

    Attributes
    ----------
    url : str
        Absolute URL.
    method : str
        HTTP method.
    headers : tuple of pairs of str
        Request headers, in order.
    body : bytes or None
        Request body.
    connect_timeout_ms : int
        Connect timeout in milliseconds.
    timeout_ms : int
        Timeout for the complete response in milliseconds; 0 for none.
    idle_timeout_ms : int
        Idle timeout in milliseconds between parts of the response. If it is
        set, ``timeout_ms`` limits only the time until the first byte, so that
        a large response on a slow link does not time out. Used by ``fetch``
        only.
    max_duration_ms : int
        Timeout in milliseconds for the complete response if
        ``idle_timeout_ms`` is set; 0 for none. It ends a response that
        trickles without an end.
    dedicated_connection : bool
        Whether to use a new connection that is not reused afterwards.
    max_body_bytes : int
        Maximum size of the response body in bytes; 0 for no limit.
    is_forwarded : bool
        Whether the response is passed on. Its head then has to conform to
        HTTP in full, and on a dedicated connection its body has to end
        where the head says; if not, it is broken off as malformed.
    """

    url: str
    method: str = 'GET'
    headers: Headers = ()
    body: bytes | None = None
    connect_timeout_ms: int = 1000
    timeout_ms: int = 0
    idle_timeout_ms: int = 0
    max_duration_ms: int = 0
    dedicated_connection: bool = True
    max_body_bytes: int = 0
    is_forwarded: bool = False

    @property
    def measures_body(self) -> bool:
        """Whether the end of the body is found here instead of by libcurl.

        libcurl drops bytes behind a body without notice. They show that the
        length in the head is wrong, as the connection carries no other
        response.
        """
        return (
            self.is_forwarded
            and self.dedicated_connection
            and self.method != 'HEAD'
        )


@attrs.frozen
class Response:
    """A complete HTTP response."""

    status: int
    headers: Headers
    body: bytes


class Part(enum.Enum):
    """Part of a response that exceeds a limit."""

    HEAD = 'head'
    BODY = 'body'


class Transfer:
    """A running transfer; it ends on completion or by ``cancel``.

    Attributes
    ----------
    sent : bool
        Whether sending has started.
    done : bool
        Whether it has ended.
    head_bytes, body_bytes : int
        Size of what has arrived.
    overlong : Part or None
        Part of the response that exceeds its limit.
    is_malformed : bool
        Whether the response was broken off as malformed.
    """

    def __init__(
        self,
        session: Session,
        request: Request,
        on_head: Callable[[int, Headers], None],
        on_body: Callable[[bytes], bool | None],
        on_end: Callable[[TransferResult], None],
    ) -> None:
        self._session = session
        self.request = request
        self._on_head = on_head
        self._on_body = on_body
        self._on_end = on_end
        self._header_lines: list[str] = []
        self._has_head = False
        self._has_successor = False
        self._body_length: int | None = None
        self.sent = False
        self.done = False
        self.head_bytes = 0
        self.body_bytes = 0
        self.overlong: Part | None = None
        self.is_malformed = False

    @property
    def is_whole(self) -> bool:
        """Whether the body has reached its measured length."""
        return self._body_length == self.body_bytes and not self.is_malformed

    @property
    def is_short(self) -> bool:
        """Whether the body has not reached its measured length."""
        return (
            self._body_length is not None
            and self.body_bytes < self._body_length
        )

    def cancel(self) -> None:
        """Cancel the transfer and close its connection without a callback."""
        if not self.done:
            self.done = True
            self._session.discard(self)
            self._release()

    def receive_line(self, raw: bytes) -> int | None:
        """Handle a header line; called by libcurl.

        Returns
        -------
        int or None
            0 if the head is too long or malformed; libcurl then closes the
            connection.
        """
        self.head_bytes += len(raw)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.overlong = Part.HEAD
            return 0
        text = raw.decode('latin-1')
        if head_checks.is_cut(text):
            self._session.record_malformed(
                self, 'The connection has closed within a line.'
            )
            return 0
        line = text.rstrip('\r\n')
        if line:
            self._header_lines.append(line)
            return None
        lines, self._header_lines = self._header_lines, []
        if self._has_head:
            return None  # trailers of a chunked body
        return self._receive_head(lines)

    def _receive_head(self, lines: list[str]) -> int | None:
        """Handle a complete head; 0 if it is malformed."""
        try:
            head = response_heads.parse_head(lines, self.request.is_forwarded)
        except exceptions.MalformedHead as error:
            self._session.record_malformed(self, str(error))
            return 0
        if not head.is_final or self.done:
            return None
        self._has_head = True
        if self.request.measures_body:
            self._body_length = head.body_length
        try:
            self._on_head(head.status, head.headers)
        except Exception:
            logger.exception('transfer_callback_failed')
            return 0
        self._report_if_whole()
        return None

    def receive_body(self, chunk: bytes) -> int | None:
        """Handle a chunk of the body; called by libcurl.

        Returns
        -------
        int or None
            0 if the body is not wanted or too long; libcurl then closes the
            connection.
        """
        if self.done:
            return 0
        self._session.received_bytes += len(chunk)
        if self._body_length is not None:
            chunk, is_malformed = self._drop_surplus(chunk, self._body_length)
            if is_malformed:
                return 0
            if not chunk:
                return None
        self.body_bytes += len(chunk)
        try:
            if (
                0 < self.request.max_body_bytes < self.body_bytes
                or self._on_body(chunk) is False
            ):
                self.overlong = Part.BODY
                return 0
        except Exception:
            logger.exception('transfer_callback_failed')
            return 0
        self._report_if_whole()
        return None

    def _drop_surplus(self, chunk: bytes, length: int) -> tuple[bytes, bool]:
        """Drop what follows the body.

        Returns
        -------
        bytes
            What belongs to the body.
        bool
            Whether the rest shows that the length is wrong.
        """
        if self._has_successor:
            return b'', False
        end = length - self.body_bytes
        surplus = chunk[end:]
        # A second response shows that the first one is complete.
        self._has_successor = response_heads.begins_response(surplus)
        if surplus and not self._has_successor:
            self._session.record_malformed(
                self, 'The body exceeds its length.'
            )
            return b'', True
        return chunk[:end], False

    def _report_if_whole(self) -> None:
        if self.is_whole and not self.done:
            self._session.add_whole(self)

    def record_sending(self, *_: typing.Any) -> int:
        """Record that sending starts; libcurl calls it after connecting."""
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)

    def finish(self, result: TransferResult) -> None:
        """Call the completion callback once."""
        if not self.done:
            self.done = True
            on_end = self._on_end
            self._release()
            on_end(result)

    def _release(self) -> None:
        """Drop the body and the callbacks, which refer to the transfer.

        They would stay in memory until the next collection of reference
        cycles.
        """
        if self.request.body:
            self.request = attrs.evolve(self.request, body=None)
        self._on_head = lambda status, headers: None
        self._on_body = lambda chunk: False
        self._on_end = lambda result: None


class Session:
    """Runs the transfers of a process on the running event loop.

    Attributes
    ----------
    received_bytes : int
        Bytes of all bodies that have arrived.
    overlong_counts : collections.Counter of Part
        Responses that were broken off as they exceeded a limit, by the part
        that did.
    malformed_count : int
        Responses that were broken off as their head is malformed.
    """

    def __init__(self) -> None:
        self.received_bytes = 0
        self.overlong_counts: collections.Counter[Part] = collections.Counter()
        self.malformed_count = 0
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._timer: asyncio.TimerHandle | None = None
        self._transfers: dict[pycurl.Curl, Transfer] = {}
        self._handles: dict[Transfer, pycurl.Curl] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._in_callback = False
        self._discarded: list[Transfer] = []
        self._whole: list[Transfer] = []

    def start(
        self,
        request: Request,
        on_head: Callable[[int, Headers], None],
        on_body: Callable[[bytes], bool | None],
        on_end: Callable[[TransferResult], None],
    ) -> Transfer:
        """Start a transfer.

        Parameters
        ----------
        request : Request
            The request to send.
        on_head : callable
            Called with the status and headers of the final response.
        on_body : callable
            Called with each chunk of the body, after the headers. If it
            returns False, the body is too long: the connection is closed and
            the transfer ends with ``TOO_LARGE``.
        on_end : callable
            Called last with the result; not called after ``cancel``.
        """
        transfer = Transfer(self, request, on_head, on_body, on_end)
        curl = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        self._transfers[curl] = transfer
        self._handles[transfer] = curl
        self._loop.call_soon(self._add, curl, request, transfer)
        return transfer

    async def fetch(self, request: Request) -> Response:
        """Send a request and collect the complete response.

        Raises
        ------
        exceptions.NotSent
            If no byte of the request was written.
        exceptions.ResponseLost
            If the server may have received the request and no complete
            response arrived; ``ConnectionBroken`` if the connection closed.
        """
        done: asyncio.Future[TransferResult] = self._loop.create_future()
        head: list[tuple[int, Headers]] = []
        body = bytearray()

        def end(result: TransferResult) -> None:
            if not done.done():
                done.set_result(result)

        watchdog = _Watchdog(self._loop, request, end)

        def handle_head(status: int, headers: Headers) -> None:
            watchdog.record_progress()
            head.append((status, headers))

        def handle_body(chunk: bytes) -> None:
            watchdog.record_progress()
            body.extend(chunk)

        transfer = self.start(request, handle_head, handle_body, end)
        try:
            result = await done
        finally:
            watchdog.stop()
            transfer.cancel()
        if result is TransferResult.COMPLETE and head:
            return Response(*head[-1], bytes(body))
        raise _build_error(request.url, result)

    def discard(self, transfer: Transfer) -> None:
        """Remove a transfer; libcurl closes its connection."""
        if self._in_callback:
            # libcurl cannot remove a transfer within one of its callbacks.
            self._discarded.append(transfer)
        else:
            self._remove(transfer)

    def close(self) -> None:
        """Cancel every transfer without calling its callbacks."""
        for transfer in list(self._handles):
            transfer.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._multi.close()

    def _add(
        self, curl: pycurl.Curl, request: Request, transfer: Transfer
    ) -> None:
        if self._transfers.get(curl) is not transfer or transfer.done:
            return
        try:
            _configure(curl, request, transfer)
        except (ValueError, pycurl.error) as error:
            # Nothing was sent; without a result the owner would wait forever.
            logger.error('request_unsendable', reason=str(error))
            self._complete(curl, TransferResult.NOT_SENT)
            return
        self._multi.add_handle(curl)

    def _remove(self, transfer: Transfer) -> None:
        curl = self._handles.pop(transfer, None)
        if curl is None:
            return
        del self._transfers[curl]
        with contextlib.suppress(pycurl.error):
            # The handle is not added yet if the transfer is cancelled in the
            # same loop iteration.
            self._multi.remove_handle(curl)
        if len(self._idle_handles) < _MAX_IDLE_HANDLES:
            curl.reset()
            self._idle_handles.append(curl)
        else:
            curl.close()

    def _watch_socket(
        self, event: int, fd: int, _multi: object, _data: object
    ) -> None:
        self._loop.remove_reader(fd)
        self._loop.remove_writer(fd)
        if event in {pycurl.POLL_IN, pycurl.POLL_INOUT}:
            self._loop.add_reader(
                fd, self._perform_action, fd, pycurl.CSELECT_IN
            )
        if event in {pycurl.POLL_OUT, pycurl.POLL_INOUT}:
            self._loop.add_writer(
                fd, self._perform_action, fd, pycurl.CSELECT_OUT
            )

    def _set_timer(self, milliseconds: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if milliseconds >= 0:
            self._timer = self._loop.call_later(
                milliseconds / _MS_PER_S,
                self._perform_action,
                pycurl.SOCKET_TIMEOUT,
                0,
            )

    def _perform_action(self, fd: int, mask: int) -> None:
        self._in_callback = True
        try:
            self._multi.socket_action(fd, mask)
        finally:
            self._in_callback = False
        discarded, self._discarded = self._discarded, []
        for transfer in discarded:
            self._remove(transfer)
        self._complete_whole()
        self._handle_completions()

    def _complete_whole(self) -> None:
        """Complete the transfers whose bodies have reached their lengths.

        Within the callbacks, surplus bytes of the same read may follow.
        """
        whole, self._whole = self._whole, []
        for transfer in whole:
            if transfer.is_whole and not transfer.done:
                self._complete(
                    self._handles[transfer], TransferResult.COMPLETE
                )

    def _handle_completions(self) -> None:
        while True:
            remaining, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                transfer = self._transfers.get(curl)
                is_short = transfer is not None and transfer.is_short
                self._complete(
                    curl,
                    TransferResult.BROKEN
                    if is_short
                    else TransferResult.COMPLETE,
                )
            for curl, error, _message in failed:
                transfer = self._transfers.get(curl)
                if transfer is None:
                    continue
                if error == _TOO_LARGE_ERROR:
                    transfer.overlong = Part.HEAD
                if transfer.overlong is not None:
                    self._record_overlong(transfer, transfer.overlong)
                    self._complete(curl, TransferResult.TOO_LARGE)
                    continue
                self._complete(
                    curl,
                    _classify_error(
                        error,
                        transfer.sent,
                        curl.getinfo(pycurl.OS_ERRNO),
                    ),
                )
            if not remaining:
                return

    def add_whole(self, transfer: Transfer) -> None:
        """Add a transfer that is complete if nothing follows its body."""
        self._whole.append(transfer)

    def record_malformed(self, transfer: Transfer, reason: str) -> None:
        """Count and log a response whose head is malformed."""
        transfer.is_malformed = True
        self.malformed_count += 1
        logger.warning(
            'response_head_malformed',
            address=_extract_address(transfer),
            reason=reason,
        )

    def _record_overlong(self, transfer: Transfer, part: Part) -> None:
        """Count and log a response that exceeds a limit."""
        self.overlong_counts[part] += 1
        logger.warning(
            'response_too_long',
            address=_extract_address(transfer),
            part=part.value,
            head_bytes=transfer.head_bytes,
            body_bytes=transfer.body_bytes,
        )

    def _complete(self, curl: pycurl.Curl, result: TransferResult) -> None:
        transfer = self._transfers.get(curl)
        if transfer is None:
            return
        self._remove(transfer)
        try:
            transfer.finish(result)
        except Exception:
            # Other transfers may have ended in the same turn of the loop.
            logger.exception('transfer_callback_failed')


def _extract_address(transfer: Transfer) -> str:
    """Return the ``ip:port`` that a transfer connects to."""
    return urllib.parse.urlsplit(transfer.request.url).netloc


class _Watchdog:
    """Enforces the idle timeout of a request, if it has one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        request: Request,
        end: Callable[[TransferResult], None],
    ) -> None:
        self._loop = loop
        self._idle_timeout_ms = request.idle_timeout_ms
        self._complete = end
        self._timer: asyncio.TimerHandle | None = None
        if self._idle_timeout_ms:
            self._restart_timer(request.timeout_ms)

    def record_progress(self) -> None:
        """Restart the idle timeout after bytes arrived."""
        if self._idle_timeout_ms:
            self._restart_timer(self._idle_timeout_ms)

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _restart_timer(self, milliseconds: int) -> None:
        self.stop()
        self._timer = self._loop.call_later(
            milliseconds / _MS_PER_S, self._complete, TransferResult.TIMED_OUT
        )


def _classify_error(
    error: int, sent: bool, system_error: int = 0
) -> TransferResult:
    """Map a libcurl error to the result of a transfer.

    ``NOT_SENT`` needs two conditions: libcurl did not report that sending
    starts, and the error can occur before sending.
    """
    if not sent and error in _UNSENT_ERRORS:
        if (
            error == pycurl.E_COULDNT_CONNECT
            and system_error == errno.ECONNREFUSED
        ):
            return TransferResult.REFUSED
        return TransferResult.NOT_SENT
    if error == pycurl.E_OPERATION_TIMEDOUT:
        return TransferResult.TIMED_OUT
    if error in _CONNECTION_ERRORS:
        return TransferResult.BROKEN
    return TransferResult.MALFORMED


def _build_error(
    url: str, result: TransferResult
) -> exceptions.TransportError:
    if result is TransferResult.REFUSED:
        return exceptions.ConnectionRefused(f'{url} could not be reached.')
    if result is TransferResult.NOT_SENT:
        return exceptions.NotSent(f'{url} could not be reached.')
    if result is TransferResult.BROKEN:
        return exceptions.ConnectionBroken(
            f'{url}: the connection was closed.'
        )
    return exceptions.ResponseLost(f'{url}: {result.value}.')


def _encode(text: str) -> bytes:
    """Encode text of a request; names beyond Latin-1 are sent as UTF-8.

    Text of callers is Latin-1, as which its bytes were decoded.
    """
    try:
        return text.encode('latin-1')
    except UnicodeEncodeError:
        return text.encode()


def _split_url(url: str) -> tuple[str, bytes]:
    """Split a URL into the server and the request target as it is sent."""
    scheme, _, rest = url.partition('://')
    authority, _, target = rest.partition('/')
    return f'{scheme}://{authority}/', _encode(f'/{target}')


def _configure(
    curl: pycurl.Curl, request: Request, transfer: Transfer
) -> None:
    base, target = _split_url(request.url)
    curl.setopt(pycurl.URL, base)
    # libcurl would encode bytes of a path, and drop what follows a "#".
    curl.setopt(pycurl.REQUEST_TARGET, target)
    curl.setopt(pycurl.NOSIGNAL, 1)
    # A proxy from the environment would respond for unreachable hosts.
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, request.connect_timeout_ms))
    timeout_ms = (
        request.max_duration_ms
        if request.idle_timeout_ms
        else request.timeout_ms
    )
    curl.setopt(pycurl.TIMEOUT_MS, max(0, timeout_ms))
    curl.setopt(pycurl.FRESH_CONNECT, int(request.dedicated_connection))
    curl.setopt(pycurl.FORBID_REUSE, int(request.dedicated_connection))
    curl.setopt(pycurl.IGNORE_CONTENT_LENGTH, int(request.measures_body))
    curl.setopt(pycurl.PREREQFUNCTION, transfer.record_sending)
    curl.setopt(pycurl.HEADERFUNCTION, transfer.receive_line)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.receive_body)
    names = {name.lower() for name, _ in request.headers}
    lines = [
        # A header without a value ends in ";" for libcurl.
        _encode(f'{name}: {value}' if value else f'{name};')
        for name, value in request.headers
    ]
    # libcurl adds these headers by default; a name without a value removes
    # the header.
    lines.extend(
        f'{name}:'.encode()
        for name in ('Accept', 'User-Agent', 'Expect', 'Content-Type')
        if name.lower() not in names
    )
    curl.setopt(pycurl.HTTPHEADER, lines)
    _set_method(curl, request)


def _set_method(curl: pycurl.Curl, request: Request) -> None:
    if request.body is not None or request.method == 'POST':
        body = request.body or b''
        curl.setopt(pycurl.POST, 1)
        # Sets the length as well, so that the body may contain zero bytes.
        curl.setopt(pycurl.POSTFIELDS, body)
    elif request.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    else:
        curl.setopt(pycurl.HTTPGET, 1)
    if request.method not in {'GET', 'HEAD', 'POST'} or (
        request.method == 'GET' and request.body is not None
    ):
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
