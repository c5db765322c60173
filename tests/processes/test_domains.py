"""A failure domain that is lost at once."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from tests.processes import builders
from tests.processes import deployment as deployments
from tests.processes import partitions
from tools import processes

ENGINES = tuple(
    f'{pair}-{half}'
    for pair in ('a1', 'a2', 'b1', 'b2')
    for half in ('head', 'tail')
)
ENTRIES = 5
DOMAINS = {'a': (0, 3), 'b': (1, 4)}
"""Entries are spread over three domains in turn."""
THIRD = 2
"""Its domain has no engine, so it uses those of both others."""
STREAMS = 5
CUT_STREAMS = 2
HOLDS = 10
CUT_HOLDS = 4
COUNT = 300
MOST_SENDS = 20
STEP_MS = 4
SLOW_MS = 2_500
REFUSED = 503


class DomainCluster(builders.Cluster):
    """Engines in two of three domains, and services in none of them."""

    def __init__(self, scope):
        self.services = tuple(
            scope.start(name, 'standins.service', '--name', name)
            for name in deployments.SERVICES
        )
        super().__init__(scope, ENTRIES, ENGINES, STEP_MS)

    def build_documents(self):
        for document in super().build_documents():
            if document['kind'] == 'target':
                domain = f'perth-{document["name"][0]}'
                document['failure_domain'] = domain
            yield document
        for document in deployments.make_documents(self):
            if document['kind'] == 'target':
                document['failure_domain'] = 'perth-d'
            yield document


class DomainTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        opened = processes.open_processes()
        scope = opened.__enter__()
        self.addCleanup(opened.__exit__, None, None, None)
        self.cluster = DomainCluster(scope)
        self.deployment = deployments.Deployment(
            scope,
            self.cluster.platform,
            self.cluster.services,
            self.cluster.entries,
        )
        self.senders = partitions.Senders(self.deployment)
        self.streams = {}
        self.cut = {'streams': 0, 'holds': 0}

    async def test_a_failure_domain_is_lost_in_the_middle_of_work(self):
        """Power fails in one domain: its entries and engines end at once.

        Streams through the others go on where they were. Callers of a dead
        entry see a broken connection and send again elsewhere, where a
        stream must be whole and a hold must not run a second time. Nobody
        may be sent to the dead entries for long.
        """
        await self.deployment.set_behaviour(slow_ms=SLOW_MS)
        domain = await self.find_domain()
        left = sorted(set(range(ENTRIES)) - set(DOMAINS[domain]))
        self.others = itertools.cycle(left)
        for number in range(STREAMS):
            self.start_stream(number % ENTRIES)
        holds = [
            asyncio.create_task(self.hold(number % ENTRIES))
            for number in range(HOLDS)
        ]
        await deployments.wait_until(self.is_busy, 'all holds run')
        self.lose_domain(domain)
        for prompt, asked in self.streams.items():
            builders.check_whole(self, prompt, await asked, COUNT)
        logs = [self.cluster.entries[one].read_log() for one in left]
        self.assertTrue(any('reason=STAGE_LOST' in log for log in logs))
        await asyncio.gather(*holds)
        await self.senders.check(self)
        print(self.cut)
        self.assertEqual(
            {'streams': CUT_STREAMS, 'holds': CUT_HOLDS}, self.cut
        )
        await self.wait_unlisted(left)
        await self.deployment.set_behaviour()
        for entry in left:
            key = deployments.make_key()
            await self.deployment.act_until_done(key, [entry])
            answer = await self.cluster.ask('Later', entry)
            builders.check_whole(self, 'Later', answer)

    def start_stream(self, entry):
        """Start a stream with a prompt of its own."""
        prompt = f'Lost {len(self.streams)}'
        asked = asyncio.create_task(self.stream(prompt, entry))
        self.streams[prompt] = asked

    async def stream(self, prompt, entry):
        """Ask for a text until it is begun, elsewhere after a cut."""
        for _ in range(MOST_SENDS):
            try:
                answer = await self.cluster.ask(
                    prompt, entry, max_tokens=COUNT
                )
            except ConnectionError:
                self.cut['streams'] += 1
                entry = next(self.others)
                continue
            if answer.status != REFUSED:
                break
        return answer

    async def hold(self, entry):
        """Send a key until it may have run, elsewhere after a cut."""
        key = deployments.make_key()
        for number in range(MOST_SENDS):
            try:
                await self.senders.send(key, [entry], is_resent=number > 0)
            except ConnectionError:
                self.cut['holds'] += 1
                entry = next(self.others)
                continue
            if self.senders.replies[key][-1].outcome != 'not run':
                return
            await asyncio.sleep(partitions.PAUSE_S)

    async def find_domain(self):
        """Return the domain whose engines the third domain's entry uses."""
        found = []

        async def is_used():
            counts = [await self.cluster.read_counts(one) for one in ENGINES]
            used = zip(ENGINES, counts, strict=True)
            found.extend(name[0] for name, count in used if count)
            return bool(found)

        self.start_stream(THIRD)
        await deployments.wait_until(is_used, 'an engine works')
        return found[0]

    async def is_busy(self):
        """Tell whether all holds run."""
        return await self.deployment.count_running() == HOLDS

    def lose_domain(self, domain):
        """End the entries and engines of one domain, then wait for each."""
        lost = [self.cluster.entries[number] for number in DOMAINS[domain]]
        for name, engine in self.cluster.engines.items():
            if name.startswith(domain):
                lost.append(engine)
        for process in lost:
            process.popen.kill()
        for process in lost:
            process.kill()

    async def wait_unlisted(self, left):
        """Wait until the entries that are left list each other only."""
        urls = {self.cluster.entries[one].ready['callers'] for one in left}

        async def is_unlisted():
            listed = [
                await partitions.list_entries(self.deployment, one)
                for one in left
            ]
            return all(found == urls for found in listed)

        what = 'the dead are unlisted'
        await deployments.wait_until(is_unlisted, what, partitions.HEAL_S)
