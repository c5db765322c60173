"""Tests of what entries conclude from the store when they start."""

from __future__ import annotations

import contextlib
import time
import unittest

from tests.platform import deployment
from tools import processes

SETTLE_S = 2.0
"""Time after which an entry knows the past, if anything tells it."""


class FirstStartTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        running = stack.enter_context(processes.open_processes())
        self.deployment = deployment.Deployment(running)
        self.entries = [self.deployment.start_entry(domain) for domain in 'ab']
        for entry in self.entries:
            deployment.wait_until(lambda entry=entry: self.find_known(entry))

    def find_known(self, entry, **fields):
        """Return the lines on a history of retries that is complete."""
        return entry.find_lines(
            'retry_history_changed', known='true', **fields
        )

    def test_first_start_needs_no_window(self):
        """Guards against callers who pay for a past that never was."""
        self.assertTrue(
            any(
                self.find_known(entry, source='first_start')
                for entry in self.entries
            )
        )

    def test_start_after_all_leases_ended_is_not_the_first(self):
        """Guards against retries that a new process takes for never sent."""
        self.deployment.control_store(mode='busy', end_leases=True)
        for entry in self.entries:
            entry.popen.kill()
            entry.popen.wait()
        self.deployment.control_store(mode='up')
        before = [len(self.find_known(entry)) for entry in self.entries]
        for entry in self.entries:
            self.deployment.restart(entry)
        for entry in self.entries:
            deployment.wait_until(entry.is_ready)
        time.sleep(SETTLE_S)
        self.assertEqual(
            before, [len(self.find_known(entry)) for entry in self.entries]
        )
