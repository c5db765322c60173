"""Calls to plain services that crash the targets that run them."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from tests.application import crash_builders
from tests.application import fakes
from thornspool.application import requests
from thornspool.application import service_trials
from thornspool.domain.actions import results
from thornspool.domain.quarantine import records

HOUR_MS = records.CONDEMNED_TTL_MS
INNOCENT = crash_builders.INNOCENT
PAUSE_S = 1.5
SENDS = 9


async def send_again(
    fleet, operation, body=crash_builders.CRASHER, pause_s=PAUSE_S
):
    """Send a body through each entry in turn; return what was told."""
    fleet.start()
    told = []
    for number in range(SENDS):
        entry = number % len(fleet.entries)
        told.append(await fleet.send(entry, body, operation))
        await asyncio.sleep(pause_s)
    return told


class ServiceTrialsTest(unittest.TestCase):
    def test_a_crashing_call_costs_two_targets(self) -> None:
        """A call crashes each target that runs it and is sent again.

        Without the quarantine a status read alone costs four targets, and
        a payout that is sent under a new key one more each time, until
        nobody is served.
        """
        for operation in ('status', 'hold', 'pay'):
            # Lost news arrive by the comparisons.
            for lost, pause_s in ((), PAUSE_S), (('QuarantineNews',), 20):
                with self.subTest(operation, lost=lost):
                    fleet = crash_builders.CrashFleet()
                    fleet.network.lose.update(lost)
                    told = fakes.run(
                        fleet.clock,
                        send_again(fleet, operation, pause_s=pause_s),
                    )
                    self.assertEqual(2, len(fleet.services.dead))
                    self.check_refused(fleet, told[-1], operation)

    def check_refused(self, fleet, told, operation):
        self.assertEqual(
            {'Condemned'}, fleet.check(crash_builders.CRASHER, operation)
        )
        self.assertIsInstance(told, requests.RequestRefused)
        self.assertIn('crashed', told.message)
        self.assertGreater(told.retry_after_ms, HOUR_MS // 2)

    def test_sends_at_once_through_many_entries_cost_two_targets(self):
        """The same call comes through several entries before any can know.

        If each chose a target by itself, each would lose one. The last
        columns are milliseconds between the sends, until a target dies and
        until news arrive; a send may find the target dead already.
        """
        table = itertools.product(
            ('status', 'hold', 'pay'),
            (2, 3, 9),
            ((0, 1, 1), (0, 50, 1), (1, 1, 1), (2, 5, 10), (7, 1, 20)),
        )
        for operation, entries, times in table:
            with self.subTest(operation, entries=entries, times=times):
                between, crash_ms, latency_ms = times
                fleet = crash_builders.CrashFleet(entries, targets=12)
                fleet.services.crash_ms = crash_ms
                fleet.network.latency_ms = latency_ms
                work = self.send_at_once(fleet, operation, between)
                fakes.run(fleet.clock, work)
                self.assertLessEqual(len(fleet.services.dead), 2)

    def test_sends_at_once_through_one_entry_cost_two_targets(self) -> None:
        """Callers send the same call many times through one entry.

        Its first target has clearly more to do than the others then, and
        new calls go past such a target.
        """
        for operation in ('status', 'hold', 'pay'):
            with self.subTest(operation):
                fleet = crash_builders.CrashFleet()

                async def work(fleet=fleet, operation=operation):
                    await asyncio.gather(
                        *(
                            fleet.send(0, operation=operation)
                            for _ in range(12)
                        )
                    )
                    await send_again(fleet, operation)

                fakes.run(fleet.clock, work())
                self.assertEqual(2, len(fleet.services.dead))

    def test_a_lost_answer_just_before_the_death_costs_no_more(self) -> None:
        """One of two reads at once loses its answer, the other its target.

        The first is sent on to another target. It must not arrive there
        before the news of what the second one did.
        """
        fleet = crash_builders.CrashFleet(entries=2)
        fleet.services.breaking = 1
        fakes.run(fleet.clock, self.send_at_once(fleet, 'status', 0))
        self.assertEqual(2, len(fleet.services.dead))

    async def send_at_once(self, fleet, operation, between):
        sent = []
        for number, _ in enumerate(fleet.entries):
            work = fleet.send(number, operation=operation)
            sent.append(asyncio.ensure_future(work))
            await asyncio.sleep(between / 1000)
        await asyncio.gather(*sent)
        await asyncio.sleep(PAUSE_S)
        await send_again(fleet, operation)

    def test_a_condemned_key_that_may_have_run_is_not_denied(self) -> None:
        """A caller asks again with the key under which a target died.

        "Not run" would have it pay once more by other means.
        """
        fleet = crash_builders.CrashFleet()

        async def work():
            told = [
                await fleet.send(0, operation='hold', key=key)
                for key in (KEY, '')
            ]
            await asyncio.sleep(PAUSE_S)
            told.append(
                await fleet.send(1, operation='hold', key=KEY, resent=True)
            )
            told.append(await fleet.send(1, operation='hold'))
            return told

        *unknown, refused = fakes.run(fleet.clock, work())
        for one in unknown:
            self.assertIsInstance(one, results.ActionUnknown)
        self.assertIsInstance(refused, requests.RequestRefused)
        self.assertEqual(2, len(fleet.services.dead))

    def test_what_is_no_death_condemns_nothing(self) -> None:
        """Answers are lost while the targets live, again and again.

        A payout that met two broken connections would be refused for an
        hour though it is harmless.
        """
        cases = {'answers lost': False, 'host or link lost': True}
        for name, unreachable in cases.items():
            for operation in ('status', 'hold', 'pay'):
                with self.subTest(name, operation=operation):
                    fleet = crash_builders.CrashFleet()
                    fleet.services.breaking = 6 * (not unreachable)
                    fleet.services.unreachable = unreachable
                    body = INNOCENT
                    if unreachable:
                        body = crash_builders.CRASHER
                    fakes.run(fleet.clock, send_again(fleet, operation, body))
                    self.assertEqual({'Clear'}, fleet.check(body, operation))

    def test_innocents_that_shared_the_target_still_finish(self) -> None:
        """Calls are in flight on the target that dies of another's call.

        Their callers send them again and must be served, and none of them
        may be condemned for the company that it was in.
        """
        for operation in ('status', 'hold', 'pay'):
            with self.subTest(operation):
                fleet = crash_builders.CrashFleet(targets=4)
                bodies = [b'{"note": %d}' % number for number in range(12)]
                served = fakes.run(
                    fleet.clock, self.share(fleet, operation, bodies)
                )
                self.assertLessEqual(len(fleet.services.dead), 2)
                for body, done in zip(bodies, served, strict=True):
                    self.assertTrue(done, body)
                    self.assertEqual({'Clear'}, fleet.check(body, operation))

    async def share(self, fleet, operation, bodies):
        async def insist(entry, body):
            for _ in range(20):
                told = await fleet.send(entry, body, operation)
                if isinstance(told, results.ActionDone):
                    return True
                await asyncio.sleep(0.3)
            return False

        fleet.services.latency_ms = 40
        served = asyncio.gather(
            *(insist(number % 3, body) for number, body in enumerate(bodies))
        )
        await send_again(fleet, operation)
        return await served

    def test_a_suspect_is_not_sent_after_news_during_its_grant(self) -> None:
        """A target dies under a payout while the same one awaits its grant.

        Sent all the same, it would cost another target. It was not sent,
        so "not run" is true of it.
        """
        fleet = crash_builders.CrashFleet(entries=2)
        fleet.services.crash_ms = 1
        fleet.network.latency_ms = 1

        async def work():
            first = asyncio.create_task(fleet.send(0, operation='hold'))
            await asyncio.sleep(0.002)
            fleet.platform.latency_ms = 60
            return await asyncio.gather(first, fleet.send(1, operation='hold'))

        first, second = fakes.run(fleet.clock, work())
        self.assertEqual(1, len(fleet.services.dead))
        self.assertIsInstance(first, results.ActionUnknown)
        self.assertIsInstance(second, results.ActionNotRun)

    def test_an_action_without_a_grant_gives_its_target_back(self) -> None:
        """A suspect got its target, and the platform is down.

        Kept on, the target would be closed to the other suspects for a
        minute, and they are the payouts of other callers.
        """
        fleet = crash_builders.CrashFleet(targets=2)

        async def work():
            await fleet.send(0, operation='hold')
            fleet.platform.down = True
            told = await fleet.send(0, operation='hold')
            await asyncio.sleep(0.1)
            return told

        told = fakes.run(fleet.clock, work())
        self.assertIsInstance(told, results.ActionNotRun)
        for entry in fleet.entries:
            self.assertEqual({}, entry.quarantine._trials)
            self.assertEqual({}, entry.quarantine._reservations._kept)

    def test_a_settled_key_waits_for_no_trial(self) -> None:
        """A suspect's key is sent again while the suspect is on trial.

        What became of the key is on record; its caller would wait for it
        until the deadline, and then read "not run".
        """
        fleet = crash_builders.CrashFleet()

        async def work():
            told = await fleet.send(0, operation='hold', key=KEY)
            await asyncio.sleep(1)
            fleet.services.crash_ms = 5_000
            trial = asyncio.create_task(fleet.send(0, operation='hold'))
            await asyncio.sleep(0.2)
            before = fleet.clock.now()
            again = await fleet.send(1, operation='hold', key=KEY)
            self.assertLess(fleet.clock.now() - before, 500)
            trial.cancel()
            return told, again

        for told in fakes.run(fleet.clock, work()):
            self.assertIsInstance(told, results.ActionUnknown)
        self.assertEqual(1, len(fleet.services.dead))

    def test_find_target_tells_of_none(self) -> None:
        async def work():
            with self.assertRaises(service_trials.NoTarget):
                await service_trials.find_target(
                    service_trials.NoTrials(),
                    'f',
                    lambda busy: None,
                    fleet.clock,
                    0,
                )

        fleet = crash_builders.CrashFleet()
        fakes.run(fleet.clock, work())


KEY = crash_builders.builders.build_key(99, 1_790_000_000_000 + 5_000)


class RankTest(unittest.TestCase):
    def test_a_read_that_ran_of_late_uses_all_targets(self) -> None:
        """Callers ask for the same status many times a second.

        One target would answer them all, and be overloaded.
        """
        reached, calls = self.count([INNOCENT] * 120, crowd=1)
        self.assertEqual(4, len(reached))
        self.assertEqual(120, calls)

    def test_new_calls_go_past_a_target_with_more_to_do(self) -> None:
        """Many new calls are in flight, each with a target of its own."""
        bodies = [b'{"note": %d}' % number for number in range(40)]
        reached, _ = self.count(bodies, crowd=40)
        spread = max(reached.values()) - min(reached.values())
        self.assertLessEqual(spread, 8)

    def count(self, bodies, crowd):
        """Send calls, some at a time, and count them by target."""
        fleet = crash_builders.CrashFleet(entries=1, targets=4)

        async def work():
            for start in range(0, len(bodies), crowd):
                await asyncio.gather(
                    *(
                        fleet.send(0, body)
                        for body in bodies[start : start + crowd]
                    )
                )

        fakes.run(fleet.clock, work())
        reached = fleet.services.reached
        return reached, reached.total()
