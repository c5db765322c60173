"""Tests of serving model requests with stand-in engine processes."""

from __future__ import annotations

import asyncio
import random
import unittest

import attrs

from standins import engine_stage
from tests.domain.pipelines import builders
from tests.standins import processes
from thornspool import clock
from thornspool.adapters.targets import engines
from thornspool.application import exceptions
from thornspool.application.generation import attempts as generation_attempts
from thornspool.application.generation import messages as generation_messages
from thornspool.application.generation import planning as generation_planning
from thornspool.application.generation import service as generation
from thornspool.application.generation import trials as generation_trials
from thornspool.domain.pipelines import frames
from thornspool.domain.pipelines import messages
from thornspool.domain.quarantine import messages as quarantine_messages

STAGES = {
    'a-head': (0, 8),
    'a-tail': (8, 16),
    'b-head': (0, 8),
    'b-tail': (8, 16),
}
REASONS = messages.Reason


class RecordedTrials(generation_trials.NoTrials):
    """Records the calls; returns the given verdicts first."""

    def __init__(self, *verdicts):
        self.verdicts = list(verdicts)
        self.calls = []

    def check(self, fingerprint):
        if self.verdicts:
            return self.verdicts.pop(0)
        return super().check(fingerprint)

    def record_start(self, fingerprint, target):
        self.calls.append(('start', target))
        return False

    def record_end(self, fingerprint, target, succeeded):
        self.calls.append(('finish', target, succeeded))


class GenerationCase(unittest.IsolatedAsyncioTestCase):
    """Two engines for engine half of a model; those of domain a are faster."""

    def setUp(self):
        self.engines = {}
        self.addCleanup(self.end_engines)

    def end_engines(self):
        while self.engines:
            self.engines.popitem()[1].end()

    def start_engines(self, stages=None):
        stages = stages or STAGES
        self.end_engines()
        for name, (first, end) in stages.items():
            layers = ('--first-layer', first, '--end-layer', end)
            started = processes.EngineProcess(name, *layers, '--step-ms', 2)
            self.engines[name] = started
        for started in self.engines.values():
            started.wait()
        urls = {name: engine.url for name, engine in self.engines.items()}
        self.snapshot = builders.build_snapshot(stages, urls)
        self.view = builders.FakeTargetView()
        now = clock.Clock().now()
        for name in stages:
            step = 2 if name.startswith('a') else 50
            self.view.loads[name] = builders.build_load(
                name, received_at=now, step_ms=step
            )

    def build_service(self, bounds=None, **hooks):
        self.failures = []
        self.deaths = []
        hooks.setdefault(
            'record_failure', lambda *failure: self.failures.append(failure)
        )
        hooks.setdefault(
            'record_crash', lambda *death: self.deaths.append(death)
        )
        self.client = engines.CurlEngines(max_streams=32)
        self.addAsyncCleanup(self.client.close)
        self.planning = generation_planning.Planning(
            'entry-1', lambda: self.snapshot, self.view, random.Random(7)
        )
        return generation.GenerationService(
            clock.Clock(),
            self.client,
            self.planning,
            generation_attempts.Hooks(**hooks),
            bounds or generation.StreamBounds(3_000, 400),
        )

    def build_request(self, request_id='r', max_tokens=12, wait_ms=20_000):
        return generation_messages.GenerationRequest(
            request_id=request_id,
            workspace='brokers',
            model='text',
            prompt=f'Prompt of {request_id}',
            max_tokens=max_tokens,
            priority=0,
            deadline=clock.Clock().now() + wait_ms,
        )

    async def collect(self, service, request):
        """Return the received tokens and the final event."""
        events = [event async for event in service.stream(request)]
        await service.close()
        texts = []
        for event in events[:-1]:
            self.assertEqual(event.first_index, len(texts))
            texts.extend(event.texts)
        return texts, events[-1]

    async def check_whole(self, service, request):
        texts, last = await self.collect(service, request)
        expected = [
            engine_stage.compute_token(request.prompt, index)
            for index in range(request.max_tokens)
        ]
        self.assertEqual(texts, expected)
        self.assertEqual(last, generation_messages.Finished(len(expected)))

    def list_indexes(self, target, request_id):
        """Return the indexes of the tokens that a target computed."""
        return [
            index
            for count in self.engines[target].read_counts()
            if count['request'] == request_id
            for index in count['indexes']
        ]


