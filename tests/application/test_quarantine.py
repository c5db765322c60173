"""Tests of the quarantine, with examples and with stateful fuzzing."""

from __future__ import annotations

import asyncio
import random
import typing
import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tests import builders
from tests.application import fakes
from tests.application import fleet
from thornspool.application import ports
from thornspool.application import quarantine
from thornspool.domain.limits import ownership
from thornspool.domain.quarantine import fingerprints
from thornspool.domain.quarantine import messages
from thornspool.domain.quarantine import records

CRASHER = 'crasher'
PART = fingerprints.compute_part_name('drafting', 'part')


class Fleet:
    """Entries with fake targets, which die when they run the crasher."""

    def __init__(self, count: int = 3) -> None:
        self.clock = builders.FakeClock(now=1_000_000)
        self.network = fleet.FakeNetwork()
        self.members = fleet.build_members(count)
        self.entries = [self.build_entry(one) for one in self.members]
        self.running: list[tuple[int, str, str]] = []
        self.killed: list[str] = []

    def build_entry(
        self, member: ports.Member
    ) -> quarantine.QuarantineService:
        view = fakes.FakeMembers(self.members)
        service = quarantine.QuarantineService(
            view,
            member.incarnation,
            fleet.FakePeers(self.network, member),
            self.clock,
            random.Random(1).random,
        )
        service._refresh_view()
        return service

    async def start(self, entry: int, request: str, target: str) -> bool:
        service = self.entries[entry]
        if not await service.reserve_run_on(request, target):
            return False
        service.record_start(request, target)
        self.running.append((entry, request, target))
        return True

    def finish(self, index: int, succeeded: bool = True) -> None:
        entry, request, target = self.running.pop(index)
        self.entries[entry].record_end(request, target, succeeded)

    def kill(self, target: str) -> None:
        """Report the death of a target to each entry that uses it."""
        self.killed.append(target)
        affected = [one for one in self.running if one[2] == target]
        for entry in sorted({one[0] for one in affected}):
            requests = [one[1] for one in affected if one[0] == entry]
            self.entries[entry].record_crash(target, requests)
        for one in affected:
            self.finish(self.running.index(one), succeeded=False)

    def check(self, request: str) -> set[str]:
        found = [one.check(request) for one in self.entries]
        return {type(verdict).__name__ for verdict in found}


