"""Quarantine of a prompt that crashes engine processes."""

from __future__ import annotations

import asyncio
import re
import unittest

from standins import engine_stage
from tests.processes import builders
from tests.processes import deployment as deployments
from thornspool.application import quarantine

HEADS = tuple(f'e{number}-head' for number in range(5))
TAILS = tuple(f'e{number}-tail' for number in range(3))
CRASHING_PROMPT = f'Sum up the cargo. {engine_stage.CRASH_MARKER}'
CRASHING_REQUESTS = 9
OTHER_CALLERS = 20
TOKENS = 400
REFUSED = 503
_LOST_ENGINE = re.compile(r' reason=(STAGE_LOST|SUSPECTED) ')


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = builders.open_cluster(self.addCleanup, 3, HEADS + TAILS)

    def list_failed_requests(self):
        """Return the requests whose engine exited, according to the logs.

        The entry that reports the exit ends the engine's other requests as
        suspects before their connections break.
        """
        lines = [
            line
            for entry in self.cluster.entries
            for line in entry.read_log().splitlines()
            if 'event=attempt_left' in line and _LOST_ENGINE.search(line)
        ]
        return {line.partition('request=')[2].split()[0] for line in lines}

    async def wait_engines_shared(self):
        """Wait until each first engine has a quarter of a request to compute.

        With a fixed delay on a busy machine, the other requests had not
        started or were complete when the engine crashed, so that none shared
        it.
        """

        async def is_shared():
            counts = [await self.cluster.read_counts(one) for one in HEADS]
            return all(
                any(0 < len(one['indexes']) < 3 * TOKENS // 4 for one in found)
                for found in counts
            )

        await deployments.wait_until(is_shared, 'all first engines compute')

    async def send_until_set(self, number, stop):
        """Send requests in sequence; return prompts and responses.

        With a fixed number of requests, their placement, or their early end
        on a busy machine, may leave no moment at which every engine has one.
        """
        answered = []
        while not stop.is_set():
            prompt = f'Innocent {number} {len(answered)}'
            answer = await self.cluster.generate(
                prompt, number, max_tokens=TOKENS
            )
            answered.append((prompt, answer))
        return answered

    async def test_prompt_that_crashes_engines_costs_two_at_most(self):
        """A prompt crashes each engine that runs it, and is sent repeatedly.

        Without quarantine each retry would crash one more engine.
        """
        cluster = self.cluster
        # An entry records nothing under a name before it has owned the name
        # for this long.
        await asyncio.sleep(quarantine.OWNER_SETTLE_MS / 1000 + 1)
        stop = asyncio.Event()
        others = asyncio.gather(
            *(self.send_until_set(one, stop) for one in range(OTHER_CALLERS))
        )
        await self.wait_engines_shared()
        answers = [
            await cluster.generate(CRASHING_PROMPT, entry)
            for entry in range(CRASHING_REQUESTS)
        ]
        stop.set()
        completed = [pair for answered in await others for pair in answered]
        exited = cluster.list_exited()
        self.assertGreaterEqual(len(exited), 1)
        self.assertLessEqual(len(exited), 2, exited)
        self.assertGreaterEqual(len(completed), OTHER_CALLERS)
        for prompt, answer in completed:
            builders.check_complete(self, prompt, answer, TOKENS)
        for answer in answers:
            self.assertEqual(answer.status, REFUSED, answer.body)
        problem = answers[-1].read_json()
        self.assertIn('crashed', problem['detail'])
        self.assertGreater(problem['retry_after_ms'], 60_000)
        self.assertGreaterEqual(len(self.list_failed_requests()), 2)
        # A later request shows that the remaining engines serve.
        later = await cluster.generate('Later', 1)
        builders.check_complete(self, 'Later', later)
