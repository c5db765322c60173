"""Tests of what an entry decides on its local copy of the configuration."""

from __future__ import annotations

import unittest

import structlog

from tests.application.routing import builders
from thornspool.application.routing import intake
from thornspool.application.routing import ports
from thornspool.application.routing import streams
from thornspool.domain.routing import messages as routing

BROKEN = ports.Completion.BROKEN


class OutdatedEntryTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.world.clock.advance(5_000)

    def test_retry_after_is_short_when_another_entry_is_current(self):
        """Guards against requests that miss their target by the wait alone."""
        self.world.others_serve = True
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertEqual(streams.DRAINING_RETRY_MS, reply.retry_after_ms)

    def test_retry_after_is_long_while_no_entry_reaches_the_store(self):
        """Guards against callers that use up their attempts in an outage."""
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertEqual(intake.NOT_READY_RETRY_MS, reply.retry_after_ms)

    def test_routes_without_keys_are_served(self):
        reply = self.world.serve('/open/x')
        self.assertIsNone(reply.status)


class DenialTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()

    def test_only_a_current_copy_shows_that_a_route_does_not_exist(self):
        """Guards against 404 for routes that the copy does not show yet."""
        self.assertEqual(404, self.world.serve('/none/x').status)
        for age_ms in (1_900, 4_300, 60_000):
            with self.subTest(age_ms):
                world = builders.World()
                world.clock.advance(age_ms)
                reply = world.serve('/none/x')
                self.assertEqual(503, reply.status)
                self.assertIsNotNone(reply.retry_after_ms)

    def test_copy_that_lags_behind_a_peer_shows_no_absence(self):
        """Guards against 404 for routes that another entry serves."""
        self.world.intake.find_newest_version = lambda: 2
        self.assertEqual(503, self.world.serve('/none/x').status)
        self.assertEqual(503, self.world.serve(key='key-2').status)
        self.assertIsNone(self.world.serve(number=2).status)

    def test_only_a_current_copy_shows_that_a_key_does_not_exist(self):
        """Guards against 401 for keys that the copy does not show yet."""
        self.assertEqual(401, self.world.serve(key='key-2').status)
        self.assertEqual(401, self.world.serve(key=None).status)
        self.world.clock.advance(1_900)
        self.assertEqual(503, self.world.serve(key='key-2').status)
        self.assertIsNone(self.world.serve(number=2).status)


class ConfirmationTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.world.clock.advance(1_900)
        self.waiting = []
        self.world.intake.confirm_copy = self.confirm

    def confirm(self, on_end):
        self.waiting.append(on_end)
        return True

    def end_confirmation(self, succeeds=True):
        if succeeds:
            freshness = self.world.routing_state.freshness
            freshness.confirm(self.world.clock.now())
        for on_end in self.waiting:
            on_end()

    def test_wrong_requests_are_denied_once_the_copy_is_confirmed(self):
        """Guards against 503 for wrong paths and keys while all is well."""
        replies = [
            self.world.serve('/none/x'),
            self.world.serve(key='key-2', number=2),
        ]
        self.assertEqual([None, None], [one.status for one in replies])
        self.assertEqual(2, self.world.intake.in_flight)
        self.end_confirmation()
        self.assertEqual([404, 401], [one.status for one in replies])
        self.assertEqual(0, self.world.intake.in_flight)

    def test_request_for_an_added_route_is_served(self):
        """Guards against 404 for a route that the confirmation brings."""
        reply = self.world.serve('/added/x', key=None)
        route = builders.build_route(
            '/added/', routing.Kind.IDEMPOTENT, 'ledger', anonymous=True
        )
        self.world.routing_state.apply_configuration(
            builders.build_configuration(
                2, routes=routing.group_routes([route])
            )
        )
        self.end_confirmation()
        self.assertIsNone(reply.status)
        self.assertEqual(1, len(self.world.servers.runs))

    def test_failed_confirmation_leaves_a_request_undecided(self):
        reply = self.world.serve('/none/x')
        self.end_confirmation(succeeds=False)
        self.assertEqual(503, reply.status)
        self.assertIsNotNone(reply.retry_after_ms)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_draining_entry_waits_for_no_confirmation(self):
        self.world.intake.is_draining = True
        self.assertEqual(503, self.world.serve('/none/x').status)
        self.assertEqual([], self.waiting)


