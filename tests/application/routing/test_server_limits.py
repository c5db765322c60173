"""Tests of requests to servers that name a limit."""

from __future__ import annotations

import collections
import unittest

from tests import builders as common
from tests.application.routing import builders
from thornspool.application.routing import (
    routing_state as routing_state_module,
)
from thornspool.application.routing import server_limits
from thornspool.domain.entries import view as view_module
from thornspool.domain.limits import shares

LIMIT_PER_S = 2.0


class LimitedStreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = builders.World()
        self.servers = self.world.servers
        self.limited = {}

    def limit(self, *names, per_s=LIMIT_PER_S):
        for name in names:
            self.limited[name] = per_s
            self.world.routing_state.named_limits.record(
                name, per_s, self.world.clock.now()
            )

    def serve(self, number, path='/brief/x'):
        reply = self.world.serve(path, number)
        if reply.status is None:
            server_id = self.servers.last.run.server.id
            self.servers.last.begin(limit_per_s=self.limited.get(server_id))
            self.servers.last.send(0, 1)
            self.servers.last.end()
        return reply

    def test_path_avoids_a_limited_engine_before_it_refuses(self):
        """Guards against requests beyond the limit of a first engine."""
        self.serve(0)
        first = self.servers.last
        self.assertEqual('a-0', first.run.server.id)
        first.on_notice(
            first.run.server,
            builders.ports.ServerNotice(True, limit_per_s=LIMIT_PER_S),
        )
        self.serve(1)
        self.assertEqual('b-0', self.servers.last.run.server.id)

    def test_limited_engine_serves_in_the_middle_of_a_path(self):
        self.limit('a-1')
        self.serve(1)
        self.assertIn('a-1', [one.server.id for one in self.get_hops()])

    def get_hops(self):
        return self.servers.last.run.hops

    def test_share_is_used_up_and_filled_again(self):
        self.limit('a-0')
        for number in range(60):
            self.serve(number)
            self.world.advance(100)
        sent = [one.run.server.id for one in self.servers.runs]
        self.assertGreater(sent.count('a-0'), 4)
        self.assertLessEqual(sent.count('a-0'), 6 * LIMIT_PER_S)
        self.assertEqual(60, len(sent))

    def test_limit_ends_with_an_authentic_answer_without_it(self):
        self.limit('a-0')
        server = self.world.routing_state.servers['a-0']
        for is_authentic in (False, True):
            with self.subTest(is_authentic=is_authentic):
                self.servers.on_notice(
                    server, builders.ports.ServerNotice(is_authentic)
                )
                self.assertEqual(
                    is_authentic, self.world.limits.has_room('a-0')
                )

    def test_request_without_a_path_is_refused_with_the_time_of_the_next(self):
        """Guards against requests that wait for a limit until they expire."""
        self.limit('a-0', 'b-0')
        for number in range(40):
            self.serve(number)
            self.world.advance(100)
        for number in range(100, 120):
            reply = self.serve(number)
            if reply.status == 503:
                break
        self.assertEqual((503, 'limited'), (reply.status, reply.reason))
        self.world.advance(reply.retry_after_ms)
        sent = len(self.servers.runs)
        self.world.serve(number=102)
        self.assertEqual(sent + 1, len(self.servers.runs))

    def test_refused_callers_come_back_one_after_the_other(self):
        """Guards against many callers that are told the same time."""
        self.limit('a-0', 'b-0')
        replies = [self.world.serve(number=number) for number in range(5)]
        self.assertEqual({503}, {reply.status for reply in replies})
        times = collections.Counter(reply.retry_after_ms for reply in replies)
        self.assertLessEqual(max(times.values()), 2)

    def test_call_avoids_a_limited_server(self):
        self.limit('a-90')
        for number in range(10):
            self.world.serve('/read/x', number)
            self.servers.last.answer()
            self.assertNotEqual('a-90', self.servers.last.run.server.id)

    def test_call_without_a_server_is_refused_at_once(self):
        self.limit('a-90', 'b-91', 'c-92')
        reply = self.world.serve('/hold/x')
        self.assertEqual((503, 'limited'), (reply.status, reply.reason))
        self.assertGreater(reply.retry_after_ms, 0)

    async def test_limited_engine_is_not_probed_beyond_its_limit(self):
        """Guards against probes that an engine counts as requests."""
        self.limit('a-0')
        self.world.routing_state.probe_candidates.add('a-0')
        self.world.failure_detector.tick()
        self.assertEqual([], self.servers.probed)

    def test_path_changes_count_as_requests(self):
        self.limit('a-0')
        for number in range(40):
            self.serve(number)
            self.world.advance(100)
        used = sum(self.world.limits.try_acquire('a-0') for _ in range(10))
        self.assertLessEqual(used, 2)


