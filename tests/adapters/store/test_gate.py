"""Tests of the gate before the platform."""

from __future__ import annotations

import unittest

from thornspool.adapters.store import gate
from thornspool.application import exceptions
from thornspool.domain.actions import keys
from thornspool.domain.actions import writer


def build_gate() -> gate.Gate:
    settings = gate.GateSettings(
        patience_ms=10, backoff_base_ms=100, backoff_cap_ms=800
    )
    return gate.Gate(settings, lambda: 1.0)


class GateTest(unittest.TestCase):
    def test_waits_grow_to_a_cap_and_one_probe_passes(self) -> None:
        """The platform fails for a long time.

        Calls back off further with each failure and one probe at a time
        finds out when it is back; then all calls pass again at once.
        """
        guard = build_gate()
        guard.record_failure(0)
        self.assertEqual(0, guard.enter(0))
        now = 0
        for delay in (100, 200, 400, 800, 800):
            guard.record_failure(now)
            with self.assertRaises(exceptions.PlatformError):
                guard.enter(now + delay - 11)
            now += delay
            self.assertEqual(0, guard.enter(now))
            with self.assertRaises(exceptions.PlatformError):
                guard.enter(now)
        guard.record_success()
        self.assertEqual([0, 0], [guard.enter(now), guard.enter(now)])

    def test_probes_of_a_fleet_do_not_grow_with_it(self) -> None:
        """The platform fails for a long time before a large fleet.

        Probing as often as a small one would keep it down; 400 calls a
        second are a fifth of what it takes.
        """
        settings = gate.GateSettings()
        for entries in (1, 9, 50, 350, 1_000):
            with self.subTest(entries):
                guard = gate.Gate(settings, lambda: 0.5)
                guard.record_success(entries)
                for _ in range(20):
                    guard.record_failure(0)
                wait = guard.read_backoff(0)
                self.assertIsNotNone(wait)
                self.assertLessEqual(entries * 1000 / (wait or 1), 401)
                self.assertLessEqual(wait or 0, max(125, entries * 2.5))

    def test_cancelled_probe_frees_the_gate(self) -> None:
        """A caller gives up while its call is the probe.

        The gate would stay shut for ever if the probe were not forgotten.
        """
        guard = build_gate()
        for _ in range(2):
            guard.record_failure(0)
        guard.enter(200)
        guard.release()
        self.assertEqual(0, guard.enter(200))

    def test_the_budget_lets_one_entry_write_every_ledger_page(self) -> None:
        """One entry is alone, or the preferred writer of all pages.

        A budget under the pace of the pages held writes back while the
        platform was up, and callers were told that it can not be reached.
        """
        layout, pace = keys.Layout(), writer.Pace()
        writes_per_s = layout.buckets * 1000 / pace.write_ms
        budget = gate.GateSettings().calls_per_s
        self.assertGreaterEqual(budget, 1.5 * writes_per_s)