class BacklogEngines:
    """Delivers all tokens at once, engine in a separate chunk."""

    def __init__(self, breaks_at):
        self.breaks_at = breaks_at

    async def generate(self, call, deliver):
        start, end = len(call.resume), call.request.max_tokens
        if call.attempt == 0:
            end = self.breaks_at
        for index in range(start, end):
            deliver([self.build_frame(call, index=index, token=f't{index}')])
        if call.attempt == 0:
            raise exceptions.TargetResponseLost('The stream broke.')
        deliver([self.build_frame(call, end=end)])

    async def cancel(self, *_):
        pass

    def build_frame(self, call, **members):
        return frames.Frame(
            call.request.request_id,
            call.attempt,
            receipts=call.route.build_receipts(),
            **members,
        )


class BacklogTest(GenerationCase):
    async def test_stream_failure_after_a_backlog_is_handled(self):
        """Tokens and the failure of their stream are queued on a busy entry.

        The tokens are delivered together. If the failure were merged with
        them or lost, the caller would wait for the ended stream until the
        stall timeout.
        """
        self.snapshot = builders.build_snapshot(STAGES)
        self.view = builders.FakeTargetView()
        service = self.build_service()
        service._context.engines = BacklogEngines(breaks_at=7)
        reasons = []
        service._context.hooks = attrs.evolve(
            service._context.hooks,
            record_failure=lambda _, reason: reasons.append(reason),
        )
        events = [
            event async for event in service.stream(self.build_request())
        ]
        await service.close()
        texts = tuple(f't{index}' for index in range(12))
        self.assertEqual(
            events,
            [
                generation_messages.Tokens(0, texts[:7]),
                generation_messages.Tokens(7, texts[7:]),
                generation_messages.Finished(12),
            ],
        )
        self.assertEqual(reasons, [REASONS.STAGE_LOST])

    async def test_token_interval_is_learned_from_each_attempt(self):
        """Load reports are rare, so engine speed is learned from streams.

        The wait for a new route must not count as a token interval of the
        engines on it.
        """
        self.snapshot = builders.build_snapshot(STAGES)
        self.view = builders.FakeTargetView()
        service = self.build_service()
        service._context.engines = BacklogEngines(breaks_at=7)
        learned = []
        self.planning.record_token_interval = lambda *arguments: (
            learned.append(arguments)
        )
        await self.check_whole_backlog(service, max_tokens=40)
        self.assertEqual(len(learned), 2)
        for route, pace, _ in learned:
            self.assertEqual(len(route.stages), 2)
            self.assertGreaterEqual(pace, 0)

    async def check_whole_backlog(self, service, max_tokens):
        request = self.build_request(max_tokens=max_tokens)
        texts, last = await self.collect(service, request)
        self.assertEqual(texts, [f't{index}' for index in range(max_tokens)])
        self.assertEqual(last, generation_messages.Finished(max_tokens))


