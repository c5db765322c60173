"""Deployments of a platform, plain services and entries as processes."""

from __future__ import annotations

import asyncio
import base64
import collections
import concurrent.futures
import http
import json
import random
import re
import typing
import unittest
from urllib import parse

import attrs
from tornado import httpclient

from thornspool import clock
from thornspool import identifiers
from thornspool.adapters.store import client
from thornspool.domain.actions import keys
from tools import processes
from tools import requester

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

WORKSPACE = 'slots'
SERVICE = 'booking'
SERVICES = ('booking-1', 'booking-2')
DOMAINS = ('perth-a', 'perth-b', 'perth-c')
HOLD = 'hold'
QUICK = 'quick-hold'
STATUS = 'status'
TIMEOUTS_MS = {HOLD: 5_000, QUICK: 1_000}
BODY = b'{"slot": 7}'
WAIT_S = 15.0
POLL_S = 0.03
KEY_AHEAD_MS = 20_000
"""Keys carry a time this far ahead, so that none counts as sent earlier when
a busy machine takes half a second to send it."""

_APPLIED_VERSION = re.compile(r'event=configuration_applied.* version=(\d+)')
_random = random.Random(20)

Document = dict[str, typing.Any]


@attrs.frozen
class Reply:
    """Response to an action as its caller received it.

    Attributes
    ----------
    status : int
        HTTP status.
    outcome : str
        ``done``, ``not run`` or ``unknown``.
    body : bytes
        Complete body.
    headers : dict of str to str
        Headers of the response.
    key_checked : bool or None
        ``key_checked`` of the problem; None when it has none.
    """

    status: int
    outcome: str
    body: bytes
    headers: dict[str, str]
    key_checked: bool | None = None


