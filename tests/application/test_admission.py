"""Tests of limits across entries, by example and by stateful fuzzing."""

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
from thornspool.application import admission
from thornspool.domain.configuration import documents
from thornspool.domain.limits import messages
from thornspool.domain.limits import shares

FAR = 10**9
REQUEST = messages.RequestEstimate('m', 'm', 0, FAR)


class Fleet:
    """Entries that admit requests of one workspace, on a fake clock."""

    def __init__(self, count: int, limits: documents.Limits) -> None:
        self.clock = builders.FakeClock(now=1_000_000)
        self.network = fleet.FakeNetwork()
        self.members = fleet.build_members(count)
        workspace = documents.Workspace('w', limits=limits)
        snapshot = documents.Snapshot(1, {'w': workspace})
        self.views = [fakes.FakeMembers(self.members) for _ in self.members]
        draw = random.Random(1).random
        self.entries = [
            admission.AdmissionService(
                lambda: snapshot,
                view,
                member.incarnation,
                fleet.FakePeers(self.network, member),
                self.clock,
                draw,
                lambda group: messages.Capacity(),
            )
            for member, view in zip(self.members, self.views, strict=True)
        ]
        self.admitted = [0] * count
        self.tickets: list[tuple[int, messages.Ticket]] = []

    def offer(self, entry: int, count: int, keep: bool = False) -> None:
        now = self.clock.now()
        for _ in range(count):
            answer = self.entries[entry].admit('w', REQUEST, now)
            if isinstance(answer, messages.Rejection):
                continue
            self.admitted[entry] += 1
            self.tickets.append((entry, answer.ticket))
            if not keep:
                self.finish(len(self.tickets) - 1)

    def finish(self, index: int, tokens: int = 0) -> None:
        entry, ticket = self.tickets.pop(index)
        now = self.clock.now()
        self.entries[entry].finish(ticket, tokens, now)

    async def step(self) -> None:
        self.clock.advance(admission.SHARE_INTERVAL_MS)
        for entry, member in zip(self.entries, self.members, strict=True):
            if member.peer_address not in self.network.gone:
                await entry.exchange_shares(self.clock.now())
        await self.network.deliver()

    async def run(self, offers: list[float], seconds: float) -> list[int]:
        """Offer requests to each entry at these rates; return the admitted."""
        before = list(self.admitted)
        due = [0.0] * len(offers)
        for _ in range(int(seconds * 1000 / admission.SHARE_INTERVAL_MS)):
            await self.step()
            for entry, rate in enumerate(offers):
                due[entry] += rate * admission.SHARE_INTERVAL_MS / 1000
                self.offer(entry, int(due[entry]))
                due[entry] -= int(due[entry])
        return [
            new - old for new, old in zip(self.admitted, before, strict=True)
        ]


