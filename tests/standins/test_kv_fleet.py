"""Tests of the stand-in of a fleet of the platform's servers."""

from __future__ import annotations

import base64
import contextlib
import json
import unittest
import urllib.error
import urllib.request

from tests.platform import deployment
from tools import processes

ENGINE = 'a-0'
PLACE = {'operation': 'place', 'from': 0, 'to': 4, 'expected': 0}


class StoreOutageTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        running = stack.enter_context(processes.open_processes())
        self.deployment = deployment.Deployment(running)
        self.records = self.deployment.read_fleet()['records']

    def call(self, server, path, document=None):
        body = None if document is None else json.dumps(document).encode()
        request = urllib.request.Request(
            f'http://{self.records[server]["address"]}{path}', body
        )
        try:
            with urllib.request.urlopen(request, timeout=2) as response:
                return response.status
        except urllib.error.HTTPError as error:
            return error.code

    def read_listed_layers(self):
        url = f'{self.deployment.store_url}/v1/kv-key?key=servers/{ENGINE}'
        with urllib.request.urlopen(url, timeout=2) as response:
            value = json.load(response)['value']
        return json.loads(base64.b64decode(value))['layers']

    def test_servers_answer_while_the_store_does_not(self):
        """A server that waits for the store makes all others silent."""
        for number, mode in enumerate(('busy', 'silent')):
            with self.subTest(mode):
                self.deployment.control_store(mode=mode)
                order = {**PLACE, 'expected': number}
                self.assertEqual(202, self.call(ENGINE, '/v1/order', order))
                self.assertEqual(200, self.call('b-0', '/v1/report'))

    def test_layers_are_listed_after_an_outage(self):
        """An engine that is not listed with its layers serves nothing."""
        self.deployment.control_store(mode='busy')
        self.assertEqual(202, self.call(ENGINE, '/v1/order', PLACE))
        self.deployment.control_store(mode='up')
        deployment.wait_until(
            lambda: (self.read_listed_layers() or {}).get('to') == 4
        )
