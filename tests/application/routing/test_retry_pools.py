"""Tests of the retry budget in a fleet whose reports are incomplete."""

from __future__ import annotations

import bisect
import unittest

from structlog import testing

from tests import builders as common
from tests.application.routing import fleet as fleet_module
from thornspool.application.routing import retry_pools
from thornspool.domain.entries import messages
from thornspool.domain.retries import histories
from thornspool.platform import peers

SERVICE = 'drafting'
CALLS_PER_TICK = 3
SLACK = 300.0
RATIO = 0.2
WINDOW_MS = 10_000
REQUESTS = 20


class IncompleteReportsTest(unittest.TestCase):
    """Load: every entry retries whenever it may."""

    def setUp(self):
        self.fleet = fleet_module.Fleet()
        self.members = self.fleet.members
        self.fleet.play(3_000)

    def retry(self, hosts, milliseconds):
        """Send all retries that the hosts may send; return their number."""
        retries = 0
        for _ in range(0, milliseconds, fleet_module.TICK_MS):
            self.fleet.play(fleet_module.TICK_MS)
            for host in hosts:
                budget = self.members[host].budget
                while budget.acquire(SERVICE, urgent=True):
                    retries += 1
        return retries

    def record_requests(self):
        for member in self.members.values():
            for _ in range(REQUESTS):
                member.budget.record_request(SERVICE)

    def test_entries_without_reports_keep_the_limit_in_sum(self):
        """Guards against entries that treat no report as a report of 0.

        Each entry used its share of the slack again in each 1.2 s.
        """
        for host in self.members:
            self.fleet.cut_off(host)
        self.fleet.play(4_000)
        self.assertLessEqual(self.retry(self.members, WINDOW_MS - 200), SLACK)

    def test_loss_of_all_reports_gives_no_further_retries(self):
        """Guards against shares that are used again until reports end."""
        total = SLACK * 0.7 + RATIO * REQUESTS * len(self.members)
        for separated in (True, False):
            self.setUp()
            self.record_requests()
            self.fleet.play(1_600)
            self.fleet.separates_domains = separated
            for host in () if separated else self.members:
                self.fleet.cut_off(host)
            with self.subTest(separated):
                self.assertLessEqual(
                    self.retry(self.members, WINDOW_MS - 1_800), 1.05 * total
                )

    def test_separated_domains_keep_the_limit_in_sum(self):
        """Guards against domains that each use the slack of all entries.

        The collectors of three domains have lost the links to each other.
        """
        self.fleet.separates_domains = True
        self.fleet.play(4_000)
        retries = self.retry(self.members, WINDOW_MS - 200)
        self.assertLessEqual(retries, 1.05 * SLACK)
        self.assertGreater(retries, 0.5 * SLACK)

    def test_entry_without_reports_may_retry_its_own_requests(self):
        """Guards against a cut-off entry with a share of a share.

        It divided the retries of its own requests by the number of entries.
        """
        self.fleet.cut_off('a-05')
        self.fleet.play(4_000)
        for _ in range(100 * REQUESTS):
            self.members['a-05'].budget.record_request(SERVICE)
        allowed = SLACK * 0.7 / len(self.members) + RATIO * 100 * REQUESTS
        retries = self.retry(['a-05'], 400)
        self.assertLessEqual(retries, allowed)
        self.assertGreater(retries, 0.95 * allowed)

    def test_entry_without_reports_assumes_equal_rates(self):
        """Guards against health checks and costs by a rate that is too low."""
        self.fleet.cut_off('a-05')
        self.record_requests()
        self.fleet.play(4_000)
        total = self.members['a-05'].budget.estimate_rate(SERVICE)
        self.assertAlmostEqual(
            REQUESTS * len(self.members) / 10, total, delta=1.0
        )

    def test_new_collector_leaves_retries_to_its_domain(self):
        """Guards against callers without a retry after a change of collector.

        Until the other domains report to the new collector, it only has the
        sums of its own.
        """
        self.retry(self.members, 1_000)
        self.fleet.kill('a-00')
        self.record_requests()
        self.fleet.play(2_000)
        self.assertGreater(self.retry(['a-05'], 3_000), 0)

    def test_refused_retries_are_logged_once_a_second(self):
        """Guards against refusals that only the counter shows."""
        budget = self.members['a-05'].budget
        counts = []
        with testing.capture_logs() as lines:
            for _ in range(4):
                self.retry(['a-05'], 600)
                counts.append(len(lines))
                usage = budget.measure()[SERVICE]
        self.assertEqual([1, 2, 2, 3], counts)
        self.assertEqual(usage.local, lines[-1]['local'])
        self.assertEqual(30, lines[-1]['members'])


