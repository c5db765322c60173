"""Tests of calls to plain services over failing connections."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import typing
import unittest

from standins import common
from standins import service as standin
from tests.adapters import broken
from tests.platform import raw_answers
from thornspool.adapters.targets import services
from thornspool.application import exceptions
from thornspool.application import ports

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"cut":'
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

    async def test_not_reached_only_if_nothing_was_written(self) -> None:
        """Guards against an unknown outcome of a call that was not sent.

        The connection cannot be established. Nothing was executed, so the
        outcome is "not run" and the caller may retry.
        """
        cases: dict[str, typing.Any] = {
            'refused': lambda: broken.open_port(None),
            'connect blocks': broken.open_full_port,
            'unknown name': lambda: contextlib.nullcontext(
                'http://target.invalid:1'
            ),
            'no address': lambda: contextlib.nullcontext('http://'),
        }
        for name, opener in cases.items():
            with (
                self.subTest(name),
                opener() as url,
                self.assertRaises(exceptions.TargetUnreachable),
            ):
                await self.services.call(build_call(url))

    async def test_answer_lost_if_a_byte_may_have_been_written(self) -> None:
        """Guards against a second hold after an unknown outcome.

        The connection breaks after the target may have read the call. If the
        outcome were "not run", the caller would create another hold.
        """
        cases: dict[str, bytes | None] = {
            'closed after the request': None,
            'within the status': b'HTTP/1.1 20',
            'after the headers': broken.TRUNCATED[:-4],
            'within the body': broken.TRUNCATED,
            'within the chunks': CHUNKED,
            'without a length': WITHOUT_LENGTH,
            'not HTTP': b'hello\r\n\r\n',
        }
        for name, reply in cases.items():
            with self.subTest(name):
                async with broken.open_broken([reply, None]) as server:
                    with self.assertRaises(exceptions.TargetResponseLost):
                        await self.services.call(build_call(server.url))
                    self.assertEqual(1, len(server.requests))

    async def test_answer_with_a_spoiled_head_is_lost(self) -> None:
        """Guards against a body that is not the one of the target."""
        answers = raw_answers.BROKEN_HEADS | raw_answers.EXCEEDED_LENGTHS
        for (name, answer), key in itertools.product(
            answers.items(), ('', 'key-1')
        ):
            with self.subTest(name, key=key):
                reply = answer.encode((), b'{"slot": 4, "held": true}')
                async with broken.open_broken([reply, None]) as server:
                    with self.assertRaises(exceptions.TargetResponseLost):
                        await self.services.call(
                            build_call(server.url, key=key)
                        )
                    self.assertEqual(1, len(server.requests))

    async def test_broken_connection_differs_from_a_timeout(self):
        """Guards against a slow call that is counted as a crash.

        A target exits during a call, or only responds too late. A payout
        that is counted as the cause of a crash is refused for an hour.
        """
        cases: dict[str, tuple[typing.Any, bool]] = {
            'closed': (None, True),
            'within the body': (broken.TRUNCATED, True),
            'without a length': (WITHOUT_LENGTH, False),
            'not HTTP': (b'hello\r\n\r\n', False),
        }
        for name, (reply, is_broken) in cases.items():
            with self.subTest(name):
                async with broken.open_broken([reply]) as server:
                    self.assertEqual(is_broken, await self.is_broken(server))
        with self.subTest('late'), broken.open_port(8) as url:
            with self.assertRaises(exceptions.TargetResponseLost) as caught:
                await self.services.call(build_call(url))
            self.assertIs(
                exceptions.TargetResponseLost, type(caught.exception)
            )

    async def is_broken(self, server) -> bool:
        with self.assertRaises(exceptions.TargetResponseLost) as caught:
            await self.services.call(build_call(server.url))
        return isinstance(caught.exception, exceptions.TargetConnectionBroken)

    async def test_call_of_a_suspect_is_sent_once(self) -> None:
        """Guards against quarantine of a request that caused no crash.

        A reused connection broke before a suspect was sent on it, so its
        target did not crash during the call.
        """
        replies = [broken.DONE, None, broken.DONE]
        async with broken.open_broken(replies, close=False) as server:
            await self.services.call(build_call(server.url, key=''))
            with self.assertRaises(exceptions.TargetConnectionBroken):
                await self.services.call(build_call(server.url, key=''))
            self.assertEqual(2, len(server.requests))

    async def test_closed_at_accept_counts_as_lost(self) -> None:
        """Guards against "not run" for a call that may have been read.

        The target closes each connection immediately after accepting it. The
        kernel had established the connection, so bytes may have been read.
        """

        async def close(_: typing.Any, writer: typing.Any) -> None:
            writer.close()

        server = await asyncio.start_server(close, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        with self.assertRaises(exceptions.TargetResponseLost):
            await self.services.call(build_call(f'http://127.0.0.1:{port}'))
        server.close()

    async def test_never_accepted_counts_as_lost(self) -> None:
        """Guards against "not run" for a call that is executed later.

        The target is suspended, but its kernel accepts the connection. The
        target reads the call when it resumes, after the caller's timeout.
        """
        with (
            broken.open_port(8) as url,
            self.assertRaises(exceptions.TargetResponseLost),
        ):
            await self.services.call(build_call(url))

    async def test_call_with_a_key_is_sent_once(self) -> None:
        """Guards against a payout that is executed twice.

        The target closes a reused connection when it receives the second
        call. libcurl resends such a call by default.
        """
        replies = [broken.DONE, None, broken.DONE]
        async with broken.open_broken(replies, close=False) as server:
            await self.services.call(build_call(server.url))
            with self.assertRaises(exceptions.TargetResponseLost):
                await self.services.call(build_call(server.url))
            self.assertEqual(2, len(server.requests))

    async def test_redirect_is_not_followed(self) -> None:
        """Guards against a call that is executed at another URL.

        A target responds with a redirect that preserves method and body.
        """
        async with broken.open_broken([MOVED, broken.DONE]) as server:
            response = await self.services.call(build_call(server.url))
            self.assertEqual(307, response.status)
            self.assertEqual(1, len(server.requests))

    async def test_cancelled_call_is_not_queued(self) -> None:
        """Guards against a cancelled call that is sent minutes later.

        A caller cancels a call that waits for a free connection.
        """
        async with broken.open_broken([broken.DONE] * 3) as server:
            with broken.open_port(8) as unresponsive:
                calls = [
                    asyncio.ensure_future(self.services.call(build_call(url)))
                    for url in (unresponsive, unresponsive, server.url)
                ]
                await asyncio.sleep(0.02)
                for call in calls:
                    call.cancel()
                await asyncio.gather(*calls, return_exceptions=True)
                response = await self.services.call(
                    build_call(server.url, key='key-2', timeout_ms=3000)
                )
            self.assertEqual(200, response.status)
            self.assertEqual(1, len(server.requests))

    async def test_standin_executes_the_call(self) -> None:
        state = standin.State('slots-1')
        server, url = common.listen(standin.make_application(state))
        response = await self.services.call(build_call(url))
        self.assertEqual(200, response.status)
        self.assertEqual('application/json', response.content_type)
        self.assertIn(b'"key":"key-1"', response.body)
        self.assertEqual({'key-1': 1}, dict(state.executions))
        self.assertEqual({'key-1': 3}, state.fencing_tokens)
        server.stop()
        await server.close_all_connections()

    async def test_only_a_rejection_by_a_leaving_target_is_not_run(
        self,
    ) -> None:
        """Guards against a conflict that is retried at another target.

        A leaving target rejects a call with status 409, and the call may be
        retried elsewhere. Any other 409 is the response of the service.
        """
        head = b'HTTP/1.1 409 Conflict\r\nContent-Length: %d\r\n\r\n%s'
        bodies = {
            b'{"state": "leaving"}': True,
            b'{"state": "fenced"}': False,
            b'{"error": "slot taken"}': False,
            b'slot taken': False,
        }
        for body, is_leaving in bodies.items():
            with self.subTest(body=body):
                reply = head % (len(body), body)
                async with broken.open_broken([reply]) as server:
                    call = self.services.call(build_call(server.url))
                    if is_leaving:
                        with self.assertRaises(exceptions.TargetLeaving):
                            await call
                        continue
                    self.assertEqual(409, (await call).status)
