"""Tests of the limits on clients, over loopback."""

from __future__ import annotations

import asyncio
import unittest

from tests.adapters import client_builders
from thornspool.adapters import connections as manager_module
from thornspool.domain.clients import connections
from thornspool.domain.clients import limits

BODY_BYTES = client_builders.BODY_BYTES
LENGTH = f'Content-Length: {BODY_BYTES}'
build_request = client_builders.build_request


class ClientCase(unittest.IsolatedAsyncioTestCase):
    capacity = client_builders.CAPACITY

    async def asyncSetUp(self):
        self.deployed = client_builders.Deployment(self.capacity)
        self.manager = self.deployed.manager
        self.clients = []

    async def asyncTearDown(self):
        for client in self.clients:
            client.writer.close()
        await self.deployed.stop()

    async def connect(self, data=b''):
        """Open a connection and send bytes."""
        client = await self.deployed.connect()
        self.clients.append(client)
        await client.send(data)
        return client

    async def wait_until(self, is_met):
        async with asyncio.timeout(client_builders.TIMEOUT_S):
            while not is_met():
                await asyncio.sleep(0.005)

    async def wait_for_phase(self, phase, count=1):
        (pool,) = self.manager.pools
        await self.wait_until(lambda: pool.count(phase) == count)

    def expire(self, milliseconds):
        """Let time pass, and close what has expired."""
        self.deployed.clock.advance(milliseconds)
        self.manager.tick()


class BodyTest(ClientCase):
    async def test_largest_body_is_served(self):
        """Guards against limits that a legal body exceeds."""
        chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (BODY_BYTES, bytes(BODY_BYTES))
        for data in (
            build_request(LENGTH, body=bytes(BODY_BYTES)),
            build_request('Transfer-Encoding: chunked', body=chunk),
        ):
            client = await self.connect(data)
            status, answer = await client.read()
            self.assertEqual(200, status)
            self.assertTrue(answer.endswith(b'1000000'), answer)

    async def test_body_over_the_limit_is_refused_with_its_reason(self):
        """Guards against a reset in place of the answer."""
        over = BODY_BYTES + 1
        chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (over, bytes(over))
        for data in (
            build_request(f'Content-Length: {over}', body=bytes(over)),
            build_request('Transfer-Encoding: chunked', body=chunk),
        ):
            client = await self.connect(data)
            status, answer = await client.read()
            self.assertEqual(413, status)
            self.assertIn(b'Connection: close', answer)
            self.assertEqual(b'', await client.read_rest())
        self.assertEqual(2, self.deployed.count('body_too_large'))
        self.assertEqual([], self.deployed.served)

    async def test_request_is_denied_before_its_body_arrives(self):
        """Guards against bodies that are read though they are not served."""
        client = await self.connect(build_request(LENGTH, path='/denied'))
        status, answer = await client.read()
        self.assertEqual(404, status)
        self.assertIn(b'Connection: close', answer)
        self.assertLess(self.manager.memory.held_bytes, 100_000)
        await client.send(bytes(BODY_BYTES))
        self.assertEqual(b'', await client.read_rest())

    async def test_bodies_that_exceed_the_memory_are_refused(self):
        """Guards against many legal bodies that fill the memory."""
        waiting = [await self.connect(build_request(LENGTH)) for _ in '12']
        await self.wait_for_phase(connections.Phase.BODY, 2)
        refused = await self.connect(build_request(LENGTH))
        status, answer = await refused.read()
        self.assertEqual(503, status)
        self.assertIn(b'Retry-After: 0.500', answer)
        small = await self.connect(build_request(method='GET'))
        self.assertEqual(200, (await small.read())[0])
        for client in waiting:
            await client.send(bytes(BODY_BYTES))
            self.assertEqual(200, (await client.read())[0])
        later = await self.connect(
            build_request(LENGTH, body=bytes(BODY_BYTES))
        )
        self.assertEqual(200, (await later.read())[0])

    async def test_answer_in_the_middle_of_a_body_is_the_only_one(self):
        """Guards against bytes of a second answer after a refusal."""
        for data in (
            build_request(LENGTH, 'Expect: 100-continue', path='/denied'),
            build_request(
                'Transfer-Encoding: chunked', path='/denied', body=b'x\r\n'
            ),
        ):
            client = await self.connect(data)
            status, _ = await client.read()
            self.assertEqual(404, status)
            self.expire(connections.DISCARD_TIMEOUT_MS + 1)
            self.assertEqual(b'', await client.read_rest())


