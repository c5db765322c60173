"""HTTP listeners of an entry, with TLS where the settings ask for it."""

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

BACKLOG = 1024
DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
ANSWER_TIMEOUT_MS = 30_000
_HEADROOM_BYTES = 65_536
_CHECK_S = 0.02

logger = structlog.get_logger(__name__)
_PEM_HINT = (
    'a key must belong to the certificate and have no password, and all '
    'must be readable by the user that the entry runs as.'
)


class ListenError(exceptions.ThornspoolError):
    """A listener can't be opened."""


def make_tls(tls: settings.Tls | None, name: str) -> ssl.SSLContext | None:
    """Make the TLS context of a listener.

    Parameters
    ----------
    tls : settings.Tls or None
        Paths of the PEM files; None for plain HTTP.
    name : str
        Member of the settings that holds ``tls``, for messages.

    Returns
    -------
    ssl.SSLContext or None
        TLS 1.2 or newer. With an authority, a client without a certificate
        of that authority is refused.

    Raises
    ------
    ListenError
        Names the member whose file can't be used.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    # OpenSSL does not say which file of a chain is bad. So the certificate
    # is read by itself first, and what fails after that is the key.
    with _naming(f'{name}.tls.certificate', tls.certificate):
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        trial.load_verify_locations(tls.certificate)
    with _naming(f'{name}.tls.key', tls.key):
        context.load_cert_chain(tls.certificate, tls.key, _refuse_password)
    if tls.client_authority:
        with _naming(f'{name}.tls.client_authority', tls.client_authority):
            context.load_verify_locations(tls.client_authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


class _Request(httputil.HTTPMessageDelegate):
    """Counts a connection as busy once the head of a request was read."""

    def __init__(
        self,
        inner: httputil.HTTPMessageDelegate,
        note_busy: Callable[[], None],
    ) -> None:
        self._inner = inner
        self._note_busy = note_busy

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._note_busy()
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()


class _Server(httpserver.HTTPServer):
    """An HTTP server that knows which connections owe an answer."""

    def initialize(self, *arguments: typing.Any, **named: typing.Any) -> None:
        super().initialize(*arguments, **named)
        self.busy: set[object] = set()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        # tornado waits for the next request of a connection only when the
        # last byte of the answer before has been handed to the system.
        self.busy.discard(server_conn)
        return _Request(
            super().start_request(server_conn, request_conn),
            lambda: self.busy.add(server_conn),
        )

    def on_close(self, server_conn: object) -> None:
        self.busy.discard(server_conn)
        super().on_close(server_conn)


@contextlib.contextmanager
def _naming(member: str, path: str) -> Iterator[None]:
    """Turn errors of a PEM file into one that names its member."""
    try:
        yield
    except OSError as error:
        raise ListenError(
            f'The PEM file {path} can not be used: {error}.',
            f'Correct "{member}" in the settings; {_PEM_HINT}',
        ) from error


def _refuse_password() -> str:
    """Stand in for the prompt of OpenSSL, at which a daemon would hang."""
    return ''


class Listener:
    """An HTTP server on one address, bound before it answers.

    Parameters
    ----------
    listen : str
        ``ip:port``; port 0 lets the system choose.
    tls : settings.Tls or None
        Paths of the PEM files.
    body_limit_bytes : int
        Larger request bodies are refused.
    name : str
        Member of the settings that it is described by, for messages.

    Raises
    ------
    ListenError
        The address can't be bound or the PEM files can't be read.
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
        self._server: _Server | None = None
        self._tls = make_tls(tls, name)
        try:
            self._sockets = netutil.bind_sockets(
                int(port), self._address.strip('[]'), backlog=BACKLOG
            )
        except OSError as error:
            raise ListenError(
                f'Can not listen on {listen}: {error}.',
                f'Correct "{name}.listen" in the settings.',
            ) from error

        # Read once: requests of connections that are still open ask for it
        # when the sockets are closed already, and were answered with an
        # error in place of the addresses to use instead.
        self._port = int(self._sockets[0].getsockname()[1])

    def read_url(self) -> str:
        """Return the URL with the port that is, or was, listened on."""
        return f'{self._scheme}://{self._address}:{self._port}'

    def start(
        self,
        application: web.Application | httputil.HTTPServerConnectionDelegate,
    ) -> None:
        """Answer with an application."""
        self._server = _Server(
            application,
            ssl_options=self._tls,
            max_body_size=self._body_limit_bytes,
            max_buffer_size=self._body_limit_bytes + _HEADROOM_BYTES,
        )
        self._server.add_sockets(self._sockets)

    def send_away(self) -> None:
        """Answer on, but close each connection after its next answer.

        Clients that keep connections would otherwise notice that this
        entry leaves only when it is gone: a request that they send at that
        moment is lost, and they can not tell whether it ran.
        """
        if self._server is not None:
            self._server.conn_params.no_keep_alive = True

    async def stop(self, timeout_ms: int = ANSWER_TIMEOUT_MS) -> None:
        """Accept nothing more, write what is owed, close what is open.

        Parameters
        ----------
        timeout_ms : int, optional
            Longest wait for callers that read their answers slowly or not
            at all.
        """
        if self._server is None:
            return
        self._server.stop()
        # A request counts as run before its answer has left the process.
        # Closed at once, a caller that reads slowly would get a part of the
        # answer to work that was done.
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self._server.busy:
                    await asyncio.sleep(_CHECK_S)
        except TimeoutError:
            logger.warning('answers_cut', count=len(self._server.busy))
        await self._server.close_all_connections()
