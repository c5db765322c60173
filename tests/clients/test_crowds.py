"""Crowds of clients that do not behave, against an entry as a process.

Ordinary callers go on beside each crowd. The entry runs with the limits of
the smallest machine of the deployments, and is stopped when it exceeds them.
"""

from __future__ import annotations

import unittest

from tests.clients import builders
from tests.clients import trials
from tests.platform import deployment
from tools import processes

SECONDS = 3.0
MIN_SERVED_SHARE = 0.9
MAX_CHECKS_MISSED = 1
"""Readiness checks in a row; two take an entry out."""


class CrowdTest(unittest.TestCase):
    def setUp(self):
        self.running = self.enterContext(processes.open_processes())
        self.deployed = deployment.Deployment(self.running)
        self.entry = trials.start_entry(self.deployed, trials.SMALLEST)

    def check(self, *parts: trials.Part) -> None:
        """Play a crowd, and check the entry and its ordinary callers."""
        result = trials.play(
            self.entry, parts, SECONDS, trials.SMALLEST, settle_s=2.0
        )
        print(result.describe(), flush=True)
        self.assertIsNone(result.exit_code, result.describe())
        with self.subTest(result.name):
            for outcome in (result.during, result.after):
                self.assertGreaterEqual(
                    outcome.served,
                    MIN_SERVED_SHARE * outcome.calls,
                    result.describe(),
                )
                self.assertLessEqual(
                    outcome.missed_in_row, MAX_CHECKS_MISSED, result.describe()
                )

    def test_large_bodies(self):
        """Guards against bodies of legal size that fill the memory."""
        for door in ('route', 'no route', 'peers'):
            self.check(trials.Part('send_whole_body', door, 150))
        for kind, connections in (
            ('send_whole_body', 1_200),
            ('send_pieces', 150),
            ('send_small_chunks', 100),
            ('stop_before_last_byte', 300),
            ('stop_before_last_byte_of_chunk', 300),
            ('send_chunks_without_end', 50),
            ('exceed_body_limit', 100),
            ('expect_continue', 200),
        ):
            self.check(trials.Part(kind, 'route', connections))

    def test_bodies_that_are_not_used(self):
        """Guards against bodies that fill the memory where none is read."""
        for door in ('readiness', 'lookups', 'metrics'):
            self.check(trials.Part('send_whole_body', door, 100))

    def test_heads(self):
        """Guards against heads that take the time or memory of others."""
        self.check(trials.Part('send_fields_without_body', 'route', 3_000))
        for door in ('route', 'readiness'):
            self.check(trials.Part('send_many_fields', door, 300))
        self.check(trials.Part('send_same_field', 'route', 300))
        self.check(trials.Part('send_head_without_end', 'route', 200))

    def test_connections_without_requests(self):
        """Guards against connections that use up all descriptors."""
        for door in ('route', 'readiness', 'peers'):
            self.check(trials.Part('send_nothing', door, 4_500))
        self.check(trials.Part('connect_and_leave', 'route', 400))

    def test_slow_clients(self):
        """Guards against slow requests that use up all descriptors."""
        self.check(trials.Part('send_head_slowly', 'route', 3_900))
        self.check(trials.Part('send_body_slowly', 'route', 3_900))

    def test_requests_without_readers(self):
        """Guards against requests whose answers nobody reads."""
        self.check(trials.Part('pipeline_gets', 'metrics', 100))
        self.check(trials.Part('pipeline_gets', 'no route', 100))
        self.check(trials.Part('pipeline_posts', 'route', 100))
        self.check(trials.Part('reset_after_request', 'route', 100))

    def test_several_crowds(self):
        """Guards against crowds that together get past each limit."""
        self.check(
            trials.Part('send_whole_body', 'route', 100),
            trials.Part('send_nothing', 'peers', 2_000),
        )
        self.check(
            trials.Part('stop_before_last_byte', 'route', 100),
            trials.Part('send_many_fields', 'route', 100),
        )
        self.check(
            trials.Part('send_head_slowly', 'route', 2_000),
            trials.Part('send_whole_body', 'no route', 50),
        )


class CalmTest(unittest.TestCase):
    def test_largest_requests_are_served_in_calm(self):
        """Guards against limits that a legal request exceeds."""
        with processes.open_processes() as running:
            deployed = deployment.Deployment(running)
            entry = trials.start_entry(deployed, trials.SMALLEST)
            body = bytes(builders.BODY_BYTES)
            for path in builders.ROUTES:
                response = entry.call('POST', f'{path}x', path, body=body)
                self.assertEqual(200, response.status)
            room = builders.HEAD_BYTES - 1_000
            for number, headers in enumerate(
                (
                    {f'{one:x}': '' for one in range(2_200)},
                    {'X': 'x' * room},
                    {'Prompt-Prefix': ','.join(['a:1'] * (room // 4))},
                )
            ):
                response = entry.call(
                    'POST', '/brief/x', f'head-{number}', **headers
                )
                self.assertEqual(200, response.status)
