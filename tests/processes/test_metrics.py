"""Metrics scraped from running entries."""

from __future__ import annotations

import json
import re
import time
import unittest

from tools import processes
from tools import requester

FAMILIES = {
    'thornspool_requests_total': 'counter',
    'thornspool_request_duration_seconds': 'histogram',
    'thornspool_configuration_version': 'gauge',
    'thornspool_configuration_age_seconds': 'gauge',
    'thornspool_isolated': 'gauge',
    'thornspool_ready': 'gauge',
    'thornspool_members': 'gauge',
    'thornspool_targets': 'gauge',
    'thornspool_requests_in_flight': 'gauge',
    'thornspool_group_in_flight_requests': 'gauge',
    'thornspool_group_bound_requests': 'gauge',
    'thornspool_attempts_open': 'gauge',
    'thornspool_quarantine_records': 'gauge',
    'thornspool_quarantine_verdicts_total': 'counter',
    'thornspool_peer_bytes_total': 'counter',
    'thornspool_peer_messages_total': 'counter',
    'thornspool_platform_calls_total': 'counter',
    'thornspool_platform_errors_total': 'counter',
}
DOCUMENTS = [
    {'kind': 'workspace', 'name': 'slots'},
    {
        'kind': 'target',
        'name': 'nobody-1',
        'serves': 'service',
        'host': 'h1',
        'failure_domain': 'perth-a',
        'url': 'http://127.0.0.1:9',
        'leaving': True,
    },
    {
        'kind': 'service',
        'name': 'status',
        'workspace': 'slots',
        'targets': ['nobody-1'],
        'operations': [{'name': 'read-slot', 'idempotent': True}],
    },
]
WAIT_S = 20.0


class MetricsTest(unittest.TestCase):
    def _scrape(self, entry: processes.Process) -> dict[str, float]:
        """Return the value of each sample, and store the family types."""
        answer = requester.send('GET', f'{entry.ready["operators"]}/metrics')
        self.assertEqual(200, answer.status)
        text = answer.body.decode()
        self.types = dict(re.findall(r'^# TYPE (\S+) (\S+)$', text, re.M))
        samples = re.findall(r'^(thornspool\S*(?:{.*})?) (\S+)$', text, re.M)
        return {name: float(value) for name, value in samples}

    def _wait_for_samples(
        self, entry: processes.Process, expected: dict[str, float]
    ) -> dict[str, float]:
        """Scrape until the given samples have the expected values."""
        end = time.monotonic() + WAIT_S
        while True:
            samples = self._scrape(entry)
            current = {name: samples.get(name) for name in expected}
            if current == expected:
                return samples
            self.assertLess(time.monotonic(), end, f'{current} != {expected}')
            time.sleep(0.1)

    def _publish(self, entry: processes.Process) -> None:
        body = {'id': 'p1', 'base_version': 0, 'documents': DOCUMENTS}
        answer = requester.send(
            'POST',
            f'{entry.ready["operators"]}/v1/publications',
            json.dumps(body).encode(),
            {'Authorization': f'Bearer {processes.OPERATOR_TOKEN}'},
        )
        self.assertEqual(200, answer.status, answer.body)

    def test_samples_show_the_loss_of_an_entry_and_the_platform(self) -> None:
        """An entry and the platform are killed.

        Alerts use only these samples, so each must show the change.
        """
        with processes.open_processes() as scope:
            platform = scope.start('platform', 'standins.kv_store')
            url = {'kind': 'http', 'url': platform.ready['url']}
            one = scope.start_entry('one', platform=url)
            seeds = [one.ready['peers']]
            peers = {'listen': '127.0.0.1:0', 'seeds': seeds}
            two = scope.start_entry('two', platform=url, peers=peers)
            self._wait_for_samples(
                one, {'thornspool_members{state="alive"}': 2}
            )
            self._publish(one)
            answer = requester.send(
                'POST',
                f'{one.ready["callers"]}/v1/workspaces/slots/services/status'
                '/read-slot',
                b'{}',
            )
            self.assertEqual(503, answer.status, answer.body)
            samples = self._wait_for_samples(
                one,
                {
                    'thornspool_configuration_version': 1,
                    'thornspool_ready': 1,
                    'thornspool_isolated': 0,
                    'thornspool_targets{readiness="leaving"}': 1,
                    'thornspool_targets{readiness="ready"}': 0,
                    'thornspool_requests_in_flight': 0,
                    'thornspool_attempts_open': 0,
                    'thornspool_quarantine_records': 0,
                    'thornspool_quarantine_verdicts_total{verdict='
                    '"condemned"}': 0,
                },
            )
            self.assertLess(
                samples['thornspool_configuration_age_seconds'], 60
            )
            for start in (
                'thornspool_peer_bytes_total{direction="sent",kind=',
                'thornspool_peer_bytes_total{direction="received",kind=',
                'thornspool_platform_calls_total{kind=',
            ):
                found = [
                    samples[name] for name in samples if name.startswith(start)
                ]
                self.assertGreater(sum(found), 0, start)
            two.kill()
            platform.kill()
            self._wait_for_samples(
                one, {'thornspool_members{state="alive"}': 1}
            )
            samples = self._wait_for_samples(
                one, {'thornspool_isolated': 1, 'thornspool_ready': 0}
            )
            error_samples = [
                name for name in samples if 'platform_errors_' in name
            ]
            self.assertTrue(error_samples)
            for name, kind in FAMILIES.items():
                with self.subTest(name):
                    self.assertEqual(kind, self.types.get(name))
