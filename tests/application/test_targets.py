"""Tests of which targets may be given new work."""

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

BOUND_MS = 3000
SECONDS_MS = 5000
Readiness = messages.Readiness


class World:
    """Engines, the configuration, and entries that tell each other."""

    def __init__(self, clock: builders.FakeClock, count: int = 8) -> None:
        self.clock = clock
        self.snapshot = documents.Snapshot(
            1, targets={f'engine-{i}': build_target(i) for i in range(count)}
        )
        self.words = dict.fromkeys(self.snapshot.targets, Readiness.READY)
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
            target.name, self.clock.now(), self.words[target.name]
        )

    def list_members(self) -> tuple[ports.Member, ...]:
        return tuple(entry.member for entry in self.entries.values())


class Entry:
    """A service with its place among the others."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.member = builders.build_member(f'entry-{number}')
        self.handlers: dict[type, ports.Handler] = {}
        self.inbox: list[typing.Any] = []
        world.entries[self.member.peer_address] = self
        self.service = targets.TargetService(
            world.clock,
            typing.cast('ports.Peers', self),
            typing.cast('ports.MemberView', world),
            self.member.incarnation,
            lambda: world.snapshot,
            world.fetch_load,
            random.Random(number),
        )

    def handle(self, message_type: type, handler: ports.Handler) -> None:
        self.handlers[message_type] = handler

    def tell(self, address: str, message: typing.Any) -> None:
        if address in self.world.entries and not self.world.is_lossy:
            self.world.entries[address].inbox.append(message)

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
        self.world = World(builders.FakeClock())
        self.entries = [Entry(self.world, i) for i in range(5)]

    async def run_for(self, milliseconds: int) -> None:
        for _ in range(milliseconds // targets.TICK_MS):
            self.world.clock.advance(targets.TICK_MS)
            for entry in list(self.world.entries.values()):
                await entry.step()
            for _ in range(3):
                await asyncio.sleep(0)

    def read(self, target: str = 'engine-0') -> set[Readiness]:
        return {
            entry.service.read_readiness(target)
            for entry in self.world.entries.values()
        }

    def say_leaving(self) -> None:
        self.world.words['engine-0'] = Readiness.LEAVING

    def say_ready(self) -> None:
        self.world.words['engine-0'] = Readiness.READY

    def list_leaving(self) -> None:
        host = build_host(ports.HostState.LEAVING)
        self.entries[0].service.hear_hosts((host,))

    def list_ready(self) -> None:
        host = build_host(ports.HostState.LIVE)
        self.entries[0].service.hear_hosts((host,))

    def publish_leaving(self) -> None:
        self.world.change_target('engine-0', leaving=True)

    def publish_ready(self) -> None:
        self.world.change_target('engine-0', leaving=False)

    async def test_whoever_knows_first_stops_new_work(self) -> None:
        """A target leaves, and each source learns of it at another time.

        Given new work after some seconds, the work would be cut off with
        it. When it comes back it must be of use within seconds.
        """
        table = (
            ('its own word', self.say_leaving, self.say_ready),
            ('the host list', self.list_leaving, self.list_ready),
            ('the operator', self.publish_leaving, self.publish_ready),
        )
        await self.run_for(2000)
        for name, leave, come_back in table:
            with self.subTest(name):
                self.assertEqual({Readiness.READY}, self.read())
                leave()
                await self.run_for(BOUND_MS)
                for _ in range(100):
                    await self.run_for(targets.TICK_MS)
                    self.assertEqual({Readiness.LEAVING}, self.read())
                come_back()
                await self.run_for(SECONDS_MS)
                self.assertEqual({Readiness.READY}, self.read())

    async def test_bound_holds_when_a_polling_entry_is_dead(self) -> None:
        """One of the two entries that poll a target dies unnoticed.

        The other one alone must notice in time that the target leaves.
        """
        await self.run_for(2000)
        pollers = [
            entry
            for entry in self.entries
            if 'engine-0' in entry.service._assigned
        ]
        self.assertEqual(targets.POLLERS, len(pollers))
        pollers[0].service.tick = lambda: None  # type: ignore[method-assign]
        self.say_leaving()
        await self.run_for(BOUND_MS)
        self.assertEqual({Readiness.LEAVING}, self.read())

    async def test_refusal_by_the_target_counts_at_once(self) -> None:
        self.say_leaving()
        service = self.entries[0].service
        service.hear_load(
            messages.LoadReport('engine-0', 0, Readiness.LEAVING, running=3)
        )
        self.assertIs(Readiness.LEAVING, service.read_readiness('engine-0'))
        load = service.read_load('engine-0')
        self.assertEqual(3, load and load.running)

    async def test_entry_that_joins_learns_who_leaves(self) -> None:
        """An entry starts while a target has been leaving for long.

        It missed the news and would give it new work.
        """
        self.say_leaving()
        await self.run_for(8000)
        joined = Entry(self.world, 9)
        await self.run_for(300)
        readiness = joined.service.read_readiness('engine-0')
        self.assertIs(Readiness.LEAVING, readiness)

    async def test_failed_target_is_used_again_when_it_answers(self) -> None:
        """A target crashes and is started again, or a link breaks and heals.

        Meanwhile it must get no work, and afterwards must not stay idle.
        """
        lost = exceptions.TargetAnswerLost('No answer.')
        refused = exceptions.TargetNotReached('Refused.')
        for error in (lost, refused):
            for is_lossy in (False, True):
                with self.subTest(error=error, is_lossy=is_lossy):
                    self.world.is_lossy = is_lossy
                    self.world.errors['engine-0'] = error
                    for entry in self.entries:
                        entry.service.note_failure('engine-0', 'it broke')
                    for _ in range(60):
                        await self.run_for(targets.TICK_MS)
                        self.assertEqual({Readiness.UNREACHABLE}, self.read())
                    self.world.errors.clear()
                    await self.run_for(SECONDS_MS)
                    self.assertEqual({Readiness.READY}, self.read())

    async def test_one_lost_poll_does_not_count(self) -> None:
        """A poll is lost while the target works under load.

        Taken out for it, the others would be loaded the more.
        """
        lost = exceptions.TargetAnswerLost('No answer.')
        self.world.errors['engine-0'] = lost
        service = self.entries[0].service
        await service.poll('engine-0')
        self.assertIs(Readiness.READY, service.read_readiness('engine-0'))
        await service.poll('engine-0')
        self.assertIs(
            Readiness.UNREACHABLE, service.read_readiness('engine-0')
        )

    async def test_one_question_serves_all_who_wait_for_a_target(self) -> None:
        """A target vanishes, or is overloaded with all others.

        Every request that waits for it would ask it, and the questions of
        all entries would add to the load that made them wait.
        """
        service = self.entries[0].service
        for is_silent in (False, True):
            with self.subTest(is_silent=is_silent):
                self.world.polls = 0
                if is_silent:
                    self.world.clock.advance(targets.CHECK_INTERVAL_MS)
                    lost = exceptions.TargetAnswerLost('silent')
                    self.world.errors['engine-0'] = lost
                for _ in range(2):
                    answers = await asyncio.gather(
                        *(service.is_answering('engine-0') for _ in range(9))
                    )
                    self.assertEqual({not is_silent}, set(answers))
                self.assertEqual(2 if is_silent else 1, self.world.polls)

    async def test_polls_are_bounded(self) -> None:
        """Every target is down at once and comes back.

        Entries must not spend their time on asking them again, and yet
        must use them again within seconds.
        """
        self.world = World(builders.FakeClock(), count=40)
        self.entries = [Entry(self.world, i) for i in range(5)]
        await self.run_for(1000)
        refused = exceptions.TargetNotReached('Refused.')
        self.world.errors = dict.fromkeys(self.world.snapshot.targets, refused)
        for entry in self.entries:
            for target in self.world.snapshot.targets:
                entry.service.note_failure(target, 'it broke')
        await self.run_for(3000)
        self.world.polls = 0
        await self.run_for(30_000)
        regular = 40 * targets.POLLERS / (targets.POLL_MS / 1000)
        checks = targets.CHECKS_PER_S * len(self.entries)
        self.assertLessEqual(self.world.polls, 30 * 1.1 * (regular + checks))
        self.world.errors.clear()
        await self.run_for(SECONDS_MS)
        for target in self.world.snapshot.targets:
            self.assertEqual({Readiness.READY}, self.read(target))

    async def test_target_taken_out_gets_no_work(self) -> None:
        await self.run_for(1000)
        self.world.snapshot = documents.Snapshot(2)
        await self.run_for(1000)
        self.assertEqual({Readiness.LEAVING}, self.read())
        service = self.entries[0].service
        service.hear_load(messages.LoadReport('engine-0', 0, Readiness.READY))
        self.assertIsNone(service.read_load('engine-0'))
