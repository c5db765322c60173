"""Tests of records that claim the place of a server that still runs."""

from __future__ import annotations

import asyncio
import unittest

import attrs

from tests.application.routing import builders
from thornspool.application.routing import crash_detection
from thornspool.application.routing import ports
from thornspool.application.routing import (
    routing_state as routing_state_module,
)

GONE = ports.ProcessCheck(False)
UNANSWERED = ports.ProcessCheck(None)
UNIDENTIFIED = ports.ProcessCheck(True)
HEARTBEAT_MS = 1_200
HOUR_MS = 3_600_000

CLAIMS = (
    ('own id', {}),
    ('own id, an hour ahead', {'started_at': HOUR_MS}),
    ('other id', {'id': 'export'}),
    ('other id, an hour ahead', {'id': 'export', 'started_at': HOUR_MS}),
    ('unknown service', {'id': 'export', 'service': 'night-export'}),
    ('plain service', {'id': 'export', 'service': 'ledger', 'kind': ''}),
)
"""Changes of the record of a server that another program has written."""


def build_later(server, id='', **changes):
    """Build the record of a later process at the address of a server."""
    changes.setdefault('started_at', server.started_at + 1)
    if id:
        changes['id'] = f'{id}-{server.id}'
    return attrs.evolve(server, **changes)


def identify(server):
    """Build the check that the process of a server answers."""
    return ports.ProcessCheck(True, server.started_at)


class _WorldCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.world = builders.World()
        self.state = self.world.routing_state
        self.crashes = self.world.crashes
        self.server = self.state.servers['b-0']

    def claim(self, server, **changes):
        """List a later process in the place of a server that runs."""
        self.world.servers.checks.setdefault(server.id, identify(server))
        self.world.add(build_later(server, **changes))

    async def pass_time(self, milliseconds=100):
        """Advance the clock, and let checks end that wait for real time."""
        for _ in range(0, milliseconds, 100):
            self.world.advance(100)
            self.world.failure_detector.reroute_from_suspects()
            self.crashes.tick()
            for _ in range(6):
                await asyncio.sleep(0)


class ClaimedStreamTest(_WorldCase):
    async def test_streams_of_claimed_engines_go_on(self):
        """Guards against streams that records of other programs end."""
        for name, changes in CLAIMS:
            with self.subTest(name):
                self.setUp()
                reply = self.world.serve('/once/x')
                run = self.world.servers.last
                first = run.run.hops[0].server
                run.begin()
                run.send(0, 1)
                for hop in run.run.hops:
                    self.claim(hop.server, **changes)
                # An engine of the other replica crashes.
                lost = 'a-0' if first.id.startswith('b') else 'b-0'
                self.state.suspect(lost, 'test', self.world.clock.now())
                for number in range(1, 6):
                    await self.pass_time(200)
                    run.send(number, number + 1)
                run.end()
                self.assertEqual((200, True), (reply.status, reply.whole))
                self.assertFalse(run.stopped)
                self.assertFalse(self.crashes.has_ended(first))
                self.assertEqual(0, self.crashes.ended_count)

    async def test_stream_sent_by_a_foreign_record_goes_on(self):
        """Guards against streams that end when the true record returns."""
        server = self.server
        for name in ('a-0', 'a-1', 'a-2'):
            del self.state.servers[name]
        earlier = attrs.evolve(server, started_at=server.started_at - 1)
        for one in (earlier, server):
            self.world.servers.checks[one.id] = identify(server)
        self.world.add(earlier)
        reply = self.world.serve('/once/x')
        run = self.world.servers.last
        self.assertEqual(earlier, run.run.hops[0].server)
        run.begin()
        run.send(0, 1)
        self.world.add(server)
        self.state.suspect('b-91', 'test', self.world.clock.now())
        await self.pass_time(1_000)
        run.send(1, 2)
        run.end()
        self.assertEqual((200, True), (reply.status, reply.whole))
        self.assertFalse(run.stopped)

    async def test_stream_of_a_replaced_engine_does_not_wait(self):
        """Guards against callers that wait for an engine that has ended."""
        for name, changes in CLAIMS:
            with self.subTest(name):
                self.setUp()
                self.world.serve('/brief/x')
                run = self.world.servers.last
                first = run.run.hops[0].server
                run.begin()
                run.send(0, 1)
                later = build_later(first, **changes)
                self.world.servers.checks[first.id] = identify(later)
                self.world.add(later)
                self.state.suspect('a-1', 'test', self.world.clock.now())
                self.state.suspect('b-1', 'test', self.world.clock.now())
                await self.pass_time(200)
                self.assertTrue(run.stopped)


