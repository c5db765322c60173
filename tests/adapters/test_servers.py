"""Tests of listeners that stop while clients read responses."""

from __future__ import annotations

import asyncio
import unittest

from tornado import web

from thornspool.adapters import servers

BODY_BYTES = 8_000_000
LIMIT_S = 20.0


class _Handler(web.RequestHandler):
    def get(self) -> None:
        self.write(b'x' * BODY_BYTES)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Shutdown of a listener with an open connection."""

    async def asyncSetUp(self) -> None:
        """Listen and request a response that exceeds all buffers."""
        self.listener = servers.Listener('127.0.0.1:0', None)
        self.listener.start(web.Application([('/', _Handler)]))
        port = int(self.listener.read_url().rpartition(':')[2])
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', port, limit=1024
        )
        self.send_request()

    async def asyncTearDown(self) -> None:
        """Close the connection of the client."""
        self.writer.close()

    def send_request(self) -> None:
        """Send a request."""
        self.writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')

    async def read_response(self) -> tuple[str, int]:
        """Read a response slowly; return its headers and the body size."""
        async with asyncio.timeout(LIMIT_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            remaining = BODY_BYTES
            while remaining:
                chunk = await self.reader.read(min(remaining, 65_536))
                if not chunk:
                    break
                remaining -= len(chunk)
        return head.decode(), BODY_BYTES - remaining

    async def test_response_is_completed_before_the_stop(self) -> None:
        """Guards against a truncated response at shutdown.

        A client reads slowly while the process exits. The request was
        executed, but most of its response is still buffered.
        """
        await self.reader.readexactly(10)
        stopping = asyncio.create_task(self.listener.stop())
        await asyncio.sleep(0.1)
        _, size = await self.read_response()
        self.assertEqual(size, BODY_BYTES)
        await asyncio.wait_for(stopping, LIMIT_S)

    async def test_client_that_does_not_read_does_not_block_the_stop(
        self,
    ) -> None:
        """Guards against a process that never exits.

        A client hangs without closing its connection.
        """
        await self.reader.readexactly(10)
        await asyncio.wait_for(self.listener.stop(50), LIMIT_S)

    async def test_persistent_connections_are_closed_after_a_response(
        self,
    ) -> None:
        """Guards against requests with an unknown outcome at shutdown.

        A client keeps its connection to an entry that is leaving. Its next
        request would be sent on a connection that is being closed.
        """
        head, _ = await self.read_response()
        self.assertNotIn('Connection: close', head)
        self.listener.disable_keep_alive()
        self.send_request()
        head, size = await self.read_response()
        self.assertEqual(size, BODY_BYTES)
        self.assertIn('Connection: close', head)
        async with asyncio.timeout(LIMIT_S):
            self.assertEqual(await self.reader.read(), b'')
        await asyncio.wait_for(self.listener.stop(), LIMIT_S)


class ClosedListenerTest(unittest.IsolatedAsyncioTestCase):
    async def test_url_is_available_after_the_close(self):
        """Guards against an internal error instead of a "not run" problem.

        A draining entry gets a request on an open connection and responds
        with "not run" and the other entries. It excludes its own address
        from these, and reading it failed after the sockets were closed.
        """
        listener = servers.Listener('127.0.0.1:0', None)
        listener.start(web.Application([]))
        url = listener.read_url()
        await listener.stop()
        self.assertEqual(url, listener.read_url())


class _Receiver(web.RequestHandler):
    def post(self) -> None:
        self.write(str(len(self.request.body)))


class BodyLimitTest(unittest.IsolatedAsyncioTestCase):
    async def post(self, listener: servers.Listener, size: int) -> bytes:
        """Send a body; return the status line."""
        port = int(listener.read_url().rpartition(':')[2])
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        head = f'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n'
        async with asyncio.timeout(LIMIT_S):
            writer.write(head.encode() + b'x' * size)
            status_line = await reader.readline()
        writer.close()
        return status_line

    async def test_bodies_up_to_the_configured_size_are_accepted(self) -> None:
        """Guards against 413 for bodies that the configuration allows."""
        listener = servers.Listener('127.0.0.1:0', None, 100_000)
        listener.start(web.Application([('/', _Receiver)]))
        self.assertIn(b' 413 ', await self.post(listener, 200_000))
        listener.allow_body(200_000)
        listener.allow_body(1_000)
        self.assertIn(b' 200 ', await self.post(listener, 200_000))
        await listener.stop()
