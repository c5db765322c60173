"""Tests of what happens to a request before and after it runs."""

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
ANSWER = ports.ServiceAnswer(200, 'application/json', b'{}')
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

# Gate that refuses, operation, resent, what the caller is told.
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


class Ticket:
    """Notes how a place is given back."""

    def __init__(self) -> None:
        self.finished = []
        self.first_tokens = 0

    def note_first_token(self) -> None:
        self.first_tokens += 1

    def finish(self, tokens, outcome) -> None:
        self.finished.append((tokens, outcome.value))


class Objectives:
    """Notes what is compared with objectives."""

    def __init__(self) -> None:
        self.outcomes = []
        self.times = []
        self.told = 0

    def record_outcome(self, workspace, name, good) -> None:
        self.outcomes.append(good)

    def record_time(self, workspace, name, indicator, milliseconds) -> None:
        self.record_times(workspace, name, indicator, [milliseconds])

    def record_times(self, workspace, name, indicator, times_ms) -> None:
        self.told += 1
        self.times += [(indicator.value, time) for time in times_ms]


class IntakeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.ticket = Ticket()
        self.objectives = Objectives()
        self.in_flight = []
        self.ran = []
        self.result = results.ActionDone(200, 'text/plain', b'held', False)
        self.called = calls.CallAnswered(ANSWER)
        self.events = []

    def build(self, refusing=''):
        def admit(work):
            if refusing == 'admit':
                raise REFUSED
            return self.ticket

        return intake.Intake(
            self.clock,
            lambda: SNAPSHOT,
            intake.Gates(
                admit,
                lambda: refusing != 'is_accepting',
                lambda: refusing == 'is_isolated',
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
        return self.called

    async def stream(self, request):
        self.ran.append(request)
        for wait, event in self.events:
            self.clock.advance(wait)
            yield event

    def ask(self, operation='hold', resent=False, **names):
        values = {'workspace': 'swan-coast', 'service': 'slots', **names}
        return requests.OperationRequest(
            operation=operation, key='k', body=b'{}', resent=resent, **values
        )

    async def test_refusals_run_nothing(self) -> None:
        """An entry drains, is cut off, or a limit is reached.

        A caller that sent its hold before must not read "not run", which
        would make it book again under a new key.
        """
        for gate, operation, resent, told in REFUSALS:
            with self.subTest(gate=gate, operation=operation, resent=resent):
                taking = self.build(gate)
                asked = taking.run_operation(self.ask(operation, resent))
                if told == 'refused':
                    with self.assertRaises(requests.RequestRefused) as caught:
                        await asked
                    self.assertGreater(caught.exception.retry_after_ms, 0)
                else:
                    result = await asked
                    self.assertIsInstance(result, results.ActionUnknown)
                    self.assertGreater(result.retry_after_ms, 0)
                self.assertEqual([], self.ran)
                self.assertEqual([], self.in_flight)

    async def test_a_draining_entry_names_others(self) -> None:
        with self.assertRaises(requests.RequestRefused) as caught:
            await self.build('is_accepting').run_operation(self.ask())
        self.assertEqual(('http://10.0.0.2:8000',), caught.exception.instead)

    async def test_names_that_are_not_in_force_run_nothing(self) -> None:
        for workspace, service, operation, kind in UNKNOWN_NAMES:
            with (
                self.subTest(workspace=workspace, kind=kind),
                self.assertRaises(exceptions.UnknownName) as caught,
            ):
                await self.build().run_operation(
                    self.ask(operation, workspace=workspace, service=service)
                )
            self.assertEqual(kind, caught.exception.kind)
        self.assertEqual([], self.ran)

    async def test_an_action_is_sent_once_and_its_place_given_back(self):
        result = await self.build().run_operation(self.ask())
        self.assertEqual(self.result, result)
        (request,) = self.ran
        self.assertEqual(['slots-1'], [one.name for one in request.targets])
        self.assertEqual(self.clock.now() + 900, request.deadline)
        self.assertEqual([(0, 'done')], self.ticket.finished)
        self.assertEqual(['begun', 'ended'], self.in_flight)
        self.assertEqual([True], self.objectives.outcomes)

    async def test_an_idempotent_call_takes_the_way_of_calls(self) -> None:
        for called, kind in (
            (calls.CallAnswered(ANSWER), results.ActionDone),
            (calls.CallFailed('lost', True, 5), results.ActionUnknown),
            (calls.CallFailed('refused', False, 5), results.ActionNotRun),
        ):
            with self.subTest(called=called):
                self.called = called
                result = await self.build().run_operation(self.ask('status'))
                self.assertIsInstance(result, kind)

    async def test_tokens_are_timed_and_counted(self) -> None:
        self.events = [
            (400, generation.Tokens(0, ('a',))),
            (60, generation.Tokens(1, ('b', 'c'))),
            (5, generation.Finished(3)),
        ]
        wanted = requests.ModelRequest(
            'r', 'swan-coast', 'drafter', 'p', 9, 0, 1000
        )
        seen = [event async for event in self.build().stream(wanted)]
        self.assertEqual([event for _, event in self.events], seen)
        self.assertEqual(
            [('first_token', 400), ('between_tokens', 30)],
            self.objectives.times,
        )
        self.assertEqual([(3, 'done')], self.ticket.finished)
        self.assertEqual(1, self.ticket.first_tokens)

    async def test_a_caller_that_leaves_gives_its_place_back(self) -> None:
        """A caller closes its connection in the middle of an answer.

        The place must be free at once; it is no failure of the service.
        What the caller waited counts: without the times of those who left
        for slowness, a report would show that all was well.
        """
        self.events = [(1, generation.Tokens(0, ('a',)))] * 3
        wanted = requests.ModelRequest(
            'r', 'swan-coast', 'drafter', 'p', 9, 0, 1000
        )
        events = self.build().stream(wanted)
        await anext(events)
        await anext(events)
        await events.aclose()
        self.assertEqual([(2, 'left')], self.ticket.finished)
        self.assertEqual([], self.objectives.outcomes)
        self.assertEqual(
            [('first_token', 1), ('between_tokens', 1)], self.objectives.times
        )

    async def test_objectives_are_told_of_times_each_second(self) -> None:
        token = generation.Tokens(0, ('a',))
        self.events = [(49, token)] * 42
        wanted = requests.ModelRequest(
            'r', 'swan-coast', 'drafter', 'p', 99, 0, 60_000
        )
        events = self.build().stream(wanted)
        for _ in range(42):
            await anext(events)
        # The first token, and those of two seconds.
        self.assertEqual(3, self.objectives.told)
        self.assertEqual(42, len(self.objectives.times))
        await events.aclose()
        self.assertEqual(3, self.objectives.told)

    async def test_a_model_of_another_workspace_is_unknown(self) -> None:
        wanted = requests.ModelRequest(
            'r', 'other', 'drafter', 'p', 9, 0, 1000
        )
        with self.assertRaises(exceptions.UnknownName):
            await anext(self.build().stream(wanted))
