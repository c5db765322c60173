"""Tests of responses without an end, from a stub over loopback."""

from __future__ import annotations

import asyncio
import unittest

import attrs

from tests.application.routing import builders as routing_builders
from tests.platform import builders
from thornspool.adapters import exceptions
from thornspool.adapters import transfers
from thornspool.platform import engines

SIGNED = b'HTTP/1.1 %d X\r\nResponse-Seal: s\r\n'
EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(10))
BEGINNING = EVENTS[: EVENTS.index(b'id: 3')]
TEXT = b'x' * 16_384
HEADS = {
    'header lines': (SIGNED % 200, b'X: ' + b'x' * 500 + b'\r\n'),
    'one line': (SIGNED % 200 + b'X: ', TEXT),
    'interim heads': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 20),
    'one trailer': (
        SIGNED % 200 + b'Transfer-Encoding: chunked\r\n\r\n0\r\nX: ',
        TEXT,
    ),
    'trailers': (
        SIGNED % 200 + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X: ' + b'x' * 500 + b'\r\n',
    ),
}
STREAMS = {
    'one event': TEXT,
    'line ends': b'\n' * 16_384,
}
MAX_READ_BYTES = 16_000_000
"""Far above all limits and the buffers of the sockets."""


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    """The first run of each request goes to the stub, all others to fakes."""

    async def start(self, beginning, filler, pause_s=0.0):
        self.stub = builders.EndlessServer(beginning, filler, pause_s)
        await self.stub.start()
        self.session = transfers.Session()
        self.world = routing_builders.World()
        self.first_runs = builders.send_first_run_to(
            self.stub, self.world, self.session
        )

    async def stop(self):
        self.stub.stop()
        self.session.close()

    async def wait_until(self, is_met):
        async with asyncio.timeout(10):
            while not is_met():
                await asyncio.sleep(0.005)

    async def check_broken_off(self, part='body'):
        """Check that the connection is closed, once, at a limit."""
        await self.wait_until(lambda: self.stub.closed_count == 1)
        self.assertLess(self.stub.sent_bytes, MAX_READ_BYTES)
        self.assertEqual(
            {transfers.Part(part): 1}, dict(self.session.overlong_counts)
        )

    async def serve_resumed(self, path):
        """Serve a stream that another engine completes; return its run."""
        reply = self.world.serve(path)
        await self.wait_until(lambda: self.world.servers.runs)
        run = self.world.servers.last
        self.assertNotEqual(self.first_runs[0].server, run.run.server)
        run.begin()
        run.send(int(run.run.resume_after or -1) + 1, 10)
        run.end()
        self.assertEqual((EVENTS, True), (reply.body, reply.whole))
        return run


class EndlessResponseTest(EndlessCase):
    async def test_head(self):
        """Guards against a request that an endless head holds for ever."""
        for name, (beginning, filler) in HEADS.items():
            with self.subTest(name):
                await self.start(beginning, filler)
                if 'trailer' in name:
                    reply = self.world.serve('/once/x')
                    await self.wait_until(lambda one=reply: one.aborted)
                else:
                    await self.serve_resumed('/brief/x')
                await self.check_broken_off('head')
                await self.stop()

    async def test_event(self):
        """Guards against an entry that an endless event blocks."""
        for name, filler in STREAMS.items():
            with self.subTest(name):
                await self.start(SIGNED % 200 + b'\r\n' + BEGINNING, filler)
                run = await self.serve_resumed('/brief/x')
                self.assertEqual('2', run.run.resume_after)
                await self.check_broken_off()
                await self.stop()

    async def test_event_of_a_stream_that_runs_once(self):
        """Guards against an overlong stream that looks complete."""
        await self.start(SIGNED % 200 + b'\r\n' + BEGINNING, TEXT)
        reply = self.world.serve('/once/x')
        await self.wait_until(lambda: reply.aborted)
        self.assertEqual((BEGINNING, False), (reply.body, reply.whole))
        await self.check_broken_off()
        await self.stop()

    async def test_failure(self):
        """Guards against the body of a failure that fills the memory."""
        await self.start(SIGNED % 500 + b'\r\n', TEXT)
        await self.serve_resumed('/brief/x')
        await self.check_broken_off()
        await self.stop()

    async def test_call(self):
        """Guards against a call's body that fills the memory."""
        await self.start(SIGNED % 200 + b'\r\n', TEXT)
        reply = self.world.serve('/read/1')
        await self.wait_until(lambda: self.world.servers.runs)
        self.world.servers.last.answer()
        self.assertEqual((200, b'done'), (reply.status, reply.body))
        await self.check_broken_off()
        await self.stop()

    async def test_action(self):
        """Guards against a part of an overlong body that looks complete."""
        await self.start(
            SIGNED % 200 + b'Content-Length: 99000000\r\n\r\n', TEXT
        )
        reply = self.world.serve('/hold/1')
        await self.wait_until(lambda: reply.status)
        self.assertEqual(502, reply.status)
        self.assertEqual([], self.world.servers.runs)
        await self.check_broken_off()
        await self.stop()

    async def test_relay(self):
        """Guards against a peer whose response fills the memory."""
        for path, status in (('/once/x', 200), ('/hold/1', 502)):
            with self.subTest(path):
                await self.start(SIGNED % 200 + b'\r\n', TEXT)
                builders.relay_all_to(self.stub, self.world, self.session)
                reply = self.world.serve(path)
                await self.wait_until(lambda one=reply: one.status)
                await self.check_broken_off()
                self.assertEqual(status, reply.status)
                self.assertEqual(status == 200, reply.aborted)
                await self.stop()

    async def test_report(self):
        """Guards against the report of an engine that fills the memory."""
        await self.start(SIGNED % 200 + b'\r\n', TEXT)
        client = engines.ServerClient(self.session)
        server = self.world.routing_state.servers['a-90']
        report = await client.probe(
            attrs.evolve(server, address=self.stub.address)
        )
        self.assertIsNone(report)
        await self.check_broken_off()
        await self.stop()

    async def test_surplus_of_a_kept_connection(self):
        """Guards against surplus bytes that are read as the next response."""
        beginning = SIGNED % 200 + b'Content-Length: 1\r\n\r\na'
        await self.start(beginning, SIGNED % 500 + b'\r\n' + TEXT)
        for _ in range(2):
            response = await self.session.fetch(
                transfers.Request(
                    f'http://{self.stub.address}/',
                    timeout_ms=2_000,
                    dedicated_connection=False,
                )
            )
            self.assertEqual((200, b'a'), (response.status, response.body))
            await asyncio.sleep(0.05)
        await self.wait_until(lambda: self.stub.closed_count == 2)
        await self.stop()

    async def test_trickling_body(self):
        """Guards against a store whose response trickles without an end."""
        await self.start(SIGNED % 200 + b'\r\n', b'x', 0.05)
        request = transfers.Request(
            f'http://{self.stub.address}/',
            timeout_ms=400,
            idle_timeout_ms=300,
            max_duration_ms=700,
        )
        with self.assertRaises(exceptions.ResponseLost):
            await self.session.fetch(request)
        await self.stop()
