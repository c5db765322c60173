"""Tests of how often an entry asks engines to tell something."""

from __future__ import annotations

import unittest

from thornspool.domain.pipelines import questions


class AskingTest(unittest.TestCase):
    def setUp(self):
        self.asking = questions.Asking(age_ms=4_000)

    def test_at_most_so_many_a_second_whoever_is_asked_about(self):
        asked = [
            self.asking.ask([(f'engine-{now}', None)], 2.0, now)
            for now in range(0, 10_000, 10)
        ]
        self.assertEqual(sum(asked), 20)

    def test_what_was_asked_is_not_asked_again_until_it_is_overdue(self):
        """An answer brings what was asked for many seconds later, or never.

        Asked of every request meanwhile, all that may be asked would go to
        the engines in most use; never again, one lost answer would hide an
        engine for ever.
        """
        for now, is_asked in ((0, True), (3_000, False), (4_000, True)):
            with self.subTest(now):
                known = [('engine-1', None)]
                self.assertEqual(self.asking.ask(known, 2.0, now), is_asked)

    def test_subjects_of_the_past_are_forgotten(self):
        for number in range(10_000):
            self.asking.ask([(f'engine-{number}', None)], 2.0, 1_000 * number)
        self.assertLess(len(self.asking._asked), 5_000)


class LimitsTest(unittest.TestCase):
    def test_few_entries_ask_for_loads_more_often(self):
        """Admission counts queues that were told lately.

        Six entries that asked as seldom as 350 refused callers by queues
        that they did not know.
        """
        for entries, loads_per_s in ((1, 2.0), (9, 2.0), (50, 1.75)):
            with self.subTest(entries):
                limits = questions.compute_limits(entries)
                self.assertEqual(limits.loads_per_s, loads_per_s)
        self.assertEqual(questions.compute_limits(350), questions.Limits())
