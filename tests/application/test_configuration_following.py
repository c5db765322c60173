"""Tests of the loops that follow the latest version."""

from __future__ import annotations

import asyncio
import random
import types
import unittest

from tests import builders
from thornspool.application.configuration import (
    following as configuration_following,
)

STEP_S = 0.005
STEPS = 400
TIMING = configuration_following.Timing(
    backoff=1, hint_delay=40, probe_interval=10_000
)


class FakePuller:
    """Notes which peers are asked."""

    last_contact = 0

    def __init__(self) -> None:
        self.asked = []
        self.errors = []

    async def ask_peer(self, address):
        self.asked.append(address)
        if self.errors:
            raise self.errors.pop()

    def note_contact(self) -> None:
        pass


async def _wait_for_ever(*arguments):
    await asyncio.Event().wait()


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.puller = FakePuller()
        self.follower = configuration_following.Follower(
            builders.FakeClock(),
            types.SimpleNamespace(watch=_wait_for_ever),
            self.puller,
            types.SimpleNamespace(version=1),
            random.Random(5),
            TIMING,
        )
        self.task = asyncio.create_task(self.follower.run())
        self.addCleanup(self.task.cancel)

    async def wait_until_asked(self, times):
        for _ in range(STEPS):
            if len(self.puller.asked) >= times:
                return
            await asyncio.sleep(STEP_S)
        self.fail(f'asked {self.puller.asked}, {times} times expected')

    async def test_a_hint_during_the_pause_does_not_end_the_loop(self):
        """Two peers tell of a new version one shortly after the other.

        The second hint came during the pause before the first was followed.
        It woke the loop with nothing left to follow, which ended it: the
        entry served its old version for good, and publications named it as
        a straggler.
        """
        self.follower.hear_version('tcp://a:1', 2)
        await asyncio.sleep(STEP_S)
        self.follower.hear_version('tcp://b:1', 2)
        await self.wait_until_asked(1)
        await asyncio.sleep(10 * STEP_S)
        self.assertFalse(self.task.done())
        self.follower.hear_version('tcp://c:1', 3)
        await self.wait_until_asked(2)
        self.assertEqual('tcp://c:1', self.puller.asked[-1])

    async def test_an_error_that_nobody_expected_does_not_end_a_loop(self):
        """A fault of this program raises while a peer's answer is read.

        Without the loop the entry would stay on its version until it is
        restarted.
        """
        self.puller.errors = [ValueError('a fault')]
        self.follower.hear_version('tcp://a:1', 2)
        await self.wait_until_asked(1)
        self.follower.hear_version('tcp://b:1', 2)
        await self.wait_until_asked(2)
        self.assertFalse(self.task.done())
