"""Tests of the times that the adaptive bound learns from."""

from __future__ import annotations

import unittest

from tests import builders
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application import timed_services

ANSWER = ports.ServiceAnswer(200, 'application/json', b'{}')
CALL = ports.ServiceCall(
    'http://127.0.0.1:1', 'slots', 'hold', 'w', 'k', 1, b'{}', 900
)

# What the target does after how long, and what is learnt.
CASES = (
    (None, 300, [('slots', 'slots/hold', 300, 300)], []),
    (exceptions.TargetNotReached('x'), 2, [], []),
    (exceptions.TargetAnswerLost('x'), 300, [], []),
    (exceptions.TargetAnswerLost('x'), 900, [], [('slots', 0, 900)]),
)


class TimedServicesTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_is_learnt(self) -> None:
        """Targets answer, break, or do not answer in time.

        Only the last one speaks of overload; a target that refuses
        connections is left alone by other means.
        """
        for error, took, observed, late in CASES:
            with self.subTest(error=error, took=took):
                self.clock = builders.FakeClock(now=0)
                self.error, self.took = error, took
                self.observed, self.late = [], []
                subject = timed_services.TimedServices(
                    self.clock,
                    self,
                    lambda *seen: self.observed.append(seen),
                    lambda *seen: self.late.append(seen),
                )
                if error is None:
                    self.assertIs(ANSWER, await subject.call(CALL))
                else:
                    with self.assertRaises(type(error)):
                        await subject.call(CALL)
                self.assertEqual(observed, self.observed)
                self.assertEqual(late, self.late)

    async def call(self, call):
        self.clock.advance(self.took)
        if self.error is not None:
            raise self.error
        return ANSWER
