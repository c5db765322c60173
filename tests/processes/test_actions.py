"""Non-idempotent actions under faults of real processes.

Executions are counted where they happen, at the stand-ins of the service.
"""

from __future__ import annotations

import asyncio
import signal

from tests.processes import deployment as deployments
from thornspool.application import ports
from thornspool.application.ledger import router as ledger_router
from thornspool.domain.actions import keys

BURST = 60
CANDIDATES = 400
AHEAD_MS = range(20_000, 55_000, 2_500)
"""One for each slot, since a slot may have no page of the wanted writer."""
SLOW_MS = 100
"""Long enough to freeze a writer during its write; short enough that its
write is not past its timeout when it wakes after another's call."""
ALL = (0, 1, 2)


class Actions:
    """What the tests of shared and of fresh deployments have in common."""

    check_fencing = True

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.behave()
        self.calls_before = await self.deployment.count_calls()

    async def behave(self, **behaviour) -> None:
        await self.deployment.set_behaviour(
            check_fencing=self.check_fencing, **behaviour
        )

    async def count_calls(self) -> int:
        """Return the number of calls that reached the services in a test."""
        return await self.deployment.count_calls() - self.calls_before

    async def wait_called(self) -> None:
        async def is_called():
            return await self.deployment.count_running() == 1

        await deployments.wait_until(is_called, 'the service is called')

    async def wait_written(self, before: int) -> None:
        async def is_written():
            return await self.deployment.count_platform('put') > before

        await deployments.wait_until(is_written, 'a page is written')

    def make_keys_of(self, writer: int) -> list[str]:
        """Make keys of one page that an entry is asked first to write."""
        names = [one.ready['incarnation'] for one in self.deployment.entries]
        members = [ports.Member(name, '', '', '', '', '') for name in names]
        for ahead_ms in AHEAD_MS:
            found: dict[keys.PageAddress, list[str]] = {}
            for _ in range(CANDIDATES):
                key = deployments.make_key(ahead_ms)
                page = deployments.locate_page(key)
                found.setdefault(page, []).append(key)
            for page, group in found.items():
                chosen = ledger_router.choose_writer(
                    members, page.bucket, page.slot
                )
                if chosen.incarnation == names[writer] and group[BURST:]:
                    return group[:BURST]
        raise AssertionError('No page is written by this entry.')

    async def wait_granted(self, key) -> None:
        """Wait until the page of a key stands in the platform."""
        page = deployments.locate_page(key)
        path = keys.format_page_key(page, keys.Layout())

        async def is_granted():
            return bool(await self.deployment.read_value(path))

        await deployments.wait_until(is_granted, 'the grant stands')

    async def check_ran_once_at_most(self, key, replies) -> None:
        """Compare executions with everything that callers were told."""
        await self.deployment.wait_idle()
        executions = await self.deployment.count_executions(key)
        calls = await self.count_calls()
        self.assertEqual(executions, calls)
        self.assertLessEqual(calls, 1)
        outcomes = [reply.outcome for reply in replies]
        if set(outcomes) == {'not run'}:
            self.assertEqual(0, calls)
        if 'done' in outcomes:
            self.assertEqual(1, calls)


