"""Tests of runs that are ended before another one has taken their place."""

from __future__ import annotations

import asyncio
import unittest

from tests.application.routing import builders
from tests.application.routing import test_relays
from tests.domain.fleet import builders as fleet_builders
from thornspool.application.routing import ports

SILENCE_MS = 4_000


class HandoverTest(test_relays.RelayCase):
    """Streams and calls that leave while this entry reaches no server."""

    stall = test_relays.StallTest.stall

    def test_stream_that_no_peer_accepts_stays(self):
        """Guards against a cut stream whose engine goes on."""
        reply, run = self.stall()
        self.world.streams.leave_lost_links()
        for _ in range(3):
            self.gateway.last.listener.handle_completion(
                ports.Completion.NOT_SENT
            )
        self.assertFalse(reply.aborted)
        self.assertFalse(run.stopped)

    def test_read_without_a_linked_peer_stays(self):
        """Guards against a 502 for a read whose server goes on."""
        for peer in self.view.peers.values():
            peer.has_links = False
        reply = self.world.serve('/read/1')
        run = self.world.servers.last
        self.lose_links()
        self.world.advance(600)
        self.assertFalse(run.stopped)
        run.answer()
        self.assertEqual(200, reply.status)

    def test_stream_of_a_peer_without_heartbeats_stays(self):
        """Guards against a cut stream that its peer still delivers."""
        reply, sent = self.pass_on()
        sent.listener.handle_head(test_relays.HEAD)
        sent.listener.handle_body(test_relays.EVENT % 0)
        while self.world.budget.acquire('drafting', urgent=True):
            pass
        self.world.clock.advance(SILENCE_MS)
        self.relays.tick()
        self.assertFalse(sent.cancelled)
        self.assertFalse(reply.aborted)


class CallTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def test_overdue_read_stays_if_the_next_server_refuses(self):
        """Guards against a 502 for a read whose server goes on."""
        reply = self.world.serve('/read/1')
        first = self.servers.last
        self.world.advance(500)
        self.assertIsNot(first, self.servers.last)
        for _ in range(3):
            self.servers.last.refuse()
        self.assertFalse(first.stopped)
        self.assertIsNone(reply.status)


class ConfirmationTest(unittest.TestCase):
    def test_caller_that_leaves_during_a_confirmation_gets_no_run(self):
        """Guards against work for a caller that has left."""
        for path in ('/brief/x', '/read/x', '/hold/x'):
            with self.subTest(path):
                world = builders.World()
                reply = builders.FakeResponseWriter()
                reply.leave()
                world.intake.serve(builders.build_request(path), reply)
                self.assertEqual([], world.servers.runs)
                self.assertEqual(0, world.intake.in_flight)
                self.assertEqual(set(), world.streams.in_flight_requests)


class EndedEngineTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World(slack=4.0)
        self.servers = self.world.servers

    def lose_engine(self):
        """Serve a request whose first engine has ended for certain."""
        reply = self.world.serve()
        run = self.servers.last
        server = run.run.server
        self.world.permits.count_ended = lambda uses: sum(
            use.server.id == server.id for use in uses
        )
        self.world.clock.advance(600)
        self.world.routing_state.suspect(
            server.id, 'x', self.world.clock.now()
        )
        return reply, run

    def test_request_at_an_ended_engine_without_a_path_is_refused(self):
        """Guards against a request that is held until its deadline."""
        for name in ('b-0', 'b-1', 'b-2'):
            del self.world.routing_state.servers[name]
        reply, _ = self.lose_engine()
        self.watch(5_000)
        self.assertIsNotNone(reply.status)

    def watch(self, milliseconds):
        for _ in range(0, milliseconds, 50):
            self.world.advance(50)
            self.world.failure_detector.reroute_from_suspects()

    def test_request_at_an_ended_engine_without_a_retry_is_refused(self):
        """Guards against a request that is held until its deadline."""
        reply, _ = self.lose_engine()
        while self.world.budget.acquire('drafting', urgent=True):
            pass
        self.watch(5_000)
        self.assertIsNotNone(reply.status)

    def test_suspect_at_an_ended_engine_is_refused_or_tried(self):
        """Guards against a request that is held until its deadline."""
        _, run = self.lose_engine()
        (in_flight,) = self.world.streams.in_flight_requests
        for target in ('t1', 't2'):
            self.world.quarantine.record_crash(
                target, frozenset({in_flight.exchange.fingerprint})
            )
        self.watch(5_000)
        self.assertTrue(run.stopped)


class PathChangeTest(unittest.IsolatedAsyncioTestCase):
    async def test_refused_change_of_path_is_not_ordered_without_pause(self):
        """Guards against an order for each check of a stalled stream."""
        world = builders.World(slack=4.0)
        world.add(fleet_builders.build_engine('a-7', 'large', 27, 54))
        world.serve()
        run = world.servers.last
        run.begin()
        run.send(0, 4)
        while world.budget.acquire('drafting', urgent=True):
            pass
        world.clock.advance(200)
        world.routing_state.suspect(
            run.run.hops[1].server.id, 'x', world.clock.now()
        )
        world.servers.reroute_result = ports.OrderResult.REFUSED
        for _ in range(100):
            world.clock.advance(10)
            world.failure_detector.reroute_from_suspects()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertLessEqual(len(world.servers.reroutes), 20)
