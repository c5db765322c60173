"""Contract tests of the engine client with a stand-in process."""

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
from thornspool.domain.pipelines import report_requests
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

    async def test_frames_are_delivered_in_order(self):
        await self.generate(resume=('x', 'y'))
        expected = [
            engine_stage.compute_token('Prompt', at) for at in (2, 3, 4)
        ]
        tokens = [frame.token for frame in self.frames[:-1]]
        self.assertEqual(tokens, expected)
        self.assertEqual(self.frames[-1].end, 5)

    async def test_loads_are_sent_only_on_request(self):
        """Guards against excessive control traffic.

        With loads in every response, it was twice the permitted amount.
        """
        await self.generate()
        self.assertEqual(self.frames[-1].loads, [])
        requested = report_requests.ReportRequest(loads=True, hops=True)
        await self.generate(attempt=1, requested_reports=requested)
        self.assertEqual(self.frames[-1].loads[0].target, 'a-1')

    async def test_attachments_reach_the_engine(self):
        attachment = generation_attachments.Attachment(
            'photo', 'image/jpeg', 'front.jpg'
        )
        request = attrs.evolve(
            self.build_call().request, attachments=(attachment,)
        )
        await self.generate(request=request)
        self.assertEqual(self.frames[-1].end, 5)
        body = engine_messages.encode_generate(
            self.build_call(request=request)
        )
        self.assertEqual(
            json.loads(body)['attachments'], [attrs.asdict(attachment)]
        )

    async def test_attachments_change_the_fingerprint(self):
        """Guards against quarantine of a harmless request.

        Two requests have the same prompt, and the photo of one of them
        crashes engines. With the same fingerprint, both would be refused.
        """
        plain = self.build_call().request
        fingerprints = {
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
        self.assertEqual(len(fingerprints), 5)

    async def test_failures_raise_their_error(self):
        """Guards against a wrong outcome after a failure of an engine.

        An engine rejects the request, crashes, has exited or is too slow. If
        these were confused, an executed request would be reported as not
        run, or one that was not executed would use a retry.
        """
        lost = exceptions.TargetResponseLost
        refused = generation_exceptions.EngineRefused
        cases = (
            ('leaving', {'leave': True}, {}, refused),
            ('slow', {'leave': False, 'slow': 500}, {'timeout_ms': 50}, lost),
            ('crashes', {'slow': 1, 'die_after': 3}, {}, lost),
            ('exited', None, {}, exceptions.TargetUnreachable),
        )
        for name, orders, changes, error in cases:
            with self.subTest(name):
                if orders is not None:
                    self.engine.order(**orders)
                else:
                    # Until the process has exited, its port may still accept
                    # a connection and close it.
                    self.engine.wait_end()
                with self.assertRaises(error):
                    await self.generate(request_id=name, **changes)

    async def test_lines_that_are_not_frames(self):
        """Guards against an entry that fails on an invalid response.

        Another program listens at the address of the engine. Its response
        must only fail the attempt.
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

    async def test_endless_response_is_aborted(self):
        """Guards against an entry that runs out of memory.

        A program at the address of the engine sends bytes without end.
        """
        limit = mock.patch.object(engines, 'MAX_STREAM_BYTES', 1_000)
        with limit, self.assertRaises(exceptions.TargetResponseLost):
            await self.generate(max_tokens=500)
        self.assertLess(len(self.frames), 20)

    async def test_cancelled_task_closes_its_connection(self):
        """Guards against an engine that computes without a reader.

        A caller disconnects and its call is cancelled. With an open
        connection, the engine would continue until the timeout.
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
        """Guards against stages that continue a cancelled request.

        A stage is cancelled while its connection is open, like all stages
        after the first one.
        """
        task = asyncio.create_task(self.generate(max_tokens=2_000))
        while not self.frames:
            await asyncio.sleep(0.01)
        await self.client.cancel(self.engine.url, 'r', 0, 1_000)
        await task
        self.assertEqual(self.frames[-1].failed, 'cancelled')
