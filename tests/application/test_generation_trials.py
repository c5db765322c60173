"""Tests of isolating suspected requests, with two entries."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest
from unittest import mock

from tests import builders
from tests.application import crash_builders
from tests.application import fakes
from tests.application import fleet
from thornspool.application import quarantine
from thornspool.application.generation import attempts as generation_attempts
from thornspool.application.generation import messages as generation_messages
from thornspool.application.generation import trials as generation_trials
from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import messages
from thornspool.domain.pipelines import routes
from thornspool.domain.quarantine import records

CRASHER = 'crasher'
INNOCENT = 'innocent'
WAIT_MS = 2_000


def build_route(*targets):
    """Build a route with one layer a stage."""
    return routes.Route(
        tuple(
            routes.RouteStage(
                target, f'http://{target}', 'a', place, place + 1
            )
            for place, target in enumerate(targets)
        )
    )


@mock.patch.object(quarantine, 'logger')
class FindRouteTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = builders.FakeClock(now=1_000_000)
        self.network = fleet.FakeNetwork()
        members = fleet.build_members(2)
        self.services = [
            quarantine.QuarantineService(
                fakes.FakeMembers(members),
                member.incarnation,
                fleet.FakePeers(self.network, member),
                self.clock,
                random.Random(1).random,
            )
            for member in members
        ]
        for service in self.services:
            service._refresh_view()
        self.clock.advance(quarantine.OWNER_SETTLE_MS)
        patched = mock.patch.object(generation_trials, 'POLL_MS', 1)
        patched.start()
        self.addCleanup(patched.stop)

    async def kill(self, target, *fingerprints, entry=0):
        self.services[entry].record_crash(target, fingerprints)
        await self.network.deliver()

    async def find(self, fingerprint, *choices, entry=0, wait_ms=WAIT_MS):
        """Find a route; successive plans return the choices in turn."""
        planned = []

        def plan(busy):
            planned.append(busy)
            return build_route(*choices[min(len(planned), len(choices)) - 1])

        found = await generation_trials.find_route(
            self.services[entry],
            fingerprint,
            plan,
            self.clock,
            self.clock.now() + wait_ms,
        )
        self.busy = planned
        return found

    def finish(self, fingerprint, route, succeeded, entry=0):
        for target in route.list_targets():
            self.services[entry].record_end(fingerprint, target, succeeded)

    async def test_clear_request_sends_no_message(self, _):
        """Almost all requests are harmless; trials would slow them all."""
        route = await self.find('fresh', ('a', 'b'))
        self.assertEqual(route.list_targets(), ('a', 'b'))
        self.assertEqual(self.network.request_count, 0)

    async def test_two_suspects_never_share_a_stage(self, _):
        """Two requests were in flight when one of them crashed an engine.

        If both ran on one engine again, its crash could not be attributed
        to either, and the harmless one might be quarantined. This applies
        to each stage of the route, not only to the first.
        """
        await self.kill('dead', CRASHER, INNOCENT)
        await self.find(CRASHER, ('a', 'c'))
        for entry in (0, 1):
            with self.subTest(entry=entry):
                route = await self.find(
                    INNOCENT, ('b', 'c'), ('b', 'd'), entry=entry
                )
                self.assertEqual(route.list_targets(), ('b', 'd'))
                self.assertEqual(self.busy[1], frozenset(('b', 'c')))
                self.finish(INNOCENT, route, succeeded=False, entry=entry)
                await self.network.deliver()

    async def test_refused_trial_releases_its_reservations(self, _):
        """A suspect reserves one of its two stages but not the other.

        If the first stayed reserved, the other suspects would wait for a
        request that never runs.
        """
        await self.kill('dead', CRASHER, INNOCENT, 'third')
        await self.find(CRASHER, ('c',))
        await self.find(INNOCENT, ('b', 'c'), ('d',), entry=1)
        await self.network.deliver()
        route = await self.find('third', ('b',), ('none',), entry=0)
        self.assertEqual(route.list_targets(), ('b',))

    async def test_disconnected_caller_releases_the_targets(self, _):
        """The caller disconnects during the requests for reservations."""
        await self.kill('dead', CRASHER, INNOCENT)
        service = self.services[0]
        leaving = mock.AsyncMock(side_effect=asyncio.CancelledError)
        service._reserve, reserve = leaving, service._reserve
        with self.assertRaises(asyncio.CancelledError):
            await self.find(CRASHER, ('a',))
        service._reserve = reserve
        route = await self.find(INNOCENT, ('a',), ('none',))
        self.assertEqual(route.list_targets(), ('a',))

    async def test_crash_during_a_trial_ends_the_retries(self, _):
        """A prompt also crashes the engine of its trial.

        Its retries must stop then, as each would crash another engine. The
        caller is informed when it may retry.
        """
        await self.kill('dead', CRASHER)
        route = await self.find(CRASHER, ('a', 'b'))
        await self.kill('b', CRASHER)
        self.finish(CRASHER, route, succeeded=False)
        for entry in (0, 1):
            with self.assertRaises(generation_trials.DeadlineExceeded):
                await self.find(CRASHER, ('c',), entry=entry, wait_ms=20)
        self.clock.advance(records.VERDICT_DELAY_MS)
        for entry in (0, 1):
            found = await self.find(CRASHER, ('c',), entry=entry)
            self.assertIsInstance(found, generation_trials.QuarantinedRequest)
            self.assertGreater(found.retry_after_ms, 0)

    async def test_wait_ends_with_the_deadline(self, _):
        """Another suspect has reserved the only route for longer."""
        await self.kill('dead', CRASHER, INNOCENT)
        await self.find(CRASHER, ('a',))
        with self.assertRaises(generation_trials.DeadlineExceeded):
            await self.find(INNOCENT, ('a',), wait_ms=20)

    async def test_missing_route_fails_immediately(self, _):
        """No ready target holds some layer, so waiting would not help."""
        await self.kill('dead', CRASHER)
        with self.assertRaises(exceptions.NoPipeline):
            await generation_trials.find_route(
                self.services[0],
                CRASHER,
                mock.Mock(side_effect=exceptions.NoPipeline('no')),
                self.clock,
                self.clock.now() + WAIT_MS,
            )


class ConcurrentSendsTest(unittest.TestCase):
    def count_crashed(self, entries, times, engines=16, seed=0):
        """Send one request through each entry, then one after another."""
        between, step_ms, latency_ms = times
        fleet = crash_builders.CrashFleet(entries, engines)
        fleet.engines.step_ms = step_ms
        fleet.engines.random.seed(seed)
        fleet.network.latency_ms = latency_ms
        prompt = crash_builders.CRASHING_PROMPT

        async def work():
            fleet.start_quarantine()
            sends = []
            for number in range(entries):
                sends.append(
                    asyncio.ensure_future(fleet.generate(number, prompt))
                )
                await asyncio.sleep(between / 1000)
            await asyncio.gather(*sends)
            for number in range(6):
                await asyncio.sleep(1.5)
                last = await fleet.generate(number % entries, prompt)
            self.assertIs(messages.Reason.CONDEMNED, last.reason)

        fakes.run(fleet.clock, work())
        return len(fleet.engines.crashed)

    def test_prompt_through_many_entries_crashes_two_engines(self) -> None:
        """A prompt arrives at several entries before a crash is reported.

        If each entry drew its route independently, each would crash a
        different engine. The columns are the milliseconds between the
        requests, of one engine step, and of the message latency.
        """
        table = itertools.product(
            (2, 3, 9), ((0, 1, 1), (0, 49, 1), (2, 49, 1), (0, 49, 10))
        )
        for entries, times in table:
            with self.subTest(entries=entries, times=times):
                self.assertLessEqual(self.count_crashed(entries, times), 2)

    def test_entries_with_other_engines_stop_on_an_update(self) -> None:
        """Entries have different candidate engines, as in a large fleet.

        They choose different ones for the same prompt. The update about the
        first crash arrives before the other engines finish their step.
        """
        for seed in range(5):
            with self.subTest(seed=seed):
                dead = self.count_crashed(9, (0, 49, 1), 96, seed)
                self.assertLessEqual(dead, 3)

    def test_late_update_does_not_affect_a_trial_or_other_prompts(
        self,
    ) -> None:
        """The update about an earlier crash arrives late, during the trial.

        If it ended the trial, the prompt would never complete.
        """
        fleet = crash_builders.CrashFleet(entries=2, targets=4)
        update = records.QuarantineRecords('e').record_death(
            'slots-0', frozenset({FINGERPRINT}), frozenset(), 0
        )

        async def work():
            kept = fleet.entries[0].quarantine
            await kept._handle_update('e', update)
            sends = [
                asyncio.ensure_future(fleet.generate(0, prompt))
                for prompt in (HARMLESS, 'other')
            ]
            await asyncio.sleep(0.01)
            await kept._handle_update('e', update)
            return await asyncio.gather(*sends)

        fleet.engines.step_ms = 500
        for last in fakes.run(fleet.clock, work()):
            self.assertEqual(generation_messages.Finished(0), last)
        self.assertEqual({HARMLESS: 1, 'other': 1}, dict(fleet.engines.runs))


HARMLESS = 'harmless'
FINGERPRINT = generation_attempts.fingerprint_request(
    crash_builders.build_request('r', HARMLESS, 0)
)
