"""Contract tests of the caller API with fake use cases."""

from __future__ import annotations

import asyncio
import json

from tornado import testing

from thornspool.adapters.callers import context
from thornspool.adapters.callers import routes
from thornspool.application import exceptions
from thornspool.application import membership
from thornspool.application import requests
from thornspool.application.generation import messages as generation
from thornspool.domain.actions import results
from thornspool.domain.pipelines import messages

GENERATE = '/v1/workspaces/swan-coast/models/drafter/generate'
HOLD = '/v1/workspaces/swan-coast/services/slots/hold'

KEYS = '/v1/workspaces/swan-coast/keys'

# path, body, status, part of the detail
INVALID_INPUT = (
    (GENERATE, b'{"prompt": ', 400, 'not a request for text'),
    (GENERATE, b'[]', 400, 'not a request for text'),
    (GENERATE, b'{"max_tokens": 3}', 400, 'prompt'),
    (GENERATE, b'{"prompt": "a", "max_tokens": 0}', 400, 'max_tokens'),
    (GENERATE, b'{"prompt": "a", "max_tokens": "9"}', 400, 'int'),
    (GENERATE, b'{"prompt": "a", "timeout_ms": 0}', 400, 'timeout_ms'),
    (GENERATE, b'{"prompt": "a", "promt": "b"}', 400, 'promt'),
    (GENERATE, b'{"prompt": "a", "workspace": "b"}', 400, 'in the path'),
    (GENERATE, b'{"prompt": "a", "model": "b"}', 400, 'in the path'),
    (HOLD, b'{"slot": ', 400, 'not JSON'),
    (HOLD, b'', 400, 'not JSON'),
    (HOLD, b'{"nested": {"open": [1, 2}', 400, 'not JSON'),
    ('/v1/workspaces/swan-coast/hold', b'{}', 404, 'docs/api.md'),
)

# result or error of the use case, status, outcome, retry_after_ms
RESULTS = (
    (results.ActionNotRun('busy', 1200), 503, 'not run', 1200),
    (results.ActionUnknown('lost', 3000), 504, 'unknown', 3000),
    (results.ActionRefused('reused'), 422, 'not run', None),
    (requests.RequestRefused('limit', 400), 503, 'not run', 400),
    (exceptions.UnknownName('service', 'x'), 404, 'not run', None),
    (exceptions.MalformedRequest('no key'), 400, 'not run', None),
    (ValueError('unforeseen'), 500, 'unknown', None),
)

# result or error of the use case, key, key_checked of the problem
KEY_CHECKED = (
    (results.ActionNotRun('busy', 1200, True), 'k', True),
    (results.ActionNotRun('busy', 1200, False), 'k', False),
    (results.ActionUnknown('lost', 3000), 'k', False),
    (results.ActionRefused('reused'), 'k', False),
    (requests.RequestRefused('limit', 400), 'k', False),
    (requests.RequestRefused('limit', 400), '', None),
    (exceptions.UnknownName('service', 'x'), 'k', None),
)


class FakeRequests:
    """Use cases that return the result set by the test."""

    def __init__(self) -> None:
        self.result = results.ActionDone(200, 'text/plain', b'held', False)
        self.events = []
        self.calls = []
        self.closed = asyncio.Event()
        self.hangs = False

    async def run_operation(self, request):
        self.calls.append(request)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result

    def mint_key(self, workspace):
        self.calls.append(workspace)
        if isinstance(self.result, Exception):
            raise self.result
        return 'key@entry-1'

    async def look_up(self, workspace, key):
        return await self.run_operation((workspace, key))

    async def stream(self, request):
        self.calls.append(request)
        try:
            for event in self.events:
                if isinstance(event, Exception):
                    raise event
                yield event
            if self.hangs:
                await asyncio.sleep(30)
        finally:
            self.closed.set()


