"""Non-idempotent actions while entries, platform or services fail.

The stand-ins of the service count the executions.
"""

from __future__ import annotations

import asyncio
import signal

from tests.processes import deployment as deployments
from thornspool.application import ports
from thornspool.application.ledger import router as ledger_router
from thornspool.domain.actions import keys

BURST = 60
CANDIDATE_KEYS = 400
KEY_OFFSETS_MS = range(20_000, 55_000, 2_500)
"""One per time slot, since the writer may write no page of a given slot."""
SLOW_MS = 100
"""Long enough to suspend a writer during its write, and short enough that the
write has not timed out when the writer resumes after another entry's call."""
ALL = (0, 1, 2)


class ActionMixin:
    """Steps shared by the tests of actions."""

    check_fencing = True

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.set_behaviour()
        self.calls_before = await self.deployment.count_calls()

    async def set_behaviour(self, **behaviour) -> None:
        await self.deployment.set_behaviour(
            check_fencing=self.check_fencing, **behaviour
        )

    async def count_calls(self) -> int:
        """Return the number of calls that reached services in this test."""
        return await self.deployment.count_calls() - self.calls_before

    async def wait_call_in_flight(self) -> None:
        async def is_called():
            return await self.deployment.count_running_calls() == 1

        await deployments.wait_until(
            is_called, 'a call is in flight at the service'
        )

    async def wait_page_written(self, before: int) -> None:
        async def is_written():
            return await self.deployment.count_platform_calls('put') > before

        await deployments.wait_until(is_written, 'a page is written')

    def make_keys_for_writer(self, writer: int) -> list[str]:
        """Make keys of one page whose preferred writer is this entry."""
        names = [one.ready['incarnation'] for one in self.deployment.entries]
        members = [ports.Member(name, '', '', '', '', '') for name in names]
        for ahead_ms in KEY_OFFSETS_MS:
            found: dict[keys.PageAddress, list[str]] = {}
            for _ in range(CANDIDATE_KEYS):
                key = deployments.make_key(ahead_ms)
                page = deployments.locate_page(key)
                found.setdefault(page, []).append(key)
            for page, group in found.items():
                chosen = ledger_router.choose_writer(
                    members, page.bucket, page.slot
                )
                if chosen.incarnation == names[writer] and group[BURST:]:
                    return group[:BURST]
        raise AssertionError('No page has this entry as preferred writer.')

    async def wait_granted(self, key) -> None:
        """Wait until the platform stores the ledger page of a key."""
        page = deployments.locate_page(key)
        path = keys.format_page_key(page, keys.Layout())

        async def is_granted():
            return bool(await self.deployment.read_value(path))

        await deployments.wait_until(is_granted, 'the grant is stored')

    async def check_at_most_once(self, key, replies) -> None:
        """Check executions, at most one, against the outcomes received."""
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


class RunnersTest(ActionMixin, deployments.FreshDeploymentCase):
    """Entries that are killed or suspended while they run an action.

    The service checks fencing tokens.
    """

    async def test_a_runner_killed_during_its_call_is_not_replaced(
        self,
    ) -> None:
        """The entry is killed while the service executes the action.

        The caller sees a broken connection and sends the key through
        another entry, which cannot determine how far the call went.
        """
        key = deployments.make_key()
        await self.set_behaviour(slow_ms=1_000)
        first = asyncio.create_task(self.deployment.send_action(0, key))
        await self.wait_call_in_flight()
        self.deployment.entries[0].kill()
        with self.assertRaises(ConnectionError):
            await first
        replies = [
            await self.deployment.send_action(entry, key, is_resent=True)
            for entry in (1, 2)
        ]
        await self.deployment.wait_idle()
        replies.append(
            await self.deployment.send_action(1, key, is_resent=True)
        )
        self.assertEqual(['unknown'] * 3, [one.outcome for one in replies])
        self.assertEqual(1, await self.count_calls())
        self.assertEqual(1, await self.deployment.count_executions(key))

    async def test_a_runner_suspended_before_its_call_runs_at_most_once(self):
        """A host is suspended between the grant and the call.

        By the time it resumes, the caller has sent the key through another
        entry. The resumed process must not run the action as well.
        """
        await self.check_suspended_runner(deployments.HOLD)

    async def test_a_runner_suspended_past_its_deadline_runs_at_most_once(
        self,
    ):
        """A host is suspended in the same place beyond every timeout."""
        await self.check_suspended_runner(deployments.QUICK)

    async def check_suspended_runner(self, operation: str) -> None:
        deployment, key = self.deployment, self.make_keys_for_writer(0)[0]
        before = await deployment.count_platform_calls('put')
        await deployment.set_faults(slow_ms=SLOW_MS)
        first = asyncio.create_task(
            deployment.send_action(0, key, operation=operation)
        )
        await self.wait_page_written(before)
        deployment.entries[0].send_signal(signal.SIGSTOP)
        await deployment.set_faults()
        await self.wait_granted(key)
        resent_replies = [
            await deployment.send_action(
                1, key, operation=operation, is_resent=True
            )
        ]
        if operation == deployments.QUICK:
            timeout_ms = deployments.TIMEOUTS_MS[operation]
            await asyncio.sleep(timeout_ms / 1000)
        deployment.entries[0].send_signal(signal.SIGCONT)
        replies = [await first, *resent_replies]
        replies += [
            await deployment.send_action(
                entry, key, operation=operation, is_resent=True
            )
            for entry in ALL
        ]
        await self.check_at_most_once(key, replies)


class UnfencedRunnersTest(RunnersTest):
    """The same failures with a service that ignores fencing tokens."""

    check_fencing = False


