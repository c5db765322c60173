"""Transfers over libcurl's multi interface that stream and can be ended.

tornado's curl client can neither end a transfer early nor keep the order of
head and body of an answer whose bytes arrive together, and libcurl sends a
request again by itself when a kept connection breaks before the first byte
of the answer. Here the head is handed over before any body, a transfer ends
when its owner says so, and a request that must not be repeated gets a
connection of its own, on which libcurl never sends twice.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import typing

import attrs
import pycurl
import structlog

from thornspool.adapters import exceptions

if typing.TYPE_CHECKING:
    from collections.abc import Callable

Headers = tuple[tuple[str, str], ...]

_MS_PER_S = 1000.0
_POOL_SIZE = 64
"""Idle handles kept; one takes some 20 kB."""

_BEFORE_SENDING = frozenset(
    {
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_OPERATION_TIMEDOUT,
    }
)
"""Errors that come up before the first byte of a request."""

_BROKEN = frozenset(
    {
        # A kept connection broke and libcurl found no listener to send the
        # request to once more.
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
    }
)
"""Errors by which the other side, or the way to it, ended a connection."""

_CUSTOM_BODY = frozenset({'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'})

logger = structlog.get_logger(__name__)


class Ending(enum.Enum):
    """How a transfer ended.

    ``NOT_SENT`` is certain: no byte of the request was written. After the
    others but ``WHOLE`` the request may have been read.
    """

    WHOLE = 'whole'
    NOT_SENT = 'not_sent'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'


@attrs.frozen
class Request:
    """A request to one address.

    Attributes
    ----------
    url : str
        Whole address.
    method : str
        HTTP method.
    headers : tuple of pairs of str
        Request headers, in order.
    body : bytes or None
        Request body.
    connect_ms : int
        Longest time to connect, in milliseconds.
    total_ms : int
        Longest time for the whole answer, in milliseconds; 0 for any.
    pause_ms : int
        Where it is set, ``total_ms`` counts up to the first byte of the
        answer only, and this is the longest pause after that. A large
        answer on a slow link is neither lost nor taken for silence then.
        For ``fetch`` only.
    own_connection : bool
        Whether it gets a connection that nothing else used or will use.
    max_body : int
        Most bytes of the answer's body; 0 for any. For ``fetch`` only.
    """

    url: str
    method: str = 'GET'
    headers: Headers = ()
    body: bytes | None = None
    connect_ms: int = 1000
    total_ms: int = 0
    pause_ms: int = 0
    own_connection: bool = True
    max_body: int = 0


@attrs.frozen
class Answer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class Transfer:
    """One request on its way; ended by ``cancel`` or by its ending."""

    def __init__(
        self,
        session: Session,
        on_head: Callable[[int, Headers], None],
        on_body: Callable[[bytes], None],
        on_end: Callable[[Ending], None],
    ) -> None:
        self._session = session
        self._on_head = on_head
        self._on_body = on_body
        self._on_end = on_end
        self._lines: list[str] = []
        self.sent = False
        self.done = False

    def cancel(self) -> None:
        """End the transfer and close its connection; nothing follows."""
        if not self.done:
            self.done = True
            self._session.discard(self)

    def receive_line(self, raw: bytes) -> None:
        """Take one line of the head, run by libcurl."""
        line = raw.decode('latin-1').rstrip('\r\n')
        if line:
            self._lines.append(line)
            return
        lines, self._lines = self._lines, []
        if not lines or not lines[0].startswith('HTTP/'):
            return  # trailers of a chunked body
        parts = lines[0].split(' ', 2)
        status = int(parts[1]) if len(parts) > 1 else 0
        if status < 200 or self.done:
            return
        self._on_head(status, tuple(_split_header(one) for one in lines[1:]))

    def receive_body(self, chunk: bytes) -> int | None:
        """Take a piece of the body, run by libcurl."""
        if self.done:
            return 0
        self._on_body(chunk)
        return None

    def note_sending(self, *_: typing.Any) -> int:
        """Run by libcurl once connected, before the first byte."""
        self.sent = True
        return int(pycurl.PREREQFUNC_OK)

    def finish(self, ending: Ending) -> None:
        """Tell the owner the ending, once."""
        if not self.done:
            self.done = True
            self._on_end(ending)


def _split_header(line: str) -> tuple[str, str]:
    name, _, value = line.partition(':')
    return name.strip(), value.strip()


class Session:
    """All transfers of a process, driven by the running loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._timer: asyncio.TimerHandle | None = None
        self._running: dict[pycurl.Curl, Transfer] = {}
        self._handles: dict[Transfer, pycurl.Curl] = {}
        self._idle: list[pycurl.Curl] = []
        self._busy = False
        self._discarded: list[Transfer] = []

    def start(
        self,
        request: Request,
        on_head: Callable[[int, Headers], None],
        on_body: Callable[[bytes], None],
        on_end: Callable[[Ending], None],
    ) -> Transfer:
        """Start a transfer.

        Parameters
        ----------
        request : Request
            What to send.
        on_head : callable
            Takes the status and the headers of the final answer.
        on_body : callable
            Takes each piece of the body, after the head.
        on_end : callable
            Takes the ending, last; not called after ``cancel``.
        """
        transfer = Transfer(self, on_head, on_body, on_end)
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        self._running[curl] = transfer
        self._handles[transfer] = curl
        self._loop.call_soon(self._add, curl, request, transfer)
        return transfer

    async def fetch(self, request: Request) -> Answer:
        """Send a request and collect the whole answer.

        Raises
        ------
        exceptions.NotSent
            When not one byte was written.
        exceptions.AnswerLost
            When the request may have been read and no whole answer came;
            ``ConnectionBroken`` when the connection ended under it.
        """
        done: asyncio.Future[Ending] = self._loop.create_future()
        head: list[tuple[int, Headers]] = []
        body = bytearray()

        def end(ending: Ending) -> None:
            if not done.done():
                done.set_result(ending)

        watchdog = _Watchdog(self._loop, request, end)

        def take_head(status: int, headers: Headers) -> None:
            watchdog.note_progress()
            head.append((status, headers))

        def take_body(chunk: bytes) -> None:
            watchdog.note_progress()
            body.extend(chunk)
            if 0 < request.max_body < len(body):
                end(Ending.TOO_LARGE)

        transfer = self.start(request, take_head, take_body, end)
        try:
            ending = await done
        finally:
            watchdog.stop()
            transfer.cancel()
        if ending is Ending.WHOLE and head:
            return Answer(*head[-1], bytes(body))
        raise _build_error(request.url, ending)

    def discard(self, transfer: Transfer) -> None:
        """Remove a transfer; libcurl closes its connection."""
        if self._busy:
            # libcurl can't remove a transfer inside one of its callbacks.
            self._discarded.append(transfer)
        else:
            self._remove(transfer)

    def close(self) -> None:
        """End every transfer without telling its owner."""
        for transfer in list(self._handles):
            transfer.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._multi.close()

    def _add(
        self, curl: pycurl.Curl, request: Request, transfer: Transfer
    ) -> None:
        if self._running.get(curl) is not transfer or transfer.done:
            return
        try:
            _configure(curl, request, transfer)
        except (ValueError, pycurl.error) as error:
            # Nothing was sent; without an ending its owner would wait on.
            logger.error('request_unsendable', reason=str(error))
            self._end(curl, Ending.NOT_SENT)
            return
        self._multi.add_handle(curl)

    def _remove(self, transfer: Transfer) -> None:
        curl = self._handles.pop(transfer, None)
        if curl is None:
            return
        del self._running[curl]
        with contextlib.suppress(pycurl.error):
            # Not yet added, when it is cancelled in the same turn.
            self._multi.remove_handle(curl)
        if len(self._idle) < _POOL_SIZE:
            curl.reset()
            self._idle.append(curl)
        else:
            curl.close()

    def _watch_socket(
        self, event: int, fd: int, _multi: object, _data: object
    ) -> None:
        self._loop.remove_reader(fd)
        self._loop.remove_writer(fd)
        if event in {pycurl.POLL_IN, pycurl.POLL_INOUT}:
            self._loop.add_reader(fd, self._act, fd, pycurl.CSELECT_IN)
        if event in {pycurl.POLL_OUT, pycurl.POLL_INOUT}:
            self._loop.add_writer(fd, self._act, fd, pycurl.CSELECT_OUT)

    def _set_timer(self, milliseconds: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if milliseconds >= 0:
            self._timer = self._loop.call_later(
                milliseconds / _MS_PER_S, self._act, pycurl.SOCKET_TIMEOUT, 0
            )

    def _act(self, fd: int, mask: int) -> None:
        self._busy = True
        try:
            self._multi.socket_action(fd, mask)
        finally:
            self._busy = False
        discarded, self._discarded = self._discarded, []
        for transfer in discarded:
            self._remove(transfer)
        self._collect()

    def _collect(self) -> None:
        while True:
            left, whole, failed = self._multi.info_read()
            for curl in whole:
                self._end(curl, Ending.WHOLE)
            for curl, errno, _message in failed:
                transfer = self._running.get(curl)
                if transfer is not None:
                    self._end(curl, _name_ending(errno, transfer.sent))
            if not left:
                return

    def _end(self, curl: pycurl.Curl, ending: Ending) -> None:
        transfer = self._running.get(curl)
        if transfer is None:
            return
        self._remove(transfer)
        transfer.finish(ending)


class _Watchdog:
    """Ends a transfer that pauses, where its request bounds pauses."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        request: Request,
        end: Callable[[Ending], None],
    ) -> None:
        self._loop = loop
        self._pause_ms = request.pause_ms
        self._end = end
        self._timer: asyncio.TimerHandle | None = None
        if self._pause_ms:
            self._set(request.total_ms)

    def note_progress(self) -> None:
        """Note that bytes have come."""
        if self._pause_ms:
            self._set(self._pause_ms)

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()

    def _set(self, milliseconds: int) -> None:
        self.stop()
        self._timer = self._loop.call_later(
            milliseconds / _MS_PER_S, self._end, Ending.TIMED_OUT
        )


def _name_ending(errno: int, sent: bool) -> Ending:
    """Name the ending of a transfer that failed.

    That nothing was sent is said only where two witnesses agree: libcurl had
    not announced the request, and its error comes up before sending.
    """
    if not sent and errno in _BEFORE_SENDING:
        return Ending.NOT_SENT
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return Ending.TIMED_OUT
    if errno in _BROKEN:
        return Ending.BROKEN
    return Ending.MALFORMED


def _build_error(url: str, ending: Ending) -> exceptions.TransportError:
    if ending is Ending.NOT_SENT:
        return exceptions.NotSent(f'{url} was not reached.')
    if ending is Ending.BROKEN:
        return exceptions.ConnectionBroken(f'{url}: the connection broke.')
    return exceptions.AnswerLost(f'{url}: {ending.value}.')


def _configure(
    curl: pycurl.Curl, request: Request, transfer: Transfer
) -> None:
    curl.setopt(pycurl.URL, request.url)
    curl.setopt(pycurl.NOSIGNAL, 1)
    # A proxy from the environment answers for hosts never reached.
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, request.connect_ms))
    total_ms = 0 if request.pause_ms else request.total_ms
    curl.setopt(pycurl.TIMEOUT_MS, max(0, total_ms))
    curl.setopt(pycurl.FRESH_CONNECT, int(request.own_connection))
    curl.setopt(pycurl.FORBID_REUSE, int(request.own_connection))
    curl.setopt(pycurl.PREREQFUNCTION, transfer.note_sending)
    curl.setopt(pycurl.HEADERFUNCTION, transfer.receive_line)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.receive_body)
    names = {name.lower() for name, _ in request.headers}
    lines = [
        f'{name}: {value}'.encode('latin-1')
        if value
        else f'{name};'.encode('latin-1')
        for name, value in request.headers
    ]
    # libcurl adds these by itself; a name without a value takes them out.
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
        # Takes bytes of any value, a zero byte too, and their number.
        curl.setopt(pycurl.POSTFIELDS, body)
    elif request.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    else:
        curl.setopt(pycurl.HTTPGET, 1)
    if request.method not in {'GET', 'HEAD', 'POST'} or (
        request.method == 'GET' and request.body is not None
    ):
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
