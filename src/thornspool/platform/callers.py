"""HTTP endpoints for callers: requests, address lookups and readiness."""

from __future__ import annotations

import asyncio
import http.client
import itertools
import math
import typing
import urllib.parse

import msgspec
import structlog
from tornado import httputil
from tornado import iostream

from thornspool.application.routing import exchanges
from thornspool.application.routing import ports
from thornspool.application.routing import route_preview
from thornspool.domain.clients import connections
from thornspool.platform import engines

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module

DEFAULT_TIMEOUT_MS = 30_000
"""Timeout of a request that does not state one."""

ADDRESS_TTL_S = 2.0
"""Time for which callers cache addresses.

It is short because callers keep using a failed host until their cached
addresses expire. Each lookup takes 0.2 ms of processor time.
"""

LOOKUP_PATH = '/v1/lookup'
READINESS_PATH = '/v1/readiness'
ROUTE_PATH = '/v1/route'

_REASON_PHRASES = http.client.responses

logger = structlog.get_logger(__name__)

RequestHandler = typing.Callable[[ports.Request, ports.ResponseWriter], None]

_OnDecided = typing.Callable[[connections.BodyTerms | None], None]
BodyChecker = typing.Callable[
    [ports.Request, ports.ResponseWriter, _OnDecided], None
]

_Head = tuple[httputil.ResponseStartLine, httputil.HTTPHeaders]

RequestDecoder = typing.Callable[
    [httputil.RequestStartLine, httputil.HTTPHeaders, bytes, int],
    ports.Request,
]


class CallerDelegate(httputil.HTTPServerConnectionDelegate):
    """Receives requests from callers.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    serve : callable
        Called with each complete request and its reply.
    decode : callable, optional
        Decodes a request; the default is for requests of callers.
    check_body : callable, optional
        Called with a request whose body has not been read, its reply, and a
        function that takes the terms for the body, or None if the request is
        refused.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        serve: RequestHandler,
        decode: RequestDecoder | None = None,
        check_body: BodyChecker | None = None,
    ) -> None:
        self._clock = clock
        self._serve = serve
        self._decode = decode or decode_request
        self._check_body = check_body or _allow_body

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Create the delegate of the next request of a connection."""
        return _RequestCollector(
            self._clock,
            self._serve,
            self._decode,
            self._check_body,
            request_conn,
        )


class _RequestCollector(httputil.HTTPMessageDelegate):
    """Collects the parts of one request."""

    def __init__(
        self,
        clock: clock_module.Clock,
        serve: RequestHandler,
        decode: RequestDecoder,
        check_body: BodyChecker,
        connection: httputil.HTTPConnection,
    ) -> None:
        self._clock = clock
        self._serve = serve
        self._decode = decode
        self._check_body = check_body
        self._connection = connection
        self._body = bytearray()
        self._start_line = httputil.RequestStartLine('', '', '')
        self._headers = httputil.HTTPHeaders()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._start_line = typing.cast(httputil.RequestStartLine, start_line)
        self._headers = headers

    def check_body(self) -> asyncio.Future[connections.BodyTerms | None]:
        """Decide on the request before its body is read."""
        decided: asyncio.Future[connections.BodyTerms | None] = (
            asyncio.get_running_loop().create_future()
        )
        reply = ResponseWriter(self._connection, self._start_line.method)

        def record(terms: connections.BodyTerms | None) -> None:
            if not decided.done():
                decided.set_result(terms)

        try:
            self._check_body(self._decode_with(b''), reply, record)
        except Exception:
            logger.exception(
                'request_failed', id=self._headers.get('Attempt-Id', '')
            )
            reply.refuse(500, 'internal')
            record(None)
        return decided

    def data_received(self, chunk: bytes) -> None:
        self._body.extend(chunk)

    def finish(self) -> None:
        reply = ResponseWriter(self._connection, self._start_line.method)
        body = bytes(self._body)
        # The delegate exists until the response is complete.
        self._body = bytearray()
        try:
            self._serve(self._decode_with(body), reply)
        except Exception:
            # Without a response the connection would stay open until the
            # caller times out. The request may have been executed, so the
            # response must not state that it was not.
            logger.exception(
                'request_failed', id=self._headers.get('Attempt-Id', '')
            )
            reply.refuse(500, 'internal')

    def _decode_with(self, body: bytes) -> ports.Request:
        began_at = getattr(self._connection, 'request_began_at', None)
        return self._decode(
            self._start_line,
            self._headers,
            body,
            self._clock.now() if began_at is None else began_at,
        )

    def on_connection_close(self) -> None:
        self._body = bytearray()


