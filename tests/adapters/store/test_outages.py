"""Tests of how a fleet finds out that the platform is back."""

from __future__ import annotations

import asyncio
import collections
import random
import typing
import unittest

from tests import builders
from tests.application import fakes
from tests.application import fleet
from thornspool.adapters.store import gate
from thornspool.application import exceptions
from thornspool.application import outages

SEED = 20261203
CALL_MS = 3
OUTAGE_MS = 10_000
BUCKET_MS = 100


class World:
    """Entries with a gate each before one platform, in virtual time."""

    def __init__(self, entries: int) -> None:
        self.clock = builders.FakeClock()
        self.random = random.Random(SEED)
        self.members = fleet.build_members(entries)
        self.down = False
        self.calls: list[int] = []
        self.tasks: list[asyncio.Future[None]] = []
        self.back_at: dict[str, int] = {}
        self.handlers: dict[str, typing.Any] = {}
        self.entries = [Entry(self, member) for member in self.members]

    async def call(self) -> None:
        """Call the platform."""
        self.calls.append(self.clock.now())
        await asyncio.sleep(CALL_MS / 1000)
        if self.down:
            raise exceptions.PlatformError('It is down.')

    async def pass_outage(self) -> int:
        """Let an outage pass and return when it ended."""
        for entry in self.entries:
            await entry.probe()
        self.down = True
        for entry in self.entries:
            entry.fail_twice()
        await asyncio.sleep(OUTAGE_MS / 1000)
        self.down = False
        ended = self.clock.now()
        await asyncio.sleep(OUTAGE_MS / 1000)
        return ended


class Entry:
    """One entry: its client's gate, and its end of the network."""

    def __init__(self, world: World, member: typing.Any) -> None:
        self._world = world
        self._member = member
        self._gate = gate.Gate(gate.GateSettings(), world.random.random)
        self.service = outages.OutageService(
            world.clock,
            self,
            typing.cast('typing.Any', self),
            typing.cast('typing.Any', self),
            member.incarnation,
            world.random,
            lambda: None,
        )

    def follow_outages(
        self, count_entries: typing.Any, failing: typing.Any, back: typing.Any
    ) -> None:
        self._count, self._failing, self._back = count_entries, failing, back

    def read_backoff(self) -> int | None:
        return self._gate.read_backoff(self._world.clock.now())

    def end_backoff(self) -> None:
        self._gate.end_backoff()

    def fail_twice(self) -> None:
        for _ in range(2):
            self._gate.record_failure(self._world.clock.now())
        self._failing()

    async def probe(self) -> None:
        wait = self._gate.enter(self._world.clock.now())
        await asyncio.sleep(wait / 1000)
        try:
            await self._world.call()
        except exceptions.PlatformError:
            self._gate.record_failure(self._world.clock.now())
            raise
        was_backing_off = self._gate.is_backing_off
        self._gate.record_success(self._count())
        if was_backing_off:
            back_at = self._world.back_at
            back_at[self._member.incarnation] = self._world.clock.now()
            self._back()

    def list_members(self) -> tuple[typing.Any, ...]:
        return self._world.members

    def handle(self, message_type: type, handler: typing.Any) -> None:
        self._world.handlers[self._member.peer_address] = handler

    def tell(self, address: str, message: typing.Any) -> None:
        handler = self._world.handlers[address]
        task = asyncio.ensure_future(handler('', message))
        self._world.tasks.append(task)


class OutageServiceTest(unittest.TestCase):
    def test_fleet_is_back_soon_and_does_not_storm(self) -> None:
        """The platform is away for a while and comes back.

        Entries that find out each by themselves refuse actions for as long
        as their backoff lasts; if all asked more often, or all at once when
        it is back, they would put it down again.
        """
        print(f'seed {SEED}')
        for entries, within_ms in ((5, 100), (50, 250), (350, 1_000)):
            with self.subTest(entries):
                world = World(entries)
                ended = fakes.run(world.clock, world.pass_outage())
                self.assertEqual(entries, len(world.back_at))
                last = max(world.back_at.values())
                self.assertLessEqual(last - ended, within_ms)
                began = ended - OUTAGE_MS + 1_000
                during = sum(began <= at < ended for at in world.calls)
                self.assertLess(during, 9 * 450)
                after = collections.Counter(
                    (at - ended) // BUCKET_MS
                    for at in world.calls
                    if at >= ended
                )
                self.assertLessEqual(max(after.values()), 200)
