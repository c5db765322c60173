"""Tests of the retry budget that all entries share."""

from __future__ import annotations

import random
import unittest

from thornspool.domain.retries import histories
from thornspool.domain.retries import pools


class EqualShareTest(unittest.TestCase):
    """An entry without a valid report of the other entries."""

    def test_no_window_exceeds_the_retry_limit(self):
        """A service fails every request for several seconds."""
        source = random.Random(5)
        pool = pools.RetryPool(0.2, 10.0, 1_000)
        requests, retries = [], []
        for now in range(0, 6_000, 3):
            if source.random() < 0.3:
                pool.record_request(now)
                requests.append(now)
            if pool.acquire(now):
                retries.append(now)
            counted = [at for at in requests if at > now - 1_000]
            acquired = [at for at in retries if at > now - 1_000]
            self.assertLessEqual(len(acquired), 10.0 + 0.2 * len(counted) + 12)

    def test_retries_leave_the_sliding_window(self):
        pool = pools.RetryPool(0.0, 2.0, 1_000)
        self.assertTrue(pool.acquire(0))
        self.assertTrue(pool.acquire(10))
        self.assertFalse(pool.acquire(999))
        self.assertTrue(pool.acquire(1_000))

    def test_the_slack_is_divided_between_all_entries(self):
        pool = pools.RetryPool(0.0, 20.0, 1_000, entries=10)
        acquired = sum(pool.acquire(now) for now in range(50))
        self.assertEqual(2, acquired)

    def test_an_outdated_report_is_ignored(self):
        """The collector fails, and no further reports arrive."""
        pool = pools.RetryPool(0.0, 20.0, 10_000, entries=10)
        pool.apply_others(pools.RequestCounts(0.0, 0.0), 0)
        late = pools.REPORT_VALID_MS + 1
        acquired = sum(pool.acquire(late + now) for now in range(5_000))
        self.assertEqual(2, acquired)


class OutageTest(unittest.TestCase):
    def test_the_requests_of_the_previous_window_count(self):
        """For 10 s, the store is unavailable and few requests are served."""
        pool = pools.RetryPool(0.2, 0.0, 10_000)
        acquired = 0
        for now in range(0, 21_000, 100):
            if now < 10_000:
                pool.record_request(now)
            pool.apply_others(pools.RequestCounts(0.0, 0.0), now)
            if now >= 14_000 and pool.acquire(now):
                acquired += 1
        self.assertGreaterEqual(acquired, 18)
        self.assertLessEqual(acquired, 20)

    def test_requests_of_earlier_windows_do_not_count(self):
        pool = pools.RetryPool(0.2, 0.0, 10_000)
        for now in range(0, 31_000, 100):
            if now < 10_000:
                pool.record_request(now)
            pool.apply_others(pools.RequestCounts(0.0, 0.0), now)
        self.assertFalse(pool.acquire(31_000))


class RestartTest(unittest.TestCase):
    def test_the_retries_of_killed_entries_still_count(self):
        """Half of all entries are killed and restart without their counts."""
        pool = pools.RetryPool(0.0, 100.0, 10_000, entries=2)
        pool.history.record(1, histories.Report(99, 99, ((0, 99),)), 0)
        pool.apply_others(pools.RequestCounts(0.0, 99.0), 0)
        pool.apply_others(pools.RequestCounts(0.0, 0.0), 400)
        self.assertFalse(pool.acquire(500))
        pool.apply_others(pools.RequestCounts(0.0, 0.0), 9_900)
        self.assertFalse(pool.acquire(9_999))
        self.assertTrue(pool.acquire(10_000))

    def test_a_process_that_knows_no_past_uses_no_slack(self):
        """Guards against a slack that each restart of all entries renews."""
        pool = pools.RetryPool(0.2, 100.0, 10_000, is_past_known=False)
        self.assertFalse(pool.acquire(0))
        for now in range(5):
            pool.record_request(now)
        self.assertTrue(pool.acquire(5))
        self.assertFalse(pool.acquire(6))

    def test_a_group_pays_its_part_of_the_retries_of_the_others(self):
        """Guards against a partition that makes used slack free again."""
        pool = pools.RetryPool(0.0, 100.0, 10_000, entries=4)
        pool.history.record(1, histories.Report(60, 60, ((0, 60),)), 0)
        pool.apply_others(pools.RequestCounts(0.0, 0.0), 0, known=1)
        usage = pool.measure(0)
        self.assertEqual(2, usage.members)
        self.assertEqual(30.0, usage.others)
        self.assertEqual(50.0, usage.allowed)


