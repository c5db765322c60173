"""Tests of the records of parts of prompts."""

from __future__ import annotations

import unittest

from thornspool.domain.quarantine import fingerprints
from thornspool.domain.quarantine import messages
from thornspool.domain.quarantine import records

SUSPECT_DEATHS = 2
TRIAL_AT = 1_000
JUDGED_AT = TRIAL_AT + records.VERDICT_DELAY_MS
PART, OTHER = (
    fingerprints.compute_part_name('drafting', part) for part in ('a', 'b')
)


class PartRecordsTest(unittest.TestCase):
    def setUp(self):
        self.records = records.QuarantineRecords('e', SUSPECT_DEATHS)

    def record_deaths(self, targets, *names):
        for target in targets:
            self.records.record_death(target, frozenset(names), frozenset(), 0)

    def record_trial(self, target, *names, now=TRIAL_AT, beside=()):
        on_trial = frozenset(names)
        self.records.record_death(
            target, on_trial | frozenset(beside), on_trial, now
        )

    def check(self, name, *others, now=JUDGED_AT):
        return type(self.records.check(name, now, frozenset(others)))

    def test_names_on_trial_together_deny_requests_with_all_of_them(self):
        """Guards against a sound part that is condemned for another one."""
        self.record_deaths('tu', PART, OTHER)
        self.record_trial('v', PART, OTHER)
        self.assertIs(messages.Condemned, self.check(PART, OTHER))
        self.assertIs(messages.Suspect, self.check(PART))
        self.assertIs(messages.Suspect, self.check(OTHER))

    def test_last_name_of_a_trial_is_condemned(self):
        """Guards against a cause that hides behind a part that ran well."""
        self.record_deaths('tu', PART, OTHER)
        self.record_trial('v', PART, OTHER)
        self.records.record_completion(OTHER, JUDGED_AT)
        self.assertIs(messages.Condemned, self.check(PART))
        self.assertIs(messages.Clear, self.check(OTHER))

    def test_part_is_no_rival_of_its_own_request(self):
        """Guards against a request that is tried on and on with its parts."""
        self.record_deaths('tu', PART, 'request')
        self.record_trial('v', PART, 'request')
        self.assertIs(messages.Condemned, self.check('request', PART))
        self.assertIs(messages.Suspect, self.check(PART, 'another request'))
        self.record_trial('w', PART, beside=['another request'])
        self.assertIs(messages.Condemned, self.check(PART, 'third request'))

    def test_requests_beside_a_suspect_part_need_no_trial(self):
        """Guards against trials of streams that move on with the cause."""
        self.record_deaths('tu', PART, 'beside')
        self.assertIs(messages.Suspect, self.check(PART))
        self.assertIs(messages.Clear, self.check('beside'))
        self.assertEqual(0, self.records.count_deaths('beside', 0))
        self.assertIs(messages.Suspect, self.check('beside', PART))
        self.records.record_completion(PART, JUDGED_AT)
        self.assertIs(messages.Suspect, self.check('beside'))

    def test_requests_beside_the_trial_of_a_part_are_no_rivals(self):
        """Guards against a part that streams beside it keep on trial."""
        self.record_deaths('tuw', PART, 'beside')
        self.record_trial('v', PART, beside=['beside'])
        self.assertIs(messages.Condemned, self.check(PART))
        self.record_deaths('xy', 'beside')
        self.assertIs(messages.Suspect, self.check(PART))

    def test_part_runs_on_trial_after_its_verdict(self):
        """Guards against servers that end again once a verdict expires."""
        self.record_trial('t', PART)
        self.assertIs(messages.Condemned, self.check(PART))
        end = TRIAL_AT + records.CONDEMNED_TTL_MS
        self.assertIsNone(self.records.record_refusal(PART, end - 1))
        self.assertIs(messages.Suspect, self.check(PART, now=end))
        end += records.PROBATION_MS
        self.assertIs(messages.Suspect, self.check(PART, now=end - 1))
        self.assertIs(messages.Clear, self.check(PART, now=end))
        self.records.compute_digest(end)
        self.assertEqual(0, self.records.count)

    def test_replies_to_peers_contain_suspect_parts(self):
        """Guards against suspects that the requests beside them displace."""
        self.record_deaths('tu', PART)
        for number in range(100):
            self.record_deaths('v', f'request {number}')
        update = self.records.describe_latest(0, 64)
        self.assertEqual(64, len(update.records))
        self.assertIn(PART, {one.fingerprint for one in update.records})


