"""Tests of an entry's metrics."""

from __future__ import annotations

import functools
import unittest

from thornspool import metrics
from thornspool import readings
from thornspool.adapters.peers import traffic


class CountsTest(unittest.TestCase):
    def test_bytes_between_entries_are_rendered_as_they_are(self) -> None:
        subject = metrics.Metrics()
        counted = traffic.Traffic()
        name = 'thornspool_peer_bytes_total'
        read = functools.partial(readings._read_traffic, counted, 'bytes')
        subject.add_counter(name, 'Bytes.', read)
        counted.sent['membership.Ping'].add(40)
        subject.render()
        counted.sent['membership.Ping'].add(2)
        counted.received['membership.Ack'].add(7)
        lines = subject.render()[0].decode().splitlines()
        self.assertIn(
            f'{name}{{direction="sent",kind="membership.Ping"}} 42', lines
        )
        self.assertIn(
            f'{name}{{direction="received",kind="membership.Ack"}} 7', lines
        )
