"""Tests of odd entries in the list of servers, as processes."""

from __future__ import annotations

import concurrent.futures
import contextlib
import time
import unittest

from standins import kv_fleet
from tests import builders
from tests.platform import builders as platform_builders
from tests.platform import deployment
from tools import processes

STREAMS = 12
CLAIM_S = 0.6


class OddEntryTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        running = stack.enter_context(processes.open_processes())
        self.deployment = deployment.Deployment(running)
        self.entry = self.deployment.start_entry('a')
        deployment.wait_until(self.is_ready)

    def is_ready(self):
        return (
            self.entry.is_ready()
            and all(self.deployment.read_fleet()['servers'].values())
            and self.call('POST', '/brief/0', 'warm') == 200
        )

    def call(self, method, path, label):
        return self.entry.call(method, path, label).status

    def test_entries_without_an_address_are_not_used(self):
        """Guards against calls that try addresses which name no server."""
        for number, address in enumerate(builders.ODD_ADDRESSES):
            for service in (kv_fleet.PLAIN_SERVICE, kv_fleet.MODEL_SERVICE):
                self.deployment.control(
                    put=f'servers/odd-{service}-{number}',
                    document=platform_builders.build_server_entry(
                        service, address
                    ),
                )
        deployment.wait_until(
            lambda: (
                len(self.entry.find_lines('server_entry_ignored'))
                == 2 * len(builders.ODD_ADDRESSES)
            )
        )
        for number in range(10):
            for method, path in (('GET', '/read/1'), ('POST', '/hold/1')):
                label = f'{path[1:5]}-{number}'
                with self.subTest(label):
                    self.assertEqual(200, self.call(method, path, label))
        self.assertEqual(200, self.call('POST', '/brief/1', 'brief'))
        self.assertEqual([], self.entry.find_lines('request_unsendable'))
        self.assertIsNone(self.entry.popen.poll())

    def test_claimed_engines_keep_their_streams(self):
        """Guards against streams that records of other programs end.

        These list later processes at the addresses of engines that still run;
        then an engine elsewhere crashes.
        """
        engines = [f'b-{number}' for number in range(3)]
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            for service in ('', 'night-export'):
                lost = f'a-{1 + bool(service)}'
                with self.subTest(service):
                    self.deployment.control(kill=lost)
                    self.deployment.control(claim=engines, service=service)
                    time.sleep(CLAIM_S)
                    streams = [
                        pool.submit(
                            self.entry.call,
                            'POST',
                            '/brief/1',
                            f'brief-{service}-{number}',
                        )
                        for number in range(STREAMS)
                    ]
                    for one in streams:
                        response = one.result()
                        self.assertEqual(
                            (200, True), (response.status, response.complete)
                        )
                    for name in engines:
                        self.assertEqual(
                            [],
                            self.entry.find_lines('server_ended', server=name),
                        )
        self.assertEqual(
            [], self.entry.find_lines('run_repeated', proof='server_ended')
        )
