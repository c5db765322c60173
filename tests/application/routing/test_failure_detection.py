"""Tests of stalled streams, and of lost or slow engines."""

from __future__ import annotations

import asyncio
import random
import unittest

from tests.application.routing import builders
from tests.domain.fleet import builders as fleet_builders
from thornspool.application.routing import failure_detection
from thornspool.application.routing import ports
from thornspool.domain.paths import stalls

ALL_EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(10))


class FailureDetectionTest(unittest.IsolatedAsyncioTestCase):
    """An engine in the middle of a path stops responding.

    Its neighbours wait for it for seconds before they report it, and callers
    have abandoned their streams by then.
    """

    async def asyncSetUp(self):
        self.world = builders.World()
        self.servers = self.world.servers
        self.reply = self.world.serve()
        self.run = self.servers.last
        self.run.begin()
        self.run.send(0, 3)
        self.first = self.run.run.hops[0].server
        self.middle = self.run.run.hops[1].server
        for name in self.world.routing_state.servers:
            self.servers.reports[name] = ports.EngineReport(
                1, False, 1.0, 1, ()
            )

    async def pass_time(self, milliseconds):
        for _ in range(0, milliseconds, 100):
            self.world.advance(100, look=True)
            self.world.failure_detector.tick()
            for _ in range(8):
                await run_ready_tasks()

    def report_stalled_by(self, server):
        self.servers.reports[self.first.id] = ports.EngineReport(
            1,
            False,
            1.0,
            1,
            (ports.StalledRequest('request-1', server.address),),
        )

    async def test_first_engine_is_probed_and_stream_resumes(self):
        self.report_stalled_by(self.middle)
        await self.pass_time(700)
        path = [hop.server.id for hop in self.run.run.hops]
        self.assertEqual(path, self.servers.probed[: len(path)])
        self.assertIn(self.middle.id, self.world.routing_state.suspicions)
        second = self.servers.last
        self.assertEqual('2', second.run.resume_after)
        self.assertNotIn(
            self.middle.id, [hop.server.id for hop in second.run.hops]
        )
        self.assertFalse(self.run.stopped)
        second.begin()
        second.send(3, 4)
        self.assertTrue(self.run.stopped)

    async def test_probe_that_fails_does_not_hide_lost_engines(self):
        """Guards against one engine whose answer ends the probes of others."""
        lost = self.middle
        odd = self.first
        del self.servers.reports[lost.id]
        probe = self.servers.probe

        async def fail_for_one(server, wait_ms=ports.REPORT_MS):
            if server.id == odd.id:
                raise RecursionError
            await asyncio.sleep(0)
            return await probe(server, wait_ms)

        self.servers.probe = fail_for_one
        await self.world.failure_detector._probe_suspicious([odd, lost])
        self.assertIn(lost.id, self.world.routing_state.suspicions)
        self.assertNotIn(odd.id, self.world.routing_state.suspicions)

    async def test_stream_leaves_an_unresponsive_first_engine(self):
        del self.servers.reports[self.first.id]
        await self.pass_time(700)
        self.assertIn(self.first.id, self.world.routing_state.suspicions)
        self.assertIsNot(self.run, self.servers.last)

    async def test_stream_runs_at_most_as_often_as_its_route_allows(
        self,
    ):
        """Guards against more runs than the route's attempts.

        Engines in the middle of a stream's paths are lost one after another.
        """
        for name in ('a', 'b'):
            self.world.add(
                fleet_builders.build_engine(f'{name}-7', 'large', 27, 54)
            )
        for name in self.world.routing_state.servers:
            self.servers.reports[name] = ports.EngineReport(
                1, False, 1.0, 1, ()
            )
        for _ in range(2):
            last = self.servers.last
            first, middle = (hop.server for hop in last.run.hops[:2])
            last.begin()
            self.servers.reports[first.id] = ports.EngineReport(
                1,
                False,
                1.0,
                1,
                (ports.StalledRequest('request-1', middle.address),),
            )
            await self.pass_time(900)
        self.assertEqual(2, len(self.servers.runs))
        self.assertEqual(1, len(self.servers.reroutes))

    async def test_stream_without_retries_is_rerouted(self):
        """Guards against a lost stream on a route that allows a single run.

        An engine in the middle of its path is lost.
        """
        reply = self.world.serve('/once/x', number=2)
        run = self.servers.last
        run.begin()
        run.send(0, 3)
        first, middle = (hop.server for hop in run.run.hops[:2])
        spare = fleet_builders.build_engine(
            f'{first.failure_domain}-7', 'large', 27, 54
        )
        self.world.add(spare)
        self.servers.reports[spare.id] = ports.EngineReport(
            1, False, 1.0, 1, ()
        )
        self.servers.reports[first.id] = ports.EngineReport(
            1,
            False,
            1.0,
            1,
            (ports.StalledRequest('request-2', middle.address),),
        )
        await self.pass_time(700)
        (hops,) = (
            hops
            for request, hops in self.servers.reroutes
            if request == 'request-2'
        )
        self.assertEqual(first, hops[0].server)
        self.assertNotIn(middle, [hop.server for hop in hops])
        run.send(3, 10)
        run.end()
        self.assertEqual(ALL_EVENTS, reply.body)

    async def test_only_the_lost_engine_of_a_path_is_replaced(self):
        """Guards against a crash that uses up a retry for each stream."""
        spare = fleet_builders.build_engine(
            f'{self.first.failure_domain}-7', 'large', 27, 54
        )
        self.world.add(spare)
        self.servers.reports[spare.id] = ports.EngineReport(
            1, False, 1.0, 1, ()
        )
        self.report_stalled_by(self.middle)
        await self.pass_time(500)
        ((request, hops),) = self.servers.reroutes
        self.assertEqual('request-1', request)
        before = [hop.server.id for hop in self.run.run.hops]
        self.assertEqual(
            [before[0], spare.id, before[2]],
            [hop.server.id for hop in hops],
        )
        self.assertFalse(self.run.stopped)
        self.run.send(3, 10)
        self.run.end()
        self.assertEqual(ALL_EVENTS, self.reply.body)
        self.assertEqual(1, len(self.servers.runs))

    async def test_path_changes_again_after_a_second_loss(self):
        """Guards against a new run after a second engine of a path is lost."""
        domain = self.first.failure_domain
        for name, first, end in (('7', 27, 54), ('8', 54, 80)):
            one = fleet_builders.build_engine(
                f'{domain}-{name}', 'large', first, end
            )
            self.world.add(one)
            self.servers.reports[one.id] = ports.EngineReport(
                1, False, 1.0, 1, ()
            )
        last = self.run.run.hops[2].server
        self.world.advance(200)
        for server in (self.middle, last):
            self.world.routing_state.suspect(server.id, 'no_report', 200)
            await self.pass_time(25)
        self.assertEqual(2, len(self.servers.reroutes))
        self.assertEqual(
            [self.first.id, f'{domain}-7', f'{domain}-8'],
            [hop.server.id for hop in self.servers.reroutes[-1][1]],
        )
        self.assertEqual(1, len(self.servers.runs))

    async def test_run_without_an_answer_is_retried(self):
        self.world.serve(number=2)
        second = self.servers.last
        middle = second.run.hops[1].server
        self.world.add(
            fleet_builders.build_engine(
                f'{middle.failure_domain}-7', 'large', 27, 54
            )
        )
        self.world.advance(500)
        self.world.routing_state.suspect(middle.id, 'no_report', 500)
        await self.pass_time(100)
        third = self.servers.last
        self.assertIsNot(second, third)
        third.begin()
        third.send(0, 1)
        self.assertTrue(second.stopped)
        self.assertNotIn(
            'request-2', [request for request, _ in self.servers.reroutes]
        )

    async def test_stream_resumes_in_a_new_run_when_rerouting_fails(self):
        """Guards against a stalled stream after a refused path change."""
        spare = fleet_builders.build_engine(
            f'{self.first.failure_domain}-7', 'large', 27, 54
        )
        self.world.add(spare)
        self.servers.reports[spare.id] = ports.EngineReport(
            1, False, 1.0, 1, ()
        )
        self.servers.reroute_result = ports.OrderResult.CONFLICT
        self.report_stalled_by(self.middle)
        await self.pass_time(500)
        self.assertEqual(1, len(self.servers.reroutes))
        self.assertEqual('2', self.servers.last.run.resume_after)
        self.servers.last.begin()
        self.servers.last.send(3, 4)
        self.assertTrue(self.run.stopped)

    async def test_stream_without_another_path_stays(self):
        """Guards against cut streams when no failure domain has a path left.

        All engines of one domain are suspected, and one of the other.
        """
        for name in ('b-0', 'b-1', 'b-2'):
            self.world.routing_state.suspect(name, 'not_reached', 0)
        self.report_stalled_by(self.middle)
        await self.pass_time(1_900)
        self.assertIn(self.middle.id, self.world.routing_state.suspicions)
        self.assertFalse(self.reply.aborted)
        self.assertFalse(self.run.stopped)

    async def test_started_stream_stays_without_retry_budget(self):
        """Guards against a cut stream when no retry is left."""
        while self.world.budget.acquire('drafting', urgent=True):
            pass
        self.report_stalled_by(self.middle)
        await self.pass_time(1_900)
        self.assertFalse(self.reply.aborted)
        self.assertFalse(self.run.stopped)
        self.run.send(3, 10)
        self.run.end()
        self.assertEqual(ALL_EVENTS, self.reply.body)

    async def test_a_slow_engine_is_not_suspected(self):
        self.servers.reports[self.first.id] = ports.EngineReport(
            1, False, 3.0, 1, ()
        )
        await self.pass_time(900)
        self.assertEqual({}, self.world.routing_state.suspicions)
        self.assertEqual(1, len(self.servers.runs))
        now = self.world.clock.now()
        factor = self.world.routing_state.slowdowns.get(self.first.id, now)
        self.assertEqual(3.0, factor)

    async def test_requests_avoid_a_slow_engine(self):
        """Guards against requests to an engine that is many times slower.

        It answers without errors, so it is never suspected.
        """
        slow = self.middle
        self.servers.reports[slow.id] = ports.EngineReport(
            1, False, 24.0, 1, ()
        )
        self.world.serve(number=2)
        await self.pass_time(300)
        now = self.world.clock.now()
        self.assertEqual(
            24.0, self.world.routing_state.slowdowns.get(slow.id, now)
        )
        self.assertEqual({}, self.world.routing_state.suspicions)
        for number in range(3, 9):
            self.world.serve(number=number)
            hops = self.servers.last.run.hops
            self.assertNotIn(slow.id, [hop.server.id for hop in hops])

    async def test_slow_engine_is_probed_again_and_recovers(self):
        self.servers.reports[self.middle.id] = ports.EngineReport(
            1, False, 12.0, 1, ()
        )
        await self.pass_time(300)
        self.run.send(3, 10)
        self.run.end()
        self.servers.reports[self.middle.id] = ports.EngineReport(
            1, False, 1.0, 1, ()
        )
        await self.pass_time(3_300)
        now = self.world.clock.now()
        self.assertEqual(
            1.0, self.world.routing_state.slowdowns.get(self.middle.id, now)
        )

    async def test_engines_that_slow_down_together_are_found_together(self):
        """Guards against slow engines that are found one after another."""
        for name in (self.middle.id, 'b-1', 'b-2'):
            self.servers.reports[name] = ports.EngineReport(
                1, False, 12.0, 1, ()
            )
        await self.pass_time(600)
        now = self.world.clock.now()
        for name in ('b-1', 'b-2'):
            self.assertEqual(
                12.0, self.world.routing_state.slowdowns.get(name, now)
            )
        self.assertLess(len(self.servers.probed), 30)

    async def test_crashed_engine_of_a_path_is_found_early(self):
        """Guards against late detection of a crash in the middle of a path."""
        del self.servers.reports[self.middle.id]
        await self.pass_time(300)
        self.assertIn(self.middle.id, self.world.routing_state.suspicions)
        self.assertEqual('2', self.servers.last.run.resume_after)

    async def test_lost_engine_named_in_a_refusal_is_suspected(self):
        """Guards against requests to a lost engine during a store outage.

        The server list still contains the engine.
        """
        del self.servers.reports[self.middle.id]
        self.world.serve(number=2)
        self.servers.last.refuse(fault=self.middle.address)
        await self.pass_time(100)
        self.assertIn(self.middle.id, self.world.routing_state.suspicions)

    async def test_live_engine_named_in_a_refusal_is_not_suspected(self):
        """Guards against suspicion of an engine that is short of memory."""
        self.world.serve(number=2)
        self.servers.last.refuse(fault=self.middle.address)
        await self.pass_time(100)
        self.assertIn(self.middle.id, self.servers.probed)
        self.assertEqual({}, self.world.routing_state.suspicions)

    async def test_answer_that_is_read_late_suspects_no_engine(self):
        """Guards against suspicions from answers that are read too late.

        The event loop is busy, as many streams are retried at once.
        """
        del self.servers.reports[self.first.id]
        probe = self.servers.probe

        async def answer_late_probe(server, wait_ms=ports.REPORT_MS):
            self.world.clock.advance(wait_ms + 100)
            return await probe(server, wait_ms)

        self.servers.probe = answer_late_probe
        await self.pass_time(700)
        self.assertIn(self.first.id, self.servers.probed)
        self.assertNotIn(self.first.id, self.world.routing_state.suspicions)

    async def test_reported_suspicions_allow_no_extra_run(self):
        """Guards against extra runs after mistaken reports of a peer.

        The peer suspects the first engines of two paths in turn.
        """
        third = fleet_builders.build_engine('a-8', 'large', 0, 27)
        self.world.add(third)
        self.servers.reports[third.id] = self.servers.reports[self.first.id]
        for _ in range(2):
            (in_flight,) = self.world.streams.in_flight_requests
            self.servers.last.begin()
            self.world.routing_state.suspect(
                in_flight.current.first_server.id,
                'told_by_one',
                self.world.clock.now(),
                reporter='one',
            )
            await self.pass_time(900)
        self.assertEqual(2, len(self.servers.runs))

    async def test_probes_for_late_streams_are_bounded(self):
        """Guards against unlimited probes when every stream is late."""
        for number in range(2, 40):
            self.world.serve(number=number)
        await self.pass_time(3_000)
        probes = len(self.servers.probed)
        engines = len(self.world.routing_state.servers)
        self.assertLess(probes, 12 + 3 * engines + 3 * 6)

    async def test_stalled_request_stays_without_retry_budget(self):
        """Guards against refusal of a stalled request without a retry left.

        Nothing has arrived for 1.5 s, and the retry budget is used up.
        """
        reply = self.world.serve(number=2)
        while self.world.budget.acquire('drafting'):
            pass
        await self.pass_time(2_000)
        self.assertIsNone(reply.status)
        run = next(
            one
            for one in self.servers.runs
            if one.run.request.id == 'request-2'
        )
        self.assertFalse(run.stopped)

    async def test_suspended_host_suspects_no_engine(self):
        """Guards against suspicions after the entry's host was suspended."""
        self.world.failure_detector.tick()
        self.world.clock.advance(5_000)
        self.world.failure_detector.tick()
        await run_ready_tasks()
        self.assertEqual([], self.servers.probed)
        self.assertEqual({}, self.world.routing_state.suspicions)


