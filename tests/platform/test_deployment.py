"""Tests of the ports that tests with processes allocate."""

from __future__ import annotations

import subprocess
import sys
import unittest

from tests.platform import deployment

_RESERVE = """
import sys
from tests.platform import deployment
print(deployment._reserve(int(sys.argv[1])))
"""


class PortTest(unittest.TestCase):
    def reserve_elsewhere(self, port):
        """Reserve ports in another process, which ends at once."""
        return subprocess.run(
            [sys.executable, '-c', _RESERVE, str(port)],
            cwd=deployment.ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()

    def test_two_runs_allocate_different_ports(self):
        """Guards against a port that another run takes while it is free."""
        (port,) = deployment.find_ports(1)
        self.assertTrue(deployment._is_free(port))
        offset = (port - deployment.PORTS.start) % deployment.BLOCK_PORTS
        first = port - offset
        self.assertEqual('False', self.reserve_elsewhere(first))
        self.assertFalse(deployment._reserve(first))
        # Only the run that holds the block uses the names within it.
        unreserved = first + 1
        self.assertEqual('True', self.reserve_elsewhere(unreserved))
        self.assertTrue(deployment._reserve(unreserved))

    def test_many_ports_need_few_file_descriptors(self):
        """Guards against a soak that ends as select() gets none below 1024."""
        before = len(deployment._reservations)
        ports = deployment.find_ports(500)
        self.assertEqual(500, len(set(ports)))
        self.assertLessEqual(len(deployment._reservations) - before, 7)
