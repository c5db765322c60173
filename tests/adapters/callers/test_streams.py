"""Tests of streams to callers that do not read."""

from __future__ import annotations

import asyncio
import json
import typing
import unittest
from unittest import mock

from thornspool.adapters import servers
from thornspool.adapters.callers import context
from thornspool.adapters.callers import routes
from thornspool.adapters.callers import streams
from thornspool.application.generation import messages as generation

if typing.TYPE_CHECKING:
    from collections.abc import AsyncIterator

PATH = '/v1/workspaces/swan-coast/models/drafter/generate'
TEXT = 'x' * 1_000_000
LIMIT_S = 20.0


class _EndlessRequests:
    """Use cases whose streams end only when closed."""

    def __init__(self) -> None:
        self.closed = asyncio.Event()
        self.sent = 0

    async def stream(self, request: typing.Any) -> AsyncIterator[typing.Any]:
        try:
            while True:
                yield generation.Tokens(self.sent, (TEXT,))
                self.sent += 1
        finally:
            self.closed.set()


class UnreadStreamTest(unittest.IsolatedAsyncioTestCase):
    """A caller hangs with its connection open."""

    async def test_stream_ends_if_the_caller_does_not_read(self) -> None:
        """Guards against requests that never end.

        A suspended caller keeps its connection open without reading. Without
        a limit, the request holds its slot and engines forever, and an entry
        that is stopped never exits.
        """
        requests = _EndlessRequests()
        listener = servers.Listener('127.0.0.1:0', None)
        listener.start(
            routes.make_application(
                context.CallerContext(
                    typing.cast('context.RequestPort', requests),
                    mock.Mock(),
                    lambda: 'request-1',
                    lambda: True,
                )
            )
        )
        port = int(listener.read_url().rpartition(':')[2])
        _, writer = await asyncio.open_connection('127.0.0.1', port, limit=64)
        body = json.dumps({'prompt': 'a', 'timeout_ms': 100})
        with mock.patch.object(streams, 'READ_GRACE_MS', 100):
            writer.write(
                f'POST {PATH} HTTP/1.1\r\nHost: x\r\n'
                f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
            )
            await asyncio.wait_for(requests.closed.wait(), LIMIT_S)
        self.assertGreater(requests.sent, 0)
        await asyncio.wait_for(listener.stop(), LIMIT_S)
        writer.close()
