"""Tests of the rate limit and backoff of calls to the platform."""

from __future__ import annotations

import unittest

from thornspool.adapters.store import gate
from thornspool.application import exceptions
from thornspool.domain.actions import keys
from thornspool.domain.actions import writer


def build_gate() -> gate.Gate:
    settings = gate.GateSettings(
        max_wait_ms=10, backoff_base_ms=100, backoff_cap_ms=800
    )
    return gate.Gate(settings, lambda: 1.0)


class GateTest(unittest.TestCase):
    def test_backoff_grows_to_a_cap_and_admits_one_probe(self) -> None:
        """Guards against retries that prolong an outage.

        During a long outage the backoff grows with each failure and one
        probe at a time is admitted. After its success all calls are admitted.
        """
        tested_gate = build_gate()
        tested_gate.record_failure(0)
        self.assertEqual(0, tested_gate.admit(0))
        now = 0
        for delay in (100, 200, 400, 800, 800):
            tested_gate.record_failure(now)
            with self.assertRaises(exceptions.PlatformError):
                tested_gate.admit(now + delay - 11)
            now += delay
            self.assertEqual(0, tested_gate.admit(now))
            with self.assertRaises(exceptions.PlatformError):
                tested_gate.admit(now)
        tested_gate.record_success()
        self.assertEqual(
            [0, 0], [tested_gate.admit(now), tested_gate.admit(now)]
        )

    def test_probe_rate_is_independent_of_the_fleet_size(self) -> None:
        """Guards against probes of a large fleet that prolong an outage.

        With the probe interval of a small fleet, a large one would overload
        the platform. 400 calls per second are a fifth of its capacity.
        """
        settings = gate.GateSettings()
        for entries in (1, 9, 50, 350, 1_000):
            with self.subTest(entries):
                tested_gate = gate.Gate(settings, lambda: 0.5)
                tested_gate.record_success(entries)
                for _ in range(20):
                    tested_gate.record_failure(0)
                delay_ms = tested_gate.compute_backoff_ms(0)
                self.assertIsNotNone(delay_ms)
                self.assertLessEqual(entries * 1000 / (delay_ms or 1), 401)
                self.assertLessEqual(delay_ms or 0, max(125, entries * 2.5))

    def test_cancelled_probe_releases_the_gate(self) -> None:
        """Guards against a gate that rejects calls forever.

        A call is cancelled while it is the probe.
        """
        tested_gate = build_gate()
        for _ in range(2):
            tested_gate.record_failure(0)
        tested_gate.admit(200)
        tested_gate.release()
        self.assertEqual(0, tested_gate.admit(200))

    def test_rate_limit_permits_writes_of_all_ledger_pages(self) -> None:
        """Guards against rejected writes while the platform is available.

        A single entry, or the preferred writer of all pages, writes every
        ledger page. With a lower rate limit, writes were delayed and callers
        received the error that the platform is unreachable.
        """
        layout, limits = keys.Layout(), writer.WriteLimits()
        writes_per_s = layout.buckets * 1000 / limits.write_ms
        rate_limit = gate.GateSettings().calls_per_s
        self.assertGreaterEqual(rate_limit, 1.5 * writes_per_s)
