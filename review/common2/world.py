"""A small deployment on loopback: store, servers, clients and real entries.

Only the entries are programs of the project. They run as separate processes,
with the command of the deploy file. The store, the servers and the clients are
small stand-ins that follow the users' pages; they run in the process of the
case and need nothing beyond the standard library.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'key-north-1'
MODEL = 'brief-writer'
PLAIN = 'slot-ledger'
LAYERS = 12
HEARTBEAT_S = 1.2
STALL_S = 2.5
HISTORY = 4_000
REASONS = {200: 'OK', 202: 'Accepted'}


def now_ms() -> int:
    """Return the time of day in milliseconds."""
    return time.time_ns() // 1_000_000


class Record:
    """What was sent, answered and run, one JSON line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began = time.monotonic()
        self.lines: list[dict] = []

    def add(self, event: str, **values: object) -> dict:
        line = {
            't': round(time.monotonic() - self._began, 3),
            'event': event,
            **values,
        }
        self.lines.append(line)
        self._file.write(json.dumps(line) + '\n')
        self._file.flush()
        return line

    def select(self, event: str, **values: object) -> list[dict]:
        return [
            line
            for line in self.lines
            if line['event'] == event
            and all(line.get(name) == one for name, one in values.items())
        ]


class Closed(Exception):
    """The other side has closed the connection."""


class Request:
    """A request that a stand-in has read."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.path, _, query = target.partition('?')
        self.query = dict(urllib.parse.parse_qsl(query))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request with a length, in chunks, or without a body."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ', 2)
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                headers[name.lower()] = value.strip()
        body = b''
        if 'chunked' in headers.get('transfer-encoding', ''):
            body = await read_chunks(reader)
        elif 'content-length' in headers:
            body = await reader.readexactly(int(headers['content-length']))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Closed from error
    return Request(method, target, headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body to its end."""
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


def format_head(status: int, headers: dict[str, str]) -> bytes:
    """Format the head of a response."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


class Listener:
    """Serves HTTP/1.1 on one address; subclasses answer the requests."""

    address = ''

    async def listen(self, ip: str, port: int = 0) -> None:
        self._writers: set[asyncio.StreamWriter] = set()
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 22
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    def stop_listening(self) -> None:
        """End like a process that crashes: nothing listens any more."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                await self.answer(request, reader, writer)
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        raise NotImplementedError

    def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes = b'',
        **headers: str,
    ) -> None:
        named = {name.replace('_', '-'): one for name, one in headers.items()}
        named['Content-Length'] = str(len(body))
        writer.write(format_head(status, named) + body)


