"""Limits of a workspace across entries, and calls over capacity."""

from __future__ import annotations

import asyncio
import collections
import json
import statistics
import time
import typing

from tornado import curl_httpclient
from tornado import httpclient

from tests.processes import deployment as deployments

WORKSPACE = 'offers'
READ = f'/v1/workspaces/{WORKSPACE}/services/pricing/read'
ALL = (0, 1, 2)
CLIENTS = 400
REFUSED = 503
DONE = 200
LIMIT = 40
AGREED_S = 10.0
"""After a change of view the bound of a limit is higher for so long."""
SHARE_S = 5.0
CALLERS = 12
PAUSE_S = 0.05
PHASE_S = 5.0
WORKERS = 4
SLOW_MS = 100
TIMEOUT_MS = 1_000
OVER = 2
OVERLOAD_S = 10.0
LEAST_GOODPUT = 1 / 3
LEAST_IN_TIME = 3 / 4


class LoadCase(deployments.FreshCase):
    """Tests that publish a service of reads and call it many times."""

    limits: typing.ClassVar[dict[str, int]] = {}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.joined_at = time.monotonic()
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=CLIENTS
        )
        self.addCleanup(self.client.close)
        documents = self.make_documents()
        answer = await self.deployment.publish(
            0, 'offers', documents, self.version
        )
        self.assertEqual(DONE, answer.status, answer.body)
        for entry in ALL:
            await self.deployment.wait_version(entry, self.version + 1)

    def make_documents(self):
        operation = {
            'name': 'read',
            'idempotent': True,
            'timeout_ms': TIMEOUT_MS,
        }
        return [
            {'kind': 'workspace', 'name': WORKSPACE, 'limits': self.limits},
            {
                'kind': 'service',
                'name': 'pricing',
                'workspace': WORKSPACE,
                'targets': list(deployments.SERVICES),
                'operations': [operation],
            },
        ]

    async def call(self, entry):
        """Send one call and return its answer."""
        url = self.deployment.entries[entry].ready['callers'] + READ
        return await self.client.fetch(
            httpclient.HTTPRequest(
                url, 'POST', body='{}', request_timeout=deployments.WAIT_S
            ),
            raise_error=False,
        )

    def check_refusal(self, answer):
        """Check that a refusal says that nothing ran, and when to return."""
        problem = json.loads(answer.body)
        self.assertEqual('not run', problem['outcome'])
        self.assertGreater(problem['retry_after_ms'], 0)
        self.assertGreaterEqual(int(answer.headers['Retry-After']), 1)


class LimitTest(LoadCase):
    limits: typing.ClassVar = {'requests_per_s': LIMIT}

    async def test_a_limit_holds_over_all_entries_and_over_one(self):
        """Callers of one workspace use all entries, then all use one.

        With the limit at each entry they would get three times what was
        agreed, and others who use the same targets would wait for them.
        """
        # Lists of members may differ while entries find each other, and
        # former grants count until they lapse.
        await asyncio.sleep(self.joined_at + AGREED_S - time.monotonic())
        began = time.monotonic()
        spread = await self.run_phase(ALL)
        gathered = await self.run_phase(ALL[:1])
        took_s = time.monotonic() - began
        most = LIMIT * (took_s + 1) + len(ALL) + self.count_lost() * LIMIT
        print(json.dumps({'spread': spread, 'one': gathered, 'most': most}))
        self.assertLessEqual(spread[DONE] + gathered[DONE], most)
        for phase in (spread, gathered):
            self.assertGreater(phase[REFUSED], 0)
            self.assertGreater(phase[DONE], LIMIT)

    async def run_phase(self, entries):
        """Have callers send without a rest; returns how often each status."""
        statuses = collections.Counter()
        end = time.monotonic() + PHASE_S

        async def send_all(entry):
            while time.monotonic() < end:
                answer = await self.call(entry)
                statuses[answer.code] += 1
                if answer.code != DONE:
                    self.check_refusal(answer)
                await asyncio.sleep(PAUSE_S)

        await asyncio.gather(
            *(send_all(entries[one % len(entries)]) for one in range(CALLERS))
        )
        return statuses

    def count_lost(self):
        """Return the seconds in which an owner may have been silent."""
        logs = [entry.read_log() for entry in self.deployment.entries]
        return SHARE_S * sum(log.count('limits_owner_lost') for log in logs)


class OverloadTest(LoadCase):
    async def test_goodput_lasts_at_twice_the_capacity(self):
        """Many more calls come in than the services can answer.

        Let in, all would wait until each answer is late and the caller has
        left, and nobody would be served. Some must be refused at once, and
        the rest served in time.
        """
        await self.deployment.set_behaviour(slow_ms=SLOW_MS, workers=WORKERS)
        capacity = len(deployments.SERVICES) * WORKERS * 1000 / SLOW_MS
        seen, took_s = await self.send_steadily(OVER * capacity)
        answers = [one for one in seen if one.code == DONE]
        refused = [one for one in seen if one.code == REFUSED]
        for one in refused:
            self.check_refusal(one)
        statuses = collections.Counter(one.code for one in seen)
        refused_s = statistics.median(one.request_time for one in refused)
        print(json.dumps({**statuses, 'took': took_s, 'refused': refused_s}))
        self.assertGreater(len(answers), capacity * took_s * LEAST_GOODPUT)
        admitted = len(seen) - len(refused)
        self.assertGreater(len(answers), admitted * LEAST_IN_TIME)
        self.assertLess(refused_s, TIMEOUT_MS / 1000 / 2)

    async def send_steadily(self, rate_per_s):
        """Send calls at a rate, whatever becomes of them.

        Returns
        -------
        tuple of list of HTTPResponse and float
            All answers, and the seconds until the last was sent.
        """
        began = time.monotonic()
        sent = []
        while (now := time.monotonic() - began) < OVERLOAD_S:
            while len(sent) < now * rate_per_s:
                work = self.call(len(sent) % len(ALL))
                sent.append(asyncio.create_task(work))
            await asyncio.sleep(1 / rate_per_s)
        return await asyncio.gather(*sent), time.monotonic() - began
