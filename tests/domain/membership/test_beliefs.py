"""Tests of what is believed and told of members."""

from __future__ import annotations

import unittest

from tests.domain.membership import builders
from thornspool.domain.membership import beliefs
from thornspool.domain.membership import messages
from thornspool.domain.membership import settings

Status = messages.Status


class BeliefsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.settings = settings.Settings()
        own = builders.build_identity('host-0')
        self.beliefs = beliefs.Beliefs(own, self.settings)
        self.meet(1)

    def meet(self, number: int) -> str:
        identity = builders.build_identity(f'host-{number}')
        name = identity.incarnation
        self.beliefs.merge(
            messages.Update(name, Status.ALIVE, 0, identity=identity), 0
        )
        return name

    def tell_often(self) -> list[messages.Update]:
        gossips = (self.beliefs.tell() for _ in range(200))
        return [update for gossip in gossips for update in gossip.updates]

    def test_accused_is_told_however_late(self) -> None:
        """A process is taken for dead and wakes when nobody speaks of it.

        Only the process itself can refute, so each message to it has to say
        what it is accused of, or it stays off every list.
        """
        name = 'host-1-1'
        self.beliefs.suspect(name, 0)
        self.beliefs.expire(self.settings.suspicion_ms)
        self.tell_often()
        (update,) = self.beliefs.tell(name).updates
        self.assertEqual(
            (name, Status.DEAD), (update.incarnation, update.status)
        )
        self.assertEqual((), self.beliefs.tell('host-2-1').updates)

    def test_news_is_sent_a_bounded_number_of_times(self) -> None:
        self.assertEqual(self.settings.transmissions, len(self.tell_often()))
        self.assertTrue(self.beliefs.is_settled)

    def test_news_that_others_know_is_sent_less(self) -> None:
        identity = builders.build_identity('host-1')
        update = messages.Update(
            identity.incarnation, Status.ALIVE, 0, identity=identity
        )
        self.beliefs.merge(update, 0)
        expected = self.settings.transmissions - 1
        self.assertEqual(expected, len(self.tell_often()))

    def test_one_message_carries_a_bounded_number_of_updates(self) -> None:
        for number in range(2, 40):
            self.meet(number)
        gossip = self.beliefs.tell()
        self.assertEqual(self.settings.max_updates, len(gossip.updates))
