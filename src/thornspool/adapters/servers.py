"""HTTP listeners of an entry, with TLS where the settings ask for it."""

from __future__ import annotations

import ssl
import typing

from tornado import httpserver
from tornado import netutil

if typing.TYPE_CHECKING:
    from tornado import web

    from thornspool import settings

BACKLOG = 1024


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
    """An HTTP server on one address.

    Parameters
    ----------
    application : tornado.web.Application
        What answers.
    listen : str
        ``ip:port``; port 0 lets the system choose.
    tls : settings.Tls or None
        Paths of the PEM files.
    body_limit_bytes : int
        Larger request bodies are refused.
    """

    def __init__(
        self,
        application: web.Application,
        listen: str,
        tls: settings.Tls | None,
        body_limit_bytes: int,
    ) -> None:
        self._address, _, port = listen.rpartition(':')
        self._scheme = 'https' if tls else 'http'
        self._sockets = netutil.bind_sockets(
            int(port), self._address.strip('[]'), backlog=BACKLOG
        )
        self._server = httpserver.HTTPServer(
            application,
            ssl_options=make_tls(tls),
            max_body_size=body_limit_bytes,
            max_buffer_size=body_limit_bytes + 65_536,
        )

    def read_url(self) -> str:
        """Return the URL with the port that is listened on."""
        port = self._sockets[0].getsockname()[1]
        return f'{self._scheme}://{self._address}:{port}'

    def start(self) -> None:
        """Accept connections."""
        self._server.add_sockets(self._sockets)

    async def stop(self) -> None:
        """Accept nothing more and close what is open."""
        self._server.stop()
        await self._server.close_all_connections()
