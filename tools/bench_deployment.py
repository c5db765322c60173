"""A deployment of real processes for measurements, and its client.

One platform, two plain services, chains of engines and several entries run
as processes on loopback. What a process says of itself is read over HTTP.
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
BROKEN = 599
SETTLE_TIMEOUT_S = 30.0
SETTLE_POLL_S = 0.05

BASE = f'/v1/workspaces/{WORKSPACE}'
CALL_PATH = f'{BASE}/services/{SERVICE}/read'
ACTION_PATH = f'{BASE}/services/{SERVICE}/hold'
GENERATE_PATH = f'{BASE}/models/{MODEL}/generate'
TOKEN = {'Authorization': f'Bearer {processes.OPERATOR_TOKEN}'}

Document = dict[str, typing.Any]


class NotSettled(Exception):
    """Entries did not agree on the deployment in time."""


class Session:
    """Sends requests over kept connections on the running loop."""

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
        """Send one request; code 599 stands for a broken connection."""
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
            return httpclient.HTTPResponse(request, BROKEN, error=error)

    async def read_json(
        self, url: str, headers: dict[str, str] | None = None
    ) -> typing.Any:
        """Read an answer that must be there."""
        response = await self.send('GET', url, headers=headers)
        if response.code != 200:
            raise ConnectionError(f'{url}: {response.code} {response.error}')
        return json.loads(response.body)

    async def act(
        self, entry_url: str, key: str, resent: bool = False
    ) -> httpclient.HTTPResponse:
        """Send an action; its status is 200 when it ran."""
        headers = {'Idempotency-Key': key}
        if resent:
            headers['Idempotency-Resent'] = 'true'
        return await self.send('POST', entry_url + ACTION_PATH, b'{}', headers)


@attrs.define
class Deployment:
    """The processes of one measurement.

    Attributes
    ----------
    scope : processes.Processes
        Ends them all.
    platform : processes.Process
        Stand-in of the platform.
    targets : dict of str to processes.Process
        Stand-ins of services and engines, by name.
    entries : list of processes.Process
        Entries that live.
    documents : list of Document
        What was published at first.
    started : int
        Entries started so far.
    step_ms, batch : int
        Time of an engine's step and its largest batch.
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
        """Start one more entry, which knows those that live."""
        number = self.started
        self.started += 1
        entry = self.scope.start_entry(
            f'entry-{number}',
            failure_domain=DOMAINS[number % len(DOMAINS)],
            region='perth',
            peers={
                'listen': '127.0.0.1:0',
                'seeds': [one.ready['peers'] for one in self.entries],
            },
            platform={'kind': 'http', 'url': self.platform.ready['url']},
        )
        self.entries.append(entry)
        return entry

    def start_engine(self, name: str, port: int = 0) -> processes.Process:
        """Start an engine, on the port of one that was killed if given."""
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
    """Start platform, targets and entries; nothing is published yet."""
    platform = scope.start('platform', 'standins.kv_store')
    deployment = Deployment(scope, platform, step_ms=step_ms, batch=batch)
    for number in range(SERVICES):
        name = f'{SERVICE}-{number}'
        deployment.targets[name] = scope.start(
            name, 'standins.service', '--name', name
        )
    for chain in range(chains):
        for place in range(len(STAGES)):
            deployment.start_engine(f'engine-{chain}-{place}')
    for _ in range(entries):
        deployment.start_entry()
    deployment.documents = make_documents(deployment)
    return deployment


def make_documents(deployment: Deployment) -> list[Document]:
    """Make the documents of one workspace, its service and its model."""
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
    names = [one['name'] for one in targets if one['serves'] == 'service']
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
    """Publish documents through one entry."""
    body = {
        'id': f'publication-{time.time_ns()}',
        'author': 'measurement',
        'base_version': base_version,
        'documents': documents,
    }
    url = f'{entry.ready["operators"]}/v1/publications'
    response = await session.send(
        'POST', url, json.dumps(body).encode(), TOKEN, timeout_s=30.0
    )
    if response.code != 200:
        text = response.body.decode() if response.buffer else response.error
        raise ConnectionError(f'not published: {text}')
    return response


async def read_version(session: Session, entry: processes.Process) -> int:
    """Return the version of the configuration in force at an entry."""
    url = f'{entry.ready["operators"]}/v1/configuration'
    version: int = (await session.read_json(url, TOKEN))['version']
    return version


async def wait_settled(session: Session, deployment: Deployment) -> None:
    """Wait until every entry sees just the living ones and is ready."""
    alive = {one.ready['incarnation'] for one in deployment.entries}
    end = time.monotonic() + SETTLE_TIMEOUT_S
    while time.monotonic() < end:
        settled = await asyncio.gather(
            *(_is_settled(session, one, alive) for one in deployment.entries)
        )
        if all(settled):
            return
        await asyncio.sleep(SETTLE_POLL_S)
    raise NotSettled(f'{len(alive)} entries did not settle')


async def _is_settled(
    session: Session, entry: processes.Process, alive: set[str]
) -> bool:
    url = f'{entry.ready["operators"]}/v1/status'
    status = await session.read_json(url, TOKEN)
    seen = {
        one['incarnation']
        for one in status['members']
        if one['state'] == 'alive'
    }
    if seen != alive or status['stragglers']:
        return False
    ready = await session.send('GET', f'{entry.ready["callers"]}/v1/ready')
    return ready.code == 200


def make_key(random_source: random.Random, wall: int | None = None) -> str:
    """Make an idempotency key, of now if no time is given."""
    time_ms = clock.Clock().wall() if wall is None else wall
    return str(identifiers.make_uuid7(time_ms, random_source.getrandbits(74)))
