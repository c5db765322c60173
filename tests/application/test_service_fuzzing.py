"""Histories of calls of which one crashes targets, against an oracle."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from tests import builders
from tests.application import crash_builders
from tests.application import fakes
from thornspool.application import calls
from thornspool.application import requests
from thornspool.domain.actions import results

ENTRIES = 3
INNOCENTS = tuple(b'{"note": %d}' % number for number in range(4))
BODIES = (crash_builders.CRASHER, *INNOCENTS)
PLATFORM_FAULTS = ('', 'unknown-done', 'unknown-late', 'unknown-never')
NEWS_TRAVEL_MS = 100
PAUSE_S = 1.5
AHEAD_MS = 20_000

SENDS = strategies.lists(
    strategies.tuples(
        # At the same moment, or once the news are there.
        strategies.sampled_from((0, 0, NEWS_TRAVEL_MS, 700, 3_000)),
        strategies.integers(0, ENTRIES - 1),
        strategies.sampled_from(BODIES),
        # Answers that targets lose while they live on.
        strategies.sampled_from((0, 0, 0, 1, 2)),
        strategies.sampled_from(PLATFORM_FAULTS),
    ),
    min_size=1,
    max_size=16,
)


class History:
    """Sends calls as drawn and notes what each was told."""

    def __init__(self, operation, crash_ms, latency_ms) -> None:
        self.fleet = crash_builders.CrashFleet(ENTRIES, targets=12)
        self.fleet.services.crash_ms = crash_ms
        self.fleet.services.latency_ms = 20
        self.fleet.network.latency_ms = latency_ms
        self.operation = operation
        self.most = 2
        self.told = {}
        self.seed = 0

    async def send(self, entry, body):
        self.seed += 1
        wall = self.fleet.clock.wall() + AHEAD_MS
        key = builders.build_key(self.seed, wall)
        told = await self.fleet.send(entry, body, self.operation, key)
        self.told[key] = told
        return told

    async def run(self, sends) -> None:
        self.fleet.start()
        under_way = []
        for wait_ms, entry, body, breaking, fault in sends:
            await asyncio.sleep(wait_ms / 1000)
            self.fleet.services.breaking += breaking
            if fault:
                self.fleet.platform.faults.append(fault)
            work = asyncio.ensure_future(self.send(entry, body))
            under_way.append(work)
            await asyncio.sleep(0)
            self.check_innocents()
            if breaking:
                # A target that lost an answer is passed over for a moment,
                # at the entry that saw it alone.
                self.most = ENTRIES + 1
        await asyncio.gather(*under_way)
        self.fleet.services.breaking = 0
        self.fleet.platform.faults.clear()
        await asyncio.sleep(PAUSE_S)
        self.check_innocents()
        await self.check_end()

    def check_innocents(self) -> None:
        for body in INNOCENTS:
            verdicts = self.fleet.check(body, self.operation)
            assert 'Condemned' not in verdicts, f'{body!r} condemned'

    async def check_end(self) -> None:
        """Check that the crasher stops and the innocents are served."""
        for number in range(ENTRIES * 2):
            last = await self.send(number % ENTRIES, crash_builders.CRASHER)
            await asyncio.sleep(PAUSE_S)
        assert isinstance(last, requests.RequestRefused), last
        dead = self.fleet.services.dead
        assert len(dead) <= self.most, f'killed {dead}'
        for number, body in enumerate(INNOCENTS):
            last = await self.send(number % ENTRIES, body)
            assert isinstance(last, results.ActionDone), f'{body!r}: {last}'
        self.check_keys()

    def check_keys(self) -> None:
        """Check that no action was sent twice, nor one that was denied."""
        if self.operation != 'hold':
            return
        reached = self.fleet.services.keys
        for key, told in self.told.items():
            assert reached[key] <= 1, f'{key} sent {reached[key]} times'
            denied = isinstance(
                told, results.ActionNotRun | requests.RequestRefused
            )
            assert not (denied and reached[key]), f'{key} ran: {told}'


class ServiceFuzzTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        SENDS,
        strategies.sampled_from(('status', 'hold', 'pay')),
        strategies.sampled_from((1, 5, 50)),
        strategies.sampled_from((1, 10)),
    )
    def test_one_call_costs_two_targets(
        self, sends, operation, crash_ms, latency_ms
    ) -> None:
        """A call crashes what runs it, and is sent as its callers like.

        Other calls share its targets, answers are lost beside it, and
        writes of the ledger are. Whatever the order, two targets die, the
        other calls are served, and what was denied did not run.
        """
        history = History(operation, crash_ms, latency_ms)
        # A read that goes past a busy target may cost one target more, as
        # the page on load says.
        with mock.patch.object(calls, 'MARGIN', 99):
            fakes.run(history.fleet.clock, history.run(sends))
