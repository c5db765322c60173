"""Tests of what connections of clients may hold, and which one is closed."""

from __future__ import annotations

import unittest

from tests.domain.clients import builders
from thornspool.domain.clients import connections
from thornspool.domain.clients import limits

Phase = connections.Phase
BODY_BYTES = 4_000_000
LIMITS = limits.ClientLimits(24_576, BODY_BYTES, 3_000, 15_000)


class MemoryTest(unittest.TestCase):
    def setUp(self):
        self.clients = builders.build_clients()

    def fill(self, group='crowd'):
        """Let bodies of a group arrive until one is refused."""
        admitted = []
        while True:
            connection = self.clients.connect(Phase.BODY, group)
            if not self.clients.reserve(connection, BODY_BYTES):
                return admitted
            admitted.append(connection)

    def test_large_requests_leave_room_for_small_ones(self):
        """Guards against small requests that large ones keep out."""
        self.assertEqual(7, len(self.fill()))
        small = self.clients.connect(Phase.BODY)
        self.assertTrue(self.clients.reserve(small, connections.SMALL_BYTES))

    def test_slow_body_is_refused_for_another_one(self):
        """Guards against bodies that stop half-way and keep their memory."""
        crowd = self.fill()
        self.clients.now += 2_000
        later = self.clients.connect(Phase.BODY, 'crowd')
        self.assertTrue(self.clients.reserve(later, BODY_BYTES))
        self.assertEqual([crowd[0]], self.clients.refused)

    def test_group_that_holds_most_makes_room_for_another_one(self):
        """Guards against a workspace that takes all memory."""
        self.fill('large')
        for _ in range(3):
            connection = self.clients.connect(Phase.BODY, 'small')
            self.assertTrue(self.clients.reserve(connection, BODY_BYTES))
        self.assertEqual(
            ['large'] * 3, [one.group for one in self.clients.refused]
        )
        last = self.clients.connect(Phase.BODY, 'small')
        self.assertFalse(self.clients.reserve(last, BODY_BYTES))

    def test_requests_in_service_are_not_refused(self):
        """Guards against a refusal of a request that may have run."""
        for connection in self.fill('large'):
            self.clients.pool.move(connection, Phase.SERVING, self.clients.now)
        other = self.clients.connect(Phase.BODY, 'small')
        self.assertFalse(self.clients.reserve(other, BODY_BYTES))
        self.assertEqual([], self.clients.refused)

    def test_all_is_released(self):
        """Guards against memory that stays reserved for ever."""
        memory = self.clients.memory
        for connection in self.fill():
            memory.change_unsent(connection, 10)
            memory.close(connection)
            self.assertFalse(self.clients.reserve(connection, BODY_BYTES))
            memory.change_unsent(connection, 10)
            memory.close(connection)
        self.assertEqual(1, len(self.fill()) - 6)
        for connection in self.clients.pool:
            memory.close(connection)
        self.assertEqual(0, memory.held_bytes)

    def test_largest_response_that_nobody_reads_is_closed(self):
        """Guards against responses without readers that fill the memory."""
        memory = self.clients.memory
        stalled = self.clients.connect(Phase.SERVING)
        memory.change_unsent(stalled, 10_000_000)
        self.clients.now += 5_000
        reading = self.clients.connect(Phase.SERVING)
        memory.change_unsent(reading, 25_000_000)
        self.assertIsNone(memory.choose_unread(self.clients.now))
        memory.change_unsent(reading, 10_000_000)
        self.assertIs(stalled, memory.choose_unread(self.clients.now))
        memory.close(stalled)
        self.assertIsNone(memory.choose_unread(self.clients.now))


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.clients = builders.build_clients()
        self.pool = self.clients.pool

    def test_order_in_which_connections_make_room(self):
        """Guards against requests that are cut for a new connection."""
        serving = self.clients.connect(Phase.SERVING)
        idle = self.clients.connect(Phase.IDLE)
        body = self.clients.connect(Phase.BODY)
        self.clients.now += 10_000
        head = self.clients.connect(Phase.HEAD)
        silent = self.clients.connect()
        later = self.clients.connect()
        for expected in (silent, later, head, body, idle):
            self.assertEqual(len(self.pool) >= 4, self.pool.is_full())
            chosen = self.pool.choose_evicted(self.clients.now)
            self.assertIs(expected, chosen)
            self.pool.remove(chosen)
        self.assertEqual([serving], list(self.pool))
        self.assertIsNone(self.pool.choose_evicted(self.clients.now))

    def test_few_requests_are_discarded_at_a_time(self):
        """Guards against refused requests that fill the kernel's memory."""
        pool = connections.ConnectionPool('callers', 27)
        self.clients.pool = pool
        refused = []
        for _ in range(5):
            refused.append(self.clients.connect(Phase.DISCARDING))
            surplus = pool.choose_surplus()
            self.assertIs(refused[0] if len(refused) == 5 else None, surplus)

    def test_body_that_arrives_is_not_evicted(self):
        """Guards against large requests that new connections keep out."""
        body = self.clients.connect(Phase.BODY)
        self.clients.now += 10_000
        body.arrived_bytes = 400_000
        self.assertIsNone(self.pool.choose_evicted(self.clients.now))

    def test_connections_that_hold_no_memory_do_not_free_any(self):
        self.clients.connect()
        idle = self.clients.connect(Phase.IDLE)
        self.assertIs(
            idle,
            self.pool.choose_evicted(self.clients.now, frees_memory=True),
        )