@mock.patch.object(admission, 'logger')
class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def test_limit_holds_for_any_distribution_of_callers(
        self, _: mock.Mock
    ) -> None:
        """Callers use one, some or all entries, or change to others.

        If each entry had a fixed share of the limit, a caller that uses one
        of nine entries would get only a ninth of it.
        """
        limit = 100.0
        for used, total in ((1, 1), (1, 9), (2, 9), (9, 9), (5, 40)):
            with self.subTest(used=used, total=total):
                subject = Fleet(total, documents.Limits(limit))
                offers = [0.0] * total
                for entry in range(used):
                    offers[entry] = 300.0 * (entry + 1) / used
                await subject.run(offers, 12)
                admitted = sum(await subject.run(offers, 10))
                self.assertAlmostEqual(10 * limit, admitted, delta=limit)
                moved = offers[::-1]
                await subject.run(moved, 6)
                admitted = sum(await subject.run(moved, 10))
                self.assertAlmostEqual(10 * limit, admitted, delta=limit)

    async def test_token_limit_holds_over_entries(self, _: mock.Mock) -> None:
        subject = Fleet(3, documents.Limits(tokens_per_s=1000.0))
        total = 0
        for step in range(150):
            await subject.step()
            for entry in range(3):
                subject.offer(entry, 5, keep=True)
            for index in reversed(range(len(subject.tickets))):
                subject.finish(index, 50)
                total += 50 * (step >= 100)
        self.assertAlmostEqual(10 * 1000, total, delta=1000)

    async def test_concurrency_holds_over_entries(self, _: mock.Mock) -> None:
        """Callers keep more requests open than the limit allows.

        Each entry may admit one request without a grant, so the bound is the
        limit plus one for each entry.
        """
        subject = Fleet(4, documents.Limits(concurrency=20))
        for _ in range(60):
            await subject.step()
            for entry in range(4):
                subject.offer(entry, 3, keep=True)
        self.assertLessEqual(18, len(subject.tickets))
        self.assertLessEqual(len(subject.tickets), 20 + 4)

    async def test_unresponsive_owner_leaves_equal_shares(
        self, _: mock.Mock
    ) -> None:
        """The entry that owns a limit crashes and is still in view.

        Until the crash is detected, the other entries must not limit their
        callers to the minimum share.
        """
        subject = Fleet(3, documents.Limits(90.0))
        offers = [100.0, 100.0, 100.0]
        await subject.run(offers, 10)
        owner = admission.ownership.find_owner(
            'w', [one.incarnation for one in subject.members]
        )
        gone = next(
            index
            for index, one in enumerate(subject.members)
            if one.incarnation == owner
        )
        subject.network.gone.add(subject.members[gone].peer_address)
        offers[gone] = 0.0
        await subject.run(offers, 7)
        admitted = sum(await subject.run(offers, 10))
        self.assertAlmostEqual(600, admitted, delta=60)

    def test_request_with_unattainable_deadline_is_refused(
        self, _: mock.Mock
    ) -> None:
        subject = Fleet(1, documents.Limits())
        now = subject.clock.now()
        subject.entries[0].observe('m', 'm', 500, now)
        request = messages.RequestEstimate('m', 'm', 0, now + 499)
        answer = subject.entries[0].admit('w', request, now)
        assert isinstance(answer, messages.Rejection)
        self.assertIs(messages.Reason.DEADLINE, answer.reason)
        self.assertGreater(answer.retry_after_ms, 0)

    async def test_reports_stay_within_their_rate_limit(
        self, _: mock.Mock
    ) -> None:
        """Very many workspaces are in use on one entry.

        Reports must not use up the bandwidth for control messages.
        """
        subject = Fleet(2, documents.Limits())
        workspaces = {
            f'w{number}': documents.Workspace(
                f'w{number}', limits=documents.Limits(1.0)
            )
            for number in range(500)
        }
        entry = subject.entries[0]
        entry._configuration = lambda: documents.Snapshot(1, workspaces)
        seconds = 20
        line_count = 0
        original_collect = entry._limiter.collect_reports

        def count(now: int, max_lines: int) -> typing.Any:
            nonlocal line_count
            collected = original_collect(now, max_lines)
            line_count += len(collected)
            return collected

        entry._limiter.collect_reports = count  # type: ignore[method-assign]
        for _ in range(seconds * 5):
            for name in workspaces:
                entry.admit(name, REQUEST, subject.clock.now())
            await subject.step()
        allowed = seconds * admission.REPORT_LINES_PER_S
        self.assertLessEqual(
            line_count, allowed + admission.REPORT_LINES_BURST
        )
        self.assertGreaterEqual(line_count, 0.9 * allowed)


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Oracle: admitted <= limit * (time + uncertain time) + the burst.

    Time is uncertain while the last report of an entry failed, and from a
    change of any view until the grants of former owners have expired. Each
    distinct view may then have a different owner.
    """

    LIMIT = 20.0
    COUNT = 4

    def __init__(self) -> None:
        super().__init__()
        self.log_patch = mock.patch.object(admission, 'logger')
        self.log_patch.start()
        self.fleet = Fleet(self.COUNT, documents.Limits(self.LIMIT))
        self.loop = asyncio.new_event_loop()
        self.started = self.fleet.clock.now()
        self.extra_ms = 0
        self.changed_at = -FAR
        self.views_seen = 1

    def teardown(self) -> None:
        self.log_patch.stop()
        self.loop.close()

    @stateful.rule(
        entry=strategies.integers(0, COUNT - 1),
        count=strategies.integers(1, 60),
    )
    def offer(self, entry: int, count: int) -> None:
        self.fleet.offer(entry, count)

    @stateful.rule(
        steps=strategies.integers(1, 40),
        entry=strategies.integers(0, COUNT - 1),
        count=strategies.integers(0, 20),
    )
    def advance(self, steps: int, entry: int, count: int) -> None:
        for _ in range(steps):
            self.fleet.offer(entry, count)
            self.loop.run_until_complete(self.fleet.step())
            self._count_uncertain_time()

    @stateful.rule(count=strategies.integers(1, 6))
    def lose_replies(self, count: int) -> None:
        self.fleet.network.lose_replies += count

    @stateful.rule(
        entry=strategies.integers(0, COUNT - 1),
        other=strategies.integers(0, COUNT - 1),
    )
    def change_view(self, entry: int, other: int) -> None:
        """Remove an entry from the view of another, or add it again."""
        if entry == other:
            return
        view = self.fleet.views[entry]
        member = self.fleet.members[other]
        present = set(view.members) ^ {member}
        view.members = tuple(sorted(present, key=lambda one: one.host))
        self.changed_at = self.fleet.clock.now()
        views = {one.members for one in self.fleet.views}
        self.views_seen = max(self.views_seen, len(views))

    def _count_uncertain_time(self) -> None:
        step = admission.SHARE_INTERVAL_MS
        if self.fleet.network.failing:
            self.extra_ms += step
        views = {one.members for one in self.fleet.views}
        age = self.fleet.clock.now() - self.changed_at
        if len(views) > 1 or age <= 2 * shares.GRANT_TTL_MS:
            self.extra_ms += self.views_seen * step
        else:
            self.views_seen = 1

    @stateful.invariant()
    def stays_within_the_bound(self) -> None:
        elapsed = self.fleet.clock.now() - self.started + self.extra_ms
        burst = self.LIMIT + self.COUNT
        bound = self.LIMIT * elapsed / 1000 + burst
        assert sum(self.fleet.admitted) <= bound + 1e-6, (
            f'{sum(self.fleet.admitted)} admitted, bound {bound}'
        )


class StableLimitsMachine(LimitsMachine):
    """The same while views agree and replies arrive: no uncertain time."""

    def _count_uncertain_time(self) -> None:
        pass

    def change_view(self, entry: int, other: int) -> None:
        pass

    lose_replies = None  # type: ignore[assignment]


for machine in (LimitsMachine, StableLimitsMachine):
    machine.TestCase.settings = settings(
        max_examples=25,
        stateful_step_count=25,
        deadline=None,
        derandomize=True,
    )

LimitsFuzzTest = LimitsMachine.TestCase
StableLimitsFuzzTest = StableLimitsMachine.TestCase