class SharedTest(unittest.TestCase):
    def simulate(self, entries, demand, delay_ms, seconds=30):
        """Simulate entries; return the times of retries and requests.

        Parameters
        ----------
        entries : int
            Number of entries.
        demand : callable
            Returns the probability of a retry of an entry at a time.
        delay_ms : int
            Time in which a report reaches all entries.
        seconds : int, optional
            Simulated time.
        """
        source = random.Random(7)
        fleet = [
            pools.RetryPool(0.2, 250.0, 10_000, entries, number)
            for number in range(entries)
        ]
        reports = [(0, [pools.RequestCounts(0, 0)] * entries)]
        acquired, requests = [], []
        for now in range(0, seconds * 1_000, 20):
            for number, pool in enumerate(fleet):
                if source.random() < 0.03:
                    pool.record_request(now)
                    requests.append(now)
                if source.random() < demand(number, now):
                    acquired += [now] * pool.acquire(now)
            if now % 400 == 0:
                counts = [pool.count(now) for pool in fleet]
                reports.append((now, counts))
                known = [one for at, one in reports if at <= now - delay_ms]
                latest = (known or [reports[0][1]])[-1]
                for number, pool in enumerate(fleet):
                    rest = latest[:number] + latest[number + 1 :]
                    pool.apply_others(
                        pools.RequestCounts(
                            sum(one.requests for one in rest),
                            sum(one.retries for one in rest),
                        ),
                        now,
                    )
        return acquired, requests

    def measure_usage(self, acquired, requests):
        """Return the maximum share of the limit used in any window."""
        highest = 0.0
        for end in range(10_000, 30_000, 500):
            window = [at for at in acquired if end - 10_000 < at <= end]
            arrived = [at for at in requests if end - 10_000 < at <= end]
            highest = max(highest, len(window) / (250.0 + 0.2 * len(arrived)))
        return highest

    def test_the_limit_holds_when_all_entries_retry(self):
        """Every engine fails, and each entry retries all of its requests."""
        usage = self.measure_usage(
            *self.simulate(40, lambda number, now: 0.5, 800)
        )
        self.assertLessEqual(usage, 1.1)
        self.assertGreater(usage, 0.6)

    def test_few_entries_may_use_the_shares_of_the_others(self):
        """Failures affect 4 of 40 entries, as a domain loses an engine."""
        acquired, _ = self.simulate(
            40, lambda number, now: 0.1 if number < 4 else 0.0, 800
        )
        first = [at for at in acquired if at <= 10_000]
        self.assertGreater(len(first), 100)

    def test_a_large_fleet_uses_shares_of_less_than_one_retry(self):
        """Guards against up to one unused retry per entry.

        It would remain if all entries rounded their shares down.
        """
        found = []
        for remaining in (10, 30, 60):
            fleet = [
                pools.RetryPool(0.0, 100.0, 10_000, 88, number)
                for number in range(88)
            ]
            for pool in fleet:
                pool.apply_others(pools.RequestCounts(0, 100 - remaining), 0)
            acquired = sum(pool.acquire(0) for pool in fleet)
            self.assertLessEqual(abs(acquired - remaining), 15)
            found.append(acquired)
        self.assertEqual(sorted(found), found)
        self.assertGreater(found[-1], 40)
