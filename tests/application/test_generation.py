"""Tests of serving model requests, with stand-in engines as processes."""

from __future__ import annotations

import random
import unittest

from standins import engine
from tests.domain.pipelines import builders
from tests.standins import processes
from thornspool import clock
from thornspool.adapters.targets import engines
from thornspool.application import generation
from thornspool.application import generation_attempts
from thornspool.application import generation_messages
from thornspool.application import generation_planning


class GenerationCase(unittest.IsolatedAsyncioTestCase):
    def start_engines(self, stages, *options):
        self.engines = {}
        for name, (first, end) in stages.items():
            started = processes.EngineProcess(
                name, '--first-layer', first, '--end-layer', end, *options
            )
            self.addCleanup(started.end)
            self.engines[name] = started
        urls = {name: each.url for name, each in self.engines.items()}
        self.snapshot = builders.build_snapshot(stages, urls)
        self.view = builders.FakeTargetView()

    def build_service(self, **options):
        self.client = engines.CurlEngines(max_streams=32)
        self.addCleanup(self.client.close)
        planning = generation_planning.Planning(
            'entry-1', lambda: self.snapshot, self.view, random.Random(7)
        )
        self.hooks = options.pop('hooks', generation_attempts.Hooks())
        return generation.GenerationService(
            clock.Clock(), self.client, planning, self.hooks, **options
        )

    def build_request(self, request_id='r', max_tokens=12):
        return generation_messages.GenerationRequest(
            request_id=request_id,
            workspace='brokers',
            model='text',
            prompt=f'Prompt of {request_id}',
            max_tokens=max_tokens,
            priority=0,
            deadline=clock.Clock().now() + 20_000,
        )

    async def collect(self, service, request):
        """Return the tokens that came, and the event that ended them."""
        events = [event async for event in service.stream(request)]
        texts = []
        for event in events[:-1]:
            self.assertEqual(event.first_index, len(texts))
            texts.extend(event.texts)
        return texts, events[-1]

    def list_expected(self, request, count):
        return [
            engine.compute_token(request.prompt, index)
            for index in range(count)
        ]


class GenerationServiceTest(GenerationCase):
    async def test_whole_answer_through_two_stages(self):
        self.start_engines({'a-1': (0, 8), 'a-2': (8, 16)}, '--step-ms', 2)
        service = self.build_service()
        request = self.build_request()
        texts, last = await self.collect(service, request)
        self.assertEqual(texts, self.list_expected(request, 12))
        self.assertEqual(last, generation_messages.Finished(12))
        for each in self.engines.values():
            counts = each.read_counts()
            self.assertEqual(counts[0]['indexes'], list(range(12)))
