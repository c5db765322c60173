"""Tests of the loops that replicate the latest version."""

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
    backoff_ms=1, pull_delay_ms=40, contact_check_interval_ms=10_000
)


class FakePuller:
    """Records which peers are polled."""

    last_contact = 0

    def __init__(self) -> None:
        self.polled = []
        self.errors = []

    async def sync_with_peer(self, address):
        self.polled.append(address)
        if self.errors:
            raise self.errors.pop()

    def record_response(self) -> None:
        pass


async def _wait_forever(*arguments):
    await asyncio.Event().wait()


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.puller = FakePuller()
        self.follower = configuration_following.Follower(
            builders.FakeClock(),
            types.SimpleNamespace(watch=_wait_forever),
            self.puller,
            types.SimpleNamespace(version=1),
            random.Random(5),
            TIMING,
        )
        self.task = asyncio.create_task(self.follower.run())
        self.addCleanup(self.task.cancel)

    async def wait_for_polls(self, times):
        for _ in range(STEPS):
            if len(self.puller.polled) >= times:
                return
            await asyncio.sleep(STEP_S)
        self.fail(f'polled {self.puller.polled}, {times} times expected')

    async def test_version_reported_during_pull_delay_does_not_end_loop(self):
        """Two peers report a new version shortly after one another.

        The second report arrived during the delay before the first pull. It
        woke the loop with no version left to pull, and the resulting error
        ended the loop: the entry kept its old version permanently, and
        publications listed it as a straggler.
        """
        self.follower.record_reported_version('tcp://a:1', 2)
        await asyncio.sleep(STEP_S)
        self.follower.record_reported_version('tcp://b:1', 2)
        await self.wait_for_polls(1)
        await asyncio.sleep(10 * STEP_S)
        self.assertFalse(self.task.done())
        self.follower.record_reported_version('tcp://c:1', 3)
        await self.wait_for_polls(2)
        self.assertEqual('tcp://c:1', self.puller.polled[-1])

    async def test_unexpected_error_does_not_end_loop(self):
        """A bug raises an error while the response of a peer is handled.

        Without the loop, the entry would keep its version until a restart.
        """
        self.puller.errors = [ValueError('unexpected error')]
        self.follower.record_reported_version('tcp://a:1', 2)
        await self.wait_for_polls(1)
        self.follower.record_reported_version('tcp://b:1', 2)
        await self.wait_for_polls(2)
        self.assertFalse(self.task.done())
