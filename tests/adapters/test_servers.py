"""Listeners that stop while callers still read."""

from __future__ import annotations

import asyncio
import unittest

from tornado import web

from thornspool.adapters import servers

SIZE = 8_000_000
LIMIT_S = 20.0


class _Handler(web.RequestHandler):
    def get(self) -> None:
        self.write(b'x' * SIZE)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """The last moments of a listener."""

    async def asyncSetUp(self) -> None:
        """Listen, and ask for an answer larger than any buffer."""
        self.listener = servers.Listener('127.0.0.1:0', None)
        self.listener.start(web.Application([('/', _Handler)]))
        port = int(self.listener.read_url().rpartition(':')[2])
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', port, limit=1024
        )
        self.ask()

    async def asyncTearDown(self) -> None:
        """Close the caller's connection."""
        self.writer.close()

    def ask(self) -> None:
        """Send a request."""
        self.writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')

    async def read(self) -> tuple[str, int]:
        """Read an answer slowly; returns its head and the body's size."""
        async with asyncio.timeout(LIMIT_S):
            head = await self.reader.readuntil(b'\r\n\r\n')
            left = SIZE
            while left:
                chunk = await self.reader.read(min(left, 65_536))
                if not chunk:
                    break
                left -= len(chunk)
        return head.decode(), SIZE - left

    async def test_an_answer_that_is_being_read_is_written_whole(self) -> None:
        """A caller reads slowly while the process exits.

        The work is done and counted, but most of its answer still waits in
        the process; closed now, the caller is left with a part of it.
        """
        await self.reader.readexactly(10)
        stopping = asyncio.create_task(self.listener.stop())
        await asyncio.sleep(0.1)
        _, size = await self.read()
        self.assertEqual(size, SIZE)
        await asyncio.wait_for(stopping, LIMIT_S)

    async def test_a_caller_that_does_not_read_holds_nothing_up(self) -> None:
        """A caller hangs without closing its connection.

        Without a bound the process would never exit.
        """
        await self.reader.readexactly(10)
        await asyncio.wait_for(self.listener.stop(50), LIMIT_S)

    async def test_kept_connections_are_sent_away(self) -> None:
        """A caller keeps its connection to an entry that leaves.

        Its next request would meet a closed connection, and the caller
        could not tell whether it ran.
        """
        head, _ = await self.read()
        self.assertNotIn('Connection: close', head)
        self.listener.send_away()
        self.ask()
        head, size = await self.read()
        self.assertEqual(size, SIZE)
        self.assertIn('Connection: close', head)
        async with asyncio.timeout(LIMIT_S):
            self.assertEqual(await self.reader.read(), b'')
        await asyncio.wait_for(self.listener.stop(), LIMIT_S)


class ClosedListenerTest(unittest.IsolatedAsyncioTestCase):
    async def test_its_address_is_known_after_it_was_closed(self):
        """An entry drains and a caller's kept connection is still open.

        His late request is answered with "not run" and the other entries;
        to leave itself out of these, the entry asks for its own address.
        With its sockets closed that failed, and he got an error that tells
        nothing in place of the promise.
        """
        listener = servers.Listener('127.0.0.1:0', None)
        listener.start(web.Application([]))
        url = listener.read_url()
        await listener.stop()
        self.assertEqual(url, listener.read_url())
