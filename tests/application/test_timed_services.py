"""Tests of the measurements for the adaptive concurrency limit."""

from __future__ import annotations

import unittest

from tests import builders
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application import timed_services

RESPONSE = ports.ServiceResponse(200, 'application/json', b'{}')
CALL = ports.ServiceCall(
    'http://127.0.0.1:1', 'slots', 'hold', 'w', 'k', 1, b'{}', 900
)

# Error of the target, its duration in milliseconds, the expected recorded
# responses and the expected recorded timeouts.
CASES = (
    (None, 300, [('slots', 'slots/hold', 300, 300)], []),
    (exceptions.TargetUnreachable('x'), 2, [], []),
    (exceptions.TargetResponseLost('x'), 300, [], []),
    (exceptions.TargetResponseLost('x'), 900, [], [('slots', 0, 900)]),
)


class TimedServicesTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_responses_and_timeouts_are_recorded(self) -> None:
        """Targets respond, fail, or do not respond in time.

        Of the failures, only a timeout indicates overload. A target that
        refuses connections is excluded by other means.
        """
        for error, duration_ms, observed, timeouts in CASES:
            with self.subTest(error=error, duration_ms=duration_ms):
                self.clock = builders.FakeClock(now=0)
                self.error, self.duration_ms = error, duration_ms
                self.observed, self.timeouts = [], []
                subject = timed_services.TimedServices(
                    self.clock,
                    self,
                    lambda *record: self.observed.append(record),
                    lambda *record: self.timeouts.append(record),
                )
                if error is None:
                    self.assertIs(RESPONSE, await subject.call(CALL))
                else:
                    with self.assertRaises(type(error)):
                        await subject.call(CALL)
                self.assertEqual(observed, self.observed)
                self.assertEqual(timeouts, self.timeouts)

    async def call(self, call):
        self.clock.advance(self.duration_ms)
        if self.error is not None:
            raise self.error
        return RESPONSE
