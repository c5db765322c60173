"""Tests of the metrics of an entry's state, with fake services."""

from __future__ import annotations

import collections
import types
import unittest

from tests import builders
from thornspool import metrics as metrics_module
from thornspool import state_metrics
from thornspool.adapters import connections
from thornspool.adapters.peers import traffic as traffic_module
from thornspool.adapters.store import memory
from thornspool.application import ports
from thornspool.domain.clients import connections as clients
from thornspool.domain.clients import limits
from thornspool.domain.limits import concurrency
from thornspool.domain.targets import messages as target_messages

READINESS = {
    'up': target_messages.Readiness.READY,
    'down': target_messages.Readiness.UNREACHABLE,
    'gone': target_messages.Readiness.UNREACHABLE,
}


class ReadingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = builders.FakeClock()
        self.version = 0
        self.members = [
            builders.build_member('one'),
            builders.build_member('two', state=ports.MemberState.SUSPECT),
        ]
        self.subscribers: list[object] = []
        services = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                subscribe=self.subscribers.append,
                version=lambda: self.version,
                snapshot=lambda: types.SimpleNamespace(targets=READINESS),
            ),
            is_isolated=lambda: False,
            is_ready=lambda: True,
            members=types.SimpleNamespace(list_members=lambda: self.members),
            targets=types.SimpleNamespace(read_readiness=READINESS.get),
            admission=types.SimpleNamespace(
                groups={'slots': concurrency.GroupLimit(40.0, in_flight=6)}
            ),
            drain=types.SimpleNamespace(in_flight=3),
            actions=types.SimpleNamespace(open_count=2),
            quarantine=types.SimpleNamespace(
                verdicts=collections.Counter(clear=5), record_count=4
            ),
        )
        self.traffic = traffic_module.Traffic()
        self.metrics = metrics_module.Metrics()
        state_metrics.add_state_metrics(
            self.metrics,
            self.clock,
            services,  # type: ignore[arg-type]
            memory.MemoryPlatform(self.clock),
            self.traffic,
        )

    def _read_samples(self) -> dict[str, float]:
        body, _ = self.metrics.render()
        lines = [
            line for line in body.decode().splitlines() if line[:1] != '#'
        ]
        return {
            name: float(value)
            for name, value in (line.rsplit(' ', 1) for line in lines if line)
        }

    def test_configuration_age_restarts_with_each_version(self) -> None:
        name = 'thornspool_configuration_age_seconds'
        self.clock.advance(1500)
        self.assertEqual(1.5, self._read_samples()[name])
        for notify in self.subscribers:
            notify(None)  # type: ignore[operator]
        self.assertEqual(0, self._read_samples()[name])
        self.clock.advance(250)
        self.assertEqual(0.25, self._read_samples()[name])

    def test_count_of_a_state_without_members_is_zero(self) -> None:
        """Guards against an entry that is counted in two states.

        A suspected entry is declared dead. A gauge that keeps its last value
        would still count it as suspected.
        """
        name = 'thornspool_members{{state="{}"}}'
        samples = self._read_samples()
        self.assertEqual(1, samples[name.format('suspect')])
        self.assertEqual(0, samples[name.format('dead')])
        self.members[1] = builders.build_member(
            'two', state=ports.MemberState.DEAD
        )
        samples = self._read_samples()
        self.assertEqual(0, samples[name.format('suspect')])
        self.assertEqual(1, samples[name.format('dead')])

    def test_each_metric_shows_the_value_of_its_service(self) -> None:
        self.version = 7
        self.traffic.sent['Gossip'].add(40)
        self.traffic.sent['Gossip'].add(2)
        self.traffic.dropped['full'] += 1
        expected = {
            'thornspool_configuration_version': 7,
            'thornspool_isolated': 0,
            'thornspool_ready': 1,
            'thornspool_requests_in_flight': 3,
            'thornspool_group_in_flight_requests{group="slots"}': 6,
            'thornspool_group_bound_requests{group="slots"}': 40,
            'thornspool_attempts_open': 2,
            'thornspool_quarantine_records': 4,
            'thornspool_quarantine_verdicts_total{verdict="clear"}': 5,
            'thornspool_targets{readiness="ready"}': 1,
            'thornspool_targets{readiness="unreachable"}': 2,
            'thornspool_targets{readiness="leaving"}': 0,
            'thornspool_peer_bytes_total{direction="sent",kind="Gossip"}': 42,
            'thornspool_peer_messages_total'
            '{direction="sent",kind="Gossip"}': 2,
            'thornspool_peer_dropped_total{reason="full"}': 1,
        }
        samples = self._read_samples()
        self.assertEqual(
            expected, {name: samples.get(name) for name in expected}
        )
        self.traffic.sent['Gossip'].add(1)
        name = 'thornspool_peer_bytes_total{direction="sent",kind="Gossip"}'
        self.assertEqual(43, self._read_samples()[name])


class ClientMetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_memory_and_refusals_are_shown(self):
        """Guards against refusals that operators can't see."""
        manager = connections.ConnectionManager(
            builders.FakeClock(), limits.compute_capacity(112, 2_870)
        )
        pool = manager.add_pool('callers', 0.45)
        client = clients.Connection(lambda: None, 0)
        pool.add(client)
        manager.memory.open(client)
        manager.count(pool, 'memory')
        registry = metrics_module.Metrics()
        state_metrics.add_client_metrics(registry, manager)
        text = registry.render()[0].decode()
        for line in (
            'client_connections{listener="callers",phase="open"} 1',
            'client_connections_max{listener="callers"} 1201',
            f'client_memory_bytes {clients.CONNECTION_BYTES}',
            f'client_memory_max_bytes {manager.memory.budget_bytes}',
            'clients_refused_total{listener="callers",reason="memory"} 1',
        ):
            self.assertIn(f'thornspool_{line}', text)
        manager.remove_pool(pool)
