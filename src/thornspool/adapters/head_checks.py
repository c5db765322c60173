"""Checks that the head of a response is complete.

When a connection closes behind the carriage return of an empty line, libcurl
hands that byte on as a line, which seems to end the head. tornado's client
moreover takes the first line alone for a response.
"""

from __future__ import annotations

import typing

import attrs
from tornado import httpclient

if typing.TYPE_CHECKING:
    from tornado import curl_httpclient

_LINE_END = '\n'
_CONNECTION_FAILED = 599


def is_cut(line: str) -> bool:
    """Return whether the connection has closed within a line of a head.

    Parameters
    ----------
    line : str
        The line as libcurl has passed it on.
    """
    return not line.endswith(_LINE_END)


@attrs.define
class _HeadProgress:
    """Progress of the head of a response.

    Attributes
    ----------
    is_complete : bool
        Whether the last head has ended with an empty line.
    """

    is_complete: bool = False

    def receive_line(self, line: str) -> None:
        """Receive a line with its end."""
        if line.startswith('HTTP/'):
            self.is_complete = False
        elif not (line.strip('\r\n') or is_cut(line)):
            self.is_complete = True


async def fetch(
    client: curl_httpclient.CurlAsyncHTTPClient,
    request: httpclient.HTTPRequest,
) -> httpclient.HTTPResponse:
    """Fetch a response with any status.

    Parameters
    ----------
    client : curl_httpclient.CurlAsyncHTTPClient
        tornado's client.
    request : httpclient.HTTPRequest
        The request; its ``header_callback`` is set here.

    Returns
    -------
    httpclient.HTTPResponse
        The response.

    Raises
    ------
    httpclient.HTTPError
        If no complete response arrives.
    """
    progress = _HeadProgress()
    request.header_callback = progress.receive_line
    response = await client.fetch(request, raise_error=False)
    if not progress.is_complete:
        raise httpclient.HTTPError(
            _CONNECTION_FAILED, 'The connection has closed within the head'
        )
    return response
