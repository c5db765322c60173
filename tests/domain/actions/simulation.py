"""A simulation of entries, network, platform and targets for fuzzing.

Each message and call in flight is an item that the fuzzer delivers,
duplicates, drops, delays or loses in any order. The oracle checks each
execution and each answer when it happens.
"""

from __future__ import annotations

import itertools
import typing

import attrs

from thornspool.domain.actions import events
from thornspool.domain.actions import keys
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results
from thornspool.domain.actions import runner
from thornspool.domain.actions import writer

LAYOUT = keys.Layout(buckets=1, slots=2)
# The slot of the last key shares its page with the slot of the others.
SLOTS = {'a': 4, 'b': 4, 'dedup': 4, 'later': 6}
MODES = ('deliver', 'double', 'lose', 'drop', 'late')


@attrs.define
class Item:
    """A message or call in flight; with an empty owner it needs no entry."""

    owner: str
    act: typing.Callable[[str], None]
    repeatable: bool = True


class Entry:
    """One process with its runner, page writers and timers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.suspended = False
        self.runner = runner.Runner()
        self.writers: dict[int, writer.PageWriter] = {}
        self.replies: dict[int, typing.Callable[..., None]] = {}
        self.timers: list[tuple[int, int]] = []
        self.deadlines: dict[str, int] = {}
        self.requests: dict[str, messages.GrantRequest] = {}
        self.via_by_attempt: dict[str, int] = {}
        self.unsettled: dict[str, messages.Proposal] = {}


class Simulation:
    """The simulated system and its oracle."""

    def __init__(self, size: int = 3) -> None:
        self.now = 0
        self.down = False
        self.items: list[Item] = []
        self.pages: dict[str, tuple[records.Page, int]] = {}
        self.numbers = itertools.count(1)
        self.entries = [self._create() for _ in range(size)]
        self.key_of: dict[str, str] = {}
        self.digest_of: dict[str, str] = {}
        self.executions: dict[str, list[str]] = {}
        self.maybe_lost: set[str] = set()
        self.not_run: set[str] = set()
        self.results_by_attempt: dict[str, results.ActionResult] = {}

    def _create(self) -> Entry:
        return Entry(f'entry-{next(self.numbers)}')

    def find(self, name: str) -> Entry | None:
        return next((e for e in self.entries if e.name == name), None)

    # Actions of callers, operators and time.

    def send(self, index: int, key: str, via: int, digest: str) -> str:
        """Send a key to an entry; another entry proposes its grant."""
        entry = self.entries[index]
        attempt = f'{key}-{next(self.numbers)}'
        if entry.suspended:
            return attempt
        self.key_of[attempt] = key
        self.digest_of[attempt] = digest
        event = events.ActionRequested(
            attempt,
            keys.PageAddress(0, SLOTS.get(key, 4)),
            key,
            digest,
            self.now + 2_000,
            2,
            key == 'dedup',
            bound_time=1 if key.startswith('bound') else 0,
        )
        entry.deadlines[attempt] = event.deadline
        entry.via_by_attempt[attempt] = via
        self.execute_commands(entry, entry.runner.request(event, self.now))
        return attempt

    def step(self, number: int, mode: str) -> None:
        """Process one item in flight."""
        if not self.items:
            return
        index = number % len(self.items)
        item = self.items[index]
        owner = self.find(item.owner)
        if owner is not None and owner.suspended:
            return
        if mode != 'double' or not item.repeatable:
            del self.items[index]
        if owner is not None or not item.owner:
            item.act('deliver' if mode == 'double' else mode)

    def advance(self, milliseconds: int) -> None:
        """Advance the time; suspended entries process no timers."""
        self.now += milliseconds
        for entry in self.entries:
            if entry.suspended:
                continue
            expired = [timer for timer in entry.timers if timer[0] <= self.now]
            entry.timers = [
                timer for timer in entry.timers if timer[0] > self.now
            ]
            for _, slot in expired:
                self.feed_writer(entry, slot, writer.TimerExpired())
            overdue = [
                a for a, at in entry.deadlines.items() if at <= self.now
            ]
            for attempt in overdue:
                del entry.deadlines[attempt]
                self.feed(entry, events.DeadlinePassed(attempt))

    def propose_locally(self, index: int) -> None:
        """Have an entry write its own grants and unconfirmed records."""
        entry = self.entries[index]
        if entry.suspended:
            return
        for attempt in list(entry.requests):
            if entry.runner.has_attempt(attempt):
                entry.via_by_attempt[attempt] = -1
                self.propose(entry, entry, entry.requests[attempt])
        for proposal in list(entry.unsettled.values()):
            self.propose(entry, entry, proposal)

    def time_out_ledger(self, index: int) -> None:
        """Time out all grant requests of an entry."""
        entry = self.entries[index]
        if not entry.suspended:
            for attempt in list(entry.requests):
                self.feed(entry, events.LedgerTimedOut(attempt))

    def kill(self, index: int) -> None:
        """Replace a process by a new one."""
        self.entries[index] = self._create()

    def settle(self) -> None:
        """End all faults and run until nothing is open or in flight."""
        self.down = False
        for entry in self.entries:
            entry.suspended = False
        for _ in range(60):
            while self.items:
                self.step(0, 'deliver')
            self.advance(200)
            for index, entry in enumerate(self.entries):
                if entry.unsettled:
                    self.propose_locally(index)
            if not self.items and not any(
                e.runner.open_count or e.timers for e in self.entries
            ):
                return
        raise AssertionError('the simulation did not settle')

    # Behavior of entries.

    def feed(self, entry: Entry, event: events.RunnerEvent) -> None:
        self.execute_commands(entry, entry.runner.handle(event, self.now))

    def execute_commands(
        self, entry: Entry, commands: list[events.RunnerCommand]
    ) -> None:
        for command in commands:
            if isinstance(command, events.Answer):
                self.answer(command)
            elif isinstance(command, events.RequestGrant):
                self.request(entry, command)
            elif isinstance(command, events.Join):
                entry.deadlines[command.running] = self.now + 2_000
            elif isinstance(command, events.QueryHolder):
                self.query_holder(entry, command)
            elif isinstance(command, events.Dispatch):
                self.call(entry, command.attempt)
            elif isinstance(command, events.Settle):
                self.settle_later(entry, command.proposal)

    def settle_later(self, entry: Entry, proposal: messages.Proposal) -> None:
        entry.unsettled[proposal.attempt] = proposal
        via = self.entries[next(self.numbers) % len(self.entries)]
        self.propose(entry, via, proposal)

    def request(self, entry: Entry, command: events.RequestGrant) -> None:
        key = self.key_of[command.attempt]
        digest = self.digest_of[command.attempt]
        request = messages.GrantRequest(
            0,
            SLOTS[key],
            key,
            command.attempt,
            entry.name,
            entry.name,
            digest,
            0,
            command.displaces,
            command.uncertain,
        )
        entry.requests[command.attempt] = request
        via = entry.via_by_attempt[command.attempt] % len(self.entries)
        self.propose(entry, self.entries[via], request)

    def propose(
        self, entry: Entry, via: Entry, proposal: messages.Proposal
    ) -> None:
        def reply(verdict: messages.Verdict) -> None:
            self.items.append(
                Item(
                    entry.name,
                    lambda _: self.receive_verdict(entry, proposal, verdict),
                )
            )

        def receive(mode: str) -> None:
            if mode not in ('lose', 'drop'):
                number = next(self.numbers)
                via.replies[number] = reply
                received = writer.ProposalReceived(number, proposal)
                self.feed_writer(via, proposal.slot, received)

        self.items.append(Item(via.name, receive))

    def receive_verdict(
        self,
        entry: Entry,
        proposal: messages.Proposal,
        verdict: messages.Verdict,
    ) -> None:
        unavailable = isinstance(verdict, messages.LedgerUnavailable)
        if isinstance(proposal, messages.GrantRequest):
            if unavailable and entry.via_by_attempt[proposal.attempt] < 0:
                verdict = attrs.evolve(verdict, maybe_written=True)
            answered = events.VerdictReceived(proposal.attempt, verdict)
            self.feed(entry, answered)
        elif not unavailable:
            entry.unsettled.pop(proposal.attempt, None)
            self.feed(entry, events.RecordConfirmed(proposal.attempt))

    def query_holder(self, entry: Entry, command: events.QueryHolder) -> None:
        def reply(report: messages.AttemptReport) -> None:
            answered = events.HolderReported(command.attempt, report)
            self.items.append(
                Item(entry.name, lambda _: self.feed(entry, answered))
            )

        def receive(mode: str) -> None:
            holder = self.find(command.runner)
            gone = messages.AttemptState.GONE
            if mode in ('lose', 'drop') or holder is None or holder.suspended:
                reply(messages.AttemptReport(command.holder, gone))
            else:
                reply(holder.runner.report(command.holder))

        self.items.append(Item('', receive))

    # Behavior of the platform and the targets.

    def feed_writer(
        self, entry: Entry, slot: int, event: writer.WriterEvent
    ) -> None:
        if slot not in entry.writers:
            entry.writers[slot] = writer.PageWriter(slot, writer.WriteLimits())
        for command in entry.writers[slot].handle(event, self.now):
            if isinstance(command, writer.Reply):
                entry.replies.pop(command.number)(command.verdict)
            elif isinstance(command, writer.SetTimer):
                entry.timers.append((command.at, slot))
            elif isinstance(command, writer.ReadPage):
                self.read(entry, slot)
            else:
                self.write(entry, slot, command)

    def read(self, entry: Entry, slot: int) -> None:
        key = keys.format_page_key(keys.PageAddress(0, slot), LAYOUT)

        def act(mode: str) -> None:
            if self.down or mode == 'lose':
                self.feed_writer(entry, slot, writer.ReadFailed(200))
                return
            found = self.pages.get(key, (records.EMPTY_PAGE, 0))
            event = writer.PageRead(*found)
            if mode == 'deliver':
                self.feed_writer(entry, slot, event)
                return
            later = Item(
                entry.name,
                lambda _: self.feed_writer(entry, slot, event),
                False,
            )
            self.items.append(later)

        self.items.append(Item(entry.name, act, False))

    def write(
        self, entry: Entry, slot: int, command: writer.WritePage
    ) -> None:
        key = keys.format_page_key(keys.PageAddress(0, slot), LAYOUT)

        def apply_write() -> writer.WriterEvent:
            _, version = self.pages.get(key, (records.EMPTY_PAGE, 0))
            if version != command.expected_version:
                return writer.WriteConflicted()
            self.pages[key] = (command.page, version + 1)
            return writer.WriteAccepted(version + 1)

        def act(mode: str) -> None:
            event: writer.WriterEvent = writer.WriteUnanswered()
            if mode == 'late':
                self.items.append(
                    Item('', lambda _: discard(apply_write()), False)
                )
            elif mode != 'drop' and not self.down:
                applied = apply_write()
                event = applied if mode == 'deliver' else event
            answer = Item(
                entry.name,
                lambda _: self.feed_writer(entry, slot, event),
                False,
            )
            self.items.append(answer)

        self.items.append(Item('', act, False))

    def call(self, entry: Entry, attempt: str) -> None:
        key = self.key_of[attempt]

        def act(mode: str) -> None:
            event: events.RunnerEvent = events.TargetResponseLost(attempt)
            if mode == 'drop':
                event = events.TargetUnreachable(attempt)
            elif mode == 'late':
                self.maybe_lost.add(key)
            else:
                body = self.execute(key, attempt)
                if mode == 'lose':
                    self.maybe_lost.add(key)
                else:
                    outcome = records.Outcome(200, 'text/plain', body)
                    event = events.TargetAnswered(attempt, outcome)
            answer = Item(entry.name, lambda _: self.feed(entry, event), False)
            self.items.append(answer)

        self.items.append(Item('', act, False))

    # Oracle.

    def execute(self, key: str, attempt: str) -> bytes:
        assert attempt not in self.not_run, f'{attempt} ran after "not run"'
        ran = self.executions.setdefault(key, [])
        if key != 'dedup' or not ran:
            ran.append(attempt)
        assert len(ran) == 1, f'{key} ran {ran}'
        return ran[0].encode()

    def answer(self, command: events.Answer) -> None:
        result = command.result
        key = self.key_of[command.attempt]
        ran = self.executions.get(key, [])
        self.results_by_attempt[command.attempt] = result
        if isinstance(result, results.ActionDone):
            assert result.body == ran[0].encode(), f'{key}: {result}'
            bodies = {self.digest_of[a] for a in (ran[0], command.attempt)}
            assert len(bodies) == 1, f'{command.attempt} got {ran[0]}'
        if isinstance(result, results.ActionNotRun):
            self.not_run.add(command.attempt)
            assert command.attempt not in ran, f'{command.attempt} had run'
            assert not (result.key_checked and ran), f'{key} had run'

    def may_stay_unknown(self, key: str) -> bool:
        """Return whether the result of a key may stay unknown forever."""
        if key not in SLOTS:
            return key in self.maybe_lost
        address = keys.PageAddress(0, SLOTS[key])
        page, _ = self.pages[keys.format_page_key(address, LAYOUT)]
        if page.slot > address.slot:
            return True
        record = page.records[key]
        if record.state is records.RecordState.GRANTED:
            return self.find(record.runner) is None
        return key in self.maybe_lost


def discard(_: object) -> None:
    """Discard a value."""
