"""Tests of the admission checks of requests."""

from __future__ import annotations

import types
import unittest

import attrs

from tests import builders
from thornspool.application import admission_gate
from thornspool.application import intake
from thornspool.application import observation
from thornspool.application import requests
from thornspool.domain.limits import messages as limits
from thornspool.domain.quarantine import messages as quarantine

WORK = intake.WorkEstimate('swan-coast', 'drafter', 'f', 60_000, 40, 'drafter')
TICKET = limits.Ticket(
    'swan-coast', limits.RequestEstimate('drafter', 'drafter', 39, 60_000), 0
)

# Reason of a refusal, and whether it is a limit of the workspace.
REASONS = (
    (limits.Reason.REQUESTS, True),
    (limits.Reason.TOKENS, True),
    (limits.Reason.CONCURRENCY, True),
    (limits.Reason.OVERLOAD, False),
    (limits.Reason.DEADLINE, False),
)

# Maximum tokens, milliseconds to the first token or None, milliseconds to the
# end, outcome, and what admission control records: the time of the first
# token, that of the other tokens, and whether the targets timed out.
OUTCOMES = (
    (40, 300, 2300, observation.Outcome.DONE, 300, (39, 2000), False),
    (40, 300, 2300, observation.Outcome.LEFT, 300, None, False),
    (40, 300, 60_000, observation.Outcome.UNKNOWN, 300, None, False),
    (40, None, 60_000, observation.Outcome.UNKNOWN, None, None, True),
    (40, None, 60_000, observation.Outcome.NOT_RUN, None, None, True),
    (40, None, 60_000, observation.Outcome.LEFT, None, None, False),
    (40, None, 10, observation.Outcome.REJECTED, None, None, False),
    (40, None, 900, observation.Outcome.NOT_RUN, None, None, False),
    (0, None, 60_000, observation.Outcome.NOT_RUN, None, None, False),
    (0, None, 60_000, observation.Outcome.UNKNOWN, None, None, False),
    (0, None, 5, observation.Outcome.DONE, None, None, False),
)


class AdmissionGateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.verdict = quarantine.Clear()
        self.result = limits.Admitted(TICKET)
        self.admitted_requests = []
        self.reset_records()
        self.gate = admission_gate.AdmissionGate(
            self.clock,
            self,
            types.SimpleNamespace(check=lambda fingerprint: self.verdict),
        )

    def reset_records(self) -> None:
        self.first_ms, self.rest = None, None
        self.late, self.finished = False, []

    def admit(self, workspace, request, now):
        self.admitted_requests.append(request)
        if isinstance(self.result, limits.Admitted):
            return attrs.evolve(
                self.result, ticket=limits.Ticket(workspace, request, now)
            )
        return self.result

    def observe(self, group, kind, duration_ms, now) -> None:
        self.first_ms = duration_ms

    def observe_following_tokens(
        self, ticket, units, duration_ms, now
    ) -> None:
        self.rest = (units, duration_ms)

    def record_timeout(self, group, started, now) -> None:
        self.late = True

    def finish(self, ticket, tokens, now) -> None:
        self.finished.append(tokens)

    def test_refusal_reasons_are_passed_on(self) -> None:
        for reason, exceeds_workspace_limit in REASONS:
            with self.subTest(reason=reason):
                self.result = limits.Rejection(reason, 350)
                with self.assertRaises(requests.RequestRefused) as caught:
                    self.gate.admit(WORK)
                self.assertEqual(350, caught.exception.retry_after_ms)
                self.assertEqual(
                    exceeds_workspace_limit,
                    caught.exception.exceeds_workspace_limit,
                )

    def test_condemned_request_is_not_admitted(self) -> None:
        """A request that crashed its targets is sent again.

        If it ran again, it would affect all users of the model.
        """
        self.verdict = quarantine.Condemned(9_000)
        with self.assertRaises(requests.RequestRefused) as caught:
            self.gate.admit(WORK)
        self.assertEqual(9_000, caught.exception.retry_after_ms)
        self.assertEqual([], self.admitted_requests)

    def test_only_times_of_targets_are_recorded(self) -> None:
        """Callers cancel, the platform is down, or results are replayed.

        If that changed the concurrency limit of a target group, requests to
        healthy targets would be refused. Calls and actions are measured at
        the target instead. Of a stream, only the time to its first token can
        count as a timeout.
        """
        for case in OUTCOMES:
            with self.subTest(case=case):
                tokens, first_token_ms, end_ms, outcome, *recorded = case
                self.reset_records()
                started_at = self.clock.now()
                work = attrs.evolve(
                    WORK, tokens=tokens, deadline=started_at + 60_000
                )
                admitted = self.gate.admit(work)
                if first_token_ms is not None:
                    self.clock.advance(first_token_ms)
                    admitted.record_first_token()
                self.clock.advance(started_at + end_ms - self.clock.now())
                admitted.finish(tokens, outcome)
                self.assertEqual(
                    recorded, [self.first_ms, self.rest, self.late]
                )
                self.assertEqual([tokens], self.finished)

    def test_kind_of_work_is_passed_on(self) -> None:
        work = attrs.evolve(WORK, group='slots', kind='slots/hold', tokens=0)
        self.gate.admit(work)
        self.assertEqual(
            [limits.RequestEstimate('slots', 'slots/hold', 0, 60_000)],
            self.admitted_requests,
        )
