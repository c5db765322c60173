"""Caller of many concurrent streams that records when each token arrives.

It runs as a separate process, so that its processor time is not part of the
measured processes. It prints one line when it has started and one line with
all streams.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
import typing

import attrs
import msgspec
from tornado import curl_httpclient
from tornado import httpclient

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

CONNECT_TIMEOUT_S = 10.0
RESPONSE_TIMEOUT_S = 60.0
SERVICE_UNAVAILABLE = 503


@attrs.frozen
class Order:
    """One request to send.

    Attributes
    ----------
    url, body : str
        URL and body of the request.
    delay_s : float
        Delay before it is sent, in seconds.
    separator : str
        Text that ends the event of a token: an empty line or a newline.
    """

    url: str
    body: str
    delay_s: float
    separator: str


@attrs.frozen
class Stream:
    """One response.

    Attributes
    ----------
    started : float
        Time of the request, in seconds of the monotonic clock.
    arrivals : list of float
        Arrival time of each event with the end, in seconds of that clock.
    refusals : int
        Number of refusals before the request was accepted.
    body : str
        The whole body.
    """

    started: float
    arrivals: list[float]
    refusals: int
    body: str


class _Recorder:
    """Records when each event of a response was complete.

    Parameters
    ----------
    separator : bytes
        Bytes that end an event.
    """

    def __init__(self, separator: bytes) -> None:
        self.arrivals: list[float] = []
        self.body = bytearray()
        self._separator = separator

    def append_chunk(self, chunk: bytes) -> None:
        """Append a chunk, which may have several events or a part of one."""
        now = time.monotonic()
        # A separator may be split between two chunks.
        start = max(0, len(self.body) - len(self._separator) + 1)
        self.body += chunk
        self.arrivals += [now] * self.body.count(self._separator, start)


async def read_stream(
    client: curl_httpclient.CurlAsyncHTTPClient, order: Order
) -> Stream:
    """Send one request, retry it while it is refused, and read its stream."""
    await asyncio.sleep(order.delay_s)
    refusals = 0
    while True:
        recorder = _Recorder(order.separator.encode())
        started = time.monotonic()
        response = await client.fetch(
            httpclient.HTTPRequest(
                order.url,
                method='POST',
                body=order.body,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=RESPONSE_TIMEOUT_S,
                streaming_callback=recorder.append_chunk,
            ),
            raise_error=False,
        )
        body = recorder.body.decode()
        if response.code != SERVICE_UNAVAILABLE:
            return Stream(started, recorder.arrivals, refusals, body)
        refusals += 1
        await asyncio.sleep(json.loads(body)['retry_after_ms'] / 1000)


async def read_all(orders: list[Order]) -> list[Stream]:
    """Read all streams concurrently."""
    client = curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=len(orders)
    )
    try:
        return await asyncio.gather(
            *(read_stream(client, order) for order in orders)
        )
    finally:
        client.close()


def main(arguments: Sequence[str] | None = None) -> None:
    """Read the streams of the requests in a file."""
    parser = argparse.ArgumentParser(prog='pace_caller', description=__doc__)
    parser.add_argument('orders', type=argparse.FileType('rb'))
    content = parser.parse_args(arguments).orders.read()
    orders = msgspec.json.decode(content, type=list[Order])
    print(json.dumps({'orders': str(len(orders))}), flush=True)
    streams = asyncio.run(read_all(orders))
    sys.stdout.buffer.write(msgspec.json.encode(streams) + b'\n')


if __name__ == '__main__':
    main()