class HeadTest(ClientCase):
    async def test_head_over_the_limit_is_refused(self):
        client = await self.connect(
            build_request('X: ' + 'x' * client_builders.LIMITS.max_head_bytes)
        )
        self.assertEqual(431, (await client.read())[0])
        self.assertEqual(1, self.deployed.count('head_too_large'))

    async def test_head_without_end_is_closed(self):
        """Guards against a head that fills the memory."""
        client = await self.connect(b'GET / HTTP/1.1\r\nX: ' + bytes(100_000))
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await client.read()

    async def test_heads_of_many_fields_that_exceed_the_memory(self):
        """Guards against heads whose fields fill the memory."""
        fields = [f'{number:x}:' for number in range(1_200)]
        data = build_request(*fields, 'Content-Length: 1')
        clients = [await self.connect(data) for _ in range(6)]
        await self.wait_until(lambda: self.deployed.count('memory') == 2)
        self.assertLessEqual(
            self.manager.memory.held_bytes, self.manager.memory.budget_bytes
        )
        for client in clients:
            await client.send(b'x')
        statuses = sorted([(await one.read())[0] for one in clients])
        self.assertEqual([200] * 4 + [503] * 2, statuses)

    async def test_requests_that_were_sent_ahead_are_not_run_for_nobody(self):
        """Guards against requests that run after their client has left."""
        self.deployed.holds = True
        client = await self.connect(build_request(method='GET') * 20)
        await self.wait_until(lambda: self.deployed.served)
        client.writer.transport.abort()
        self.deployed.holds = False
        await asyncio.sleep(0.05)
        self.deployed.replies[0].send(200, (), b'')
        await asyncio.sleep(0.05)
        self.assertLess(len(self.deployed.served), 3)


class TurnTest(ClientCase):
    async def test_closed_connection_waits_for_no_turn(self):
        """Guards against buffers of clients that have left and wait."""
        (pool,) = self.manager.pools
        context = manager_module.ClientContext(
            self.manager,
            pool,
            connections.Connection(lambda: None, self.manager.now()),
        )
        pool.add(context.connection)
        waiting = context.take_turn(10**9)
        self.assertFalse(waiting.done())
        context.end()
        self.assertTrue(waiting.done())
        self.assertTrue(context.take_turn(10**9).done())


class TimeTest(ClientCase):
    async def test_slow_clients_are_closed(self):
        """Guards against clients that keep connections for ever."""
        for data, elapsed_ms, reason in (
            (b'', 15_001, 'idle'),
            (b'GET / ', 3_001, 'head_timeout'),
        ):
            client = await self.connect(data)
            phase = connections.Phase.HEAD if data else connections.Phase.OPEN
            await self.wait_for_phase(phase)
            self.expire(elapsed_ms)
            self.assertEqual(b'', await client.read_rest())
            self.assertEqual(1, self.deployed.count(reason))

    async def test_body_that_stops_is_refused(self):
        """Guards against bodies that never end."""
        for lines, elapsed_ms, reason in (
            ((LENGTH, 'Deadline-Ms: 2000'), 2_001, 'body_expired'),
            ((LENGTH,), 15_001, 'body_timeout'),
            (('Content-Length: 9',), 15_001, 'body_timeout'),
        ):
            client = await self.connect(build_request(*lines, body=b'x'))
            await self.wait_for_phase(connections.Phase.BODY)
            await asyncio.sleep(0.02)
            self.expire(elapsed_ms)
            self.assertEqual(408, (await client.read())[0])
            self.assertGreaterEqual(self.deployed.count(reason), 1)
            self.expire(connections.DISCARD_TIMEOUT_MS + 1)
        self.assertEqual([], self.deployed.served)

    async def test_kept_connection_is_served_within_the_idle_limit(self):
        """Guards against a connection that is closed under a request."""
        client = await self.connect()
        for _ in range(3):
            await client.send(build_request(method='GET'))
            self.assertEqual(200, (await client.read())[0])
            await self.wait_for_phase(connections.Phase.IDLE)
            self.expire(12_000)

    async def test_time_in_arrival_counts_against_the_deadline(self):
        """Guards against servers that are given more time than is left."""
        client = await self.connect(build_request('Content-Length: 1'))
        await self.wait_for_phase(connections.Phase.BODY)
        began_at = self.deployed.clock.now()
        self.deployed.clock.advance(900)
        await client.send(b'x')
        await client.read()
        self.assertEqual(began_at, self.deployed.served[0].arrived_at)


class ConnectionTest(ClientCase):
    capacity = limits.HostCapacity(4 * BODY_BYTES, 16)

    async def test_silent_connections_make_room(self):
        """Guards against silent clients that keep all others out."""
        silent = [await self.connect() for _ in range(16)]
        await self.wait_for_phase(connections.Phase.OPEN, 16)
        client = await self.connect(build_request(method='GET'))
        self.assertEqual(200, (await client.read())[0])
        self.assertEqual(b'', await silent[0].read_rest())
        self.assertEqual(1, self.deployed.count('evicted'))

    async def test_requests_in_service_are_kept(self):
        """Guards against requests that are cut for new connections."""
        self.deployed.holds = True
        serving = [
            await self.connect(build_request(method='GET')) for _ in range(16)
        ]
        await self.wait_for_phase(connections.Phase.SERVING, 16)
        late = await self.connect()
        self.assertEqual(b'', await late.read_rest())
        self.assertEqual(1, self.deployed.count('connections'))
        for reply in self.deployed.replies:
            reply.send(200, (), b'')
        for client in serving:
            self.assertEqual(200, (await client.read())[0])

    async def test_responses_without_readers_make_room(self):
        """Guards against responses that fill the memory."""
        self.deployed.holds = True
        for _ in range(2):
            await self.connect(build_request(method='GET'))
        await self.wait_until(lambda: len(self.deployed.replies) == 2)
        for reply in self.deployed.replies:
            reply.begin(200, ())
            for _ in range(64):
                reply.write(bytes(100_000))
        self.assertGreaterEqual(self.deployed.count('unread_response'), 1)
        self.assertLessEqual(
            self.manager.memory.held_bytes, self.manager.memory.budget_bytes
        )
