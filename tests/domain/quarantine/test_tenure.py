"""Tests of how long an entry has owned a name."""

from __future__ import annotations

import unittest

from thornspool.domain.limits import ownership
from thornspool.domain.quarantine import tenure

ALL = ('a', 'b', 'c')
LEFT = ('a', 'b')
NAMES = tuple(f'target {number}' for number in range(60))
START = 1_000
SETTLED = START + tenure.SETTLE_MS


def list_owned(view):
    return {one for one in NAMES if ownership.find_owner(one, view) == 'a'}


class TenureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tenure = tenure.Tenure('a', START)
        self.tenure.note_view(ALL, START)

    def list_settled(self, now):
        return {one for one in NAMES if self.tenure.has_settled(one, now)}

    def test_an_entry_that_starts_knows_nothing(self) -> None:
        """It may own a name that its predecessor kept for somebody."""
        self.assertEqual(set(), self.list_settled(SETTLED - 1))
        self.assertEqual(list_owned(ALL), self.list_settled(SETTLED))

    def test_a_loss_holds_up_only_names_that_changed_owner(self) -> None:
        """One of three entries is lost, in the middle of trials.

        Its names come to others, which do not know who holds them. Trials
        of all other names go on, and with them streams whose stage died.
        """
        self.tenure.note_view(LEFT, SETTLED)
        kept, gained = list_owned(ALL), list_owned(LEFT) - list_owned(ALL)
        self.assertTrue(kept)
        self.assertTrue(gained)
        self.assertEqual(kept, self.list_settled(SETTLED + 1))
        later = SETTLED + tenure.SETTLE_MS
        self.assertEqual(kept | gained, self.list_settled(later))

    def test_a_name_that_came_back_is_new(self) -> None:
        """An entry joins and leaves again within seconds.

        What it kept meanwhile is not known to who owned it before.
        """
        self.tenure.note_view((*ALL, 'd'), SETTLED)
        self.tenure.note_view(ALL, SETTLED + 100)
        lent = list_owned(ALL) - list_owned((*ALL, 'd'))
        self.assertTrue(lent)
        settled = self.list_settled(SETTLED + 200)
        self.assertEqual(list_owned(ALL) - lent, settled)

    def test_an_entry_alone_needs_no_wait(self) -> None:
        self.tenure.note_view(('a',), START + 1)
        self.assertEqual(set(NAMES), self.list_settled(START + 2))
