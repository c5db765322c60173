"""Tests of the gates that requests pass before they run."""

from __future__ import annotations

import types
import unittest

import attrs

from tests import builders
from thornspool.application import gates
from thornspool.application import intake
from thornspool.application import observation
from thornspool.application import requests
from thornspool.domain.limits import messages as limits
from thornspool.domain.quarantine import messages as quarantine

WORK = intake.Work('swan-coast', 'drafter', 'f', 60_000, 40, 'drafter')
TICKET = limits.Ticket('swan-coast', 'drafter', 0, 200)

# Reason of admission and whether the workspace's own limit stood against it.
REASONS = (
    (limits.Reason.REQUESTS, True),
    (limits.Reason.TOKENS, True),
    (limits.Reason.CONCURRENCY, True),
    (limits.Reason.OVERLOAD, False),
    (limits.Reason.DEADLINE, False),
)

# Outcome and whether admission counts it against capacity.
ENDINGS = (
    (observation.Outcome.DONE, False),
    (observation.Outcome.LEFT, False),
    (observation.Outcome.REJECTED, False),
    (observation.Outcome.NOT_RUN, True),
    (observation.Outcome.UNKNOWN, True),
)


class GatekeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.verdict = quarantine.Clear()
        self.answer = limits.Admitted(TICKET)
        self.estimates = []
        self.finished = []
        self.keeper = gates.Gatekeeper(
            self.clock,
            types.SimpleNamespace(admit=self.admit, finish=self.finish),
            types.SimpleNamespace(check=lambda fingerprint: self.verdict),
        )

    def admit(self, workspace, subject, estimated_ms, deadline, now):
        self.estimates.append(estimated_ms)
        return self.answer

    def finish(self, ticket, succeeded, tokens, now) -> None:
        self.finished.append(succeeded)

    def test_reasons_of_refusal_are_passed_on(self) -> None:
        for reason, by_limit in REASONS:
            with self.subTest(reason=reason):
                self.answer = limits.Refused(reason, 350)
                with self.assertRaises(requests.RequestRefused) as caught:
                    self.keeper.admit(WORK)
                self.assertEqual(350, caught.exception.retry_after_ms)
                self.assertEqual(by_limit, caught.exception.by_limit)

    def test_a_condemned_request_is_not_admitted(self) -> None:
        """A request that crashed its targets is sent again.

        Every user of the model would notice if it ran once more.
        """
        self.verdict = quarantine.Condemned(9_000)
        with self.assertRaises(requests.RequestRefused) as caught:
            self.keeper.admit(WORK)
        self.assertEqual(9_000, caught.exception.retry_after_ms)
        self.assertEqual([], self.estimates)

    def test_only_failures_count_against_capacity(self) -> None:
        """Callers leave while everything is well.

        If that lowered the bound of the group, others would be refused.
        """
        for outcome, failed in ENDINGS:
            with self.subTest(outcome=outcome):
                self.keeper.admit(WORK).finish(1, outcome, 10)
                self.assertEqual(not failed, self.finished[-1])

    def test_estimates_follow_what_tokens_took(self) -> None:
        for _ in range(80):
            place = self.keeper.admit(WORK)
            place.finish(40, observation.Outcome.DONE, 40 * 20)
        self.keeper.admit(WORK)
        self.assertEqual(200, self.estimates[0])
        self.assertAlmostEqual(800, self.estimates[-1], delta=10)

    def test_operations_of_one_service_have_their_own_times(self) -> None:
        """A service has an operation of 5 ms and one of 300 ms.

        With one estimate for both, each slow answer looked delayed: the
        bound of the service fell to one call, and callers were refused for
        overload under almost no load.
        """
        slow = intake.Work('swan-coast', 'slots', '', 9000, 0, 'slots/hold')
        fast = attrs.evolve(slow, kind='slots/status')
        for _ in range(80):
            for work, took in ((slow, 300), (fast, 5)):
                place = self.keeper.admit(work)
                place.finish(0, observation.Outcome.DONE, took)
        self.keeper.admit(slow)
        self.keeper.admit(fast)
        self.assertAlmostEqual(300, self.estimates[-2], delta=5)
        self.assertAlmostEqual(5, self.estimates[-1], delta=1)