class Store(Listener):
    """The platform's store."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: collections.deque[dict] = collections.deque(
            maxlen=HISTORY
        )
        self.revision = 1
        self._leases: dict[int, tuple[int, float]] = {}
        self._last_lease = 7000
        self._changed = asyncio.Event()

    def write(
        self, puts: list[dict], deletes: list[str] = (), owner: bool = True
    ) -> int:
        """Write keys at one revision."""
        self.revision += 1
        for put in puts:
            known = self.items.get(put['key'])
            item = {
                'key': put['key'],
                'value': put['value'],
                'revision': self.revision,
                'created': known['created'] if known else self.revision,
                'lease': put.get('lease', 0),
            }
            self.items[put['key']] = item
            self.history.append(item)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append(
                    {'key': key, 'revision': self.revision, 'tombstone': True}
                )
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def put(self, key: str, document: object) -> int:
        """Write a document as the operator or a server does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return self.write([{'key': key, 'value': value}])

    async def expire(self) -> None:
        """End the leases whose time is over."""
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, end) in list(self._leases.items()):
                if time.monotonic() > end:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [
            one['key'] for one in self.items.values() if one['lease'] == lease
        ]
        if keys:
            self.write([], keys)

    async def answer(self, request, reader, writer) -> None:
        status, document = await self._call(request)
        body = json.dumps(document).encode()
        self.send(writer, status, body, Content_Type='application/json')

    async def _call(self, request: Request) -> tuple[int, dict]:
        path, query = request.path, request.query
        if path == '/v1/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {}
            return 200, {**item, 'as_of': self.revision}
        if path == '/v1/kv-range':
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(query.get('prefix', ''))
                and key > query.get('after', '')
            ]
            return 200, {
                'items': found[:500],
                'has_more': len(found) > 500,
                'as_of': self.revision,
            }
        if path == '/v1/kv-watch':
            return await self._watch(query)
        if path == '/v1/kv-txn':
            return self._write_checked(json.loads(request.body))
        if path == '/v1/kv-lease':
            ttl_ms = json.loads(request.body)['ttl_ms']
            self._last_lease += 1
            self._keep(self._last_lease, ttl_ms)
            return 200, {'lease': self._last_lease, 'ttl_ms': ttl_ms}
        lease = int(path.rpartition('/')[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith('/v1/kv-keep/'):
            self._keep(lease, self._leases[lease][0])
            return 200, {'ttl_ms': self._leases[lease][0]}
        self._end_lease(lease)
        return 200, {}

    def _keep(self, lease: int, ttl_ms: int) -> None:
        self._leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after = int(query['after'])
        end = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            first = self.history[0]['revision'] if self.history else 0
            if len(self.history) == HISTORY and after < first - 1:
                return 410, {}
            events = [
                one
                for one in self.history
                if one['revision'] > after
                and one['key'].startswith(query.get('prefix', ''))
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'as_of': self.revision}
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _write_checked(self, body: dict) -> tuple[int, dict]:
        puts, deletes = body.get('puts', []), body.get('deletes', [])
        keys = [one['key'] for one in puts] + list(deletes)
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        expected = body.get('expected', [])
        for row in expected:
            known = self.items.get(row['key'], {'revision': 0})
            if known['revision'] != row['revision']:
                found = [self.items.get(one['key']) for one in expected]
                return 412, {'items': [one for one in found if one]}
        leases = {one.get('lease', 0) for one in puts} - {0}
        if leases - set(self._leases):
            return 404, {}
        return 200, {'revision': self.write(puts, deletes)}


class Server(Listener):
    """A model engine or a plain server, as the pages describe it."""

    def __init__(
        self, world: World, name: str, service: str, zone: str
    ) -> None:
        self.world, self.id = world, name
        self.service, self.zone = service, zone
        self.is_engine = service == MODEL
        self.is_alive = True
        self.layers: tuple[int, int] | None = None
        self.orders = self.beats = 0
        self.stalled: dict[str, str] = {}
        self.paths: dict[str, list[Server]] = {}
        self.running = 0

    async def start(self, port: int = 0) -> None:
        await self.listen('127.0.0.1', port)
        self.born = now_ms()
        self.is_alive = True
        self.world.start_task(self._beat())

    async def crash(self) -> None:
        """End without notice; the record stays for three beats."""
        self.is_alive = False
        self.stop_listening()
        self.world.start_task(self._lapse(self.born))

    async def _lapse(self, born: int) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not (self.is_alive and self.born != born):
            self.world.store.write([], [f'servers/{self.id}'])

    async def restart(self) -> None:
        """Start again, empty, under the same id and at the same address."""
        self.layers, self.orders = None, 0
        await self.start(int(self.address.rpartition(':')[2]))

    async def _beat(self) -> None:
        born = self.born
        while self.is_alive and self.born == born:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def publish(self) -> None:
        self.beats += 1
        self.world.store.put(f'servers/{self.id}', self.describe())

    def describe(self) -> dict:
        document = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 96 if self.is_engine else 6,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self.beats,
            'born': self.born,
        }
        if self.is_engine:
            document |= {'kind': 'l4', 'stage': 'hybrid', 'models': []}
            document['layers'] = self._describe_layers()
        return document

    def _describe_layers(self) -> dict | None:
        if self.layers is None:
            return None
        return {'from': self.layers[0], 'to': self.layers[1], 'version': 1}

    async def answer(self, request, reader, writer) -> None:
        if request.path == '/v1/report':
            self._report(writer)
        elif request.path == '/v1/order' and self.is_engine:
            self._order(request, writer)
        else:
            await self._take(request, reader, writer)

    def _report(self, writer: asyncio.StreamWriter) -> None:
        document = {
            'stage': 'hybrid',
            'models': [],
            'busy': False,
            'sequence': self.orders,
            'queue_depth': 0,
            'batch_size': self.running,
            'kv_used': 0,
            'kv_total': 90_000,
            'handles': 0,
            'pace': 1.0,
            'born': self.born,
            'layers': self._describe_layers(),
            'stalled': [
                {'id': one, 'address': address}
                for one, address in self.stalled.items()
            ],
        }
        body = json.dumps(document).encode()
        self.send(writer, 200, body, Content_Type='application/json')

    def _order(self, request: Request, writer: asyncio.StreamWriter) -> None:
        order = json.loads(request.body)
        if request.headers.get('expect-instance', self.id) != self.id:
            self.send(writer, 421, Not_Executed='1', Instance_Id=self.id)
        elif order.get('operation') == 'repath':
            self._change_path(order, writer)
        elif order.get('operation') != 'place':
            self.send(writer, 400)
        elif order.get('expected', self.orders) != self.orders:
            self.send(writer, 409)
        else:
            self.orders += 1
            self.world.record.add(
                'order', server=self.id, layers=[order['from'], order['to']]
            )
            self.world.start_task(self._load(order['from'], order['to']))
            self.send(writer, 202)

    def _change_path(self, order: dict, writer: asyncio.StreamWriter) -> None:
        """Continue a stream on another path that begins here as well."""
        hops = self.paths.get(order['id'])
        if hops is None:
            self.send(writer, 404)
            return
        status, found = self._check_path(order['path'])
        if status != 200:
            body = json.dumps({'address': found}).encode()
            self.send(writer, 409, body, Content_Type='application/json')
            return
        hops[:] = found
        self.stalled.pop(order['id'], None)
        self.world.record.add('path changed', attempt=order['id'])
        self.send(writer, 200)

    async def _load(self, first: int, end: int) -> None:
        await asyncio.sleep(0.2)
        self.layers = first, end
        self.publish()

    async def _take(self, request, reader, writer) -> None:
        """Run a request, or reject it as the pages say."""
        record, headers = self.world.record, request.headers
        attempt = headers.get('attempt-id', '')
        record.add(
            'arrival',
            server=self.id,
            attempt=attempt,
            method=request.method,
            target=request.target,
            tenant=headers.get('tenant', ''),
        )
        if not attempt:
            self.send(writer, 400, Not_Executed='1')
            return
        if headers.get('expect-instance', self.id) != self.id:
            self.send(writer, 421, Not_Executed='1', Instance_Id=self.id)
            return
        hops = []
        if self.is_engine:
            status, hops = self._check_path(headers.get('hop-count', ''))
            if status != 200:
                self.send(writer, status, Not_Executed='1', At_Server=hops)
                return
        run = record.add(
            'run',
            server=self.id,
            attempt=attempt,
            method=request.method,
            target=request.target,
            path=headers.get('hop-count', ''),
        )
        self.running += 1
        leave = asyncio.ensure_future(reader.read(1))
        try:
            if self.world.crashes(request):
                await asyncio.sleep(0.02)
                record.add('end', server=self.id, attempt=attempt, how='crash')
                self.world.start_task(self._crash_and_return())
                writer.transport.abort()
                raise Closed
            if self.is_engine and self.world.is_streamed(request):
                await self._stream(request, writer, hops, leave, run)
            else:
                await asyncio.sleep(0.04)
                body = json.dumps({'by': self.id, 'for': attempt}).encode()
                self.send(writer, 200, body, **self._sign(attempt))
                record.add('end', server=self.id, attempt=attempt, how='whole')
        finally:
            self.running -= 1
            if leave.done():
                leave.exception()  # a reset is a way to leave
                writer.transport.abort()
            else:
                leave.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await leave

    async def _crash_and_return(self) -> None:
        if self.is_alive:
            await self.crash()
            await asyncio.sleep(1.5)
            await self.restart()

    def _sign(self, attempt: str) -> dict[str, str]:
        return {
            'Response_Seal': f'seal.{self.id}.{attempt}',
            'Attempt_Id': attempt,
            'Engine_Load': f'{self.running},0,{96 if self.is_engine else 6}',
        }

    def _check_path(self, text: str):
        """Return 200 and the engines of a path, or a status and the cause."""
        hops = []
        for part in (
            text.split(',') if text else [f'{self.address}=0-{LAYERS}']
        ):
            address, _, layers = part.partition('=')
            first, end = (int(one) for one in layers.split('-'))
            engine = self.world.find_server(address)
            if engine is None or not engine.is_alive:
                return 503, address
            held = engine.layers
            if held is None or not held[0] <= first < end <= held[1]:
                return 421, address
            hops.append(engine)
        if hops[0] is not self:
            return 400, self.address
        return 200, hops

    async def _stream(self, request, writer, hops, leave, run) -> None:
        attempt = request.headers['attempt-id']
        deadline = time.monotonic() + (
            int(request.headers.get('deadline-ms', '20000')) / 1000
        )
        headers = {
            name.replace('_', '-'): one
            for name, one in self._sign(attempt).items()
        }
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        writer.write(format_head(200, headers))
        first = int(request.headers.get('last-event-id', '-1')) + 1
        how = 'whole'
        self.paths[attempt] = hops
        for number in range(first, self.world.events):
            await asyncio.wait({leave}, timeout=self.world.step_s)
            if leave.done():
                how = 'left by the router'
                break
            if await self._waits_in_vain(attempt, hops):
                how = 'broken: an engine of the path is lost'
                writer.transport.abort()
                break
            if time.monotonic() > deadline:
                how = 'deadline'
                writer.transport.abort()
                break
            event = f'id: {number}\ndata: word{number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        else:
            writer.write(b'0\r\n\r\n')
        self.paths.pop(attempt, None)
        self.world.record.add('end', server=self.id, attempt=attempt, how=how)
        if how != 'whole':
            raise Closed

    async def _waits_in_vain(self, attempt: str, hops: list[Server]) -> bool:
        """Wait for a lost engine of a path, until the path is another one."""
        end = time.monotonic() + STALL_S
        while lost := next((one for one in hops if not one.is_alive), None):
            self.stalled[attempt] = lost.address
            await asyncio.sleep(self.world.step_s)
            if time.monotonic() > end:
                self.stalled.pop(attempt, None)
                return True
        return False


class Entry:
    """One entry of the project, as a process."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self.zone, self.name = zone, f'edge-{zone}-{number}'
        self.ip = f'127.0.1.{number}'
        ports = world.ports
        self.front, self.ready = (self.ip, ports), (self.ip, ports + 1)
        settings = {
            'node': self.name,
            'role': 'entry',
            'machine_class': 'edge',
            'serves': ['edge', 'registry'],
            'ip': self.ip,
            'zone': zone,
            'region': 'perth',
            'zones': dict.fromkeys(world.zones, 'perth'),
            'listen': {
                'front': f'{self.ip}:{ports}',
                'ready': f'{self.ip}:{ports + 1}',
                'directory': f'{self.ip}:{ports + 2}',
            },
            'port_range': [ports + 4, ports + 9],
            'seeds': [],
            'bootstrap': True,
            'counts_as_loss': False,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4200,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'heartbeat_ms': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': world.store.address,
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }
        path = world.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['THORNSPOOL_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.log = world.folder / f'{self.name}.log'
        with self.log.open('wb') as output:
            self.process = subprocess.Popen(
                ['python3', 'deploy/thornspoold.py'],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            answer = await call(self.ready, 'GET', '/v1/readiness', {})
        except OSError:
            return False
        return answer.status == 200


BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_ms': 2000,
    'downgrade_ms': 250,
    'max_stretch_ms': 5000,
    'strict_revoke': True,
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 196,
    'recover_s': 12,
    'event_latency_ms': 120,
    'retry_after_s': 0,
    'stall_ms': 2500,
    'require_fence': False,
    'ttl_max_s': 5,
}
"""Bounds of the sheet of sclba-slots."""


class Answer:
    """What a client got."""

    def __init__(self) -> None:
        self.status, self.body = 0, b''
        self.headers: dict[str, str] = {}
        self.is_whole = self.keeps = False
        self.fault = ''


class Connection:
    """A client's connection, which is kept for several requests."""

    def __init__(self) -> None:
        self.served = 0

    async def open(self, address: tuple[str, int]) -> None:
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(*address, limit=1 << 22), 1.0
        )

    def close(self) -> None:
        self._writer.close()

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b'',
        wait_s: float = 25.0,
    ) -> Answer:
        """Send a request and read its answer to the end, whatever that is."""
        answer = Answer()
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        try:
            self._writer.write(head.encode('latin-1') + body)
            await asyncio.wait_for(self._read(answer, method), wait_s)
        except (
            OSError,
            EOFError,
            TimeoutError,
            asyncio.TimeoutError,
        ) as error:
            answer.fault = type(error).__name__
        self.served += 1
        return answer

    async def _read(self, answer: Answer, method: str) -> None:
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        answer.status = int(lines[0].split(' ')[1])
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                answer.headers[name.lower()] = value.strip()
        if method == 'HEAD':
            pass
        elif 'chunked' in answer.headers.get('transfer-encoding', ''):
            while True:
                line = await self._reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                chunk = await self._reader.readexactly(size + 2)
                answer.body += chunk[:size]
                if not size:
                    break
        else:
            size = int(answer.headers.get('content-length', '0'))
            answer.body = await self._reader.readexactly(size)
        answer.is_whole = True
        answer.keeps = answer.headers.get('connection', '') != 'close'


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> Answer:
    """Send one request on a connection of its own."""
    connection = Connection()
    await connection.open(address)
    try:
        return await connection.call(
            method, target, {'Host': HOST, **headers}, body
        )
    finally:
        connection.close()


