"""Tests of the adaptive bound, driven as the load bench drives it."""

from __future__ import annotations

import unittest

from thornspool.domain.limits import concurrency
from thornspool.domain.limits import messages
from tools import bench_load

FAR = 10**9


class GroupLimitTest(unittest.TestCase):
    def test_goodput_under_overload(self) -> None:
        """More requests come than the targets can serve.

        Unbounded, all of them queue and every answer is late. The bound
        must keep most of the capacity, and take none of it at low load.
        """
        cases = ((0.5, 0.45), (1.0, 0.9), (2.0, 0.9), (3.0, 0.9))
        for load, least in cases:
            with self.subTest(load=load):
                goodput = bench_load.measure_goodput(load, True, 1)
                self.assertGreaterEqual(goodput, least)
        self.assertLess(bench_load.measure_goodput(2.0, False, 1), 0.1)

    def test_wrong_estimates_cost_little(self) -> None:
        """Callers say that requests take a quarter of the truth, or more."""
        for factor in bench_load.WRONG_FACTORS:
            with self.subTest(factor=factor):
                estimate = round(bench_load.SERVICE_MS * factor)
                goodput = bench_load.measure_goodput(2.0, True, 1, estimate)
                self.assertGreaterEqual(goodput, 0.9)

    def test_prediction_recovers_after_an_overload(self) -> None:
        """Answers took very long, then traffic stops.

        Judged by old measurements alone, no request would ever be admitted
        again, and nothing new would be measured.
        """
        group = concurrency.GroupLimit()
        for now in range(0, 8000, 100):
            took = 100 if now < 5000 else 900
            group.in_flight += 1
            group.finish(now - took, 100, True, now)
        group.in_flight = int(group.limit) - 1
        refused = group.admit(100, 8000 + 500, 8000)
        self.assertIsInstance(refused, messages.Refused)
        group.in_flight = 0
        self.assertIsNone(group.admit(100, 8000 + 500, 8000))

    def test_one_overload_is_cut_once(self) -> None:
        """All requests in flight fail together.

        Cut for each of them, the bound would fall to one.
        """
        group = concurrency.GroupLimit(limit=100.0, in_flight=100)
        for _ in range(100):
            group.finish(0, 100, False, 500)
        self.assertEqual(90.0, group.limit)

    def test_noise_of_short_calls_is_no_overload(self) -> None:
        """Calls of 4 ms take 4 to 20 ms while the entry is busy otherwise.

        Few are in flight and no target has a queue. Taken for overload, the
        bound fell to one and callers were refused under almost no load.
        """
        group = concurrency.GroupLimit()
        now = 0
        for number in range(600):
            self.assertIsNone(group.admit(4, now + 1000, now))
            self.assertIsNone(group.admit(4, now + 1000, now))
            self.assertIsNone(group.admit(4, now + 1000, now))
            took = 4 if number % 60 < 30 else 20
            for _ in range(3):
                group.finish(now, 4, True, now + took)
            now += took
        self.assertGreaterEqual(group.limit, 16)
