"""Network partitions between entries, and from the platform."""

from __future__ import annotations

import asyncio
import time

from tests.processes import deployment as deployments
from tests.processes import partitions
from tests.processes import relays
from tools import requester

ALL = partitions.ALL
NAMES = partitions.NAMES
PERTH, ALBANY = partitions.HALVES
LAST_ENTRY = ALL[-1]
SENDER_COUNT = 4
LOAD_BEFORE_CUT_S = 2.0
SAMPLES = 120
SLOW_MS = 100
OTHERS = NAMES[:-1]


class PartitionsTest(partitions.PartitionCase):
    """Consecutive partitions between the same entries."""

    async def test_regions_that_lose_each_other_converge_afterwards(
        self,
    ) -> None:
        """All links between two regions are cut; both reach the platform.

        A client sends each hold through both regions. An entry that treated
        the other region as dead and its holds as free would hold a slot
        twice, and a publication in one region would reach only half of the
        entries. The platform also fails for a moment, so that some callers
        receive "not run".
        """
        await self.deployment.set_behaviour(slow_ms=SLOW_MS)
        senders = partitions.ActionSenders(self.deployment)
        for number in range(SENDER_COUNT):
            senders.start(PERTH[number % 2], ALBANY[number // 2])
        await asyncio.sleep(LOAD_BEFORE_CUT_S)
        self.relays.cut(partitions.make_links(*partitions.REGIONS.values()))
        await self.publish_in_one_half()
        await asyncio.gather(
            self.wait_listed(PERTH, PERTH), self.wait_listed(ALBANY, ALBANY)
        )
        await self.fail_platform(senders)
        await self.check_both_halves_run()
        # After this delay nothing arrives that was sent before the entry
        # lists diverged.
        await asyncio.sleep(2 * relays.MAX_DELAY_S)
        began = time.monotonic()
        await self.restore_links()
        print(f'lists complete after {time.monotonic() - began:.1f} s')
        await senders.stop()
        await senders.check(self)
        await self.deployment.set_behaviour()
        for key in senders.replies:
            await senders.send(key, ALL, True)
        await senders.check(self)
        await self.deployment.wait_joined()

    async def fail_platform(self, senders) -> None:
        """Fail the platform until some keys have only "not run" replies."""

        async def has_refused_key() -> bool:
            return bool(senders.list_not_run())

        await self.deployment.set_faults(down=True)
        await deployments.wait_until(
            has_refused_key, 'a caller receives "not run"'
        )
        await self.deployment.set_faults()

    async def publish_in_one_half(self) -> None:
        """Publish in one half and wait until both halves apply it."""
        changed = [deployments.make_workspace('cut', 100)]
        answer = await self.deployment.publish(
            PERTH[0], 'cut', changed, self.version
        )
        self.assertEqual(200, answer.status, answer.body)
        for entry in ALL:
            await self.deployment.wait_version(entry, self.version + 1)

    async def check_both_halves_run(self) -> None:
        """Check that each half runs keys that only it receives."""
        for half in partitions.HALVES:
            key = deployments.make_key()
            await self.deployment.send_until_done(key, half)
            self.assertEqual(1, await self.deployment.count_executions(key))

    async def publish(self, name: str) -> int:
        """Publish through the first entry and return the version."""
        version = await self.deployment.read_version(0)
        changed = [deployments.make_workspace(name, 100)]
        answer = await self.deployment.publish(0, name, changed, version)
        self.assertEqual(200, answer.status, answer.body)
        return version + 1

    async def test_configuration_arrives_by_the_remaining_path(self) -> None:
        """An entry loses the platform, then its peers, but never both.

        If configuration had a single path, the entry would keep the old
        limits and targets and serve callers with them.
        """
        for others in ((partitions.PLATFORM,), OTHERS):
            with self.subTest(cut_from=others):
                self.relays.cut(
                    partitions.make_links([NAMES[LAST_ENTRY]], others)
                )
                version = await self.publish(others[0])
                await self.deployment.wait_version(LAST_ENTRY, version)
                self.assertEqual(200, (await self.read_ready()).status)
        key = deployments.make_key()
        await self.deployment.send_until_done(key, [LAST_ENTRY])

    async def test_an_isolated_entry_accepts_no_requests(self) -> None:
        """An entry loses the platform and its peers simultaneously.

        It cannot determine whether its targets and limits still apply.
        Callers that use its address must receive "not run". After the
        partition it must serve again, with the configuration published
        meanwhile.
        """
        calls = await self.deployment.count_calls()
        self.relays.cut(
            partitions.make_links(
                [NAMES[LAST_ENTRY]], [*OTHERS, partitions.PLATFORM]
            )
        )
        await self.wait_ready(503)
        reply = await self.deployment.send_action(
            LAST_ENTRY, deployments.make_key()
        )
        self.assertEqual((503, 'not run'), (reply.status, reply.outcome))
        self.assertIn('Retry-After', reply.headers)
        self.assertEqual(calls, await self.deployment.count_calls())
        version = await self.publish('isolated')
        self.relays.cut(())
        await self.wait_ready(200)
        self.assertEqual(
            version, await self.deployment.read_version(LAST_ENTRY)
        )
        key = deployments.make_key()
        await self.deployment.send_until_done(key, [LAST_ENTRY])

    async def read_ready(self) -> requester.Answer:
        """Return the readiness response of the last entry."""
        url = self.deployment.entries[LAST_ENTRY].ready['callers']
        return await requester.send_async('GET', f'{url}/v1/ready')

    async def wait_ready(self, status: int) -> None:
        """Wait until the readiness of the last entry has a status."""

        async def has_status() -> bool:
            return (await self.read_ready()).status == status

        description = f'readiness is {status}'
        await deployments.wait_until(
            has_status, description, partitions.CONVERGENCE_TIMEOUT_S
        )

    async def test_a_link_cut_in_one_direction_unlists_no_entry(self) -> None:
        """Messages from one entry to another are lost, in one direction.

        Each receives the other's state through the remaining entries. An
        entry that is repeatedly declared dead would flap in the lists, and
        its callers would move to the other entries.
        """
        link = NAMES[0], NAMES[LAST_ENTRY]
        urls = {one.ready['callers'] for one in self.deployment.entries}
        senders = partitions.ActionSenders(self.deployment)
        self.relays.cut([link])
        for _ in range(SENDER_COUNT):
            senders.start(0, LAST_ENTRY)
        complete = 0
        for _ in range(SAMPLES):
            found = [await self.list_entries(entry) for entry in ALL]
            complete += all(one == urls for one in found)
            await asyncio.sleep(partitions.SEND_INTERVAL_S)
        await senders.stop()
        await senders.check(self)
        self.assertIn(link, self.relays.blocked)
        self.assertGreater(complete, SAMPLES * 3 / 4)
