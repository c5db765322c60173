"""Tests of responses whose head is no HTTP, from a stub over loopback."""

from __future__ import annotations

import asyncio
import unittest

import attrs

from tests.application.routing import builders as routing_builders
from tests.platform import builders
from tests.platform import raw_answers
from thornspool.adapters import transfers
from thornspool.platform import engines

EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(10))
STATUS_LINES = (
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 200OK',
    b'HTTP/1.1 2\x010 OK',
    b'HTTP/1.1 20 OK',
)


def build_response(line, status_line=b'HTTP/1.1 200 OK', body=b'done'):
    return (
        status_line
        + b'\r\nResponse-Seal: s\r\n'
        + line
        + b'\r\nContent-Length: %d\r\n\r\n' % len(body)
        + body
    )


SPOILED = {
    **{name: build_response(line) for name, line in builders.HEADS.items()},
    **{repr(one): build_response(b'X: 1', one) for one in STATUS_LINES},
    **{
        name: answer.encode((('Response-Seal', 's'),), EVENTS)
        for name, answer in raw_answers.BROKEN_HEADS.items()
    },
}


class SpoiledHeadTest(unittest.IsolatedAsyncioTestCase):
    """The first run of each request goes to the stub, all others to fakes."""

    async def asyncSetUp(self):
        self.stub = builders.RawServer()
        await self.stub.start()
        self.session = transfers.Session()
        self.addCleanup(self.stub.stop)
        self.addCleanup(self.session.close)

    def start(self, response):
        self.stub.response = response
        self.world = routing_builders.World()
        self.first_runs = builders.send_first_run_to(
            self.stub, self.world, self.session
        )

    async def wait_until(self, is_met):
        async with asyncio.timeout(5):
            while not is_met():
                await asyncio.sleep(0.002)

    async def test_action_runs_once_and_its_caller_gets_an_answer(self):
        """Guards against an action that runs and is never answered."""
        for name, response in SPOILED.items():
            with self.subTest(name):
                self.start(response)
                reply = self.world.serve('/hold/1')
                await self.wait_until(lambda one=reply: one.status)
                self.assertEqual(502, reply.status)
                self.assertEqual([], self.world.servers.runs)
                self.assertEqual(0, self.world.intake.in_flight)

    async def test_call_is_answered_by_another_server(self):
        """Guards against a call that waits for its caller to leave."""
        for name, response in SPOILED.items():
            with self.subTest(name):
                self.start(response)
                reply = self.world.serve('/read/1')
                await self.wait_until(lambda: self.world.servers.runs)
                self.assertNotEqual(
                    self.first_runs[0].server,
                    self.world.servers.last.run.server,
                )
                self.world.servers.last.answer()
                self.assertEqual((200, b'done'), (reply.status, reply.body))
                self.assertEqual(0, self.world.intake.in_flight)

    async def test_stream_begins_with_the_head_of_another_engine(self):
        """Guards against events that a caller gets without a head."""
        for name, response in SPOILED.items():
            with self.subTest(name):
                self.start(response)
                reply = self.world.serve('/brief/x')
                await self.wait_until(lambda: self.world.servers.runs)
                self.assertIsNone(reply.status)
                run = self.world.servers.last
                run.begin()
                run.send(0, 10)
                run.end()
                self.assertEqual(200, reply.status)
                self.assertEqual((EVENTS, True), (reply.body, reply.whole))

    async def test_relayed_requests_are_answered(self):
        """Guards against the same behind a peer."""
        for path, response in (
            (path, one)
            for path in ('/brief/x', '/hold/1')
            for one in SPOILED.values()
        ):
            with self.subTest(path, response=response):
                self.start(response)
                builders.relay_all_to(self.stub, self.world, self.session)
                reply = self.world.serve(path)
                await self.wait_until(lambda one=reply: one.status)
                self.assertEqual(502, reply.status)
                self.assertEqual(0, self.world.intake.in_flight)

    async def test_report_with_a_spoiled_head_is_read(self):
        """Guards against a live engine that counts as lost for one byte."""
        self.start(build_response(b'X\x01: 1', body=b'{"sequence":7}'))
        server = self.world.routing_state.servers['a-90']
        report = await engines.ServerClient(self.session).probe(
            attrs.evolve(server, address=self.stub.address)
        )
        self.assertEqual(7, report.order_count)
        self.assertEqual(0, self.session.malformed_count)

    async def test_sound_heads_are_passed_on(self):
        """Guards against a check that is stricter than the protocol."""
        for name, (line, header) in builders.SOUND_HEADS.items():
            with self.subTest(name):
                self.start(build_response(line))
                reply = self.world.serve('/hold/1')
                await self.wait_until(lambda one=reply: one.status)
                self.assertEqual(200, reply.status)
                self.assertIn(header, reply.headers)
