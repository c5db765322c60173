"""Tests of the index, against verdicts from a scan of all records."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from thornspool.domain.quarantine import records

NAMES = ('a', 'b', 'c', 'd')
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['here', 'there', 'finish', 'wait']),
        strategies.sets(strategies.sampled_from(NAMES), min_size=1),
        strategies.sets(strategies.sampled_from(NAMES)),
        strategies.sampled_from(['t', 'u', 'v']),
        strategies.sampled_from([1, 900, 9_000, 300_000]),
    ),
    max_size=12,
)


class ScanIndex:
    """Index that lists every request for each target."""

    def add(self, fingerprint, deaths):
        pass

    def discard(self, fingerprint, deaths):
        pass

    def list_on_trial(self, target):
        return NAMES

    list_repeated = list_on_trial


class IndexTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(STEPS)
    def test_verdicts_are_those_of_a_scan(self, steps) -> None:
        """An index that omits a request condemns a harmless one.

        If two requests have the same two deaths, neither may be condemned.
        Without the other one in the index, the verdict is not ambiguous.
        """
        indexed = records.QuarantineRecords('here')
        scanned = records.QuarantineRecords('here')
        scanned._index = ScanIndex()
        other = records.QuarantineRecords('there')
        now = 0
        for kind, in_flight, on_trial, target, elapsed in steps:
            now += elapsed
            update = other.record_death(
                target,
                frozenset(in_flight),
                frozenset(on_trial & in_flight),
                now,
            )
            for checked in (indexed, scanned):
                if kind == 'here':
                    checked.merge(update, now)
                if kind == 'there':
                    checked.record_death(
                        target, frozenset(in_flight), frozenset(on_trial), now
                    )
                if kind == 'finish':
                    checked.record_completion(min(in_flight), now)
                checked.compute_digest(now)
            for name in NAMES:
                self.assertEqual(
                    scanned.check(name, now), indexed.check(name, now)
                )

    def test_expired_records_are_removed_from_the_index(self) -> None:
        checked = records.QuarantineRecords('here')
        for now, target in enumerate('tu'):
            checked.record_death(target, frozenset('ab'), frozenset('a'), now)
        checked.compute_digest(records.CONDEMNED_TTL_MS + 1)
        self.assertEqual(0, checked.count)
        self.assertEqual(
            {},
            checked._index._on_trial_by_target
            | checked._index._repeated_by_target,
        )
