"""Tests of membership over the ports."""

from __future__ import annotations

import random
import typing
import unittest

import attrs

from tests import builders
from thornspool.application import exceptions
from thornspool.application import membership
from thornspool.application import ports
from thornspool.domain.membership import messages

State = ports.MemberState


class FakePlatform:
    """A host list that a test sets; None stands for an outage."""

    def __init__(self) -> None:
        self.hosts: tuple[ports.Host, ...] | None = ()

    async def announce(self, own: ports.Host) -> None:
        if self.hosts is None:
            raise exceptions.PlatformError('No answer.')

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        if self.hosts is None:
            raise exceptions.PlatformError('No answer.')
        return self.hosts


@attrs.define
class FakeNetwork:
    """Messages told between services, delivered when a test says so."""

    handlers: dict[str, dict[type, ports.Handler]] = attrs.field(factory=dict)
    waiting: list[tuple[str, str, typing.Any]] = attrs.field(factory=list)

    async def deliver(self) -> None:
        while self.waiting:
            sender, address, message = self.waiting.pop(0)
            handlers = self.handlers.get(address, {})
            if type(message) in handlers:
                await handlers[type(message)](sender, message)


@attrs.define
class FakePeers:
    network: FakeNetwork
    member: ports.Member

    def tell(self, peer_address: str, message: typing.Any) -> None:
        self.network.waiting.append(
            (self.member.incarnation, peer_address, message)
        )

    def handle(self, message_type: type, handler: ports.Handler) -> None:
        own = self.network.handlers.setdefault(self.member.peer_address, {})
        own[message_type] = handler


class Entry:
    """A service with what the rest of its process would see."""

    def __init__(
        self,
        number: int,
        clock: builders.FakeClock,
        network: FakeNetwork,
        platform: FakePlatform,
    ) -> None:
        self.version = 0
        self.reported: list[tuple[str, int]] = []
        self.hosts: list[tuple[ports.Host, ...]] = []
        self.member = builders.build_member(f'entry-{number}')
        self.service = membership.MembershipService(
            clock,
            typing.cast('ports.Peers', FakePeers(network, self.member)),
            typing.cast('ports.Platform', platform),
            self.member,
            random.Random(number),
            lambda: self.version,
            lambda *report: self.reported.append(report),
        )
        self.service.watch_hosts(self.hosts.append)


class MembershipServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.entries = [
            Entry(i, self.clock, self.network, self.platform) for i in range(3)
        ]
        self.platform.hosts = tuple(
            ports.Host(
                entry.member.host,
                entry.member.failure_domain,
                ports.HostState.LIVE,
                entry.member.peer_address,
            )
            for entry in self.entries
        )

    async def run_for(self, milliseconds: int) -> None:
        for _ in range(milliseconds // membership.TICK_MS):
            self.clock.advance(membership.TICK_MS)
            for entry in self.entries:
                entry.service.tick()
            await self.network.deliver()

    async def form(self) -> None:
        for entry in self.entries:
            await entry.service.refresh_seeds()
        await self.run_for(3000)

    async def test_entries_find_each_other_through_the_host_list(
        self,
    ) -> None:
        await self.form()
        expected = tuple(entry.member for entry in self.entries)
        for entry in self.entries:
            self.assertEqual(expected, entry.service.list_members())
            self.assertEqual(expected[0], entry.service.find('entry-0-1'))
            self.assertIsNone(entry.service.find('nobody'))
            self.assertEqual([self.platform.hosts], entry.hosts)

    async def test_outage_of_the_platform_leaves_the_members_alone(
        self,
    ) -> None:
        """The platform is down for long while entries run.

        Its list is a hint only; if members vanished with it, callers would
        lose every address.
        """
        await self.form()
        self.platform.hosts = None
        for entry in self.entries:
            await entry.service.refresh_seeds()
        await self.run_for(20_000)
        self.assertEqual(3, len(self.entries[0].service.list_members()))

    async def test_list_of_a_process_that_was_stopped_is_not_kept(
        self,
    ) -> None:
        """A process is stopped while another entry leaves, and wakes.

        The first thing that it sees are requests that waited. Kept for the
        full time, the list that it holds would lead callers to an address
        that refuses them by then.
        """
        await self.form()
        first = self.entries[0].service
        for _ in range(60):
            await self.run_for(1000)
            self.assertEqual(membership.KEEP_MS, first.list_entries().keep_ms)
        self.clock.advance(10_000)
        told = messages.Applied(1, 1, b'')
        waited = messages.Ack(1, messages.Gossip(0, 1, told))
        await first._receive('entry-1-1', waited)
        self.assertEqual(0, first.list_entries().keep_ms)
        await self.run_for(2000)
        self.assertEqual(membership.KEEP_MS, first.list_entries().keep_ms)

    async def test_leaving_entry_is_told_to_callers_as_leaving(self) -> None:
        await self.form()
        self.entries[0].service.announce_leaving()
        await self.run_for(1000)
        for entry in self.entries:
            answer = entry.service.list_entries()
            self.assertEqual(('http://entry-0:8000',), answer.leaving)
            self.assertEqual(
                ['http://entry-1:8000', 'http://entry-2:8000'],
                [listed.url for listed in answer.entries],
            )
            self.assertEqual(membership.KEEP_MS, answer.keep_ms)
            found = entry.service.find('entry-0-1')
            self.assertIs(State.LEAVING, found and found.state)

    async def test_stopped_entry_is_gone_at_once(self) -> None:
        await self.form()
        await self.entries.pop(0).service.stop()
        await self.run_for(1000)
        for entry in self.entries:
            self.assertIsNone(entry.service.find('entry-0-1'))
            states = [m.state for m in entry.service.list_all()]
            self.assertEqual([State.DEAD, State.ALIVE, State.ALIVE], states)

    async def test_higher_version_is_reported_and_spread(self) -> None:
        await self.form()
        self.entries[0].version = 7
        await self.run_for(2000)
        for entry in self.entries[1:]:
            self.assertEqual(('tcp://entry-0:7000', 7), entry.reported[0])
            entry.version = 7
        await self.run_for(3000)
        for entry in self.entries:
            versions = [
                member.configuration_version
                for member in entry.service.list_members()
            ]
            self.assertEqual([7, 7, 7], versions)

    async def test_report_is_repeated_while_the_version_is_missing(
        self,
    ) -> None:
        """The pull of a new version fails because its source just died.

        Without another report the entry would keep the old configuration.
        """
        await self.form()
        self.entries[0].version = 7
        await self.run_for(5000)
        self.assertGreater(len(self.entries[1].reported), 2)
