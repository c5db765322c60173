"""Tests of the history of ownership."""

from __future__ import annotations

import unittest

from thornspool.domain.limits import ownership
from thornspool.domain.quarantine import ownership_history

FULL_VIEW = ('a', 'b', 'c')
REDUCED_VIEW = ('a', 'b')
NAMES = tuple(f'target {number}' for number in range(60))
START = 1_000
SETTLED = START + ownership_history.SETTLE_MS


def list_owned(view):
    return {one for one in NAMES if ownership.find_owner(one, view) == 'a'}


class OwnershipHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ownership_history.OwnershipHistory('a', START)
        self.history.record_view(FULL_VIEW, START)

    def list_settled(self, now):
        return {one for one in NAMES if self.history.has_settled(one, now)}

    def test_new_entry_reserves_nothing_before_the_settle_time(self) -> None:
        """A previous owner may have reserved a name of the new entry.

        The new entry has no record of that reservation and would reserve
        the name for a second holder.
        """
        self.assertEqual(set(), self.list_settled(SETTLED - 1))
        self.assertEqual(list_owned(FULL_VIEW), self.list_settled(SETTLED))

    def test_loss_of_an_entry_delays_only_names_with_new_owners(self) -> None:
        """One of three entries fails during trials.

        The new owners of its names have no record of the holders and must
        wait. A wait for all other names too would delay their trials, and
        with them the streams whose stage died.
        """
        self.history.record_view(REDUCED_VIEW, SETTLED)
        kept, gained = (
            list_owned(FULL_VIEW),
            list_owned(REDUCED_VIEW) - list_owned(FULL_VIEW),
        )
        self.assertTrue(kept)
        self.assertTrue(gained)
        self.assertEqual(kept, self.list_settled(SETTLED + 1))
        later = SETTLED + ownership_history.SETTLE_MS
        self.assertEqual(kept | gained, self.list_settled(later))

    def test_name_that_returns_to_its_owner_is_not_settled(self) -> None:
        """An entry joins and leaves again within seconds.

        The previous owner of its names has no record of the reservations
        that it accepted meanwhile.
        """
        self.history.record_view((*FULL_VIEW, 'd'), SETTLED)
        self.history.record_view(FULL_VIEW, SETTLED + 100)
        transferred = list_owned(FULL_VIEW) - list_owned((*FULL_VIEW, 'd'))
        self.assertTrue(transferred)
        settled = self.list_settled(SETTLED + 200)
        self.assertEqual(list_owned(FULL_VIEW) - transferred, settled)

    def test_single_entry_needs_no_settle_time(self) -> None:
        self.history.record_view(('a',), START + 1)
        self.assertEqual(set(NAMES), self.list_settled(START + 2))
