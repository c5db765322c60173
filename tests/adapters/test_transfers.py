"""Tests of transfers over libcurl."""

from __future__ import annotations

import asyncio
import gc
import itertools
import os
import socket
import stat
import time
import unittest
import weakref

import pycurl

from thornspool.adapters import exceptions
from thornspool.adapters import transfers

HEAD = b'HTTP/1.1 200 OK\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n'


class _Server:
    """A server that runs a callback of the test for each request."""

    def __init__(self, respond):
        self._respond = respond
        self.requests = []
        self.closed = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests.append(head)
                length = 0
                for line in head.split(b'\r\n'):
                    if line.lower().startswith(b'content-length:'):
                        length = int(line.split(b':')[1])
                body = await reader.readexactly(length)
                await self._respond(len(self.requests), writer, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        except asyncio.CancelledError:
            # The test has ended; the loop would print a traceback for each.
            pass
        finally:
            writer.close()


class _ObservedSession(transfers.Session):
    """Session that records the options of its sockets."""

    def __init__(self):
        super().__init__()
        self.options = []

    def _watch_socket(self, event, fd, _multi, _data):
        # libcurl also watches descriptors of its own that are no sockets.
        if event != pycurl.POLL_REMOVE and stat.S_ISSOCK(os.fstat(fd).st_mode):
            self.options.append(_read_options(fd))
        super()._watch_socket(event, fd, _multi, _data)


def _read_options(fd):
    """Read whether keep-alive probes are sent, and the user timeout."""
    with socket.socket(fileno=os.dup(fd)) as copy:
        return (
            copy.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
            copy.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        )


class SocketOptionsTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_timeout_of_the_system_ends_a_silent_connection(self):
        """Guards against runs that the library ends while a server pauses."""

        async def respond(number, writer, body):
            writer.write(HEAD + b'0\r\n\r\n')

        peer = _Server(respond)
        await peer.start()
        session = _ObservedSession()
        try:
            await session.fetch(transfers.Request(peer.url))
        finally:
            session.close()
            peer.server.close()
        self.assertEqual({(0, 0)}, set(session.options))


class TransferTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, respond):
        self.peer = _Server(respond)
        await self.peer.start()
        self.session = transfers.Session()
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        self.session.close()
        self.peer.server.close()

    async def test_body_may_contain_any_bytes(self):
        """Guards against requests with zero bytes that are never sent."""
        body = bytes(range(256)) * 40

        async def respond(_number, writer, received):
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
                % len(received)
                + received
            )

        await self.start(respond)
        response = await self.session.fetch(
            transfers.Request(self.peer.url, 'POST', body=body)
        )
        self.assertEqual(body, response.body)

    async def test_targets_are_sent_byte_by_byte(self):
        """Guards against targets that no server can be sent."""

        async def respond(_number, writer, _body):
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

        await self.start(respond)
        for target in (
            '/',
            '/a//b/../c?q=1&r',
            '/read/\xe9\xff?q=\xc3\xa9',
            '/a?b#c',
            '/\x80"<>\\^`{|}',
        ):
            with self.subTest(target):
                await self.session.fetch(
                    transfers.Request(self.peer.url + target)
                )
                line = self.peer.requests[-1].split(b'\r\n')[0]
                self.assertEqual(
                    f'GET {target} HTTP/1.1'.encode('latin-1'), line
                )

    async def test_names_beyond_latin_1_are_sent(self):
        """Guards against servers that count as unreachable for a name."""

        async def respond(_number, writer, _body):
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

        await self.start(respond)
        await self.session.fetch(
            transfers.Request(
                self.peer.url, headers=(('Tenant', '\u0141'), ('X', '\xe9'))
            )
        )
        self.assertIn(b'Tenant: \xc5\x81\r\n', self.peer.requests[0])
        self.assertIn(b'X: \xe9\r\n', self.peer.requests[0])

    async def test_address_that_is_none_is_not_reached(self):
        """Guards against an odd address in the list that ends a request."""
        await self.start(None)
        for address in ('\u0141:80', '', '::::', '127.0.0.1:99999', '\x00'):
            with self.subTest(address), self.assertRaises(exceptions.NotSent):
                await self.session.fetch(
                    transfers.Request(f'http://{address}/', timeout_ms=900)
                )

    async def test_callbacks_that_fail_concern_their_transfer_alone(self):
        """Guards against sound responses that an error of another drops."""

        async def respond(_number, writer, _body):
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na')

        await self.start(respond)
        for part, ended in (('head', 8), ('body', 8), ('end', 4)):
            with self.subTest(part):
                results = []
                for number in range(8):
                    self.start_failing(part if number % 2 else '', results)
                await self.wait_until(
                    lambda into=results, count=ended: len(into) == count
                )
                self.assertEqual(
                    4, results.count(transfers.TransferResult.COMPLETE)
                )

    async def test_callback_that_fails_drops_no_other_end(self):
        """Guards against ends in one turn that are never reported."""
        never = asyncio.Event()

        async def respond(_number, writer, _body):
            await never.wait()

        await self.start(respond)
        results = []
        for number in range(8):
            self.start_failing('' if number % 2 else 'end', results, 300)
        await self.wait_until(lambda: len(self.peer.requests) == 8)
        # Past the timeouts, libcurl ends all of them in one call.
        time.sleep(0.4)
        await self.wait_until(lambda: len(results) == 4)
        self.assertEqual({transfers.TransferResult.TIMED_OUT}, set(results))

    def start_failing(self, part, results, timeout_ms=0):
        """Start a transfer, one of whose callbacks may fail."""

        def fail(*_):
            raise RecursionError(part)

        self.session.start(
            transfers.Request(self.peer.url, timeout_ms=timeout_ms),
            fail if part == 'head' else lambda *head: None,
            fail if part == 'body' else lambda chunk: None,
            fail if part == 'end' else results.append,
        )

    async def wait_until(self, is_met):
        async with asyncio.timeout(5):
            while not is_met():
                await asyncio.sleep(0.002)

    async def test_large_response_on_a_slow_link_does_not_time_out(self):
        """Guards against a host that never gets a current configuration.

        A host with an outdated copy reads a large configuration over a link
        of 10 Mbit/s, which takes longer than the timeout of a stalled
        response. With a timeout each time, the host kept serving removed
        routes.
        """

        async def respond(_number, writer, _body):
            writer.write(HEAD)
            for _ in range(8):
                writer.write(b'1\r\nx\r\n')
                await asyncio.sleep(0.1)
            writer.write(b'0\r\n\r\n')

        await self.start(respond)
        request = transfers.Request(
            self.peer.url, timeout_ms=300, idle_timeout_ms=300
        )
        response = await self.session.fetch(request)
        self.assertEqual(b'x' * 8, response.body)

    async def test_stalled_response_times_out(self):
        """Guards against requests that wait forever on a stalled connection.

        The connection stalls before or during the response.
        """
        for started in (False, True):
            with self.subTest(started=started):

                async def respond(_number, writer, _body, started=started):
                    if started:
                        writer.write(HEAD + b'1\r\nx\r\n')
                    await asyncio.sleep(2.0)

                await self.start(respond)
                request = transfers.Request(
                    self.peer.url, timeout_ms=200, idle_timeout_ms=200
                )
                started_at = asyncio.get_running_loop().time()
                with self.assertRaises(exceptions.ResponseLost):
                    await self.session.fetch(request)
                duration = asyncio.get_running_loop().time() - started_at
                self.assertLess(duration, 1.0)
                await self.stop()

    async def test_headers_are_delivered_before_the_body(self):
        async def respond(_number, writer, _body):
            writer.write(HEAD + b'2\r\nab\r\n0\r\n\r\n')

        await self.start(respond)
        seen = []
        done = asyncio.Event()
        self.session.start(
            transfers.Request(self.peer.url),
            lambda status, headers: seen.append((status, headers[0])),
            seen.append,
            lambda ending: (seen.append(ending), done.set()),
        )
        await asyncio.wait_for(done.wait(), 5)
        self.assertEqual(
            [(200, ('X-A', 'b')), b'ab', transfers.TransferResult.COMPLETE],
            seen,
        )

    async def test_request_is_not_resent_if_its_response_is_lost(self):
        """Guards against a booking that is executed twice.

        The server executes the request and the connection breaks. libcurl
        resends requests on reused connections.
        """

        async def respond(number, writer, _body):
            if number == 1:
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            else:
                writer.transport.abort()

        await self.start(respond)
        request = transfers.Request(self.peer.url, 'POST', body=b'x')
        await self.session.fetch(request)
        with self.assertRaises(exceptions.ResponseLost):
            await self.session.fetch(request)
        self.assertEqual(2, len(self.peer.requests))

    async def test_truncated_response_is_an_error(self):
        async def respond(_number, writer, _body):
            writer.write(HEAD + b'5\r\nab')
            await writer.drain()
            writer.close()

        await self.start(respond)
        with self.assertRaises(exceptions.ResponseLost):
            await self.session.fetch(transfers.Request(self.peer.url))

    async def test_closed_port_raises_not_sent(self):
        async def respond(_number, writer, _body):
            writer.close()

        await self.start(respond)
        self.peer.server.close()
        await self.peer.server.wait_closed()
        with self.assertRaises(exceptions.NotSent):
            await self.session.fetch(transfers.Request(self.peer.url))

    async def test_malformed_response_is_an_error(self):
        async def respond(_number, writer, _body):
            writer.write(b'garbage\r\n\r\n')
            writer.close()

        await self.start(respond)
        with self.assertRaises(exceptions.ResponseLost):
            await self.session.fetch(transfers.Request(self.peer.url))

    async def test_cancellation_closes_the_connection(self):
        """Guards against an engine that computes without a reader.

        A caller disconnects during a response. The engine continues until
        its connection is closed.
        """

        async def respond(_number, writer, _body):
            writer.write(HEAD + b'2\r\nab\r\n')

        await self.start(respond)
        body_started = asyncio.Event()
        transfer = self.session.start(
            transfers.Request(self.peer.url),
            lambda status, headers: None,
            lambda chunk: body_started.set(),
            lambda ending: self.fail('ended'),
        )
        await asyncio.wait_for(body_started.wait(), 5)
        transfer.cancel()
        async with asyncio.timeout(2):
            while not self.peer.closed:
                await asyncio.sleep(0.01)

    async def test_owner_is_freed_with_its_transfer(self):
        """Guards against bodies that stay until a collection of cycles."""

        class Owner:
            transfer = None

        async def respond(_number, writer, _body):
            writer.write(HEAD + b'2\r\nab\r\n0\r\n\r\n')

        gc.disable()
        self.addCleanup(gc.enable)
        await self.start(respond)
        for is_cancelled in (False, True):
            owner = Owner()
            owner_gone = weakref.ref(owner)
            ended = asyncio.Event()
            owner.transfer = self.session.start(
                transfers.Request(self.peer.url, 'POST', body=b'x'),
                lambda status, headers, owner=owner: None,
                lambda chunk, owner=owner: None,
                lambda ending, owner=owner, ended=ended: ended.set(),
            )
            if is_cancelled:
                await asyncio.sleep(0)
                owner.transfer.cancel()
            else:
                await asyncio.wait_for(ended.wait(), 5)
            del owner
            await asyncio.sleep(0.01)
            self.assertIsNone(owner_gone())

    async def test_request_that_cannot_be_sent_fails(self):
        async def respond(_number, writer, _body):
            writer.close()

        await self.start(respond)
        with self.assertRaises(exceptions.NotSent):
            await self.session.fetch(
                transfers.Request(self.peer.url, headers=(('X', 'a\0b'),))
            )


