"""Tests of the membership state and the gossip built from it."""

from __future__ import annotations

import unittest

from tests.domain.membership import builders
from thornspool.domain.membership import messages
from thornspool.domain.membership import settings
from thornspool.domain.membership import state

Status = messages.Status


class MembershipStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.settings = settings.Settings()
        own = builders.build_identity('host-0')
        self.state = state.MembershipState(own, self.settings)
        self.add_member(1)

    def add_member(self, number: int) -> str:
        identity = builders.build_identity(f'host-{number}')
        name = identity.incarnation
        self.state.merge(
            messages.Update(name, Status.ALIVE, 0, identity=identity), 0
        )
        return name

    def drain_updates(self) -> list[messages.Update]:
        gossips = (self.state.build_gossip() for _ in range(200))
        return [update for gossip in gossips for update in gossip.updates]

    def test_dead_member_always_receives_its_own_status(self) -> None:
        """A suspended process resumes after the broadcast of its death ended.

        Only the process itself can refute, so each message to it must carry
        its status; otherwise it stays off every list.
        """
        name = 'host-1-1'
        self.state.suspect(name, 0)
        self.state.expire(self.settings.suspicion_ms)
        self.drain_updates()
        (update,) = self.state.build_gossip(name).updates
        self.assertEqual(
            (name, Status.DEAD), (update.incarnation, update.status)
        )
        self.assertEqual((), self.state.build_gossip('host-2-1').updates)

    def test_update_is_sent_a_bounded_number_of_times(self) -> None:
        self.assertEqual(
            self.settings.transmissions, len(self.drain_updates())
        )
        self.assertTrue(self.state.is_settled)

    def test_received_duplicate_counts_as_one_transmission(self) -> None:
        identity = builders.build_identity('host-1')
        update = messages.Update(
            identity.incarnation, Status.ALIVE, 0, identity=identity
        )
        self.state.merge(update, 0)
        expected = self.settings.transmissions - 1
        self.assertEqual(expected, len(self.drain_updates()))

    def test_one_message_carries_a_bounded_number_of_updates(self) -> None:
        for number in range(2, 40):
            self.add_member(number)
        gossip = self.state.build_gossip()
        self.assertEqual(self.settings.max_updates, len(gossip.updates))
