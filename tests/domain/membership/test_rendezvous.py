"""Tests of rendezvous hashing."""

from __future__ import annotations

import collections
import random
import unittest

from thornspool.domain.membership import rendezvous

SEED = 5


class AssignmentTest(unittest.TestCase):
    def test_incremental_assignment_equals_a_fresh_one(self) -> None:
        """Members are added and removed in many orders.

        If the assignment depended on the order, two entries would poll the
        same target and no entry another one.
        """
        source = random.Random(SEED)
        names = [f'entry-{i}' for i in range(12)]
        tasks = [f'target-{i}' for i in range(40)]
        assignment = rendezvous.Assignment(2)
        assignment.set_tasks(tasks)
        for _ in range(50):
            members = source.sample(names, source.randint(0, 12))
            assignment.set_members(members)
            chosen = collections.defaultdict(set)
            for task in tasks:
                for member in rendezvous.choose(task, members, 2):
                    chosen[member].add(task)
            for name in names:
                self.assertEqual(chosen[name], assignment.list_tasks(name))

    def test_new_members_are_returned_once(self) -> None:
        assignment = rendezvous.Assignment(2)
        self.assertEqual({'a', 'b'}, assignment.set_members(['a', 'b']))
        self.assertEqual({'c'}, assignment.set_members(['b', 'c']))

    def test_tasks_are_balanced(self) -> None:
        members = [f'entry-{i}' for i in range(10)]
        counts = collections.Counter(
            rendezvous.choose(f'target-{i}', members, 1)[0]
            for i in range(2000)
        )
        self.assertEqual(10, len(counts))
        self.assertLess(max(counts.values()), 300)
