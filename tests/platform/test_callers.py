"""Tests of responses to callers, over loopback."""

from __future__ import annotations

import gc
import unittest
import weakref

from tests.platform import builders
from tests.platform import deployment
from thornspool import clock as clock_module
from thornspool.adapters import servers as listeners
from thornspool.adapters import transfers
from thornspool.platform import callers


class ResponseWriterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        address = f'127.0.0.1:{deployment.find_ports(1)[0]}'
        self.request = transfers.Request(f'http://{address}/', timeout_ms=2000)
        self.listener = listeners.Listener(address, None)
        self.listener.start(
            callers.CallerDelegate(
                clock_module.Clock(), lambda request, reply: self.serve(reply)
            )
        )
        self.session = transfers.Session()

    async def asyncTearDown(self):
        self.session.close()
        await self.listener.stop(100)

    async def test_head_that_can_not_be_sent_leaves_room_for_an_answer(self):
        """Guards against a caller that gets events without a head."""
        sound = (200, (('X', 'a'),))
        table = (
            lambda reply: reply.send(200, (header,), b'done'),
            lambda reply: (reply.begin(200, (header,)), reply.write(b'x')),
        )
        for header in (('X', 'a\x01'), ('X Y', '1'), ('X', 'a\nb'), ('', '')):
            for number, serve in enumerate(table):
                with self.subTest(header, number=number):
                    self.serve = serve
                    response = await self.session.fetch(self.request)
                    self.assertEqual(500, response.status)
                    self.assertEqual(b'{"error":"internal"}', response.body)
        self.serve = lambda reply: reply.send(*sound, b'done')
        response = await self.session.fetch(self.request)
        self.assertEqual((200, b'done'), (response.status, response.body))

    async def test_sound_heads_are_sent(self):
        for name, (_, header) in builders.SOUND_HEADS.items():
            with self.subTest(name):
                self.serve = lambda reply, one=header: reply.send(
                    200, (one,), b''
                )
                response = await self.session.fetch(self.request)
                self.assertIn(
                    (header[0].lower(), header[1]),
                    [(key.lower(), text) for key, text in response.headers],
                )

    async def test_request_is_freed_with_its_response(self):
        """Guards against bodies that stay until a collection of cycles."""
        gc.disable()
        self.addCleanup(gc.enable)
        request = {'body'}
        request_gone = weakref.ref(request)

        def serve(reply, held):
            reply.set_disconnect_callback(lambda: (reply, held))
            reply.send(200, (), b'done')

        held = [request]
        del request
        self.serve = lambda reply: serve(reply, held.pop())
        await self.session.fetch(self.request)
        self.assertIsNone(request_gone())