class MeasuredBodyTest(unittest.IsolatedAsyncioTestCase):
    """Responses that are passed on, over connections of their own."""

    async def fetch(self, parts, ending='open', method='GET'):
        """Fetch a response that comes in parts, and how it ended."""

        async def respond(_number, writer, _body):
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.02)
            if ending == 'reset':
                writer.transport.abort()
            elif ending == 'closed':
                writer.close()

        peer = _Server(respond)
        await peer.start()
        session = transfers.Session()
        try:
            return await session.fetch(
                transfers.Request(
                    peer.url, method, timeout_ms=2_000, is_forwarded=True
                )
            )
        finally:
            session.close()
            peer.server.close()

    async def test_sound_bodies_are_complete(self):
        """Guards against sound responses that wait or count as broken."""
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'
        other = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'
        empty = b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n'
        cases = {
            'in one piece': ((head + b'done',), b'done'),
            'in pieces': ((head[:-1], head[-1:], b'do', b'ne'), b'done'),
            'without a body': ((empty,), b''),
            'before a second response': ((head + b'done' + other,), b'done'),
            'without a body before a second response': ((empty + other,), b''),
            'before a part of one': ((head + b'doneHT',), b'done'),
            'after an interim head': (
                (b'HTTP/1.1 103 X\r\nLink: a\r\n\r\n' + head + b'done',),
                b'done',
            ),
            'in chunks': ((HEAD + b'4\r\ndone\r\n0\r\n\r\n',), b'done'),
        }
        for (name, (parts, body)), ending in itertools.product(
            cases.items(), ('open', 'closed', 'reset')
        ):
            with self.subTest(name, ending=ending):
                response = await self.fetch(parts, ending)
                self.assertEqual(body, response.body)

    async def test_heads_alone_are_complete(self):
        """Guards against a wait for bodies that no server sends."""
        head = b'HTTP/1.1 %d X\r\nContent-Length: 4\r\n\r\n'
        for status, method in ((200, 'HEAD'), (304, 'GET')):
            with self.subTest(status):
                response = await self.fetch((head % status,), method=method)
                self.assertEqual(
                    (status, b''), (response.status, response.body)
                )

    async def test_short_body_is_a_broken_connection(self):
        """Guards against a part of a body that counts as complete."""
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n'
        for body, ending in itertools.product(
            (b'', b'don'), ('closed', 'reset')
        ):
            with (
                self.subTest(body, ending=ending),
                self.assertRaises(exceptions.ConnectionBroken),
            ):
                await self.fetch((head + body,), ending)

    async def test_surplus_shows_a_wrong_length(self):
        """Guards against the first bytes of a body that count as all."""
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
        for parts in (
            (head % 3 + b'done',),
            (head % 3 + b'do', b'ne'),
            (head % 0 + b'done',),
            (head % 3 + b'donHTML',),
            (head % 4 + b'done\r\n',),
        ):
            with (
                self.subTest(parts),
                self.assertRaises(exceptions.ResponseLost),
            ):
                await self.fetch(parts)
