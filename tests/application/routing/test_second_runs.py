"""Tests of requests whose engines do not respond and later go on."""

from __future__ import annotations

import collections
import unittest

import attrs

from tests.application.routing import builders
from thornspool.application.routing import ports
from thornspool.domain.routing import messages as routing

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

    async def test_second_runs_are_spread_over_engines(self):
        """Guards against streams that all go to one lost engine."""
        world = builders.World()
        for domain in 'cd':
            world.add_replica(domain)
            for number in range(3):
                # Streams prefer the other replicas.
                world.routing_state.slowdowns.record_probe(
                    f'{domain}-{number}', 2.5, STALL_MS
                )
        for number in range(STREAMS):
            world.serve(number=number)
        first_runs = list(world.servers.runs)
        for run in first_runs:
            run.begin()
            run.send(0, 4)
        world.clock.advance(STALL_MS)
        lost = first_runs[0].run.server.id
        stalled = [run for run in first_runs if run.run.server.id == lost]
        world.routing_state.suspect(lost, 'no_report', world.clock.now())
        world.failure_detector.reroute_from_suspects()
        chosen = collections.Counter(
            run.run.server.id for run in world.servers.runs[STREAMS:]
        )
        self.assertEqual(len(stalled), chosen.total())
        self.assertEqual(3, len(chosen))
        self.assertLessEqual(
            max(chosen.values()) - min(chosen.values()), 1, chosen
        )

    async def test_urgent_streams_get_the_last_retries(self):
        """Guards against retries for others that an urgent stream lacks."""
        world = builders.World(slack=4.0)
        ranks = [9, 0] * (STREAMS // 2)
        for number, rank in enumerate(ranks):
            builders.serve_with_priority(world, rank, f'{number}-{rank}')
        for run in list(world.servers.runs):
            run.begin()
            run.send(0, 4)
        world.clock.advance(STALL_MS)
        for name in {run.run.server.id for run in world.servers.runs}:
            if name.startswith('a'):
                world.routing_state.suspect(name, 'x', world.clock.now())
        world.failure_detector.reroute_from_suspects()
        second_ranks = [
            run.run.priority for run in world.servers.runs[STREAMS:]
        ]
        self.assertTrue(second_ranks)
        self.assertEqual(sorted(second_ranks), second_ranks)


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
                            del self.world.routing_state.servers[engine]
                    end(second)
                    self.world.advance(3_000)
                    self.assertFalse(first.stopped)
                    if not begun:
                        first.begin()
                    first.send(4 * begun, 10)
                    first.end()
                    self.assertEqual(ALL_EVENTS, reply.body)
                    self.assertTrue(reply.whole)

    def test_first_event_decides_between_two_runs(self):
        """Guards against events that are lost or sent twice.

        Both runs deliver the event at which the first one stalled.
        """
        for begun in (True, False):
            for kept in (0, 1):
                with self.subTest(begun=begun, kept=kept):
                    self.setUp()
                    reply, *runs = self.start_second(begun)
                    begin = 4 * begun
                    for run in runs:
                        run.begin()
                        run.listener.handle_body(b'id: %d\nda' % begin)
                    runs[kept].listener.handle_body(b'ta: x\n\n')
                    runs[1 - kept].listener.handle_body(b'ta: x\n\n')
                    self.assertTrue(runs[1 - kept].stopped)
                    runs[kept].send(begin + 1, 10)
                    runs[kept].end()
                    self.assertEqual(ALL_EVENTS, reply.body)
                    self.assertTrue(reply.whole)
                    self.assertEqual({}, self.world.reserved.local)

    def test_end_without_an_event_decides_between_two_runs(self):
        """Guards against a complete stream that waits for another event."""
        reply, first, second = self.start_second()
        second.begin()
        second.end()
        self.assertTrue(reply.whole)
        self.assertTrue(first.stopped)
        self.assertEqual({}, self.world.reserved.local)

    def test_no_run_is_left_behind(self):
        """Guards against work for callers that have left."""
        ends = {
            'caller left': lambda reply: reply.leave(),
            'deadline': lambda reply: self.world.advance(21_000, 500),
        }
        for name, end in ends.items():
            with self.subTest(name):
                self.setUp()
                reply, first, second = self.start_second()
                end(reply)
                self.assertTrue(first.stopped)
                self.assertTrue(second.stopped)
                self.assertEqual({}, self.world.reserved.local)
                self.assertEqual(0, self.world.intake.in_flight)

    def test_second_run_goes_on_alone_when_the_first_one_breaks(self):
        """Guards against a third run while the second one is sound."""
        reply, first, second = self.start_second()
        first.end(ports.Completion.BROKEN)
        self.assertEqual(2, len(self.servers.runs))
        second.begin()
        second.send(4, 10)
        second.end()
        self.assertEqual(ALL_EVENTS, reply.body)
        self.assertTrue(reply.whole)

    def test_second_run_begins_at_another_engine(self):
        """Guards against two runs of a request that an engine can't tell."""
        del self.world.routing_state.servers['b-0']
        _, first, second = self.start_second()
        self.assertIs(first, second)
        self.assertFalse(first.stopped)

    def test_request_has_at_most_two_runs(self):
        """Guards against a run more for each stall of a request."""
        self.world.add_replica('c')
        self.allow_attempts(5)
        _, first, second = self.start_second()
        self.world.clock.advance(STALL_MS)
        (in_flight,) = self.world.streams.in_flight_requests
        self.world.streams.fail_over(in_flight, 'engine_lost')
        third = self.servers.last
        self.assertEqual(3, len(self.servers.runs))
        self.assertEqual(
            [False, True, False],
            [run.stopped for run in (first, second, third)],
        )

    def allow_attempts(self, attempts):
        """Let routes of streams allow a number of runs."""
        configuration = self.world.routing_state.configuration
        routes = [
            attrs.evolve(route, attempts=attempts)
            for routes in configuration.routes.values()
            for route in routes
        ]
        self.world.routing_state.configuration = attrs.evolve(
            configuration, routes=routing.group_routes(routes)
        )

    def test_suspect_gets_no_second_run(self):
        """Guards against a crash of two engines by one request."""
        for named in ('request', 'part'):
            with self.subTest(named):
                self.setUp()
                reply = self.world.serve(prompt_parts=('aa',))
                (in_flight,) = self.world.streams.in_flight_requests
                exchange = in_flight.exchange
                name = exchange.fingerprint
                if named == 'part':
                    (name,) = exchange.parts
                for target in ('t1', 't2'):
                    self.world.quarantine.record_crash(
                        target, frozenset({name})
                    )
                self.world.clock.advance(STALL_MS)
                self.world.streams.fail_over(in_flight, 'engine_lost')
                self.assertEqual(1, len(self.servers.runs))
                self.assertIsNone(reply.status)