class World:
    """The deployment of a case."""

    zones = ('perth-a', 'perth-b')
    entries_per_zone = 2
    events, step_s = 60, 0.04

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / 'record.txt')
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store()
        self.servers: list[Server] = []
        self.entries: list[Entry] = []
        self._tasks: set[asyncio.Task] = set()
        self._attempts = 0
        self.crash_text = b''
        self.version = 0
        self.ports = find_ports()

    def start_task(self, work) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def find_server(self, address: str) -> Server | None:
        found = [one for one in self.servers if one.address == address]
        return found[0] if found else None

    def crashes(self, request: Request) -> bool:
        """Return whether a request ends the server that runs it."""
        return bool(self.crash_text) and self.crash_text in request.body

    def is_streamed(self, request: Request) -> bool:
        """Return whether an engine answers a request with events."""
        return request.path.startswith('/brief/')

    def build_configuration(self) -> dict:
        """Build the first configuration; cases change a copy of it."""
        return {
            'version': 1,
            'routes': [
                build_route('brief', 'streaming', MODEL, 20_000, 500),
                build_route('hold', 'non_idempotent', PLAIN, 3_000, 300),
                build_route('status', 'idempotent', PLAIN, 3_000, 300),
            ],
            'services': [
                {
                    'name': MODEL,
                    'health_path': '/health',
                    'max_connections': 1058,
                    'engine': {
                        'slots': 96,
                        'kv_capacity_tokens': 50_000,
                        'kv_token_bytes': 1_180_000,
                        'stride': 2,
                        'models': [{'name': 'm0', 'pace': 1.0, 'load_s': 1.0}],
                        'step_ms': 0.85,
                        'per_seq_ms': 0.00764,
                        'context_per_k': 0.01024,
                        'read_per_s': 196_000.0,
                        'usual': {'prompt': 500, 'answer': 120},
                        'layers': LAYERS,
                        'layer_mb': 1_000.0,
                        'activation_bytes': 59_000,
                        'pipe_mbps': 11_000.0,
                        'kinds': [
                            {
                                'name': 'l4',
                                'size_mb': 14_000.0,
                                'pace': 1.0,
                                'read_factor': 1.0,
                            }
                        ],
                    },
                },
                {
                    'name': PLAIN,
                    'health_path': '/health',
                    'max_connections': 96,
                },
            ],
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 4_194_304,
                'header_timeout_ms': 3_000,
                'idle_timeout_ms': 15_000,
            },
            'tenants': [{'name': 'north', 'api_keys': [KEY], 'priority': 1}],
        }

    def configure(self, configuration: dict) -> None:
        """Write a configuration as the operator does; the store accepts it."""
        self.version = max(self.version + 3, configuration['version'])
        configuration['version'] = self.version
        self.store.put('op/config', configuration)
        self.record.add('configuration acknowledged', version=self.version)

    async def start(self) -> None:
        """Start everything and wait until it serves."""
        await self.store.listen('127.0.0.1')
        self.start_task(self.store.expire())
        for zone in self.zones:
            for number in range(3):
                await self._add(f'i-{zone[-1]}{number}', MODEL, zone)
            await self._add(f'i-{zone[-1]}9', PLAIN, zone)
        self.configure(self.build_configuration())
        await self.before_entries()
        number = 0
        for zone in self.zones:
            for _ in range(self.entries_per_zone):
                number += 1
                self.entries.append(Entry(self, number, zone))
        await self.wait(self._is_up, 30)
        await asyncio.sleep(2.0)
        self.record.add('deployment serves')

    async def _add(self, name: str, service: str, zone: str) -> None:
        server = Server(self, name, service, zone)
        self.servers.append(server)
        await server.start()

    async def before_entries(self) -> None:
        """Called before the entries start."""

    async def _is_up(self) -> bool:
        for one in self.entries:
            if not await one.is_ready():
                return False
        return self.is_placed()

    def is_placed(self) -> bool:
        """Return whether each zone has each layer."""
        return all(
            set(range(LAYERS))
            <= {
                layer
                for one in self.servers
                if one.zone == zone and one.layers
                for layer in range(*one.layers)
            }
            for zone in self.zones
        )

    async def wait(self, check, seconds: float) -> None:
        end = time.monotonic() + seconds
        while not await check():
            if time.monotonic() > end:
                raise CannotRun(f'{check.__name__} did not hold in time')
            await asyncio.sleep(0.1)

    def name_attempt(self, text: str) -> str:
        self._attempts += 1
        return f'{text}-{self._attempts}'

    async def ask(
        self,
        connection: Connection,
        method: str,
        target: str,
        key: str = KEY,
        body: bytes = b'',
        wait_ms: int = 20_000,
        **notes: object,
    ) -> dict:
        """Send a request as a client, and record what it got."""
        attempt = self.name_attempt(target.split('/')[1])
        headers = {
            'Host': HOST,
            'Attempt-Id': attempt,
            'Deadline-Ms': str(wait_ms),
        }
        if key:
            headers['Authorization'] = f'Bearer {key}'
        if target.startswith('/brief/'):
            headers |= {
                'Model': 'm0',
                'Token-Usage': '500,120',
                'Prompt-Prefix': f'5c1e07a2:40,{self._attempts:08x}:460',
            }
        is_kept = connection.served > 0
        self.record.add(
            'sent', attempt=attempt, method=method, target=target, **notes
        )
        answer = await connection.call(
            method, target, headers, body, wait_ms / 1000 + 2
        )
        return self.record.add(
            'answered',
            attempt=attempt,
            status=answer.status,
            seal=answer.headers.get('response-seal', ''),
            is_whole=answer.is_whole,
            keeps=answer.keeps,
            fault=answer.fault,
            size=len(answer.body),
            is_kept_connection=is_kept,
            method=method,
            target=target,
            **notes,
        )

    async def stop(self) -> None:
        for entry in self.entries:
            if entry.process.poll() is None:
                entry.process.kill()
            entry.process.wait()
        for task in list(self._tasks):
            task.cancel()
        for server in self.servers:
            if server.is_alive:
                server.stop_listening()
        self.store.stop_listening()
        self._temporary.cleanup()


