"""Tests of what shows that a server ended while it ran requests."""

from __future__ import annotations

import asyncio
import unittest

import attrs
from structlog import testing

from tests.application.routing import builders
from thornspool.application.routing import crash_detection
from thornspool.application.routing import ports

GONE = ports.ProcessCheck(False)


class CrashDetectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.crashed = []
        self.world = builders.World()
        self.detector = crash_detection.CrashDetector(
            self.world.clock,
            self.world.routing_state,
            self.world.evidence,
            lambda server_id: True,
            builders.start_task,
        )
        self.detector.set_crash_handler(
            lambda server, names, undecided: self.crashed.append(
                (server.id, set(names))
            )
        )
        self.server = self.world.routing_state.servers['a-90']

    def begin(self, fingerprint='one'):
        return self.detector.begin(fingerprint, [self.server])

    async def pass_time(self, milliseconds=100):
        """Let checks end that wait for milliseconds of the real clock."""
        self.world.clock.advance(milliseconds)
        self.detector.tick()
        await asyncio.sleep(
            1.5 * crash_detection.SECOND_CHECK_DELAY_MS / 1000.0
        )

    async def break_run(self, check, fingerprint='one'):
        self.world.servers.checks[self.server.id] = check
        run = self.begin(fingerprint)
        self.detector.end(run, crash_detection.RunEnd.BROKEN)
        await self.pass_time()

    async def test_only_an_ended_process_counts(self):
        """Guards against resets and cuts that count as crashes."""
        later = self.server.started_at + 1
        table = (
            ('nothing listens', GONE, True),
            ('later process', ports.ProcessCheck(True, later), True),
            ('alive', ports.ProcessCheck(True, self.server.started_at), False),
            ('alive, tells no start', ports.ProcessCheck(True), False),
            ('earlier start', ports.ProcessCheck(True, later - 2), False),
            ('no answer', ports.ProcessCheck(None), False),
        )
        for name, check, ended in table:
            with self.subTest(name):
                await self.asyncSetUp()
                await self.break_run(check)
                wanted = [(self.server.id, {'one'})] if ended else []
                self.assertEqual(wanted, self.crashed)

    async def test_silent_end_shows_when_a_successor_is_listed(self):
        """Guards against hosts that lose power, which close no connection."""
        for change in (
            {'started_at': self.server.started_at + 4_000},
            {'id': 'a-99', 'started_at': self.server.started_at + 4_000},
        ):
            with self.subTest(change):
                await self.asyncSetUp()
                run = self.begin()
                self.detector.end(run, crash_detection.RunEnd.LEFT)
                self.world.routing_state.suspect(self.server.id, 'test', 0)
                self.world.routing_state.remove_server(self.server.id, 3_600)
                await self.pass_time(4_000)
                self.assertEqual([], self.crashed)
                self.world.replace(self.server, **change)
                await self.pass_time()
                self.assertEqual([(self.server.id, {'one'})], self.crashed)

    async def test_later_process_is_not_suspected(self):
        """Guards against a sound server excluded for the process before."""
        run = self.begin()
        later = self.world.replace(self.server)
        await self.pass_time()
        self.detector.end(run, crash_detection.RunEnd.BROKEN)
        self.assertEqual([(self.server.id, {'one'})], self.crashed)
        routing_state = self.world.routing_state
        self.assertTrue(routing_state.is_usable(later, self.world.clock.now()))
        self.assertEqual([], routing_state.unreported_suspects)

    async def test_open_run_is_named_for_a_replaced_server_if_it_was_run(self):
        """Guards against blame for a server that ended before the request."""
        endings = crash_detection.RunEnd
        for ending in endings:
            with self.subTest(ending):
                await self.asyncSetUp()
                run = self.begin()
                self.world.replace(self.server)
                await self.pass_time()
                self.assertEqual([], self.crashed)
                self.detector.end(run, ending)
                is_named = ending in {endings.BROKEN, endings.LEFT}
                self.assertEqual(
                    [(self.server.id, {'one'})] * is_named, self.crashed
                )

    async def test_record_that_gains_its_start_shows_no_end(self):
        """Guards against records that lack the start of their server."""
        listed = self.server
        self.server = attrs.evolve(listed, started_at=None)
        self.world.add(self.server)
        self.begin()
        self.world.add(listed)
        await self.pass_time()
        self.assertEqual([], self.crashed)

    async def test_requests_that_the_server_runs_for_a_while_are_not_named(
        self,
    ):
        """Guards against streams that are blamed for a request beside them."""
        old, young = self.begin('old'), self.begin('young')
        old.record_progress(0)
        old.record_progress(crash_detection.ESTABLISHED_MS)
        young.record_progress(crash_detection.ESTABLISHED_MS)
        await self.break_run(GONE, 'cause')
        self.assertEqual([(self.server.id, {'young', 'cause'})], self.crashed)

    async def test_planned_end_counts_for_no_request(self):
        """Guards against requests blamed for the end of a leaving server."""
        self.world.add(attrs.evolve(self.server, draining=True))
        await self.break_run(GONE)
        self.assertEqual([], self.crashed)

    async def test_end_after_the_removal_of_the_record_counts_for_none(self):
        """Guards against requests blamed for a server that left unannounced.

        Its record is removed first, and it serves on for a while.
        """
        run = self.begin()
        state = self.world.routing_state
        state.remove_server(self.server.id, self.world.clock.now())
        self.world.advance(1_500)
        self.assertNotIn(self.server.id, state.servers)
        self.world.servers.checks[self.server.id] = GONE
        self.detector.end(run, crash_detection.RunEnd.BROKEN)
        await self.pass_time()
        self.assertEqual([], self.crashed)

    async def test_end_tells_which_parts_of_prompts_ran_well(self):
        """Guards against ends whose log does not tell parts apart."""
        shared, other = 'a' * 32, 'b' * 32
        first = self.detector.begin('first', [self.server], parts=(shared,))
        for now in (0, crash_detection.ESTABLISHED_MS):
            first.record_progress(now)
        self.detector.begin('second', [self.server], parts=(shared, other))
        with testing.capture_logs() as logs:
            await self.break_run(GONE)
        ended = next(one for one in logs if one['event'] == 'server_ended')
        self.assertEqual(
            ('b' * 8, 'a' * 8), (ended['parts'], ended['proven_parts'])
        )

    async def test_end_counts_once(self):
        """Guards against one crash that counts for each broken connection."""
        await self.break_run(GONE)
        await self.break_run(GONE)
        self.assertEqual(1, len(self.crashed))
        self.assertEqual(1, self.detector.ended_count)
