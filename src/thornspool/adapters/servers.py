"""HTTP listeners of an entry, with TLS where the settings ask for it."""

from __future__ import annotations

import ssl
import typing

from tornado import httpserver
from tornado import netutil

from thornspool import exceptions

if typing.TYPE_CHECKING:
    from tornado import web

    from thornspool import settings

BACKLOG = 1024
DEFAULT_BODY_LIMIT_BYTES = 8 * 1024 * 1024
_HEADROOM_BYTES = 65_536


class ListenError(exceptions.ThornspoolError):
    """A listener can't be opened."""


def make_tls(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Make the TLS context of a listener.

    Parameters
    ----------
    tls : settings.Tls or None
        Paths of the PEM files; None for plain HTTP.

    Returns
    -------
    ssl.SSLContext or None
        TLS 1.2 or newer. With an authority, a client without a certificate
        of that authority is refused.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.client_authority:
        context.load_verify_locations(tls.client_authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


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
    ) -> None:
        self._address, _, port = listen.rpartition(':')
        self._scheme = 'https' if tls else 'http'
        self._body_limit_bytes = body_limit_bytes
        self._server: httpserver.HTTPServer | None = None
        try:
            self._tls = make_tls(tls)
            self._sockets = netutil.bind_sockets(
                int(port), self._address.strip('[]'), backlog=BACKLOG
            )
        except OSError as error:
            raise ListenError(
                f'Can not listen on {listen}: {error}.',
                'Correct "listen" or "tls" in the settings.',
            ) from error

    def read_url(self) -> str:
        """Return the URL with the port that is listened on."""
        port = self._sockets[0].getsockname()[1]
        return f'{self._scheme}://{self._address}:{port}'

    def start(self, application: web.Application) -> None:
        """Answer with an application."""
        self._server = httpserver.HTTPServer(
            application,
            ssl_options=self._tls,
            max_body_size=self._body_limit_bytes,
            max_buffer_size=self._body_limit_bytes + _HEADROOM_BYTES,
        )
        self._server.add_sockets(self._sockets)

    async def stop(self) -> None:
        """Accept nothing more and close what is open."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
