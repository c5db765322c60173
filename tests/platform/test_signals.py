"""Tests of signals that arrive while an entry starts."""

from __future__ import annotations

import contextlib
import pathlib
import signal
import unittest

from tests.platform import deployment
from tools import processes


class StartTest(unittest.TestCase):
    def test_hangup_during_the_start_does_not_end_the_entry(self):
        """Guards against a signal that comes before its handler is there."""
        with contextlib.ExitStack() as stack:
            running = stack.enter_context(processes.open_processes())
            entry = deployment.Deployment(running).start_entry()
            deployment.wait_until(lambda: expects_hangup(entry.popen.pid))
            self.assertFalse(entry.has_started())
            while not entry.has_started():
                self.assertIsNone(entry.popen.poll())
                entry.popen.send_signal(signal.SIGHUP)
            deployment.wait_until(entry.is_ready)


def expects_hangup(pid):
    """Return whether a process ignores or handles SIGHUP."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    masks = dict(line.split(':\t') for line in status.splitlines())
    bit = 1 << (signal.SIGHUP - 1)
    return any(int(masks[name], 16) & bit for name in ('SigIgn', 'SigCgt'))