class Load:
    """A service that fails each run, and the windows of its arrivals.

    Every entry gets requests and retries whenever it may.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.requests = []
        self.retries = []

    def play(self, milliseconds):
        for _ in range(0, milliseconds, fleet_module.TICK_MS):
            self.fleet.play(fleet_module.TICK_MS)
            now = self.fleet.clock.now()
            for member in self.fleet.members.values():
                if not member.up:
                    continue
                for _ in range(CALLS_PER_TICK):
                    member.budget.record_request(SERVICE)
                    self.requests.append(now)
                while member.budget.acquire(SERVICE, urgent=True):
                    self.retries.append(now)

    def count(self, times, end):
        return bisect.bisect_right(times, end) - bisect.bisect_right(
            times, end - WINDOW_MS
        )

    def find_excess(self):
        """Return the retries beyond the budget in the worst window."""
        return max(
            self.count(self.retries, end)
            - SLACK
            - RATIO
            * max(
                self.count(self.requests, end - age)
                for age in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            for end in sorted(set(self.retries))
        )


class RestartTest(unittest.TestCase):
    """Entries of a mesh, and of a fleet with collectors."""

    def play_beside(self, disturb, pause_ms):
        """Disturb fleets at intervals; return the largest excess."""
        excesses = []
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts)
            load = Load(fleet)
            fleet.play(3_000)
            load.play(4_000)
            for number in range(30_000 // pause_ms):
                disturb(fleet, number)
                load.play(pause_ms)
            excesses.append(load.find_excess())
        return max(excesses)

    def test_entries_restarted_one_by_one_keep_the_limit(self):
        """Guards against retries that a restarted entry forgets."""

        def restart_next(fleet, number):
            hosts = sorted(fleet.members)
            count = max(1, len(hosts) // 10)
            first = number * count % len(hosts)
            fleet.restart(hosts[first : first + count])

        for pause_ms in (600, 1_600):
            with self.subTest(pause_ms):
                self.assertLessEqual(
                    self.play_beside(restart_next, pause_ms), 0
                )

    def test_entries_restarted_together_keep_the_limit(self):
        """Guards against a slack that each start of the fleet renews."""
        self.assertLessEqual(
            self.play_beside(
                lambda fleet, number: fleet.restart(sorted(fleet.members)),
                4_000,
            ),
            0,
        )

    def test_ended_leases_leave_the_limit_in_force(self):
        """Guards against entries that take the slack of all for their own.

        The leases of all entries end, and they register again one by one.
        """
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts)
            load = Load(fleet)
            fleet.play(3_000)
            for _ in range(3):
                load.play(9_000)
                for host in sorted(fleet.members):
                    fleet.unregister(host)
                load.play(1_600)
                for host in sorted(fleet.members):
                    fleet.register(host)
            load.play(4_000)
            with self.subTest(hosts):
                self.assertLessEqual(load.find_excess(), 0)

    def test_ended_leases_of_leaving_entries_leave_the_limit_in_force(self):
        """Guards against entries that count as ended while they drain.

        All entries get SIGTERM while the store is down and their leases end.
        """
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts)
            load = Load(fleet)
            fleet.play(3_000)
            load.play(6_000)
            for host in sorted(fleet.members):
                fleet.members[host].service.set_state(messages.State.LEAVING)
                fleet.unregister(host)
            load.play(8_000)
            with self.subTest(hosts):
                self.assertLessEqual(load.find_excess(), 0)

    def retry_once(self, fleet, host):
        """Send all retries that an entry may send; return their number."""
        retries = 0
        while fleet.members[host].budget.acquire(SERVICE, urgent=True):
            retries += 1
        return retries

    def test_first_start_of_a_fleet_has_the_whole_slack(self):
        """Guards against callers who pay for a past that never was."""
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts)
            fleet.play(2_000)
            load = Load(fleet)
            load.play(2_000)
            with self.subTest(hosts):
                self.assertGreater(len(load.retries), 0.9 * 0.7 * SLACK)

    def test_restarted_entry_has_its_share_when_peers_have_told_it(self):
        """Guards against a restart that costs its callers all retries."""
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts)
            fleet.play(3_000)
            self.retry_once(fleet, 'b-00')
            fleet.play(1_000)
            fleet.restart(['a-00'])
            fleet.play(1_600)
            with self.subTest(hosts):
                self.assertGreater(self.retry_once(fleet, 'a-00'), 0)

    def test_restart_of_all_entries_has_the_slack_after_a_window(self):
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts)
            fleet.play(3_000)
            fleet.restart(sorted(fleet.members))
            fleet.play(WINDOW_MS - 400)
            with self.subTest(hosts):
                self.assertEqual(0, self.retry_once(fleet, 'a-00'))
                fleet.play(800)
                self.assertGreater(self.retry_once(fleet, 'a-00'), 0)

    def test_restarts_beside_lost_updates_keep_the_limit(self):
        """Guards against a limit that rests on single datagrams."""
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts, loss=0.3)
            load = Load(fleet)
            fleet.play(3_000)
            for number in range(30):
                load.play(800)
                names = sorted(fleet.members)
                fleet.restart([names[number % len(names)]])
            with self.subTest(hosts):
                self.assertLessEqual(load.find_excess(), 0)

    def test_suspended_entries_keep_the_limit(self):
        """Guards against a share that was used while its entry stood still."""
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts)
            load = Load(fleet)
            fleet.play(3_000)
            names = sorted(fleet.members)
            for number in range(4):
                load.play(2_000)
                host = names[number * 2 % len(names)]
                fleet.members[host].up = False
                load.play(5_000 + 4_000 * number)
                fleet.members[host].up = True
            load.play(3_000)
            with self.subTest(hosts):
                self.assertLessEqual(load.find_excess(), 0)

    def test_retries_beside_lost_updates_are_made_up_for(self):
        """Guards against retries that were sent while a peer heard nobody.

        Their sender ends, so that no later report mentions them.
        """
        for hosts, cut_off in ((1, 'c-00'), (10, 'c-05')):
            fleet = fleet_module.Fleet(hosts=hosts)
            fleet.play(3_000)
            fleet.cut_off(cut_off)
            self.assertGreater(self.retry_once(fleet, 'a-00'), 0)
            fleet.play(600)
            fleet.kill('a-00')
            fleet.play(4_000)
            fleet.rejoin(cut_off)
            fleet.play(2_000)
            counted = []
            for host in ('b-00', cut_off):
                budget = fleet.members[host].budget
                budget.can_acquire(SERVICE, urgent=True)
                counted.append(budget.measure()[SERVICE].others)
            with self.subTest(hosts):
                self.assertGreater(counted[0], 0)
                self.assertEqual(counted[0], counted[1])

    def test_partition_after_the_slack_was_used_keeps_the_limit(self):
        """Guards against groups that forget what the others have used.

        One domain uses the slack of all; then the domains lose each other.
        """
        for hosts in (1, 10):
            fleet = fleet_module.Fleet(hosts=hosts)
            fleet.play(3_000)
            used = 0
            for _ in range(40):
                fleet.play(200)
                for host in list(fleet.members):
                    if host.startswith('a'):
                        used += self.retry_once(fleet, host)
            fleet.separates_domains = True
            fleet.play(1_400)
            later = sum(
                self.retry_once(fleet, host)
                for host in fleet.members
                if not host.startswith('a')
            )
            with self.subTest(hosts):
                self.assertGreater(used, 0.6 * SLACK)
                self.assertLessEqual(used + later, SLACK)

    def test_reports_of_a_large_fleet_fit_into_a_datagram(self):
        """Guards against updates that are dropped when all services fail."""
        budget = self.build_told_budget(entries=350, services=3)
        reports = budget.list_reports(includes_others=True)
        self.assertLess(
            len(peers.pack_retries(reports)), peers.MAX_DATAGRAM_BYTES // 2
        )
        for by_process in reports.values():
            self.assertEqual(350, len(by_process))
            for report in by_process.values():
                self.assertEqual(20, report.in_window)

    def build_told_budget(self, entries, services):
        """Build a budget that knows of retries in each half second."""
        budget = retry_pools.RetryPools(
            common.FakeClock(10_000), RATIO, SLACK, WINDOW_MS, lambda: entries
        )
        groups = tuple((500 * number, 1) for number in range(20))
        budget.histories.apply_reports(
            {
                service: {
                    process: histories.Report(20, 20, groups)
                    for process in range(1, entries + 1)
                }
                for service in range(services)
            },
            0,
        )
        return budget

    def test_suspended_entry_vouches_for_no_past(self):
        """Guards against an entry that claims to know what it has missed."""
        fleet = fleet_module.Fleet(hosts=1)
        fleet.play(12_000)
        fleet.kill('a-00')
        fleet.play(5_000)
        fleet.members['a-00'].up = True
        budget = fleet.members['a-00'].budget
        fleet.cut_off('a-00')
        fleet.play(200)
        self.assertEqual(0, budget.histories.compute_known_ms())
        fleet.rejoin('a-00')
        fleet.play(400)
        self.assertEqual(WINDOW_MS, budget.histories.compute_known_ms())