class OwnerTest(unittest.TestCase):
    """Two entries, of which one owns the limit of a server."""

    def setUp(self):
        self.clock = common.FakeClock(10_000)
        self.sent = []
        self.states = {}
        self.limits = {}
        records = [builders.build_record(f'a-{number}') for number in (0, 1)]
        for record in records:
            view = view_module.View(record)
            for other in records:
                view.apply_record(other, 0)
            state = routing_state_module.RoutingState()
            self.states[record.host] = state
            self.limits[record.host] = server_limits.ServerLimits(
                self.clock,
                state,
                view,
                lambda address, message: self.sent.append((address, message)),
            )
            state.apply_server(builders.fleet_builders.build_server('s'), 0)

    def deliver(self):
        while self.sent:
            address, message = self.sent.pop(0)
            self.limits[address.removesuffix(':90')].apply_message(message)

    def demand(self, milliseconds=0):
        for passed in range(0, milliseconds + 1, 25):
            for limits in self.limits.values():
                limits.try_acquire('s', is_needed=True)
                limits.tick()
            self.deliver()
            if passed < milliseconds:
                self.clock.advance(25)

    def sum_shares(self):
        return sum(limits.get_share('s') for limits in self.limits.values())

    def test_owner_replies_although_it_was_not_told_of_the_limit(self):
        """Guards against an engine that stays idle after a lost update."""
        self.demand(shares.SERVER_GRANT_TTL_MS)
        for name in self.states:
            with self.subTest(told=name):
                for state in self.states.values():
                    state.named_limits.forget('s')
                self.states[name].named_limits.record(
                    's', LIMIT_PER_S, self.clock.now()
                )
                self.demand(1_500)
                self.assertGreater(self.sum_shares(), 0.0)
                self.assertLessEqual(self.sum_shares(), LIMIT_PER_S)

    def test_new_owner_grants_nothing_until_old_shares_have_expired(self):
        """Guards against two owners that each grant the whole limit."""
        for state in self.states.values():
            state.named_limits.record('s', LIMIT_PER_S, self.clock.now())
        self.demand(shares.SERVER_GRANT_TTL_MS - 100)
        self.assertEqual(0.0, self.sum_shares())
        self.demand(600)
        self.assertGreater(self.sum_shares(), 0.0)

    def test_messages_of_strangers_are_ignored(self):
        for state in self.states.values():
            state.named_limits.record('s', LIMIT_PER_S, self.clock.now())
        self.limits['a-0'].try_acquire('s', is_needed=True)
        self.limits['a-1'].try_acquire('s', is_needed=True)
        for limits in self.limits.values():
            limits.tick()
        for _, message in self.sent:
            stranger = builders.attrs.evolve(message, incarnation='other')
            for limits in self.limits.values():
                limits.apply_message(stranger)
        self.assertLessEqual(len(self.sent), 2)


class RestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def test_engine_is_avoided_for_as_long_as_it_asked(self):
        """Guards against requests at the intervals of the backoff."""
        self.world.serve(number=0)
        self.assertEqual('a-0', self.servers.last.run.server.id)
        self.servers.last.refuse(rest_ms=3_000)
        for number in range(29):
            self.world.advance(100)
            self.world.serve(number=1 + number)
            hops = self.servers.last.run.hops
            self.assertNotIn('a-0', [hop.server.id for hop in hops])
            self.servers.last.answer()
        self.world.advance(2_000)
        self.world.serve(number=100)
        self.assertEqual('a-0', self.servers.last.run.server.id)

    def ask_for_rest(self, **rests):
        for name, rest_ms in rests.items():
            server_id = name.replace('_', '-')
            self.servers.on_notice(
                self.world.routing_state.servers[server_id],
                builders.ports.ServerNotice(False, rest_ms=rest_ms),
            )

    def test_request_without_a_path_is_refused_with_the_end_of_the_rest(self):
        """Guards against a Retry-After at which no path exists either.

        A path needs one of the first engines, and the engine a-1 for one of
        them.
        """
        self.ask_for_rest(a_0=1_000, a_1=5_000, b_0=2_500)
        reply = self.world.serve()
        self.assertEqual((503, 'limited'), (reply.status, reply.reason))
        self.assertEqual(2_500, reply.retry_after_ms)
        self.world.advance(2_500)
        self.assertIsNone(self.world.serve(number=2).status)

    def test_call_is_refused_with_the_end_of_the_first_rest(self):
        self.ask_for_rest(a_90=1_000, b_91=700, c_92=5_000)
        reply = self.world.serve('/hold/x')
        self.assertEqual((503, 700), (reply.status, reply.retry_after_ms))

    def test_call_goes_to_a_server_that_wants_no_rest(self):
        self.ask_for_rest(a_90=1_000, b_91=700)
        self.world.serve('/hold/x')
        self.assertEqual('c-92', self.servers.last.run.server.id)

    async def test_resting_engine_is_not_probed(self):
        """Guards against probes that an engine counts as requests."""
        self.ask_for_rest(a_0=1_000)
        self.world.routing_state.probe_candidates.add('a-0')
        self.world.failure_detector.tick()
        self.assertEqual([], self.servers.probed)

    async def test_path_is_not_changed_at_a_resting_first_engine(self):
        """Guards against orders that an engine counts as requests."""
        self.world.serve()
        run = self.servers.last
        run.begin()
        run.send(0, 4)
        self.ask_for_rest(a_0=3_000)
        self.world.routing_state.suspect(
            'a-1', 'no_report', self.world.clock.now()
        )
        self.world.clock.advance(300)
        self.world.failure_detector.reroute_from_suspects()
        self.assertEqual([], self.servers.reroutes)
        self.assertEqual('b-0', self.servers.last.run.server.id)


class DepartureTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers
        self.state = self.world.routing_state

    def leave(self, server_id):
        self.servers.on_notice(
            self.state.servers[server_id],
            builders.ports.ServerNotice(True, is_leaving=True),
        )

    def list_usable(self, service):
        now = self.world.clock.now()
        return {one.id for one in self.state.list_servers(service, now)}

    def test_leaving_engine_gets_no_request_although_it_is_listed(self):
        """Guards against departures that the list does not show."""
        self.leave('a-0')
        self.world.serve(number=1)
        self.assertEqual('b-0', self.servers.last.run.server.id)
        self.world.advance(routing_state_module.LEAVING_USE_MS + 25)
        self.assertNotIn('a-0', self.list_usable('drafting'))

    def test_change_of_the_record_does_not_end_a_departure(self):
        """Guards against requests after the next change of layers."""
        self.leave('a-0')
        self.world.advance(routing_state_module.LEAVING_USE_MS + 25)
        record = self.state.servers['a-0']
        self.world.add(builders.attrs.evolve(record, slots=7))
        self.assertNotIn('a-0', self.list_usable('drafting'))
        self.world.add(builders.attrs.evolve(record, started_at=99))
        self.assertIn('a-0', self.list_usable('drafting'))

    def test_departure_outlasts_the_record(self):
        """Guards against requests once a lapsed record is listed again."""
        self.leave('a-90')
        record = self.state.servers['a-90']
        self.state.remove_server('a-90', self.world.clock.now())
        self.world.advance(3_000)
        self.world.add(record)
        self.assertNotIn('a-90', self.list_usable('ledger'))

    def test_departure_of_a_record_outlasts_the_record(self):
        """Guards against a further second of use after each lapse."""
        record = self.state.servers['a-90']
        leaving = builders.attrs.evolve(record, draining=True)
        self.world.add(leaving)
        self.assertIn('a-90', self.list_usable('ledger'))
        self.world.advance(routing_state_module.LEAVING_USE_MS + 25)
        for returned in (leaving, record):
            self.state.remove_server('a-90', self.world.clock.now())
            self.world.advance(3_000)
            self.assertNotIn('a-90', self.state.servers)
            self.world.add(returned)
            self.assertNotIn('a-90', self.list_usable('ledger'))

    def test_record_that_first_shows_a_departure_allows_no_further_use(self):
        """Guards against a second of use of servers that left long ago."""
        record = self.state.servers['a-90']
        leaving = builders.attrs.evolve(record, id='new', draining=True)
        self.world.add(leaving)
        self.assertNotIn('new', self.list_usable('ledger'))

    def test_departure_read_after_an_interruption_allows_no_further_use(self):
        """Guards against waits after an outage that add up."""
        record = self.state.servers['a-90']
        self.world.clock.advance(5_000)
        self.state.record_store_contact(self.world.clock.now())
        self.world.add(builders.attrs.evolve(record, draining=True))
        self.assertNotIn('a-90', self.list_usable('ledger'))

    def test_reported_departure_counts(self):
        self.leave('a-90')
        other = builders.World()
        other.routing_state.apply_reported_departures(
            self.state.departures.list_announced(), other.clock.now()
        )
        self.assertEqual({'a-90'}, set(other.routing_state.leaving))
