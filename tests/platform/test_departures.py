"""End-to-end tests of plain servers that leave, with real processes."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http.client
import time
import unittest

from tests import engine_rules
from tests.platform import deployment
from tools import processes

SENDERS = 8
SECONDS = 9.0
CONTACT_MS = 3_000
DRAIN_MS = 2_000
LEAVING = 'a-9'


class DepartureTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        running = stack.enter_context(processes.open_processes())
        self.deployment = deployment.Deployment(running)
        self.entries = {
            f'entry-{number}': self.deployment.start_entry(domain)
            for number, domain in enumerate('aab')
        }
        deployment.wait_until(
            lambda: all(entry.is_ready() for entry in self.entries.values())
        )
        self.sent_at = {}

    def send_until(self, end, sender):
        """Send calls and actions to all entries in turn."""
        statuses = []
        while time.monotonic() < end:
            number = len(statuses)
            name = f'entry-{(sender + number) % len(self.entries)}'
            method, path = [('GET', '/read/1'), ('POST', '/hold/1')][
                number % 2
            ]
            attempt = f'{sender}-{number}'
            self.sent_at[f'{name}.{attempt}'] = read_clock_ms()
            status = 0
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = (
                    self.entries[name]
                    .call(method, path, attempt, host=name)
                    .status
                )
            statuses.append(status)
            time.sleep(0.05)
        return statuses

    def put_record(self, **changes):
        """Write the record of the leaving server anew; None drops a field."""
        document = {**self.record, **changes}
        self.deployment.control(
            put=f'servers/{LEAVING}',
            document={
                name: value
                for name, value in document.items()
                if value is not None
            },
        )

    def disturb(self):
        """Restart an entry, lose answers, and change the server's record."""
        time.sleep(1.5)
        self.deployment.control(lose_answers=5)
        restarted = self.entries['entry-1']
        began_at = read_clock_ms()
        restarted.popen.kill()
        restarted.popen.wait()
        self.deployment.restart(restarted)
        self.put_record(slots=3)
        time.sleep(1.5)
        self.deployment.control(delete=f'servers/{LEAVING}')
        time.sleep(0.7)
        self.put_record()
        time.sleep(0.7)
        self.put_record(born=None)
        time.sleep(0.7)
        self.put_record(born=self.record['born'] - 5_000)
        return [
            engine_rules.Excuse('entry-1', began_at, began_at + CONTACT_MS)
        ]

    def test_leaving_plain_server_gets_no_late_requests(self):
        """Guards against departures that records of the list undo.

        Calls and actions are sent and retried while an entry restarts, and
        while the record of the server changes, returns, lacks its start or
        names an earlier one.
        """
        self.record = self.deployment.read_fleet()['records'][LEAVING]
        self.deployment.control(leave=LEAVING)
        end = time.monotonic() + SECONDS
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            results = [
                pool.submit(self.send_until, end, sender)
                for sender in range(SENDERS)
            ]
            excuses = self.disturb()
            statuses = [
                status for result in results for status in result.result()
            ]
        arrivals, answers = engine_rules.read_log(
            self.deployment.read_fleet(log=True)['log']
        )
        self.assertTrue(any(one.is_leaving for one in answers))
        self.assertEqual(
            [],
            engine_rules.find_drain_violations(
                arrivals, answers, self.sent_at, DRAIN_MS, excuses
            ),
        )
        self.assertGreater(statuses.count(200), 0.9 * len(statuses))


def read_clock_ms():
    return time.monotonic_ns() // 1_000_000
