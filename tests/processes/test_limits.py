"""Workspace limits across entries, and calls above the capacity."""

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
UNAVAILABLE = 503
OK = 200
LIMIT = 40
MEMBERSHIP_SETTLE_S = 10.0
"""The bound of a limit is higher for this long after membership changes."""
GRANT_TTL_S = 5.0
CALLERS = 12
CALL_INTERVAL_S = 0.05
PHASE_S = 5.0
WORKERS_PER_SERVICE = 4
SLOW_MS = 100
TIMEOUT_MS = 1_000
OVERLOAD_FACTOR = 2
OVERLOAD_S = 10.0
MIN_GOODPUT_RATIO = 1 / 3
MIN_IN_TIME_RATIO = 3 / 4


class LoadCase(deployments.FreshDeploymentCase):
    """Base of tests that publish a service and send it many calls."""

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
        self.assertEqual(OK, answer.status, answer.body)
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
        """Send one call and return its response."""
        url = self.deployment.entries[entry].ready['callers'] + READ
        return await self.client.fetch(
            httpclient.HTTPRequest(
                url, 'POST', body='{}', request_timeout=deployments.WAIT_S
            ),
            raise_error=False,
        )

    def check_refusal(self, answer):
        """Check that a refusal says "not run" and gives a retry delay."""
        problem = json.loads(answer.body)
        self.assertEqual('not run', problem['outcome'])
        self.assertGreater(problem['retry_after_ms'], 0)
        self.assertGreaterEqual(int(answer.headers['Retry-After']), 1)


class LimitTest(LoadCase):
    limits: typing.ClassVar = {'requests_per_s': LIMIT}

    async def test_a_limit_applies_across_all_entries_and_at_one(self):
        """Callers of one workspace use all entries, and then a single one.

        With the full limit at each entry, the workspace would exceed its
        limit threefold and delay others that use the same targets.
        """
        # Member lists may differ while entries join, and earlier grants
        # count until they expire.
        await asyncio.sleep(
            self.joined_at + MEMBERSHIP_SETTLE_S - time.monotonic()
        )
        began = time.monotonic()
        spread = await self.run_phase(ALL)
        single = await self.run_phase(ALL[:1])
        duration_s = time.monotonic() - began
        max_served = (
            LIMIT * (duration_s + 1)
            + len(ALL)
            + self.sum_owner_absence_s() * LIMIT
        )
        print(
            json.dumps({'spread': spread, 'one': single, 'most': max_served})
        )
        self.assertLessEqual(spread[OK] + single[OK], max_served)
        for phase in (spread, single):
            self.assertGreater(phase[UNAVAILABLE], 0)
            self.assertGreater(phase[OK], LIMIT)

    async def run_phase(self, entries):
        """Run callers that send continuously; return counts by status."""
        statuses = collections.Counter()
        end = time.monotonic() + PHASE_S

        async def send_all(entry):
            while time.monotonic() < end:
                answer = await self.call(entry)
                statuses[answer.code] += 1
                if answer.code != OK:
                    self.check_refusal(answer)
                await asyncio.sleep(CALL_INTERVAL_S)

        await asyncio.gather(
            *(send_all(entries[one % len(entries)]) for one in range(CALLERS))
        )
        return statuses

    def sum_owner_absence_s(self):
        """Return the seconds in which a limit owner may have been absent."""
        logs = [entry.read_log() for entry in self.deployment.entries]
        return GRANT_TTL_S * sum(
            log.count('limits_owner_lost') for log in logs
        )


class OverloadTest(LoadCase):
    async def test_goodput_at_twice_the_capacity(self):
        """Twice as many calls arrive as the services can execute.

        If all were admitted, each response would be late and its caller
        gone. Some calls must be refused without delay and the others served
        in time.
        """
        await self.deployment.set_behaviour(
            slow_ms=SLOW_MS, workers=WORKERS_PER_SERVICE
        )
        capacity = (
            len(deployments.SERVICES) * WORKERS_PER_SERVICE * 1000 / SLOW_MS
        )
        responses, duration_s = await self.send_steadily(
            OVERLOAD_FACTOR * capacity
        )
        answers = [one for one in responses if one.code == OK]
        refused = [one for one in responses if one.code == UNAVAILABLE]
        for one in refused:
            self.check_refusal(one)
        statuses = collections.Counter(one.code for one in responses)
        refused_s = statistics.median(one.request_time for one in refused)
        print(
            json.dumps({**statuses, 'took': duration_s, 'refused': refused_s})
        )
        self.assertGreater(
            len(answers), capacity * duration_s * MIN_GOODPUT_RATIO
        )
        admitted = len(responses) - len(refused)
        self.assertGreater(len(answers), admitted * MIN_IN_TIME_RATIO)
        self.assertLess(refused_s, TIMEOUT_MS / 1000 / 2)

    async def send_steadily(self, rate_per_s):
        """Send calls at a fixed rate, independent of the responses.

        Returns
        -------
        tuple of list of HTTPResponse and float
            All responses, and the seconds until all have arrived.
        """
        began = time.monotonic()
        sent = []
        while (now := time.monotonic() - began) < OVERLOAD_S:
            while len(sent) < now * rate_per_s:
                call = self.call(len(sent) % len(ALL))
                sent.append(asyncio.create_task(call))
            await asyncio.sleep(1 / rate_per_s)
        return await asyncio.gather(*sent), time.monotonic() - began
