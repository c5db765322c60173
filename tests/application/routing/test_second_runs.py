"""Tests of requests whose engines do not respond and later go on."""

from __future__ import annotations

import unittest

from tests.application.routing import builders
from thornspool.application.routing import ports

ALL_EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(10))
STREAMS = 20
STALL_MS = 200


class StallTest(unittest.IsolatedAsyncioTestCase):
    async def test_streams_stay_on_unresponsive_engines_until_others_answer(
        self,
    ):
        """Guards against cut streams whose next engine does not answer.

        All streams of an engine stall together, and their retries run out.
        """
        world = builders.World(slack=4.0)
        replies = [world.serve(number=one) for one in range(STREAMS)]
        first_runs = list(world.servers.runs)
        for run in first_runs:
            run.begin()
            run.send(0, 4)
        world.clock.advance(STALL_MS)
        world.routing_state.suspect(
            first_runs[0].run.server.id, 'no_report', world.clock.now()
        )
        world.failure_detector.reroute_from_suspects()
        for run in world.servers.runs[STREAMS:]:
            run.end(ports.Completion.NOT_SENT)
        world.advance(3_000)
        for run in first_runs:
            run.send(4, 10)
            run.end()
        self.assertEqual(
            [ALL_EVENTS] * STREAMS, [reply.body for reply in replies]
        )
        self.assertTrue(all(reply.whole for reply in replies))


class SecondRunTest(unittest.TestCase):
    """An engine stalls, and its request is sent to another one as well."""

    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def start_second(self, begun=True):
        """Serve a request whose engine stalls; return its reply and runs."""
        reply = self.world.serve()
        first = self.servers.last
        if begun:
            first.begin()
            first.send(0, 4)
        self.world.clock.advance(STALL_MS)
        (in_flight,) = self.world.streams.in_flight_requests
        self.world.streams.fail_over(in_flight, 'engine_lost')
        return reply, first, self.servers.last

    def test_request_stays_on_its_engine_if_the_second_run_fails(self):
        """Guards against a request that is left with no run anywhere."""
        ends = {
            'not sent': lambda run: run.end(ports.Completion.NOT_SENT),
            'refused': lambda run: run.refuse(),
            'broken': lambda run: run.end(ports.Completion.BROKEN),
            'failed': lambda run: run.answer(500),
            'forged': lambda run: run.answer(200, is_authentic=False),
        }
        for name, end in ends.items():
            for begun in (True, False):
                with self.subTest(name, begun=begun):
                    self.setUp()
                    reply, first, second = self.start_second(begun)
                    for engine in list(self.world.routing_state.servers):
                        if engine != first.run.server.id:
                            self.world.routing_state.remove_server(engine, 1)
                    end(second)
                    self.world.advance(3_000)
                    self.assertFalse(first.stopped)
                    if not begun:
                        first.begin()
                    first.send(4 * begun, 10)
                    first.end()
                    self.assertEqual(ALL_EVENTS, reply.body)
                    self.assertTrue(reply.whole)
