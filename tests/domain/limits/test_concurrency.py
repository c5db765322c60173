"""Tests of the adaptive bound, driven as the load bench drives it."""

from __future__ import annotations

import unittest

from thornspool.domain.limits import concurrency
from thornspool.domain.limits import messages
from tools import bench_load

FAR = 10**9


KIND = 'service/operation'


def ask(deadline=FAR, units=0):
    return messages.Asked('service', KIND, units, deadline)


def teach(group, times_ms, now=0):
    """Let answers come one after the other; returns the time after them."""
    for took in times_ms:
        group.admit(ask(), now)
        now += took
        group.observe(KIND, took, now)
        group.release()
    return now


class GroupLimitTest(unittest.TestCase):
    def test_goodput_under_overload(self) -> None:
        """More requests come than the targets can serve.

        Unbounded, all of them queue and every answer is late. The bound
        must keep most of the capacity, and take none of it at low load.
        What an answer usually takes is learnt on the way: learnt from the
        overload itself, every request would be refused for its deadline.
        """
        cases = ((0.5, 0.45), (1.0, 0.9), (2.0, 0.9), (3.0, 0.9))
        for load, least in cases:
            with self.subTest(load=load):
                goodput = bench_load.measure_goodput(load, True, 1)
                self.assertGreaterEqual(goodput, least)
        self.assertLess(bench_load.measure_goodput(2.0, False, 1), 0.1)

    def test_operations_of_different_times_cost_little(self) -> None:
        """One service has operations that take 50 to 400 ms.

        With one usual time for all, the slow ones would look delayed.
        """
        for load in (2.0, 3.0):
            for reported in (True, False):
                with self.subTest(load=load, reported=reported):
                    served = bench_load.measure_served(
                        load, True, 1, bench_load.MIXED_KINDS, reported
                    )
                    self.assertGreaterEqual(served.goodput, 0.9)

    def test_answers_stay_quick_under_overload(self) -> None:
        """Three times the capacity is offered; a seller waits for a draft.

        Goodput alone would let each answer come just before its deadline.
        """
        served = bench_load.measure_served(3.0, True, 1)
        idle = bench_load.measure_served(0.5, True, 1)
        self.assertLess(served.wait_p95_ms, 1.5 * idle.wait_p95_ms)

    def test_prediction_recovers_after_an_overload(self) -> None:
        """Answers took very long, then traffic stops.

        Judged by old measurements alone, no request would ever be admitted
        again, and nothing new would be measured.
        """
        group = concurrency.GroupLimit()
        now = teach(group, [100] * 50)
        group.in_flight = int(group.limit)
        for _ in range(60):
            now += 100
            group.observe(KIND, 900, now)
        group.in_flight = int(group.limit) - 1
        refused = group.admit(ask(now + 200), now)
        self.assertIsInstance(refused, messages.Refused)
        group.in_flight = 0
        self.assertIsNone(group.admit(ask(now + 200), now))

    def test_one_overload_is_cut_once(self) -> None:
        """All requests in flight are late together.

        Cut for each of them, the bound would fall to one.
        """
        group = concurrency.GroupLimit(limit=100.0, in_flight=100)
        for _ in range(100):
            group.note_late(0, 500)
        self.assertEqual(90.0, group.limit)

    def test_noise_of_short_calls_is_no_overload(self) -> None:
        """Calls of 4 ms take 4 to 20 ms while the entry is busy otherwise.

        Few are in flight and no target has a queue. Taken for overload, the
        bound fell to one and callers were refused under almost no load.
        """
        group = concurrency.GroupLimit()
        now = 0
        for number in range(600):
            for _ in range(3):
                self.assertIsNone(group.admit(ask(now + 1000), now))
            took = 4 if number % 60 < 30 else 20
            now += took
            for _ in range(3):
                group.observe(KIND, took, now)
                group.release()
        self.assertGreaterEqual(group.limit, 16)

    def test_one_answer_that_hung_is_no_overload(self) -> None:
        """A target hangs for ten seconds; the others are as quick as ever.

        Its answer alone would look like many delayed ones, and callers
        would be refused by a group that is idle.
        """
        group = concurrency.GroupLimit()
        now = teach(group, [100] * 50)
        before = group.limit
        teach(group, [10_000, *[100] * 50], now)
        self.assertGreaterEqual(group.limit, before)

    def test_slow_answers_leave_the_equal_part(self) -> None:
        """Every answer is slow, though the targets are far from full.

        The cause is elsewhere, such as a host of the entry that is too
        busy. Refusing callers would not help anybody.
        """
        group = concurrency.GroupLimit()
        group.hear_capacity(messages.Capacity(64.0), 4, 0)
        now = teach(group, [100] * 50)
        now = teach(group, [900] * 200, now)
        admitted = [group.admit(ask(), now) for _ in range(17)]
        self.assertEqual([None] * 16, admitted[:16])
        self.assertEqual(messages.Reason.OVERLOAD, admitted[16].reason)

    def test_late_answers_end_the_trust_in_reports(self) -> None:
        """A service says that it runs 64 calls at once and runs two.

        Given its equal part of 64, all its calls would be late for good.
        Once it does better it gets its part back.
        """
        group = concurrency.GroupLimit()
        group.hear_capacity(messages.Capacity(64.0), 1, 0)
        for now in range(1000, 31_000, 1000):
            group.note_late(now - 900, now)
        self.assertLessEqual(group.bound, 2)
        for now in range(31_000, 431_000, 100):
            group.in_flight = group.bound
            group.observe(KIND, 100, now)
        self.assertGreaterEqual(group.bound, 64)

    def test_a_small_group_that_reports_starts_small(self) -> None:
        """All entries start at once before services that run eight calls.

        With sixteen at each entry the first calls would all be late.
        """
        group = concurrency.GroupLimit()
        group.hear_capacity(messages.Capacity(8.0), 3, 0)
        self.assertEqual(4, group.bound)
        self.assertEqual(16, concurrency.GroupLimit().bound)

    def test_reported_queues_cut_who_uses_more_than_its_part(self) -> None:
        """An entry started during an overload and took its times for usual.

        It would grow while all others shrink, and its callers would get the
        places of theirs.
        """
        full = messages.Capacity(40.0, 20.0)
        group = concurrency.GroupLimit(limit=100.0, in_flight=60)
        modest = concurrency.GroupLimit(limit=4.0, in_flight=4)
        for now in range(0, 20_000, 100):
            group.hear_capacity(full, 4, now)
            group.observe(KIND, 300, now)
            modest.hear_capacity(full, 4, now)
        self.assertLess(group.limit, 11.0)
        self.assertEqual(4.0, modest.limit)

    def test_slow_tokens_cut_though_first_tokens_are_quick(self) -> None:
        """Engines take turns between all streams that they were given.

        Each first token comes at once, and each answer takes ever longer.
        """
        group = concurrency.GroupLimit()
        now = teach(group, [100] * 20)
        for _ in range(20):
            group.observe_rest(KIND, 40, 40 * 50, now)
        group.in_flight = 16
        before = group.limit
        for _ in range(40):
            now += 10_000
            group.observe_rest(KIND, 40, 40 * 150, now)
        self.assertLess(group.limit, before / 2)

    def test_retry_of_a_refusal_grows_with_the_excess(self) -> None:
        group = concurrency.GroupLimit()
        now = teach(group, [400] * 20)
        retries = []
        for in_flight in (int(group.limit), 3 * int(group.limit)):
            group.in_flight = in_flight
            retries.append(group.admit(ask(), now).retry_after_ms)
        self.assertLess(2 * retries[0], retries[1])