class ProvenPartTest(unittest.TestCase):
    def setUp(self):
        self.records = records.QuarantineRecords('e', SUSPECT_DEATHS)
        self.targets = [
            f't{number}' for number in range(records.PROVEN_PART_DEATHS)
        ]

    def record_deaths(self, targets, *names, now=0, on_trial=()):
        for target in targets:
            self.records.record_death(
                target,
                frozenset(names),
                frozenset(on_trial),
                now,
                frozenset({PART}),
            )

    def check(self, name, now=0):
        return type(self.records.check(name, now))

    def test_part_is_a_suspect_after_several_deaths(self):
        """Guards against a part that begins to crash servers later."""
        self.record_deaths(self.targets[:-1] * 2, PART)
        self.assertIs(messages.Clear, self.check(PART))
        self.record_deaths(self.targets[-1:], PART)
        self.assertIs(messages.Suspect, self.check(PART))

    def test_new_proof_begins_a_new_count(self):
        """Guards against a shared part that is blamed for many ends."""
        self.record_deaths(self.targets[:-1], PART)
        self.records.record_completion(PART, 10, 5)
        self.record_deaths(self.targets[-1:], PART, now=10)
        self.assertIs(messages.Clear, self.check(PART, 10))

    def test_run_that_began_earlier_proves_nothing(self):
        """Guards against deaths that runs of a time before clear."""
        self.record_deaths(self.targets, PART, now=10)
        self.assertIsNone(self.records.record_completion(PART, 20, 5))
        self.assertIs(messages.Suspect, self.check(PART, 20))

    def test_deaths_that_a_suspect_explains_do_not_count(self):
        """Guards against a shared part that is blamed beside another one."""
        self.record_deaths(self.targets, PART, OTHER)
        self.assertIs(messages.Suspect, self.check(OTHER))
        self.assertIs(messages.Clear, self.check(PART))
        others = [f'{target} later' for target in self.targets]
        self.record_deaths(others, PART)
        self.assertIs(messages.Suspect, self.check(PART))

    def test_two_deaths_in_trials_condemn(self):
        """Guards against a part in use that a coincidence withholds."""
        self.record_deaths(self.targets, PART)
        now = 0
        for target, verdict in (
            ('u', messages.Suspect),
            ('v', messages.Condemned),
        ):
            self.record_deaths([target], PART, now=now, on_trial=[PART])
            now += records.VERDICT_DELAY_MS
            self.assertIs(verdict, self.check(PART, now))

    def test_part_beside_a_trial_is_no_rival(self):
        """Guards against a cause that parts in use beside it protect."""
        self.record_deaths(self.targets, PART, OTHER)
        self.record_deaths(['u'], PART, OTHER, on_trial=[OTHER])
        self.assertIs(
            messages.Condemned, self.check(OTHER, records.VERDICT_DELAY_MS)
        )


class SynchronizationTest(unittest.TestCase):
    def setUp(self):
        self.here = records.QuarantineRecords('e1')
        self.there = records.QuarantineRecords('e2')

    def record_death(self, target, now, delay_ms=0):
        update = self.here.record_death(
            target, frozenset({PART}), frozenset(), now
        )
        self.there.merge(update, now + delay_ms)

    def clear(self, now):
        """Clear the part at one entry, whose message is lost."""
        return self.here.record_completion(PART, now)

    def check(self, now):
        return type(self.there.check(PART, now))

    def test_digests_differ_after_a_lost_clearance(self):
        """Guards against a part cleared before that stays a suspect."""
        self.record_death('t', 0)
        self.there.merge(self.clear(1), 1)
        self.record_death('u', 2)
        self.clear(3)
        self.assertIs(messages.Suspect, self.check(4))
        self.assertNotEqual(
            self.here.compute_digest(4), self.there.compute_digest(4)
        )
        self.there.merge(self.here.describe_latest(4, 64), 4)
        self.assertIs(messages.Clear, self.check(4))
        self.assertEqual(
            self.here.compute_digest(4), self.there.compute_digest(4)
        )

    def test_late_death_does_not_outlast_its_clearance(self):
        """Guards against a late message that makes a death seem recent."""
        self.record_death('t', 0, delay_ms=2_000)
        self.there.merge(self.clear(100), 100)
        self.assertIs(messages.Clear, self.check(2_000))
