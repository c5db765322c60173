"""Tests of what the targets of a group report, added up."""

from __future__ import annotations

import unittest

from tests import builders
from thornspool.application import capacity
from thornspool.domain.configuration import documents
from thornspool.domain.limits import messages as limits
from thornspool.domain.targets import messages

MODEL = documents.Model(
    'drafter',
    '1',
    8,
    (
        documents.Stage('engine-1', 0, 4),
        documents.Stage('engine-2', 4, 8),
        documents.Stage('engine-3', 0, 8),
    ),
)
SERVICE = documents.Service('slots', 'w', ('engine-1', 'engine-2'), ())

# Largest batch and queue by target that reported, targets that leave, and
# what the model and the service come to. Each step takes 1 ms. A stream that
# changes stages waits for half a step at each.
CASES = (
    ({}, (), (0, 0), (0, 0)),
    (
        {'engine-1': (16, 0), 'engine-2': (4, 7), 'engine-3': (8, 10)},
        (),
        (12 * (1.0 + 1.0), 5),
        (20, 7),
    ),
    (
        {'engine-1': (16, 0), 'engine-2': (4, 0)},
        (),
        (14 * (1.0 + 1.0), 0),
        (20, 0),
    ),
    (
        {'engine-1': (16, 0), 'engine-2': (4, 4), 'engine-3': (8, 0)},
        ('engine-3',),
        (4 * (1.5 + 1.5), 0),
        (20, 4),
    ),
    (
        {'engine-1': (16, 0), 'engine-2': (4, 0), 'engine-3': (8, 0)},
        ('engine-1', 'engine-2'),
        (8, 0),
        (0, 0),
    ),
    (
        {'engine-1': (16, 0), 'engine-2': (4, 0), 'engine-3': (8, 0)},
        ('engine-3', 'engine-2'),
        (0, 0),
        (16, 0),
    ),
)


class CapacityReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        snapshot = documents.Snapshot(
            1, models={'drafter': MODEL}, services={'slots': SERVICE}
        )
        self.reader = capacity.CapacityReader(
            self.clock, lambda: snapshot, self
        )
        self.leaving = ()
        self.reported = {}

    def read_readiness(self, target):
        if target in self.leaving:
            return messages.Readiness.LEAVING
        return messages.Readiness.READY

    def read_load(self, target):
        if target not in self.reported:
            return None
        batch, waiting = self.reported[target]
        return messages.LoadReport(
            target, 0, messages.Readiness.READY, 0, waiting, batch
        )

    def test_sums(self) -> None:
        for reported, leaving, model, service in CASES:
            with self.subTest(reported=reported, leaving=leaving):
                self.reported, self.leaving = reported, leaving
                self.clock.advance(capacity.FRESH_MS)
                self.assertEqual(
                    limits.Capacity(*model), self.reader.read('drafter')
                )
                self.assertEqual(
                    limits.Capacity(*service), self.reader.read('slots')
                )
                self.assertEqual(limits.Capacity(), self.reader.read('nobody'))
