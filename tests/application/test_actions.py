"""Tests of the action service on fakes with injected faults."""

from __future__ import annotations

import asyncio
import collections
import itertools
import typing
import unittest

from tests import builders as common
from tests.application import builders
from tests.application import fakes
from thornspool.application import ports
from thornspool.application.actions import service as actions
from thornspool.application.ledger import router as ledger_router
from thornspool.domain.actions import keys
from thornspool.domain.actions import results


class ActionServiceTest(unittest.TestCase):
    def test_runs_joins_and_replays(self) -> None:
        fleet = builders.build_fleet()

        async def work() -> list[actions.ActionResult]:
            request = fleet.build_request()
            both = await asyncio.gather(
                *(entry.run(request) for entry in fleet.entries * 2)
            )
            later = await fleet.entries[1].run(request)
            self.assertTrue(await fleet.entries[0].drain(5_000))
            self.assertTrue(await fleet.entries[1].drain(5_000))
            self.assertTrue(await fleet.entries[2].drain(5_000))
            return [*both, later]

        received = fakes.run(fleet.clock, work())
        self.assertEqual({'ActionDone': 7}, builders.count_kinds(received))
        self.assertEqual(1, len({answer.body for answer in received}))
        self.assertEqual(1, sum(not answer.replayed for answer in received))
        self.assertEqual([1], list(fleet.services.executions.values()))

    def test_concurrent_writes_of_one_page_run_a_key_once(self) -> None:
        """The preferred writer is unreachable, so each entry writes itself.

        All read the same version; if several of their writes took effect,
        the action would run several times.
        """
        short_timeout = ledger_router.RouterSettings(reply_timeout_ms=10)
        fleet = builders.build_fleet(
            settings=actions.ActionSettings(router=short_timeout)
        )
        fleet.network.lose.add('GrantRequest')
        fleet.platform.latency_ms = 30

        async def work() -> list[actions.ActionResult]:
            request = fleet.build_request()
            return await asyncio.gather(
                *(entry.run(request) for entry in fleet.entries)
            )

        kinds = builders.count_kinds(fakes.run(fleet.clock, work()))
        self.assertEqual({'ActionDone': 3}, kinds)
        self.assertEqual(1, fleet.services.executions.total())

    def test_slow_platform_receives_no_additional_writes(self) -> None:
        """The platform answers slowly for a long time.

        If entries treated the writer of a page as failed and wrote the page
        themselves, their writes would conflict, and callers would be answered
        "not run" although the platform is up.
        """
        for latency_ms in (3, 150, 400):
            with self.subTest(latency_ms):
                fleet = builders.build_fleet(9)
                fleet.platform.latency_ms = latency_ms

                async def work(
                    fleet: builders.Fleet = fleet,
                ) -> list[actions.ActionResult]:
                    running = []
                    for seed in range(90):
                        entry = fleet.entries[seed % 9]
                        request = fleet.build_request(seed)
                        running.append(asyncio.create_task(entry.run(request)))
                        await asyncio.sleep(0.01)
                    return await asyncio.gather(*running)

                received = fakes.run(fleet.clock, work())
                self.assertEqual(
                    {'ActionDone': 90}, builders.count_kinds(received)
                )
                self.assertLessEqual(fleet.platform.writes, 90)

    def test_results_of_single_faults(self) -> None:
        """Each fault alone, then the caller resends the key elsewhere.

        The columns are the result of the first call, the result of the second
        call after the fault has ended, and the number of executions.
        """
        done, unknown, not_run = 'ActionDone', 'ActionUnknown', 'ActionNotRun'
        table = {
            'none': (done, done, 1),
            'write lost, done': (done, done, 1),
            'write lost, late': (done, done, 1),
            'write lost, never': (done, done, 1),
            'writes lost, never': (done, done, 1),
            'platform down': (not_run, done, 1),
            'writers unreachable': (done, done, 1),
            'grant reply lost': (done, done, 1),
            'target refused': (done, done, 1),
            'targets refused': (not_run, done, 1),
            'answer lost': (unknown, unknown, 1),
            'answer lost, not run': (unknown, unknown, 0),
            'target slow': (unknown, done, 1),
            'runner disconnected': (unknown, done, 1),
        }
        self.assertEqual(set(FAULTS), set(table))
        for name, expected in table.items():
            with self.subTest(name):
                first, second, ran = send_twice([name])
                received = (type(first).__name__, type(second).__name__, ran)
                self.assertEqual(expected, received)

    def test_pairs_of_faults_preserve_the_invariants(self) -> None:
        """Two faults at once, with and without deduplication.

        An action must not run twice, "not run" must be correct, and a key
        that was answered "not run" must run when it is sent again.
        """
        pairs = itertools.product(FAULTS, FAULTS, (False, True))
        for first_fault, second_fault, deduplicates in pairs:
            with self.subTest(f'{first_fault} and {second_fault}'):
                first, second, ran = send_twice(
                    [first_fault, second_fault], deduplicates
                )
                self.assertLessEqual(ran, 1)
                self.assertNotIsInstance(second, actions.ActionNotRun)
                if isinstance(first, actions.ActionNotRun):
                    self.assertIsInstance(second, actions.ActionDone)
                if deduplicates:
                    self.assertIsInstance(second, actions.ActionDone)

    def test_same_key_with_another_body_is_refused(self) -> None:
        """A faulty caller uses one key for two payouts."""
        fleet = builders.build_fleet()

        async def work() -> None:
            await fleet.entries[0].run(fleet.build_request())
            other = fleet.build_request(body=b'{"sum": 2}')
            for entry in fleet.entries:
                received = await entry.run(other)
                self.assertIsInstance(received, actions.ActionRefused)

        fakes.run(fleet.clock, work())
        self.assertEqual(1, fleet.services.executions.total())

    def test_restarted_entry_does_not_answer_for_the_old_one(self) -> None:
        """An entry dies during a call and restarts at the same address.

        The new process has no record of the call. If it reported the attempt
        as void, the action would run twice.
        """
        fleet = builders.build_fleet()
        builders.slow_down(fleet)
        fleet.services.slow_ms = 60_000

        async def work() -> actions.ActionResult:
            request = fleet.build_request(deadline=fleet.clock.now() + 500)
            await fleet.entries[0].run(request)
            fleet.restart(0)
            return await fleet.entries[1].run(fleet.build_request())

        received = fakes.run(fleet.clock, work())
        assert isinstance(received, actions.ActionUnknown)
        self.assertEqual(results.UNKNOWN_RUNNER_GONE, received.reason)
        self.assertEqual(1, fleet.services.executions.total())

    def test_outage_refuses_immediately_and_is_probed(self) -> None:
        """The platform is down for a long time; callers must not wait.

        An older key may have run before, so its result is unknown.
        """
        fleet = builders.build_fleet(1)
        fleet.platform.down = True

        async def work() -> None:
            (entry,) = fleet.entries
            await entry.run(fleet.build_request(1))
            for seed in range(2, 100):
                before = fleet.clock.now()
                received = await entry.run(fleet.build_request(seed))
                assert isinstance(received, actions.ActionNotRun)
                self.assertGreater(received.retry_after_ms, 0)
                self.assertEqual(before, fleet.clock.now())
            self.assertEqual(1, fleet.platform.reads)
            aged = common.build_key(100, fleet.clock.wall() - 501)
            received = await entry.run(fleet.build_request(key=aged))
            self.assertIsInstance(received, actions.ActionUnknown)
            fleet.platform.down = False
            await asyncio.sleep(2.5)
            received_later = await entry.run(fleet.build_request(2))
            self.assertIsInstance(received_later, actions.ActionDone)

        fakes.run(fleet.clock, work())

    def test_malformed_page_affects_only_its_own_keys(self) -> None:
        """Some keys of the ledger hold values that are not pages."""
        fleet = builders.build_fleet(1)

        async def work() -> None:
            (entry,) = fleet.entries
            for seed in range(40):
                request = fleet.build_request(
                    seed, key=common.build_key(seed, fleet.clock.wall())
                )
                address = keys.locate_page(
                    keys.parse_key('swan', request.key, fleet.clock.wall()),
                    keys.Layout(),
                )
                page = keys.format_page_key(address, keys.Layout())
                expected: type = actions.ActionDone
                if address.bucket < 2:
                    bad = ports.Versioned(b'rubbish', 9)
                    fleet.platform.values[page] = bad
                    expected = actions.ActionNotRun
                self.assertIsInstance(await entry.run(request), expected)

        fakes.run(fleet.clock, work())

    def test_bound_key_runs_during_an_outage_at_its_entry_only(self) -> None:
        """The platform is down for hours and an action can not wait.

        A key created by an entry runs there without the platform. It must
        not run at another entry, or both could run the action.
        """
        fleet = builders.build_fleet()
        fleet.platform.down = True

        async def work() -> None:
            owner, other, _ = fleet.entries
            for fault in ('', 'refused', 'lost'):
                fleet.services.faults = {
                    f'http://booking-{n}': collections.deque([fault])
                    for n in (1, 2)
                }
                key = owner.mint_key()
                request = fleet.build_request(key=key)
                received = [await owner.run(request) for _ in range(3)]
                received.append(await owner.look_up('swan', key))
                kinds[fault] = builders.count_kinds(received)
                ran = fleet.services.executions[key]
                self.assertEqual(1, ran)
                refused = await other.run(request)
                assert isinstance(refused, actions.ActionRefused)
                self.assertIn('http://entry-0:8000', refused.reason)
            fleet.clock.advance(930_000)
            late = await owner.run(fleet.build_request(key=key))
            self.assertIsInstance(late, actions.ActionRefused)
            self.assertEqual(1, fleet.services.executions[key])

        kinds: dict[str, dict[str, int]] = {}
        fakes.run(fleet.clock, work())
        expected = {
            '': {'ActionDone': 4},
            'refused': {'ActionNotRun': 1, 'ActionDone': 3},
            'lost': {'ActionUnknown': 4},
        }
        self.assertEqual(expected, kinds)

    def test_look_up_returns_the_recorded_result(self) -> None:
        fleet = builders.build_fleet()
        fleet.services.faults['http://booking-1'] = collections.deque(['slow'])

        async def work() -> list[str]:
            entry, other, _ = fleet.entries
            request = fleet.build_request()
            reasons = []
            for wait in (0, 0.2, 3):
                await asyncio.sleep(wait)
                received = await other.look_up('swan', request.key)
                reasons.append(getattr(received, 'reason', 'done'))
                if not wait:
                    running = asyncio.ensure_future(entry.run(request))
            await running
            return reasons

        self.assertEqual(
            [results.UNKNOWN_NO_RECORD, results.UNKNOWN_RUNNING, 'done'],
            fakes.run(fleet.clock, work()),
        )


