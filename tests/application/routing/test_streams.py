"""Tests of model requests on paths that break."""

from __future__ import annotations

import unittest

import attrs

from tests.application.routing import builders
from tests.domain.fleet import builders as fleet_builders
from thornspool.application.routing import ports
from thornspool.application.routing import streams
from thornspool.domain.routing import messages as routing

ALL_EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(10))


class StreamTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def test_stream_is_passed_on_completely(self):
        reply = self.world.serve()
        run = self.servers.last
        self.assertEqual('north', run.run.workspace)
        self.assertEqual(80, run.run.hops[-1].end)
        run.begin()
        run.send(0, 10)
        run.end()
        self.assertEqual(
            (200, ALL_EVENTS, True), (reply.status, reply.body, reply.whole)
        )
        self.assertEqual({}, self.world.reserved.local)

    def test_broken_stream_resumes_after_its_last_complete_event(self):
        """Guards against lost or repeated events after an engine crash.

        The engine crashes in the middle of an event.
        """
        reply = self.world.serve()
        first = self.servers.last
        first.begin()
        first.send(0, 4)
        first.listener.handle_body(b'id: 4\nda')
        first.end(ports.Completion.BROKEN)
        second = self.servers.last
        self.assertIsNot(first, second)
        self.assertEqual('3', second.run.resume_after)
        self.assertNotEqual(first.run.server, second.run.server)
        second.begin()
        second.send(4, 10)
        second.end()
        self.assertEqual(ALL_EVENTS, reply.body)
        self.assertTrue(reply.whole)

    def test_answer_that_ends_inside_an_event_is_retried(self):
        reply = self.world.serve()
        first = self.servers.last
        first.begin()
        first.send(0, 4)
        first.listener.handle_body(b'id: 4\nda')
        first.end()
        self.assertFalse(reply.whole)
        self.assertIsNot(first, self.servers.last)

    def test_stream_that_may_not_resume_is_cut(self):
        """Guards against a second run on a route that allows a single one."""
        reply = self.world.serve('/once/x')
        run = self.servers.last
        run.begin()
        run.send(0, 4)
        run.end(ports.Completion.BROKEN)
        self.assertEqual(1, len(self.servers.runs))
        self.assertTrue(reply.aborted)
        self.assertFalse(reply.whole)

    def test_run_with_unknown_outcome_is_answered_with_502(self):
        """Guards against a 503, which says that the request has not run.

        The engine of a stream that may run once crashes before its first
        event.
        """
        reply = self.world.serve('/once/x')
        self.servers.last.end(ports.Completion.BROKEN)
        self.assertEqual(502, reply.status)
        self.assertEqual(1, len(self.servers.runs))

    def test_success_without_a_signature_is_rejected(self):
        """Guards against answers of another process at an engine's address."""
        reply = self.world.serve('/once/x')
        run = self.servers.last
        run.begin(is_authentic=False)
        run.send(0, 10)
        run.end()
        self.assertEqual(502, reply.status)

    def test_refused_request_is_not_retried_at_the_same_engine(self):
        """Guards against retries at an engine that has dropped its layers.

        The server list still shows the layers.
        """
        reply = self.world.serve()
        refused = set()
        for _ in range(3):
            run = self.servers.last
            self.assertNotIn(run.run.server.id, refused)
            refused.add(run.run.server.id)
            run.refuse(421)
            if reply.whole:
                break
        self.assertLessEqual(len(self.servers.runs), 3)

    def test_refusing_engine_is_excluded_for_all_requests(self):
        """Guards against further requests to an engine without free memory.

        It has dropped layers, but their memory is released seconds later.
        """
        self.world.serve(number=0)
        refusing = self.servers.last.run.hops[1].server
        self.servers.last.refuse(503, refusing.address)
        for number in range(1, 6):
            self.world.serve(number=number)
            hops = self.servers.last.run.hops
            self.assertNotIn(refusing.id, [hop.server.id for hop in hops])

    def test_refusal_of_a_large_request_causes_no_backoff(self):
        self.world.serve(number=0, prompt_tokens=2_200.0)
        refusing = self.servers.last.run.hops[1].server
        self.servers.last.refuse(503, refusing.address)
        now = self.world.clock.now()
        self.assertFalse(
            self.world.routing_state.refusals.is_refusing(refusing.id, now)
        )

    def test_requests_wait_rather_than_cross_failure_domains(self):
        """Guards against overloaded links between failure domains.

        One engine of each domain refuses requests for a moment.
        """
        configuration = self.world.routing_state.configuration
        model = fleet_builders.build_model(
            activation_bytes=59_000.0, pipe_mbps=100.0
        )
        services = {
            **configuration.services,
            'drafting': routing.Service('drafting', model),
        }
        self.world.routing_state.configuration = attrs.evolve(
            configuration, services=services
        )
        now = self.world.clock.now()
        for name in ('a-0', 'b-1'):
            self.world.routing_state.refusals.record(name, now)
        for number in range(20):
            self.world.serve(number=number)
        crossed = len(self.servers.runs)
        self.assertLess(crossed, 4)
        self.world.advance(400)
        self.assertEqual(20, len(self.servers.runs))

    def test_requests_wait_while_all_engines_refuse(self):
        """Guards against sends while all engines are out of memory."""
        self.world.serve(number=0)
        for _ in range(2):
            run = self.servers.last
            run.refuse(503, run.run.hops[1].server.address)
        sent = len(self.servers.runs)
        late = self.world.serve(number=1)
        self.assertIsNone(late.status)
        self.assertEqual(sent, len(self.servers.runs))
        self.world.advance(400)
        self.assertGreater(len(self.servers.runs), sent)

    def test_misdirected_request_is_refused_at_once(self):
        reply = self.world.serve()
        self.servers.last.refuse(421)
        self.servers.last.refuse(421)
        self.assertEqual(503, reply.status)
        self.assertIsNotNone(reply.retry_after_ms)

    def test_request_refused_by_full_engines_is_retried_later(self):
        reply = self.world.serve()
        self.servers.last.refuse()
        self.servers.last.refuse()
        self.world.advance(500)
        self.assertEqual(2, len(self.servers.runs))
        self.assertIsNone(reply.status)
        self.world.advance(300)
        self.assertEqual(3, len(self.servers.runs))

    def test_request_without_a_path_is_refused_at_once(self):
        """Guards against a wait when no failure domain holds all layers."""
        for number in ('a-1', 'b-1'):
            del self.world.routing_state.servers[number]
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertEqual('not_covered', reply.reason)
        self.assertGreater(reply.retry_after_ms, 0)

    def test_caller_that_disconnects_ends_its_run(self):
        """Guards against runs and reservations of disconnected callers."""
        reply = self.world.serve()
        run = self.servers.last
        run.begin()
        reply.leave()
        self.assertTrue(run.stopped)
        self.assertEqual({}, self.world.reserved.local)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_request_past_its_deadline_is_answered_with_504(self):
        reply = self.world.serve(timeout_ms=1_000)
        self.world.advance(1_100)
        self.assertEqual(504, reply.status)
        self.assertTrue(self.servers.last.stopped)

    def test_late_output_of_an_abandoned_run_is_dropped(self):
        """Guards against output of an abandoned run in the answer.

        The run that did not go on first continues after it was ended.
        """
        for late in (0, 1):
            with self.subTest(late=late):
                self.setUp()
                reply = self.world.serve()
                first = self.servers.last
                first.begin()
                first.send(0, 3)
                first.listener.handle_body(b'id: 3\nda')
                in_flight = next(iter(self.world.streams.in_flight_requests))
                self.world.streams.fail_over(in_flight, 'silent')
                second = self.servers.last
                second.begin()
                self.assertFalse(first.stopped)
                runs = [first, second]
                abandoned, kept = runs[late], runs[1 - late]
                if kept is first:
                    kept.listener.handle_body(b'ta: x\n\n')
                    kept.send(4, 5)
                else:
                    kept.send(3, 5)
                self.assertTrue(abandoned.stopped)
                self.assertFalse(kept.stopped)
                abandoned.send(3, 8)
                abandoned.end(ports.Completion.BROKEN)
                kept.send(5, 10)
                kept.end()
                self.assertEqual(ALL_EVENTS, reply.body)
                self.assertTrue(reply.whole)
                self.assertEqual({}, self.world.reserved.local)

    def test_retries_are_limited_by_the_budget(self):
        """Guards against unlimited retries when every engine fails."""
        self.world = builders.World(slack=2.0)
        servers = self.world.servers
        replies = [self.world.serve(number=number) for number in range(20)]
        handled = 0
        for _ in range(200):
            while handled < len(servers.runs):
                handled += 1
                servers.runs[handled - 1].end(ports.Completion.BROKEN)
            self.world.advance(25)
        self.assertTrue(all(one.whole for one in replies))
        self.assertLessEqual(len(servers.runs), 20 + 2 + 0.2 * 20)

    def test_retries_are_reserved_for_started_streams(self):
        """Guards against a cut stream when refused requests use up the budget.

        Engines drop layers and refuse hundreds of new requests.
        """
        self.world = builders.World(slack=10.0)
        servers = self.world.servers
        reply = self.world.serve(number=0)
        first = servers.last
        first.begin()
        first.send(0, 4)
        for number in range(1, 20):
            self.world.serve(number=number)
            for _ in range(3):
                servers.last.refuse()
        first.end(ports.Completion.BROKEN)
        self.assertFalse(reply.aborted)
        self.world.advance(streams.MAX_QUEUE_MS - 100)
        resumed = [one.run.resume_after for one in servers.runs]
        self.assertIn('3', resumed)

    def test_broken_stream_waits_for_a_retry(self):
        """Guards against a cut stream when no retry is left for a moment."""
        self.world = builders.World(slack=3.0)
        servers = self.world.servers
        while self.world.budget.acquire('drafting', urgent=True):
            pass
        self.world.advance(9_000)
        reply = self.world.serve()
        servers.last.begin()
        servers.last.send(0, 4)
        servers.last.end(ports.Completion.BROKEN)
        self.assertFalse(reply.aborted)
        self.assertEqual(1, len(servers.runs))
        self.world.advance(1_200)
        self.assertEqual(2, len(servers.runs))
        self.assertEqual('3', servers.last.run.resume_after)

    def test_requests_to_full_engines_wait_and_are_then_refused(self):
        """Guards against immediate refusals and unlimited waits.

        There are more requests than the engines have memory for.
        """
        replies = []
        for number in range(2_000):
            reply = self.world.serve(number=number)
            replies.append(reply)
            if len(self.servers.runs) <= number:
                break
        self.assertIsNone(replies[-1].status)
        done = self.servers.runs[0]
        done.begin()
        done.end()
        self.world.advance(25)
        self.assertEqual(len(replies), len(self.servers.runs))
        late = self.world.serve(number=9_999)
        self.world.advance(streams.MAX_QUEUE_MS + 50)
        self.assertEqual(503, late.status)
        self.assertEqual('no_room', late.reason)

    def test_draining_entry_accepts_only_streams_that_end_in_time(self):
        """Guards against streams that are cut by the end of a draining entry.

        Callers with a cached address still connect to it.
        """
        self.world.streams.set_shutdown_time(self.world.clock.now() + 5_000)
        short = self.world.serve(number=1, output_tokens=50.0)
        long = self.world.serve(number=2, output_tokens=4_000.0)
        self.assertIsNone(short.status)
        self.assertEqual((503, 'draining'), (long.status, long.reason))
        self.assertEqual(1, len(self.servers.runs))

    def test_urgent_requests_get_free_capacity_first(self):
        for number in range(2_000):
            self.world.serve(number=number)
            if len(self.servers.runs) <= number:
                break
        plain = builders.serve_with_priority(self.world, 5, 'plain')
        urgent = builders.serve_with_priority(self.world, 0, 'urgent')
        for run in self.servers.runs[:2]:
            run.begin()
            run.end()
        self.world.advance(25)
        started = [run.run.request.id for run in self.servers.runs[-2:]]
        self.assertIn('urgent', started)
        self.assertIsNone(plain.status)
        self.assertIsNone(urgent.status)


