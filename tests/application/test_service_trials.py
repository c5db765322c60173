"""Tests of calls to plain services that crash their targets."""

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
HARMLESS = crash_builders.INNOCENT
SETTLING_S = 1.5
SEND_COUNT = 9


async def send_again(
    fleet, operation, body=crash_builders.CRASHER, pause_s=SETTLING_S
):
    """Send a body repeatedly through all entries; return the results."""
    fleet.start_quarantine()
    received = []
    for number in range(SEND_COUNT):
        entry = number % len(fleet.entries)
        received.append(await fleet.send(entry, body, operation))
        await asyncio.sleep(pause_s)
    return received


class ServiceTrialsTest(unittest.TestCase):
    def test_a_crashing_call_costs_two_targets(self) -> None:
        """A call that crashes its targets is sent repeatedly.

        Without the quarantine, a single status read crashes four targets. A
        payout sent under new keys crashes one more each time, until no
        target is left.
        """
        for operation in ('status', 'hold', 'pay'):
            # Lost updates are recovered by the periodic synchronization.
            for lost, pause_s in ((), SETTLING_S), (('QuarantineNews',), 20):
                with self.subTest(operation, lost=lost):
                    fleet = crash_builders.CrashFleet()
                    fleet.network.lose.update(lost)
                    received = fakes.run(
                        fleet.clock,
                        send_again(fleet, operation, pause_s=pause_s),
                    )
                    self.assertEqual(2, len(fleet.services.crashed))
                    self.check_refused(fleet, received[-1], operation)

    def check_refused(self, fleet, result, operation):
        self.assertEqual(
            {'Condemned'}, fleet.check(crash_builders.CRASHER, operation)
        )
        self.assertIsInstance(result, requests.RequestRefused)
        self.assertIn('crashed', result.message)
        self.assertGreater(result.retry_after_ms, HOUR_MS // 2)

    def test_simultaneous_sends_through_many_entries_cost_two_targets(self):
        """Several entries receive the same call before any learns of a crash.

        If each entry chose a target by itself, each would lose one. The last
        columns are the milliseconds between the sends, until a target
        crashes and until an update arrives. A send may find that the target
        has already crashed.
        """
        table = itertools.product(
            ('status', 'hold', 'pay'),
            (2, 3, 9),
            ((0, 1, 1), (0, 50, 1), (1, 1, 1), (2, 5, 10), (7, 1, 20)),
        )
        for operation, entries, times in table:
            with self.subTest(operation, entries=entries, times=times):
                interval_ms, crash_ms, latency_ms = times
                fleet = crash_builders.CrashFleet(entries, targets=12)
                fleet.services.crash_ms = crash_ms
                fleet.network.latency_ms = latency_ms
                work = self.send_simultaneously(fleet, operation, interval_ms)
                fakes.run(fleet.clock, work)
                self.assertLessEqual(len(fleet.services.crashed), 2)

    def test_simultaneous_sends_through_one_entry_cost_two_targets(
        self,
    ) -> None:
        """Callers send the same call many times through one entry.

        The first target of the call then has far more calls in flight than
        the others, which moves other new calls to another target.
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
                self.assertEqual(2, len(fleet.services.crashed))

    def test_lost_response_before_a_crash_costs_no_more_targets(self) -> None:
        """Of two simultaneous reads, one loses its response, one its target.

        The first read is retried on another target. It must not arrive there
        before the update on the crash that the second one caused.
        """
        fleet = crash_builders.CrashFleet(entries=2)
        fleet.services.connections_to_break = 1
        fakes.run(fleet.clock, self.send_simultaneously(fleet, 'status', 0))
        self.assertEqual(2, len(fleet.services.crashed))

    async def send_simultaneously(self, fleet, operation, interval_ms):
        sent = []
        for number, _ in enumerate(fleet.entries):
            work = fleet.send(number, operation=operation)
            sent.append(asyncio.ensure_future(work))
            await asyncio.sleep(interval_ms / 1000)
        await asyncio.gather(*sent)
        await asyncio.sleep(SETTLING_S)
        await send_again(fleet, operation)

    def test_condemned_key_that_may_have_run_stays_unknown(self) -> None:
        """A caller resends the key of a call that crashed a target.

        "Not run" would make the caller pay again in another way.
        """
        fleet = crash_builders.CrashFleet()

        async def work():
            received = [
                await fleet.send(0, operation='hold', key=key)
                for key in (KEY, '')
            ]
            await asyncio.sleep(SETTLING_S)
            received.append(
                await fleet.send(1, operation='hold', key=KEY, is_resent=True)
            )
            received.append(await fleet.send(1, operation='hold'))
            return received

        *unknown, refused = fakes.run(fleet.clock, work())
        for item in unknown:
            self.assertIsInstance(item, results.ActionUnknown)
        self.assertIsInstance(refused, requests.RequestRefused)
        self.assertEqual(2, len(fleet.services.crashed))

    def test_failures_without_a_crash_condemn_nothing(self) -> None:
        """Responses are lost repeatedly, but no target crashes.

        Otherwise a harmless payout that encountered two broken connections
        would be refused for an hour.
        """
        cases = {'responses lost': False, 'host or link lost': True}
        for name, unreachable in cases.items():
            for operation in ('status', 'hold', 'pay'):
                with self.subTest(name, operation=operation):
                    fleet = crash_builders.CrashFleet()
                    fleet.services.connections_to_break = 6 * (not unreachable)
                    fleet.services.unreachable = unreachable
                    body = HARMLESS
                    if unreachable:
                        body = crash_builders.CRASHER
                    fakes.run(fleet.clock, send_again(fleet, operation, body))
                    self.assertEqual({'Clear'}, fleet.check(body, operation))

    def test_other_calls_on_a_crashed_target_still_finish(self) -> None:
        """Harmless calls are in flight on a target that another call crashes.

        Their callers send them again and must be served. None of them may be
        condemned because it ran beside the call that caused the crash.
        """
        for operation in ('status', 'hold', 'pay'):
            with self.subTest(operation):
                fleet = crash_builders.CrashFleet(targets=4)
                bodies = [b'{"note": %d}' % number for number in range(12)]
                served = fakes.run(
                    fleet.clock, self.share(fleet, operation, bodies)
                )
                self.assertLessEqual(len(fleet.services.crashed), 2)
                for body, done in zip(bodies, served, strict=True):
                    self.assertTrue(done, body)
                    self.assertEqual({'Clear'}, fleet.check(body, operation))

    async def share(self, fleet, operation, bodies):
        async def send_until_done(entry, body):
            for _ in range(20):
                result = await fleet.send(entry, body, operation)
                if isinstance(result, results.ActionDone):
                    return True
                await asyncio.sleep(0.3)
            return False

        fleet.services.latency_ms = 40
        served = asyncio.gather(
            *(
                send_until_done(number % 3, body)
                for number, body in enumerate(bodies)
            )
        )
        await send_again(fleet, operation)
        return await served

    def test_suspect_is_not_sent_after_a_crash_during_its_grant(self) -> None:
        """A payout crashes a target while the same payout awaits its grant.

        If the second one were sent, it would crash another target. It was
        not sent, so the result "not run" is correct.
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
        self.assertEqual(1, len(fleet.services.crashed))
        self.assertIsInstance(first, results.ActionUnknown)
        self.assertIsInstance(second, results.ActionNotRun)

    def test_action_without_a_grant_releases_its_target(self) -> None:
        """The platform is down after a suspect's target was reserved.

        If the reservation remained, other suspects, which are payouts of
        other callers, could not use the target for a minute.
        """
        fleet = crash_builders.CrashFleet(targets=2)

        async def work():
            await fleet.send(0, operation='hold')
            fleet.platform.down = True
            result = await fleet.send(0, operation='hold')
            await asyncio.sleep(0.1)
            return result

        result = fakes.run(fleet.clock, work())
        self.assertIsInstance(result, results.ActionNotRun)
        for entry in fleet.entries:
            self.assertEqual({}, entry.quarantine._trials)
            self.assertEqual({}, entry.quarantine._reservations._by_name)

    def test_key_with_a_final_result_waits_for_no_trial(self) -> None:
        """A suspect's key is sent again while the suspect is on trial.

        The result of the key is recorded. Without a lookup, the caller would
        wait until the deadline and then receive "not run".
        """
        fleet = crash_builders.CrashFleet()

        async def work():
            first_result = await fleet.send(0, operation='hold', key=KEY)
            await asyncio.sleep(1)
            fleet.services.crash_ms = 5_000
            trial = asyncio.create_task(fleet.send(0, operation='hold'))
            await asyncio.sleep(0.2)
            before = fleet.clock.now()
            repeated = await fleet.send(1, operation='hold', key=KEY)
            self.assertLess(fleet.clock.now() - before, 500)
            trial.cancel()
            return first_result, repeated

        for result in fakes.run(fleet.clock, work()):
            self.assertIsInstance(result, results.ActionUnknown)
        self.assertEqual(1, len(fleet.services.crashed))

    def test_find_target_raises_without_a_target(self) -> None:
        async def work():
            with self.assertRaises(service_trials.NoTargetAvailable):
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


class RankTargetsTest(unittest.TestCase):
    def test_recently_completed_read_uses_all_targets(self) -> None:
        """Callers request the same status many times a second.

        If one target had to serve all of them, it would be overloaded.
        """
        counts, calls = self.count([HARMLESS] * 120, batch_size=1)
        self.assertEqual(4, len(counts))
        self.assertEqual(120, calls)

    def test_new_calls_are_balanced_over_targets(self) -> None:
        """Many new calls are in flight, ranked to different targets."""
        bodies = [b'{"note": %d}' % number for number in range(40)]
        counts, _ = self.count(bodies, batch_size=40)
        difference = max(counts.values()) - min(counts.values())
        self.assertLessEqual(difference, 8)

    def count(self, bodies, batch_size):
        """Send calls in batches and count them by target."""
        fleet = crash_builders.CrashFleet(entries=1, targets=4)

        async def work():
            for start in range(0, len(bodies), batch_size):
                await asyncio.gather(
                    *(
                        fleet.send(0, body)
                        for body in bodies[start : start + batch_size]
                    )
                )

        fakes.run(fleet.clock, work())
        counts = fleet.services.reached
        return counts, counts.total()
