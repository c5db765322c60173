"""HTTP listeners of an entry, with TLS if the settings enable it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
import typing

import structlog
from tornado import httpserver
from tornado import httputil
from tornado import netutil

from thornspool import clock as clock_module
from thornspool import exceptions
from thornspool.adapters import acceptors
from thornspool.adapters import client_streams
from thornspool.adapters import connections
from thornspool.adapters import guards
from thornspool.adapters import refusals
from thornspool.domain.clients import connections as clients
from thornspool.domain.clients import limits

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from tornado import web

    from thornspool import settings

LISTEN_BACKLOG = 1024
DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
RESPONSE_TIMEOUT_MS = 30_000
DEFAULT_SHARE = 0.45
"""Share of the connections of a host that one listener may have open."""

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
        stream = typing.cast(typing.Any, request_conn).stream
        context: connections.ClientContext = stream.context
        context.end_request()
        if stream.has_served:
            context.enter(clients.Phase.IDLE)
        guarded = guards.GuardedConnection(request_conn)
        inner = super().start_request(
            server_conn, typing.cast(httputil.HTTPConnection, guarded)
        )
        return guards.RequestGuard(
            inner,
            guarded,
            context,
            self.conn_params.max_body_size or DEFAULT_BODY_LIMIT_BYTES,
            lambda: self.busy_connections.add(server_conn),
        )

    def on_close(self, server_conn: object) -> None:
        self.busy_connections.discard(server_conn)
        typing.cast(typing.Any, server_conn).stream.context.end()
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
    manager : connections.ConnectionManager, optional
        Manager of the connections of all listeners; one for this listener
        alone by default.
    share : float, optional
        Share of all connections that this listener may have open.
    format_refusal : callable, optional
        Formats refusals before a request reaches the application.

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
        manager: connections.ConnectionManager | None = None,
        share: float = DEFAULT_SHARE,
        format_refusal: refusals.RefusalFormatter = (refusals.format_refusal),
    ) -> None:
        self._address, _, port = listen.rpartition(':')
        self._scheme = 'https' if tls else 'http'
        self._body_limit_bytes = body_limit_bytes
        self._server: _TrackingServer | None = None
        self._acceptor: acceptors.Acceptor | None = None
        self._name = name
        self._manager = manager or connections.ConnectionManager(
            clock_module.Clock(), limits.compute_capacity(0, 0)
        )
        self._pool = self._manager.add_pool(name, share)
        self._format_refusal = format_refusal
        self._tls = make_tls(tls, name)
        try:
            self._sockets = netutil.bind_sockets(
                int(port), self._address.strip('[]'), backlog=LISTEN_BACKLOG
            )
            for listening in self._sockets:
                listening.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    client_streams.RECEIVE_BUFFER_BYTES,
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
            chunk_size=client_streams.READ_BYTES,
            max_body_size=self._body_limit_bytes,
        )
        self._acceptor = acceptors.Acceptor(
            self._sockets,
            self._manager,
            self._pool,
            self._serve,
            self._tls is not None,
            self._format_refusal,
        )

    def _serve(
        self,
        accepted: socket.socket,
        address: typing.Any,
        context: connections.ClientContext,
        first_bytes: bytes,
    ) -> Callable[[], None]:
        """Serve the requests of a connection; return how to close it."""
        assert self._server is not None
        if self._tls is not None:
            accepted = netutil.ssl_wrap_socket(
                accepted,
                self._tls,
                server_side=True,
                do_handshake_on_connect=False,
            )
        stream = client_streams.make_stream(
            accepted, context, first_bytes, self._tls is not None
        )
        self._server.handle_stream(stream, address)
        return stream.close

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
        if self._acceptor is not None:
            self._acceptor.stop()
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
        self._manager.remove_pool(self._pool)
