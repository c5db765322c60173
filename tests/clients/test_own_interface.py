"""Crowds of clients that do not behave, at the own interface of an entry."""

from __future__ import annotations

import resource
import time
import unittest
import urllib.request

from tests.clients import trials
from tools import processes

SECONDS = 3.0
MACHINE = trials.Machine(200, 2_870)
CALL_TIMEOUT_S = 3.0
CALL_PATH = '/v1/workspaces/w/services/s/operate'
MIN_SERVED_SHARE = 0.9


class OwnInterfaceTest(unittest.TestCase):
    def setUp(self):
        running = self.enterContext(processes.open_processes())
        limits = {
            'memory_mb': MACHINE.memory_mb,
            'descriptors': MACHINE.descriptors,
        }
        self.entry = running.start_entry('one', host_limits=limits)
        self.popen = self.entry.popen
        resource.prlimit(
            self.popen.pid, resource.RLIMIT_NOFILE, (MACHINE.descriptors,) * 2
        )
        self.urls = [
            self.entry.ready['callers'],
            self.entry.ready['operators'],
        ]
        self.ports = [int(url.rpartition(':')[2]) for url in self.urls]

    def call(self) -> bool:
        """Return whether a health check is answered in time."""
        try:
            url = f'{self.urls[0]}/v1/health'
            with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as answer:
                return answer.status == 200
        except OSError:
            return False

    def check(self, part: trials.Part, port: int, path: str) -> None:
        """Play a crowd beside health checks."""
        watch = trials.MemoryWatch(self.popen, self.ports, MACHINE.memory_mb)
        crowd = part.start_at(port, path, SECONDS)
        served = []
        while crowd.poll() is None:
            served.append(self.call())
            time.sleep(0.05)
        crowd.communicate()
        watch.stop()
        text = (
            f'{part} {path}: {sum(served)} of {len(served)} served, at most'
            f' {watch.peak / 2**20:.0f} MB'
        )
        print(text, flush=True)
        self.assertIsNone(self.popen.poll(), text)
        self.assertGreaterEqual(
            sum(served), MIN_SERVED_SHARE * len(served), text
        )

    def test_crowds_at_the_port_for_callers(self):
        """Guards against callers that end or block an entry."""
        for kind, connections, path in (
            ('send_whole_body', 150, CALL_PATH),
            ('send_whole_body', 150, '/none'),
            ('stop_before_last_byte', 300, CALL_PATH),
            ('send_fields_without_body', 2_000, CALL_PATH),
            ('send_many_fields', 200, '/none'),
            ('send_nothing', 3_000, ''),
            ('pipeline_gets', 100, '/v1/entries'),
        ):
            part = trials.Part(kind, 'callers', connections)
            with self.subTest(kind):
                self.check(part, self.ports[0], path or '/')

    def test_crowds_at_the_port_for_operators(self):
        """Guards against operators that end or block an entry."""
        for kind, connections, path in (
            ('send_whole_body', 150, '/v1/publications'),
            ('send_many_fields', 200, '/v1/status'),
            ('send_nothing', 3_000, '/'),
            ('pipeline_gets', 100, '/metrics'),
        ):
            part = trials.Part(kind, 'operators', connections)
            with self.subTest(kind):
                self.check(part, self.ports[1], path)
