"""Tests of running actions over fakes with faults."""

from __future__ import annotations

import asyncio
import typing
import unittest

from tests.application import builders
from tests.application import fakes

if typing.TYPE_CHECKING:
    from thornspool.application import actions


class ActionServiceTest(unittest.TestCase):
    def test_runs_joins_and_replays(self) -> None:
        fleet = builders.build_fleet()

        async def work() -> list[actions.ActionResult]:
            request = fleet.build_request()
            both = await asyncio.gather(
                *(entry.run(request) for entry in fleet.entries * 2)
            )
            later = await fleet.entries[1].run(request)
            self.assertTrue(await fleet.entries[0].drain(5_000))
            self.assertTrue(await fleet.entries[1].drain(5_000))
            self.assertTrue(await fleet.entries[2].drain(5_000))
            return [*both, later]

        told = fakes.run(fleet.clock, work())
        self.assertEqual({'ActionDone': 7}, builders.count_kinds(told))
        self.assertEqual(1, len({answer.body for answer in told}))
        self.assertEqual(1, sum(not answer.replayed for answer in told))
        self.assertEqual([1], list(fleet.services.executions.values()))
