"""Fleets of processes, and callers that check every response."""

from __future__ import annotations

import asyncio
import base64
import concurrent.futures
import contextlib
import json
import random
import threading
import time
import typing

import attrs
from tornado import curl_httpclient
from tornado import httpclient

from standins import engine_stage
from thornspool import clock
from thornspool import identifiers
from tools import processes
from tools import requester

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

WORKSPACE = 'tests'
LAYERS = 8
STEP_MS = 10
TOKENS = 100
LONG_TOKENS = 850
SLOW_MS = 300
WAIT_S = 30.0
CLIENTS = 200
_POLL_S = 0.05
_OPERATOR_HEADERS = {'Authorization': f'Bearer {processes.OPERATOR_TOKEN}'}

JsonObject = dict[str, typing.Any]


@attrs.frozen
class RequestRecord:
    """One request as its caller saw it.

    Attributes
    ----------
    kind : str
        ``stream``, ``call`` or ``action``.
    url : str
        Base URL of the entry.
    began, ended : float
        Seconds of the monotonic clock.
    result : str
        ``complete``, ``refused`` (not run, with other entries to use) or
        ``broken`` for anything else.
    detail : str
        What arrived, when the result is ``broken``; the request id of a
        complete stream; the other entries, as JSON, of a refusal.
    targets : tuple of str
        Target that answered.
    """

    kind: str
    url: str
    began: float
    ended: float
    result: str
    detail: str = ''
    targets: tuple[str, ...] = ()


class Fleet:
    """Platform, engines, services and entries of one test."""

    def __init__(self, scope: processes.Processes, host_lag_s: int) -> None:
        self.scope = scope
        self.platform = scope.start(
            'platform', 'standins.kv_store', '--list-lag', str(host_lag_s)
        )
        self.targets: dict[str, processes.Process] = {}
        self.entries: list[processes.Process] = []
        self._publications = 0

    def start_target(self, name: str) -> processes.Process:
        """Start an engine or a service, by the prefix of its name."""
        options = ['--name', name]
        if name.startswith('engine'):
            options += ['--end-layer', str(LAYERS), '--step-ms', str(STEP_MS)]
        module = f'standins.{name.partition("-")[0]}'
        self.targets[name] = self.scope.start(name, module, *options)
        return self.targets[name]

    def start_entry(self) -> processes.Process:
        """Start an entry that joins the running ones."""
        number = len(self.entries) + 1
        entry = self.scope.start_entry(
            f'entry-{number}',
            failure_domain=f'perth-{number}',
            peers={
                'listen': '127.0.0.1:0',
                'seeds': [one.ready['peers'] for one in self.entries],
            },
            platform={'kind': 'http', 'url': self.platform.ready['url']},
        )
        self.entries.append(entry)
        return entry

    def publish(
        self,
        publisher: processes.Process,
        *leaving: str,
        operation: str = 'read',
    ) -> int:
        """Publish all targets, some as leaving; return the version."""
        self._publications += 1
        body = {
            'id': f'publication-{self._publications}-{time.time_ns()}',
            'base_version': read_status(publisher)['version'],
            'documents': make_documents(self.targets, leaving, operation),
        }
        answer = requester.send(
            'POST',
            f'{publisher.ready["operators"]}/v1/publications',
            json.dumps(body).encode(),
            _OPERATOR_HEADERS,
        )
        if answer.status != 200:
            raise AssertionError(answer.body.decode())
        return int(answer.read_json()['version'])

    def set_hosts_leaving(self, *names: str) -> None:
        """Mark targets as leaving in the platform's host list, which lags."""
        puts = []
        for name in self.targets:
            entry = {
                'service': 'any',
                'address': '127.0.0.1:1',
                'zone': 'perth-a',
                'state': 'draining' if name in names else 'ready',
            }
            text = base64.b64encode(json.dumps(entry).encode()).decode()
            puts.append({'key': f'servers/host-{name}', 'value': text})
        requester.send(
            'POST',
            f'{self.platform.ready["url"]}/v1/kv-txn',
            json.dumps({'puts': puts}).encode(),
            {'Standin-Writer': 'list'},
        )

    def count_received(self, name: str) -> int:
        """Return how many attempts or calls a target has received."""
        url = f'{self.targets[name].ready["url"]}/control/counts'
        counts = requester.send('GET', url).read_json()
        return len(counts) if isinstance(counts, list) else counts['calls']

    def count_tokens_by_attempt(self) -> dict[tuple[str, int], int]:
        """Return the number of tokens computed, by request and attempt."""
        found: dict[tuple[str, int], int] = {}
        for name, process in self.targets.items():
            if name.startswith('engine'):
                url = f'{process.ready["url"]}/control/counts'
                for one in requester.send('GET', url).read_json():
                    attempt = (one['request'], one['attempt'])
                    found[attempt] = len(set(one['indexes']))
        return found

    def set_targets_leaving(self, *names: str) -> None:
        """Make stand-ins report that they are leaving."""
        for name in names:
            url = self.targets[name].ready['url']
            if name.startswith('engine'):
                post(f'{url}/control', {'leave': True})
            else:
                behaviour = {'leaving': True, 'slow_ms': SLOW_MS}
                post(f'{url}/control/behaviour', behaviour)