class RunnersTest(Actions, deployments.FreshCase):
    """Runners that die or freeze, with fencing tokens checked."""

    async def test_a_runner_killed_in_mid_call_is_not_replaced(self) -> None:
        """The entry dies while the service works on the action.

        Its caller sees a broken connection and sends the key elsewhere,
        where nobody can know how far the call came.
        """
        key = deployments.make_key()
        await self.behave(slow_ms=1_000)
        first = asyncio.create_task(self.deployment.act(0, key))
        await self.wait_called()
        self.deployment.entries[0].kill()
        with self.assertRaises(ConnectionError):
            await first
        replies = [
            await self.deployment.act(entry, key, is_resent=True)
            for entry in (1, 2)
        ]
        await self.deployment.wait_idle()
        replies.append(await self.deployment.act(1, key, is_resent=True))
        self.assertEqual(['unknown'] * 3, [one.outcome for one in replies])
        self.assertEqual(1, await self.count_calls())
        self.assertEqual(1, await self.deployment.count_executions(key))

    async def test_a_runner_frozen_before_its_call_runs_nothing_twice(self):
        """A host freezes between the grant and the call, and wakes.

        Its caller has long sent the key through another entry; the woken
        process must not run it as well.
        """
        await self.freeze_runner(deployments.HOLD)

    async def test_a_runner_frozen_past_its_deadline_runs_nothing_twice(self):
        """The same, and the process sleeps past every timeout."""
        await self.freeze_runner(deployments.QUICK)

    async def freeze_runner(self, operation: str) -> None:
        deployment, key = self.deployment, self.make_keys_of(0)[0]
        before = await deployment.count_platform('put')
        await deployment.set_faults(slow_ms=SLOW_MS)
        first = asyncio.create_task(
            deployment.act(0, key, operation=operation)
        )
        await self.wait_written(before)
        deployment.entries[0].send_signal(signal.SIGSTOP)
        await deployment.set_faults()
        await self.wait_granted(key)
        again = [
            await deployment.act(1, key, operation=operation, is_resent=True)
        ]
        if operation == deployments.QUICK:
            timeout_ms = deployments.TIMEOUTS_MS[operation]
            await asyncio.sleep(timeout_ms / 1000)
        deployment.entries[0].send_signal(signal.SIGCONT)
        replies = [await first, *again]
        replies += [
            await deployment.act(
                entry, key, operation=operation, is_resent=True
            )
            for entry in ALL
        ]
        await self.check_ran_once_at_most(key, replies)


class UnfencedRunnersTest(RunnersTest):
    """The same with a service that ignores fencing tokens."""

    check_fencing = False


class FaultsTest(Actions, deployments.SharedCase):
    """Faults of callers, the platform and the service."""

    async def test_one_key_through_three_entries_at_once_runs_once(self):
        """A caller's client sends an action through three entries at once.

        Without agreement each would run it, and three slots are held.
        """
        for check_fencing in (True, False):
            with self.subTest(check_fencing=check_fencing):
                key = deployments.make_key()
                await self.deployment.set_behaviour(
                    check_fencing=check_fencing, slow_ms=200
                )
                before = await self.count_calls()
                replies = await asyncio.gather(
                    *(self.deployment.act(entry, key) for entry in ALL)
                )
                self.assertEqual([200] * 3, [one.status for one in replies])
                self.assertEqual(1, len({one.body for one in replies}))
                self.assertEqual(before + 1, await self.count_calls())

    async def test_an_outage_of_the_platform_costs_no_key(self) -> None:
        """The platform is away, and comes back.

        Callers are told at once that nothing ran and when to come back; a
        key that is bound to its entry runs even so.
        """
        deployment, key = self.deployment, deployments.make_key()
        await deployment.set_faults(down=True)
        reply = await deployment.act(0, key)
        self.assertEqual((503, 'not run'), (reply.status, reply.outcome))
        self.assertIs(False, reply.key_checked)
        self.assertIn('Retry-After', reply.headers)
        self.assertEqual(0, await self.count_calls())
        bound = await deployment.mint_key(0)
        self.assertEqual(422, (await deployment.act(1, bound)).status)
        self.assertEqual('done', (await deployment.act(0, bound)).outcome)
        self.assertEqual(1, await deployment.count_executions(bound))
        await deployment.set_faults()
        await deployment.act_until_done(key)
        self.assertEqual(1, await deployment.count_executions(key))
        self.assertEqual(2, await self.count_calls())

    async def test_lost_and_late_writes_run_nothing_twice(self) -> None:
        """The platform takes a write and its answer is lost, or is late.

        An entry that took silence for "not written" would give the key to
        another attempt as well.
        """
        for faults in (
            {'lose_writes': 3},
            {'drop_writes': 2},
            {'late_writes': 3, 'late_ms': 400},
            {'lose_probability': 0.5},
        ):
            with self.subTest(faults=faults):
                key = deployments.make_key()
                await self.deployment.set_faults(**faults)
                await asyncio.gather(
                    *(self.deployment.act(entry, key) for entry in ALL)
                )
                await self.deployment.act_until_done(key)
                executions = await self.deployment.count_executions(key)
                self.assertEqual(1, executions)

    async def test_a_lost_answer_of_the_service_is_never_asked_again(self):
        """The service executes an action and its connection breaks.

        Nobody can tell that from a call that was not executed.
        """
        key = deployments.make_key()
        await self.behave(lose_answers=10)
        replies = [
            await self.deployment.act(entry, key, is_resent=entry > 0)
            for entry in (*ALL, *ALL)
        ]
        self.assertEqual([504] * 6, [reply.status for reply in replies])
        self.assertEqual({'unknown'}, {reply.outcome for reply in replies})
        self.assertEqual(1, await self.count_calls())

    async def test_a_key_used_for_another_body_is_refused(self) -> None:
        """A caller's fault gives two actions one key.

        Replaying the first answer would tell it that the second was done.
        """
        key = deployments.make_key()
        await self.deployment.act(0, key)
        for entry in ALL:
            reply = await self.deployment.act(entry, key, b'{"slot": 8}')
            self.assertEqual((422, 'not run'), (reply.status, reply.outcome))
        self.assertEqual(1, await self.count_calls())