def _allow_body(
    _request: ports.Request,
    _reply: ports.ResponseWriter,
    on_decided: _OnDecided,
) -> None:
    """Read the body of any request."""
    on_decided(connections.BodyTerms())


def decode_request(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    now: int,
) -> ports.Request:
    """Decode a request into the project's type.

    A header with a malformed value is treated as missing.

    Parameters
    ----------
    start_line : httputil.RequestStartLine
        Method and target.
    headers : httputil.HTTPHeaders
        All headers, as sent.
    body : bytes
        The complete body.
    now : int
        Time of arrival, in milliseconds of the clock.

    Returns
    -------
    ports.Request
        The request.
    """
    prompt, max_output = _parse_usage(headers.get('Token-Usage', ''))
    expected = _parse_number(headers.get('Length-Hint', ''))
    if max_output and expected:
        expected = min(expected, max_output)
    scheme, _, key = headers.get('Authorization', '').partition(' ')
    return ports.Request(
        id=headers.get('Attempt-Id', ''),
        method=start_line.method,
        target=start_line.path,
        host=headers.get('Host', '').partition(':')[0].lower(),
        headers=engines.filter_request_headers(headers.get_all()),
        body=body,
        key=key.strip() if scheme.lower() == 'bearer' else None,
        timeout_ms=round(
            _parse_number(headers.get('Deadline-Ms', '')) or DEFAULT_TIMEOUT_MS
        ),
        arrived_at=now,
        prompt_tokens=prompt,
        output_tokens=expected or 0.0,
        resume_after=headers.get('Last-Event-Id', ''),
        prompt_parts=_parse_parts(headers.get('Prompt-Prefix', '')),
    )


