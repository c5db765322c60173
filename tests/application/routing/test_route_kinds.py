"""Tests of routes of each kind at services of each kind."""

from __future__ import annotations

import unittest

import attrs

from tests.application.routing import builders
from tests.application.routing import test_relays
from thornspool.application.routing import failure_detection
from thornspool.application.routing import ports
from thornspool.domain.fleet import bodies
from thornspool.domain.routing import messages as routing

LABEL = '/label/x'
QUOTE = '/quote/x'
SERIES = '/series/x'
ANSWER = b'{"label": "one"}'
EVENTS = b'id: 0\ndata: x\n\nid: 1\ndata: x\n\n'
TARGET_MS = 2_500


def build_moved_configuration():
    """Build a configuration whose routes have services of the other kind."""
    routes = [
        builders.build_route(
            '/label/',
            routing.Kind.IDEMPOTENT,
            'drafting',
            target_latency_ms=TARGET_MS,
        ),
        # Two attempts, so that only the kind prevents a second run.
        builders.build_route(
            '/quote/', routing.Kind.NON_IDEMPOTENT, 'drafting', attempts=2
        ),
        builders.build_route(
            '/series/', routing.Kind.STREAMING, 'ledger', resumable=True
        ),
        builders.build_route('/brief/', routing.Kind.STREAMING, 'drafting'),
    ]
    return builders.build_configuration(2, routes=routing.group_routes(routes))


class _MovedCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.world = builders.World()
        self.world.routing_state.apply_configuration(
            build_moved_configuration()
        )
        self.servers = self.world.servers

    def serve(self, path, number=1):
        reply = self.world.serve(
            path, number, prompt_tokens=0.0, output_tokens=0.0
        )
        return reply, self.servers.last

    def assert_answered(self, reply, status, body):
        self.assertEqual(
            (status, body, True, False),
            (reply.status, reply.body, reply.whole, reply.aborted),
        )
        self.assertEqual(0, self.world.intake.in_flight)
        self.assertEqual(set(), self.world.streams.in_flight_requests)
        self.assertEqual(set(), self.world.calls.calls)


class WholeAnswerTest(_MovedCase):
    async def test_answers_of_engines_are_passed_on_whole(self):
        """Guards against answers that are read for events and then cut."""
        large = b'x' * 200_000
        table = (
            (200, ANSWER),
            (200, b''),
            (200, large),
            (200, EVENTS + b'id: 2\nda'),
            (204, b''),
            (404, b'not here'),
        )
        for path in (LABEL, QUOTE):
            for status, body in table:
                with self.subTest(path, status=status, body=body[:20]):
                    self.setUp()
                    reply, run = self.serve(path)
                    run.begin(status)
                    for first in range(0, len(body), 50_000):
                        run.listener.handle_body(body[first : first + 50_000])
                    self.assertIsNone(reply.status)
                    run.end()
                    self.assert_answered(reply, status, body)
                    self.assertEqual(1, len(self.servers.runs))

    async def test_only_idempotent_requests_run_again(self):
        """Guards against an action that runs twice at engines."""
        table = {
            'broken': lambda run: run.end(ports.Completion.BROKEN),
            'broken off': self.break_off,
            'not signed': self.answer_unsigned,
            'failed': lambda run: run.answer(500, b'failed'),
            'too long': self.answer_too_long,
        }
        for name, fail in table.items():
            with self.subTest(name):
                self.setUp()
                reply, run = self.serve(LABEL)
                fail(run)
                self.assertEqual(2, len(self.servers.runs))
                self.assertNotEqual(
                    run.run.server.id, self.servers.last.run.server.id
                )
                self.servers.last.answer(body=ANSWER)
                self.assert_answered(reply, 200, ANSWER)
                self.setUp()
                reply, run = self.serve(QUOTE)
                fail(run)
                self.assertEqual(1, len(self.servers.runs))
                is_passed_on = name == 'failed'
                self.assertEqual(500 if is_passed_on else 502, reply.status)

    def break_off(self, run):
        run.begin()
        run.listener.handle_body(ANSWER[:5])
        run.end(ports.Completion.BROKEN)

    def answer_unsigned(self, run):
        run.begin(is_authentic=False)
        run.listener.handle_body(ANSWER)
        run.end()

    def answer_too_long(self, run):
        run.begin()
        self.assertFalse(
            run.listener.handle_body(b'x' * (bodies.MAX_BODY_BYTES + 1))
        )
        run.end(ports.Completion.BROKEN)

    async def test_requests_that_did_not_run_are_sent_again(self):
        """Guards against actions that fail where no engine has run them."""
        table = {
            'refused': lambda run: run.refuse(503),
            'not reached': lambda run: run.end(ports.Completion.NOT_SENT),
        }
        for path in (LABEL, QUOTE):
            for name, fail in table.items():
                with self.subTest(path, name=name):
                    self.setUp()
                    reply, run = self.serve(path)
                    fail(run)
                    self.assertEqual(2, len(self.servers.runs))
                    self.servers.last.answer(body=ANSWER)
                    self.assert_answered(reply, 200, ANSWER)

    async def test_answers_that_take_their_time_are_awaited(self):
        """Guards against second runs because whole answers come late."""
        _, run = self.serve(LABEL)
        self.pass_time(TARGET_MS - 100)
        self.assertEqual(1, len(self.servers.runs))
        self.pass_time(200)
        self.assertEqual(2, len(self.servers.runs))
        self.assertFalse(run.stopped)

    async def test_action_at_a_silent_engine_runs_once(self):
        """Guards against an action that runs twice at engines."""
        reply, run = self.serve(QUOTE)
        self.pass_time(10_000)
        self.assertEqual(1, len(self.servers.runs))
        run.answer(body=ANSWER)
        self.assert_answered(reply, 200, ANSWER)

    def pass_time(self, milliseconds):
        for _ in range(0, milliseconds, 100):
            self.world.advance(100)
            self.world.failure_detector.tick()

    async def test_first_whole_answer_of_two_runs_is_the_only_one(self):
        """Guards against parts of two answers in one."""
        for winner in (0, 1):
            with self.subTest(winner):
                self.setUp()
                reply, run = self.serve(LABEL)
                self.pass_time(TARGET_MS + 100)
                runs = [run, self.servers.last]
                for one in runs:
                    one.begin()
                    one.listener.handle_body(ANSWER[:5])
                runs[winner].listener.handle_body(ANSWER[5:])
                runs[winner].end()
                self.assertTrue(runs[1 - winner].stopped)
                runs[1 - winner].listener.handle_body(ANSWER)
                self.assert_answered(reply, 200, ANSWER)

    async def test_late_engines_of_whole_answers_are_not_probed(self):
        """Guards against probes of all engines because no event comes."""
        self.serve(LABEL)
        self.pass_time(failure_detection.FIRST_EVENT_PROBE_MS - 50)
        self.assertEqual([], self.servers.probed)

    async def test_requests_keep_their_service_when_the_route_moves(self):
        """Guards against answers that are read as the new version says."""
        engine, at_engine = self.serve(QUOTE)
        stream, at_server = self.serve(SERIES, 2)
        at_server.begin(is_event_stream=True)
        at_server.send(0, 1)
        self.world.routing_state.apply_configuration(
            builders.build_configuration(3)
        )
        self.world.advance(200)
        at_engine.answer(body=ANSWER)
        at_server.send(1, 2)
        at_server.end()
        self.assertEqual((200, ANSWER), (engine.status, engine.body))
        self.assert_answered(stream, 200, EVENTS)


