"""Links between entries, and to the platform, that are cut."""

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
LAST = ALL[-1]
SENDERS = 4
CUT_S = 2.0
LOOKS = 120
SLOW_MS = 100
OTHERS = NAMES[:-1]


class PartitionsTest(partitions.PartitionCase):
    """Cuts that heal, one after the other, between the same entries."""

    async def test_regions_that_lose_each_other_agree_after_it(self) -> None:
        """All links between two regions are cut, and both use the platform.

        A caller's client sends each hold through both regions. An entry that
        took the other region for dead, and its holds for free, would hold a
        slot twice; an operator of one region would change only half of the
        entries. The platform is away for a moment, too, so that some callers
        are told that nothing ran.
        """
        await self.deployment.set_behaviour(slow_ms=SLOW_MS)
        senders = partitions.Senders(self.deployment)
        for number in range(SENDERS):
            senders.start(PERTH[number % 2], ALBANY[number // 2])
        await asyncio.sleep(CUT_S)
        self.relays.cut(
            partitions.join_both_ways(*partitions.REGIONS.values())
        )
        await self.publish_in_one_half()
        await asyncio.gather(
            self.wait_listed(PERTH, PERTH), self.wait_listed(ALBANY, ALBANY)
        )
        await self.lose_platform(senders)
        await self.check_both_run()
        # Nothing that was sent before the lists parted arrives after this.
        await asyncio.sleep(2 * relays.GIVE_UP_S)
        began = time.monotonic()
        await self.heal()
        print(f'lists whole after {time.monotonic() - began:.1f} s')
        await senders.stop()
        await senders.check(self)
        await self.deployment.set_behaviour()
        for key in senders.replies:
            await senders.send(key, ALL, True)
        await senders.check(self)
        await self.deployment.wait_joined()

    async def lose_platform(self, senders) -> None:
        """Stop the platform until some keys were only told "not run"."""

        async def is_told() -> bool:
            return bool(senders.list_not_run())

        await self.deployment.set_faults(down=True)
        await deployments.wait_until(is_told, 'a caller is told "not run"')
        await self.deployment.set_faults()

    async def publish_in_one_half(self) -> None:
        """Publish in one half; it is in force in the other as well."""
        changed = [deployments.make_workspace('cut', 100)]
        answer = await self.deployment.publish(
            PERTH[0], 'cut', changed, self.version
        )
        self.assertEqual(200, answer.status, answer.body)
        for entry in ALL:
            await self.deployment.wait_version(entry, self.version + 1)

    async def check_both_run(self) -> None:
        """Keys that only one half was sent run there."""
        for half in partitions.HALVES:
            key = deployments.make_key()
            await self.deployment.act_until_done(key, half)
            self.assertEqual(1, await self.deployment.count_executions(key))

    async def publish(self, name: str) -> int:
        """Publish through the first entry and return the version."""
        version = await self.deployment.read_version(0)
        changed = [deployments.make_workspace(name, 100)]
        answer = await self.deployment.publish(0, name, changed, version)
        self.assertEqual(200, answer.status, answer.body)
        return version + 1

    async def test_configuration_comes_by_the_way_that_is_left(self) -> None:
        """An entry loses the platform, then its peers, but never both.

        An operator's change that went by one way alone would leave it with
        the old limits and targets, and with callers that use them.
        """
        for others in ((partitions.PLATFORM,), OTHERS):
            with self.subTest(cut_from=others):
                self.relays.cut(
                    partitions.join_both_ways([NAMES[LAST]], others)
                )
                version = await self.publish(others[0])
                await self.deployment.wait_version(LAST, version)
                self.assertEqual(200, (await self.read_ready()).status)
        key = deployments.make_key()
        await self.deployment.act_until_done(key, [LAST])

    async def test_an_entry_cut_off_from_all_takes_no_work(self) -> None:
        """An entry loses the platform and its peers at once.

        It can't know whether its targets and limits are still in force.
        Callers that hold its address must be told that nothing ran, and
        find it again after the cut, with what was changed meanwhile.
        """
        calls = await self.deployment.count_calls()
        self.relays.cut(
            partitions.join_both_ways(
                [NAMES[LAST]], [*OTHERS, partitions.PLATFORM]
            )
        )
        await self.wait_ready(503)
        reply = await self.deployment.act(LAST, deployments.make_key())
        self.assertEqual((503, 'not run'), (reply.status, reply.outcome))
        self.assertIn('Retry-After', reply.headers)
        self.assertEqual(calls, await self.deployment.count_calls())
        version = await self.publish('isolated')
        self.relays.cut(())
        await self.wait_ready(200)
        self.assertEqual(version, await self.deployment.read_version(LAST))
        key = deployments.make_key()
        await self.deployment.act_until_done(key, [LAST])

    async def read_ready(self) -> requester.Answer:
        """Return what the last entry says of its readiness."""
        url = self.deployment.entries[LAST].ready['callers']
        return await requester.send_async('GET', f'{url}/v1/ready')

    async def wait_ready(self, status: int) -> None:
        """Wait until the last entry says that it is ready, or is not."""

        async def is_told() -> bool:
            return (await self.read_ready()).status == status

        what = f'readiness is {status}'
        await deployments.wait_until(is_told, what, partitions.HEAL_S)

    async def test_a_link_cut_one_way_hides_no_entry(self) -> None:
        """What one entry sends to another is lost; the other way is whole.

        Each hears of the other through the rest. Taken for dead again and
        again, it would come and go in the lists of callers, who would leave
        it and gather on the others.
        """
        link = NAMES[0], NAMES[LAST]
        urls = {one.ready['callers'] for one in self.deployment.entries}
        senders = partitions.Senders(self.deployment)
        self.relays.cut([link])
        for _ in range(SENDERS):
            senders.start(0, LAST)
        whole = 0
        for _ in range(LOOKS):
            found = [await self.list_entries(entry) for entry in ALL]
            whole += all(one == urls for one in found)
            await asyncio.sleep(partitions.PAUSE_S)
        await senders.stop()
        await senders.check(self)
        self.assertIn(link, self.relays.held)
        self.assertGreater(whole, LOOKS * 3 / 4)