class RoutesTest(testing.AsyncHTTPTestCase):
    def get_app(self):
        self.requests = FakeRequests()
        entries = membership.EntriesResponse(
            (membership.Entry('http://10.0.0.1:8000', 'a'),),
            10_000,
            ('http://10.0.0.9:8000',),
        )
        return routes.make_application(
            context.CallerContext(
                requests=self.requests,
                list_entries=lambda: entries,
                make_request_id=lambda: 'request-1',
                is_ready=lambda: False,
            )
        )

    def post(self, path, body, **headers):
        names = {k.replace('_', '-'): v for k, v in headers.items()}
        return self.fetch(path, method='POST', body=body, headers=names)

    def test_entries_have_a_cache_lifetime(self) -> None:
        response = self.fetch('/v1/entries')
        body = json.loads(response.body)
        self.assertEqual('http://10.0.0.1:8000', body['entries'][0]['url'])
        self.assertEqual(['http://10.0.0.9:8000'], body['leaving'])
        self.assertEqual('max-age=10', response.headers['Cache-Control'])

    def test_health_differs_from_readiness(self) -> None:
        self.assertEqual(200, self.fetch('/v1/health').code)
        self.assertEqual(503, self.fetch('/v1/ready').code)

    def test_invalid_input_is_rejected_without_a_call(self) -> None:
        for path, body, status, detail in INVALID_INPUT:
            with self.subTest(path=path, body=body):
                response = self.post(path, body)
                problem = json.loads(response.body)
                self.assertEqual(status, response.code)
                self.assertIn(detail, problem['detail'])
                self.assertEqual('not run', problem['outcome'])
        self.assertEqual([], self.requests.calls)

    def test_problem_has_the_outcome_of_the_result(self) -> None:
        for result, status, outcome, retry_after_ms in RESULTS:
            with self.subTest(result=result):
                self.requests.result = result
                response = self.post(HOLD, b'{}', Idempotency_Key='k')
                problem = json.loads(response.body)
                self.assertEqual(status, response.code)
                self.assertEqual(outcome, problem['outcome'])
                self.assertEqual(retry_after_ms, problem.get('retry_after_ms'))
                self.assertEqual(
                    retry_after_ms is not None,
                    'Retry-After' in response.headers,
                )

    def test_response_is_forwarded_unchanged(self) -> None:
        response = self.post(HOLD, b'{"slot": 1}', Idempotency_Key='k')
        self.assertEqual(b'held', response.body)
        self.assertEqual('false', response.headers['Idempotency-Replayed'])
        self.assertEqual('k', self.requests.calls[0].key)

    def test_problems_of_actions_report_key_checked(self):
        """Guards against double execution after a refused retry.

        A request is refused although an earlier one with the same key was
        executed. A caller that applies "not run" to the key would book again
        with a new key and hold two slots.
        """
        for result, key, checked in KEY_CHECKED:
            with self.subTest(result=result, key=key):
                self.requests.result = result
                headers = {'Idempotency_Key': key} if key else {}
                problem = json.loads(self.post(HOLD, b'{}', **headers).body)
                self.assertIs(checked, problem.get('key_checked'))

    def test_replay_without_its_body_is_a_problem(self):
        """Guards against an empty replay that appears complete.

        A long response is recorded without its body. The caller would store
        the empty replay as the response of the service.
        """
        self.requests.result = results.ActionDone(
            201, 'text/plain', b'', True, False
        )
        response = self.post(HOLD, b'{}', Idempotency_Key='k')
        self.assertEqual(201, response.code)
        self.assertEqual('true', response.headers['Idempotency-Replayed'])
        self.assertEqual('false', response.headers['Idempotency-Body-Kept'])
        self.assertEqual(
            'application/problem+json', response.headers['Content-Type']
        )
        self.assertEqual('done', json.loads(response.body)['outcome'])

    def test_keys_bound_to_the_entry_are_created(self) -> None:
        response = self.post(KEYS, b'')
        self.assertEqual(201, response.code)
        self.assertEqual({'key': 'key@entry-1'}, json.loads(response.body))
        self.assertEqual(['swan-coast'], self.requests.calls)
        for error, status in (
            (requests.RequestRefused('drain', 100), 503),
            (exceptions.UnknownName('workspace', 'x'), 404),
        ):
            with self.subTest(error=error):
                self.requests.result = error
                self.assertEqual(status, self.post(KEYS, b'').code)

    def test_draining_entry_names_other_entries(self) -> None:
        self.requests.result = requests.RequestRefused(
            'drain', 0, ('http://10.0.0.1:8000',)
        )
        problem = json.loads(self.post(HOLD, b'{}').body)
        self.assertEqual(['http://10.0.0.1:8000'], problem['instead'])

    def test_stream_numbers_its_tokens_and_ends_with_a_count(self):
        self.requests.events = [
            generation.Tokens(0, ('a', 'b')),
            generation.Tokens(2, ('c',)),
            generation.Finished(3),
        ]
        response = self.post(GENERATE, b'{"prompt": "p"}')
        self.assertEqual('text/event-stream', response.headers['Content-Type'])
        self.assertEqual(
            b'event: tokens\n'
            b'data: {"first_index":0,"texts":["a","b"]}\n\n'
            b'event: tokens\ndata: {"first_index":2,"texts":["c"]}\n\n'
            b'event: end\ndata: {"count":3}\n\n',
            response.body,
        )
        collected = self.post(
            GENERATE, b'{"prompt": "p"}', Accept='application/json'
        )
        self.assertEqual(
            {'texts': ['a', 'b', 'c'], 'count': 3}, json.loads(collected.body)
        )

    def test_failed_stream_ends_with_an_error_event(self) -> None:
        """Guards against a truncated stream that appears complete.

        Every stage of the model crashes during the response. The stream must
        report the failure and the number of delivered tokens.
        """
        failed = generation.Failed(
            next(iter(messages.Reason)), generation.Outcome.UNKNOWN, 500, 1
        )
        self.requests.events = [generation.Tokens(0, ('a',)), failed]
        body = self.post(GENERATE, b'{"prompt": "p"}').body.decode()
        last = body.strip().split('\n\n')[-1]
        self.assertTrue(last.startswith('event: error\n'))
        problem = json.loads(last.split('data: ')[1])
        self.assertEqual(1, problem['delivered'])
        self.assertEqual(500, problem['retry_after_ms'])

    def test_stream_rejected_before_its_start_has_a_status(self) -> None:
        failed = generation.Failed(
            next(iter(messages.Reason)), generation.Outcome.NOT_RUN, 500, 0
        )
        for event in (failed, requests.RequestRefused('limit', 500)):
            with self.subTest(event=event):
                self.requests.events = [event]
                response = self.post(GENERATE, b'{"prompt": "p"}')
                self.assertEqual(503, response.code)
                self.assertEqual('1', response.headers['Retry-After'])

    @testing.gen_test
    async def test_request_of_a_disconnected_caller_is_cancelled(self):
        """Guards against accelerators that compute without a reader.

        A caller closes its connection during a response.
        """
        self.requests.events = [generation.Tokens(0, ('a',))]
        self.requests.hangs = True
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.get_http_port()
        )
        body = b'{"prompt": "p"}'
        head = f'POST {GENERATE} HTTP/1.1\r\nHost: a\r\n'
        head += f'Content-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)
        await reader.readuntil(b'event: tokens')
        self.assertFalse(self.requests.closed.is_set())
        writer.close()
        await asyncio.wait_for(self.requests.closed.wait(), 5)
