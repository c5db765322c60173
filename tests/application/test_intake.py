"""Tests of the lookup, admission and accounting of requests."""

from __future__ import annotations

import contextlib
import types
import unittest

from tests import builders
from tests.application import builders as application_builders
from thornspool import metrics
from thornspool.application import calls
from thornspool.application import exceptions
from thornspool.application import intake
from thornspool.application import ports
from thornspool.application import requests
from thornspool.application.generation import messages as generation
from thornspool.domain.actions import results
from thornspool.domain.configuration import documents

REFUSED = requests.RequestRefused('limit', 700)
RESPONSE = ports.ServiceResponse(200, 'application/json', b'{}')
SNAPSHOT = documents.Snapshot(
    1,
    workspaces={
        'swan-coast': documents.Workspace('swan-coast', ('drafter',)),
        'other': documents.Workspace('other'),
    },
    services={
        'slots': documents.Service(
            'slots',
            'swan-coast',
            ('slots-1', 'gone'),
            (
                documents.Operation('hold', False, 900),
                documents.Operation('status', True, 300),
            ),
        )
    },
    models={'drafter': documents.Model('drafter', '1', 8, ())},
    targets={'slots-1': application_builders.build_target('slots-1')},
)

# Check that refuses, operation, resent, result for the caller.
REFUSALS = (
    ('admit', 'hold', False, 'refused'),
    ('admit', 'status', True, 'refused'),
    ('admit', 'hold', True, 'unknown'),
    ('is_accepting', 'hold', False, 'refused'),
    ('is_accepting', 'hold', True, 'unknown'),
    ('is_isolated', 'hold', False, 'refused'),
    ('is_isolated', 'hold', True, 'unknown'),
)

UNKNOWN_NAMES = (
    ('nobody', 'slots', 'hold', 'workspace'),
    ('other', 'slots', 'hold', 'service'),
    ('swan-coast', 'rockets', 'hold', 'service'),
    ('swan-coast', 'slots', 'fly', 'operation'),
)


class FakeAdmittedRequest:
    """Records how an admitted request is finished."""

    def __init__(self) -> None:
        self.finished = []
        self.first_tokens = 0

    def record_first_token(self) -> None:
        self.first_tokens += 1

    def finish(self, tokens, outcome) -> None:
        self.finished.append((tokens, outcome.value))


class Objectives:
    """Records the outcomes and times passed to the objectives."""

    def __init__(self) -> None:
        self.outcomes = []
        self.times = []
        self.report_count = 0

    def record_outcome(self, workspace, name, good) -> None:
        self.outcomes.append(good)

    def record_time(self, workspace, name, indicator, milliseconds) -> None:
        self.record_times(workspace, name, indicator, [milliseconds])

    def record_times(self, workspace, name, indicator, times_ms) -> None:
        self.report_count += 1
        self.times += [(indicator.value, time) for time in times_ms]


class IntakeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.admitted = FakeAdmittedRequest()
        self.objectives = Objectives()
        self.in_flight = []
        self.ran = []
        self.result = results.ActionDone(200, 'text/plain', b'held', False)
        self.call_result = calls.CallAnswered(RESPONSE)
        self.events = []

    def build(self, refusing_check=''):
        def admit(work):
            if refusing_check == 'admit':
                raise REFUSED
            return self.admitted

        return intake.Intake(
            self.clock,
            lambda: SNAPSHOT,
            intake.AdmissionChecks(
                admit,
                lambda: refusing_check != 'is_accepting',
                lambda: refusing_check == 'is_isolated',
                lambda: ('http://10.0.0.2:8000',),
            ),
            intake.Runners(
                types.SimpleNamespace(run=self.run_action),
                types.SimpleNamespace(call=self.run_call),
                types.SimpleNamespace(stream=self.stream),
                lambda targets: targets,
            ),
            self.track,
            metrics.Metrics(),
            self.objectives,
        )

    @contextlib.contextmanager
    def track(self):
        self.in_flight.append('begun')
        yield
        self.in_flight.append('ended')

    async def run_action(self, request):
        self.ran.append(request)
        return self.result

    async def run_call(self, resolved, body, fingerprint):
        self.ran.append(resolved)
        return self.call_result

    async def stream(self, request):
        self.ran.append(request)
        for delay_ms, event in self.events:
            self.clock.advance(delay_ms)
            yield event

    def build_request(self, operation='hold', is_resent=False, **names):
        values = {'workspace': 'swan-coast', 'service': 'slots', **names}
        return requests.OperationRequest(
            operation=operation,
            key='k',
            body=b'{}',
            is_resent=is_resent,
            **values,
        )

    async def test_refusals_run_nothing(self) -> None:
        """An entry drains or is isolated, or a limit is reached.

        A caller that resends its request to hold a slot must not receive
        "not run", which would make it book again under a new key.
        """
        for check, operation, is_resent, expected in REFUSALS:
            with self.subTest(
                check=check, operation=operation, is_resent=is_resent
            ):
                intake_service = self.build(check)
                running = intake_service.run_operation(
                    self.build_request(operation, is_resent)
                )
                if expected == 'refused':
                    with self.assertRaises(requests.RequestRefused) as caught:
                        await running
                    self.assertGreater(caught.exception.retry_after_ms, 0)
                else:
                    result = await running
                    self.assertIsInstance(result, results.ActionUnknown)
                    self.assertGreater(result.retry_after_ms, 0)
                self.assertEqual([], self.ran)
                self.assertEqual([], self.in_flight)

    async def test_draining_entry_returns_other_entries(self) -> None:
        with self.assertRaises(requests.RequestRefused) as caught:
            await self.build('is_accepting').run_operation(
                self.build_request()
            )
        self.assertEqual(
            ('http://10.0.0.2:8000',), caught.exception.alternatives
        )

    async def test_unknown_names_run_nothing(self) -> None:
        for workspace, service, operation, kind in UNKNOWN_NAMES:
            with (
                self.subTest(workspace=workspace, kind=kind),
                self.assertRaises(exceptions.UnknownName) as caught,
            ):
                await self.build().run_operation(
                    self.build_request(
                        operation, workspace=workspace, service=service
                    )
                )
            self.assertEqual(kind, caught.exception.kind)
        self.assertEqual([], self.ran)

    async def test_action_is_sent_once_and_its_capacity_released(self):
        result = await self.build().run_operation(self.build_request())
        self.assertEqual(self.result, result)
        (request,) = self.ran
        self.assertEqual(['slots-1'], [one.name for one in request.targets])
        self.assertEqual(self.clock.now() + 900, request.deadline)
        self.assertEqual([(0, 'done')], self.admitted.finished)
        self.assertEqual(['begun', 'ended'], self.in_flight)
        self.assertEqual([True], self.objectives.outcomes)

    async def test_idempotent_operation_runs_as_a_call(self) -> None:
        for call_result, kind in (
            (calls.CallAnswered(RESPONSE), results.ActionDone),
            (calls.CallFailed('lost', True, 5), results.ActionUnknown),
            (calls.CallFailed('refused', False, 5), results.ActionNotRun),
        ):
            with self.subTest(call_result=call_result):
                self.call_result = call_result
                result = await self.build().run_operation(
                    self.build_request('status')
                )
                self.assertIsInstance(result, kind)

    async def test_tokens_are_timed_and_counted(self) -> None:
        self.events = [
            (400, generation.Tokens(0, ('a',))),
            (60, generation.Tokens(1, ('b', 'c'))),
            (5, generation.Finished(3)),
        ]
        model_request = requests.ModelRequest(
            'r', 'swan-coast', 'drafter', 'p', 9, 0, 1000
        )
        seen = [event async for event in self.build().stream(model_request)]
        self.assertEqual([event for _, event in self.events], seen)
        self.assertEqual(
            [('first_token', 400), ('between_tokens', 30)],
            self.objectives.times,
        )
        self.assertEqual([(3, 'done')], self.admitted.finished)
        self.assertEqual(1, self.admitted.first_tokens)

    async def test_cancelled_request_releases_its_capacity(self) -> None:
        """A caller closes its connection in the middle of a response.

        The capacity must be released at once, and the request doesn't count
        as a failure of the service. Its token times do count: without the
        times of callers that cancel slow requests, a report would show that
        the objectives are met.
        """
        self.events = [(1, generation.Tokens(0, ('a',)))] * 3
        model_request = requests.ModelRequest(
            'r', 'swan-coast', 'drafter', 'p', 9, 0, 1000
        )
        events = self.build().stream(model_request)
        await anext(events)
        await anext(events)
        await events.aclose()
        self.assertEqual([(2, 'left')], self.admitted.finished)
        self.assertEqual([], self.objectives.outcomes)
        self.assertEqual(
            [('first_token', 1), ('between_tokens', 1)], self.objectives.times
        )

    async def test_token_times_are_passed_to_objectives_each_second(
        self,
    ) -> None:
        token = generation.Tokens(0, ('a',))
        self.events = [(49, token)] * 42
        model_request = requests.ModelRequest(
            'r', 'swan-coast', 'drafter', 'p', 99, 0, 60_000
        )
        events = self.build().stream(model_request)
        for _ in range(42):
            await anext(events)
        # One report of the first token, and one for each of two seconds.
        self.assertEqual(3, self.objectives.report_count)
        self.assertEqual(42, len(self.objectives.times))
        await events.aclose()
        self.assertEqual(3, self.objectives.report_count)

    async def test_model_of_another_workspace_is_unknown(self) -> None:
        model_request = requests.ModelRequest(
            'r', 'other', 'drafter', 'p', 9, 0, 1000
        )
        with self.assertRaises(exceptions.UnknownName):
            await anext(self.build().stream(model_request))