def _parse_number(text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        return 0.0
    return max(0.0, number) if math.isfinite(number) else 0.0


def _parse_parts(text: str) -> tuple[str, ...]:
    """Parse the identifiers of the shared parts of a prompt.

    The size of a part is not read, and the last part is left out.
    """
    entries = [entry for entry in text.split(',') if entry.strip()]
    names = (entry.partition(':')[0].strip().lower() for entry in entries[:-1])
    return tuple(itertools.islice(dict.fromkeys(names), exchanges.MAX_PARTS))


def _parse_usage(text: str) -> tuple[float, float]:
    """Parse the number of prompt tokens and the limit on output tokens."""
    prompt, _, max_output = text.partition(',')
    return _parse_number(prompt), _parse_number(max_output)


class ResponseWriter:
    """Sends the response to one request through tornado's HTTP server.

    Parameters
    ----------
    connection : httputil.HTTPConnection
        Connection on which the request arrived.
    method : str
        Method of the request; a response to HEAD has no body.
    """

    def __init__(
        self, connection: httputil.HTTPConnection, method: str
    ) -> None:
        # tornado's implementation has members that the interface lacks.
        self._connection = typing.cast(typing.Any, connection)
        self._method = method
        self._on_close: Callable[[], None] | None = None
        self._done = False
        self._started = False
        self._connection.set_close_callback(self._close)

    def set_disconnect_callback(self, call: Callable[[], None]) -> None:
        """Register a callback for the caller's disconnection."""
        self._on_close = call
        if self._done:
            call()

    def refuse(
        self, status: int, reason: str, retry_after_ms: int | None = None
    ) -> None:
        """Send an error response that the router creates."""
        self._send_error(status, reason, retry_after_ms)

    def refuse_relay(
        self,
        status: int = 503,
        reason: str = 'relay_refused',
        retry_after_ms: int | None = None,
        sends: int | None = None,
    ) -> None:
        """Refuse a request that a peer has passed on, without running it.

        See `ports.ResponseWriter.refuse_relay`.
        """
        headers = [(engines.RELAY_REFUSED_HEADER, '1')]
        if sends is not None:
            headers.append((engines.RELAY_SENDS_HEADER, str(sends)))
        self._send_error(status, reason, retry_after_ms, tuple(headers))

    def _send_error(
        self,
        status: int,
        reason: str,
        retry_after_ms: int | None,
        more_headers: ports.Headers = (),
    ) -> None:
        headers = [('Content-Type', 'application/json'), *more_headers]
        if retry_after_ms is not None:
            headers.append(('Retry-After', f'{retry_after_ms / 1000:.3f}'))
        self.send(
            status, tuple(headers), msgspec.json.encode({'error': reason})
        )

    def begin(self, status: int, headers: ports.Headers) -> None:
        """Start a response of unknown length."""
        if self._done or self._started:
            return
        head = _build_head(status, headers)
        self._started = True
        self._write_head(head, b'')

    def write(self, chunk: bytes) -> None:
        """Send a chunk of the response body."""
        if self._done:
            return
        try:
            self._consume_error(self._connection.write(chunk))
        except iostream.StreamClosedError:
            self._close()

    def finish(self) -> None:
        """Finish the response as complete."""
        if self._done:
            return
        self._end()
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the response is visibly incomplete."""
        if self._done:
            return
        self._end()
        self._connection.close()

    def send(self, status: int, headers: ports.Headers, body: bytes) -> None:
        """Send a complete response."""
        if self._done or self._started:
            self.abort()
            return
        if status not in {204, 304}:
            headers = (*headers, ('Content-Length', str(len(body))))
        head = _build_head(status, headers)
        self._started = True
        self._end()
        self._write_head(head, b'' if self._method == 'HEAD' else body)
        if not self._connection.stream.closed():
            self._connection.finish()

    def _write_head(self, head: _Head, body: bytes) -> None:
        try:
            self._consume_error(self._connection.write_headers(*head, body))
        except iostream.StreamClosedError:
            self._close()

    def _consume_error(self, future: typing.Any) -> None:
        """Retrieve the future's error, so that asyncio does not log it."""
        future.add_done_callback(lambda done: done.exception())

    def _close(self) -> None:
        if self._done:
            return
        on_close = self._on_close
        self._end()
        if on_close is not None:
            on_close()

    def _end(self) -> None:
        """Record that no more is sent.

        The callback refers to the request, whose body would stay in memory
        until the next collection of reference cycles.
        """
        self._done = True
        self._on_close = None


def _build_head(status: int, headers: ports.Headers) -> _Head:
    """Build the head of a response.

    Raises
    ------
    httputil.HTTPInputError
        If a header can't be sent; nothing has been written then, and another
        response can be.
    """
    http_headers = httputil.HTTPHeaders()
    for name, value in headers:
        http_headers.add(name, value)
    return (
        httputil.ResponseStartLine(
            'HTTP/1.1', status, _REASON_PHRASES.get(status, 'Unknown')
        ),
        http_headers,
    )


class QueryDelegate(httputil.HTTPServerConnectionDelegate):
    """Serves GET requests without a body, such as lookups and readiness.

    Parameters
    ----------
    handlers : dict of str to callable
        Handler of each path. A handler takes the query arguments and
        returns a status, a body and its content type.
    """

    def __init__(
        self,
        handlers: dict[
            str, Callable[[dict[str, str]], tuple[int, bytes, str]]
        ],
    ) -> None:
        self._handlers = handlers

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Create the delegate of the next request of a connection."""
        return _QueryHandler(self._handlers, request_conn)


class _QueryHandler(httputil.HTTPMessageDelegate):
    def __init__(
        self,
        handlers: dict[
            str, Callable[[dict[str, str]], tuple[int, bytes, str]]
        ],
        connection: httputil.HTTPConnection,
    ) -> None:
        self._handlers = handlers
        self._connection = connection
        self._start_line = httputil.RequestStartLine('', '', '')

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._start_line = typing.cast(httputil.RequestStartLine, start_line)

    async def check_body(self) -> None:
        """Answer at once, since no request has a body that is used."""
        self._answer()

    def finish(self) -> None:
        self._answer()

    def _answer(self) -> None:
        path, _, query = self._start_line.path.partition('?')
        reply = ResponseWriter(self._connection, self._start_line.method)
        handler = self._handlers.get(path)
        if handler is None:
            reply.refuse(404, 'unknown_path')
            return
        arguments = {
            name: values_of_name[-1]
            for name, values_of_name in urllib.parse.parse_qs(
                query, keep_blank_values=True
            ).items()
        }
        status, body, content_type = handler(arguments)
        reply.send(status, (('Content-Type', content_type),), body)


def handle_lookup(
    list_addresses: Callable[[str], tuple[str, ...]],
    max_ttl_s: float,
    query: dict[str, str],
) -> tuple[int, bytes, str]:
    """Return the addresses that a caller may connect to.

    Parameters
    ----------
    list_addresses : callable
        Returns the addresses for a failure domain.
    max_ttl_s : float
        Longest time for which callers may cache addresses, in seconds.
    query : dict of str to str
        Query arguments; ``zone`` is the caller's failure domain.

    Returns
    -------
    tuple of int, bytes and str
        Status, body and content type.
    """
    addresses = list_addresses(query.get('zone', ''))
    if not addresses:
        return 503, b'{"error":"no_entry"}', 'application/json'
    ttl_s = min(ADDRESS_TTL_S, max_ttl_s)
    body = msgspec.json.encode({'addresses': addresses, 'ttl_s': ttl_s})
    return 200, body, 'application/json'


def handle_readiness(
    is_ready: Callable[[], bool], _query: dict[str, str]
) -> tuple[int, bytes, str]:
    """Return the result of the platform's readiness check."""
    ready = is_ready()
    return (
        200 if ready else 503,
        b'{"ready":true}' if ready else b'{"ready":false}',
        'application/json',
    )


_ROUTE_ARGUMENTS = frozenset(
    {'host', 'path', 'key', 'prompt_tokens', 'output_tokens'}
)


def handle_route(
    preview: Callable[
        [route_preview.Query], route_preview.RoutePreview | None
    ],
    query: dict[str, str],
) -> tuple[int, bytes, str]:
    """Return where a request would go now, without sending it.

    Parameters
    ----------
    preview : callable
        Decides on a request; returns None before the first configuration.
    query : dict of str to str
        Query arguments ``host`` and ``path``, and optionally ``key``,
        ``prompt_tokens`` and ``output_tokens``.

    Returns
    -------
    tuple of int, bytes and str
        Status, body and content type.
    """
    fault = _find_fault(query)
    if fault:
        return _build_problem(400, 'bad_query', fault)
    found = preview(
        route_preview.Query(
            query['host'].partition(':')[0].lower(),
            query['path'],
            query.get('key'),
            float(query.get('prompt_tokens', 0.0)),
            float(query.get('output_tokens', 0.0)),
        )
    )
    if found is None:
        return _build_problem(
            503, 'no_configuration', 'The entry has no configuration yet.'
        )
    return 200, msgspec.json.encode(found), 'application/json'


def _find_fault(query: dict[str, str]) -> str:
    """Return what is wrong with the arguments of a route query, if any."""
    for name in sorted(query.keys() - _ROUTE_ARGUMENTS):
        return f'The argument {name} is unknown.'
    if not query.get('host'):
        return 'The argument host is missing.'
    if not query.get('path', '').startswith('/'):
        return 'The argument path must start with "/".'
    for name in ('prompt_tokens', 'output_tokens'):
        try:
            number = float(query.get(name, 1.0))
        except ValueError:
            number = math.nan
        if not 0.0 < number < math.inf:
            return f'The argument {name} must be a positive number.'
    return ''


def _build_problem(
    status: int, error: str, detail: str
) -> tuple[int, bytes, str]:
    body = msgspec.json.encode({'error': error, 'detail': detail})
    return status, body, 'application/json'