class ExpiryTest(unittest.TestCase):
    def find(self, phase, elapsed_ms, **state):
        clients = builders.build_clients()
        connection = clients.connect(phase)
        for name, value in state.items():
            setattr(connection, name, value)
        return connections.find_expiry(
            connection, LIMITS, clients.now + elapsed_ms
        )

    def test_limits_of_time(self):
        """Guards against connections that are kept without a request."""
        for phase, elapsed_ms, state, expected in (
            (Phase.OPEN, 15_000, {}, None),
            (Phase.OPEN, 15_001, {}, 'idle'),
            (Phase.IDLE, 12_000, {}, None),
            (Phase.IDLE, 15_001, {}, 'idle'),
            (Phase.HEAD, 3_000, {}, None),
            (Phase.HEAD, 3_001, {}, 'head_timeout'),
            (Phase.BODY, 15_001, {}, 'body_timeout'),
            (Phase.BODY, 2_001, {'body_expires_at': 3_000}, 'body_expired'),
            (
                Phase.BODY,
                20_000,
                {'arrived_bytes': 400_000, 'progress_at': 20_000},
                None,
            ),
            (
                Phase.BODY,
                20_000,
                {'arrived_bytes': 4_000, 'progress_at': 20_000},
                'body_timeout',
            ),
            (Phase.SERVING, 90_000, {}, None),
            (Phase.SERVING, 15_001, {'unsent_bytes': 1}, 'response_timeout'),
            (Phase.DISCARDING, 5_001, {}, 'discard_timeout'),
        ):
            with self.subTest(phase, elapsed_ms=elapsed_ms, state=state):
                self.assertEqual(
                    expected, self.find(phase, elapsed_ms, **state)
                )


class CapacityTest(unittest.TestCase):
    def test_smallest_host_admits_the_largest_body(self):
        capacity = limits.compute_capacity(112, 2_870)
        self.assertEqual(2_670, capacity.connections)
        clients = builders.build_clients(capacity.memory_bytes)
        connection = clients.connect(Phase.BODY)
        self.assertTrue(clients.reserve(connection, BODY_BYTES))

    def test_memory_that_is_used_beside_counts(self):
        """Guards against free pages that fill the memory of a host."""
        capacity = limits.compute_capacity(112, 2_870)
        for resident_mb, held_mb, expected_mb in (
            (0, 0, 33.6),
            (47, 0, 33.6),
            (80, 35, 33.6),
            (80, 15, 19),
            (110, 0, 8),
        ):
            budget = capacity.compute_budget(resident_mb << 20, held_mb << 20)
            self.assertAlmostEqual(expected_mb, budget / 2**20, 2)

    def test_unknown_limits_have_defaults(self):
        capacity = limits.compute_capacity(0, 0)
        self.assertGreater(capacity.memory_bytes, 100_000_000)
        self.assertGreater(capacity.compute_connections(0.45), 1_000)
        self.assertLessEqual(limits.find_descriptors(10), 10)
