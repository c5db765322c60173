"""Tests of idempotent calls with failing targets."""

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

REFUSED = exceptions.TargetUnreachable('refused')
LEAVING = exceptions.TargetLeaving('leaving')
LOST = exceptions.TargetResponseLost('lost')
RESPONSE = ports.ServiceResponse(200, 'application/json', b'{}')

# Result of each target, retries in the budget, whether the call succeeds,
# the number of attempts, and whether a failed call may have run.
FAULTS = (
    ((RESPONSE, RESPONSE, RESPONSE), 3, True, 1, False),
    ((REFUSED, RESPONSE, RESPONSE), 3, True, None, False),
    ((LOST, LOST, RESPONSE), 3, True, None, False),
    ((REFUSED, REFUSED, REFUSED), 3, False, 3, False),
    ((LEAVING, LEAVING, LEAVING), 3, False, 3, False),
    ((LOST, LOST, LOST), 3, False, 3, True),
    ((LOST, LOST, LOST), 1, False, 2, True),
    ((REFUSED, REFUSED, REFUSED), 0, False, 1, False),
)


class FakeTargets:
    """All targets are ready except the given ones."""

    def __init__(self, not_ready=()) -> None:
        self.not_ready = not_ready
        self.max_batch = None

    def read_readiness(self, target):
        if target in self.not_ready:
            return messages.Readiness.LEAVING
        return messages.Readiness.READY

    def read_load(self, target):
        if self.max_batch is None:
            return None
        ready = messages.Readiness.READY
        return messages.LoadReport(target, 0, ready, max_batch=self.max_batch)


class NewCalls(service_trials.NoTrials):
    """Treats every call as one that did not complete recently."""

    def has_completed_recently(self, fingerprint) -> bool:
        return False


class HangingServices:
    """Targets that never respond."""

    def __init__(self) -> None:
        self.sent = []

    async def call(self, call):
        self.sent.append(call.url)
        await asyncio.Event().wait()


class ScriptedServices:
    """Targets with a scripted response or error, by URL."""

    def __init__(self, by_url) -> None:
        self.by_url = by_url
        self.sent = []

    async def call(self, call):
        self.sent.append(call.url)
        response = self.by_url[call.url]
        if isinstance(response, Exception):
            raise response
        return response


class CallServiceTest(unittest.IsolatedAsyncioTestCase):
    def build(self, responses, retries=3, not_ready=()):
        targets = tuple(
            application_builders.build_target(f'slots-{number}')
            for number in range(len(responses))
        )
        self.services = ScriptedServices(
            {t.url: a for t, a in zip(targets, responses, strict=True)}
        )
        self.retries_left = retries
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
            self.acquire_retry,
            lambda name: None,
            lambda target, reason: None,
        )

    def acquire_retry(self, name) -> bool:
        self.retries_left -= 1
        return self.retries_left >= 0

    async def test_faults_of_targets(self) -> None:
        """Targets refuse calls, leave, or their responses are lost.

        A call must not fail while another target could respond, and retries
        must not amplify an outage.
        """
        for responses, retries, succeeds, attempts, may_have_run in FAULTS:
            with self.subTest(responses=responses, retries=retries):
                service = self.build(responses, retries)
                result = await service.call(self.resolved, b'{}')
                has_succeeded = isinstance(result, calls.CallAnswered)
                self.assertEqual(succeeds, has_succeeded)
                if attempts is not None:
                    self.assertEqual(attempts, len(self.services.sent))
                if not succeeds:
                    self.assertEqual(may_have_run, result.may_have_run)
                    self.assertGreater(result.retry_after_ms, 0)

    async def test_target_that_is_not_ready_gets_no_call(self) -> None:
        service = self.build((RESPONSE, RESPONSE), not_ready=('slots-0',))
        for _ in range(20):
            await service.call(self.resolved, b'{}')
        self.assertEqual(1, len(set(self.services.sent)))

    async def test_new_calls_stay_with_their_first_target_up_to_a_margin(
        self,
    ) -> None:
        """Many new calls at one entry rank the same target first.

        If their load moved a call that crashes targets to another target at
        this entry only, the call would crash two targets at once.
        """
        cases = (
            (None, calls.MIN_IN_FLIGHT_MARGIN),
            (4, calls.MIN_IN_FLIGHT_MARGIN),
            (64, 16),
        )
        for max_batch, margin in cases:
            with self.subTest(max_batch=max_batch):
                service = self.build((RESPONSE, RESPONSE))
                service._targets.max_batch = max_batch
                service._trials = NewCalls()
                service._services = hanging = HangingServices()
                names = [f'call {number}' for number in range(200)]
                first = self.resolved.targets[0]
                same_first = [
                    name
                    for name in names
                    if service_trials.rank_targets(
                        NewCalls(), name, self.resolved.targets
                    )[0]
                    == first
                ]
                tasks = [
                    asyncio.create_task(
                        service.call(self.resolved, b'{}', name)
                    )
                    for name in same_first[: margin + 2]
                ]
                await asyncio.sleep(0.01)
                for task in tasks:
                    task.cancel()
                self.assertEqual(margin + 1, hanging.sent.count(first.url))

    async def test_no_ready_target_runs_nothing(self) -> None:
        service = self.build((RESPONSE,), not_ready=('slots-0',))
        result = await service.call(self.resolved, b'{}')
        self.assertFalse(result.may_have_run)
        self.assertEqual([], self.services.sent)

    async def test_each_target_is_tried_once_per_call(self) -> None:
        service = self.build((LOST, LOST, LOST))
        await service.call(self.resolved, b'{}')
        self.assertEqual(3, len(set(self.services.sent)))
