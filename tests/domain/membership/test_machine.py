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

    def test_members_meet_through_seeds(self) -> None:
        self.assert_agreed()

    def test_islands_that_form_at_the_start_join_soon(self) -> None:
        """All entries start at once, each with few addresses.

        Those that meet first must not rest with lists of their own, which
        their callers would take for all there is.
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

    def test_killed_member_is_found_out(self) -> None:
        """A host loses power.

        Its address must leave the list that callers get, or they go on
        trying it.
        """
        self.network.kill(self.nodes.pop())
        self.network.run(DETECTION_MS)
        self.assert_agreed()

    def test_member_behind_one_bad_link_stays(self) -> None:
        """The link between two members breaks, others reach both.

        Taken for dead, a working entry would lose its callers.
        """
        self.network.cut(self.nodes[:1], self.nodes[1:2])
        for _ in range(300):
            self.network.step()
            self.assert_agreed()

    def test_frozen_member_refutes_and_accuses_nobody(self) -> None:
        """A process is stopped for a while and goes on.

        It must be listed again under the same incarnation, and on waking
        must not take the others for dead because its own timers are late.
        """
        for frozen_ms in (2000, 5000, 60_000):
            with self.subTest(frozen_ms=frozen_ms):
                frozen = self.nodes[0]
                frozen.is_frozen = True
                self.network.run(frozen_ms)
                counters = [n.machine.own.counter for n in self.nodes[1:]]
                frozen.is_frozen = False
                self.network.step()
                self.assertEqual(self.list_names(), frozen.list_live())
                self.network.run(DETECTION_MS)
                self.assert_agreed()
                self.assertEqual(
                    counters, [n.machine.own.counter for n in self.nodes[1:]]
                )

    def test_healed_cut_empties_no_list(self) -> None:
        """Two regions lose each other for a minute and meet again.

        Each side holds the other for dead and says so. Taken at its word,
        every list would lose members that were never gone.
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
        """A host is drained while members accuse it and it refutes.

        Listed as staying again, it would get new callers until its end.
        """
        leaving = self.nodes[0]
        self.network.carry_out(leaving, leaving.machine.leave())
        self.network.run(1000)
        leaving.is_frozen = True
        self.network.run(8000)
        leaving.is_frozen = False
        for _ in range(200):
            self.network.step()
            for node in self.nodes:
                record = node.machine.view.find(leaving.name)
                self.assertTrue(record and record.leaving)
        self.assert_agreed()

    def test_member_that_quit_never_comes_back(self) -> None:
        """Messages of a stopped process arrive after its farewell."""
        gone = self.nodes.pop()
        late = gone.machine.leave()
        self.network.quit(gone)
        self.network.run(1000)
        self.assert_agreed()
        self.network.carry_out(gone, late)
        self.network.run(1000)
        self.assert_agreed()

    def test_restarted_member_is_another(self) -> None:
        old = self.nodes.pop()
        self.network.kill(old)
        self.nodes.append(self.network.start('host-5'))
        self.network.run(DETECTION_MS)
        self.assert_agreed()

    def test_version_reaches_all_and_is_known_to_be(self) -> None:
        origin = self.nodes[0]
        commands = origin.machine.set_version(5)
        self.network.carry_out(origin, commands)
        self.network.run(2000)
        for node in self.nodes[1:]:
            self.assertEqual(5, node.reports[0].version)
            self.assertEqual(origin.address, node.reports[0].address)
            self.network.carry_out(node, node.machine.set_version(5))
        commands = origin.machine.poll_versions(5, self.network.now)
        self.network.carry_out(origin, commands)
        self.network.run(500)
        versions = {r.version for r in origin.machine.view}
        self.assertEqual({5}, versions)

    def test_long_sleeper_forgets_what_others_forgot(self) -> None:
        """A process sleeps for so long that others forgot their dead.

        It still holds one of them for alive. Passed on, the dead member
        would be listed everywhere once more.
        """
        sleeper, victim = self.nodes[0], self.nodes.pop()
        sleeper.is_frozen = True
        self.network.kill(victim)
        self.network.run(settings.Settings().dead_memory_ms + DETECTION_MS)
        sleeper.is_frozen = False
        for _ in range(100):
            self.network.step()
            for node in self.nodes[1:]:
                self.assertIsNone(node.machine.view.find(victim.name))
        self.network.run(SETTLE_MS)
        self.assert_agreed()

    def test_dead_are_forgotten(self) -> None:
        """Hosts are replaced for months.

        Each member that starts hears of the dead from others. If it kept
        them for a while of its own and told others in turn, the table would
        grow for ever.
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
    """Members under faults against a plain list of what was done."""

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
            self.note(self.network.start(f'host-{number}'))

    def note(self, node: builders.Node) -> None:
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
        self.note(self.network.start(f'host-{number}'))

    @stateful.rule(number=strategies.integers(0, 5))
    def kill(self, number: int) -> None:
        node = self.choose(number)
        if node is not None and len(self.network.nodes) > 2:
            self.network.kill(node)

    @stateful.rule(number=strategies.integers(0, 5))
    def freeze_or_thaw(self, number: int) -> None:
        node = self.choose(number)
        if node is not None:
            node.is_frozen = not node.is_frozen

    @stateful.rule(number=strategies.integers(0, 5))
    def leave(self, number: int) -> None:
        node = self.choose(number)
        if node is not None and not node.is_frozen:
            self.network.carry_out(node, node.machine.leave())
            self.leaving.add(node.name)

    @stateful.rule(number=strategies.integers(0, 5))
    def quit(self, number: int) -> None:
        node = self.choose(number)
        if node is None or node.is_frozen or len(self.network.nodes) <= 2:
            return
        self.network.quit(node)
        self.quitted.add(node.name)

    @stateful.rule(number=strategies.integers(0, 5))
    def apply_version(self, number: int) -> None:
        node = self.choose(number)
        if node is not None and not node.is_frozen:
            self.highest += 1
            commands = node.machine.set_version(self.highest)
            self.network.carry_out(node, commands)

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
        assert record.version <= subject.version, 'version made up'
        assert record.counter <= subject.counter, 'counter made up'
        known = self.versions.get(pair, 0)
        assert record.version >= known, 'version went back'
        self.versions[pair] = record.version
        if record.leaving:
            assert name in self.leaving | self.quitted, 'never left'
            self.seen_leaving.add(pair)
        elif record.is_live:
            assert pair not in self.seen_leaving, 'leaving taken back'

    def teardown(self) -> None:
        if not hasattr(self, 'network'):
            return
        self.network.cuts.clear()
        self.network.loss = 0.0
        for node in self.network.nodes.values():
            node.is_frozen = False
        self.wait(SETTLE_MS)
        self.check_agreement()

    def check_agreement(self) -> None:
        nodes = self.network.nodes.values()
        truth = tuple(sorted(node.name for node in nodes))
        for node in nodes:
            assert node.list_live() == truth, (node.name, 'differs')
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
