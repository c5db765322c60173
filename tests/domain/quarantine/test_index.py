"""Verdicts by the index compared with verdicts by a scan of all records."""

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
    """Lists every request for each target."""

    def add(self, fingerprint, deaths):
        pass

    def discard(self, fingerprint, deaths):
        pass

    def list_tried(self, target):
        return NAMES

    list_repeated = list_tried


class IndexTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(STEPS)
    def test_verdicts_are_those_of_a_scan(self, steps) -> None:
        """An index that misses a request condemns an innocent.

        The other request at both deaths would not be seen beside it.
        """
        indexed = records.QuarantineRecords('here')
        scanned = records.QuarantineRecords('here')
        scanned._index = ScanIndex()
        other = records.QuarantineRecords('there')
        now = 0
        for kind, flying, tried, target, elapsed in steps:
            now += elapsed
            told = other.note_death(
                target, frozenset(flying), frozenset(tried & flying), now
            )
            for known in (indexed, scanned):
                if kind == 'here':
                    known.merge(told, now)
                if kind == 'there':
                    known.note_death(
                        target, frozenset(flying), frozenset(tried), now
                    )
                if kind == 'finish':
                    known.note_finish(min(flying), now)
                known.compute_digest(now)
            for name in NAMES:
                self.assertEqual(
                    scanned.check(name, now), indexed.check(name, now)
                )

    def test_index_forgets_with_the_records(self) -> None:
        known = records.QuarantineRecords('here')
        for now, target in enumerate('tu'):
            known.note_death(target, frozenset('ab'), frozenset('a'), now)
        known.compute_digest(records.CONDEMNED_TTL_MS + 1)
        self.assertEqual(0, known.count)
        self.assertEqual({}, known._index._tried | known._index._repeated)