@mock.patch.object(quarantine, 'logger')
class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    async def test_second_death_condemns_at_every_entry(
        self, _: mock.Mock
    ) -> None:
        """One request crashes each target that runs it, and is retried.

        Without the quarantine it would crash all targets, one by one.
        """
        subject = Fleet()
        subject.clock.advance(quarantine.OWNER_SETTLE_MS)
        await subject.start(0, CRASHER, 't1')
        await subject.start(1, 'innocent', 't1')
        subject.kill('t1')
        await subject.network.deliver()
        self.assertEqual({'Suspect'}, subject.check(CRASHER))
        self.assertEqual({'Suspect'}, subject.check('innocent'))
        self.assertTrue(await subject.start(1, CRASHER, 't2'))
        self.assertFalse(await subject.start(0, 'innocent', 't2'))
        self.assertFalse(await subject.start(2, CRASHER, 't3'))
        subject.kill('t2')
        self.assertFalse(await subject.start(1, CRASHER, 't3'))
        await subject.network.deliver()
        subject.clock.advance(records.VERDICT_DELAY_MS)
        self.assertEqual({'Condemned'}, subject.check(CRASHER))
        self.assertFalse(await subject.start(2, CRASHER, 't3'))
        self.assertTrue(await subject.start(0, 'innocent', 't3'))
        subject.finish(0)
        await subject.network.deliver()
        self.assertEqual({'Clear'}, subject.check('innocent'))

    async def test_starting_entry_fetches_records_from_peers(
        self, _: mock.Mock
    ) -> None:
        """An entry starts after the request was condemned.

        Without the records of its peers, the new entry would run the
        request again.
        """
        subject = Fleet()
        subject.clock.advance(quarantine.OWNER_SETTLE_MS)
        for target in ('t1', 't2'):
            await subject.start(0, CRASHER, target)
            subject.kill(target)
        await subject.network.deliver()
        subject.clock.advance(records.VERDICT_DELAY_MS)
        fresh = subject.build_entry(builders.build_member('entry-9'))
        await fresh.fetch_initial_records()
        self.assertIsInstance(fresh.check(CRASHER), messages.Condemned)

    async def test_synchronization_recovers_a_lost_update(
        self, _: mock.Mock
    ) -> None:
        """The state update about a suspect is lost in transit."""
        subject = Fleet(2)
        subject.network.one_way_losses = 1
        await subject.start(0, CRASHER, 't1')
        subject.kill('t1')
        self.assertEqual({'Suspect', 'Clear'}, subject.check(CRASHER))
        await subject.entries[1].sync_once()
        self.assertEqual({'Suspect'}, subject.check(CRASHER))

    async def test_lost_update_about_a_trial_costs_no_further_target(
        self, _: mock.Mock
    ) -> None:
        """A target dies during a trial, and the state update is lost.

        At the other entries the request is a suspect that may run on trial,
        which would crash a third target.
        """
        subject = Fleet()
        subject.clock.advance(quarantine.OWNER_SETTLE_MS)
        await subject.start(0, CRASHER, 't1')
        subject.kill('t1')
        await subject.network.deliver()
        await subject.start(1, CRASHER, 't2')
        subject.network.one_way_losses = 2
        subject.kill('t2')
        await subject.network.deliver()
        subject.clock.advance(records.VERDICT_DELAY_MS)
        for entry in range(3):
            self.assertFalse(await subject.start(entry, CRASHER, 't3'))

    async def test_suspect_does_not_run_while_the_owner_is_unreachable(
        self, _: mock.Mock
    ) -> None:
        """The entry that owns the reservation of a suspect does not answer.

        Without a reservation, two suspects could run on one target.
        """
        subject = Fleet()
        subject.clock.advance(quarantine.OWNER_SETTLE_MS)
        names = [one.incarnation for one in subject.members]
        request = next(
            f'r{number}'
            for number in range(100)
            if ownership.find_owner(f'request r{number}', names) != names[0]
        )
        await subject.start(0, request, 't1')
        subject.kill('t1')
        for member in subject.members[1:]:
            subject.network.gone.add(member.peer_address)
        self.assertFalse(await subject.start(0, request, 't2'))
        self.assertTrue(await subject.start(0, 'other', 't2'))


@mock.patch.object(quarantine, 'logger')
class PartTest(unittest.IsolatedAsyncioTestCase):
    def build(self, *proven: int) -> Fleet:
        """Build entries, of which some have seen the part run well."""
        subject = Fleet()
        for entry in proven:
            subject.entries[entry].set_proof(lambda part: True)
        return subject

    async def test_proof_of_a_peer_clears_a_part(self, _: mock.Mock) -> None:
        """Guards against a part in use that an entry without proof names."""
        for proven in ((0,), (0, 1), ()):
            with self.subTest(proven):
                subject = self.build(*proven)
                for target in ('t1', 't2'):
                    subject.entries[2].record_crash(target, [PART])
                await subject.network.deliver()
                self.assertEqual(
                    {'Clear' if proven else 'Suspect'}, subject.check(PART)
                )

    async def test_proof_does_not_clear_a_condemned_part(
        self, _: mock.Mock
    ) -> None:
        """Guards against a verdict that an outdated proof undoes."""
        subject = self.build(0)
        subject.entries[0].condemn(PART)
        subject.entries[2].record_crash('t1', [PART])
        await subject.network.deliver()
        self.assertIsInstance(
            subject.entries[0].check(PART), messages.Condemned
        )


