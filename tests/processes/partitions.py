"""Entries of two regions whose links to each other can be cut."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import typing

from tests.processes import deployment as deployments
from tests.processes import relays as relaying
from tools import processes
from tools import requester

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

Link = tuple[str, str]

PLATFORM = 'platform'
REGIONS = {
    'perth': ('perth-1', 'perth-2'),
    'albany': ('albany-1', 'albany-2'),
}
NAMES = tuple(itertools.chain.from_iterable(REGIONS.values()))
ALL = tuple(range(len(NAMES)))
HALVES = (ALL[:2], ALL[2:])
HEAL_S = 60.0
"""After a cut, comparisons with dead members are 10 s apart at an entry, and
half of them go to others."""
PAUSE_S = 0.05


def join_both_ways(ones, others) -> Iterator[Link]:
    """Return the links between two groups of names, in both directions."""
    for one, other in itertools.product(ones, others):
        yield one, other
        yield other, one


async def list_entries(
    deployment: deployments.Deployment, entry: int
) -> set[str]:
    """Return the URLs that an entry tells callers to use."""
    url = deployment.entries[entry].ready['callers']
    answer = await requester.send_async('GET', f'{url}/v1/entries')
    return {one['url'] for one in answer.read_json()['entries']}


class PartitionCase(deployments.SharedCase):
    """Tests that cut links between the same four entries and heal them."""

    @classmethod
    def setUpClass(cls) -> None:
        opened = processes.open_processes()
        scope = opened.__enter__()
        cls.addClassCleanup(opened.__exit__, None, None, None)
        cls.relays = relaying.Relays()
        cls.addClassCleanup(cls.relays.stop)
        cls.deployment = _start(scope, cls.relays)
        asyncio.run(deployments.prepare(cls.deployment))

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.deployment.set_behaviour()
        self.addAsyncCleanup(self.heal)

    async def heal(self) -> None:
        """Pass everything again and wait until all lists are whole."""
        self.relays.cut(())
        await self.wait_listed(ALL, ALL)

    async def list_entries(self, entry: int) -> set[str]:
        """Return the URLs that an entry tells callers to use."""
        return await list_entries(self.deployment, entry)

    async def wait_listed(self, asked, listed) -> None:
        """Wait until entries list exactly some entries."""
        entries = self.deployment.entries
        urls = {entries[number].ready['callers'] for number in listed}

        async def is_listed() -> bool:
            found = [await self.list_entries(number) for number in asked]
            return all(one == urls for one in found)

        what = f'entries {asked} list {listed}'
        await deployments.wait_until(is_listed, what, HEAL_S)


class Senders:
    """Callers that send each key through several entries at once.

    Parameters
    ----------
    deployment : deployments.Deployment
        What they call.

    Attributes
    ----------
    replies : dict of str to list of deployments.Reply
        What each key was answered.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.replies: dict[str, list[deployments.Reply]] = {}
        self._deployment = deployment
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *entries: int) -> None:
        """Start a caller that sends key after key through these entries."""
        self._tasks.append(asyncio.create_task(self._run(entries)))

    async def stop(self) -> None:
        """Wait for the last answers."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def send(self, key: str, entries, is_resent: bool = False) -> None:
        """Send a key through some entries at once."""
        replies = await asyncio.gather(
            *(
                self._deployment.act(entry, key, is_resent=is_resent)
                for entry in entries
            )
        )
        self.replies.setdefault(key, []).extend(replies)

    def list_not_run(self) -> list[str]:
        """Return the keys of which nothing but "not run" was said."""
        return [
            key
            for key, replies in self.replies.items()
            if {reply.outcome for reply in replies} == {'not run'}
        ]

    def count_outcomes(self) -> dict[str, int]:
        """Return how many keys were answered in each way."""
        found = [
            ', '.join(sorted({reply.outcome for reply in replies}))
            for replies in self.replies.values()
        ]
        return dict(collections.Counter(found))

    async def check(self, case) -> None:
        """Compare executions with what callers were told of each key."""
        await self._deployment.wait_idle()
        executions = await self._deployment.read_executions()
        print(json.dumps(self.count_outcomes()))
        not_run = self.list_not_run()
        case.assertEqual([], [key for key in not_run if executions[key]])
        for key, replies in self.replies.items():
            ran = executions[key]
            outcomes = {reply.outcome for reply in replies}
            case.assertLessEqual(ran, 1, f'{key} {outcomes}')
            if 'done' in outcomes:
                case.assertEqual(1, ran, key)

    async def _run(self, entries) -> None:
        while not self._stopping:
            await self.send(deployments.make_key(), entries)
            await asyncio.sleep(PAUSE_S)


def _start(
    scope: processes.Processes, relays: relaying.Relays
) -> deployments.Deployment:
    platform = scope.start('platform', 'standins.kv_store')
    services = tuple(
        scope.start(name, 'standins.service', '--name', name)
        for name in deployments.SERVICES
    )
    entries: list[processes.Process] = []
    seeds: list[str] = []
    for region, names in REGIONS.items():
        for name in names:
            peer = relays.open(name)
            store = relays.open(PLATFORM, name)
            store.lead_to(platform.ready['url'])
            entry = scope.start_entry(
                name,
                failure_domain=name,
                region=region,
                peers={
                    'listen': '127.0.0.1:0',
                    'advertise': peer.address,
                    'seeds': seeds[:1],
                },
                platform={'kind': 'http', 'url': f'http://{store.address}'},
            )
            peer.lead_to(entry.ready['peers'])
            seeds.append(f'tcp://{peer.address}')
            entries.append(entry)
    return deployments.Deployment(scope, platform, services, entries)
