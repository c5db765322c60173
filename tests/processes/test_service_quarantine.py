"""Quarantine of calls that crash plain service processes."""

from __future__ import annotations

import asyncio

from standins import service
from tests.processes import deployment as deployments
from thornspool.application import quarantine

NAMES = tuple(f'booking-{number}' for number in range(1, 7))
CRASHING_BODY = b'{"note": "%s"}' % service.DEFAULT_CRASH_MARKER.encode()
CRASHING_CALLS = 9
OTHER_CALLS = 20
ENTRIES = 3
SLOW_MS = 300
SEND_INTERVAL_S = 0.3
FAILED_OUTCOMES = {'unknown', 'not run'}


class ServiceQuarantineTest(deployments.FreshDeploymentCase):
    services = NAMES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # An entry records nothing under a name before it has owned the name
        # for this long.
        await asyncio.sleep(quarantine.OWNER_SETTLE_MS / 1000 + 1)
        await self.deployment.set_behaviour(slow_ms=SLOW_MS)

    def list_exited(self) -> list[str]:
        return [
            one.name
            for one in self.deployment.services
            if one.popen.poll() is not None
        ]

    async def send_harmless(self, number, operation) -> deployments.Reply:
        """Send a harmless call through entries in rotation until done."""
        return await self.deployment.send_until_done(
            deployments.make_key(),
            body=b'{"note": "innocent %d"}' % number,
            operation=operation,
        )

    async def send_crashing_calls(self, operation) -> list[deployments.Reply]:
        """Send the crashing call concurrently, then one at a time."""
        replies = list(
            await asyncio.gather(
                *(
                    self.send_crashing_call(entry, operation)
                    for entry in range(ENTRIES)
                )
            )
        )
        for number in range(CRASHING_CALLS):
            replies.append(
                await self.send_crashing_call(number % ENTRIES, operation)
            )
            await asyncio.sleep(SEND_INTERVAL_S)
        return replies

    async def send_crashing_call(self, entry, operation) -> deployments.Reply:
        return await self.deployment.send_action(
            entry, deployments.make_key(), CRASHING_BODY, operation
        )

    async def check_exited_services(self, operation) -> None:
        others = asyncio.gather(
            *(
                self.send_harmless(number, operation)
                for number in range(OTHER_CALLS)
            )
        )
        await asyncio.sleep(SEND_INTERVAL_S / 2)
        replies = await self.send_crashing_calls(operation)
        for reply in await others:
            self.assertEqual('done', reply.outcome, reply.body)
        exited = self.list_exited()
        self.assertGreaterEqual(len(exited), 1)
        self.assertLessEqual(len(exited), 2, exited)
        for reply in replies:
            self.assertNotEqual('done', reply.outcome)
        await self.check_condemned(operation)

    async def check_condemned(self, operation) -> None:
        """Wait until each entry refuses the call."""

        async def is_condemned() -> bool:
            replies = [
                await self.send_crashing_call(one, operation)
                for one in range(3)
            ]
            return all(b'crashed' in reply.body for reply in replies)

        await deployments.wait_until(is_condemned, 'the call is condemned')
        self.assertLessEqual(len(self.list_exited()), 2)

    async def test_a_read_that_crashes_services_costs_two(self) -> None:
        """A status read crashes each process that runs it.

        It is idempotent, so an entry retries it, and its caller resends it,
        first through several entries concurrently. Concurrent harmless reads
        must be served.
        """
        await self.check_exited_services(deployments.STATUS)

    async def test_an_action_that_crashes_services_costs_two(self) -> None:
        """A hold crashes each process that runs it, under new keys.

        No key is sent twice, but the caller resends the same hold.
        Concurrent harmless holds run once each, or their callers receive
        "unknown".
        """
        keys = [deployments.make_key() for _ in range(OTHER_CALLS)]
        holds = asyncio.gather(
            *(self.send_hold(number, key) for number, key in enumerate(keys))
        )
        await asyncio.sleep(SEND_INTERVAL_S / 2)
        replies = await self.send_crashing_calls(deployments.HOLD)
        outcomes = await holds
        self.assertLessEqual(len(self.list_exited()), 2)
        self.assertLessEqual({one.outcome for one in replies}, FAILED_OUTCOMES)
        for key, outcome in zip(keys, outcomes, strict=True):
            ran = await self.deployment.count_executions(key)
            self.assertLessEqual(ran, 1)
            if outcome == 'not run':
                self.assertEqual(0, ran)
        # Holds that failed with a shared target run under a new key.
        for number, outcome in enumerate(outcomes):
            if outcome != 'done':
                again = await self.send_harmless(number, deployments.HOLD)
                self.assertEqual('done', again.outcome)
        await self.check_condemned(deployments.HOLD)

    async def send_hold(self, number, key) -> str:
        reply = await self.deployment.send_action(
            number % ENTRIES, key, b'{"note": "innocent %d"}' % number
        )
        return reply.outcome
