"""Tests of servers that stop in the middle of the head of a response."""

from __future__ import annotations

import asyncio
import unittest

from tornado import curl_httpclient
from tornado import httpclient

from tests.adapters import broken
from thornspool.adapters import exceptions
from thornspool.adapters import head_checks
from thornspool.adapters import transfers

HEADS = {
    'no length': b'HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n',
    'length of zero': b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
    'length': b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n',
    'chunks': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    'HTTP/1.0': b'HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n',
    'no content': b'HTTP/1.1 204 No Content\r\n\r\n',
    'refusal': b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n',
    'interim head': b'HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
    'line feeds alone': b'HTTP/1.1 200 OK\nX-A: b\n\n',
}


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """Each prefix of each head is all that the server sends."""

    async def asyncSetUp(self):
        # Connections that the server closes are no error of the tests.
        asyncio.get_running_loop().set_debug(False)

    async def fetch_prefixes(self, head, fetch):
        """Return the lengths of the prefixes that are taken for answers."""
        replies = [head[:end] for end in range(1, len(head))]
        async with broken.open_broken([*replies, head]) as server:
            return [len(reply) for reply in replies if await fetch(server.url)]

    async def test_transfers(self):
        """Guards against empty answers that look whole."""
        session = transfers.Session()
        self.addCleanup(session.close)
        for is_forwarded in (True, False):

            async def fetch(url, is_forwarded=is_forwarded):
                request = transfers.Request(url, is_forwarded=is_forwarded)
                try:
                    await session.fetch(request)
                except exceptions.ResponseLost:
                    return False
                return True

            for name, head in HEADS.items():
                with self.subTest(name, is_forwarded=is_forwarded):
                    self.assertEqual(
                        [], await self.fetch_prefixes(head, fetch)
                    )
            async with broken.open_broken([HEADS['no length'] + b'ok']) as one:
                # A body that ends with its connection is complete.
                self.assertTrue(await fetch(one.url))

    async def test_client_of_the_own_interface(self):
        """Guards against the same in loads, streams and the console."""
        client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        self.addCleanup(client.close)

        async def fetch(url):
            try:
                await head_checks.fetch(client, httpclient.HTTPRequest(url))
            except httpclient.HTTPError:
                return False
            return True

        for name, head in HEADS.items():
            with self.subTest(name):
                self.assertEqual([], await self.fetch_prefixes(head, fetch))
        async with broken.open_broken([HEADS['no length'] + b'ok']) as one:
            self.assertTrue(await fetch(one.url))
