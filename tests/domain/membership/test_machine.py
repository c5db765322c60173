"""Tests of membership by gossip."""

from __future__ import annotations

import unittest

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies

from tests.domain.membership import builders
from thornspool.domain.membership import messages
from thornspool.domain.membership import records
from thornspool.domain.membership import settings

SETTLE_MS = 90_000
SHORT_MEMORY_MS = 20_000
DETECTION_MS = 15_000
Status = messages.Status


class MachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.network = builders.Network()
        self.nodes = self.network.start_many(6)

    def list_names(self) -> tuple[str, ...]:
        return tuple(sorted(node.name for node in self.nodes))

    def assert_agreed(self) -> None:
        for node in self.nodes:
            self.assertEqual(self.list_names(), node.list_live())

    def find_status(self, node: builders.Node, name: str) -> Status | None:
        record = node.machine.view.find(name)
        return None if record is None else record.status

    def test_members_find_each_other_through_seeds(self) -> None:
        self.assert_agreed()

    def test_groups_that_form_at_the_start_merge_soon(self) -> None:
        """All entries start at once, each with a few seed addresses.

        The first ones to find each other must not stay in separate groups,
        whose incomplete lists their callers would use.
        """
        for seed in range(5):
            with self.subTest(seed=seed):
                self.network = builders.Network(seed)
                self.nodes = [self.network.start(f'h-{i}') for i in range(9)]
                addresses = [node.address for node in self.nodes]
                for number, node in enumerate(self.nodes):
                    known = [addresses[number - 1], addresses[number - 4]]
                    node.machine.set_seeds(known)
                self.network.run(6000)
                self.assert_agreed()

    def test_killed_member_is_detected(self) -> None:
        """A host loses power.

        Its address must be removed from the list for callers, or they keep
        trying it.
        """
        self.network.kill(self.nodes.pop())
        self.network.run(DETECTION_MS)
        self.assert_agreed()

    def test_member_behind_one_bad_link_stays(self) -> None:
        """The link between two members fails while others reach both.

        If one of them were listed as dead, a working entry would lose its
        callers.
        """
        self.network.cut(self.nodes[:1], self.nodes[1:2])
        for _ in range(300):
            self.network.step()
            self.assert_agreed()

    def test_suspended_member_refutes_and_suspects_nobody(self) -> None:
        """A process is suspended for a while and resumes.

        It must be listed again under the same incarnation, and must not
        declare the others dead because its own timers are overdue.
        """
        for suspended_ms in (2000, 5000, 60_000):
            with self.subTest(suspended_ms=suspended_ms):
                suspended = self.nodes[0]
                suspended.is_suspended = True
                self.network.run(suspended_ms)
                counters = [n.machine.own.counter for n in self.nodes[1:]]
                suspended.is_suspended = False
                self.network.step()
                self.assertEqual(self.list_names(), suspended.list_live())
                self.network.run(DETECTION_MS)
                self.assert_agreed()
                self.assertEqual(
                    counters, [n.machine.own.counter for n in self.nodes[1:]]
                )

    def test_healed_partition_removes_no_member_of_a_side(self) -> None:
        """A network partition between two regions heals after a minute.

        Each side reports the members of the other as dead. If those reports
        were applied directly, every list would lose running members.
        """
        one, other = self.nodes[:3], self.nodes[3:]
        self.network.cut(one, other)
        self.network.run(60_000)
        for node in one:
            self.assertEqual(3, len(node.list_live()))
        self.network.cuts.clear()
        for _ in range(SETTLE_MS // builders.TICK_MS):
            self.network.step()
            for side in (one, other):
                names = {node.name for node in side}
                for node in side:
                    self.assertLessEqual(names, set(node.list_live()))
        self.assert_agreed()

    def test_leaving_member_stays_leaving(self) -> None:
        """A draining host is suspected and refutes.

        If the refutation reset its leaving state, it would get new callers
        until it exits.
        """
        leaving = self.nodes[0]
        self.network.execute(leaving, leaving.machine.announce_leaving())
        self.network.run(1000)
        leaving.is_suspended = True
        self.network.run(8000)
        leaving.is_suspended = False
        for _ in range(200):
            self.network.step()
            for node in self.nodes:
                record = node.machine.view.find(leaving.name)
                self.assertTrue(record and record.leaving)
        self.assert_agreed()

    def test_member_that_quit_is_never_listed_again(self) -> None:
        """Messages of an exited process arrive after its LEFT update."""
        exited = self.nodes.pop()
        late = exited.machine.announce_leaving()
        self.network.quit(exited)
        self.network.run(1000)
        self.assert_agreed()
        self.network.execute(exited, late)
        self.network.run(1000)
        self.assert_agreed()

    def test_restarted_process_is_a_new_member(self) -> None:
        old = self.nodes.pop()
        self.network.kill(old)
        self.nodes.append(self.network.start('host-5'))
        self.network.run(DETECTION_MS)
        self.assert_agreed()

    def test_version_reaches_all_and_the_origin_knows(self) -> None:
        origin = self.nodes[0]
        commands = origin.machine.set_version(5)
        self.network.execute(origin, commands)
        self.network.run(2000)
        for node in self.nodes[1:]:
            self.assertEqual(5, node.reports[0].version)
            self.assertEqual(origin.address, node.reports[0].address)
            self.network.execute(node, node.machine.set_version(5))
        commands = origin.machine.request_versions(5, self.network.now)
        self.network.execute(origin, commands)
        self.network.run(500)
        versions = {r.version for r in origin.machine.view}
        self.assertEqual({5}, versions)

    def test_member_drops_its_records_after_a_long_suspension(self) -> None:
        """A suspension lasts until others have removed a dead member.

        The suspended process still lists that member as alive. If it
        broadcast its record, all others would list the dead member again.
        """
        suspended, victim = self.nodes[0], self.nodes.pop()
        suspended.is_suspended = True
        self.network.kill(victim)
        self.network.run(settings.Settings().dead_memory_ms + DETECTION_MS)
        suspended.is_suspended = False
        for _ in range(100):
            self.network.step()
            for node in self.nodes[1:]:
                self.assertIsNone(node.machine.view.find(victim.name))
        self.network.run(SETTLE_MS)
        self.assert_agreed()

    def test_dead_members_are_removed(self) -> None:
        """Hosts are replaced continuously.

        Each new member receives records of dead members. If it retained
        them for the full time and sent them to others in turn, the table
        would grow without limit.
        """
        short = settings.Settings(dead_memory_ms=SHORT_MEMORY_MS)
        self.network = builders.Network(settings=short)
        self.nodes = self.network.start_many(4)
        self.network.kill(self.nodes.pop())
        for number in range(5):
            self.network.run(SHORT_MEMORY_MS // 2)
            self.nodes.append(self.network.start(f'late-{number}'))
        self.network.run(SHORT_MEMORY_MS)
        for node in self.nodes:
            self.assertEqual(8, len(list(node.machine.view)))


class MembershipFuzz(stateful.RuleBasedStateMachine):
    """Compares members under faults with a list of executed actions."""

    @stateful.initialize(
        seed=strategies.integers(0, 2**16),
        memory=strategies.sampled_from((SHORT_MEMORY_MS, 1_800_000)),
    )
    def start_network(self, seed: int, memory: int) -> None:
        self.network = builders.Network(
            seed, settings.Settings(dead_memory_ms=memory)
        )
        self.started: dict[str, builders.Node] = {}
        self.leaving: set[str] = set()
        self.quitted: set[str] = set()
        self.versions: dict[tuple[str, str], int] = {}
        self.seen_leaving: set[tuple[str, str]] = set()
        self.highest = 0
        for number in range(4):
            self.record_start(self.network.start(f'host-{number}'))

    def record_start(self, node: builders.Node) -> None:
        self.started[node.name] = node

    def choose(self, number: int) -> builders.Node | None:
        nodes = sorted(self.network.nodes.values(), key=lambda n: n.address)
        return nodes[number % len(nodes)] if nodes else None

    @stateful.rule(milliseconds=strategies.integers(100, 40_000))
    def wait(self, milliseconds: int) -> None:
        for _ in range(milliseconds // builders.TICK_MS):
            self.network.step()
            self.check_monotonic()

    @stateful.rule(number=strategies.integers(0, 5))
    def start_or_restart(self, number: int) -> None:
        address = f'tcp://host-{number}:7000'
        former = self.network.nodes.get(address)
        if former is not None:
            self.network.kill(former)
        self.record_start(self.network.start(f'host-{number}'))

    @stateful.rule(number=strategies.integers(0, 5))
    def kill(self, number: int) -> None:
        node = self.choose(number)
        if node is not None and len(self.network.nodes) > 2:
            self.network.kill(node)

    @stateful.rule(number=strategies.integers(0, 5))
    def suspend_or_resume(self, number: int) -> None:
        node = self.choose(number)
        if node is not None:
            node.is_suspended = not node.is_suspended

    @stateful.rule(number=strategies.integers(0, 5))
    def leave(self, number: int) -> None:
        node = self.choose(number)
        if node is not None and not node.is_suspended:
            self.network.execute(node, node.machine.announce_leaving())
            self.leaving.add(node.name)

    @stateful.rule(number=strategies.integers(0, 5))
    def quit(self, number: int) -> None:
        node = self.choose(number)
        if node is None or node.is_suspended or len(self.network.nodes) <= 2:
            return
        self.network.quit(node)
        self.quitted.add(node.name)

    @stateful.rule(number=strategies.integers(0, 5))
    def apply_version(self, number: int) -> None:
        node = self.choose(number)
        if node is not None and not node.is_suspended:
            self.highest += 1
            commands = node.machine.set_version(self.highest)
            self.network.execute(node, commands)

    @stateful.rule(split=strategies.integers(1, 5))
    def cut(self, split: int) -> None:
        nodes = sorted(self.network.nodes.values(), key=lambda n: n.address)
        self.network.cut(nodes[:split], nodes[split:])

    @stateful.rule()
    def heal(self) -> None:
        self.network.cuts.clear()

    @stateful.rule(
        loss=strategies.sampled_from((0.0, 0.1, 0.4)),
        delay=strategies.sampled_from((0, 100, builders.MAX_DELAY_MS)),
    )
    def degrade(self, loss: float, delay: int) -> None:
        self.network.loss = loss
        self.network.delay = delay

    def check_monotonic(self) -> None:
        for node in self.network.nodes.values():
            for record in node.machine.view:
                self.check_record(node.name, record)

    def check_record(self, viewer: str, record: records.Record) -> None:
        name = record.incarnation
        pair = (viewer, name)
        subject = self.started[name].machine.own
        assert record.version <= subject.version, 'version never set'
        assert record.counter <= subject.counter, 'counter never reached'
        known = self.versions.get(pair, 0)
        assert record.version >= known, 'version decreased'
        self.versions[pair] = record.version
        if record.leaving:
            assert name in self.leaving | self.quitted, 'never left'
            self.seen_leaving.add(pair)
        elif record.is_listed:
            assert pair not in self.seen_leaving, 'leaving was reset'

    def teardown(self) -> None:
        if not hasattr(self, 'network'):
            return
        self.network.cuts.clear()
        self.network.loss = 0.0
        for node in self.network.nodes.values():
            node.is_suspended = False
        self.wait(SETTLE_MS)
        self.check_agreement()

    def check_agreement(self) -> None:
        nodes = self.network.nodes.values()
        expected = tuple(sorted(node.name for node in nodes))
        for node in nodes:
            assert node.list_live() == expected, (node.name, 'differs')
            for other in nodes:
                record = node.machine.view.find(other.name)
                assert record is not None
                own = other.machine.own
                assert record.leaving == own.leaving, 'leaving not known'
                assert record.counter == own.counter, 'counter not known'


MembershipFuzzTest = MembershipFuzz.TestCase
MembershipFuzzTest.settings = hypothesis_settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=15,
    deadline=None,
    print_blob=True,
)