class ClaimTest(_WorldCase):
    async def test_records_alone_are_no_proof(self):
        """Guards against ends that only records of other programs show."""
        for check in (UNANSWERED, UNIDENTIFIED):
            for is_renewed in (True, False):
                with self.subTest(check=check, is_renewed=is_renewed):
                    self.setUp()
                    self.world.servers.checks[self.server.id] = check
                    self.crashes.begin('one', [self.server])
                    self.claim(self.server, id='export')
                    for _ in range(4):
                        await self.pass_time(HEARTBEAT_MS)
                        if is_renewed:
                            self.world.add(self.server)
                    self.assertIs(
                        not is_renewed, self.crashes.has_ended(self.server)
                    )

    async def test_silence_of_the_store_is_no_proof(self):
        """Guards against ends that an outage of the store seems to show."""
        self.world.servers.checks[self.server.id] = UNANSWERED
        self.crashes.begin('one', [self.server])
        self.claim(self.server, id='export')
        for _ in range(0, 2 * crash_detection.SILENT_MS, 100):
            self.world.clock.advance(100)
            self.crashes.tick()
            await asyncio.sleep(0)
        self.assertTrue(self.state.is_stale(self.world.clock.now()))
        self.assertFalse(self.crashes.has_ended(self.server))

    async def test_claimed_server_is_excluded_until_it_shows_life(self):
        """Guards against servers that a foreign record excludes for good."""
        signs = {
            'own record': lambda: self.world.add(self.server),
            'identified answer': lambda: self.answer(ports.Responder.LISTED),
            'other answer': lambda: self.answer(ports.Responder.UNKNOWN),
        }
        for name, show in signs.items():
            with self.subTest(name):
                self.setUp()
                self.claim(self.server, id='export')
                now = self.world.clock.now()
                self.assertFalse(self.state.is_usable(self.server, now))
                self.world.advance(2 * routing_state_module.SUSPICION_MS)
                now = self.world.clock.now()
                self.assertFalse(self.state.is_usable(self.server, now))
                show()
                self.assertIs(
                    name != 'other answer',
                    self.state.is_usable(self.server, now),
                )
                self.assertEqual([], self.state.unreported_suspects)
                self.assertEqual({}, self.state.retractions)

    def answer(self, responder):
        now = self.world.clock.now()
        self.world.evidence.record_answer(self.server, now, responder)

    async def test_last_claimed_servers_are_used(self):
        """Guards against callers that are refused for a foreign record."""
        for name in ('a-90', 'b-91', 'c-92'):
            self.claim(
                self.state.servers[name], id='export', service='night-export'
            )
        self.world.serve('/read/x')
        self.assertEqual(1, len(self.world.servers.runs))

    async def test_stalled_server_is_found_beside_a_claim(self):
        """Guards against a foreign record suspected in place of an engine."""
        self.claim(self.server, id='export')
        self.world.add(self.server)
        at_address = self.state.list_at_address(self.server.address)
        self.assertEqual(
            ['b-0', 'export-b-0'], [server.id for server in at_address]
        )


class WithdrawnEndTest(_WorldCase):
    async def end(self):
        """Let the checks find that the process of the server has ended."""
        self.world.servers.checks[self.server.id] = GONE
        run = self.crashes.begin('one', [self.server])
        self.crashes.end(run, crash_detection.RunEnd.BROKEN)
        await asyncio.sleep(
            1.5 * crash_detection.SECOND_CHECK_DELAY_MS / 1_000
        )
        self.assertTrue(self.crashes.has_ended(self.server))
        self.world.servers.checks[self.server.id] = identify(self.server)

    async def test_end_is_withdrawn_when_the_process_answers(self):
        """Guards against an end that is remembered although it was wrong."""
        for is_renewed in (True, False):
            with self.subTest(is_renewed=is_renewed):
                self.setUp()
                self.crashes.begin('two', [self.server])
                await self.end()
                await self.pass_time()
                self.assertTrue(self.crashes.has_ended(self.server))
                if is_renewed:
                    self.world.add(self.server)
                await self.pass_time(crash_detection.RECHECK_MS)
                self.assertIs(
                    not is_renewed, self.crashes.has_ended(self.server)
                )

    async def test_later_process_does_not_withdraw_an_end(self):
        """Guards against a restarted server that counts as the one before."""
        self.crashes.begin('two', [self.server])
        await self.end()
        self.world.replace(self.server)
        await self.pass_time(1_000)
        self.assertTrue(self.crashes.has_ended(self.server))

    async def test_end_is_none_of_runs_that_go_on_or_begin_later(self):
        """Guards against attempts that one wrong end uses up at once."""
        running = self.crashes.begin('two', [self.server])
        await self.end()
        await self.pass_time()
        later = self.crashes.begin('three', [self.server])
        self.assertTrue(self.crashes.has_ended(self.server, running.active_at))
        self.assertFalse(self.crashes.has_ended(self.server, later.active_at))
        running.record_progress(self.world.clock.now())
        self.assertFalse(
            self.crashes.has_ended(self.server, running.active_at)
        )
