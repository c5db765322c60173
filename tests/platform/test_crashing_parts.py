"""End-to-end tests of parts of prompts that crash engines."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http.client
import itertools
import random
import time
import unittest

from tests import engine_rules
from tests import part_rules
from tests.platform import deployment
from tools import processes

PART = '0bad'
FIRST = '0f'
CALM_S = 7.0
"""Time of sound requests alone, after which trials are possible."""

SECONDS = 14.0
CONTACT_MS = 3_000
SENDERS = 6
"""Sound requests at the same time."""


class CrashingPartTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        running = stack.enter_context(processes.open_processes())
        self.deployment = deployment.Deployment(running)
        self.entries = {
            f'entry-{number}': self.deployment.start_entry(domain)
            for number, domain in enumerate('aab')
        }
        self.wait_until_ready()
        self.parts = {}
        self.attempts = []
        self.numbers = itertools.count()

    def wait_until_ready(self):
        deployment.wait_until(
            lambda: all(entry.is_ready() for entry in self.entries.values())
        )

    def send(self, name, number, *parts):
        """Send a new request; return its status, or 0 without a response."""
        prefix = ','.join(f'{one}:100' for one in (*parts, f'{number:x}'))
        with contextlib.suppress(OSError, http.client.HTTPException):
            response = self.entries[name].call(
                'POST',
                '/brief/1',
                number,
                host=name,
                body=b'%d' % number,
                **{'Prompt-Prefix': prefix},
            )
            return response.status
        return 0

    def send_bad(self, name):
        number = 100_000 + len(self.parts)
        self.parts[f'{name}.{number}'] = (FIRST, PART)
        return self.send(name, number, FIRST, PART)

    def send_sound(self, name):
        number = next(self.numbers)
        return self.send(name, number, FIRST, f'{number % 3}e')

    def send_all_sound(self, end):
        """Send sound requests all the while, and record the attempts."""
        while time.monotonic() < end:
            name = f'entry-{len(self.attempts) % len(self.entries)}'
            at = time.monotonic_ns() // 1_000_000
            status = self.send_sound(name)
            self.record_attempt(at, name, 'e', status)
            time.sleep(0.1)

    def record_attempt(self, at, name, middle, status):
        self.attempts.append(
            part_rules.FirstAttempt(
                at, name, '/brief/', '', (FIRST, middle), status == 200
            )
        )

    def send_all_bad(self, end):
        source = random.Random(1)
        while time.monotonic() < end:
            name = source.choice(sorted(self.entries))
            at = time.monotonic_ns() // 1_000_000
            self.record_attempt(at, name, PART, self.send_bad(name))
            time.sleep(source.uniform(0.1, 0.8))

    def check_refused_by_all(self):
        for name in self.entries:
            began_at = time.monotonic()
            self.assertEqual(503, self.send_bad(name))
            self.assertLess(time.monotonic() - began_at, 0.5)
            self.assertEqual(200, self.send_sound(name))

    def restart_all(self):
        """Kill all entries at the same moment and start them again."""
        for entry in self.entries.values():
            entry.popen.kill()
        for entry in self.entries.values():
            entry.popen.wait()
            self.deployment.restart(entry)
        self.wait_until_ready()

    def test_part_that_crashes_engines_is_refused_after_a_restart(self):
        """Guards against verdicts on parts that end with the entries."""
        deployment.wait_until(lambda: self.send_sound('entry-0') == 200)
        began_at = time.monotonic()
        end = began_at + CALM_S + SECONDS
        with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
            sound = [
                pool.submit(self.send_all_sound, end) for _ in range(SENDERS)
            ]
            time.sleep(CALM_S)
            self.deployment.control(crash_on_part=PART)
            self.send_all_bad(end)
            for one in sound:
                one.result()
        log = self.deployment.read_fleet(log=True)['log']
        arrivals, _ = engine_rules.read_log(log)
        crashes = engine_rules.read_crashes(log)
        self.assertGreater(len(crashes), 1)
        self.assertEqual(
            [],
            [
                *part_rules.find_part_violations(
                    arrivals, crashes, self.parts, CONTACT_MS
                ),
                *part_rules.find_withheld_violations(
                    self.attempts, crashes, CONTACT_MS
                ),
            ],
        )
        self.check_refused_by_all()
        self.restart_all()
        self.check_refused_by_all()
        log = self.deployment.read_fleet(log=True)['log']
        self.assertEqual(crashes, engine_rules.read_crashes(log))
