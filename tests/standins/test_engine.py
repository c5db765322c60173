"""Tests of the behaviour of the stand-in engine that other tests rely on."""

from __future__ import annotations

import json
import unittest
import urllib.error
import urllib.request

from tests.standins import processes


class EngineTest(unittest.TestCase):
    def setUp(self):
        self.engine = processes.EngineProcess(
            'a-1', '--end-layer', 4, '--step-ms', 1, '--max-batch', 3
        )
        self.addCleanup(self.engine.end)
        self.engine.wait()

    def post(self, attempt, request='r', **fields):
        stage = {
            'target': 'a-1',
            'url': self.engine.url,
            'first_layer': 0,
            'end_layer': 4,
        }
        body = {
            'request': request,
            'attempt': attempt,
            'model': 'text',
            'version': '1',
            'adapter': '',
            'route': [stage],
            'prompt': 'Prompt',
            'resume': [],
            'max_tokens': 2,
            'priority': 0,
            **fields,
        }
        with urllib.request.urlopen(
            self.engine.url + '/v1/generate',
            json.dumps(body).encode(),
            timeout=5,
        ) as response:
            return [json.loads(line) for line in response]

    def test_frames_have_receipts_and_the_end_has_the_count(self):
        first, second, end = self.post(0)
        self.assertEqual(first['receipts'], [[0, 4, 'a-1']])
        self.assertEqual([first['index'], second['index']], [0, 1])
        self.assertEqual(end['end'], 2)

    def test_response_includes_only_the_requested_reports(self):
        for tell, expected in (
            ([], [False, False, False]),
            (['loads'], [False, False, True]),
            (['hops', 'unheard'], [False, True, False]),
            (['hops', 'loads'], [False, True, True]),
        ):
            with self.subTest(tell):
                lines = self.post(0, request=str(tell), tell=tell)
                found = ['loads' in line or 'hops' in line for line in lines]
                self.assertEqual(found, expected)
        self.assertEqual(lines[-1]['loads'][0]['max_batch'], 3)

    def test_older_attempts_are_refused_if_fencing_is_enforced(self):
        """An attempt arrives after a newer attempt of the same request.

        Some engines refuse it and others run it; tests need both kinds.
        """
        self.post(2)
        with self.assertRaises(urllib.error.HTTPError) as raised:
            self.post(1)
        self.assertEqual(json.load(raised.exception)['state'], 'fenced')
        raised.exception.close()
        self.engine.order(fencing='ignore')
        self.assertEqual(len(self.post(1)), 3)

    def test_leaving_engine_reports_the_state(self):
        """A load request to a leaving engine gets status 409."""
        self.engine.order(leave=True)
        with self.assertRaises(urllib.error.HTTPError) as raised:
            urllib.request.urlopen(self.engine.url + '/v1/load', timeout=5)
        self.assertEqual(json.load(raised.exception)['state'], 'leaving')
        raised.exception.close()
