"""A deployment of real processes for benchmarks, and its HTTP client.

One platform, two plain services, chains of engines and several entries run
as processes on loopback. Their state is read over HTTP.
"""

from __future__ import annotations

import asyncio
import json
import time
import typing

import attrs
from tornado import curl_httpclient
from tornado import httpclient

from thornspool import clock
from thornspool import identifiers
from tools import processes

if typing.TYPE_CHECKING:
    import random

WORKSPACE = 'bench'
SERVICE = 'booking'
MODEL = 'text'
LAYERS = 32
STAGES = ((0, 16), (16, LAYERS))
STEP_MS = 4
BATCH = 16
SERVICES = 2
DOMAINS = ('perth-a', 'perth-b', 'perth-c')
MAX_CLIENTS = 200
TIMEOUT_S = 10.0
CONNECTION_BROKEN = 599
SETTLE_TIMEOUT_S = 30.0
SETTLE_POLL_S = 0.05

BASE = f'/v1/workspaces/{WORKSPACE}'
CALL_PATH = f'{BASE}/services/{SERVICE}/read'
ACTION_PATH = f'{BASE}/services/{SERVICE}/hold'
GENERATE_PATH = f'{BASE}/models/{MODEL}/generate'
OPERATOR_HEADERS = {'Authorization': f'Bearer {processes.OPERATOR_TOKEN}'}

Document = dict[str, typing.Any]


class SettleTimeoutError(Exception):
    """Entries did not converge on the deployment before the timeout."""


