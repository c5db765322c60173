"""End-to-end tests of parts of prompts that crash engines."""

from __future__ import annotations

import concurrent.futures
import contextlib
import http.client
import random
import time
import unittest

from tests import engine_rules
from tests import part_rules
from tests.platform import deployment
from tools import processes

PART = '0bad'
FIRST = '0f'
SECONDS = 14.0
CONTACT_MS = 3_000


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
        self.sound = 0

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
        self.sound += 1
        return self.send(name, self.sound, FIRST, f'{self.sound % 3}e')

    def send_all_sound(self, end):
        """Send sound requests all the while; return their statuses."""
        statuses = []
        while time.monotonic() < end:
            name = f'entry-{len(statuses) % len(self.entries)}'
            statuses.append(self.send_sound(name))
            time.sleep(0.1)
        return statuses

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
        self.deployment.control(crash_on_part=PART)
        source = random.Random(1)
        end = time.monotonic() + SECONDS
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            sound = pool.submit(self.send_all_sound, end)
            while time.monotonic() < end:
                self.send_bad(source.choice(sorted(self.entries)))
                time.sleep(source.uniform(0.1, 0.8))
            statuses = sound.result()
        log = self.deployment.read_fleet(log=True)['log']
        arrivals, _ = engine_rules.read_log(log)
        crashes = engine_rules.read_crashes(log)
        self.assertGreater(len(crashes), 1)
        self.assertEqual(
            [],
            part_rules.find_part_violations(
                arrivals, crashes, self.parts, CONTACT_MS
            ),
        )
        self.assertEqual([200] * 10, statuses[-10:])
        self.check_refused_by_all()
        self.restart_all()
        self.check_refused_by_all()
        log = self.deployment.read_fleet(log=True)['log']
        self.assertEqual(crashes, engine_rules.read_crashes(log))
