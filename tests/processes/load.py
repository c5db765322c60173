"""Fleets of real processes, and a bounded load that checks every answer."""

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
_CHECK_S = 0.05
_BEARER = {'Authorization': f'Bearer {processes.OPERATOR_TOKEN}'}

Json = dict[str, typing.Any]


@attrs.frozen
class Seen:
    """What a caller saw of one request.

    Attributes
    ----------
    kind : str
        ``stream``, ``call`` or ``action``.
    url : str
        Entry that was asked.
    began, ended : float
        Seconds of the monotonic clock.
    verdict : str
        ``whole``, ``refused`` (not run, with other entries to use) or
        ``cut``: anything else.
    detail : str
        What came, where it was cut.
    targets : tuple of str
        Target that answered.
    """

    kind: str
    url: str
    began: float
    ended: float
    verdict: str
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
        """Start an engine or a service, as its name says."""
        options = ['--name', name]
        if name.startswith('engine'):
            options += ['--end-layer', str(LAYERS), '--step-ms', str(STEP_MS)]
        module = f'standins.{name.partition("-")[0]}'
        self.targets[name] = self.scope.start(name, module, *options)
        return self.targets[name]

    def start_entry(self) -> processes.Process:
        """Start an entry that joins those that run."""
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
        through: processes.Process,
        *leaving: str,
        operation: str = 'read',
    ) -> int:
        """Publish all targets, some of them leaving; returns the version."""
        self._publications += 1
        body = {
            'id': f'publication-{self._publications}-{time.time_ns()}',
            'base_version': read_status(through)['version'],
            'documents': make_documents(self.targets, leaving, operation),
        }
        answer = requester.send(
            'POST',
            f'{through.ready["operators"]}/v1/publications',
            json.dumps(body).encode(),
            _BEARER,
        )
        if answer.status != 200:
            raise AssertionError(answer.body.decode())
        return int(answer.read_json()['version'])

    def set_hosts_leaving(self, *names: str) -> None:
        """Have the platform's list, which lags, say that targets leave."""
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

    def count_work(self, name: str) -> int:
        """Return how many attempts or calls a target has been sent."""
        url = f'{self.targets[name].ready["url"]}/control/counts'
        counts = requester.send('GET', url).read_json()
        return len(counts) if isinstance(counts, list) else counts['calls']

    def list_attempts(self) -> dict[tuple[str, int], int]:
        """Return the number of tokens computed for each attempt."""
        found: dict[tuple[str, int], int] = {}
        for name, process in self.targets.items():
            if name.startswith('engine'):
                url = f'{process.ready["url"]}/control/counts'
                for one in requester.send('GET', url).read_json():
                    attempt = (one['request'], one['attempt'])
                    found[attempt] = len(set(one['indexes']))
        return found

    def order_leave(self, *names: str) -> None:
        """Tell stand-ins to answer that they leave."""
        for name in names:
            url = self.targets[name].ready['url']
            if name.startswith('engine'):
                post(f'{url}/control', {'leave': True})
            else:
                order = {'leaving': True, 'slow_ms': SLOW_MS}
                post(f'{url}/control/behaviour', order)


