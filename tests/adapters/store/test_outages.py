"""Tests of how a fleet detects the recovery of the platform."""

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


class Simulation:
    """Entries with a gate each and one platform, in virtual time."""

    def __init__(self, entries: int) -> None:
        self.clock = builders.FakeClock()
        self.random = random.Random(SEED)
        self.members = fleet.build_members(entries)
        self.down = False
        self.calls: list[int] = []
        self.tasks: list[asyncio.Future[None]] = []
        self.recovered_at: dict[str, int] = {}
        self.handlers: dict[str, typing.Any] = {}
        self.entries = [Entry(self, member) for member in self.members]

    async def call(self) -> None:
        """Call the platform."""
        self.calls.append(self.clock.now())
        await asyncio.sleep(CALL_MS / 1000)
        if self.down:
            raise exceptions.PlatformError('It is down.')

    async def run_outage(self) -> int:
        """Simulate an outage and return its end in milliseconds."""
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
    """An entry with the gate of its client and its peer messaging."""

    def __init__(self, simulation: Simulation, member: typing.Any) -> None:
        self._simulation = simulation
        self._member = member
        self._gate = gate.Gate(gate.GateSettings(), simulation.random.random)
        self.service = outages.OutageService(
            simulation.clock,
            self,
            typing.cast('typing.Any', self),
            typing.cast('typing.Any', self),
            member.incarnation,
            simulation.random,
            lambda: None,
        )

    def set_outage_callbacks(
        self,
        count_entries: typing.Any,
        on_outage: typing.Any,
        on_recovery: typing.Any,
    ) -> None:
        self._count, self._on_outage, self._on_recovery = (
            count_entries,
            on_outage,
            on_recovery,
        )

    def compute_backoff_ms(self) -> int | None:
        return self._gate.compute_backoff_ms(self._simulation.clock.now())

    def end_backoff(self) -> None:
        self._gate.end_backoff()

    def fail_twice(self) -> None:
        for _ in range(2):
            self._gate.record_failure(self._simulation.clock.now())
        self._on_outage()

    async def probe(self) -> None:
        delay_ms = self._gate.admit(self._simulation.clock.now())
        await asyncio.sleep(delay_ms / 1000)
        try:
            await self._simulation.call()
        except exceptions.PlatformError:
            self._gate.record_failure(self._simulation.clock.now())
            raise
        was_backing_off = self._gate.is_backing_off
        self._gate.record_success(self._count())
        if was_backing_off:
            recovered_at = self._simulation.recovered_at
            recovered_at[self._member.incarnation] = (
                self._simulation.clock.now()
            )
            self._on_recovery()

    def list_members(self) -> tuple[typing.Any, ...]:
        return self._simulation.members

    def handle(self, message_type: type, handler: typing.Any) -> None:
        self._simulation.handlers[self._member.peer_address] = handler

    def send(self, address: str, message: typing.Any) -> None:
        handler = self._simulation.handlers[address]
        task = asyncio.ensure_future(handler('', message))
        self._simulation.tasks.append(task)


class OutageServiceTest(unittest.TestCase):
    def test_fleet_recovers_without_a_burst(self) -> None:
        """Guards against a slow recovery and against a burst of calls.

        The platform recovers from an outage. Entries that detect this
        independently reject actions until their backoff ends. If all entries
        probed more often, or all at once after the recovery, they would
        overload the platform again.
        """
        print(f'seed {SEED}')
        for entries, limit_ms in ((5, 100), (50, 250), (350, 1_000)):
            with self.subTest(entries):
                simulation = Simulation(entries)
                ended = fakes.run(simulation.clock, simulation.run_outage())
                self.assertEqual(entries, len(simulation.recovered_at))
                last = max(simulation.recovered_at.values())
                self.assertLessEqual(last - ended, limit_ms)
                window_start = ended - OUTAGE_MS + 1_000
                during = sum(
                    window_start <= at < ended for at in simulation.calls
                )
                self.assertLess(during, 9 * 450)
                after = collections.Counter(
                    (at - ended) // BUCKET_MS
                    for at in simulation.calls
                    if at >= ended
                )
                self.assertLessEqual(max(after.values()), 200)
