"""End-to-end tests of requests that crash servers, with real processes."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http.client
import random
import time
import unittest

from tests import engine_rules
from tests.platform import deployment
from tools import processes

CONTENT = 'overflow'
SECONDS = 14.0
CONTACT_MS = 3_000
MAX_CRASHES = 4
"""Ended servers after which all entries know the request."""


class CrashingRequestTest(unittest.TestCase):
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
        self.deployment.control(crash_on=CONTENT)
        self.attempts = {}

    def send(self, name, path, body):
        number = len(self.attempts)
        self.attempts[f'{name}.{number}'] = CONTENT
        began_at = time.monotonic()
        with contextlib.suppress(OSError, http.client.HTTPException):
            response = self.entries[name].call(
                'POST', path, number, host=name, body=body
            )
            return response.status, time.monotonic() - began_at
        return 0, time.monotonic() - began_at

    def send_healthy(self, end, path):
        """Send other requests all the while; return their statuses."""
        statuses = []
        while time.monotonic() < end:
            number = len(statuses)
            name = f'entry-{number % len(self.entries)}'
            with contextlib.suppress(OSError, http.client.HTTPException):
                response = self.entries[name].call(
                    'POST',
                    path,
                    f'{path}-{number}',
                    host=name,
                    body=b'%d' % number,
                )
                statuses.append(response.status)
            time.sleep(0.1)
        return statuses

    def check(self, path):
        source = random.Random(1)
        end = time.monotonic() + SECONDS
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            healthy = pool.submit(self.send_healthy, end, path)
            while time.monotonic() < end:
                name = source.choice(sorted(self.entries))
                self.send(name, path, CONTENT.encode())
                time.sleep(source.uniform(0.1, 0.8))
            statuses = healthy.result()
        log = self.deployment.read_fleet(log=True)['log']
        arrivals, _ = engine_rules.read_log(log)
        crashes = engine_rules.read_crashes(log)
        self.assertGreaterEqual(len(crashes), 3)
        self.assertLessEqual(len(crashes), MAX_CRASHES)
        self.assertEqual(
            [],
            engine_rules.find_crash_violations(
                arrivals, crashes, self.attempts, CONTACT_MS
            ),
        )
        self.check_refused_by_all(path)
        self.assertEqual([200] * 10, statuses[-10:])
        self.restart_all()
        self.check_refused_by_all(path)
        log = self.deployment.read_fleet(log=True)['log']
        self.assertEqual(crashes, engine_rules.read_crashes(log))

    def check_refused_by_all(self, path):
        for name in self.entries:
            status, took_s = self.send(name, path, CONTENT.encode())
            self.assertEqual(503, status)
            self.assertLess(took_s, 0.5)

    def restart_all(self):
        """Kill all entries at the same moment and start them again."""
        for entry in self.entries.values():
            entry.popen.kill()
        for entry in self.entries.values():
            entry.popen.wait()
            self.deployment.restart(entry)
        deployment.wait_until(
            lambda: all(entry.is_ready() for entry in self.entries.values())
        )

    def test_model_request_that_crashes_engines_is_refused(self):
        """Guards against a request that comes again and crashes engines."""
        self.check('/brief/1')

    def test_action_that_crashes_plain_servers_is_refused(self):
        """Guards against an action that comes again and crashes servers."""
        self.check('/hold/1')
