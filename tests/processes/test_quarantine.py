"""A prompt that crashes engines, through entries and engines as processes."""

from __future__ import annotations

import asyncio
import unittest

from standins import engine_stage
from tests.processes import builders
from tests.processes import deployment as deployments
from thornspool.application import quarantine

HEADS = tuple(f'e{number}-head' for number in range(5))
TAILS = tuple(f'e{number}-tail' for number in range(3))
CRASHING = f'Sum up the cargo. {engine_stage.CRASH_MARKER}'
SENT_AGAIN = 9
INNOCENTS = 20
COUNT = 400
REFUSED = 503


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.cluster = builders.open_cluster(self.addCleanup, 3, HEADS + TAILS)

    def list_left(self):
        """Return the requests that an engine died under, by the logs."""
        lines = [
            line
            for entry in self.cluster.entries
            for line in entry.read_log().splitlines()
            if 'event=attempt_left' in line and 'STAGE_LOST' in line
        ]
        return {line.partition('request=')[2].split()[0] for line in lines}

    async def wait_shared(self):
        """Wait until each first engine has a quarter of a request left.

        After a fixed time, on a busy machine, the others had not begun or
        were done when the engine crashed, and nobody shared it.
        """

        async def is_shared():
            counts = [await self.cluster.read_counts(one) for one in HEADS]
            return all(
                any(0 < len(one['indexes']) < 3 * COUNT // 4 for one in found)
                for found in counts
            )

        await deployments.wait_until(is_shared, 'all first engines work')

    async def keep_asking(self, number, enough):
        """Send one request after the other; returns prompts and answers.

        A fixed number of them may be spread so, or end so soon on a busy
        machine, that there is no moment at which every engine has one.
        """
        asked = []
        while not enough.is_set():
            prompt = f'Innocent {number} {len(asked)}'
            answer = await self.cluster.ask(prompt, number, max_tokens=COUNT)
            asked.append((prompt, answer))
        return asked

    async def test_prompt_that_crashes_engines_costs_two_at_most(self):
        """Guards against a prompt that takes down one engine after another."""
        cluster = self.cluster
        # An entry that came to own a name keeps nothing for so long.
        await asyncio.sleep(quarantine.OWNER_SETTLE_MS / 1000 + 1)
        enough = asyncio.Event()
        innocents = asyncio.gather(
            *(self.keep_asking(one, enough) for one in range(INNOCENTS))
        )
        await self.wait_shared()
        answers = [
            await cluster.ask(CRASHING, entry) for entry in range(SENT_AGAIN)
        ]
        enough.set()
        whole = [pair for asked in await innocents for pair in asked]
        dead = cluster.list_dead()
        self.assertGreaterEqual(len(dead), 1)
        self.assertLessEqual(len(dead), 2, dead)
        self.assertGreaterEqual(len(whole), INNOCENTS)
        for prompt, answer in whole:
            builders.check_whole(self, prompt, answer, COUNT)
        for answer in answers:
            self.assertEqual(answer.status, REFUSED, answer.body)
        problem = answers[-1].read_json()
        self.assertIn('crashed', problem['detail'])
        self.assertGreater(problem['retry_after_ms'], 60_000)
        self.assertGreaterEqual(len(self.list_left()), 2)
        # What runs on says that the rest of the engines still serves.
        later = await cluster.ask('Later', 1)
        builders.check_whole(self, 'Later', later)
