"""HTTP requests for the demo, benchmarks and tests.

Each request uses a new curl client of tornado; a blocking request runs in a
new event loop.
"""

from __future__ import annotations

import asyncio
import json
import typing

import attrs
from tornado import curl_httpclient
from tornado import httpclient

TIMEOUT_S = 30.0


@attrs.frozen
class Answer:
    """Status, headers and body of a response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def read_json(self) -> typing.Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


def send(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request and wait for the complete response.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        Whole URL.
    body : bytes, optional
        Request body.
    headers : dict of str to str, optional
        Request headers.
    """
    return asyncio.run(send_async(method, url, body, headers))


async def send_async(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    on_chunk: typing.Callable[[bytes], None] | None = None,
) -> Answer:
    """Send one request on the running event loop.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        Whole URL.
    body : bytes, optional
        Request body.
    headers : dict of str to str, optional
        Request headers.
    on_chunk : callable, optional
        Called with each chunk of the response; the body is then empty.

    Raises
    ------
    ConnectionError
        When there is no response.
    """
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(
            httpclient.HTTPRequest(
                url,
                method=method,
                body=body,
                headers=headers or {},
                request_timeout=TIMEOUT_S,
                streaming_callback=on_chunk,
                allow_nonstandard_methods=True,
            ),
            raise_error=False,
        )
    except httpclient.HTTPError as error:
        raise ConnectionError(f'{method} {url}: {error}') from error
    finally:
        client.close()
    return Answer(response.code, dict(response.headers), response.body or b'')


def read_events(body: bytes) -> list[tuple[str, typing.Any]]:
    """Parse name and data of each server-sent event of a stream."""
    events = []
    for block in body.decode().strip().split('\n\n'):
        name, _, data = block.partition('\ndata: ')
        events.append((name.removeprefix('event: '), json.loads(data)))
    return events
