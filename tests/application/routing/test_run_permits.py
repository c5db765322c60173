"""Tests of requests that may have crashed servers."""

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
from thornspool.application.routing import run_permits
from thornspool.domain.quarantine import fingerprints
from thornspool.domain.quarantine import messages
from thornspool.domain.quarantine import records

PATHS = ('/brief/x', '/read/x', '/hold/x')
GONE = ports.ProcessCheck(False)
TIMEOUT_S = 10.0
MAX_ENDED = 5
"""Servers that requests with one part may end before all are refused."""


def compute_fingerprint(path):
    return fingerprints.compute_fingerprint(
        'north', f'{builders.HOST}{path}', b'{}'
    )


class RunPermitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = builders.World()
        self.quarantine = self.world.quarantine

    def crash(self, path, *targets):
        """Record ends of servers that the request may have caused."""
        for target in targets:
            self.quarantine.record_crash(target, [compute_fingerprint(path)])

    def check(self, path):
        return self.world.permits.check(compute_fingerprint(path))

    async def run_tasks(self):
        for _ in range(10):
            await asyncio.sleep(0)

    async def finish_checks(self, path):
        """Wait until no server is checked for the request any more."""
        async with asyncio.timeout(TIMEOUT_S):
            while self.world.crashes.count_checks(compute_fingerprint(path)):
                await asyncio.sleep(0.01)
        await self.run_tasks()

    async def test_reservation_that_fails_is_answered(self):
        """Guards against a request that waits for a trial until its end."""
        replies = []
        self.crash('/read/x', 'a-1', 'a-2')

        async def fail(*arguments):
            raise RecursionError

        self.quarantine.reserve_trial = fail
        self.world.permits.reserve(
            compute_fingerprint('/read/x'), [], 1_000, replies.append
        )
        await self.run_tasks()
        self.assertEqual([None], replies)

    async def test_condemned_request_is_refused_at_once(self):
        """Guards against a request that crashes every server."""
        for path in PATHS:
            with self.subTest(path):
                self.quarantine.condemn(compute_fingerprint(path))
                reply = self.world.serve(path)
                self.assertEqual(
                    (503, 'quarantined'), (reply.status, reply.reason)
                )
                self.assertGreater(reply.retry_after_ms, 60_000)
        self.assertEqual([], self.world.servers.runs)

    async def test_condemned_request_with_another_query_is_refused(self):
        """Guards against a request that crashes servers by each query."""
        for path in PATHS:
            with self.subTest(path):
                self.quarantine.condemn(compute_fingerprint(path))
                reply = self.world.serve(f'{path}?t=1')
                self.assertEqual(
                    (503, 'quarantined'), (reply.status, reply.reason)
                )

    async def test_queries_without_a_body_are_different_requests(self):
        """Guards against sound reads refused for another one."""
        self.quarantine.condemn(
            fingerprints.compute_fingerprint(
                'north', f'{builders.HOST}/read/x?t=1', b''
            )
        )
        for query, is_refused in (('t=1', True), ('t=2', False)):
            with self.subTest(query):
                reply = self.world.serve(f'/read/x?{query}', body=b'')
                self.assertEqual(is_refused, reply.reason == 'quarantined')

    async def test_verdict_lasts_while_the_request_comes_again(self):
        """Guards against a verdict that expires while callers retry."""
        path = PATHS[0]
        self.quarantine.condemn(compute_fingerprint(path))
        for _ in range(6):
            self.world.clock.advance(records.CONDEMNED_TTL_MS // 2)
            self.assertIs(run_permits.Permit.DENIED, self.check(path))
        self.world.clock.advance(records.CONDEMNED_TTL_MS + 1)
        self.assertIs(run_permits.Permit.GRANTED, self.check(path))

    async def test_completion_clears_a_request(self):
        """Guards against a frequent request blamed for ends of its servers."""
        path = '/read/x'
        self.crash(path, 't1')
        self.world.serve(path)
        self.world.servers.last.answer()
        self.assertEqual(
            0, self.quarantine.count_deaths(compute_fingerprint(path))
        )
        self.crash(path, 't2')
        self.assertIs(run_permits.Permit.GRANTED, self.check(path))

    async def test_end_in_a_trial_condemns_a_suspect(self):
        """Guards against a third retry of a request that ended two servers."""
        for path in ('/brief/x', '/read/x'):
            with self.subTest(path):
                self.crash(path, f'{path} 1', f'{path} 2')
                self.assertIs(run_permits.Permit.ON_TRIAL, self.check(path))
                count = len(self.world.servers.runs)
                self.world.serve(path, arrived_at=self.world.clock.now())
                await self.run_tasks()
                self.assertEqual(count + 1, len(self.world.servers.runs))
                run = self.world.servers.last
                self.world.servers.checks[run.run.server.id] = GONE
                run.end(ports.Completion.BROKEN)
                await self.finish_checks(path)
                self.world.clock.advance(records.VERDICT_DELAY_MS)
                self.assertIsInstance(
                    self.quarantine.check(compute_fingerprint(path)),
                    messages.Condemned,
                )

    async def test_trial_that_no_server_ran_condemns_nobody(self):
        """Guards against a verdict for a server that ended before a trial."""
        for ending, verdict in (
            (crash_detection.RunEnd.NOT_RUN, messages.Suspect),
            (crash_detection.RunEnd.BROKEN, messages.Condemned),
        ):
            with self.subTest(ending):
                await self.asyncSetUp()
                self.crash(PATHS[0], 't1', 't2')
                fingerprint = compute_fingerprint(PATHS[0])
                server = self.world.routing_state.servers['a-90']
                trials = []
                self.world.permits.reserve(
                    fingerprint, [server], 1_000, trials.append
                )
                await self.run_tasks()
                run = self.world.permits.begin(
                    fingerprint, [server], trials[0]
                )
                self.world.replace(server)
                self.world.crashes.tick()
                await self.run_tasks()
                self.world.permits.end(run, ending)
                self.world.clock.advance(records.VERDICT_DELAY_MS)
                self.assertIsInstance(
                    self.quarantine.check(fingerprint), verdict
                )

    async def test_suspect_that_is_served_needs_no_further_trial(self):
        """Guards against trials of requests that only ran beside the cause."""
        path = '/read/x'
        self.crash(path, 't1', 't2')
        reply = self.world.serve(path)
        await self.run_tasks()
        self.world.servers.last.answer()
        self.assertEqual(200, reply.status)
        self.assertIs(run_permits.Permit.GRANTED, self.check(path))

    async def test_second_retry_waits_for_the_check_of_a_broken_run(self):
        """Guards against servers that end while the end before is checked."""
        path = '/read/x'
        self.crash(path, 't1')
        self.world.serve(path)
        run = self.world.servers.last
        self.world.servers.checks[run.run.server.id] = GONE
        run.end(ports.Completion.BROKEN)
        self.assertIs(run_permits.Permit.UNKNOWN, self.check(path))
        self.assertEqual(1, len(self.world.servers.runs))
        await self.finish_checks(path)
        self.assertIs(run_permits.Permit.ON_TRIAL, self.check(path))

    async def test_runs_at_engines_that_still_run_count_as_attempts(self):
        """Guards against attempts beyond those of the route on a lossy link.

        Engines that do not answer this entry are suspected, though they run.
        """
        self.world.add_replica('c')
        self.world.serve()
        in_flight = next(iter(self.world.streams.in_flight_requests))
        for number in range(3):
            run = self.world.servers.last
            run.begin()
            run.send(number, number + 1)
            server_id = run.run.server.id
            self.world.servers.checks[server_id] = ports.ProcessCheck(None)
            self.world.routing_state.suspect(
                server_id,
                routing_state_module.NO_REPORT,
                self.world.clock.now(),
            )
            self.world.streams.fail_over(in_flight, 'engine_lost')
            await self.run_tasks()
            self.world.advance(25)
        self.assertEqual(2, len(self.world.servers.runs))

    async def test_run_at_an_engine_that_ended_is_no_attempt(self):
        """Guards against streams that are cut for the end of an engine."""
        self.world.add_replica('c')
        self.world.serve()
        for check in (GONE, ports.ProcessCheck(True)):
            run = self.world.servers.last
            run.begin()
            self.world.servers.checks[run.run.server.id] = check
            run.end(ports.Completion.BROKEN)
            await self.finish_checks('/brief/x')
            self.world.advance(25)
        self.assertEqual(3, len(self.world.servers.runs))

    async def test_request_that_lost_an_engine_is_not_rerouted_again(self):
        """Guards against path changes that crash one engine after another."""
        self.world.serve()
        run = next(iter(self.world.streams.in_flight_requests)).current.tracked
        self.assertTrue(self.world.permits.may_reroute(run))
        self.crash('/brief/x', 't1')
        self.assertFalse(self.world.permits.may_reroute(run))
        run.record_progress(0)
        run.record_progress(crash_detection.ESTABLISHED_MS)
        self.assertTrue(self.world.permits.may_reroute(run))


class PromptPartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = builders.World()
        self.served = 0
        self.ended = []

    async def serve(self, *parts):
        """Serve a request of its own that has the parts in its prompt."""
        self.served += 1
        reply = self.world.serve(
            number=self.served,
            body=b'own %d' % self.served,
            prompt_parts=parts,
        )
        await self.pass_time(0)
        return reply

    async def pass_time(self, milliseconds=25):
        """Advance the clock, and let checks end that wait for real time."""
        for _ in range(10):
            await asyncio.sleep(0)
        self.world.advance(milliseconds)
        self.world.crashes.tick()
        await asyncio.sleep(0.005)

    async def serve_crashing(self, *parts):
        """Serve a request that ends each server that begins to run it."""
        runs = self.world.servers.runs
        count = len(runs)
        reply = await self.serve(*parts)
        async with asyncio.timeout(TIMEOUT_S):
            while not (reply.whole or reply.aborted):
                if count < len(runs):
                    count += 1
                    await self.crash(runs[count - 1])
                await self.pass_time()
        return reply

    async def crash(self, run):
        """End the server of a run, and start it again."""
        server = run.run.server
        self.ended.append(server.id)
        run.begin()
        self.world.servers.checks[server.id] = GONE
        run.end(ports.Completion.BROKEN)
        async with asyncio.timeout(TIMEOUT_S):
            while not self.world.crashes.has_ended(server):
                await self.pass_time()
        del self.world.servers.checks[server.id]
        self.world.add(
            attrs.evolve(server, started_at=server.started_at + 4_000)
        )

    async def run_well(self, *parts):
        """Serve a request whose run makes progress and is completed."""
        reply = await self.serve(*parts)
        run = self.world.servers.last
        run.begin()
        run.send(0, 1)
        self.world.advance(crash_detection.ESTABLISHED_MS)
        run.send(1, 2)
        run.end()
        self.assertEqual((200, True), (reply.status, reply.whole))

    async def test_part_that_crashes_servers_is_refused(self):
        """Guards against requests, no two alike, with a part that crashes."""
        await self.run_well('shared')
        for _ in range(MAX_ENDED):
            reply = await self.serve_crashing('shared', 'crashing')
            await self.pass_time(records.VERDICT_DELAY_MS)
        self.assertLess(len(self.ended), MAX_ENDED)
        count = len(self.world.servers.runs)
        reply = await self.serve('shared', 'crashing')
        self.assertEqual((503, 'quarantined'), (reply.status, reply.reason))
        self.assertGreater(reply.retry_after_ms, 60_000)
        self.assertEqual(count, len(self.world.servers.runs))
        await self.run_well('shared')

    def check(self, *parts):
        """Return whether a request with the parts may be sent."""
        names = [
            fingerprints.compute_part_name('drafting', part) for part in parts
        ]
        return self.world.permits.check('fingerprint', tuple(names))

    async def test_part_that_ran_well_is_no_suspect_after_two_ends(self):
        """Guards against a part in use that is held back for what it met."""
        await self.run_well('shared')
        for _ in range(2):
            reply = await self.serve('shared')
            await self.crash(self.world.servers.last)
            reply.leave()
        self.assertIs(run_permits.Permit.GRANTED, self.check('shared'))
        self.assertIs(run_permits.Permit.GRANTED, self.check('other'))

    async def test_progress_in_a_trial_clears_a_part(self):
        """Guards against requests that wait for the whole trial of another."""
        for _ in range(2):
            reply = await self.serve('shared')
            await self.crash(self.world.servers.last)
            reply.leave()
        self.assertIs(run_permits.Permit.ON_TRIAL, self.check('shared'))
        await self.serve('shared')
        run = self.world.servers.last
        run.begin()
        run.send(0, 1)
        self.assertIs(run_permits.Permit.ON_TRIAL, self.check('shared'))
        self.world.advance(crash_detection.ESTABLISHED_MS)
        run.send(1, 2)
        self.assertIs(run_permits.Permit.GRANTED, self.check('shared'))

    async def test_check_in_progress_holds_back_a_part_not_seen_well(self):
        """Guards against servers that end while the end before is checked."""
        await self.run_well('shared')
        self.world.quarantine.record_crash(
            't1', [fingerprints.compute_part_name('drafting', 'new')]
        )
        await self.serve('shared', 'new')
        run = self.world.servers.last
        self.world.servers.checks[run.run.server.id] = GONE
        run.end(ports.Completion.BROKEN)
        self.assertIs(run_permits.Permit.UNKNOWN, self.check('new'))
        self.assertIs(run_permits.Permit.GRANTED, self.check('shared'))

    async def test_run_that_began_before_the_ends_clears_no_part(self):
        """Guards against a part that crashes servers since it last ran."""
        await self.run_well('shared')
        await self.serve('shared')
        run = self.world.servers.last
        run.begin()
        run.send(0, 1)
        self.world.advance(2 * crash_detection.ESTABLISHED_MS)
        names = [fingerprints.compute_part_name('drafting', 'shared')]
        for number in range(records.PROVEN_PART_DEATHS):
            self.world.quarantine.record_crash(f't{number}', names)
        run.send(1, 2)
        run.end()
        self.assertIs(run_permits.Permit.ON_TRIAL, self.check('shared'))
