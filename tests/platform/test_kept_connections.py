"""Tests of kept connections beside planned work, as processes."""

from __future__ import annotations

import contextlib
import http.client
import signal
import threading
import time
import unittest

import attrs

from standins import kv_fleet
from tests import answer_rules
from tests.platform import deployment
from tools import processes

DEADLINE_MS = 10_000
BOUNDS = answer_rules.Bounds()
THREADS = 6
PATHS = (
    ('POST', '/brief/1'),
    ('GET', '/read/1'),
    ('POST', '/brief/2'),
    ('POST', '/hold/1'),
)
SETTLE_S = 1.5
LONGEST_STOP_S = BOUNDS.grace_ms / 1000 + 1


@attrs.define
class Sent:
    """A request on a kept connection, and how it ended."""

    request: answer_rules.Request
    status: int
    body: bytes


class Caller:
    """Sends requests on one connection, and opens it again once closed."""

    def __init__(self, entry, name):
        self._entry = entry
        self._name = name
        self._connection = None
        self.is_stopping = False
        self.sent = []

    def run(self):
        """Send requests until told to stop, or until nothing listens."""
        while not self.is_stopping:
            try:
                self._open()
            except OSError:
                return
            method, path = PATHS[len(self.sent) % len(PATHS)]
            self.sent.append(self._send(method, path))

    def _open(self):
        self._is_kept = self._connection is not None
        if not self._is_kept:
            connection = http.client.HTTPConnection(
                '127.0.0.1', self._entry.ports[0], timeout=15
            )
            connection.connect()
            # A closed connection must not be opened again unnoticed.
            connection.auto_open = 0
            self._connection = connection

    def _send(self, method, path):
        attempt = f'{self._name}-{len(self.sent)}'
        sent_at = _read_clock_ms()
        status, body, is_complete = 0, b'', False
        with contextlib.suppress(OSError, http.client.HTTPException):
            self._connection.request(
                method,
                path,
                b'{}' if method == 'POST' else None,
                {
                    'Host': kv_fleet.HOST,
                    'Attempt-Id': attempt,
                    'Deadline-Ms': str(DEADLINE_MS),
                    'Token-Usage': '500,200',
                    'Authorization': f'Bearer {kv_fleet.KEY}',
                },
            )
            response = self._connection.getresponse()
            status = response.status
            body = response.read()
            is_complete = True
        ended_at = _read_clock_ms()
        if not is_complete or response.will_close:
            self._connection.close()
            self._connection = None
        return Sent(
            answer_rules.Request(
                attempt,
                'entry-0',
                sent_at,
                ended_at,
                sent_at + DEADLINE_MS,
                is_complete=is_complete,
                is_started=bool(status),
                is_on_kept_connection=self._is_kept,
            ),
            status,
            body,
        )


def _read_clock_ms():
    return time.monotonic_ns() // 1_000_000


def build_versions():
    """Build versions that change what applies to requests in progress."""
    versions = {}
    for number, name in enumerate(
        ('timeouts', 'idle time', 'moved', 'split', 'keys', 'limits'), 2
    ):
        versions[name] = kv_fleet.build_configuration(number)
    for route in versions['timeouts']['routes']:
        route['timeout_ms'] = 5_000
    versions['idle time']['limits'].update(
        {'idle_timeout_ms': 100, 'header_timeout_ms': 100}
    )
    model = versions['moved']['services'][0]
    versions['moved']['services'] += [
        {**model, 'name': 'moved-drafting'},
        {'name': 'moved-ledger'},
    ]
    for route in versions['moved']['routes']:
        route['service'] = f'moved-{route["service"]}'
    versions['split']['services'].append({'name': 'other'})
    for route in versions['split']['routes']:
        if route['service'] == kv_fleet.PLAIN_SERVICE:
            route['traffic_split'] = [
                {'service': kv_fleet.PLAIN_SERVICE, 'weight': 0.9},
                {'service': 'other', 'weight': 0.1},
            ]
    versions['keys']['tenants'].append({'name': 'more', 'api_keys': ['x']})
    versions['limits']['limits']['max_body_bytes'] = 1_000
    return versions


class KeptConnectionTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        running = stack.enter_context(processes.open_processes())
        self.deployment = deployment.Deployment(running)
        self.entry = self.deployment.start_entry('a')
        deployment.wait_until(self.serves)
        self.callers = []

    def serves(self):
        held_layers = self.deployment.read_fleet()['servers'].values()
        return (
            self.entry.is_ready()
            and all(held_layers)
            and self.entry.call('POST', '/brief/0', 'warm').status == 200
        )

    @contextlib.contextmanager
    def send_meanwhile(self, name):
        """Keep connections with requests in them in the meantime."""
        self.callers = [
            Caller(self.entry, f'{name}-{number}') for number in range(THREADS)
        ]
        threads = [
            threading.Thread(target=caller.run) for caller in self.callers
        ]
        for one in threads:
            one.start()
        time.sleep(SETTLE_S)
        yield
        for caller in self.callers:
            caller.is_stopping = True
        for one in threads:
            one.join(20)

    def list_sent(self):
        return [one for caller in self.callers for one in caller.sent]

    def check(self, statuses):
        """Check that all requests that were passed on have an answer."""
        ran = self.deployment.read_fleet()['runs']
        sent = self.list_sent()
        self.assertGreater(
            sum(one.request.is_on_kept_connection for one in sent), THREADS
        )
        cut = [
            one.request
            for one in sent
            if not one.request.is_complete and one.request.id in ran
        ]
        self.assertEqual([], cut)
        late = [
            one.request
            for one in sent
            if not one.request.is_complete
            and one.request.ended_at - one.request.sent_at
            > BOUNDS.loss_slack_ms
        ]
        self.assertEqual([], late)
        self.assertEqual(set(), {one.status for one in sent} - statuses)

    def test_requests_are_answered_beside_a_hangup_signal(self):
        """Guards against kept connections that a SIGHUP closes."""
        with self.send_meanwhile('hangup'):
            for _ in range(3):
                self.entry.popen.send_signal(signal.SIGHUP)
                time.sleep(1.0)
        self.check({200})

    def test_requests_are_answered_until_the_process_has_ended(self):
        """Guards against kept connections that are closed with a request.

        Callers keep connections, and open new ones, until nothing listens.
        """
        with self.send_meanwhile('term'):
            self.entry.popen.send_signal(signal.SIGTERM)
            self.entry.popen.wait(LONGEST_STOP_S)
        # A request that crosses the close of its connection gets no answer.
        self.check({200, 503, 0})

    def test_requests_are_answered_beside_changes_of_the_configuration(self):
        """Guards against changes that end requests accepted before them."""
        with self.send_meanwhile('change'):
            for document in build_versions().values():
                self.deployment.control(put='op/config', document=document)
                time.sleep(SETTLE_S)
        self.check({200, 503})