class SharedStallTest(unittest.IsolatedAsyncioTestCase):
    """Forty streams run through one chain of engines."""

    async def asyncSetUp(self):
        self.world = builders.World()
        self.servers = self.world.servers
        self.replies = [self.world.serve(number=one) for one in range(40)]
        self.runs = list(self.servers.runs)
        for name in self.world.routing_state.servers:
            self.servers.reports[name] = ports.EngineReport(
                1, False, 1.0, 1, ()
            )
        for run in self.runs:
            run.begin()
        await self.stream(1_000)

    async def stream(self, milliseconds, pause_ms=40):
        """Deliver an event to all first runs every few milliseconds."""
        for number in range(milliseconds // pause_ms):
            for run in self.runs:
                run.send(number, number + 1)
            await self.pass_time(pause_ms, step=20)

    async def pass_time(self, milliseconds, step=25):
        for _ in range(0, milliseconds, step):
            self.world.advance(step, step, look=True)
            for _ in range(6):
                await run_ready_tasks()

    def list_runs_through(self, name):
        return [
            run
            for run in self.runs
            if name in [hop.server.id for hop in run.run.hops]
        ]

    async def test_streams_leave_a_crashed_engine_within_130_ms(self):
        """Guards against streams that each wait for an unusual idle time."""
        through = self.list_runs_through('a-1')
        self.assertGreater(len(through), 10)
        del self.servers.reports['a-1']
        began = self.world.clock.now()
        for _ in range(20):
            if 'a-1' in self.world.routing_state.suspicions:
                break
            for run in self.runs:
                if run not in through:
                    run.send(30, 31)
            await self.pass_time(25)
        await self.pass_time(25)
        self.assertLessEqual(self.world.clock.now() - began, 130)
        resumed = self.servers.runs[len(self.runs) :]
        self.assertEqual(
            {run.run.request.id for run in through},
            {run.run.request.id for run in resumed},
        )
        for run in resumed:
            self.assertNotIn('a-1', [hop.server.id for hop in run.run.hops])
            run.begin()
            run.send(40, 41)
        self.assertTrue(all(run.stopped for run in through))
        self.assertEqual(['a-1'], list(self.world.routing_state.suspicions))

    async def test_slow_engine_is_not_suspected(self):
        """Guards against streams that are rerouted again and again."""
        self.servers.reports['a-1'] = ports.EngineReport(1, False, 12.0, 1, ())
        await self.stream(2_000, pause_ms=200)
        self.assertEqual({}, self.world.routing_state.suspicions)
        self.assertEqual(40, len(self.servers.runs))

    async def test_no_engine_is_probed_while_streams_progress(self):
        await self.stream(1_000)
        self.assertEqual([], self.servers.probed)

    async def test_one_lost_probe_suspects_no_engine(self):
        """Guards against exclusion of a healthy engine after packet loss."""
        probe = self.servers.probe
        dropped = set()

        async def drop_first(server, wait_ms=ports.REPORT_MS):
            if server.id not in dropped:
                dropped.add(server.id)
                self.world.clock.advance(wait_ms)
                return None
            return await probe(server, wait_ms)

        self.servers.probe = drop_first
        await self.pass_time(100)
        self.assertTrue(dropped)
        self.assertEqual({}, self.world.routing_state.suspicions)

    async def test_delayed_check_sends_no_probe(self):
        """Guards against suspicion of all engines by a busy host."""
        self.world.clock.advance(300)
        self.world.failure_detector.check_idle_streams()
        await run_ready_tasks()
        self.assertEqual([], self.servers.probed)


class _StallCase(unittest.IsolatedAsyncioTestCase):
    """Streams over the same engines whose event interval is known."""

    streams = 1

    async def asyncSetUp(self):
        self.world = builders.World()
        self.servers = self.world.servers
        for number in range(self.streams):
            self.world.serve(number=number)
        self.runs = list(self.servers.runs)
        self.run = self.runs[0]
        self.names = [hop.server.id for hop in self.run.run.hops]
        for name in self.world.routing_state.servers:
            self.servers.reports[name] = ports.EngineReport(
                1, False, 1.0, 1, ()
            )
        for run in self.runs:
            self.assertEqual(
                self.names, [hop.server.id for hop in run.run.hops]
            )
            run.begin()
        for number in range(20):
            for run in self.runs:
                run.send(number, number + 1)
            await self.pass_time(50)

    async def pass_time(self, milliseconds, step=25):
        for _ in range(0, milliseconds, step):
            self.world.advance(step, step, look=True)
            for _ in range(6):
                await run_ready_tasks()


class ProbesTest(_StallCase):
    """Streams over the same engines stall, and these are probed together."""

    streams = stalls.MIN_STALLED_STREAMS

    async def test_lost_probe_is_sent_again(self):
        """Guards against exclusion of a healthy engine after packet loss."""
        probe = self.servers.probe
        probe_timeouts = []

        async def drop_first(server, wait_ms=ports.REPORT_MS):
            if server.id == self.names[1]:
                probe_timeouts.append(wait_ms)
                if len(probe_timeouts) == 1:
                    self.world.clock.advance(wait_ms)
                    return None
            return await probe(server, wait_ms)

        self.servers.probe = drop_first
        await self.pass_time(125)
        self.assertEqual(2, len(probe_timeouts))
        self.assertEqual({}, self.world.routing_state.suspicions)

    async def probe_unresponsive(self, unresponsive):
        """Leave probes of some engines unanswered until they time out."""

        async def hang(server, wait_ms=ports.REPORT_MS):
            if server.id in unresponsive:
                await asyncio.sleep(wait_ms / 1_000)
                return None
            return self.servers.reports[server.id]

        self.servers.probe = hang
        await self.pass_time(50)
        await asyncio.sleep(0.2)

    async def test_unresponsive_engine_among_live_ones_is_suspected(self):
        await self.probe_unresponsive({self.names[1]})
        self.assertEqual(
            {self.names[1]}, set(self.world.routing_state.suspicions)
        )

    async def test_unanswered_short_probes_allow_no_extra_run(self):
        """Guards against a third run after a busy host missed an answer."""
        first = self.names[0]
        await self.probe_unresponsive({first})
        self.assertIn(first, self.world.routing_state.suspicions)
        server = self.world.routing_state.servers[first]
        self.assertFalse(self.world.crashes.has_ended(server))
        for run in self.servers.runs[len(self.runs) :]:
            run.end(ports.Completion.BROKEN)
        self.assertEqual(2 * len(self.runs), len(self.servers.runs))

    async def test_late_timeout_on_a_busy_host_suspects_no_engine(self):
        """Guards against exclusion of healthy engines by a delayed entry."""
        probe = self.servers.probe

        async def answer_late(server, wait_ms=ports.REPORT_MS):
            if server.id != self.names[1]:
                return await probe(server, wait_ms)
            await asyncio.sleep(wait_ms / 1_000)
            self.world.clock.advance(wait_ms + 10)
            return None

        self.servers.probe = answer_late
        await self.pass_time(50)
        await asyncio.sleep(0.2)
        self.assertEqual({}, self.world.routing_state.suspicions)

    async def test_busy_entry_suspects_no_engine(self):
        """Guards against losses that only the own backlog shows."""
        started = asyncio.ensure_future(
            self.probe_unresponsive({self.names[1]})
        )
        await asyncio.sleep(0.01)
        self.world.clock.advance(failure_detection.MAX_CHECK_DELAY_MS + 1)
        self.world.failure_detector.check_idle_streams()
        await started
        self.assertEqual({}, self.world.routing_state.suspicions)

    async def test_isolated_host_suspects_no_engine(self):
        """Guards against exclusion of a path by all for one isolated host."""
        self.world.isolate()
        await self.probe_unresponsive(set(self.names))
        self.assertEqual({}, self.world.routing_state.suspicions)


class SingleStreamTest(_StallCase):
    """An entry of a large fleet that has one stream at a time."""

    async def test_stall_of_a_single_stream_probes_its_engines(self):
        """Guards against crashes that only several stalled streams reveal."""
        lost = self.names[1]
        del self.servers.reports[lost]
        await self.pass_time(150)
        self.assertEqual([lost], list(self.world.routing_state.suspicions))
        self.assertIsNot(self.run, self.servers.last)
        self.servers.last.begin()
        self.servers.last.send(20, 21)
        self.assertTrue(self.run.stopped)

    async def test_no_engine_is_probed_while_the_stream_progresses(self):
        self.assertEqual([], self.servers.probed)

    async def test_lost_engine_is_announced_at_once(self):
        """Guards against stalls until the next periodic state update."""
        announced = []
        routing_state = self.world.routing_state
        failure_detector = failure_detection.FailureDetector(
            self.world.clock,
            routing_state,
            self.world.streams,
            self.world.evidence,
            random.Random(1),
            lambda: 1,
            lambda: announced.append(list(routing_state.unreported_suspects)),
        )
        self.world.failure_detector = failure_detector
        lost = self.names[1]
        del self.servers.reports[lost]
        await self.pass_time(150)
        self.assertIn([lost], announced)

    async def test_overdue_stream_leaves_an_engine_suspected_by_a_peer(self):
        """Guards against a wait for the entry's own evidence of the loss."""
        self.run.send(20, 21)
        now = self.world.clock.now()
        self.world.routing_state.suspect(self.names[1], 'told_by_b', now, 'b')
        self.world.clock.advance(50)
        self.world.failure_detector.reroute_from_suspects()
        self.assertIs(self.run, self.servers.last)
        self.world.clock.advance(20)
        self.world.failure_detector.reroute_from_suspects()
        self.assertIsNot(self.run, self.servers.last)
        self.servers.last.begin()
        self.servers.last.send(21, 22)
        self.assertTrue(self.run.stopped)


async def run_ready_tasks():
    """Run tasks that are ready."""
    await asyncio.sleep(0)
