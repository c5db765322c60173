"""The callers' side: requests, answers, lookups and readiness."""

from __future__ import annotations

import http.client
import typing
import urllib.parse

import msgspec
import structlog
from tornado import httputil
from tornado import iostream

from thornspool.application.routing import ports
from thornspool.platform import engines

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module

DEFAULT_PATIENCE_MS = 30_000
"""Patience of a caller that does not tell his."""

ADDRESS_TTL_S = 2.0
"""Time for which callers keep addresses.

Short, as a host that dies stays in the answers that callers hold; each
lookup takes 0.2 ms of processor time.
"""

LOOKUP_PATH = '/v1/lookup'
READINESS_PATH = '/v1/readiness'

_REASONS = http.client.responses

logger = structlog.get_logger(__name__)

Serve = typing.Callable[[ports.Inquiry, ports.Reply], None]


class Front(httputil.HTTPServerConnectionDelegate):
    """Takes callers' requests.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    serve : callable
        Takes each whole request.
    """

    def __init__(self, clock: clock_module.Clock, serve: Serve) -> None:
        self._clock = clock
        self._serve = serve

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Take the next request of a connection."""
        return _Message(self._clock, self._serve, request_conn)


class _Message(httputil.HTTPMessageDelegate):
    """Collects one request."""

    def __init__(
        self,
        clock: clock_module.Clock,
        serve: Serve,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._clock = clock
        self._serve = serve
        self._connection = connection
        self._body = bytearray()
        self._line = httputil.RequestStartLine('', '', '')
        self._headers = httputil.HTTPHeaders()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._line = typing.cast(httputil.RequestStartLine, start_line)
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        self._body.extend(chunk)

    def finish(self) -> None:
        inquiry = decode_inquiry(
            self._line, self._headers, bytes(self._body), self._clock.now()
        )
        reply = Reply(self._connection, self._line.method)
        try:
            self._serve(inquiry, reply)
        except Exception:
            # Left alone, the connection would stay open and say nothing
            # until the caller gives up; a request that may have run gets
            # no promise.
            logger.exception('request_failed', id=inquiry.id)
            reply.refuse(500, 'internal')

    def on_connection_close(self) -> None:
        self._body.clear()


def decode_inquiry(
    line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    now: int,
) -> ports.Inquiry:
    """Decode a request into the project's words.

    A header that can't be read counts as not there: the request is served
    without what it would tell.
    """
    prompt, most = _read_usage(headers.get('Token-Usage', ''))
    expected = _read_number(headers.get('Length-Hint', ''))
    if most and expected:
        expected = min(expected, most)
    scheme, _, key = headers.get('Authorization', '').partition(' ')
    return ports.Inquiry(
        id=headers.get('Attempt-Id', ''),
        method=line.method,
        target=line.path,
        host=headers.get('Host', '').partition(':')[0].lower(),
        headers=engines.choose_request_headers(headers.get_all()),
        body=body,
        key=key.strip() if scheme.lower() == 'bearer' else None,
        patience_ms=round(
            _read_number(headers.get('Deadline-Ms', '')) or DEFAULT_PATIENCE_MS
        ),
        arrived_at=now,
        prompt_tokens=prompt,
        answer_tokens=expected or 0.0,
        resume_after=headers.get('Last-Event-Id', ''),
    )


def _read_number(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def _read_usage(text: str) -> tuple[float, float]:
    """Read the prompt tokens and the most output tokens."""
    prompt, _, most = text.partition(',')
    return _read_number(prompt), _read_number(most)


class Reply:
    """The answer to one request over tornado's server.

    Parameters
    ----------
    connection : httputil.HTTPConnection
        Where the request came from.
    method : str
        Its method; an answer to HEAD has no body.
    """

    def __init__(
        self, connection: httputil.HTTPConnection, method: str
    ) -> None:
        # Its server side has more than the interface declares.
        self._connection = typing.cast(typing.Any, connection)
        self._method = method
        self._on_close: Callable[[], None] | None = None
        self._done = False
        self._begun = False
        self._connection.set_close_callback(self._close)

    def set_on_close(self, call: Callable[[], None]) -> None:
        """Have a function called when the caller leaves."""
        self._on_close = call
        if self._done:
            call()

    def refuse(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        """Answer with an error of the router's own."""
        headers = [('Content-Type', 'application/json')]
        if retry_after_ms is not None:
            headers.append(('Retry-After', f'{retry_after_ms / 1000:.3f}'))
        self.answer(
            status, tuple(headers), msgspec.json.encode({'error': reason})
        )

    def begin(self, status: int, headers: ports.Headers) -> None:
        """Begin an answer of unknown length."""
        if self._done or self._begun:
            return
        self._begun = True
        self._write_head(status, headers, b'')

    def write(self, chunk: bytes) -> None:
        """Send a piece of it."""
        if self._done:
            return
        try:
            self._watch(self._connection.write(chunk))
        except iostream.StreamClosedError:
            self._close()

    def finish(self) -> None:
        """End it as complete."""
        if self._done:
            return
        self._done = True
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that it can't look complete."""
        if self._done:
            return
        self._done = True
        self._connection.close()

    def answer(self, status: int, headers: ports.Headers, body: bytes) -> None:
        """Send a whole answer."""
        if self._done or self._begun:
            self.abort()
            return
        self._begun = True
        self._done = True
        if status not in {204, 304}:
            headers = (*headers, ('Content-Length', str(len(body))))
        if self._method == 'HEAD':
            body = b''
        self._write_head(status, headers, body)
        if not self._connection.stream.closed():
            self._connection.finish()

    def _write_head(
        self, status: int, headers: ports.Headers, body: bytes
    ) -> None:
        line = httputil.ResponseStartLine(
            'HTTP/1.1', status, _REASONS.get(status, 'Unknown')
        )
        listed = httputil.HTTPHeaders()
        for name, value in headers:
            listed.add(name, value)
        try:
            self._watch(self._connection.write_headers(line, listed, body))
        except iostream.StreamClosedError:
            self._close()

    def _watch(self, future: typing.Any) -> None:
        """Mark the error of a caller that left as seen."""
        future.add_done_callback(lambda done: done.exception())

    def _close(self) -> None:
        if self._done:
            return
        self._done = True
        if self._on_close is not None:
            self._on_close()