class BodyTest(unittest.TestCase):
    """Decisions on requests whose body has not been read."""

    def setUp(self):
        self.world = builders.World()
        self.decided = []

    def check(self, path='/brief/x', **changes):
        reply = builders.FakeResponseWriter()
        changes.setdefault('arrived_at', self.world.clock.now())
        request = builders.build_request(path, 1, **changes)
        self.world.intake.check_body(request, reply, self.decided.append)
        return reply

    def test_denied_requests_are_answered_at_once(self):
        """Guards against bodies that are read for nothing."""
        for reply, status in (
            (self.check('/none/x'), 404),
            (self.check(key='key-2'), 401),
        ):
            self.assertEqual(status, reply.status)
        self.world.intake.is_draining = True
        self.assertEqual(503, self.check().status)
        self.world.intake.is_draining = False
        self.world.clock.advance(60_000)
        self.assertEqual(503, self.check().status)
        self.assertEqual([None] * 4, self.decided)

    def test_body_is_of_use_until_the_deadline(self):
        """Guards against bodies that are read beyond their deadline."""
        for timeout_ms in (2_000, 10**9):
            self.assertIsNone(self.check(timeout_ms=timeout_ms).status)
        route = self.world.routing_state.configuration.find_route(
            builders.build_request().host, '/brief/x'
        )
        self.assertEqual(
            [2_000, route.timeout_ms], [one.timeout_ms for one in self.decided]
        )
        self.assertEqual({'north'}, {one.group for one in self.decided})
        self.assertEqual([], self.world.servers.runs)
        self.assertEqual(0, self.world.intake.in_flight)

    def test_decision_waits_for_a_confirmation_of_the_copy(self):
        """Guards against bodies that fill the memory meanwhile."""
        waiting = []
        self.world.clock.advance(1_900)
        self.world.intake.confirm_copy = lambda call: not waiting.append(call)
        reply = self.check('/none/x')
        self.assertEqual((None, []), (reply.status, self.decided))
        self.world.routing_state.freshness.confirm(self.world.clock.now())
        waiting[0]()
        self.assertEqual((404, [None]), (reply.status, self.decided))


class PartTest(unittest.TestCase):
    def test_further_parts_of_a_prompt_are_ignored(self):
        """Guards against requests whose verdict takes seconds to find."""
        world = builders.World()
        world.serve(prompt_parts=tuple(f'part-{one}' for one in range(200)))
        (in_flight,) = world.streams.in_flight_requests
        self.assertEqual(32, len(in_flight.exchange.parts))


class CutAnswerTest(unittest.TestCase):
    """Guards against cut answers whose cause can't be told."""

    def test_log_and_metric_name_who_ended_an_answer(self):
        cases = (
            ('caller', {}, lambda world, reply: reply.leave()),
            ('stop', {}, _close_all),
            (
                'deadline',
                {'timeout_ms': 400},
                lambda world, reply: world.advance(500),
            ),
            (
                'entry',
                {'path': '/once/x'},
                lambda world, reply: world.servers.last.end(
                    ports.Completion.BROKEN
                ),
            ),
            ('', {}, lambda world, reply: world.servers.last.end()),
        )
        for ended_by, changes, end in cases:
            with self.subTest(ended_by=ended_by):
                world = builders.World()
                reply = world.serve(**changes)
                world.servers.last.begin()
                world.servers.last.send(0, 3)
                with structlog.testing.capture_logs() as lines:
                    end(world, reply)
                (line,) = (
                    one for one in lines if one['event'] == 'request_ended'
                )
                self.assertEqual(ended_by, line['ended_by'])
                counted = f'_answers_cut_total{{ended_by="{ended_by}"}} 1'
                rendered = world.metrics.render()[0].decode()
                self.assertEqual(bool(ended_by), counted in rendered)

    def test_log_tells_a_proven_end_from_a_missing_answer(self):
        cases = (
            (
                'connection_closed',
                lambda world: world.servers.last.end(BROKEN),
            ),
            ('refused', lambda world: world.servers.last.refuse()),
            ('none', _fail_over),
        )
        for proof, end in cases:
            with self.subTest(proof=proof):
                world = builders.World()
                world.serve()
                world.clock.advance(70)
                with structlog.testing.capture_logs() as lines:
                    end(world)
                (line,) = (
                    one for one in lines if one['event'] == 'run_repeated'
                )
                self.assertEqual((proof, 70), (line['proof'], line['idle_ms']))


def _close_all(world, reply):
    world.intake.begin_closing()
    reply.leave()


def _fail_over(world):
    (in_flight,) = world.streams.in_flight_requests
    world.streams.fail_over(in_flight, 'silent')