def make_documents(
    targets: dict[str, processes.Process],
    leaving: tuple[str, ...],
    operation: str,
) -> list[Json]:
    """Make a workspace, one model and one service over some targets."""
    engines = [name for name in targets if name.startswith('engine')]
    services = [name for name in targets if name.startswith('service')]
    documents: list[Json] = [
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


class Load:
    """Callers that keep sending requests until they are told to stop.

    Each holds one entry and moves when it is told to use others, as
    docs/api.md asks of callers.
    """

    def __init__(self) -> None:
        self.seen: list[Seen] = []
        self.keys: list[str] = []
        self._random = random.Random(7)
        self._tasks: list[concurrent.futures.Future[typing.Any]] = []
        self._stopping = False
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        made = asyncio.run_coroutine_threadsafe(_make_client(), self._loop)
        self._client = made.result(WAIT_S)

    def start(self, url: str, **workers: int) -> None:
        """Start callers of an entry: so many of each kind."""
        senders = {
            'stream': self._stream,
            'call': self._call,
            'action': self._act,
        }
        for kind, count in workers.items():
            for _ in range(count):
                work = self._run(kind, url, senders[kind])
                self._tasks.append(
                    asyncio.run_coroutine_threadsafe(work, self._loop)
                )

    def start_long_stream(
        self, url: str
    ) -> concurrent.futures.Future[tuple[str, str, str]]:
        """Start one stream that takes longer than an entry lingers."""
        long = asyncio.run_coroutine_threadsafe(
            self._stream(url, LONG_TOKENS), self._loop
        )
        self._tasks.append(long)
        return long

    def start_call(
        self, url: str
    ) -> concurrent.futures.Future[tuple[str, str, str]]:
        """Start one call of the operation "read"."""
        return asyncio.run_coroutine_threadsafe(self._call(url), self._loop)

    def start_list(self, url: str) -> concurrent.futures.Future[Json]:
        """Start to ask an entry which addresses to use."""
        return asyncio.run_coroutine_threadsafe(self._list(url), self._loop)

    async def _list(self, url: str) -> Json:
        response = await self._client.fetch(f'{url}/v1/entries')
        answer: Json = json.loads(response.body)
        return answer

    def stop(self) -> None:
        """Let every caller get its last answer."""
        self._stopping = True
        try:
            concurrent.futures.wait(self._tasks, 2 * WAIT_S)
        finally:
            self._loop.call_soon_threadsafe(self._client.close)
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(WAIT_S)
            self._loop.close()

    def list_verdicts(self, verdict: str, kind: str = '') -> list[Seen]:
        """Return what was seen with a verdict."""
        return [
            one
            for one in self.seen
            if one.verdict == verdict and kind in ('', one.kind)
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
                verdict, detail, target = await send(url)
            except (OSError, httpclient.HTTPError) as error:
                verdict, detail, target = 'cut', repr(error), ''
            self.seen.append(
                Seen(
                    kind,
                    url,
                    began,
                    time.monotonic(),
                    verdict,
                    detail,
                    (target,) if target else (),
                )
            )
            if verdict == 'refused':
                url = self._random.choice(json.loads(detail))
            await asyncio.sleep(0.02)

    async def _stream(
        self, url: str, tokens: int = TOKENS
    ) -> tuple[str, str, str]:
        prompt = f'prompt {self._random.getrandbits(64)}'
        body = {'prompt': prompt, 'max_tokens': tokens}
        response = await self._post(
            f'{url}/v1/workspaces/{WORKSPACE}/models/model/generate', body
        )
        if response.code != 200:
            return describe_refusal(response)
        events = requester.read_events(response.body)
        texts = [
            text
            for name, data in events
            if name == 'tokens'
            for text in data['texts']
        ]
        wanted = [engine_stage.compute_token(prompt, i) for i in range(tokens)]
        if texts != wanted or events[-1] != ('end', {'count': tokens}):
            return 'cut', f'{len(texts)} tokens, then {events[-1]}', ''
        return 'whole', response.headers['X-Request-Id'], ''

    async def _call(self, url: str) -> tuple[str, str, str]:
        number = self._random.getrandbits(32)
        response = await self._post(_name_operation(url, 'read'), [number])
        return _judge(response, [number], '')

    async def _act(self, url: str) -> tuple[str, str, str]:
        wall = clock.Clock().wall()
        bits = self._random.getrandbits(74)
        key = str(identifiers.make_uuid7(wall, bits))
        headers = {'Idempotency-Key': key}
        response = await self._post(
            _name_operation(url, 'book'), [key], headers
        )
        judged = _judge(response, [key], key)
        if judged[0] == 'whole':
            self.keys.append(key)
        return judged

    async def _post(
        self, url: str, body: typing.Any, headers: Json | None = None
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
def run_load() -> Iterator[Load]:
    """Run a load in a thread; its callers end when the scope is left."""
    work = Load()
    try:
        yield work
    finally:
        work.stop()


def _name_operation(url: str, operation: str) -> str:
    return f'{url}/v1/workspaces/{WORKSPACE}/services/service/{operation}'


def _judge(
    response: httpclient.HTTPResponse, body: list[typing.Any], key: str
) -> tuple[str, str, str]:
    """Judge the answer of a service, which tells the body that it got."""
    if response.code != 200:
        return describe_refusal(response)
    answer = json.loads(response.body)
    if answer['body'] != body or answer['key'] != key:
        return 'cut', response.body.decode(), ''
    return 'whole', '', answer['target']


def describe_refusal(
    response: httpclient.HTTPResponse,
) -> tuple[str, str, str]:
    """Tell a refusal that names other entries from anything else."""
    detail = f'{response.code} {response.error} {response.body!r}'
    if response.code != 503:
        return 'cut', detail, ''
    problem = json.loads(response.body)
    if problem['outcome'] != 'not run' or not problem.get('instead'):
        return 'cut', detail, ''
    return 'refused', json.dumps(problem['instead']), ''


def post(url: str, body: typing.Any) -> requester.Answer:
    """Post JSON with the operators' token."""
    return requester.send('POST', url, json.dumps(body).encode(), _BEARER)


def read_entries(entry: processes.Process) -> tuple[list[str], list[str]]:
    """Return the URLs that an entry lists, and those that leave."""
    url = f'{entry.ready["callers"]}/v1/entries'
    body = requester.send('GET', url).read_json()
    return [one['url'] for one in body['entries']], body['leaving']


def read_status(entry: processes.Process) -> Json:
    """Return what an entry tells operators."""
    url = f'{entry.ready["operators"]}/v1/status'
    status: Json = requester.send('GET', url, headers=_BEARER).read_json()
    return status


def wait_until(what: str, condition: Callable[[], bool]) -> float:
    """Poll a condition; returns the seconds that it took.

    Raises
    ------
    AssertionError
        When it does not come true within the bound.
    """
    began = time.monotonic()
    while time.monotonic() < began + WAIT_S:
        if condition():
            return time.monotonic() - began
        time.sleep(_CHECK_S)
    raise AssertionError(f'never seen: {what}')


def count_executions(fleet: Fleet) -> dict[str, int]:
    """Return how often the services executed each key, added up."""
    total: dict[str, int] = {}
    for name, process in fleet.targets.items():
        if not name.startswith('service'):
            continue
        url = f'{process.ready["url"]}/control/counts'
        counts = requester.send('GET', url).read_json()['executions']
        for key, count in counts.items():
            total[key] = total.get(key, 0) + count
    return total
