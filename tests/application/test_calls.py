"""Tests of idempotent calls under failures of their targets."""

from __future__ import annotations

import asyncio
import random
import unittest

from tests import builders
from tests.application import builders as application_builders
from thornspool.application import calls
from thornspool.application import directory
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application import service_trials
from thornspool.domain.configuration import documents
from thornspool.domain.targets import messages

REFUSED = exceptions.TargetNotReached('refused')
LEAVING = exceptions.TargetLeaving('leaving')
LOST = exceptions.TargetAnswerLost('lost')
ANSWER = ports.ServiceAnswer(200, 'application/json', b'{}')

# What each target does, retries in the budget, whether the call is answered,
# the number of attempts, and whether a failed call may have run.
FAULTS = (
    ((ANSWER, ANSWER, ANSWER), 3, True, 1, False),
    ((REFUSED, ANSWER, ANSWER), 3, True, None, False),
    ((LOST, LOST, ANSWER), 3, True, None, False),
    ((REFUSED, REFUSED, REFUSED), 3, False, 3, False),
    ((LEAVING, LEAVING, LEAVING), 3, False, 3, False),
    ((LOST, LOST, LOST), 3, False, 3, True),
    ((LOST, LOST, LOST), 1, False, 2, True),
    ((REFUSED, REFUSED, REFUSED), 0, False, 1, False),
)


class FakeTargets:
    """Every target is ready but those named."""

    def __init__(self, not_ready=()) -> None:
        self.not_ready = not_ready
        self.slots = None

    def read_readiness(self, target):
        if target in self.not_ready:
            return messages.Readiness.LEAVING
        return messages.Readiness.READY

    def read_load(self, target):
        if self.slots is None:
            return None
        ready = messages.Readiness.READY
        return messages.LoadReport(target, 0, ready, max_batch=self.slots)


class NewCalls(service_trials.NoTrials):
    """Holds every call for one that did not run of late."""

    def is_proven(self, fingerprint) -> bool:
        return False


class HangingServices:
    """Targets that never answer."""

    def __init__(self) -> None:
        self.sent = []

    async def call(self, call):
        self.sent.append(call.url)
        await asyncio.Event().wait()


class ScriptedServices:
    """Targets that answer or fail as the test says, by URL."""

    def __init__(self, by_url) -> None:
        self.by_url = by_url
        self.sent = []

    async def call(self, call):
        self.sent.append(call.url)
        answer = self.by_url[call.url]
        if isinstance(answer, Exception):
            raise answer
        return answer


class CallServiceTest(unittest.IsolatedAsyncioTestCase):
    def build(self, answers, retries=3, not_ready=()):
        targets = tuple(
            application_builders.build_target(f'slots-{number}')
            for number in range(len(answers))
        )
        self.services = ScriptedServices(
            {t.url: a for t, a in zip(targets, answers, strict=True)}
        )
        self.left = retries
        self.resolved = directory.ResolvedOperation(
            documents.Service('slots', 'swan-coast', (), ()),
            documents.Operation('status', True, 500),
            targets,
        )
        return calls.CallService(
            builders.FakeClock(),
            self.services,
            FakeTargets(not_ready),
            random.Random(3),
            self.take_retry,
            lambda name: None,
            lambda target, reason: None,
        )

    def take_retry(self, name) -> bool:
        self.left -= 1
        return self.left >= 0

    async def test_faults_of_targets(self) -> None:
        """Targets refuse, leave or lose their answers.

        A user would see a failed status although another target could have
        answered, or an outage made worse by repeated calls.
        """
        for answers, retries, answered, attempts, ran in FAULTS:
            with self.subTest(answers=answers, retries=retries):
                service = self.build(answers, retries)
                result = await service.call(self.resolved, b'{}')
                seen = isinstance(result, calls.CallAnswered)
                self.assertEqual(answered, seen)
                if attempts is not None:
                    self.assertEqual(attempts, len(self.services.sent))
                if not answered:
                    self.assertEqual(ran, result.ran)
                    self.assertGreater(result.retry_after_ms, 0)

    async def test_a_target_that_is_not_ready_gets_nothing(self) -> None:
        service = self.build((ANSWER, ANSWER), not_ready=('slots-0',))
        for _ in range(20):
            await service.call(self.resolved, b'{}')
        self.assertEqual(1, len(set(self.services.sent)))

    async def test_new_calls_stay_with_targets_that_run_many(self) -> None:
        """Many new calls find the same target of two first, at one entry.

        One that crashes targets would cost two at once, if the others drove
        it to another target here and not at the other entries.
        """
        cases = ((None, calls.MARGIN), (4, calls.MARGIN), (64, 16))
        for slots, margin in cases:
            with self.subTest(slots=slots):
                service = self.build((ANSWER, ANSWER))
                service._targets.slots = slots
                service._trials = NewCalls()
                service._services = hanging = HangingServices()
                names = [f'call {number}' for number in range(200)]
                first = self.resolved.targets[0]
                same = [
                    name
                    for name in names
                    if service_trials.rank(
                        NewCalls(), name, self.resolved.targets
                    )[0]
                    == first
                ]
                tasks = [
                    asyncio.create_task(
                        service.call(self.resolved, b'{}', name)
                    )
                    for name in same[: margin + 2]
                ]
                await asyncio.sleep(0.01)
                for task in tasks:
                    task.cancel()
                self.assertEqual(margin + 1, hanging.sent.count(first.url))

    async def test_no_ready_target_runs_nothing(self) -> None:
        service = self.build((ANSWER,), not_ready=('slots-0',))
        result = await service.call(self.resolved, b'{}')
        self.assertFalse(result.ran)
        self.assertEqual([], self.services.sent)

    async def test_a_target_is_tried_once_in_a_call(self) -> None:
        service = self.build((LOST, LOST, LOST))
        await service.call(self.resolved, b'{}')
        self.assertEqual(3, len(set(self.services.sent)))
