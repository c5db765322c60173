"""Contract tests of the engines' client, against a stand-in process."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

import attrs

from standins import engine_stage
from tests.standins import processes
from thornspool.adapters.targets import engine_messages
from thornspool.adapters.targets import engines
from thornspool.application import exceptions
from thornspool.application.generation import (
    attachments as generation_attachments,
)
from thornspool.application.generation import attempts as generation_attempts
from thornspool.application.generation import (
    exceptions as generation_exceptions,
)
from thornspool.application.generation import messages as generation_messages
from thornspool.domain.pipelines import questions
from thornspool.domain.pipelines import routes


class CurlEnginesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.engine = processes.EngineProcess(
            'a-1', '--end-layer', 4, '--step-ms', 2
        )
        self.addCleanup(self.engine.end)
        self.engine.wait()
        self.frames = []

    async def asyncSetUp(self):
        self.client = engines.CurlEngines(max_streams=4)
        self.addAsyncCleanup(self.client.close)

    def build_call(self, request_id='r', max_tokens=5, **changes):
        values = {
            'request': generation_messages.GenerationRequest(
                request_id, 'brokers', 'text', 'Prompt', max_tokens, 0, 0
            ),
            'attempt': 0,
            'version': '1',
            'adapter': '',
            'route': routes.Route(
                (routes.RouteStage('a-1', self.engine.url, 0, 4, 'a'),)
            ),
            'resume': (),
            'timeout_ms': 5_000,
        }
        values.update(changes)
        return generation_messages.GenerateCall(**values)

    async def generate(self, **changes):
        await self.client.generate(
            self.build_call(**changes), self.frames.extend
        )

    def count_computed(self):
        return sum(len(each['indexes']) for each in self.engine.read_counts())

    async def test_hands_over_frames_in_order(self):
        await self.generate(resume=('x', 'y'))
        expected = [
            engine_stage.compute_token('Prompt', at) for at in (2, 3, 4)
        ]
        tokens = [frame.token for frame in self.frames[:-1]]
        self.assertEqual(tokens, expected)
        self.assertEqual(self.frames[-1].end, 5)

    async def test_loads_come_only_when_asked_for(self):
        """Loads with every answer were twice the bytes that control has."""
        await self.generate()
        self.assertEqual(self.frames[-1].loads, [])
        asked = questions.Tell(loads=True, hops=True)
        await self.generate(attempt=1, tell=asked)
        self.assertEqual(self.frames[-1].loads[0].target, 'a-1')

    async def test_attachments_reach_the_engine(self):
        given = generation_attachments.Attachment(
            'photo', 'image/jpeg', 'front.jpg'
        )
        request = attrs.evolve(self.build_call().request, attachments=(given,))
        await self.generate(request=request)
        self.assertEqual(self.frames[-1].end, 5)
        body = engine_messages.encode_generate(
            self.build_call(request=request)
        )
        self.assertEqual(
            json.loads(body)['attachments'], [attrs.asdict(given)]
        )

    async def test_attachments_name_another_request(self):
        """One of two requests with one prompt crashes engines by its photo.

        With one fingerprint the other would be refused for it.
        """
        plain = self.build_call().request
        names = {
            generation_attempts.fingerprint_request(
                attrs.evolve(
                    plain,
                    attachments=tuple(
                        generation_attachments.Attachment(
                            'photo', 'image/jpeg', each
                        )
                        for each in references
                    ),
                )
            )
            for references in ((), ('a',), ('b',), ('a', 'b'), ('b', 'a'))
        }
        self.assertEqual(len(names), 5)

    async def test_failures_get_their_error(self):
        """An engine refuses, dies, has gone or takes too long.

        Taken for one another, a request that ran would be called not run,
        or one that never ran would cost a retry.
        """
        lost = exceptions.TargetAnswerLost
        refused = generation_exceptions.EngineRefused
        cases = (
            ('leaving', {'leave': True}, {}, refused),
            ('stays', {'leave': False, 'slow': 500}, {'timeout_ms': 50}, lost),
            ('dies', {'slow': 1, 'die_after': 3}, {}, lost),
            ('gone', None, {}, exceptions.TargetNotReached),
        )
        for name, orders, changes, error in cases:
            with self.subTest(name):
                if orders is not None:
                    self.engine.order(**orders)
                else:
                    # Until its process has ended, its port may still take
                    # a connection and break it.
                    self.engine.wait_end()
                with self.assertRaises(error):
                    await self.generate(request_id=name, **changes)

    async def test_lines_that_are_no_frames(self):
        """Something else listens at the engine's address.

        Its answer must end the attempt at once, not the entry.
        """
        route = routes.Route(
            (
                routes.RouteStage(
                    'a-1', self.engine.url + '/v1/load?x=', 0, 4, 'a'
                ),
            )
        )
        with self.assertRaises(exceptions.TargetError):
            await self.generate(route=route)

    async def test_endless_answer_is_broken_off(self):
        """Something at the engine's address sends bytes without an end.

        Read on, it would fill the memory of the entry until it is killed
        with all its callers' requests.
        """
        limit = mock.patch.object(engines, 'MAX_STREAM_BYTES', 1_000)
        with limit, self.assertRaises(exceptions.TargetAnswerLost):
            await self.generate(max_tokens=500)
        self.assertLess(len(self.frames), 20)

    async def test_dropping_a_call_closes_its_connection(self):
        """A caller leaves and its call is dropped here.

        Left open, the connection would keep the engine computing for
        nobody until the timeout.
        """
        task = asyncio.create_task(self.generate(max_tokens=2_000))
        while not self.frames:
            await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.sleep(0.2)
        computed = self.count_computed()
        await asyncio.sleep(0.1)
        self.assertEqual(self.count_computed(), computed)

    async def test_cancel_stops_a_stream(self):
        """A stage is told to stop while the connection is still open.

        This is how the stages behind the first one learn of it.
        """
        task = asyncio.create_task(self.generate(max_tokens=2_000))
        while not self.frames:
            await asyncio.sleep(0.01)
        await self.client.cancel(self.engine.url, 'r', 0, 1_000)
        await task
        self.assertEqual(self.frames[-1].failed, 'cancelled')
