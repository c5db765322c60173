"""Tests of the records of whole requests."""

from __future__ import annotations

import unittest

from thornspool.domain.quarantine import messages
from thornspool.domain.quarantine import records

TRIAL_AT = 1_000
JUDGED_AT = TRIAL_AT + records.VERDICT_DELAY_MS


class ExplainedDeathsTest(unittest.TestCase):
    """Deaths of targets that a condemned request has run on as well."""

    def check_beside(self, targets):
        """Check a request that was at the deaths of a condemned one."""
        found = records.QuarantineRecords('e', 2)
        for target in targets:
            found.record_death(
                target, frozenset({'one', 'two'}), frozenset(), 0
            )
        found.record_death(
            'trial', frozenset({'one'}), frozenset({'one'}), TRIAL_AT
        )
        self.assertIsInstance(
            found.check('one', JUDGED_AT), messages.Condemned
        )
        return type(found.check('two', JUDGED_AT))

    def test_request_beside_a_condemned_one_needs_no_trial(self):
        """Guards against sound requests that wait for trials."""
        self.assertIs(messages.Clear, self.check_beside('tu'))

    def test_request_at_three_deaths_is_a_suspect_in_any_case(self):
        """Guards against causes that hide behind each other."""
        self.assertIs(messages.Suspect, self.check_beside('tuv'))
