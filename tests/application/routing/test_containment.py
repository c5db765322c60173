"""Tests of requests in whose handling an error of this program occurs."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from tests.application.routing import builders
from thornspool.application.routing import containment
from thornspool.application.routing import ports
from thornspool.application.routing import relays
from thornspool.domain.entries import view as view_module

PATHS = ('/brief/x', '/read/1', '/hold/1')


class ContainmentTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()

    def add_relays(self):
        """Pass all requests on to a peer, which is a fake too."""
        view = view_module.View(builders.build_record())
        view.apply_record(builders.build_record('a-01'), 0)
        links = self.world.evidence.links
        links.lost_since = 0
        gateway = mock.Mock()
        gateway.send.return_value = lambda: None
        service = relays.RelayService(
            self.world.clock,
            view,
            links,
            gateway,
            self.world.budget,
            random.Random(1),
        )
        self.world.streams.take_over = service.take_over
        self.world.calls.take_over = service.take_over
        return service, gateway

    def check_ended(self, reply):
        self.assertEqual((500, 'internal'), (reply.status, reply.reason))
        self.assertEqual(0, self.world.intake.in_flight)
        self.assertEqual(set(), self.world.calls.calls)
        self.assertEqual(set(), self.world.streams.in_flight_requests)

    def test_response_that_can_not_be_written_ends_its_request(self):
        """Guards against a request that nothing ends, so that drains wait."""
        for path in PATHS:
            with self.subTest(path):
                reply = builders.FailingResponseWriter()
                self.world.serve_with(reply, path)
                run = self.world.servers.last
                run.begin()
                if path == '/brief/x':
                    run.send(0, 3)
                run.end()
                self.check_ended(reply)
                self.assertEqual({}, self.world.reserved.list_by_hash())

    def test_relayed_response_that_can_not_be_written_ends_its_request(self):
        """Guards against the same behind a peer."""
        service, gateway = self.add_relays()
        for path in PATHS:
            with self.subTest(path):
                reply = builders.FailingResponseWriter()
                self.world.serve_with(reply, path)
                listener = gateway.send.call_args.args[2]
                listener.handle_head(
                    ports.ResponseHead(200, (), True, '', None, True)
                )
                listener.handle_completion(ports.Completion.COMPLETE)
                self.check_ended(reply)
                self.assertEqual(0, service._in_flight.total())

    def test_request_that_can_not_be_relayed_ends(self):
        """Guards against a peer that counts as busy for ever."""
        service, gateway = self.add_relays()
        gateway.send.side_effect = ValueError
        for path in PATHS:
            with self.subTest(path):
                self.check_ended(self.world.serve(path))
                self.assertEqual(0, service._in_flight.total())

    def test_started_stream_is_cut(self):
        """Guards against a stream that goes on after an error."""
        reply = self.world.serve('/brief/x')
        run = self.world.servers.last
        run.begin()
        with mock.patch.object(reply, 'write', side_effect=ValueError):
            run.send(0, 1)
        self.assertTrue(reply.aborted)
        self.assertTrue(run.stopped)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_request_without_any_answer_ends_too(self):
        """Guards against a connection that takes no answer at all."""
        for path in PATHS:
            with self.subTest(path):
                reply = builders.FailingResponseWriter(fails_always=True)
                self.world.serve_with(reply, path)
                self.world.servers.last.answer()
                self.assertEqual(0, self.world.intake.in_flight)

    def test_request_that_can_not_be_served_is_answered(self):
        """Guards against an error before the first send."""
        for path in PATHS:
            with (
                self.subTest(path),
                mock.patch.object(
                    self.world.permits, 'check', side_effect=RecursionError
                ),
            ):
                self.check_ended(self.world.serve(path))

    def test_request_that_can_not_be_sent_is_answered_at_once(self):
        """Guards against servers that count as busy for an unsent request."""
        for path in PATHS:
            with (
                self.subTest(path),
                mock.patch.object(
                    self.world.servers, 'send', side_effect=ValueError
                ),
            ):
                self.check_ended(self.world.serve(path))
                self.assertEqual({}, self.world.routing_state.suspicions)
        scores = self.world.calls._scores.servers.values()
        self.assertEqual(0, sum(one.in_flight for one in scores))

    def test_expired_request_that_fails_keeps_no_other_from_expiring(self):
        """Guards against one request that stops the clock for all others."""
        for path in PATHS:
            with self.subTest(path):
                failing = builders.FailingResponseWriter(fails_always=True)
                self.world.serve_with(failing, path)
                replies = [
                    self.world.serve(path, number) for number in range(2, 6)
                ]
                self.world.advance(20_100)
                self.assertEqual({504}, {one.status for one in replies}, path)
                self.assertEqual(0, self.world.intake.in_flight)

    def test_expired_relay_that_fails_keeps_no_other_from_expiring(self):
        """Guards against the same behind a peer."""
        service, _ = self.add_relays()
        self.world.serve_with(
            builders.FailingResponseWriter(fails_always=True), '/read/1'
        )
        replies = [
            self.world.serve('/read/1', number) for number in range(2, 6)
        ]
        self.world.clock.advance(20_100)
        service.tick()
        self.assertEqual({504}, {one.status for one in replies})
        self.assertEqual(0, self.world.intake.in_flight)

    def test_queued_request_that_fails_keeps_others_in_the_queue(self):
        """Guards against a queue that one request empties."""
        calls = self.world.calls
        with mock.patch.object(calls, '_choose_server', return_value=None):
            replies = [
                self.world.serve('/read/1', number) for number in range(3)
            ]
        choose = calls._choose_server

        def fail_for_first(call, now):
            if call.exchange.request.id == 'request-0':
                raise RecursionError
            return choose(call, now)

        with mock.patch.object(calls, '_choose_server', fail_for_first):
            calls.tick()
        self.assertEqual(500, replies[0].status)
        self.assertEqual(2, len(self.world.servers.runs))

    def test_waiting_stream_that_fails_keeps_others_in_the_queue(self):
        """Guards against the same for model requests."""
        replies = [self.world.serve(number=number) for number in range(3)]
        streams = self.world.streams
        in_flight = sorted(
            streams.in_flight_requests, key=lambda one: one.exchange.request.id
        )
        for one in in_flight:
            streams._enqueue(one)
        started = []

        def fail_for_first(one):
            if one is in_flight[0]:
                raise RecursionError
            started.append(one)

        with mock.patch.object(streams, '_start', fail_for_first):
            streams.tick()
        self.assertEqual(in_flight[1:], started)
        self.assertEqual(500, replies[0].status)

    def test_callbacks_are_independent(self):
        """Guards against one failure of a server that hides the others."""
        applied = []

        def fail():
            raise RecursionError

        evidence = self.world.evidence
        servers = list(self.world.routing_state.servers.values())[:3]
        self.world.evidence.links.forget_old(builders.FAR_FUTURE, -1)
        for server, apply in zip(
            servers, (fail, fail, lambda: applied.append(1)), strict=True
        ):
            evidence.record_failure(server, 0, apply)
        evidence.links.record_answer('always', builders.FAR_FUTURE)
        evidence._apply_failures()
        self.assertEqual([1], applied)

    def test_error_is_dropped(self):
        with containment.contain_error():
            raise RecursionError