class RecordsTest(unittest.TestCase):
    def test_verdicts_expire(self) -> None:
        checked = records.QuarantineRecords('e')
        checked.record_death('t', frozenset({'a', 'b'}), frozenset({'a'}), 0)
        checked.record_death('u', frozenset({'c'}), frozenset(), 0)
        now = records.VERDICT_DELAY_MS
        found = [type(checked.check(one, now)) for one in 'abc']
        wanted = [messages.Condemned, messages.Clear, messages.Suspect]
        self.assertEqual(wanted, found)
        now = records.SUSPECT_TTL_MS
        self.assertIsInstance(checked.check('c', now), messages.Clear)
        verdict = checked.check('a', now)
        left = records.CONDEMNED_TTL_MS - now
        self.assertEqual(messages.Condemned(left), verdict)
        now = records.CONDEMNED_TTL_MS
        self.assertIsInstance(checked.check('a', now), messages.Clear)
        self.assertEqual(0, checked.compute_digest(now))

    def test_two_suspects_at_two_deaths_are_not_condemned(self) -> None:
        """An entry without the update about a suspect runs it beside a trial.

        Both requests have both deaths, so neither may be condemned for
        them. The update of the other entry may arrive after the verdict was
        computed.
        """
        here = records.QuarantineRecords('e1')
        there = records.QuarantineRecords('e2')
        here.record_death('t', frozenset({'a', 'b'}), frozenset(), 0)
        here.record_death('u', frozenset({'a'}), frozenset({'a'}), 2000)
        update = there.record_death('u', frozenset({'b'}), frozenset(), 2001)
        self.assertIsInstance(here.check('a', 2999), messages.Suspect)
        self.assertIsInstance(here.check('a', 3000), messages.Condemned)
        here.merge(update, 3001)
        self.assertIsInstance(here.check('a', 3002), messages.Suspect)
        here.record_death('v', frozenset({'b'}), frozenset({'b'}), 4000)
        self.assertIsInstance(here.check('b', 5000), messages.Condemned)

    def test_bounded_records_retain_condemned_requests(self) -> None:
        """A target dies many times, each time with another request.

        The records of these suspects could evict that of a condemned
        request, which would then run again.
        """
        checked = records.QuarantineRecords('e')
        bad = frozenset({'bad'})
        checked.record_death('t', bad, bad, 0)
        for number in range(records.MAX_RECORDS + 10):
            checked.record_death(
                'u', frozenset({f'r{number}'}), frozenset(), 1
            )
        now = records.VERDICT_DELAY_MS
        update = checked.describe_latest(now, 10**6)
        self.assertEqual(records.MAX_RECORDS, len(update.records))
        self.assertIsInstance(checked.check('bad', now), messages.Condemned)

    def test_full_records_are_searched_once_per_update(self) -> None:
        """A target dies with a long queue while the records are full.

        A search of the records for each request of the queue would delay
        every stream of the entry for most of a second.
        """
        checked = records.QuarantineRecords('e')
        names = frozenset(f'a{one}' for one in range(records.MAX_RECORDS))
        checked.record_death('t', names, frozenset(), 0)
        other = records.QuarantineRecords('o')
        queue = frozenset(f'b{one}' for one in range(50))
        update = other.record_death('u', queue, frozenset(), 1)
        with mock.patch.object(
            checked, '_drop_expired', wraps=checked._drop_expired
        ) as search:
            checked.merge(update, 1)
        self.assertEqual(1, search.call_count)
        self.assertEqual(records.MAX_RECORDS, checked.count)
        self.assertIsInstance(checked.check('b0', 1), messages.Suspect)

    def test_fingerprint_separates_its_parts(self) -> None:
        compute = fingerprints.compute_fingerprint
        self.assertEqual(compute('w', 'm', b'x'), compute('w', 'm', b'x'))
        self.assertNotEqual(compute('w', 'ma', b'x'), compute('wm', 'a', b'x'))
        self.assertNotEqual(compute('w', 'm', b'ax'), compute('w', 'ma', b'x'))