class GenerationServiceTest(GenerationCase):
    async def test_complete_response_through_two_stages(self):
        self.start_engines()
        await self.check_whole(self.build_service(), self.build_request())
        for name in ('a-head', 'a-tail'):
            self.assertEqual(self.list_indexes(name, 'r'), list(range(12)))

    async def test_link_times_are_learned_from_a_stream(self):
        self.start_engines()
        self.engines['a-head'].order(link_ms={'a-tail': 40})
        await self.check_whole(self.build_service(), self.build_request())
        learned = self.planning.links.read('a', 'a', clock.Clock().now())
        self.assertGreater(learned, 30)

    async def test_responses_of_concurrent_requests_are_not_mixed_up(self):
        """Many callers send requests concurrently.

        If streams were mixed up, a caller would get the text of another.
        """
        self.start_engines()
        service = self.build_service()
        await asyncio.gather(
            *(
                self.check_whole(service, self.build_request(f'r-{number}'))
                for number in range(20)
            )
        )

    async def test_crashed_stage_is_replaced(self):
        """An engine process crashes before, during or after a token.

        The caller sees a delay and then gets the rest of the response. The
        crash is reported once, with the requests in flight on the engine.
        """
        for target in ('a-head', 'a-tail'):
            for moment in ('before', 'during', 'after'):
                with self.subTest(target=target, moment=moment):
                    self.start_engines()
                    self.engines[target].order(die_after=5, die_when=moment)
                    service = self.build_service()
                    request = self.build_request()
                    await self.check_whole(service, request)
                    fingerprints = (
                        generation_attempts.fingerprint_request(request),
                    )
                    self.assertEqual(self.deaths, [(target, fingerprints)])

    async def test_crash_is_reported_before_the_end_of_its_trial(self):
        """An engine crashes while it runs a request on trial.

        If the crash were reported after the end of the trial, it would not
        be attributed to the trial, and the request would crash more engines.
        """
        self.start_engines()
        self.engines['a-tail'].order(die_after=5, die_when='before')
        trials = RecordedTrials()
        service = self.build_service(
            trials=trials,
            record_crash=lambda *death: trials.calls.append(
                ('death', death[0])
            ),
        )
        await self.check_whole(service, self.build_request())
        self.assertEqual(
            trials.calls[:5],
            [
                ('start', 'a-head'),
                ('start', 'a-tail'),
                ('death', 'a-tail'),
                ('finish', 'a-head', False),
                ('finish', 'a-tail', False),
            ],
        )
        ends = [call for call in trials.calls if call[0] == 'finish']
        self.assertEqual([end[2] for end in ends], [False, False, True, True])

    async def test_request_quarantined_between_retries_fails(self):
        """A request is quarantined between two of its attempts.

        Another attempt would crash an engine. The caller is immediately
        informed how much was delivered and how long the quarantine lasts.
        """
        self.start_engines()
        self.engines['a-tail'].order(die_after=5, die_when='before')
        verdicts = (
            quarantine_messages.Clear(),
            quarantine_messages.Condemned(70_000),
        )
        trials = RecordedTrials(*verdicts, verdicts[1])
        service = self.build_service(trials=trials)
        texts, last = await self.collect(service, self.build_request())
        self.assertEqual(
            last,
            generation_messages.Failed(
                REASONS.CONDEMNED,
                generation_messages.Outcome.UNKNOWN,
                70_000,
                len(texts),
            ),
        )
        self.assertEqual(self.list_indexes('b-head', 'r'), [])

    async def test_crash_during_many_requests_is_reported_once(self):
        """One engine crashes with several requests in flight.

        Each of their streams breaks. If each were reported, a single crash
        would count as many and quarantine requests that only shared the
        target.
        """
        self.start_engines()
        self.engines['a-tail'].order(die_after=20, die_when='during')
        service = self.build_service()
        requests = [self.build_request(f'r-{number}') for number in range(4)]
        await asyncio.gather(
            *(self.check_whole(service, request) for request in requests)
        )
        self.assertEqual(len(self.deaths), 1)
        target, fingerprints = self.deaths[0]
        self.assertEqual(target, 'a-tail')
        self.assertEqual(
            set(fingerprints),
            set(map(generation_attempts.fingerprint_request, requests)),
        )

    async def test_corrupted_frames_never_reach_the_caller(self):
        """An engine corrupts the frame of one token.

        The caller must still get the correct text: a duplicate or late
        frame is dropped, and after a lost or invalid one other engines
        compute the rest.
        """
        cases = (
            ('double', None),
            ('late', None),
            ('drop', REASONS.GAP),
            ('cross', REASONS.GAP),
            ('reorder', REASONS.GAP),
            ('receipts', REASONS.RECEIPTS),
        )
        self.start_engines()
        for kind, reason in cases:
            with self.subTest(kind=kind):
                self.engines['a-head'].order(corrupt=kind, corrupt_index=4)
                service = self.build_service()
                await self.check_whole(service, self.build_request(kind))
                reasons = [noted for _, noted in self.failures]
                self.assertEqual(reasons, [reason] if reason else [])
                # No delivered token is computed again.
                rest = list(range(4, 12)) if reason else []
                if reason is not REASONS.RECEIPTS:
                    self.assertEqual(self.list_indexes('b-head', kind), rest)

    async def test_slow_link_is_left_and_avoided_later(self):
        """The link between two engines gets 100 times slower without a loss.

        The tokens stop for longer than the timeout. Other engines continue
        the response, and the next request avoids the link from the start.
        """
        self.start_engines()
        self.engines['a-head'].order(link_ms={'a-tail': 1_000})
        service = self.build_service()
        await self.check_whole(service, self.build_request('r'))
        await self.check_whole(service, self.build_request('s'))
        computed = [
            (name, count['attempt'])
            for name, engine in self.engines.items()
            for count in engine.read_counts()
            if count['request'] == 's'
        ]
        self.assertEqual([attempt for _, attempt in computed], [0, 0])
        self.assertNotEqual(
            [name for name, _ in computed], ['a-head', 'a-tail']
        )

    async def test_leaving_stage_gets_no_new_requests(self):
        """An engine starts to leave while the entry still lists it as ready.

        It refuses the request, which then runs on another engine. This
        takes no retry, since nothing had run.
        """
        for target in ('a-head', 'a-tail'):
            with self.subTest(target=target):
                self.start_engines()
                self.engines[target].order(leave=True)
                service = self.build_service(take_retry=lambda: False)
                await self.check_whole(service, self.build_request())
                self.assertEqual(self.list_indexes(target, 'r'), [])
                self.assertEqual(self.failures, [(target, REASONS.REFUSED)])

    async def test_leaving_stage_finishes_in_flight_requests(self):
        """An engine starts to leave in the middle of a response.

        It must complete the response: a planned stop aborts no in-flight
        request.
        """
        self.start_engines()
        service = self.build_service()
        stream = service.stream(self.build_request())
        await anext(stream)
        for name in ('a-head', 'a-tail'):
            self.engines[name].order(leave=True)
        events = [event async for event in stream]
        self.assertEqual(events[-1], generation_messages.Finished(12))
        self.assertEqual(self.list_indexes('a-tail', 'r'), list(range(12)))

    async def test_disconnected_caller_stops_every_stage(self):
        """A caller closes its connection in the middle of a response.

        Engines that continued would waste their time on unused text.
        """
        self.start_engines()
        service = self.build_service()
        stream = service.stream(self.build_request(max_tokens=5_000))
        await anext(stream)
        await stream.aclose()
        await service.close()
        before = self.list_indexes('a-head', 'r')
        tail_before = self.list_indexes('a-tail', 'r')
        await asyncio.sleep(0.1)
        self.assertLess(len(before), 500)
        self.assertEqual(self.list_indexes('a-head', 'r'), before)
        self.assertEqual(self.list_indexes('a-tail', 'r'), tail_before)

    async def test_failure_is_explicit_when_no_engine_is_left(self):
        """The only engine of the second half crashes without a replacement.

        The caller must be informed that the response is incomplete, and how
        much was delivered, instead of a stream that just stops.
        """
        self.start_engines({'a-head': (0, 8), 'a-tail': (8, 16)})
        self.engines['a-tail'].order(die_after=5, die_when='before')
        service = self.build_service()
        texts, last = await self.collect(service, self.build_request())
        self.assertEqual(last.reason, REASONS.NO_PIPELINE)
        self.assertEqual(last.outcome, generation_messages.Outcome.UNKNOWN)
        self.assertEqual(last.delivered, len(texts))
        self.assertEqual(len(texts), 4)

    async def test_not_run_is_reported_only_when_no_engine_accepted(self):
        """Every engine of the first half has exited before the request.

        No connection could be made, so nothing ran and the caller may
        safely retry the request.
        """
        self.start_engines()
        for name in ('a-head', 'b-head'):
            self.engines[name].end()
        service = self.build_service()
        texts, last = await self.collect(service, self.build_request())
        self.assertEqual(texts, [])
        self.assertEqual(last.reason, REASONS.NO_PIPELINE)
        self.assertEqual(last.outcome, generation_messages.Outcome.NOT_RUN)
        self.assertEqual(self.list_indexes('a-tail', 'r'), [])

    async def test_deadline_ends_the_request(self):
        """The engines are too slow for the deadline of the request.

        The caller gets the failure at the deadline, and the attempt is
        cancelled on the engines.
        """
        self.start_engines()
        for engine in self.engines.values():
            engine.order(slow=50.0)
        service = self.build_service()
        request = self.build_request(wait_ms=600)
        texts, last = await self.collect(service, request)
        self.assertEqual(last.reason, REASONS.DEADLINE)
        self.assertLess(len(texts), 12)
