"""Tests of the readiness of targets."""

from __future__ import annotations

import asyncio
import random
import typing
import unittest

import attrs

from tests import builders
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.application import targets
from thornspool.domain.configuration import documents
from thornspool.domain.targets import messages

MAX_DETECTION_MS = 3000
MAX_RECOVERY_MS = 5000
Readiness = messages.Readiness


class FakeFleet:
    """Engines, the configuration, and entries that exchange messages."""

    def __init__(self, clock: builders.FakeClock, count: int = 8) -> None:
        self.clock = clock
        self.snapshot = documents.Snapshot(
            1, targets={f'engine-{i}': build_target(i) for i in range(count)}
        )
        self.readiness = dict.fromkeys(self.snapshot.targets, Readiness.READY)
        self.errors: dict[str, exceptions.TargetError] = {}
        self.entries: dict[str, Entry] = {}
        self.is_lossy = False
        self.polls = 0

    def change_target(self, name: str, **changes: object) -> None:
        changed = attrs.evolve(self.snapshot.targets[name], **changes)
        self.snapshot = documents.Snapshot(
            self.snapshot.version + 1,
            targets={**self.snapshot.targets, name: changed},
        )

    async def fetch_load(
        self, target: documents.Target
    ) -> messages.LoadReport:
        self.polls += 1
        if target.name in self.errors:
            raise self.errors[target.name]
        return messages.LoadReport(
            target.name, self.clock.now(), self.readiness[target.name]
        )

    def list_members(self) -> tuple[ports.Member, ...]:
        return tuple(entry.member for entry in self.entries.values())


class Entry:
    """A target service and its messages with the others."""

    def __init__(self, fleet: FakeFleet, number: int) -> None:
        self.fleet = fleet
        self.member = builders.build_member(f'entry-{number}')
        self.handlers: dict[type, ports.Handler] = {}
        self.inbox: list[typing.Any] = []
        fleet.entries[self.member.peer_address] = self
        self.service = targets.TargetService(
            fleet.clock,
            typing.cast('ports.Peers', self),
            typing.cast('ports.MemberView', fleet),
            self.member.incarnation,
            lambda: fleet.snapshot,
            fleet.fetch_load,
            random.Random(number),
        )

    def handle(self, message_type: type, handler: ports.Handler) -> None:
        self.handlers[message_type] = handler

    def send(self, address: str, message: typing.Any) -> None:
        if address in self.fleet.entries and not self.fleet.is_lossy:
            self.fleet.entries[address].inbox.append(message)

    async def step(self) -> None:
        for message in self.inbox:
            await self.handlers[type(message)]('other', message)
        self.inbox.clear()
        self.service.tick()


def build_target(number: int) -> documents.Target:
    return documents.Target(
        f'engine-{number}',
        documents.TargetKind.ENGINE,
        f'host-{number}',
        'perth-a',
        f'http://10.0.0.{number}:9000',
    )


def build_host(state: ports.HostState) -> ports.Host:
    return ports.Host('host-0', 'perth-a', state)


class TargetServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.fleet = FakeFleet(builders.FakeClock())
        self.entries = [Entry(self.fleet, i) for i in range(5)]

    async def run_for(self, milliseconds: int) -> None:
        for _ in range(milliseconds // targets.TICK_INTERVAL_MS):
            self.fleet.clock.advance(targets.TICK_INTERVAL_MS)
            for entry in list(self.fleet.entries.values()):
                await entry.step()
            for _ in range(3):
                await asyncio.sleep(0)

    def read(self, target: str = 'engine-0') -> set[Readiness]:
        return {
            entry.service.read_readiness(target)
            for entry in self.fleet.entries.values()
        }

    def report_leaving(self) -> None:
        self.fleet.readiness['engine-0'] = Readiness.LEAVING

    def report_ready(self) -> None:
        self.fleet.readiness['engine-0'] = Readiness.READY

    def list_leaving(self) -> None:
        host = build_host(ports.HostState.LEAVING)
        self.entries[0].service.apply_host_list((host,))

    def list_ready(self) -> None:
        host = build_host(ports.HostState.LIVE)
        self.entries[0].service.apply_host_list((host,))

    def publish_leaving(self) -> None:
        self.fleet.change_target('engine-0', leaving=True)

    def publish_ready(self) -> None:
        self.fleet.change_target('engine-0', leaving=False)

    async def test_first_source_that_reports_leaving_stops_new_work(
        self,
    ) -> None:
        """A target leaves, and only one source reports it at first.

        Work that the target still received after some seconds would be
        aborted when it stops. When the target returns, it must get work
        within seconds.
        """
        table = (
            ('the target', self.report_leaving, self.report_ready),
            ('the host list', self.list_leaving, self.list_ready),
            ('the operator', self.publish_leaving, self.publish_ready),
        )
        await self.run_for(2000)
        for name, start_leaving, return_to_service in table:
            with self.subTest(name):
                self.assertEqual({Readiness.READY}, self.read())
                start_leaving()
                await self.run_for(MAX_DETECTION_MS)
                for _ in range(100):
                    await self.run_for(targets.TICK_INTERVAL_MS)
                    self.assertEqual({Readiness.LEAVING}, self.read())
                return_to_service()
                await self.run_for(MAX_RECOVERY_MS)
                self.assertEqual({Readiness.READY}, self.read())

    async def test_leaving_is_detected_in_time_when_a_poller_crashed(
        self,
    ) -> None:
        """One of the two entries that poll a target crashes undetected.

        The other one must still detect in time that the target leaves.
        """
        await self.run_for(2000)
        pollers = [
            entry
            for entry in self.entries
            if 'engine-0' in entry.service._assigned
        ]
        self.assertEqual(targets.POLLERS_PER_TARGET, len(pollers))
        pollers[0].service.tick = lambda: None  # type: ignore[method-assign]
        self.report_leaving()
        await self.run_for(MAX_DETECTION_MS)
        self.assertEqual({Readiness.LEAVING}, self.read())

    async def test_leaving_reported_by_the_target_applies_immediately(
        self,
    ) -> None:
        self.report_leaving()
        service = self.entries[0].service
        service.apply_load_report(
            messages.LoadReport('engine-0', 0, Readiness.LEAVING, running=3)
        )
        self.assertIs(Readiness.LEAVING, service.read_readiness('engine-0'))
        load = service.read_load('engine-0')
        self.assertEqual(3, load and load.running)

    async def test_joining_entry_receives_the_leaving_targets(self) -> None:
        """An entry starts long after a target began to leave.

        It missed the update and would give the target new work.
        """
        self.report_leaving()
        await self.run_for(8000)
        joined = Entry(self.fleet, 9)
        await self.run_for(300)
        readiness = joined.service.read_readiness('engine-0')
        self.assertIs(Readiness.LEAVING, readiness)

    async def test_failed_target_is_used_again_when_it_responds(self) -> None:
        """A target restarts after a crash, or a link recovers.

        The target must get no work meanwhile, and must not stay idle
        afterwards.
        """
        lost = exceptions.TargetResponseLost('No answer.')
        refused = exceptions.TargetUnreachable('Refused.')
        for error in (lost, refused):
            for is_lossy in (False, True):
                with self.subTest(error=error, is_lossy=is_lossy):
                    self.fleet.is_lossy = is_lossy
                    self.fleet.errors['engine-0'] = error
                    for entry in self.entries:
                        entry.service.record_failure('engine-0', 'it broke')
                    for _ in range(60):
                        await self.run_for(targets.TICK_INTERVAL_MS)
                        self.assertEqual({Readiness.UNREACHABLE}, self.read())
                    self.fleet.errors.clear()
                    await self.run_for(MAX_RECOVERY_MS)
                    self.assertEqual({Readiness.READY}, self.read())

    async def test_single_lost_poll_does_not_fail_a_target(self) -> None:
        """A poll is lost while the target is under load.

        If the target were excluded, the load of the others would increase.
        """
        lost = exceptions.TargetResponseLost('No answer.')
        self.fleet.errors['engine-0'] = lost
        service = self.entries[0].service
        await service.poll('engine-0')
        self.assertIs(Readiness.READY, service.read_readiness('engine-0'))
        await service.poll('engine-0')
        self.assertIs(
            Readiness.UNREACHABLE, service.read_readiness('engine-0')
        )

    async def test_waiting_requests_share_one_probe(self) -> None:
        """A target is unresponsive, or all targets are overloaded.

        If every waiting request probed its target, the probes of all entries
        would add to the load for which the requests wait.
        """
        service = self.entries[0].service
        for is_unresponsive in (False, True):
            with self.subTest(is_unresponsive=is_unresponsive):
                self.fleet.polls = 0
                if is_unresponsive:
                    self.fleet.clock.advance(targets.PROBE_TTL_MS)
                    lost = exceptions.TargetResponseLost('timeout')
                    self.fleet.errors['engine-0'] = lost
                for _ in range(2):
                    responded = await asyncio.gather(
                        *(service.is_responsive('engine-0') for _ in range(9))
                    )
                    self.assertEqual({not is_unresponsive}, set(responded))
                self.assertEqual(2 if is_unresponsive else 1, self.fleet.polls)

    async def test_poll_rate_is_limited(self) -> None:
        """All targets fail at the same time and recover later.

        Entries must limit the rate of their polls, and must still use the
        targets again within seconds.
        """
        self.fleet = FakeFleet(builders.FakeClock(), count=40)
        self.entries = [Entry(self.fleet, i) for i in range(5)]
        await self.run_for(1000)
        refused = exceptions.TargetUnreachable('Refused.')
        self.fleet.errors = dict.fromkeys(self.fleet.snapshot.targets, refused)
        for entry in self.entries:
            for target in self.fleet.snapshot.targets:
                entry.service.record_failure(target, 'it broke')
        await self.run_for(3000)
        self.fleet.polls = 0
        await self.run_for(30_000)
        regular = (
            40 * targets.POLLERS_PER_TARGET / (targets.POLL_INTERVAL_MS / 1000)
        )
        recovery_polls = targets.RECOVERY_POLLS_PER_S * len(self.entries)
        self.assertLessEqual(
            self.fleet.polls, 30 * 1.1 * (regular + recovery_polls)
        )
        self.fleet.errors.clear()
        await self.run_for(MAX_RECOVERY_MS)
        for target in self.fleet.snapshot.targets:
            self.assertEqual({Readiness.READY}, self.read(target))

    async def test_removed_target_gets_no_work(self) -> None:
        await self.run_for(1000)
        self.fleet.snapshot = documents.Snapshot(2)
        await self.run_for(1000)
        self.assertEqual({Readiness.LEAVING}, self.read())
        service = self.entries[0].service
        service.apply_load_report(
            messages.LoadReport('engine-0', 0, Readiness.READY)
        )
        self.assertIsNone(service.read_load('engine-0'))
