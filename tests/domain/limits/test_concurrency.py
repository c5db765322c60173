"""Tests of the adaptive concurrency bound, partly with the load benchmark."""

from __future__ import annotations

import unittest

from thornspool.domain.limits import concurrency
from thornspool.domain.limits import messages
from tools import bench_load

FAR_DEADLINE_MS = 10**9


KIND = 'service/operation'


def build_request(deadline=FAR_DEADLINE_MS, units=0):
    return messages.RequestEstimate('service', KIND, units, deadline)


def run_requests(group, durations_ms, now=0):
    """Run requests one after the other; return the time after the last."""
    for duration_ms in durations_ms:
        group.admit(build_request(), now)
        now += duration_ms
        group.observe_answer(KIND, duration_ms, now)
        group.release()
    return now


class GroupLimitTest(unittest.TestCase):
    def test_goodput_under_overload(self) -> None:
        """More requests arrive than the targets can serve.

        Without a bound, all requests queue and every answer is late. The
        bound must preserve most of the capacity under overload and must not
        reduce it at low load. The baselines are measured during the run; if
        they followed the overload, every request would be refused because
        of its deadline.
        """
        cases = ((0.5, 0.45), (1.0, 0.9), (2.0, 0.9), (3.0, 0.9))
        for load, least in cases:
            with self.subTest(load=load):
                goodput = bench_load.measure_goodput(load, True, 1)
                self.assertGreaterEqual(goodput, least)
        self.assertLess(bench_load.measure_goodput(2.0, False, 1), 0.1)

    def test_operations_of_different_durations_keep_the_goodput(self) -> None:
        """One service has operations that take 50 to 400 ms.

        With one baseline for all, the slow ones would count as delayed.
        """
        for load in (2.0, 3.0):
            for reported in (True, False):
                with self.subTest(load=load, reported=reported):
                    served = bench_load.measure_served(
                        load, True, 1, bench_load.MIXED_KINDS, reported
                    )
                    self.assertGreaterEqual(served.goodput, 0.9)

    def test_waits_stay_short_under_overload(self) -> None:
        """Three times as many requests arrive as the targets can serve.

        A test of goodput alone would pass if each answer came just before
        its deadline, while callers such as sellers wait for their drafts.
        """
        served = bench_load.measure_served(3.0, True, 1)
        idle = bench_load.measure_served(0.5, True, 1)
        self.assertLess(served.wait_p95_ms, 1.5 * idle.wait_p95_ms)

    def test_prediction_recovers_after_an_overload(self) -> None:
        """Answers duration_ms very long, then traffic stops.

        With a prediction from old measurements alone, no request would be
        admitted again, and nothing new would be measured.
        """
        group = concurrency.GroupLimit()
        now = run_requests(group, [100] * 50)
        group.in_flight = int(group.limit)
        for _ in range(60):
            now += 100
            group.observe_answer(KIND, 900, now)
        group.in_flight = int(group.limit) - 1
        refused = group.admit(build_request(now + 200), now)
        self.assertIsInstance(refused, messages.Rejection)
        group.in_flight = 0
        self.assertIsNone(group.admit(build_request(now + 200), now))

    def test_one_overload_decreases_the_limit_once(self) -> None:
        """All requests in flight are late at the same time.

        With a decrease for each of them, the bound would drop to one.
        """
        group = concurrency.GroupLimit(limit=100.0, in_flight=100)
        for _ in range(100):
            group.record_timeout(0, 500)
        self.assertEqual(90.0, group.limit)

    def test_variation_of_short_calls_is_no_overload(self) -> None:
        """Calls of 4 ms take up to 20 ms while the entry does other work.

        Few are in flight and no target has a queue. When this counted as
        overload, the bound dropped to one and callers were refused under
        almost no load.
        """
        group = concurrency.GroupLimit()
        now = 0
        for number in range(600):
            for _ in range(3):
                self.assertIsNone(group.admit(build_request(now + 1000), now))
            duration_ms = 4 if number % 60 < 30 else 20
            now += duration_ms
            for _ in range(3):
                group.observe_answer(KIND, duration_ms, now)
                group.release()
        self.assertGreaterEqual(group.limit, 16)

    def test_one_answer_that_hung_is_no_overload(self) -> None:
        """A target hangs for ten seconds; the others are not delayed.

        Its answer alone would have the effect of many delayed ones, and
        callers would be refused although the group is idle.
        """
        group = concurrency.GroupLimit()
        now = run_requests(group, [100] * 50)
        before = group.limit
        run_requests(group, [10_000, *[100] * 50], now)
        self.assertGreaterEqual(group.limit, before)

    def test_bound_is_at_least_the_equal_share(self) -> None:
        """Every answer is slow, although the targets are far from full.

        The cause is elsewhere, such as an overloaded host of the entry.
        Refusing requests would not shorten the answers.
        """
        group = concurrency.GroupLimit()
        group.apply_capacity(messages.Capacity(64.0), 4, 0)
        now = run_requests(group, [100] * 50)
        now = run_requests(group, [900] * 200, now)
        admitted = [group.admit(build_request(), now) for _ in range(17)]
        self.assertEqual([None] * 16, admitted[:16])
        self.assertEqual(messages.Reason.OVERLOAD, admitted[16].reason)

    def test_late_answers_reduce_the_equal_share(self) -> None:
        """A service reports that it runs 64 calls at once but runs two.

        With its equal share of 64, all its calls would be late permanently.
        When its answers are in time again, the full share is restored.
        """
        group = concurrency.GroupLimit()
        group.apply_capacity(messages.Capacity(64.0), 1, 0)
        for now in range(1000, 31_000, 1000):
            group.record_timeout(now - 900, now)
        self.assertLessEqual(group.bound, 2)
        for now in range(31_000, 431_000, 100):
            group.in_flight = group.bound
            group.observe_answer(KIND, 100, now)
        self.assertGreaterEqual(group.bound, 64)

    def test_initial_bound_is_small_for_groups_that_report(self) -> None:
        """All entries start at the same time, with services for eight calls.

        With a bound of 16 at each entry the first calls would all be late.
        """
        group = concurrency.GroupLimit()
        group.apply_capacity(messages.Capacity(8.0), 3, 0)
        self.assertEqual(4, group.bound)
        self.assertEqual(16, concurrency.GroupLimit().bound)

    def test_reported_queues_decrease_limits_over_the_equal_share(
        self,
    ) -> None:
        """An entry started during an overload, so its baselines are too long.

        Its bound would grow while those of all other entries decrease, and
        its requests would displace theirs.
        """
        full = messages.Capacity(40.0, 20.0)
        group = concurrency.GroupLimit(limit=100.0, in_flight=60)
        within_share = concurrency.GroupLimit(limit=4.0, in_flight=4)
        for now in range(0, 20_000, 100):
            group.apply_capacity(full, 4, now)
            group.observe_answer(KIND, 300, now)
            within_share.apply_capacity(full, 4, now)
        self.assertLess(group.limit, 11.0)
        self.assertEqual(4.0, within_share.limit)

    def test_slow_tokens_decrease_the_limit_despite_fast_first_tokens(
        self,
    ) -> None:
        """Engines interleave all streams that they receive.

        Each first token arrives at once, but the time between tokens grows
        with each stream, so answers take longer and longer.
        """
        group = concurrency.GroupLimit()
        now = run_requests(group, [100] * 20)
        for _ in range(20):
            group.observe_following_tokens(KIND, 40, 40 * 50, now)
        group.in_flight = 16
        before = group.limit
        for _ in range(40):
            now += 10_000
            group.observe_following_tokens(KIND, 40, 40 * 150, now)
        self.assertLess(group.limit, before / 2)

    def test_retry_delay_grows_with_the_excess(self) -> None:
        group = concurrency.GroupLimit()
        now = run_requests(group, [400] * 20)
        retries = []
        for in_flight in (int(group.limit), 3 * int(group.limit)):
            group.in_flight = in_flight
            retries.append(group.admit(build_request(), now).retry_after_ms)
        self.assertLess(2 * retries[0], retries[1])
