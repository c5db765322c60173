"""Tests of calls and actions on plain services."""

from __future__ import annotations

import unittest

from tests.application.routing import builders
from thornspool.application.routing import ports


class ActionTest(unittest.TestCase):
    """A hold is booked, and something goes wrong on the way.

    Run twice, it blocks another member's customer; told "not run" though
    it ran, the caller books it a second time himself.
    """

    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def test_outcomes(self):
        table = (
            # what the first server does, sends in all, status for the caller
            ('answers', lambda run: run.answer(), 1, 200),
            ('fails', lambda run: run.answer(500), 1, 500),
            (
                'breaks off',
                lambda run: run.end(ports.Ending.BROKEN),
                1,
                502,
            ),
            (
                'breaks off in its answer',
                lambda run: (run.begin(), run.end(ports.Ending.BROKEN)),
                1,
                502,
            ),
            (
                'is not itself',
                lambda run: (run.begin(genuine=False), run.end()),
                1,
                502,
            ),
        )
        for name, act, sends, status in table:
            with self.subTest(name):
                world = builders.World()
                reply = world.serve('/hold/1')
                act(world.servers.last)
                self.assertEqual(sends, len(world.servers.runs))
                self.assertEqual(status, reply.status)

    def test_goes_elsewhere_when_a_server_did_not_run_it(self):
        for act in (
            lambda run: run.refuse(),
            lambda run: run.refuse(421),
            lambda run: run.end(ports.Ending.NOT_SENT),
        ):
            world = builders.World()
            reply = world.serve('/hold/1')
            first = world.servers.last
            act(first)
            second = world.servers.last
            self.assertNotEqual(first.run.server, second.run.server)
            second.answer()
            self.assertEqual(200, reply.status)

    def test_is_not_moved_off_a_silent_server(self):
        reply = self.world.serve('/hold/1', patience_ms=3_000)
        self.world.advance(2_900)
        self.assertEqual(1, len(self.servers.runs))
        self.assertIsNone(reply.status)
        self.world.advance(200)
        self.assertEqual(504, reply.status)

    def test_refused_by_all_it_did_not_run(self):
        reply = self.world.serve('/hold/1')
        for _ in range(3):
            self.servers.last.refuse()
        self.world.advance(100)
        self.assertEqual(503, reply.status)
        self.assertIsNotNone(reply.retry_after_ms)


class ReadTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()
        self.servers = self.world.servers

    def test_a_failed_read_runs_again_elsewhere(self):
        """One in seven reads fails at a sound server."""
        reply = self.world.serve('/read/1')
        first = self.servers.last
        first.answer(500)
        second = self.servers.last
        self.assertNotEqual(first.run.server, second.run.server)
        second.answer()
        self.assertEqual((200, b'done'), (reply.status, reply.body))

    def test_no_more_servers_than_its_route_allows(self):
        reply = self.world.serve('/read/1')
        self.servers.last.answer(500)
        self.servers.last.answer(500)
        self.assertEqual(2, len(self.servers.runs))
        self.assertEqual(500, reply.status)

    def test_a_read_leaves_a_server_that_hangs(self):
        reply = self.world.serve('/read/1')
        first = self.servers.last
        self.world.advance(500)
        self.assertTrue(first.stopped)
        self.servers.last.answer()
        self.assertEqual(200, reply.status)

    def test_a_server_that_fails_gets_fewer_calls(self):
        """A server fails half of its calls while its health is good."""
        for number in range(40):
            self.world.serve('/read/1', number)
            run = self.servers.last
            if run.run.server.id == 'a-90':
                run.end(ports.Ending.BROKEN)
                self.servers.last.answer()
            else:
                run.answer()
            self.world.advance(50)
        share = sum(run.run.server.id == 'a-90' for run in self.servers.runs)
        self.assertLess(share, 8)

    def test_a_caller_that_leaves_ends_his_call(self):
        reply = self.world.serve('/read/1')
        reply.leave()
        self.assertTrue(self.servers.last.stopped)
        self.assertEqual(0, self.world.intake.in_flight)


