"""Contract of messages between entries, over real sockets."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import msgspec
import pynng
from structlog import testing

from tests.adapters.peers import builders
from thornspool.adapters.peers import exceptions
from thornspool.adapters.peers import frames
from thornspool.adapters.peers import kinds
from thornspool.adapters.peers import links
from thornspool.adapters.peers import node
from thornspool.adapters.peers import packing
from thornspool.adapters.peers import registry
from thornspool.application import exceptions as application_exceptions

PATIENCE_MS = 5000
SHORT_MS = 150
NEVER_MS = 600_000


async def answer(sender: str, question: builders.Question) -> builders.Answer:
    part = question.parts[0] if question.parts else None
    return builders.Answer(question.number, part)


async def fail(sender: str, question: builders.Question) -> None:
    raise ValueError(question.number)


async def freeze(sender: str, question: builders.Question) -> None:
    await asyncio.sleep(60)


async def wait_until(condition: object) -> None:
    async with asyncio.timeout(PATIENCE_MS / 1000):
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.005)


class PeerNodeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.asker = await self.start('asker')
        self.replier = await self.start('replier')
        self.replier.handle(builders.Question, answer)

    async def start(
        self, name: str, address: str = builders.LOOPBACK, **changes: int
    ) -> node.PeerNode:
        made = builders.build_node(name, address, **changes)
        await made.start()
        self.addAsyncCleanup(made.stop)
        return made

    async def ask(self, number: int, timeout_ms: int = PATIENCE_MS) -> object:
        return await self.asker.ask(
            self.replier.address, builders.Question(number), timeout_ms
        )

    async def test_question_fails_when_its_peer_dies(self) -> None:
        """An entry dies while others wait for its answers.

        They would wait for the whole timeout, and their callers with them,
        though the connection was closed at once.
        """
        self.replier.handle(builders.Question, freeze)
        waiting = asyncio.create_task(self.ask(1, NEVER_MS))
        await wait_until(lambda: self.replier.traffic.received)
        await self.replier.stop()
        async with asyncio.timeout(PATIENCE_MS / 1000):
            with self.assertRaises(application_exceptions.PeerUnreachable):
                await waiting
            with self.assertRaises(application_exceptions.PeerUnreachable):
                await self.ask(2, NEVER_MS)

    async def send_raw(self, data: bytes) -> None:
        socket = pynng.Push0()
        socket.dial(self.replier.address)
        await socket.asend(data)
        self.addCleanup(socket.close)

    async def test_reply_carries_nested_parts(self) -> None:
        part = builders.Part('weights', b'\x00\xff')
        question = builders.Question(7, (part, builders.Part('more')))
        reply = await self.asker.ask(
            self.replier.address, question, PATIENCE_MS
        )
        self.assertEqual(builders.Answer(7, part), reply)

    async def test_questions_in_flight_get_their_own_replies(self) -> None:
        async def answer_later(
            sender: str, question: builders.Question
        ) -> builders.Answer:
            await asyncio.sleep((9 - question.number) / 1000)
            return builders.Answer(question.number)

        self.replier.handle(builders.Question, answer_later)
        replies = await asyncio.gather(*(self.ask(i) for i in range(10)))
        self.assertEqual([builders.Answer(i) for i in range(10)], replies)

    async def test_told_messages_arrive_in_order(self) -> None:
        heard: list[tuple[str, int]] = []

        async def note(sender: str, question: builders.Question) -> None:
            heard.append((sender, question.number))

        self.replier.handle(builders.Question, note)
        for number in range(200):
            self.asker.tell(self.replier.address, builders.Question(number))
        await wait_until(lambda: len(heard) == 200)
        self.assertEqual([('asker', i) for i in range(200)], heard)

    async def test_large_message_arrives_whole(self) -> None:
        part = builders.Part('large', bytes(range(256)) * 16 * 1024)
        reply = await self.asker.ask(
            self.replier.address, builders.Question(1, (part,)), PATIENCE_MS
        )
        self.assertEqual(builders.Answer(1, part), reply)

    async def test_handler_without_reply_gives_none(self) -> None:
        async def ignore(sender: str, question: builders.Question) -> None:
            return None

        self.replier.handle(builders.Question, ignore)
        self.assertIsNone(await self.ask(1))

    async def test_failures_reach_the_asker_at_once(self) -> None:
        """The peer cannot answer, and says so instead of staying silent.

        An entry that waited out its timeout instead would hold up the
        request of a caller for nothing. The timeout here is longer than
        the patience of the test.
        """
        await self.replier.stop()
        limited = await self.start('limited', max_handling=0)
        limited.handle(builders.Question, answer)
        failing = await self.start('failing')
        failing.handle(builders.Question, fail)
        silent = await self.start('silent')
        too_large = builders.Part('x', bytes(links.MAX_MESSAGE_BYTES))
        table = (
            ('raises', failing, builders.Question(1), 'ValueError'),
            ('no handler', silent, builders.Question(1), 'no handler'),
            ('unknown kind', failing, builders.Unheard(1), 'registered'),
            ('overloaded', limited, builders.Question(1), 'overloaded'),
            (
                'too large',
                failing,
                builders.Question(1, (too_large,)),
                'limit',
            ),
        )
        for name, peer, message, reason in table:
            with self.subTest(name):
                async with asyncio.timeout(PATIENCE_MS / 1000):
                    with self.assertRaisesRegex(
                        application_exceptions.PeerUnreachable, reason
                    ):
                        await self.asker.ask(peer.address, message, 60_000)

    async def test_silence_ends_in_a_timeout(self) -> None:
        """The peer is frozen, gone, or its address leads nowhere.

        The asker must get an error after its timeout, whichever it is, or
        the caller behind it hangs.
        """
        self.replier.handle(builders.Question, freeze)
        gone = await self.start('gone')
        await gone.stop()
        for address in (self.replier.address, gone.address, 'tcp://x:y'):
            with (
                self.subTest(address),
                self.assertRaises(application_exceptions.PeerUnreachable),
            ):
                await self.asker.ask(address, builders.Question(1), SHORT_MS)

    async def test_bad_bytes_are_dropped_and_the_node_goes_on(self) -> None:
        """Some other program, or another release, sends what is no message.

        An entry that fell over it would be lost to its callers.
        """
        encode = msgspec.msgpack.encode
        body = encode({'number': 'not a number'})
        kind = self.asker._registry.register(builders.Question)
        frame = frames.Frame('x', 'tcp://127.0.0.1:1', kind, 0, b'', body)
        former = encode(['x', 'tcp://127.0.0.1:1', kind, 0, '', body])
        prefix = frames.encode(frame)[:1]
        table = (
            ('empty', b''),
            ('text', b'GET / HTTP/1.1\r\n\r\n'),
            ('without a version', former),
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
                        self.replier.traffic.dropped['not understood']
                        == expected
                    )
                )
                self.assertEqual(builders.Answer(1), await self.ask(1))

    async def test_frames_of_another_version_are_counted_and_logged_once(
        self,
    ) -> None:
        """A newer release rolls out and its entries send another format.

        An entry that read it as its own would act on what was never meant,
        and one that logged each frame would drown its operator.
        """
        frame = frames.Frame('x', 'tcp://127.0.0.1:1', 'k', 0, b'', b'')
        newer = bytes([frames.VERSION + 1]) + frames.encode(frame)[1:]
        dropped = self.replier.traffic.dropped
        with testing.capture_logs() as logged:
            for _ in range(3):
                await self.send_raw(newer)
            await wait_until(lambda: dropped[node.UNKNOWN_VERSION] == 3)
        self.assertEqual(
            [node.UNKNOWN_VERSION], [event['why'] for event in logged]
        )
        self.assertEqual(builders.Answer(1), await self.ask(1))

    async def test_unknown_number_is_refused_and_the_asker_told(self) -> None:
        """A newer release asks with a kind that this one has never heard of.

        Its asker must hear so at once instead of waiting out its timeout.
        """
        number = 1 + max(kinds.NUMBERS.values())
        with (
            mock.patch.dict(kinds.NUMBERS, {'builders.Unheard': number}),
            mock.patch.object(
                registry, 'name_kind', return_value='builders.Unheard'
            ),
            self.assertRaisesRegex(
                application_exceptions.PeerUnreachable, f'number {number}'
            ),
        ):
            await self.asker.ask(
                self.replier.address, builders.Unheard(1), 60_000
            )

    async def test_peer_that_comes_back_is_reached_again(self) -> None:
        """A peer is killed and another process starts at its address.

        Entries must talk to it again without being restarted, and must not
        deliver what was asked of the former process after its asker has
        given up.
        """
        self.assertEqual(builders.Answer(1), await self.ask(1))
        await self.replier.stop()
        with self.assertRaises(application_exceptions.PeerUnreachable):
            await self.ask(2, SHORT_MS)
        heard: list[int] = []

        async def note(
            sender: str, question: builders.Question
        ) -> builders.Answer:
            heard.append(question.number)
            return builders.Answer(question.number)

        successor = await self.start('successor', self.replier.address)
        successor.handle(builders.Question, note)
        self.assertEqual(builders.Answer(3), await self.ask(3))
        self.assertEqual([3], heard)

    async def test_reply_to_a_former_process_is_dropped(self) -> None:
        """An entry restarts at its address while a reply is on its way.

        Its questions are numbered from one again, so the late reply fits
        one of them by number. Taken for it, it would hand an answer to the
        wrong question.
        """
        self.replier.handle(builders.Question, freeze)
        asked = asyncio.create_task(self.ask(1))
        await asyncio.sleep(0)
        kind, body = self.asker._registry.encode(builders.Answer(99))
        late = frames.Frame(
            'replier',
            self.replier.address,
            kind,
            1,
            packing.digest_incarnation('former'),
            body,
        )
        socket = pynng.Push0()
        socket.dial(self.asker.address)
        await socket.asend(frames.encode(late))
        self.addCleanup(socket.close)
        await wait_until(lambda: self.asker.traffic.dropped['late reply'])
        self.assertFalse(asked.done())
        asked.cancel()

    async def test_sockets_are_bounded(self) -> None:
        asker = await self.start('frugal', max_links=2)
        repliers = [await self.start(f'replier-{i}') for i in range(4)]
        for _ in range(2):
            for number, replier in enumerate(repliers):
                replier.handle(builders.Question, answer)
                reply = await asker.ask(
                    replier.address, builders.Question(number), PATIENCE_MS
                )
                self.assertEqual(builders.Answer(number), reply)
        self.assertEqual(2, len(asker._links))

    async def test_telling_a_dead_peer_never_raises_and_is_bounded(
        self,
    ) -> None:
        """A peer is gone and messages to it pile up.

        They must neither stop the entry nor fill its memory.
        """
        await self.replier.stop()
        for number in range(links.MAX_WAITING + 10):
            self.asker.tell(self.replier.address, builders.Question(number))
        self.assertEqual(10, self.asker.traffic.dropped['not sent'])

    async def test_taken_address_is_refused(self) -> None:
        other = builders.build_node('other', self.replier.address)
        with self.assertRaisesRegex(exceptions.PeersError, 'free port'):
            await other.start()

    async def test_bytes_are_counted_by_kind(self) -> None:
        await self.ask(1)
        kind = self.asker._registry.register(builders.Question)
        sent = self.asker.traffic.sent[kind]
        received = self.replier.traffic.received[kind]
        self.assertEqual((1, sent.bytes), (received.messages, received.bytes))
        self.assertGreater(sent.bytes, 0)
