"""Tests of an entry's metrics."""

from __future__ import annotations

import functools
import unittest

from thornspool import metrics
from thornspool import state_metrics
from thornspool.adapters.peers import traffic


class CountersTest(unittest.TestCase):
    def test_renders_current_byte_counts_by_direction_and_kind(self) -> None:
        subject = metrics.Metrics()
        peer_traffic = traffic.Traffic()
        name = 'thornspool_peer_bytes_total'
        read = functools.partial(
            state_metrics._list_traffic_samples, peer_traffic, 'bytes'
        )
        subject.add_counter(name, 'Bytes.', read)
        peer_traffic.sent['membership.Ping'].add(40)
        subject.render()
        peer_traffic.sent['membership.Ping'].add(2)
        peer_traffic.received['membership.Ack'].add(7)
        lines = subject.render()[0].decode().splitlines()
        self.assertIn(
            f'{name}{{direction="sent",kind="membership.Ping"}} 42', lines
        )
        self.assertIn(
            f'{name}{{direction="received",kind="membership.Ack"}} 7', lines
        )

    def test_renders_tokens_and_their_intervals_by_workspace(self):
        subject = metrics.Metrics()
        name = 'thornspool_between_tokens_seconds'
        subject.observe_tokens('a', 1, 49)
        subject.render()
        for workspace, count, interval_ms in (('a', 3, 51), ('b', 1, 49)):
            subject.observe_tokens(workspace, count, interval_ms)
        lines = subject.render()[0].decode().splitlines()
        for line in (
            'thornspool_tokens_total{workspace="a"} 4',
            'thornspool_tokens_total{workspace="b"} 1',
            f'{name}_bucket{{le="0.049",workspace="a"}} 1.0',
            f'{name}_count{{workspace="a"}} 2.0',
            f'{name}_sum{{workspace="a"}} 0.1',
            f'{name}_count{{workspace="b"}} 1.0',
        ):
            self.assertIn(line, lines)
