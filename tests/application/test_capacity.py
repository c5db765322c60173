"""Tests of the capacity computed from load reports."""

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

# Maximum batch and queue length of the targets that reported, leaving
# targets, and the expected capacity of the model and of the service. Each
# step takes 1 ms. A stream that changes stages waits half a step at each.
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
        self.received_at = {}

    def read_readiness(self, target):
        if target in self.leaving:
            return messages.Readiness.LEAVING
        return messages.Readiness.READY

    def read_load(self, target):
        if target not in self.reported:
            return None
        batch, waiting = self.reported[target]
        at = self.received_at.get(target, 0)
        return messages.LoadReport(
            target, at, messages.Readiness.READY, 0, waiting, batch
        )

    def test_capacity_of_models_and_services(self) -> None:
        for reported, leaving, model, service in CASES:
            with self.subTest(reported=reported, leaving=leaving):
                self.reported, self.leaving = reported, leaving
                self.clock.advance(capacity.READING_TTL_MS)
                self.assertEqual(
                    limits.Capacity(*model), self.reader.read('drafter')
                )
                self.assertEqual(
                    limits.Capacity(*service), self.reader.read('slots')
                )
                self.assertEqual(limits.Capacity(), self.reader.read('nobody'))

    def test_outdated_queue_length_is_replaced_by_the_mean(
        self,
    ) -> None:
        """The last load report of a target is minutes old and has a queue.

        Load reports of engines are rare. If an old queue length counted as
        current, entries would refuse requests while the target is idle.
        """
        self.reported = {'engine-1': (16, 40), 'engine-2': (4, 3)}
        self.clock.advance(60_000)
        self.assertEqual(limits.Capacity(20, 0), self.reader.read('slots'))
        self.received_at['engine-2'] = self.clock.now()
        self.clock.advance(capacity.READING_TTL_MS)
        self.assertEqual(limits.Capacity(20, 6), self.reader.read('slots'))