INNOCENTS = ('i1', 'i2', 'i3')
REQUESTS = strategies.lists(
    strategies.sampled_from([CRASHER, *INNOCENTS]), max_size=4
)
TARGETS = strategies.sampled_from(['t1', 't2', 't3'])
ENTRIES = strategies.integers(0, 1)
GRANTED = strategies.sampled_from([True, True, False])


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Invariants: few targets die, and no harmless request is condemned.

    Once all entries have a record of the suspect, it crashes at most the
    targets that were running copies of it and one more.
    """

    def __init__(self) -> None:
        super().__init__()
        self.logger_patch = mock.patch.object(quarantine, 'logger')
        self.logger_patch.start()
        self.loop = asyncio.new_event_loop()
        self.fleet = Fleet(2)
        self.fleet.clock.advance(quarantine.OWNER_SETTLE_MS)
        self.allowed_kills: int | None = None
        self.has_lost_updates = False
        self.placed: list[tuple[int, str, str, object | None]] = []

    def teardown(self) -> None:
        self.logger_patch.stop()
        self.loop.close()

    def _run(
        self, coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> typing.Any:
        return self.loop.run_until_complete(coroutine)

    @stateful.rule(entry=ENTRIES, requests=REQUESTS, on=TARGETS)
    def start(self, entry: int, requests: list[str], on: str) -> None:
        for request in requests:
            self._run(self.fleet.start(entry, request, on))

    @stateful.rule(
        entry=ENTRIES,
        request=strategies.sampled_from([CRASHER, *INNOCENTS]),
        on=TARGETS,
    )
    def place(self, entry: int, request: str, on: str) -> None:
        """Place an action, which then waits for its grant."""
        service = self.fleet.entries[entry]
        if self._run(service.reserve_run_on(request, on)):
            trial = service.find_trial(request)
            self.placed.append((entry, request, on, trial))

    @stateful.precondition(lambda self: self.placed)
    @stateful.rule(place=strategies.integers(0, 4), granted=GRANTED)
    def grant(self, place: int, granted: bool) -> None:
        """Send a placed action, or abandon its trial without a grant."""
        entry, request, on, trial = self.placed.pop(place % len(self.placed))
        service = self.fleet.entries[entry]
        if granted and service.may_send(request, on):
            is_suspect = request == CRASHER and self.allowed_kills is not None
            on_trial = service.record_start(request, on)
            assert on_trial or not is_suspect, 'sent after the update'
            self.fleet.running.append((entry, request, on))
        elif trial is not None:
            service.abandon_trial(request, trial)

    @stateful.invariant()
    def no_trial_outlives_its_request(self) -> None:
        active = {(entry, one) for entry, one, *_ in self.placed}
        active |= {(entry, one) for entry, one, _ in self.fleet.running}
        for entry, service in enumerate(self.fleet.entries):
            for request in service._trials:
                assert (entry, request) in active, f'{request} not released'

    @stateful.precondition(
        lambda self: any(one[1] == CRASHER for one in self.fleet.running)
    )
    @stateful.rule(place=strategies.integers(0, 2))
    def crash(self, place: int) -> None:
        """Let the crasher crash a target that runs it."""
        crashing = [one for one in self.fleet.running if one[1] == CRASHER]
        self.fleet.kill(crashing[place % len(crashing)][2])
        if self.allowed_kills is not None:
            self.allowed_kills -= 1
            assert self.allowed_kills >= 0, f'killed {self.fleet.killed}'

    @stateful.rule(place=strategies.integers(0, 9))
    def finish(self, place: int) -> None:
        running = self.fleet.running
        if place < len(running) and running[place][1] != CRASHER:
            self.fleet.finish(place)

    @stateful.rule()
    def apply_updates(self) -> None:
        """Deliver all updates; limit the kills once all entries have them."""
        self._run(self.fleet.network.deliver())
        if self.allowed_kills is None and 'Clear' not in self.fleet.check(
            CRASHER
        ):
            copies = [one for one in self.fleet.running if one[1] == CRASHER]
            trials = [one._trials.get(CRASHER) for one in self.fleet.entries]
            on_trial = any(one and one.started for one in trials)
            self.allowed_kills = len(copies) + (not on_trial)

    @stateful.rule(elapsed=strategies.sampled_from([10, 500, 3000]))
    def advance(self, elapsed: int) -> None:
        """Deliver the messages that are not lost, then advance the clock."""
        self._run(self.fleet.network.deliver())
        self.fleet.clock.advance(elapsed)

    @stateful.rule(lost=strategies.integers(1, 3))
    def lose_updates(self, lost: int) -> None:
        self.fleet.network.one_way_losses += lost
        self.has_lost_updates = True

    @stateful.rule()
    def compare_records(self) -> None:
        for entry in self.fleet.entries:
            self._run(entry.sync_once())
        self._check_innocents()

    @stateful.invariant()
    def innocents_are_not_condemned(self) -> None:
        # If updates are lost, a wrong verdict can last until the next
        # synchronization.
        if not self.has_lost_updates:
            self._check_innocents()

    def _check_innocents(self) -> None:
        for innocent in INNOCENTS:
            verdicts = self.fleet.check(innocent)
            assert 'Condemned' not in verdicts, f'{innocent} condemned'


QuarantineMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=30, deadline=None, derandomize=True
)
QuarantineFuzzTest = QuarantineMachine.TestCase