class CannotRun(Exception):
    """The case could not be played."""


def build_route(
    name: str, kind: str, service: str, timeout_ms: int, target_ms: int
) -> dict:
    """Build a route for the paths below its name."""
    route = {
        'name': f'r-{name}',
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': target_ms,
        'priority': 1,
        'service': service,
        'attempts': 1 if kind == 'non_idempotent' else 2,
        'anonymous': False,
    }
    if kind == 'streaming':
        route |= {'sticky': True, 'resumable': False, 'target_gap_ms': 200}
    return route


def find_ports() -> int:
    """Find ten ports that are free on all addresses of the entries."""
    for _ in range(200):
        first = random.randrange(15_000, 31_000)
        try:
            for number in range(first, first + 10):
                for ip in ('127.0.1.1', '127.0.1.2', '127.0.1.3', '127.0.1.4'):
                    with socket.socket() as probe:
                        probe.bind((ip, number))
        except OSError:
            continue
        return first
    raise CannotRun('no free ports')


def run(kind: type[World], folder: pathlib.Path) -> int:
    """Play a case; 1 if the rule was broken, 0 if not, 2 if it can't run."""
    is_troubled = os.environ.get('TROUBLE', '1') != '0'

    async def play() -> int:
        world = kind(folder)
        world.is_troubled = is_troubled
        try:
            async with asyncio.timeout(110):
                await world.start()
                verdict = await world.play()
        finally:
            await world.stop()
        world.record.add('verdict', **verdict)
        print(json.dumps(verdict))
        return 1 if verdict['broken'] else 0

    try:
        return asyncio.run(play())
    except (CannotRun, TimeoutError, OSError) as error:
        print(f'The case could not run: {error!r}', file=sys.stderr)
        return 2
