"""HTTP listeners of an entry, with TLS if the settings enable it."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import typing

import structlog
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from thornspool import exceptions

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from tornado import web

    from thornspool import settings

LISTEN_BACKLOG = 1024
DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
RESPONSE_TIMEOUT_MS = 30_000
_HEADER_ALLOWANCE_BYTES = 65_536
_POLL_INTERVAL_S = 0.02

logger = structlog.get_logger(__name__)
_PEM_HINT = (
    'the key must match the certificate and have no password, and all '
    'files must be readable by the user that runs the entry.'
)


class ListenError(exceptions.ThornspoolError):
    """A listener cannot be opened."""


def make_tls(tls: settings.Tls | None, name: str) -> ssl.SSLContext | None:
    """Build the TLS context of a listener.

    Parameters
    ----------
    tls : settings.Tls or None
        Paths of the PEM files; None for plain HTTP.
    name : str
        Settings member that contains ``tls``, for error messages.

    Returns
    -------
    ssl.SSLContext or None
        Context for TLS 1.2 or newer. If a client authority is set, clients
        without a certificate from it are rejected.

    Raises
    ------
    ListenError
        If a file cannot be used; the message names its settings member.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    # OpenSSL does not report which of the two files is invalid. The
    # certificate is loaded separately first, so that a later error is
    # caused by the key.
    with _name_member(f'{name}.tls.certificate', tls.certificate):
        probe_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        probe_context.load_verify_locations(tls.certificate)
    with _name_member(f'{name}.tls.key', tls.key):
        context.load_cert_chain(tls.certificate, tls.key, _refuse_password)
    if tls.client_authority:
        with _name_member(
            f'{name}.tls.client_authority', tls.client_authority
        ):
            context.load_verify_locations(tls.client_authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


class _BusyTracker(httputil.HTTPMessageDelegate):
    """Marks a connection as busy after the request headers are read."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        mark_busy: Callable[[], None],
    ) -> None:
        self._inner = inner
        self._mark_busy = mark_busy

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._mark_busy()
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()


class _TrackingServer(httpserver.HTTPServer):
    """An HTTP server that tracks connections with unfinished responses."""

    def initialize(self, *arguments: typing.Any, **named: typing.Any) -> None:
        super().initialize(*arguments, **named)
        self.busy_connections: set[object] = set()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        # tornado waits for the next request of a connection only after the
        # last byte of the previous response was passed to the kernel.
        self.busy_connections.discard(server_conn)
        return _BusyTracker(
            super().start_request(server_conn, request_conn),
            lambda: self.busy_connections.add(server_conn),
        )

    def on_close(self, server_conn: object) -> None:
        self.busy_connections.discard(server_conn)
        super().on_close(server_conn)


@contextlib.contextmanager
def _name_member(member: str, path: str) -> Iterator[None]:
    """Convert errors of a PEM file to one that names its settings member."""
    try:
        yield
    except OSError as error:
        raise ListenError(
            f'The PEM file {path} cannot be used: {error}.',
            f'Correct "{member}" in the settings; {_PEM_HINT}',
        ) from error


def _refuse_password() -> str:
    """Replace the password prompt of OpenSSL, which would block a daemon."""
    return ''


class Listener:
    """An HTTP server on one address; it binds before it serves.

    Parameters
    ----------
    listen : str
        ``ip:port``; port 0 selects a free port.
    tls : settings.Tls or None
        Paths of the PEM files; None for plain HTTP.
    body_limit_bytes : int
        Maximum size of a request body in bytes.
    name : str
        Settings member of the listener, for error messages.

    Raises
    ------
    ListenError
        If the address cannot be bound or a PEM file cannot be read.
    """

    def __init__(
        self,
        listen: str,
        tls: settings.Tls | None,
        body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES,
        name: str = 'callers',
    ) -> None:
        self._address, _, port = listen.rpartition(':')
        self._scheme = 'https' if tls else 'http'
        self._body_limit_bytes = body_limit_bytes
        self._server: _TrackingServer | None = None
        self._tls = make_tls(tls, name)
        try:
            self._sockets = netutil.bind_sockets(
                int(port), self._address.strip('[]'), backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            raise ListenError(
                f'Cannot listen on {listen}: {error}.',
                f'Correct "{name}.listen" in the settings.',
            ) from error

        # Stored, because requests on open connections need the port after
        # the listening sockets are closed; reading it from the socket failed
        # these requests instead of returning the other entries.
        self._port = int(self._sockets[0].getsockname()[1])

    def read_url(self) -> str:
        """Return the URL of the listener, also after it was closed."""
        return f'{self._scheme}://{self._address}:{self._port}'

    def start(
        self,
        application: web.Application | httputil.HTTPServerConnectionDelegate,
    ) -> None:
        """Serve an application."""
        self._server = _TrackingServer(
            application,
            ssl_options=self._tls,
            max_body_size=self._body_limit_bytes,
            max_buffer_size=self._body_limit_bytes + _HEADER_ALLOWANCE_BYTES,
        )
        self._server.add_sockets(self._sockets)

    def allow_body(self, body_limit_bytes: int) -> None:
        """Accept bodies of at least a size on new connections.

        Parameters
        ----------
        body_limit_bytes : int
            Size in bytes; a smaller one than before has no effect.
        """
        if self._server is None or body_limit_bytes <= self._body_limit_bytes:
            return
        self._body_limit_bytes = body_limit_bytes
        self._server.conn_params.max_body_size = body_limit_bytes
        self._server.max_buffer_size = (
            body_limit_bytes + _HEADER_ALLOWANCE_BYTES
        )

    def disable_keep_alive(self) -> None:
        """Disable keep-alive: close each connection after its next response.

        Otherwise a client with a persistent connection may send a request
        while the entry exits. That request is lost, and the client cannot
        determine whether it was executed.
        """
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True

    async def stop(
        self,
        timeout_ms: int = RESPONSE_TIMEOUT_MS,
        before_close: Callable[[], None] = lambda: None,
    ) -> None:
        """Stop accepting, finish pending responses and close connections.

        Parameters
        ----------
        timeout_ms : int, optional
            Maximum wait in milliseconds for clients that read their
            responses slowly or not at all.
        before_close : callable, optional
            Called right before the remaining connections are closed.
        """
        if self._server is None:
            return
        self._server.stop()
        # A request is recorded as executed before its response has left the
        # process. Without this wait, a slow reader would receive a truncated
        # response.
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self._server.busy_connections:
                    await asyncio.sleep(_POLL_INTERVAL_S)
        except TimeoutError:
            logger.warning(
                'answers_cut', count=len(self._server.busy_connections)
            )
        before_close()
        await self._server.close_all_connections()
