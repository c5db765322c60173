"""Loss of all processes of a failure domain at the same time."""

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
"""Entries by domain; they are assigned to three domains in rotation."""
ENTRY_WITHOUT_ENGINES = 2
"""Its domain has no engine, so it uses the engines of both others."""
STREAMS = 5
BROKEN_STREAMS = 2
HOLDS = 10
BROKEN_HOLDS = 4
TOKENS = 300
MAX_ATTEMPTS = 20
STEP_MS = 4
SLOW_MS = 2_500
REFUSED = 503


class DomainCluster(builders.Cluster):
    """Engines in two of three domains, and services in a fourth."""

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
        self.senders = partitions.ActionSenders(self.deployment)
        self.streams = {}
        self.broken = {'streams': 0, 'holds': 0}

    async def test_loss_of_a_failure_domain_with_requests_in_flight(self):
        """Power fails in one domain: its entries and engines are killed.

        Streams through other entries must resume at their position. Callers
        of a killed entry see a broken connection and retry through another
        entry, where a stream must be complete and a hold must not run a
        second time. The other entries must soon stop listing killed ones.
        """
        await self.deployment.set_behaviour(slow_ms=SLOW_MS)
        domain = await self.find_used_domain()
        remaining = sorted(set(range(ENTRIES)) - set(DOMAINS[domain]))
        self.others = itertools.cycle(remaining)
        for number in range(STREAMS):
            self.start_stream(number % ENTRIES)
        holds = [
            asyncio.create_task(self.send_hold(number % ENTRIES))
            for number in range(HOLDS)
        ]
        await deployments.wait_until(
            self.all_holds_run, 'all holds are in flight'
        )
        self.kill_domain(domain)
        for prompt, generation in self.streams.items():
            builders.check_complete(self, prompt, await generation, TOKENS)
        logs = [self.cluster.entries[one].read_log() for one in remaining]
        self.assertTrue(any('reason=STAGE_LOST' in log for log in logs))
        await asyncio.gather(*holds)
        await self.senders.check(self)
        print(self.broken)
        self.assertEqual(
            {'streams': BROKEN_STREAMS, 'holds': BROKEN_HOLDS}, self.broken
        )
        await self.wait_unlisted(remaining)
        await self.deployment.set_behaviour()
        for entry in remaining:
            key = deployments.make_key()
            await self.deployment.send_until_done(key, [entry])
            answer = await self.cluster.generate('Later', entry)
            builders.check_complete(self, 'Later', answer)

    def start_stream(self, entry):
        """Start a stream with a unique prompt."""
        prompt = f'Lost {len(self.streams)}'
        generation = asyncio.create_task(self.run_stream(prompt, entry))
        self.streams[prompt] = generation

    def record_broken(self, kind, entry, error):
        """Count a broken connection; print its entry, exit code and error."""
        self.broken[kind] += 1
        exit_code = self.cluster.entries[entry].popen.poll()
        print(kind, entry, exit_code, error)

    async def run_stream(self, prompt, entry):
        """Generate a text; retry refusals, and use another entry if broken."""
        for _ in range(MAX_ATTEMPTS):
            try:
                answer = await self.cluster.generate(
                    prompt, entry, max_tokens=TOKENS
                )
            except ConnectionError as error:
                self.record_broken('streams', entry, error)
                entry = next(self.others)
                continue
            if answer.status != REFUSED:
                break
        return answer

    async def send_hold(self, entry):
        """Send a key until it may have run.

        After a broken connection, another entry is used.
        """
        key = deployments.make_key()
        for number in range(MAX_ATTEMPTS):
            try:
                await self.senders.send(key, [entry], is_resent=number > 0)
            except ConnectionError as error:
                self.record_broken('holds', entry, error)
                entry = next(self.others)
                continue
            if self.senders.replies[key][-1].outcome != 'not run':
                return
            await asyncio.sleep(partitions.SEND_INTERVAL_S)

    async def find_used_domain(self):
        """Return the domain whose engines the entry without engines uses."""
        found = []

        async def is_used():
            counts = [await self.cluster.read_counts(one) for one in ENGINES]
            used = zip(ENGINES, counts, strict=True)
            found.extend(name[0] for name, count in used if count)
            return bool(found)

        self.start_stream(ENTRY_WITHOUT_ENGINES)
        await deployments.wait_until(is_used, 'an engine computes')
        return found[0]

    async def all_holds_run(self):
        """Return whether all holds are in flight."""
        return await self.deployment.count_running_calls() == HOLDS

    def kill_domain(self, domain):
        """Kill the entries and engines of one domain, then wait for each."""
        killed = [self.cluster.entries[number] for number in DOMAINS[domain]]
        for name, engine in self.cluster.engines.items():
            if name.startswith(domain):
                killed.append(engine)
        for process in killed:
            process.popen.kill()
        for process in killed:
            process.kill()

    async def wait_unlisted(self, remaining):
        """Wait until the remaining entries list only each other."""
        urls = {
            self.cluster.entries[one].ready['callers'] for one in remaining
        }

        async def is_unlisted():
            listed = [
                await partitions.list_entries(self.deployment, one)
                for one in remaining
            ]
            return all(found == urls for found in listed)

        description = 'killed entries are unlisted'
        await deployments.wait_until(
            is_unlisted, description, partitions.CONVERGENCE_TIMEOUT_S
        )
