"""Deployments in two regions whose network links can be cut."""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import typing

from tests.processes import deployment as deployments
from tests.processes import relays as relay_module
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
CONVERGENCE_TIMEOUT_S = 60.0
"""An entry compares its member list with a dead member every 10 s after a cut,
and half of these comparisons go to other members."""
SEND_INTERVAL_S = 0.05


def make_links(group, other_group) -> Iterator[Link]:
    """Return the links between two groups of names, in both directions."""
    for one, other in itertools.product(group, other_group):
        yield one, other
        yield other, one


async def list_entries(
    deployment: deployments.Deployment, entry: int
) -> set[str]:
    """Return the URLs of the entries that an entry lists for callers."""
    url = deployment.entries[entry].ready['callers']
    answer = await requester.send_async('GET', f'{url}/v1/entries')
    return {one['url'] for one in answer.read_json()['entries']}


class PartitionCase(deployments.SharedDeploymentCase):
    """Base of tests that cut links between four entries and restore them."""

    @classmethod
    def setUpClass(cls) -> None:
        opened = processes.open_processes()
        scope = opened.__enter__()
        cls.addClassCleanup(opened.__exit__, None, None, None)
        cls.relays = relay_module.Relays()
        cls.addClassCleanup(cls.relays.stop)
        cls.deployment = _start(scope, cls.relays)
        asyncio.run(deployments.publish_documents(cls.deployment))

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.deployment.set_behaviour()
        self.addAsyncCleanup(self.restore_links)

    async def restore_links(self) -> None:
        """Restore all links and wait until every entry lists all entries."""
        self.relays.cut(())
        await self.wait_listed(ALL, ALL)

    async def list_entries(self, entry: int) -> set[str]:
        """Return the URLs of the entries that an entry lists for callers."""
        return await list_entries(self.deployment, entry)

    async def wait_listed(self, observers, listed) -> None:
        """Wait until each observer lists exactly the given entries."""
        entries = self.deployment.entries
        urls = {entries[number].ready['callers'] for number in listed}

        async def is_listed() -> bool:
            found = [await self.list_entries(number) for number in observers]
            return all(one == urls for one in found)

        description = f'entries {observers} list {listed}'
        await deployments.wait_until(
            is_listed, description, CONVERGENCE_TIMEOUT_S
        )


class ActionSenders:
    """Callers that send each key through several entries concurrently.

    Parameters
    ----------
    deployment : deployments.Deployment
        Deployment that receives the requests.

    Attributes
    ----------
    replies : dict of str to list of deployments.Reply
        Replies by key.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.replies: dict[str, list[deployments.Reply]] = {}
        self._deployment = deployment
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, *entries: int) -> None:
        """Start a caller that sends new keys through these entries."""
        self._tasks.append(asyncio.create_task(self._run(entries)))

    async def stop(self) -> None:
        """Stop the callers after their last replies."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def send(self, key: str, entries, is_resent: bool = False) -> None:
        """Send a key through some entries concurrently."""
        replies = await asyncio.gather(
            *(
                self._deployment.send_action(entry, key, is_resent=is_resent)
                for entry in entries
            )
        )
        self.replies.setdefault(key, []).extend(replies)

    def list_not_run(self) -> list[str]:
        """Return the keys for which every reply was "not run"."""
        return [
            key
            for key, replies in self.replies.items()
            if {reply.outcome for reply in replies} == {'not run'}
        ]

    def count_outcomes(self) -> dict[str, int]:
        """Return the number of keys by the set of outcomes received."""
        found = [
            ', '.join(sorted({reply.outcome for reply in replies}))
            for replies in self.replies.values()
        ]
        return dict(collections.Counter(found))

    async def check(self, case) -> None:
        """Compare the executions of each key with the outcomes received."""
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
            await asyncio.sleep(SEND_INTERVAL_S)


def _start(
    scope: processes.Processes, relays: relay_module.Relays
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
            store.set_target(platform.ready['url'])
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
            peer.set_target(entry.ready['peers'])
            seeds.append(f'tcp://{peer.address}')
            entries.append(entry)
    return deployments.Deployment(scope, platform, services, entries)