def queue_writes(*faults: str) -> typing.Callable[[builders.Fleet], None]:
    """Return a function that queues faults of the next writes."""
    return lambda fleet: fleet.platform.faults.extend(faults)


def queue_calls(**faults: str) -> typing.Callable[[builders.Fleet], None]:
    """Return a function that queues a fault for each target's next call."""

    def apply(fleet: builders.Fleet) -> None:
        for target, fault in faults.items():
            queued = fleet.services.faults.setdefault(
                f'http://booking-{target[1:]}', collections.deque()
            )
            queued.append(fault)

    return apply


def take_platform_down(fleet: builders.Fleet) -> None:
    fleet.platform.down = True


def cut_writers(fleet: builders.Fleet) -> None:
    fleet.network.cut.update(f'tcp://entry-{n}:7000' for n in (1, 2))


def lose_replies(fleet: builders.Fleet) -> None:
    fleet.network.lose_replies.add('GrantRequest')


def cut_runner(fleet: builders.Fleet) -> None:
    queue_calls(t1='slow')(fleet)
    loop = asyncio.get_running_loop()
    loop.call_later(0.5, fleet.network.cut.add, 'tcp://entry-0:7000')
    loop.call_later(0.5, take_platform_down, fleet)


FAULTS: dict[str, typing.Callable[[builders.Fleet], None]] = {
    'none': lambda fleet: None,
    'write lost, done': queue_writes('unknown-done'),
    'write lost, late': queue_writes('unknown-late'),
    'write lost, never': queue_writes('unknown-never'),
    'writes lost, never': queue_writes(*['unknown-never'] * 3),
    'platform down': take_platform_down,
    'writers unreachable': cut_writers,
    'grant reply lost': lose_replies,
    'target refused': queue_calls(t1='refused'),
    'targets refused': queue_calls(t1='refused', t2='refused'),
    'answer lost': queue_calls(t1='lost'),
    'answer lost, not run': queue_calls(t1='lost-before'),
    'target slow': queue_calls(t1='slow'),
    'runner disconnected': cut_runner,
}


