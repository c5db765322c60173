"""Calls that crash plain services, through entries as processes."""

from __future__ import annotations

import asyncio

from standins import service
from tests.processes import deployment as deployments
from thornspool.application import quarantine

NAMES = tuple(f'booking-{number}' for number in range(1, 7))
CRASHING = b'{"note": "%s"}' % service.DEFAULT_CRASH_MARKER.encode()
SENDS = 9
INNOCENTS = 20
AT_ONCE = 3
SLOW_MS = 300
PAUSE_S = 0.3
UNDONE = {'unknown', 'not run'}


class ServiceQuarantineTest(deployments.FreshCase):
    services = NAMES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # An entry that came to own a name keeps nothing for so long.
        await asyncio.sleep(quarantine.OWNER_SETTLE_MS / 1000 + 1)
        await self.deployment.set_behaviour(slow_ms=SLOW_MS)

    def list_dead(self) -> list[str]:
        return [
            one.name
            for one in self.deployment.services
            if one.popen.poll() is not None
        ]

    async def insist(self, number, operation) -> deployments.Reply:
        """Send an innocent call by turns until it is answered."""
        return await self.deployment.act_until_done(
            deployments.make_key(),
            body=b'{"note": "innocent %d"}' % number,
            operation=operation,
        )

    async def crash(self, operation) -> list[deployments.Reply]:
        """Send the crashing call at once through all, then in turn."""
        replies = list(
            await asyncio.gather(
                *(self.send(entry, operation) for entry in range(AT_ONCE))
            )
        )
        for number in range(SENDS):
            replies.append(await self.send(number % AT_ONCE, operation))
            await asyncio.sleep(PAUSE_S)
        return replies

    async def send(self, entry, operation) -> deployments.Reply:
        return await self.deployment.act(
            entry, deployments.make_key(), CRASHING, operation
        )

    async def check_cost(self, operation) -> None:
        innocents = asyncio.gather(
            *(self.insist(number, operation) for number in range(INNOCENTS))
        )
        await asyncio.sleep(PAUSE_S / 2)
        replies = await self.crash(operation)
        for reply in await innocents:
            self.assertEqual('done', reply.outcome, reply.body)
        dead = self.list_dead()
        self.assertGreaterEqual(len(dead), 1)
        self.assertLessEqual(len(dead), 2, dead)
        for reply in replies:
            self.assertNotEqual('done', reply.outcome)
        await self.check_condemned(operation)

    async def check_condemned(self, operation) -> None:
        """Check that each entry refuses the call at once."""

        async def is_condemned() -> bool:
            replies = [await self.send(one, operation) for one in range(3)]
            return all(b'crashed' in reply.body for reply in replies)

        await deployments.wait_until(is_condemned, 'the call is condemned')
        self.assertLessEqual(len(self.list_dead()), 2)

    async def test_a_read_that_crashes_services_costs_two(self) -> None:
        """A status read ends each process that runs it.

        It may be repeated, so an entry sends it on by itself, and its
        caller sends it again, at once through several entries and later.
        Reads beside it are served.
        """
        await self.check_cost(deployments.STATUS)

    async def test_an_action_that_crashes_services_costs_two(self) -> None:
        """A hold ends each process that runs it, under key after key.

        No key is sent twice, but the caller sends the same hold again.
        Holds beside it go through once each, or their callers are told
        that nobody knows.
        """
        keys = [deployments.make_key() for _ in range(INNOCENTS)]
        holding = asyncio.gather(
            *(self.hold(number, key) for number, key in enumerate(keys))
        )
        await asyncio.sleep(PAUSE_S / 2)
        replies = await self.crash(deployments.HOLD)
        outcomes = await holding
        self.assertLessEqual(len(self.list_dead()), 2)
        self.assertLessEqual({one.outcome for one in replies}, UNDONE)
        for key, outcome in zip(keys, outcomes, strict=True):
            ran = await self.deployment.count_executions(key)
            self.assertLessEqual(ran, 1)
            if outcome == 'not run':
                self.assertEqual(0, ran)
        # What shared a target with it runs under a new key.
        for number, outcome in enumerate(outcomes):
            if outcome != 'done':
                again = await self.insist(number, deployments.HOLD)
                self.assertEqual('done', again.outcome)
        await self.check_condemned(deployments.HOLD)

    async def hold(self, number, key) -> str:
        reply = await self.deployment.act(
            number % AT_ONCE, key, b'{"note": "innocent %d"}' % number
        )
        return reply.outcome
