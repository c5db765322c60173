"""Tests of the evidence by which engines are ejected."""

from __future__ import annotations

import unittest

from thornspool.domain.fleet import marks
from thornspool.domain.fleet import outliers as outliers_module

MARK = marks.compute_mark('a-1')


class OutliersTest(unittest.TestCase):
    def setUp(self):
        self.outliers = outliers_module.Outliers()

    def test_one_lost_answer_ejects_nobody(self):
        self.outliers.note_break('a-1', 0)
        self.assertFalse(self.outliers.is_outlier(MARK, 0))

    def test_two_breaks_within_the_window_eject(self):
        self.outliers.note_break('a-1', 0)
        self.outliers.note_break('a-1', outliers_module.WINDOW_MS)
        self.assertTrue(
            self.outliers.is_outlier(MARK, outliers_module.WINDOW_MS)
        )

    def test_breaks_far_apart_eject_nobody(self):
        self.outliers.note_break('a-1', 0)
        now = outliers_module.WINDOW_MS + 1
        self.outliers.note_break('a-1', now)
        self.assertFalse(self.outliers.is_outlier(MARK, now))

    def test_answers_lost_now_and_then_eject_nobody(self):
        """Guards against a domain that loses its only first engine."""
        for number in range(200):
            now = 50 * number
            if number % 10 in {0, 5}:
                self.outliers.note_break('a-1', now)
                self.outliers.note_told('h-2', [MARK], now)
                self.outliers.note_told('h-3', [MARK], now)
            else:
                self.outliers.note_success('a-1', now)
            if number > 10:
                self.assertFalse(self.outliers.is_outlier(MARK, now))

    def test_breaks_of_two_entries_count_together(self):
        self.outliers.note_break('a-1', 0)
        self.assertEqual({MARK}, self.outliers.note_told('h-2', [MARK], 10))
        self.assertTrue(self.outliers.is_outlier(MARK, 10))

    def test_one_break_told_again_and_again_counts_once(self):
        for now in range(0, outliers_module.TELL_MS, 100):
            self.outliers.note_told('h-2', [MARK], now)
        self.assertFalse(self.outliers.is_outlier(MARK, 400))

    def test_an_entry_with_a_broken_link_blames_no_engine(self):
        """Guards against a host that is cut off ejecting a sound fleet."""
        for number in range(20):
            self.outliers.note_break(f'a-{number % 5}', number)
        self.assertLessEqual(
            len(self.outliers.list_fresh(20)), outliers_module.OWN_FAULT - 1
        )

    def test_an_answer_restores_trust_in_the_own_link(self):
        for number in range(6):
            self.outliers.note_break(f'a-{number}', 0)
            self.outliers.note_success('a-9', 0)
        self.assertEqual(6, len(self.outliers.list_fresh(0)))

    def test_what_is_old_is_forgotten(self):
        self.outliers.note_break('a-1', 0)
        self.assertTrue(self.outliers.has_broken(MARK))
        self.outliers.forget_old(outliers_module.REMEMBER_MS + 1)
        self.assertFalse(self.outliers.has_broken(MARK))
        self.assertEqual((), self.outliers.list_fresh(0))