def send_twice(
    faults: list[str], deduplicates: bool = False
) -> tuple[actions.ActionResult, actions.ActionResult, int]:
    """Send a key with faults active, then again through another entry.

    Returns
    -------
    tuple
        Both results and the number of executions. A disconnected runner
        stays disconnected; all other faults end before the second call.
    """
    fleet = builders.build_fleet()
    fleet.services.deduplicates = deduplicates
    fleet.services.slow_ms = 1_500

    async def work() -> tuple[actions.ActionResult, actions.ActionResult]:
        for fault in faults:
            FAULTS[fault](fleet)
        first = await fleet.entries[0].run(
            fleet.build_request(
                deduplicates=deduplicates, deadline=fleet.clock.now() + 1_400
            )
        )
        if isinstance(first, actions.ActionNotRun):
            assert not fleet.services.executions
        await asyncio.sleep(2)
        fleet.platform.down = False
        fleet.platform.faults.clear()
        fleet.services.faults.clear()
        fleet.network.lose_replies.clear()
        if 'runner disconnected' not in faults:
            fleet.network.cut.clear()
        await asyncio.sleep(6)
        second = await fleet.entries[1].run(
            fleet.build_request(deduplicates=deduplicates)
        )
        return first, second

    first, second = fakes.run(fleet.clock, work())
    return first, second, fleet.services.executions.total()