class Session:
    """HTTP client with persistent connections on the running event loop."""

    def __init__(self) -> None:
        self._client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def send(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        on_chunk: typing.Callable[[bytes], None] | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> httpclient.HTTPResponse:
        """Send one request.

        Parameters
        ----------
        method, url : str
            HTTP method and whole URL.
        body : bytes, optional
            Request body.
        headers : dict of str to str, optional
            Request headers.
        on_chunk : callable, optional
            Called with each chunk of the response body.
        timeout_s : float, optional
            Timeout to connect, and of the whole request, in seconds.

        Returns
        -------
        HTTPResponse
            The response; code 599 for a broken connection.
        """
        request = httpclient.HTTPRequest(
            url,
            method=method,
            body=body,
            headers=headers or {},
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            streaming_callback=on_chunk,
            allow_nonstandard_methods=True,
        )
        try:
            return await self._client.fetch(request, raise_error=False)
        except (OSError, httpclient.HTTPError) as error:
            return httpclient.HTTPResponse(
                request, CONNECTION_BROKEN, error=error
            )

    async def read_json(
        self, url: str, headers: dict[str, str] | None = None
    ) -> typing.Any:
        """Send a GET request and decode the response.

        Raises
        ------
        ConnectionError
            When the status is not 200.
        """
        response = await self.send('GET', url, headers=headers)
        if response.code != 200:
            raise ConnectionError(f'{url}: {response.code} {response.error}')
        return json.loads(response.body)

    async def act(
        self, entry_url: str, key: str, resent: bool = False
    ) -> httpclient.HTTPResponse:
        """Send an action; the status is 200 when it was executed."""
        headers = {'Idempotency-Key': key}
        if resent:
            headers['Idempotency-Resent'] = 'true'
        return await self.send('POST', entry_url + ACTION_PATH, b'{}', headers)


@attrs.define
class Deployment:
    """The processes of one benchmark.

    Attributes
    ----------
    scope : processes.Processes
        Scope that ends the processes.
    platform : processes.Process
        Stand-in of the platform.
    targets : dict of str to processes.Process
        Stand-ins of services and engines, by name.
    entries : list of processes.Process
        Running entries.
    documents : list of Document
        Documents of the first publication.
    started : int
        Number of entries started so far.
    step_ms, batch : int
        Step time of an engine in milliseconds and its maximum batch.
    """

    scope: processes.Processes
    platform: processes.Process
    targets: dict[str, processes.Process] = attrs.field(factory=dict)
    entries: list[processes.Process] = attrs.field(factory=list)
    documents: list[Document] = attrs.field(factory=list)
    started: int = 0
    step_ms: int = STEP_MS
    batch: int = BATCH

    def start_entry(self) -> processes.Process:
        """Start one more entry with the running ones as its seeds."""
        number = self.started
        self.started += 1
        entry = self.scope.start_entry(
            f'entry-{number}',
            failure_domain=DOMAINS[number % len(DOMAINS)],
            region='perth',
            peers={
                'listen': '127.0.0.1:0',
                'seeds': [entry.ready['peers'] for entry in self.entries],
            },
            platform={'kind': 'http', 'url': self.platform.ready['url']},
        )
        self.entries.append(entry)
        return entry

    def start_engine(self, name: str, port: int = 0) -> processes.Process:
        """Start an engine.

        Parameters
        ----------
        name : str
            Name, which ends in the index of its stage.
        port : int, optional
            TCP port, to replace a killed engine; 0 for any free port.
        """
        first, end = STAGES[int(name.rsplit('-', 1)[1])]
        engine = self.scope.start(
            name,
            'standins.engine',
            *('--name', name, '--port', str(port)),
            *('--step-ms', str(self.step_ms), '--max-batch', str(self.batch)),
            *('--first-layer', str(first), '--end-layer', str(end)),
        )
        self.targets[name] = engine
        return engine

    def list_engines(self) -> dict[str, processes.Process]:
        """Return the engines by name."""
        return {
            name: process
            for name, process in self.targets.items()
            if name.startswith('engine-')
        }


def start_deployment(
    scope: processes.Processes,
    entries: int,
    chains: int,
    step_ms: int = STEP_MS,
    batch: int = BATCH,
) -> Deployment:
    """Start platform, targets and entries without a publication."""
    platform = scope.start('platform', 'standins.kv_store')
    deployment = Deployment(scope, platform, step_ms=step_ms, batch=batch)
    for number in range(SERVICES):
        name = f'{SERVICE}-{number}'
        deployment.targets[name] = scope.start(
            name, 'standins.service', '--name', name
        )
    for chain in range(chains):
        for stage in range(len(STAGES)):
            deployment.start_engine(f'engine-{chain}-{stage}')
    for _ in range(entries):
        deployment.start_entry()
    deployment.documents = build_documents(deployment)
    return deployment


def build_documents(deployment: Deployment) -> list[Document]:
    """Build the documents of one workspace, its service and its model."""
    targets = [
        {
            'kind': 'target',
            'name': name,
            'serves': 'service' if name.startswith(SERVICE) else 'engine',
            'host': name,
            'failure_domain': DOMAINS[number % len(DOMAINS)],
            'url': process.ready['url'],
        }
        for number, (name, process) in enumerate(deployment.targets.items())
    ]
    names = [
        target['name'] for target in targets if target['serves'] == 'service'
    ]
    stages = [
        {'target': name, 'first_layer': first, 'end_layer': end}
        for name in deployment.list_engines()
        for first, end in (STAGES[int(name.rsplit('-', 1)[1])],)
    ]
    return [
        {'kind': 'workspace', 'name': WORKSPACE, 'models': [MODEL]},
        *targets,
        {
            'kind': 'service',
            'name': SERVICE,
            'workspace': WORKSPACE,
            'targets': names,
            'operations': [
                {'name': 'read', 'idempotent': True},
                {'name': 'hold', 'idempotent': False},
            ],
        },
        {
            'kind': 'model',
            'name': MODEL,
            'version': '1',
            'layers': LAYERS,
            'stages': stages,
        },
    ]


async def publish(
    session: Session,
    entry: processes.Process,
    documents: list[Document],
    base_version: int,
) -> httpclient.HTTPResponse:
    """Publish documents through one entry.

    Raises
    ------
    ConnectionError
        When the publication is not accepted.
    """
    body = {
        'id': f'publication-{time.time_ns()}',
        'author': 'measurement',
        'base_version': base_version,
        'documents': documents,
    }
    url = f'{entry.ready["operators"]}/v1/publications'
    response = await session.send(
        'POST',
        url,
        json.dumps(body).encode(),
        OPERATOR_HEADERS,
        timeout_s=30.0,
    )
    if response.code != 200:
        text = response.body.decode() if response.buffer else response.error
        raise ConnectionError(f'publication failed: {text}')
    return response


async def read_version(session: Session, entry: processes.Process) -> int:
    """Return the version of the configuration in force at an entry."""
    url = f'{entry.ready["operators"]}/v1/configuration'
    version: int = (await session.read_json(url, OPERATOR_HEADERS))['version']
    return version


async def wait_settled(session: Session, deployment: Deployment) -> None:
    """Wait until every entry is ready and lists exactly the running entries.

    Raises
    ------
    SettleTimeoutError
        When this takes longer than ``SETTLE_TIMEOUT_S``.
    """
    running = {entry.ready['incarnation'] for entry in deployment.entries}
    end = time.monotonic() + SETTLE_TIMEOUT_S
    while time.monotonic() < end:
        settled = await asyncio.gather(
            *(
                _is_settled(session, entry, running)
                for entry in deployment.entries
            )
        )
        if all(settled):
            return
        await asyncio.sleep(SETTLE_POLL_S)
    raise SettleTimeoutError(
        f'{len(running)} entries did not converge on one membership'
    )


async def _is_settled(
    session: Session, entry: processes.Process, running: set[str]
) -> bool:
    url = f'{entry.ready["operators"]}/v1/status'
    status = await session.read_json(url, OPERATOR_HEADERS)
    listed = {
        member['incarnation']
        for member in status['members']
        if member['state'] == 'alive'
    }
    if listed != running or status['stragglers']:
        return False
    ready = await session.send('GET', f'{entry.ready["callers"]}/v1/ready')
    return ready.code == 200


def make_key(random_source: random.Random, wall: int | None = None) -> str:
    """Build an idempotency key.

    Parameters
    ----------
    random_source : random.Random
        Source of the random bits.
    wall : int, optional
        Wall-clock time in milliseconds; the current time by default.
    """
    time_ms = clock.Clock().wall() if wall is None else wall
    return str(identifiers.make_uuid7(time_ms, random_source.getrandbits(74)))
