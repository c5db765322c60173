"""Tests of calls to plain services where connections break."""

from __future__ import annotations

import asyncio
import contextlib
import typing
import unittest

from standins import common
from standins import service as standin
from tests.adapters import broken
from thornspool.adapters.targets import services
from thornspool.application import exceptions
from thornspool.application import ports

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
ENDLESS = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"cut":'
MOVED = (
    b'HTTP/1.1 307 Moved\r\nLocation: /v1/operations/hold\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def build_call(url: str, **changes: typing.Any) -> ports.ServiceCall:
    values: dict[str, typing.Any] = {
        'url': url,
        'service': 'booking',
        'operation': 'hold',
        'workspace': 'swan',
        'key': 'key-1',
        'fencing_token': 3,
        'body': b'{"slot": 4}',
        'timeout_ms': 300,
    }
    values.update(changes)
    return ports.ServiceCall(**values)


class HttpServicesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.services = services.HttpServices(max_calls=2)
        self.addCleanup(self.services.close)

    async def test_not_reached_only_when_nothing_was_written(self) -> None:
        """The connection cannot be made at all.

        Nothing ran, so the caller is told "not run" and may send again.
        """
        cases: dict[str, typing.Any] = {
            'refused': lambda: broken.open_port(None),
            'connecting hangs': broken.open_full_port,
            'no such name': lambda: contextlib.nullcontext(
                'http://target.invalid:1'
            ),
            'no address': lambda: contextlib.nullcontext('http://'),
        }
        for name, opener in cases.items():
            with (
                self.subTest(name),
                opener() as url,
                self.assertRaises(exceptions.TargetNotReached),
            ):
                await self.services.call(build_call(url))

    async def test_answer_lost_once_a_byte_may_be_written(self) -> None:
        """The connection breaks after the target may have read the call.

        A hold may have been made. Called "not run", its sender would make
        a second one; it must be an unknown outcome, and sent only once.
        """
        cases: dict[str, bytes | None] = {
            'closed after the request': None,
            'within the status': b'HTTP/1.1 20',
            'after the headers': broken.CUT[:-4],
            'within the body': broken.CUT,
            'within the chunks': CHUNKED,
            'end not told': ENDLESS,
            'no HTTP': b'hello\r\n\r\n',
        }
        for name, reply in cases.items():
            with self.subTest(name):
                async with broken.open_broken([reply, None]) as server:
                    with self.assertRaises(exceptions.TargetAnswerLost):
                        await self.services.call(build_call(server.url))
                    self.assertEqual(1, len(server.requests))

    async def test_a_broken_connection_differs_from_a_late_answer(self):
        """A target ends in the middle of a call, or only takes too long.

        A payout that is merely slow must never count as one that crashed
        its target; it would be refused for an hour.
        """
        cases: dict[str, tuple[typing.Any, bool]] = {
            'closed': (None, True),
            'within the body': (broken.CUT, True),
            'end not told': (ENDLESS, False),
            'no HTTP': (b'hello\r\n\r\n', False),
        }
        for name, (reply, is_broken) in cases.items():
            with self.subTest(name):
                async with broken.open_broken([reply]) as server:
                    self.assertEqual(is_broken, await self.is_broken(server))
        with self.subTest('late'), broken.open_port(8) as url:
            with self.assertRaises(exceptions.TargetAnswerLost) as caught:
                await self.services.call(build_call(url))
            self.assertIs(exceptions.TargetAnswerLost, type(caught.exception))

    async def is_broken(self, server) -> bool:
        with self.assertRaises(exceptions.TargetAnswerLost) as caught:
            await self.services.call(build_call(server.url))
        return isinstance(caught.exception, exceptions.TargetConnectionBroken)

    async def test_a_call_alone_is_sent_once(self) -> None:
        """A kept connection was broken before a suspect was sent over it.

        Its target did not die under that call, which would be condemned.
        """
        replies = [broken.DONE, None, broken.DONE]
        async with broken.open_broken(replies, close=False) as server:
            await self.services.call(build_call(server.url, key=''))
            with self.assertRaises(exceptions.TargetConnectionBroken):
                await self.services.call(
                    build_call(server.url, key='', alone=True)
                )
            self.assertEqual(2, len(server.requests))

    async def test_closed_at_accept_counts_as_lost(self) -> None:
        """The target closes each connection as soon as it accepts it.

        The kernel had taken the connection, so bytes may have been read.
        """

        async def close(_: typing.Any, writer: typing.Any) -> None:
            writer.close()

        server = await asyncio.start_server(close, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        with self.assertRaises(exceptions.TargetAnswerLost):
            await self.services.call(build_call(f'http://127.0.0.1:{port}'))
        server.close()

    async def test_never_accepted_counts_as_lost(self) -> None:
        """The target is frozen; its kernel still takes the connection.

        It reads the call when it wakes, after the caller was answered.
        """
        with (
            broken.open_port(8) as url,
            self.assertRaises(exceptions.TargetAnswerLost),
        ):
            await self.services.call(build_call(url))

    async def test_call_with_a_key_is_sent_once(self) -> None:
        """The target closes a kept connection when the second call comes.

        libcurl sends such a call again by itself, and a payout that had
        been carried out would be carried out twice.
        """
        replies = [broken.DONE, None, broken.DONE]
        async with broken.open_broken(replies, close=False) as server:
            await self.services.call(build_call(server.url))
            with self.assertRaises(exceptions.TargetAnswerLost):
                await self.services.call(build_call(server.url))
            self.assertEqual(2, len(server.requests))

    async def test_redirect_is_not_followed(self) -> None:
        """A target answers with a redirect that asks to send the body again.

        Following it would run the call at another place.
        """
        async with broken.open_broken([MOVED, broken.DONE]) as server:
            answer = await self.services.call(build_call(server.url))
            self.assertEqual(307, answer.status)
            self.assertEqual(1, len(server.requests))

    async def test_cancelled_call_leaves_no_queued_request(self) -> None:
        """A caller gives up while its call waits for a free connection.

        A client that queues requests would send it minutes later.
        """
        async with broken.open_broken([broken.DONE] * 3) as server:
            with broken.open_port(8) as silent:
                calls = [
                    asyncio.ensure_future(self.services.call(build_call(url)))
                    for url in (silent, silent, server.url)
                ]
                await asyncio.sleep(0.02)
                for call in calls:
                    call.cancel()
                await asyncio.gather(*calls, return_exceptions=True)
                answer = await self.services.call(
                    build_call(server.url, key='key-2', timeout_ms=3000)
                )
            self.assertEqual(200, answer.status)
            self.assertEqual(1, len(server.requests))

    async def test_standin_executes_and_answers(self) -> None:
        state = standin.State('slots-1')
        server, url = common.listen(standin.make_application(state))
        answer = await self.services.call(build_call(url))
        self.assertEqual(200, answer.status)
        self.assertEqual('application/json', answer.content_type)
        self.assertIn(b'"key":"key-1"', answer.body)
        self.assertEqual({'key-1': 1}, dict(state.executions))
        self.assertEqual({'key-1': 3}, state.fencing_tokens)
        server.stop()
        await server.close_all_connections()

    async def test_only_a_refusal_to_leave_counts_as_not_run(self) -> None:
        """A target leaves and refuses the call; another 409 is an answer.

        The caller of a refused hold may be served by another target; one
        whose hold met a conflict must see the conflict.
        """
        head = b'HTTP/1.1 409 Conflict\r\nContent-Length: %d\r\n\r\n%s'
        bodies = {
            b'{"state": "leaving"}': True,
            b'{"state": "fenced"}': False,
            b'{"error": "slot taken"}': False,
            b'slot taken': False,
        }
        for body, left in bodies.items():
            with self.subTest(body=body):
                reply = head % (len(body), body)
                async with broken.open_broken([reply]) as server:
                    call = self.services.call(build_call(server.url))
                    if left:
                        with self.assertRaises(exceptions.TargetLeaving):
                            await call
                        continue
                    self.assertEqual(409, (await call).status)