class FaultsTest(ActionMixin, deployments.SharedDeploymentCase):
    """Faults of callers, the platform and the service."""

    async def test_same_key_through_three_entries_runs_once(self):
        """A client sends an action through three entries concurrently.

        Without coordination each entry would run it and hold three slots.
        """
        for check_fencing in (True, False):
            with self.subTest(check_fencing=check_fencing):
                key = deployments.make_key()
                await self.deployment.set_behaviour(
                    check_fencing=check_fencing, slow_ms=200
                )
                before = await self.count_calls()
                replies = await asyncio.gather(
                    *(self.deployment.send_action(entry, key) for entry in ALL)
                )
                self.assertEqual([200] * 3, [one.status for one in replies])
                self.assertEqual(1, len({one.body for one in replies}))
                self.assertEqual(before + 1, await self.count_calls())

    async def test_platform_outage_consumes_no_key(self) -> None:
        """The platform is unavailable and then recovers.

        Callers receive "not run" and a time to retry without delay. A key
        that is bound to its entry runs during the outage.
        """
        deployment, key = self.deployment, deployments.make_key()
        await deployment.set_faults(down=True)
        reply = await deployment.send_action(0, key)
        self.assertEqual((503, 'not run'), (reply.status, reply.outcome))
        self.assertIs(False, reply.key_checked)
        self.assertIn('Retry-After', reply.headers)
        self.assertEqual(0, await self.count_calls())
        bound = await deployment.create_bound_key(0)
        self.assertEqual(422, (await deployment.send_action(1, bound)).status)
        self.assertEqual(
            'done', (await deployment.send_action(0, bound)).outcome
        )
        self.assertEqual(1, await deployment.count_executions(bound))
        await deployment.set_faults()
        await deployment.send_until_done(key)
        self.assertEqual(1, await deployment.count_executions(key))
        self.assertEqual(2, await self.count_calls())

    async def test_platform_writes_lost_or_late_run_a_key_once(self) -> None:
        """A write to the platform, or the response to it, is lost or late.

        An entry that took a missing response for "not written" would grant
        the key to another attempt as well.
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
                    *(self.deployment.send_action(entry, key) for entry in ALL)
                )
                await self.deployment.send_until_done(key)
                executions = await self.deployment.count_executions(key)
                self.assertEqual(1, executions)

    async def test_lost_service_response_is_never_retried(self):
        """The service executes an action and the connection breaks.

        An entry cannot distinguish this from a call that was not executed.
        """
        key = deployments.make_key()
        await self.set_behaviour(lose_answers=10)
        replies = [
            await self.deployment.send_action(entry, key, is_resent=entry > 0)
            for entry in (*ALL, *ALL)
        ]
        self.assertEqual([504] * 6, [reply.status for reply in replies])
        self.assertEqual({'unknown'}, {reply.outcome for reply in replies})
        self.assertEqual(1, await self.count_calls())

    async def test_key_reused_with_another_body_is_refused(self) -> None:
        """A faulty caller uses one key for two actions.

        Replaying the first response would report the second action as done.
        """
        key = deployments.make_key()
        await self.deployment.send_action(0, key)
        for entry in ALL:
            reply = await self.deployment.send_action(
                entry, key, b'{"slot": 8}'
            )
            self.assertEqual((422, 'not run'), (reply.status, reply.outcome))
        self.assertEqual(1, await self.count_calls())


class WritersTest(ActionMixin, deployments.FreshDeploymentCase):
    """Entries that are killed or suspended while they write a page."""

    async def test_a_page_writer_killed_during_a_burst(self) -> None:
        """The writer of a page is killed while keys of the page arrive.

        The other entries write the page themselves. They must find a grant
        that the writer had stored without a response.
        """
        deployment, burst = self.deployment, self.make_keys_for_writer(2)
        sending = [
            asyncio.create_task(deployment.send_action(number % 2, key))
            for number, key in enumerate(burst)
        ]
        await self.wait_first_call()
        deployment.entries[2].kill()
        replies = dict(zip(burst, await asyncio.gather(*sending), strict=True))
        deployment.entries.pop()
        outcomes = {reply.outcome for reply in replies.values()}
        self.assertLessEqual(outcomes, {'done', 'not run'})
        for key, reply in replies.items():
            ran = await deployment.count_executions(key)
            self.assertEqual(int(reply.outcome == 'done'), ran)
            await deployment.send_until_done(key)
            self.assertEqual(1, await deployment.count_executions(key))

    async def test_a_page_writer_suspended_during_a_write(self) -> None:
        """The writer of a page is suspended during a write and resumes.

        Two entries then write one page, each from its local copy.
        """
        deployment, burst = self.deployment, self.make_keys_for_writer(2)
        before = await deployment.count_platform_calls('put')
        await deployment.set_faults(slow_ms=250)
        sending = [
            asyncio.create_task(deployment.send_action(number % 2, key))
            for number, key in enumerate(burst[:20])
        ]
        await self.wait_page_written(before)
        deployment.entries[2].send_signal(signal.SIGSTOP)
        await deployment.set_faults()
        replies = await asyncio.gather(*sending)
        deployment.entries[2].send_signal(signal.SIGCONT)
        replies += await asyncio.gather(
            *(
                deployment.send_action(2, key, is_resent=True)
                for key in burst[:20]
            )
        )
        replies += await asyncio.gather(
            *(
                deployment.send_action(entry, key)
                for key in burst[20:30]
                for entry in ALL
            )
        )
        for key in burst[:30]:
            await deployment.send_until_done(key)
            self.assertEqual(1, await deployment.count_executions(key))
        self.assertEqual(30, await self.count_calls())

    async def wait_first_call(self) -> None:
        async def is_called():
            return await self.count_calls() > 0

        await deployments.wait_until(is_called, 'a first call arrives')
