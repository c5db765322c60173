"""Contract tests of messaging between entries over real sockets."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import msgspec
import pynng
from structlog import testing

from tests.adapters.peers import builders
from thornspool import clock
from thornspool.adapters.peers import exceptions
from thornspool.adapters.peers import frames
from thornspool.adapters.peers import kinds
from thornspool.adapters.peers import links
from thornspool.adapters.peers import node
from thornspool.adapters.peers import packing
from thornspool.adapters.peers import registry
from thornspool.application import exceptions as application_exceptions

TEST_TIMEOUT_MS = 5000
SHORT_TIMEOUT_MS = 150
LONG_TIMEOUT_MS = 600_000


async def reply_to(sender: str, request: builders.Request) -> builders.Reply:
    part = request.parts[0] if request.parts else None
    return builders.Reply(request.number, part)


async def fail(sender: str, request: builders.Request) -> None:
    raise ValueError(request.number)


async def hang(sender: str, request: builders.Request) -> None:
    await asyncio.sleep(60)


async def wait_until(condition: object) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_MS / 1000):
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.005)


class PeerNodeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.requester = await self.start('requester')
        self.responder = await self.start('responder')
        self.responder.handle(builders.Request, reply_to)

    async def start(
        self, name: str, address: str = builders.LOOPBACK, **changes: int
    ) -> node.PeerNode:
        started = builders.build_node(name, address, **changes)
        await started.start()
        self.addAsyncCleanup(started.stop)
        return started

    async def send_request(
        self, number: int, timeout_ms: int = TEST_TIMEOUT_MS
    ) -> object:
        return await self.requester.request(
            self.responder.address, builders.Request(number), timeout_ms
        )

    async def test_request_fails_if_its_peer_exits(self) -> None:
        """Guards against requests that wait for the whole timeout.

        An entry exits while others wait for its replies. Their callers would
        wait as well, although the connection was closed immediately.
        """
        self.responder.handle(builders.Request, hang)
        waiting = asyncio.create_task(self.send_request(1, LONG_TIMEOUT_MS))
        await wait_until(lambda: self.responder.traffic.received)
        await self.responder.stop()
        async with asyncio.timeout(TEST_TIMEOUT_MS / 1000):
            with self.assertRaises(application_exceptions.PeerUnreachable):
                await waiting
            with self.assertRaises(application_exceptions.PeerUnreachable):
                await self.send_request(2, LONG_TIMEOUT_MS)

    async def send_raw(self, data: bytes) -> None:
        socket = pynng.Push0()
        socket.dial(self.responder.address)
        await socket.asend(data)
        self.addCleanup(socket.close)

    async def test_reply_carries_nested_parts(self) -> None:
        part = builders.Part('weights', b'\x00\xff')
        request = builders.Request(7, (part, builders.Part('more')))
        reply = await self.requester.request(
            self.responder.address, request, TEST_TIMEOUT_MS
        )
        self.assertEqual(builders.Reply(7, part), reply)

    async def test_concurrent_requests_get_their_replies(self) -> None:
        async def reply_later(
            sender: str, request: builders.Request
        ) -> builders.Reply:
            await asyncio.sleep((9 - request.number) / 1000)
            return builders.Reply(request.number)

        self.responder.handle(builders.Request, reply_later)
        replies = await asyncio.gather(
            *(self.send_request(i) for i in range(10))
        )
        self.assertEqual([builders.Reply(i) for i in range(10)], replies)

    async def test_messages_arrive_in_order(self) -> None:
        received: list[tuple[str, int]] = []

        async def record(sender: str, request: builders.Request) -> None:
            received.append((sender, request.number))

        self.responder.handle(builders.Request, record)
        for number in range(200):
            self.requester.send(
                self.responder.address, builders.Request(number)
            )
        await wait_until(lambda: len(received) == 200)
        self.assertEqual([('requester', i) for i in range(200)], received)

    async def test_large_message_arrives_complete(self) -> None:
        part = builders.Part('large', bytes(range(256)) * 16 * 1024)
        reply = await self.requester.request(
            self.responder.address,
            builders.Request(1, (part,)),
            TEST_TIMEOUT_MS,
        )
        self.assertEqual(builders.Reply(1, part), reply)

    async def test_handler_without_reply_returns_none(self) -> None:
        async def ignore(sender: str, request: builders.Request) -> None:
            return None

        self.responder.handle(builders.Request, ignore)
        self.assertIsNone(await self.send_request(1))

    async def test_replies_go_to_the_advertised_address(self) -> None:
        """Guards against replies to an unreachable address.

        A host behind network address translation advertises an address that
        differs from the bound one.
        """
        public = await self.start('public')
        hidden = node.PeerNode(
            clock.Clock(),
            'hidden',
            builders.LOOPBACK,
            (builders.Reply,),
            registry.Registry(),
            advertised_address=public.address,
        )
        bound = await hidden.start()
        self.addAsyncCleanup(hidden.stop)
        self.assertEqual(public.address, hidden.address)
        self.assertNotEqual(public.address, bound)
        with self.assertRaises(application_exceptions.PeerUnreachable):
            await hidden.request(
                self.responder.address, builders.Request(1), SHORT_TIMEOUT_MS
            )
        self.assertEqual(1, public.traffic.dropped['late reply'])

    async def test_failures_are_reported_immediately(self) -> None:
        """Guards against requests that wait for a peer that cannot reply.

        The peer reports the failure instead of sending no reply, so that the
        request of a caller is not delayed. The timeout of the request is
        longer than that of the test.
        """
        await self.responder.stop()
        limited = await self.start('limited', max_concurrent_handlers=0)
        limited.handle(builders.Request, reply_to)
        failing = await self.start('failing')
        failing.handle(builders.Request, fail)
        without_handler = await self.start('without-handler')
        large_part = builders.Part('x', bytes(links.MAX_MESSAGE_BYTES))
        table = (
            ('raises', failing, builders.Request(1), 'ValueError'),
            ('no handler', without_handler, builders.Request(1), 'no handler'),
            ('unknown kind', failing, builders.Unregistered(1), 'registered'),
            ('overloaded', limited, builders.Request(1), 'overloaded'),
            (
                'too large',
                failing,
                builders.Request(1, (large_part,)),
                'limit',
            ),
        )
        for name, peer, message, reason in table:
            with self.subTest(name):
                async with asyncio.timeout(TEST_TIMEOUT_MS / 1000):
                    with self.assertRaisesRegex(
                        application_exceptions.PeerUnreachable, reason
                    ):
                        await self.requester.request(
                            peer.address, message, 60_000
                        )

    async def test_unresponsive_peer_results_in_a_timeout(self) -> None:
        """Guards against callers that wait forever.

        The peer is suspended, has exited or has an invalid address. In each
        case the request must fail after its timeout.
        """
        self.responder.handle(builders.Request, hang)
        stopped = await self.start('stopped')
        await stopped.stop()
        for address in (self.responder.address, stopped.address, 'tcp://x:y'):
            with (
                self.subTest(address),
                self.assertRaises(application_exceptions.PeerUnreachable),
            ):
                await self.requester.request(
                    address, builders.Request(1), SHORT_TIMEOUT_MS
                )

    async def test_invalid_bytes_are_dropped(self) -> None:
        """Guards against an entry that fails on invalid data.

        Another program or another release sends bytes that are not a valid
        message.
        """
        encode = msgspec.msgpack.encode
        body = encode({'number': 'not a number'})
        kind = self.requester._registry.register(builders.Request)
        frame = frames.Frame('x', 'tcp://127.0.0.1:1', kind, 0, b'', body)
        unversioned = encode(['x', 'tcp://127.0.0.1:1', kind, 0, '', body])
        prefix = frames.encode(frame)[:1]
        table = (
            ('empty', b''),
            ('text', b'GET / HTTP/1.1\r\n\r\n'),
            ('without a version', unversioned),
            ('short array', prefix + encode(['x', 1])),
            ('wrong types', prefix + encode([1, 2, 3, 4, 5, 6, 7])),
            (
                'no identifier',
                prefix + encode(['x', b'12', bytes(6), 3, 0, b'', body]),
            ),
            (
                'no address',
                prefix + encode(['x', b'', bytes(7), 3, 0, b'', body]),
            ),
            ('wrong body', frames.encode(frame)),
        )
        for count, (name, data) in enumerate(table, start=1):
            with self.subTest(name):
                await self.send_raw(data)
                await wait_until(
                    lambda expected=count: (
                        self.responder.traffic.dropped['not understood']
                        == expected
                    )
                )
                self.assertEqual(builders.Reply(1), await self.send_request(1))

    async def test_frames_of_another_version_are_logged_once(
        self,
    ) -> None:
        """Guards against misinterpreted frames and a flooded log.

        During a deployment, entries of a newer release send another format
        version.
        """
        frame = frames.Frame('x', 'tcp://127.0.0.1:1', 'k', 0, b'', b'')
        newer = bytes([frames.VERSION + 1]) + frames.encode(frame)[1:]
        dropped = self.responder.traffic.dropped
        with testing.capture_logs() as logged:
            for _ in range(3):
                await self.send_raw(newer)
            await wait_until(lambda: dropped[node.UNKNOWN_VERSION] == 3)
        self.assertEqual(
            [node.UNKNOWN_VERSION], [event['why'] for event in logged]
        )
        self.assertEqual(builders.Reply(1), await self.send_request(1))

    async def test_unknown_kind_number_is_rejected(self) -> None:
        """Guards against a request that waits for the whole timeout.

        An entry of a newer release sends a request of an unknown kind.
        """
        number = 1 + max(kinds.NUMBERS.values())
        with (
            mock.patch.dict(kinds.NUMBERS, {'builders.Unregistered': number}),
            mock.patch.object(
                registry, 'name_kind', return_value='builders.Unregistered'
            ),
            self.assertRaisesRegex(
                application_exceptions.PeerUnreachable, f'number {number}'
            ),
        ):
            await self.requester.request(
                self.responder.address, builders.Unregistered(1), 60_000
            )

    async def test_restarted_peer_is_reachable(self) -> None:
        """Guards against peers that stay unreachable after a restart.

        A peer is killed and another process starts at its address. Requests
        to the previous process must not be delivered to it after their
        timeout.
        """
        self.assertEqual(builders.Reply(1), await self.send_request(1))
        await self.responder.stop()
        with self.assertRaises(application_exceptions.PeerUnreachable):
            await self.send_request(2, SHORT_TIMEOUT_MS)
        received: list[int] = []

        async def record(
            sender: str, request: builders.Request
        ) -> builders.Reply:
            received.append(request.number)
            return builders.Reply(request.number)

        successor = await self.start('successor', self.responder.address)
        successor.handle(builders.Request, record)
        self.assertEqual(builders.Reply(3), await self.send_request(3))
        self.assertEqual([3], received)

    async def test_reply_to_a_previous_process_is_dropped(self) -> None:
        """Guards against a reply that is matched to another request.

        An entry restarts at the same address while a reply is in flight. It
        numbers its requests from one again, so the number of the late reply
        matches one of them.
        """
        self.responder.handle(builders.Request, hang)
        pending = asyncio.create_task(self.send_request(1))
        await asyncio.sleep(0)
        kind, body = self.requester._registry.encode(builders.Reply(99))
        late = frames.Frame(
            'responder',
            self.responder.address,
            kind,
            1,
            packing.digest_incarnation('former'),
            body,
        )
        socket = pynng.Push0()
        socket.dial(self.requester.address)
        await socket.asend(frames.encode(late))
        self.addCleanup(socket.close)
        await wait_until(lambda: self.requester.traffic.dropped['late reply'])
        self.assertFalse(pending.done())
        pending.cancel()

    async def test_sockets_are_limited(self) -> None:
        requester = await self.start('limited', max_links=2)
        responders = [await self.start(f'responder-{i}') for i in range(4)]
        for _ in range(2):
            for number, responder in enumerate(responders):
                responder.handle(builders.Request, reply_to)
                reply = await requester.request(
                    responder.address,
                    builders.Request(number),
                    TEST_TIMEOUT_MS,
                )
                self.assertEqual(builders.Reply(number), reply)
        self.assertEqual(2, len(requester._links))

    async def test_messages_to_a_stopped_peer_are_limited(
        self,
    ) -> None:
        """Guards against errors and unlimited memory use.

        Messages to a stopped peer accumulate.
        """
        await self.responder.stop()
        for number in range(links.SEND_BUFFER_MESSAGES + 10):
            self.requester.send(
                self.responder.address, builders.Request(number)
            )
        self.assertEqual(10, self.requester.traffic.dropped['not sent'])

    async def test_used_address_is_rejected(self) -> None:
        other = builders.build_node('other', self.responder.address)
        with self.assertRaisesRegex(exceptions.PeersError, 'free port'):
            await other.start()

    async def test_bytes_are_counted_by_kind(self) -> None:
        await self.send_request(1)
        kind = self.requester._registry.register(builders.Request)
        sent = self.requester.traffic.sent[kind]
        received = self.responder.traffic.received[kind]
        self.assertEqual((1, sent.bytes), (received.messages, received.bytes))
        self.assertGreater(sent.bytes, 0)