@attrs.define
class Deployment:
    """Processes of one test, with requests of its callers and operators."""

    scope: processes.Processes
    platform: processes.Process
    services: tuple[processes.Process, ...]
    entries: list[processes.Process]

    async def send_action(
        self,
        entry: int,
        key: str,
        body: bytes = BODY,
        operation: str = HOLD,
        is_resent: bool = False,
    ) -> Reply:
        """Send an action through an entry.

        Raises
        ------
        ConnectionError
            When no complete response arrived.
        """
        path = f'/v1/workspaces/{WORKSPACE}/services/{SERVICE}/{operation}'
        headers = {'Idempotency-Key': key}
        if is_resent:
            headers['Idempotency-Resent'] = 'true'
        url = self.entries[entry].ready['callers'] + path
        try:
            answer = await requester.send_async('POST', url, body, headers)
        except httpclient.HTTPClientError as error:
            raise ConnectionError(str(error)) from error
        return _read_reply(answer)

    async def create_bound_key(self, entry: int) -> str:
        """Return a key bound to an entry."""
        path = f'/v1/workspaces/{WORKSPACE}/keys'
        url = self.entries[entry].ready['callers'] + path
        answer = await requester.send_async('POST', url, b'')
        key: str = answer.read_json()['key']
        return key

    async def send_until_done(
        self,
        key: str,
        entry_numbers: Sequence[int] = (),
        **options: typing.Any,
    ) -> Reply:
        """Send a key through entries in rotation until its outcome is done."""
        replies: list[Reply] = []
        entries = entry_numbers or range(len(self.entries))

        async def is_done() -> bool:
            entry = entries[len(replies) % len(entries)]
            replies.append(
                await self.send_action(
                    entry, key, is_resent=bool(replies), **options
                )
            )
            return replies[-1].outcome == 'done'

        await wait_until(is_done, f'key {key} is done')
        return replies[-1]

    async def set_faults(self, **faults: typing.Any) -> None:
        """Replace the faults of the platform."""
        await _post_control(self.platform, 'faults', faults)

    async def set_behaviour(self, **behaviour: typing.Any) -> None:
        """Replace the behaviour of all services."""
        for service in self.services:
            await _post_control(service, 'behaviour', behaviour)

    async def count_platform_calls(self, kind: str) -> int:
        """Return the number of calls of a kind that the platform received."""
        counts = await _get_json(self.platform, '/control/counts')
        return int(counts.get(kind, 0))

    async def count_executions(self, key: str) -> int:
        """Return how often all services together executed a key."""
        return (await self.read_executions())[key]

    async def read_executions(self) -> collections.Counter[str]:
        """Return how often all services together executed each key."""
        found: collections.Counter[str] = collections.Counter()
        for one in await self._read_counts():
            found.update(one['executions'])
        return found

    async def count_calls(self) -> int:
        """Return the number of calls that reached the services."""
        counts = await self._read_counts()
        return sum(one['calls'] for one in counts)

    async def _read_counts(self) -> list[Document]:
        """Return the counts of the services that still run."""
        return [
            await _get_json(one, '/control/counts')
            for one in self.services
            if one.popen.poll() is None
        ]

    async def count_running_calls(self) -> int:
        """Return the number of calls in flight at the services."""
        loads = [await _get_json(one, '/v1/load') for one in self.services]
        return sum(one['running'] for one in loads)

    async def wait_idle(self) -> None:
        """Wait until no service has a call in flight."""

        async def is_idle() -> bool:
            return await self.count_running_calls() == 0

        await wait_until(is_idle, 'services are idle')

    async def publish(
        self,
        entry: int,
        name: str,
        documents: list[Document],
        base_version: int = 0,
    ) -> requester.Answer:
        """Publish documents through an entry under a publication id."""
        body = {
            'id': name,
            'author': 'test',
            'base_version': base_version,
            'documents': documents,
        }
        return await self._request_operator_api(
            entry, 'POST', 'publications', json.dumps(body).encode()
        )

    async def read_configuration(self, entry: int) -> Document:
        """Return the configuration version and history of an entry."""
        answer = await self._request_operator_api(
            entry, 'GET', 'configuration'
        )
        read: Document = answer.read_json()
        return read

    async def read_version(self, entry: int) -> int:
        """Return the configuration version that an entry applies."""
        return int((await self.read_configuration(entry))['version'])

    async def wait_version(self, entry: int, version: int) -> None:
        """Wait until an entry applies a version or a later one."""

        async def is_applied() -> bool:
            return await self.read_version(entry) >= version

        await wait_until(is_applied, f'version {version} at entry {entry}')

    def read_applied(self, entry: int) -> list[int]:
        """Return the versions that an entry logged as applied, in order."""
        found = _APPLIED_VERSION.findall(self.entries[entry].read_log())
        return [int(version) for version in found]

    async def read_value(self, key: str) -> bytes:
        """Return the platform's value of a key; empty when there is none."""
        name = parse.quote(f'{client.PREFIX}{key}', safe='')
        answer = await requester.send_async(
            'GET', f'{self.platform.ready["url"]}/v1/kv-key?key={name}'
        )
        if answer.status != http.HTTPStatus.OK:
            return b''
        return base64.b64decode(answer.read_json()['value'])

    async def write_value(self, key: str, value: bytes, times: int) -> None:
        """Write a key as a restore from a backup does.

        Each further write raises the platform's version of the key by one,
        so that the watches of entries return.
        """
        text = base64.b64encode(value).decode()
        body = {'puts': [{'key': f'{client.PREFIX}{key}', 'value': text}]}
        for _ in range(times):
            await requester.send_async(
                'POST',
                f'{self.platform.ready["url"]}/v1/kv-txn',
                json.dumps(body).encode(),
            )

    async def wait_joined(self) -> None:
        """Wait until every entry lists all entries as alive."""
        for number in range(len(self.entries)):

            async def lists_all(entry: int = number) -> bool:
                answer = await self._request_operator_api(
                    entry, 'GET', 'status'
                )
                members = answer.read_json()['members']
                alive = [one for one in members if one['state'] == 'alive']
                return len(alive) >= len(self.entries)

            await wait_until(lists_all, f'entry {number} lists all as alive')

    async def start_entry(self) -> int:
        """Start another entry and return its number."""
        entry = await asyncio.to_thread(
            _start_entry,
            self.scope,
            self.platform,
            len(self.entries),
            self.entries[0].ready['peers'],
        )
        self.entries.append(entry)
        return len(self.entries) - 1

    async def _request_operator_api(
        self, entry: int, method: str, path: str, body: bytes | None = None
    ) -> requester.Answer:
        return await requester.send_async(
            method,
            f'{self.entries[entry].ready["operators"]}/v1/{path}',
            body,
            {'Authorization': f'Bearer {processes.OPERATOR_TOKEN}'},
        )


class FreshDeploymentCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that each start a separate deployment."""

    services = SERVICES

    async def asyncSetUp(self) -> None:
        opened = processes.open_processes()
        scope = opened.__enter__()
        self.addCleanup(opened.__exit__, None, None, None)
        self.deployment = await asyncio.to_thread(
            start_deployment, scope, self.services
        )
        self.version = await publish_documents(self.deployment)


class SharedDeploymentCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that stop no entry and share one deployment."""

    deployment: Deployment

    @classmethod
    def setUpClass(cls) -> None:
        opened = processes.open_processes()
        scope = opened.__enter__()
        cls.addClassCleanup(opened.__exit__, None, None, None)
        cls.deployment = start_deployment(scope)
        asyncio.run(publish_documents(cls.deployment))

    async def asyncSetUp(self) -> None:
        await self.deployment.set_faults()
        self.version = max(
            [
                await self.deployment.read_version(entry)
                for entry in range(len(self.deployment.entries))
            ]
        )