class Questions(httputil.HTTPServerConnectionDelegate):
    """Answers short questions without a body: lookups and readiness.

    Parameters
    ----------
    answers : dict of str to callable
        By path; each takes the query and returns a status and a document.
    """

    def __init__(
        self,
        answers: dict[str, Callable[[dict[str, str]], tuple[int, bytes, str]]],
    ) -> None:
        self._answers = answers

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Take the next request of a connection."""
        return _Question(self._answers, request_conn)


class _Question(httputil.HTTPMessageDelegate):
    def __init__(
        self,
        answers: dict[str, Callable[[dict[str, str]], tuple[int, bytes, str]]],
        connection: httputil.HTTPConnection,
    ) -> None:
        self._answers = answers
        self._connection = connection
        self._line = httputil.RequestStartLine('', '', '')

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._line = typing.cast(httputil.RequestStartLine, start_line)

    def finish(self) -> None:
        path, _, query = self._line.path.partition('?')
        reply = Reply(self._connection, self._line.method)
        answer = self._answers.get(path)
        if answer is None:
            reply.refuse(404, 'unknown_path')
            return
        values = {
            name: found[-1]
            for name, found in urllib.parse.parse_qs(query).items()
        }
        status, body, kind = answer(values)
        reply.answer(status, (('Content-Type', kind),), body)


def answer_lookup(
    list_addresses: Callable[[str], tuple[str, ...]],
    max_ttl_s: float,
    query: dict[str, str],
) -> tuple[int, bytes, str]:
    """Answer a caller that asks where to connect."""
    addresses = list_addresses(query.get('zone', ''))
    if not addresses:
        return 503, b'{"error":"no_entry"}', 'application/json'
    ttl_s = min(ADDRESS_TTL_S, max_ttl_s)
    body = msgspec.json.encode({'addresses': addresses, 'ttl_s': ttl_s})
    return 200, body, 'application/json'


def answer_readiness(
    is_ready: Callable[[], bool], _query: dict[str, str]
) -> tuple[int, bytes, str]:
    """Answer the platform's question whether this entry is ready."""
    ready = is_ready()
    return (
        200 if ready else 503,
        b'{"ready":true}' if ready else b'{"ready":false}',
        'application/json',
    )