class PlainStreamTest(_MovedCase):
    async def test_events_are_passed_on_as_they_arrive(self):
        """Guards against streams that are kept back until their end."""
        reply, run = self.serve(SERIES)
        run.begin(is_event_stream=True)
        run.send(0, 1)
        self.assertEqual(EVENTS[: len(EVENTS) // 2], reply.body)
        run.listener.handle_body(b'id: 1\nda')
        self.world.advance(5_000)
        self.assertEqual(1, len(self.servers.runs))
        run.listener.handle_body(b'ta: x\n\n')
        run.end()
        self.assert_answered(reply, 200, EVENTS)

    async def test_answer_that_is_no_stream_is_passed_on_whole(self):
        """Guards against an answer with a length that is read for events."""
        reply, run = self.serve(SERIES)
        run.answer(body=ANSWER)
        self.assert_answered(reply, 200, ANSWER)

    async def test_started_stream_that_breaks_is_cut(self):
        """Guards against pieces of two runs, and ends that look whole."""
        for name, break_off in {
            'broken': lambda run: run.end(ports.Completion.BROKEN),
            'inside an event': self.end_inside,
        }.items():
            with self.subTest(name):
                self.setUp()
                reply, run = self.serve(SERIES)
                run.begin(is_event_stream=True)
                run.send(0, 1)
                break_off(run)
                self.assertTrue(reply.aborted)
                self.assertFalse(reply.whole)
                self.assertEqual(1, len(self.servers.runs))
                self.assertEqual(0, self.world.intake.in_flight)

    def end_inside(self, run):
        run.listener.handle_body(b'id: 1\nda')
        run.end()

    async def test_stream_that_has_not_begun_may_run_again(self):
        """Guards against streams that fail with their first server."""
        reply, run = self.serve(SERIES)
        run.begin(is_event_stream=True)
        run.listener.handle_body(b'id: 0\nda')
        run.end()
        self.servers.last.begin(is_event_stream=True)
        self.servers.last.send(0, 2)
        self.servers.last.end()
        self.assert_answered(reply, 200, EVENTS)

    async def test_first_event_of_two_attempts_ends_the_other(self):
        """Guards against pieces of two runs in one stream."""
        reply, run = self.serve(SERIES)
        self.world.advance(500)
        later = self.servers.last
        self.assertIsNot(run, later)
        for one in (run, later):
            one.begin(is_event_stream=True)
        run.send(0, 1)
        self.assertTrue(later.stopped)
        later.send(0, 2)
        run.send(1, 2)
        run.end()
        self.assert_answered(reply, 200, EVENTS)

    async def test_deadline_cuts_a_started_stream(self):
        """Guards against a second head within a stream."""
        reply, run = self.serve(SERIES)
        run.begin(is_event_stream=True)
        run.send(0, 1)
        self.world.advance(20_100)
        self.assertTrue(reply.aborted)
        self.assertEqual((200, True), (reply.status, run.stopped))

    async def test_resumed_stream_goes_on_where_its_caller_says(self):
        """Guards against events that come twice after a resumption."""
        self.world.serve(SERIES, resume_after='7')
        self.assertEqual('7', self.servers.last.run.resume_after)


class RelayedAnswerTest(test_relays.RelayCase):
    def setUp(self):
        super().setUp()
        self.world.routing_state.apply_configuration(
            build_moved_configuration()
        )

    def test_whole_answers_of_peers_are_passed_on(self):
        """Guards against whole answers that are read for events."""
        head = attrs.evolve(test_relays.HEAD, has_length=True)
        for path in (LABEL, QUOTE, SERIES, '/brief/x'):
            with self.subTest(path):
                self.setUp()
                reply, sent = self.pass_on(path)
                sent.listener.handle_head(head)
                sent.listener.handle_body(ANSWER)
                sent.listener.handle_completion(ports.Completion.COMPLETE)
                self.assertEqual(
                    (200, ANSWER, True),
                    (reply.status, reply.body, reply.whole),
                )
