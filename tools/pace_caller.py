"""A caller of many streams at once that notes when each token came.

It runs as a process of its own, so that its work is no part of what is
measured. It prints one line when it is up and one with all streams.
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
ANSWER_TIMEOUT_S = 60.0
REFUSED = 503


@attrs.frozen
class Order:
    """One request to send.

    Attributes
    ----------
    url, body : str
        What to send and where.
    delay_s : float
        Wait before it is sent.
    separator : str
        What ends a token's event: an empty line, or the end of the line.
    """

    url: str
    body: str
    delay_s: float
    separator: str


@attrs.frozen
class Stream:
    """One answer.

    Attributes
    ----------
    started : float
        Seconds of the monotonic clock at which it was sent.
    arrivals : list of float
        The same for each event, the end included.
    refusals : int
        How often it was refused before it was taken.
    body : str
        The whole answer.
    """

    started: float
    arrivals: list[float]
    refusals: int
    body: str


class _Recorder:
    """Notes when each event of an answer was whole."""

    def __init__(self, separator: bytes) -> None:
        self.arrivals: list[float] = []
        self.body = bytearray()
        self._separator = separator

    def note(self, chunk: bytes) -> None:
        """Note a chunk, which may hold several events or a part of one."""
        now = time.monotonic()
        # A separator may be cut in two by the end of a chunk.
        start = max(0, len(self.body) - len(self._separator) + 1)
        self.body += chunk
        self.arrivals += [now] * self.body.count(self._separator, start)


async def read_stream(
    client: curl_httpclient.CurlAsyncHTTPClient, order: Order
) -> Stream:
    """Send one request, again when it is refused, and read its answer."""
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
                request_timeout=ANSWER_TIMEOUT_S,
                streaming_callback=recorder.note,
            ),
            raise_error=False,
        )
        body = recorder.body.decode()
        if response.code != REFUSED:
            return Stream(started, recorder.arrivals, refusals, body)
        refusals += 1
        await asyncio.sleep(json.loads(body)['retry_after_ms'] / 1000)


async def read_all(orders: list[Order]) -> list[Stream]:
    """Read all streams at once."""
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
    """Read the streams that a file lists."""
    parser = argparse.ArgumentParser(prog='pace_caller', description=__doc__)
    parser.add_argument('orders', type=argparse.FileType('rb'))
    content = parser.parse_args(arguments).orders.read()
    orders = msgspec.json.decode(content, type=list[Order])
    print(json.dumps({'orders': str(len(orders))}), flush=True)
    streams = asyncio.run(read_all(orders))
    sys.stdout.buffer.write(msgspec.json.encode(streams) + b'\n')


if __name__ == '__main__':
    main()
