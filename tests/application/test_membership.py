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
    """Host list that a test sets; None simulates an outage."""

    def __init__(self) -> None:
        self.hosts: tuple[ports.Host, ...] | None = ()

    async def announce(self, own: ports.Host) -> None:
        if self.hosts is None:
            raise exceptions.PlatformError('No response.')

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        if self.hosts is None:
            raise exceptions.PlatformError('No response.')
        return self.hosts


@attrs.define
class FakeNetwork:
    """Queue of messages between services, delivered on demand."""

    handlers: dict[str, dict[type, ports.Handler]] = attrs.field(factory=dict)
    queue: list[tuple[str, str, typing.Any]] = attrs.field(factory=list)

    async def deliver(self) -> None:
        while self.queue:
            sender, address, message = self.queue.pop(0)
            handlers = self.handlers.get(address, {})
            if type(message) in handlers:
                await handlers[type(message)](sender, message)


@attrs.define
class FakePeers:
    network: FakeNetwork
    member: ports.Member

    def send(self, peer_address: str, message: typing.Any) -> None:
        self.network.queue.append(
            (self.member.incarnation, peer_address, message)
        )

    def handle(self, message_type: type, handler: ports.Handler) -> None:
        handlers = self.network.handlers.setdefault(
            self.member.peer_address, {}
        )
        handlers[message_type] = handler


class Entry:
    """A membership service with records of its callbacks."""

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
        for _ in range(milliseconds // membership.TICK_INTERVAL_MS):
            self.clock.advance(membership.TICK_INTERVAL_MS)
            for entry in self.entries:
                entry.service.tick()
            await self.network.deliver()

    async def form_fleet(self) -> None:
        for entry in self.entries:
            await entry.service.refresh_seeds()
        await self.run_for(3000)

    async def test_entries_find_each_other_through_the_host_list(
        self,
    ) -> None:
        await self.form_fleet()
        expected = tuple(entry.member for entry in self.entries)
        for entry in self.entries:
            self.assertEqual(expected, entry.service.list_members())
            self.assertEqual(expected[0], entry.service.find('entry-0-1'))
            self.assertIsNone(entry.service.find('nobody'))
            self.assertEqual([self.platform.hosts], entry.hosts)

    async def test_platform_outage_does_not_change_the_members(
        self,
    ) -> None:
        """The platform is down for a long time while entries run.

        Its host list is only a source of addresses. If members disappeared
        with the list, callers would lose all addresses.
        """
        await self.form_fleet()
        self.platform.hosts = None
        for entry in self.entries:
            await entry.service.refresh_seeds()
        await self.run_for(20_000)
        self.assertEqual(3, len(self.entries[0].service.list_members()))

    async def test_list_of_a_suspended_process_is_not_cached(
        self,
    ) -> None:
        """A process is suspended while another entry leaves, and resumes.

        It first handles buffered messages. If callers cached its outdated
        list for the full time, they would use an address that refuses them.
        """
        await self.form_fleet()
        first = self.entries[0].service
        for _ in range(60):
            await self.run_for(1000)
            self.assertEqual(
                membership.CALLER_CACHE_MS, first.list_entries().keep_ms
            )
        self.clock.advance(10_000)
        applied = messages.Applied(1, 1, b'')
        buffered = messages.Ack(1, messages.Gossip(0, 1, applied))
        await first._receive('entry-1-1', buffered)
        self.assertEqual(0, first.list_entries().keep_ms)
        await self.run_for(2000)
        self.assertEqual(
            membership.CALLER_CACHE_MS, first.list_entries().keep_ms
        )

    async def test_leaving_entry_is_listed_as_leaving(self) -> None:
        await self.form_fleet()
        self.entries[0].service.announce_leaving()
        await self.run_for(1000)
        for entry in self.entries:
            response = entry.service.list_entries()
            self.assertEqual(('http://entry-0:8000',), response.leaving)
            self.assertEqual(
                ['http://entry-1:8000', 'http://entry-2:8000'],
                [entry_address.url for entry_address in response.entries],
            )
            self.assertEqual(membership.CALLER_CACHE_MS, response.keep_ms)
            found = entry.service.find('entry-0-1')
            self.assertIs(State.LEAVING, found and found.state)

    async def test_stopped_entry_is_removed_immediately(self) -> None:
        await self.form_fleet()
        await self.entries.pop(0).service.stop()
        await self.run_for(1000)
        for entry in self.entries:
            self.assertIsNone(entry.service.find('entry-0-1'))
            states = [m.state for m in entry.service.list_all()]
            self.assertEqual([State.DEAD, State.ALIVE, State.ALIVE], states)

    async def test_higher_version_is_reported_and_propagated(self) -> None:
        await self.form_fleet()
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
        """The pull of a new version fails because its source crashed.

        Without another report the entry would keep the old configuration.
        """
        await self.form_fleet()
        self.entries[0].version = 7
        await self.run_for(5000)
        self.assertGreater(len(self.entries[1].reported), 2)