class OutlierTest(unittest.TestCase):
    """Engines reset connections while their health checks pass."""

    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def play(self, faulty, seconds=10, per_s=20):
        """Send requests at a steady rate; return replies and resets.

        Engines in `faulty` reset every run before they answer; others serve it
        at once.
        """
        replies, resets, handled = [], 0, 0
        for number in range(seconds * per_s):
            replies.append(self.world.serve(number=number))
            while handled < len(self.servers.runs):
                run = self.servers.runs[handled]
                handled += 1
                if run.run.server.id in faulty:
                    resets += 1
                    run.end(ports.Completion.BROKEN)
                else:
                    run.begin()
                    run.send(0, 10)
                    run.end()
            self.world.advance(1_000 // per_s)
        return replies, resets

    def test_engine_that_resets_every_run_is_ejected(self):
        """Guards against a service's retries being used up by one engine."""
        replies, resets = self.play({'a-0'})
        self.assertTrue(all(one.body == ALL_EVENTS for one in replies))
        self.assertLessEqual(resets, 8)

    def test_ejected_engine_that_recovers_is_used_again(self):
        self.play({'a-0'}, seconds=3)
        self.world.advance(6_000)
        count = len(self.servers.runs)
        self.play(set(), seconds=2)
        first = {one.run.server.id for one in self.servers.runs[count:]}
        self.assertIn('a-0', first)

    def test_breaks_of_all_engines_eject_only_few(self):
        """Guards against ejection of a whole fleet over one faulty link."""
        self.play({'a-0', 'b-0'}, seconds=2)
        now = self.world.clock.now()
        self.assertLess(
            self.world.routing_state.refusals.count_excluded(now), 4
        )


class SuspicionTest(unittest.TestCase):
    def test_suspicion_ends_when_the_server_restarts(self):
        world = builders.World()
        world.routing_state.suspect('a-0', 'not_reached', 0)
        restarted = attrs.evolve(
            fleet_builders.build_engine('a-0', 'large'), started_at=2
        )
        world.add(restarted)
        self.assertEqual({}, world.routing_state.suspicions)

    def test_lost_engine_is_dropped_with_its_record(self):
        """Guards against requests to it after the suspicion has expired."""
        world = builders.World()
        world.routing_state.suspect('a-1', 'no_report', 0)
        world.routing_state.remove_server('a-1', 100)
        self.assertNotIn('a-1', world.routing_state.servers)

    def test_newer_engine_at_an_address_replaces_the_older_one(self):
        """Guards against requests to an engine that a newer one replaced."""
        world = builders.World()
        old = world.routing_state.servers['a-1']
        new = attrs.evolve(
            old, id='a-8', started_at=old.started_at + 1, layers=None
        )
        world.add(new)
        world.advance(10_000)
        self.assertFalse(world.routing_state.is_usable(old, 10_000))
        world.serve()
        path = [hop.server.id for hop in world.servers.last.run.hops]
        self.assertNotIn('a-1', path)
        world.add(attrs.evolve(old, draining=True))
        self.assertIn('a-8', world.routing_state.servers)

    def test_refusing_engine_is_looked_up_on_the_path(self):
        """Guards against suspicion of the next engine at an address."""
        world = builders.World()
        world.serve()
        run = world.servers.last
        lost = run.run.hops[1].server
        world.routing_state.servers['a-8'] = attrs.evolve(
            lost, id='a-8', started_at=lost.started_at + 1
        )
        run.refuse(421, lost.address)
        self.assertIn(lost.id, world.routing_state.suspicions)
        self.assertNotIn('a-8', world.routing_state.suspicions)