def make_documents(
    targets: dict[str, processes.Process],
    leaving: tuple[str, ...],
    operation: str,
) -> list[JsonObject]:
    """Make documents of a workspace, a model and a service on targets."""
    engines = [name for name in targets if name.startswith('engine')]
    services = [name for name in targets if name.startswith('service')]
    documents: list[JsonObject] = [
        {
            'kind': 'target',
            'name': name,
            'serves': name.partition('-')[0],
            'host': f'host-{name}',
            'failure_domain': 'perth-a',
            'url': process.ready['url'],
            **({'accelerator': 'l4'} if name in engines else {}),
            **({'leaving': True} if name in leaving else {}),
        }
        for name, process in targets.items()
    ]
    stages = [
        {'target': name, 'first_layer': 0, 'end_layer': LAYERS}
        for name in engines
    ]
    return [
        *documents,
        {'kind': 'workspace', 'name': WORKSPACE, 'models': ['model']},
        {
            'kind': 'model',
            'name': 'model',
            'version': '1',
            'layers': LAYERS,
            'stages': stages,
        },
        {
            'kind': 'service',
            'name': 'service',
            'workspace': WORKSPACE,
            'targets': services,
            'operations': [
                {'name': operation, 'idempotent': True, 'timeout_ms': 5000},
                {'name': 'book', 'idempotent': False, 'timeout_ms': 5000},
            ],
        },
    ]


class Callers:
    """Callers that send requests continuously until they are stopped.

    Each caller uses one entry, and changes to another when a refusal names
    others, as docs/api.md requires of callers.
    """

    def __init__(self) -> None:
        self.records: list[RequestRecord] = []
        self.keys: list[str] = []
        self._random = random.Random(7)
        self._tasks: list[concurrent.futures.Future[typing.Any]] = []
        self._stopping = False
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        future = asyncio.run_coroutine_threadsafe(_make_client(), self._loop)
        self._client = future.result(WAIT_S)

    def start(self, url: str, **counts: int) -> None:
        """Start callers of an entry; keywords give the number per kind."""
        senders = {
            'stream': self._send_stream,
            'call': self._send_call,
            'action': self._send_action,
        }
        for kind, count in counts.items():
            for _ in range(count):
                coroutine = self._run(kind, url, senders[kind])
                self._tasks.append(
                    asyncio.run_coroutine_threadsafe(coroutine, self._loop)
                )

    def start_long_stream(
        self, url: str
    ) -> concurrent.futures.Future[tuple[str, str, str]]:
        """Start one stream that takes longer than the linger of an entry."""
        stream = asyncio.run_coroutine_threadsafe(
            self._send_stream(url, LONG_TOKENS), self._loop
        )
        self._tasks.append(stream)
        return stream

    def start_call(
        self, url: str
    ) -> concurrent.futures.Future[tuple[str, str, str]]:
        """Start one call of the operation "read"."""
        return asyncio.run_coroutine_threadsafe(
            self._send_call(url), self._loop
        )

    def start_list(self, url: str) -> concurrent.futures.Future[JsonObject]:
        """Start a request for the entry's list of entries."""
        return asyncio.run_coroutine_threadsafe(
            self._list_entries(url), self._loop
        )

    async def _list_entries(self, url: str) -> JsonObject:
        response = await self._client.fetch(f'{url}/v1/entries')
        answer: JsonObject = json.loads(response.body)
        return answer

    def stop(self) -> None:
        """Stop callers after their last response."""
        self._stopping = True
        try:
            concurrent.futures.wait(self._tasks, 2 * WAIT_S)
        finally:
            self._loop.call_soon_threadsafe(self._client.close)
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(WAIT_S)
            self._loop.close()

    def list_by_result(
        self, result: str, kind: str = ''
    ) -> list[RequestRecord]:
        """Return the requests with a result, of one kind or of all."""
        return [
            one
            for one in self.records
            if one.result == result and kind in ('', one.kind)
        ]

    async def _run(
        self,
        kind: str,
        url: str,
        send: Callable[[str], Awaitable[tuple[str, str, str]]],
    ) -> None:
        while not self._stopping:
            began = time.monotonic()
            try:
                result, detail, target = await send(url)
            except (OSError, httpclient.HTTPError) as error:
                result, detail, target = 'broken', repr(error), ''
            self.records.append(
                RequestRecord(
                    kind,
                    url,
                    began,
                    time.monotonic(),
                    result,
                    detail,
                    (target,) if target else (),
                )
            )
            if result == 'refused':
                url = self._random.choice(json.loads(detail))
            await asyncio.sleep(0.02)

    async def _send_stream(
        self, url: str, tokens: int = TOKENS
    ) -> tuple[str, str, str]:
        prompt = f'prompt {self._random.getrandbits(64)}'
        body = {'prompt': prompt, 'max_tokens': tokens}
        response = await self._post(
            f'{url}/v1/workspaces/{WORKSPACE}/models/model/generate', body
        )
        if response.code != 200:
            return classify_refusal(response)
        events = requester.read_events(response.body)
        texts = [
            text
            for name, data in events
            if name == 'tokens'
            for text in data['texts']
        ]
        expected = [
            engine_stage.compute_token(prompt, i) for i in range(tokens)
        ]
        if texts != expected or events[-1] != ('end', {'count': tokens}):
            return 'broken', f'{len(texts)} tokens, then {events[-1]}', ''
        return 'complete', response.headers['X-Request-Id'], ''

    async def _send_call(self, url: str) -> tuple[str, str, str]:
        number = self._random.getrandbits(32)
        response = await self._post(
            _format_operation_url(url, 'read'), [number]
        )
        return _check_response(response, [number], '')

    async def _send_action(self, url: str) -> tuple[str, str, str]:
        now_ms = clock.Clock().wall()
        bits = self._random.getrandbits(74)
        key = str(identifiers.make_uuid7(now_ms, bits))
        headers = {'Idempotency-Key': key}
        response = await self._post(
            _format_operation_url(url, 'book'), [key], headers
        )
        checked = _check_response(response, [key], key)
        if checked[0] == 'complete':
            self.keys.append(key)
        return checked

    async def _post(
        self, url: str, body: typing.Any, headers: JsonObject | None = None
    ) -> httpclient.HTTPResponse:
        return await self._client.fetch(
            httpclient.HTTPRequest(
                url,
                'POST',
                headers,
                json.dumps(body),
                request_timeout=2 * WAIT_S,
            ),
            raise_error=False,
        )


