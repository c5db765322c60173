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
TICKET = limits.Ticket(
    'swan-coast', limits.Asked('drafter', 'drafter', 39, 60_000), 0
)

# Reason of admission and whether the workspace's own limit stood against it.
REASONS = (
    (limits.Reason.REQUESTS, True),
    (limits.Reason.TOKENS, True),
    (limits.Reason.CONCURRENCY, True),
    (limits.Reason.OVERLOAD, False),
    (limits.Reason.DEADLINE, False),
)

# Tokens asked for, milliseconds to the first token or None, to the end,
# outcome, and what admission learns: the time of the first token, that of the
# rest, and whether the targets were late.
ENDINGS = (
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


class GatekeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.verdict = quarantine.Clear()
        self.answer = limits.Admitted(TICKET)
        self.asked = []
        self.forget()
        self.keeper = gates.Gatekeeper(
            self.clock,
            self,
            types.SimpleNamespace(check=lambda fingerprint: self.verdict),
        )

    def forget(self) -> None:
        self.first, self.rest = None, None
        self.late, self.finished = False, []

    def admit(self, workspace, asked, now):
        self.asked.append(asked)
        if isinstance(self.answer, limits.Admitted):
            return attrs.evolve(
                self.answer, ticket=limits.Ticket(workspace, asked, now)
            )
        return self.answer

    def observe(self, group, kind, duration_ms, now) -> None:
        self.first = duration_ms

    def observe_rest(self, ticket, units, duration_ms, now) -> None:
        self.rest = (units, duration_ms)

    def note_late(self, group, started, now) -> None:
        self.late = True

    def finish(self, ticket, tokens, now) -> None:
        self.finished.append(tokens)

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
        self.assertEqual([], self.asked)

    def test_only_what_targets_take_is_learnt(self) -> None:
        """Callers leave, the platform is down, keys are answered again.

        If that changed the bound of a target group, callers of targets that
        are well would be refused. Calls and actions are timed at the target
        instead; of a stream only the wait for its first token counts.
        """
        for case in ENDINGS:
            with self.subTest(case=case):
                tokens, first_ms, end_ms, outcome, *learnt = case
                self.forget()
                began = self.clock.now()
                work = attrs.evolve(
                    WORK, tokens=tokens, deadline=began + 60_000
                )
                place = self.keeper.admit(work)
                if first_ms is not None:
                    self.clock.advance(first_ms)
                    place.note_first_token()
                self.clock.advance(began + end_ms - self.clock.now())
                place.finish(tokens, outcome)
                self.assertEqual(learnt, [self.first, self.rest, self.late])
                self.assertEqual([tokens], self.finished)

    def test_kinds_of_work_are_passed_on(self) -> None:
        work = attrs.evolve(WORK, group='slots', kind='slots/hold', tokens=0)
        self.keeper.admit(work)
        self.assertEqual(
            [limits.Asked('slots', 'slots/hold', 0, 60_000)], self.asked
        )
