"""Helpers of all stand-ins: serving and dropping a connection."""

from __future__ import annotations

import asyncio
import json
import signal
import typing

from tornado import httpserver
from tornado import netutil

if typing.TYPE_CHECKING:
    from tornado import web

LOOPBACK = '127.0.0.1'
_MAX_REQUEST_BYTES = 16_000_000


def listen(
    application: web.Application, port: int = 0
) -> tuple[httpserver.HTTPServer, str]:
    """Serve an application on the loopback address.

    Parameters
    ----------
    application : tornado.web.Application
        Application to serve.
    port : int, optional
        TCP port; 0 for a port that the system chooses.

    Returns
    -------
    tuple of HTTPServer and str
        The server and its ``http://ip:port``.
    """
    sockets = netutil.bind_sockets(port, LOOPBACK)
    server = httpserver.HTTPServer(
        application,
        max_body_size=_MAX_REQUEST_BYTES,
        max_buffer_size=_MAX_REQUEST_BYTES,
    )
    server.add_sockets(sockets)
    return server, f'http://{LOOPBACK}:{sockets[0].getsockname()[1]}'


async def run(application: web.Application, port: int) -> None:
    """Print the address, then serve until SIGTERM or SIGINT."""
    server, url = listen(application, port)
    print(json.dumps({'url': url}), flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    server.stop()


def drop_connection(handler: web.RequestHandler) -> None:
    """Close the connection of a request without a response."""
    handler._auto_finish = False
    connection: typing.Any = handler.request.connection
    if connection is not None and connection.stream is not None:
        connection.stream.close()