async def _make_client() -> curl_httpclient.CurlAsyncHTTPClient:
    return curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True, max_clients=CLIENTS
    )


@contextlib.contextmanager
def run_callers() -> Iterator[Callers]:
    """Run callers in a thread; they stop when the context ends."""
    callers = Callers()
    try:
        yield callers
    finally:
        callers.stop()


def _format_operation_url(url: str, operation: str) -> str:
    return f'{url}/v1/workspaces/{WORKSPACE}/services/service/{operation}'


def _check_response(
    response: httpclient.HTTPResponse, body: list[typing.Any], key: str
) -> tuple[str, str, str]:
    """Check the response of a service, which echoes the request body."""
    if response.code != 200:
        return classify_refusal(response)
    answer = json.loads(response.body)
    if answer['body'] != body or answer['key'] != key:
        return 'broken', response.body.decode(), ''
    return 'complete', '', answer['target']


def classify_refusal(
    response: httpclient.HTTPResponse,
) -> tuple[str, str, str]:
    """Classify a response that is not a success.

    Only a 503 that says ``not run`` and names other entries is a refusal.
    """
    detail = f'{response.code} {response.error} {response.body!r}'
    if response.code != 503:
        return 'broken', detail, ''
    problem = json.loads(response.body)
    if problem['outcome'] != 'not run' or not problem.get('instead'):
        return 'broken', detail, ''
    return 'refused', json.dumps(problem['instead']), ''


def post(url: str, body: typing.Any) -> requester.Answer:
    """Send JSON with the operator token."""
    return requester.send(
        'POST', url, json.dumps(body).encode(), _OPERATOR_HEADERS
    )


def read_entries(entry: processes.Process) -> tuple[list[str], list[str]]:
    """Return the URLs that an entry lists, and those that are leaving."""
    url = f'{entry.ready["callers"]}/v1/entries'
    body = requester.send('GET', url).read_json()
    return [one['url'] for one in body['entries']], body['leaving']


def read_status(entry: processes.Process) -> JsonObject:
    """Return the status that an entry reports to operators."""
    url = f'{entry.ready["operators"]}/v1/status'
    status: JsonObject = requester.send(
        'GET', url, headers=_OPERATOR_HEADERS
    ).read_json()
    return status


def wait_until(description: str, condition: Callable[[], bool]) -> float:
    """Poll a condition and return the seconds until it holds.

    Raises
    ------
    AssertionError
        When it does not hold within ``WAIT_S``.
    """
    began = time.monotonic()
    while time.monotonic() < began + WAIT_S:
        if condition():
            return time.monotonic() - began
        time.sleep(_POLL_S)
    raise AssertionError(f'Timed out waiting for: {description}')


def count_executions(fleet: Fleet) -> dict[str, int]:
    """Return how often all services together executed each key."""
    total: dict[str, int] = {}
    for name, process in fleet.targets.items():
        if not name.startswith('service'):
            continue
        url = f'{process.ready["url"]}/control/counts'
        counts = requester.send('GET', url).read_json()['executions']
        for key, count in counts.items():
            total[key] = total.get(key, 0) + count
    return total