class WritersTest(Actions, deployments.FreshCase):
    """Writers of pages that die or freeze."""

    async def test_the_writer_of_a_page_dies_under_a_burst(self) -> None:
        """The entry that writes a page dies while keys of it come in.

        The others write the page themselves; a grant that it had written
        and not answered must be found again.
        """
        deployment, burst = self.deployment, self.make_keys_of(2)
        sending = [
            asyncio.create_task(deployment.act(number % 2, key))
            for number, key in enumerate(burst)
        ]
        await self.wait_called_first()
        deployment.entries[2].kill()
        replies = dict(zip(burst, await asyncio.gather(*sending), strict=True))
        deployment.entries.pop()
        outcomes = {reply.outcome for reply in replies.values()}
        self.assertLessEqual(outcomes, {'done', 'not run'})
        for key, reply in replies.items():
            ran = await deployment.count_executions(key)
            self.assertEqual(int(reply.outcome == 'done'), ran)
            await deployment.act_until_done(key)
            self.assertEqual(1, await deployment.count_executions(key))

    async def test_a_writer_wakes_and_believes_it_still_writes(self) -> None:
        """The writer of a page freezes with a write under way, and wakes.

        Two entries write one page then, each from what it last knew.
        """
        deployment, burst = self.deployment, self.make_keys_of(2)
        before = await deployment.count_platform('put')
        await deployment.set_faults(slow_ms=250)
        sending = [
            asyncio.create_task(deployment.act(number % 2, key))
            for number, key in enumerate(burst[:20])
        ]
        await self.wait_written(before)
        deployment.entries[2].send_signal(signal.SIGSTOP)
        await deployment.set_faults()
        replies = await asyncio.gather(*sending)
        deployment.entries[2].send_signal(signal.SIGCONT)
        replies += await asyncio.gather(
            *(deployment.act(2, key, is_resent=True) for key in burst[:20])
        )
        replies += await asyncio.gather(
            *(
                deployment.act(entry, key)
                for key in burst[20:30]
                for entry in ALL
            )
        )
        for key in burst[:30]:
            await deployment.act_until_done(key)
            self.assertEqual(1, await deployment.count_executions(key))
        self.assertEqual(30, await self.count_calls())

    async def wait_called_first(self) -> None:
        async def is_called():
            return await self.count_calls() > 0

        await deployments.wait_until(is_called, 'a first call arrives')