def start_deployment(
    scope: processes.Processes, names: tuple[str, ...] = SERVICES
) -> Deployment:
    """Start a platform, some services and three entries."""
    with concurrent.futures.ThreadPoolExecutor() as pool:
        platform, *services = pool.map(
            lambda command: scope.start(*command),
            [
                ('platform', 'standins.kv_store'),
                *((n, 'standins.service', '--name', n) for n in names),
            ],
        )
        first = _start_entry(scope, platform, 0, '')
        seed = first.ready['peers']
        others = pool.map(
            lambda number: _start_entry(scope, platform, number, seed), (1, 2)
        )
        return Deployment(scope, platform, tuple(services), [first, *others])


async def publish_documents(deployment: Deployment) -> int:
    """Publish the documents; return their version, applied at all entries."""
    await deployment.wait_joined()
    answer = await deployment.publish(0, 'first', make_documents(deployment))
    version = int(answer.read_json()['version'])
    for entry in range(len(deployment.entries)):
        await deployment.wait_version(entry, version)
    return version


def make_documents(deployment: Deployment) -> list[Document]:
    """Make documents of one workspace with one service on all targets."""
    targets = [
        {
            'kind': 'target',
            'name': process.name,
            'serves': 'service',
            'host': process.name,
            'failure_domain': DOMAINS[0],
            'url': process.ready['url'],
        }
        for process in deployment.services
    ]
    service = {
        'kind': 'service',
        'name': SERVICE,
        'workspace': WORKSPACE,
        'targets': [process.name for process in deployment.services],
        'operations': [
            {'name': name, 'idempotent': False, 'timeout_ms': timeout}
            for name, timeout in TIMEOUTS_MS.items()
        ]
        + [{'name': STATUS, 'idempotent': True, 'timeout_ms': 5_000}],
    }
    return [make_workspace(WORKSPACE), *targets, service]


def make_workspace(name: str, requests_per_s: int = 10_000) -> Document:
    """Make a workspace document with a request limit."""
    limits = {'requests_per_s': requests_per_s}
    return {'kind': 'workspace', 'name': name, 'limits': limits}


def make_key(ahead_ms: int = KEY_AHEAD_MS) -> str:
    """Make an idempotency key whose time lies ahead of the clock."""
    time_ms = clock.Clock().wall() + ahead_ms
    return str(identifiers.make_uuid7(time_ms, _random.getrandbits(74)))


def locate_page(key: str) -> keys.PageAddress:
    """Return the address of the ledger page that holds a key."""
    parsed = keys.parse_key(WORKSPACE, key, clock.Clock().wall())
    return keys.locate_page(parsed, keys.Layout())


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    description: str,
    timeout_s: float = WAIT_S,
) -> None:
    """Poll a condition until it holds.

    Raises
    ------
    AssertionError
        When it does not hold within the timeout.
    """
    try:
        async with asyncio.timeout(timeout_s):
            while not await condition():
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        raise AssertionError(
            f'Timed out waiting until {description}.'
        ) from None


def _start_entry(
    scope: processes.Processes,
    platform: processes.Process,
    number: int,
    seed: str,
) -> processes.Process:
    return scope.start_entry(
        f'perth-{number + 1}',
        failure_domain=DOMAINS[number % len(DOMAINS)],
        region='perth',
        peers={'listen': '127.0.0.1:0', 'seeds': [seed] if seed else []},
        platform={'kind': 'http', 'url': platform.ready['url']},
    )


def _read_reply(answer: requester.Answer) -> Reply:
    if 'problem+json' not in answer.headers.get('Content-Type', ''):
        return Reply(answer.status, 'done', answer.body, answer.headers)
    problem = answer.read_json()
    return Reply(
        answer.status,
        problem['outcome'],
        answer.body,
        answer.headers,
        problem.get('key_checked'),
    )


async def _post_control(
    process: processes.Process, name: str, values: Document
) -> None:
    url = f'{process.ready["url"]}/control/{name}'
    body = json.dumps(values).encode()
    answer = await requester.send_async('POST', url, body)
    if answer.status != 200:
        raise AssertionError(f'{process.name} rejected {values}.')


async def _get_json(process: processes.Process, path: str) -> Document:
    url = process.ready['url'] + path
    read: Document = (await requester.send_async('GET', url)).read_json()
    return read