class IntakeTest(unittest.TestCase):
    def setUp(self):
        self.world = builders.World()

    def test_refusals(self):
        table = (
            ('unknown path', {'path': '/none/'}, 404),
            ('unknown host', {'host': 'other.example'}, 404),
            ('no key', {'key': None}, 401),
            ('unknown key', {'key': 'key-2'}, 401),
        )
        for name, changes, status in table:
            with self.subTest(name):
                changes = dict(changes)
                path = changes.pop('path', '/brief/x')
                reply = self.world.serve(path, **changes)
                self.assertEqual(status, reply.status)
        self.assertEqual([], self.world.servers.runs)

    def test_no_key_is_needed_where_none_is_asked_for(self):
        self.world.serve('/open/1', key=None)
        self.assertEqual('', self.world.servers.last.run.workspace)

    def test_an_entry_without_configuration_does_not_say_not_found(self):
        """An entry has just started and knows no route yet."""
        self.world.beliefs.configuration = None
        reply = self.world.serve()
        self.assertEqual(503, reply.status)

    def test_keys_stop_when_nothing_proves_the_configuration(self):
        """The store answers other hosts, but not this one any more."""
        self.world.clock.advance(4_300)
        self.assertEqual(503, self.world.serve().status)
        self.world.serve('/open/1', key=None)
        self.assertEqual(1, len(self.world.servers.runs))

    def test_an_older_configuration_is_not_taken(self):
        self.world.beliefs.take_configuration(
            builders.build_configuration(version=5)
        )
        self.world.beliefs.take_configuration(
            builders.build_configuration(version=4, workspaces={})
        )
        self.assertEqual(5, self.world.beliefs.configuration.version)

    def test_an_entry_that_leaves_takes_nothing_new(self):
        self.world.intake.refuses_new = True
        reply = self.world.serve()
        self.assertEqual(503, reply.status)
        self.assertIsNotNone(reply.retry_after_ms)


class LeavingServerTest(unittest.TestCase):
    """A server announces its end, or its entry just goes.

    Sent there a few seconds later, a request meets a closed port, or is
    cut in its middle.
    """

    def test_gets_nothing_after_a_second(self):
        table = {
            'draining': lambda beliefs, server: beliefs.take_server(
                builders.attrs.evolve(server, draining=True), 0
            ),
            'unlisted': lambda beliefs, server: beliefs.remove_server(
                server.id, 0
            ),
        }
        for name, act in table.items():
            with self.subTest(name):
                world = builders.World()
                server = world.beliefs.servers['a-90']
                act(world.beliefs, server)
                server = world.beliefs.servers['a-90']
                self.assertTrue(world.beliefs.is_usable(server, 900))
                self.assertFalse(world.beliefs.is_usable(server, 1_100))

    def test_an_engine_that_drains_gets_nothing_at_all(self):
        """Engines are taken away one after the other."""
        world = builders.World()
        engine = world.beliefs.servers['a-0']
        world.beliefs.take_server(
            builders.attrs.evolve(engine, draining=True), 0
        )
        draining = world.beliefs.servers['a-0']
        self.assertFalse(world.beliefs.is_usable(draining, 0))
        for number in range(4):
            world.serve(number=number)
            hops = world.servers.last.run.hops
            self.assertNotIn('a-0', [hop.server.id for hop in hops])
        gone = world.beliefs.servers['b-0']
        world.beliefs.remove_server('b-0', 0)
        self.assertTrue(world.beliefs.is_usable(gone, 900))

    def test_an_entry_that_comes_back_is_used_again(self):
        world = builders.World()
        server = world.beliefs.servers['a-0']
        world.beliefs.remove_server('a-0', 0)
        world.beliefs.take_server(server, 500)
        world.beliefs.forget_left(5_000)
        self.assertTrue(world.beliefs.is_usable(server, 5_000))
        self.assertIn('a-0', world.beliefs.servers)


class StoreReturnTest(unittest.TestCase):
    """The store was away for eight seconds, and servers' entries lapsed.

    At its return whole failure domains looked empty: their requests were
    refused, and engines were ordered to other layers, which took seconds.
    """

    def setUp(self):
        self.world = builders.World()
        self.beliefs = self.world.beliefs
        self.beliefs.proof.renew(0)
        self.back = 8_000
        self.beliefs.note_contact(self.back)
        self.beliefs.proof.renew(self.back)
        self.beliefs.remove_server('a-0', self.back)

    def test_a_server_that_lapsed_is_used_until_it_should_be_back(self):
        server = self.beliefs.servers['a-0']
        self.beliefs.forget_left(self.back + 2_000)
        self.assertTrue(self.beliefs.is_usable(server, self.back + 2_000))
        self.assertNotIn('a-0', self.beliefs.leaving)

    def test_one_that_is_back_stays(self):
        server = self.beliefs.servers['a-0']
        self.beliefs.take_server(server, self.back + 500)
        self.beliefs.forget_left(self.back + 9_000)
        self.assertIn('a-0', self.beliefs.servers)
        self.assertTrue(self.beliefs.is_usable(server, self.back + 9_000))

    def test_one_that_is_still_missing_is_gone(self):
        """It had its time to come back; nothing runs there any more."""
        self.beliefs.forget_left(self.back + 2_300)
        self.assertNotIn('a-0', self.beliefs.servers)
        self.assertEqual(set(), self.beliefs.lapsed)

    def test_without_an_outage_a_removal_counts_at_once(self):
        self.beliefs.proof.renew(20_000)
        self.beliefs.note_contact(20_500)
        self.beliefs.remove_server('b-0', 20_500)
        self.assertIn('b-0', self.beliefs.leaving)
