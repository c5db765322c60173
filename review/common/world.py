"""A small deployment on loopback for the scripts of the review.

Starts the project's store stand-in and its entries as processes, with the
command of the deploy file. Servers and clients are small stand-ins in the
process of the script. Everything that was sent, answered and run is written
to ``record.txt``.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'
LAYERS = 12
HOST = 'desk.example'
KEY = 'key-north'
EVENTS = 30
STEP_S = 0.03
BOUNDS = {
    'contact_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'config_ms': 2000,
    'revoke_ms': 5000,
    'budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 196,
    'stall_ms': 2500,
    'ttl_max_s': 5,
}
_used_ports: set[int] = set()


def find_ports(count):
    """Return free loopback ports below the ephemeral range."""
    found = []
    port = 15_000 + (os.getpid() * 37) % 10_000
    while len(found) < count:
        port += 1
        if port in _used_ports:
            continue
        with (
            socket.socket() as one,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as two,
        ):
            try:
                one.bind(('127.0.0.1', port))
                two.bind(('127.0.0.1', port))
            except OSError:
                continue
        _used_ports.add(port)
        found.append(port)
    return found


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._began = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self._began
        self._file.write(f'{at:9.3f} s  {text}\n')
        self._file.flush()


class Server:
    """An engine or a plain server that follows the pages.

    ``answer`` may be replaced by a function that writes a faulty response.
    """

    def __init__(self, world, name, service, domain, port=0):
        self.world = world
        self.id = name
        self.service = service
        self.domain = domain
        self.port = port or find_ports(1)[0]
        self.address = f'127.0.0.1:{self.port}'
        self.layers = None
        self.sequence = 0
        self.state = 'ready'
        self.born = 0
        self.fault = None
        self.work_s = 0.06
        self.arrivals = []
        self.runs = []
        self._server = None
        self._writers = set()

    async def start(self):
        self.born = time.time_ns() // 1_000_000
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        await self.publish()

    async def publish(self):
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.domain,
            'version': 'v1',
            'slots': 96 if self.service == 'writer' else 6,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.born,
        }
        if self.service == 'writer':
            entry['kind'] = 'card'
            entry['layers'] = self.describe_layers()
        await self.world.put(f'servers/{self.id}', entry)

    def describe_layers(self):
        if self.layers is None:
            return None
        return {'from': self.layers[0], 'to': self.layers[1], 'version': 1}

    @property
    def is_alive(self):
        return self._server is not None

    def kill(self):
        """End without notice."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        # The event loop itself holds tasks weakly.
        self.world.tasks.add(asyncio.current_task())
        self._writers.add(writer)
        try:
            request = await read_request(reader)
            if request is not None:
                await self._handle(request, reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            self.world.tasks.discard(asyncio.current_task())
            writer.close()

    async def _handle(self, request, reader, writer):
        method, target, headers, body = request
        if target == '/v1/report':
            report = {
                'stage': 'hybrid',
                'models': [],
                'busy': False,
                'sequence': self.sequence,
                'layers': self.describe_layers(),
                'pace': 1.0,
                'stalled': [],
                'born': self.born,
            }
            write_response(writer, 200, [], json.dumps(report).encode())
            await writer.drain()
            return
        if headers.get('expect-instance', self.id) != self.id:
            write_response(writer, 421, [('Not-Executed', '1')], b'')
            await writer.drain()
            return
        if target == '/v1/order':
            await self._order(json.loads(body), writer)
            return
        attempt = headers.get('attempt-id', '')
        self.arrivals.append((time.monotonic(), attempt))
        self.world.record(
            f'server {self.id} receives {attempt} {method} {target}'
        )
        if self.service == 'writer' and not self._is_held(headers):
            write_response(
                writer,
                421,
                [('Not-Executed', '1'), ('At-Server', self.address)],
                b'',
            )
            await writer.drain()
            return
        self.runs.append(attempt)
        self.world.runs.setdefault(attempt, []).append(self.id)
        self.world.targets[attempt] = target
        self.world.record(f'server {self.id} runs {attempt}')
        if self.fault is not None and await self.fault(
            self, request, reader, writer
        ):
            return
        if self.service == 'writer':
            await self._stream(headers, reader, writer)
        else:
            await asyncio.sleep(self.work_s)
            text = f'{self.id} for {headers.get("tenant", "")} {attempt}'
            write_response(writer, 200, self.seal(attempt), text.encode())
            await writer.drain()
            self.world.record(f'server {self.id} answers {attempt} 200')

    def seal(self, attempt):
        return [
            ('Attempt-Id', attempt),
            ('Response-Seal', f'seal-{self.id}-{attempt}'),
        ]

    def _is_held(self, headers):
        first = headers.get('hop-count', '').split(',')[0]
        address, _, part = first.partition('=')
        if address != self.address or self.layers is None:
            return False
        begin, _, end = part.partition('-')
        return self.layers[0] <= int(begin) and int(end) <= self.layers[1]

    async def _order(self, order, writer):
        if order.get('operation') != 'place':
            write_response(writer, 404, [], b'')
        elif order.get('expected', self.sequence) != self.sequence:
            write_response(writer, 409, [], b'')
        else:
            self.sequence += 1
            self.layers = (order['from'], order['to'])
            await self.publish()
            write_response(writer, 202, [], b'')
        await writer.drain()

    async def _stream(self, headers, reader, writer):
        attempt = headers.get('attempt-id', '')
        first = int(headers.get('last-event-id') or -1) + 1
        write_chunked_head(
            writer,
            [*self.seal(attempt), ('Content-Type', 'text/event-stream')],
        )
        for index in range(first, EVENTS):
            await asyncio.sleep(STEP_S)
            write_chunk(writer, format_event(index))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.world.record(f'server {self.id} answers {attempt} whole stream')


def format_event(index):
    return b'id: %d\ndata: word%d\n\n' % (index, index)


def write_response(writer, status, headers, body):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    writer.write('\r\n'.join(lines).encode('latin-1') + body)


def write_chunked_head(writer, headers):
    lines = ['HTTP/1.1 200 OK']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += ['Transfer-Encoding: chunked', '', '']
    writer.write('\r\n'.join(lines).encode('latin-1'))


def write_chunk(writer, data):
    writer.write(b'%x\r\n%s\r\n' % (len(data), data))


async def read_request(reader):
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif 'chunked' in headers.get('transfer-encoding', ''):
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return method, target, headers, body


class Answer:
    """What a client got.

    ``raw`` holds all bytes as they came; ``problem`` is empty for a whole
    answer in the protocol.
    """

    def __init__(self, attempt):
        self.attempt = attempt
        self.sent_at = time.monotonic()
        self.ended_at = None
        self.raw = b''
        self.status = 0
        self.headers = {}
        self.body = b''
        self.problem = ''

    @property
    def took_s(self):
        return (self.ended_at or time.monotonic()) - self.sent_at

    def __str__(self):
        seal = self.headers.get('response-seal', 'none')
        problem = f', {self.problem}' if self.problem else ''
        return (
            f'client {self.attempt} got {self.status}, signature {seal}, '
            f'{len(self.body)} bytes after {self.took_s:.3f} s{problem}'
        )


async def call(
    world,
    entry,
    method,
    path,
    attempt,
    body=b'{}',
    deadline_ms=20_000,
    key=KEY,
    wait_s=None,
    headers=(),
):
    """Send one request on a new connection and read its answer."""
    answer = Answer(attempt)
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Attempt-Id: {attempt}',
        f'Deadline-Ms: {deadline_ms}',
        'Token-Usage: 500,100',
        f'Authorization: Bearer {key}',
        *(f'{name}: {value}' for name, value in headers),
    ]
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    else:
        body = b''
    world.record(f'client sends {attempt} {method} {path} to {entry.name}')
    try:
        async with asyncio.timeout(wait_s or deadline_ms / 1000 + 2.0):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', entry.callers
            )
            try:
                writer.write('\r\n'.join([*lines, '', '']).encode() + body)
                await _read_answer(reader, answer)
            finally:
                writer.close()
    except TimeoutError:
        answer.problem = 'no answer in time'
    except (ConnectionError, OSError) as error:
        answer.problem = f'connection failed: {type(error).__name__}'
    answer.ended_at = time.monotonic()
    world.record(str(answer))
    return answer


async def _read_answer(reader, answer):
    while b'\r\n\r\n' not in answer.raw:
        chunk = await reader.read(65_536)
        if not chunk:
            answer.problem = 'closed without an answer'
            return
        answer.raw += chunk
        if not b'HTTP/1.1 '.startswith(answer.raw[:9]) and (
            not answer.raw.startswith(b'HTTP/1.1 ')
        ):
            answer.problem = 'bytes that are no answer'
            return
    head, _, rest = answer.raw.partition(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    answer.status = int(first.split(' ')[1])
    for line in lines:
        name, _, value = line.partition(':')
        answer.headers[name.strip().lower()] = value.strip()
    if 'content-length' in answer.headers:
        length = int(answer.headers['content-length'])
        while len(rest) < length:
            chunk = await reader.read(65_536)
            if not chunk:
                answer.problem = 'cut body'
                break
            answer.raw += chunk
            rest += chunk
        answer.body = rest
        return
    buffer = rest
    while True:
        while b'\r\n' not in buffer:
            chunk = await reader.read(65_536)
            if not chunk:
                answer.problem = 'cut body'
                return
            answer.raw += chunk
            buffer += chunk
        size_text, _, buffer = buffer.partition(b'\r\n')
        size = int(size_text, 16)
        while len(buffer) < size + 2:
            chunk = await reader.read(65_536)
            if not chunk:
                answer.problem = 'cut body'
                return
            answer.raw += chunk
            buffer += chunk
        answer.body += buffer[:size]
        buffer = buffer[size + 2 :]
        if size == 0:
            return


class Entry:
    """An entry of the system as a process."""

    def __init__(self, world, name, domain):
        self.world = world
        self.name = name
        self.domain = domain
        self.ports = find_ports(5)
        self.callers = self.ports[0]
        self.log = world.folder / f'{name}.log'
        self.popen = None
        self.settings = world.folder / f'{name}.json'
        self.store_address = ''

    def write_settings(self, **changes):
        document = {
            'node': self.name,
            'role': 'entry',
            'machine_class': 'edge',
            'serves': ['edge', 'registry'],
            'ip': '127.0.0.1',
            'zone': self.domain,
            'region': 'r',
            'listen': {
                'front': f'127.0.0.1:{self.ports[0]}',
                'ready': f'127.0.0.1:{self.ports[1]}',
                'directory': f'127.0.0.1:{self.ports[2]}',
            },
            'port_range': [self.ports[3], self.ports[4]],
            'seeds': [],
            'bootstrap': True,
            'heartbeat_ms': 1200,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4200,
                'link_mbps': 1000.0,
            },
            'bounds': BOUNDS,
            'platform': {
                'address': self.store_address or self.world.store_address,
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
            **changes,
        }
        self.settings.write_text(json.dumps(document))

    def start(self):
        command = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())[
            'roles'
        ]['entry']['run'].split()
        if not self.settings.exists():
            self.write_settings()
        with self.log.open('ab') as output:
            self.popen = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(DEPS),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'THORNSPOOL_NODE_FILE': str(self.settings),
                },
            )
        self.world.processes.append(self.popen)

    def signal(self, number):
        self.world.record(f'{self.name} gets {signal.Signals(number).name}')
        self.popen.send_signal(number)

    def read_rss_mb(self):
        """Return the resident memory of the process in MB."""
        try:
            text = pathlib.Path(f'/proc/{self.popen.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ports[1]
            )
        except OSError:
            return False
        writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            line = await asyncio.wait_for(reader.readline(), 2)
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()
        return b' 200 ' in line


class World:
    """The store, the servers and the entries of one script."""

    def __init__(self, folder):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.processes = []
        self.servers = {}
        self.tasks = set()
        self.entries = []
        self.runs = {}
        self.targets = {}
        self.version = 0
        self.tenants = None
        self.proxies = []
        self.store_address = ''

    async def start(self, entries=3, engines=3, plain=3, routes=None):
        self._start_store()
        domains = ('a', 'b', 'c')
        for index in range(plain):
            await self.add_server(
                f'ledger-{index}', 'ledger', domains[index % 3]
            )
        for index in range(engines):
            await self.add_server(
                f'writer-{index}', 'writer', domains[index % 3]
            )
        await self.publish(routes)
        for index in range(entries):
            entry = Entry(self, f'edge-{index}', domains[index % 3])
            self.entries.append(entry)
            if self.proxies:
                entry.store_address = self.proxies[index].address
            entry.start()
        await self.wait_until_ready(engines > 0)

    def _start_store(self):
        popen = subprocess.Popen(
            [sys.executable, '-m', 'standins.kv_store'],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={
                **os.environ,
                'PYTHONPATH': f'{DEPS}:{ROOT / "src"}:{ROOT}',
                'PYTHONDONTWRITEBYTECODE': '1',
            },
        )
        self.processes.append(popen)
        line = popen.stdout.readline()
        self.store_address = json.loads(line)['url'].removeprefix('http://')

    async def add_server(self, name, service, domain, port=0):
        server = Server(self, name, service, domain, port)
        self.servers[name] = server
        await server.start()
        return server

    async def wait_until_ready(self, has_engines, timeout_s=25):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            ready = [await one.is_ready() for one in self.entries]
            if all(ready) and all(
                one.layers is not None
                for one in self.servers.values()
                if one.service == 'writer'
            ):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError('the deployment did not become ready')
        paths = [('GET', '/read/0')] + [('POST', '/brief/0')] * has_engines
        for entry in self.entries:
            for method, path in paths:
                while time.monotonic() < end:
                    warm = await call(
                        self, entry, method, path, f'warm-{time.time_ns():x}'
                    )
                    if warm.status == 200:
                        break
                    await asyncio.sleep(0.2)
                else:
                    raise RuntimeError('the deployment serves nothing')
        self.record('the deployment is ready')

    async def publish(self, routes=None, keys=None):
        """Write a configuration; returns when the store has accepted it."""
        self.version += 3
        document = build_configuration(self.version, routes, keys)
        if self.tenants is not None:
            document['tenants'] = self.tenants
        await self.put('op/config', document)
        self.record(f'configuration {self.version} is acknowledged')

    async def put(self, key, document):
        await self.put_raw(key, json.dumps(document).encode())

    async def put_raw(self, key, raw):
        value = base64.b64encode(raw).decode()
        await self.write({'puts': [{'key': key, 'value': value, 'lease': 0}]})

    async def delete(self, key):
        await self.write({'deletes': [key]})

    async def write(self, body):
        await asyncio.to_thread(self._post, '/v1/kv-txn', body)

    async def control_store(self, path='/control', **body):
        await asyncio.to_thread(self._post, path, body)

    def _post(self, path, body):
        request = urllib.request.Request(
            f'http://{self.store_address}{path}',
            json.dumps(body).encode(),
            {'Standin-Writer': '1'},
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            response.read()

    def stop(self):
        """End all processes that were started."""
        for popen in self.processes:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self.processes:
            popen.wait()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def build_route(prefix, kind, service, **changes):
    route = {
        'name': prefix.strip('/'),
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeout_ms': 20_000 if kind == 'streaming' else 1500,
        'target_latency_ms': 500 if kind == 'streaming' else 300,
        'target_gap_ms': 200 if kind == 'streaming' else 0,
        'priority': 1 if kind == 'streaming' else 2,
        'service': service,
        'attempts': 1 if kind == 'non_idempotent' else 2,
        'anonymous': False,
        'resumable': kind == 'streaming',
    }
    return {**route, **changes}


def build_routes():
    return [
        build_route('/brief/', 'streaming', 'writer'),
        build_route('/once/', 'streaming', 'writer', resumable=False),
        build_route('/hold/', 'non_idempotent', 'ledger'),
        build_route('/read/', 'idempotent', 'ledger'),
    ]


def build_configuration(version, routes=None, keys=None):
    return {
        'version': version,
        'routes': routes or build_routes(),
        'services': [
            {
                'name': 'writer',
                'engine': {
                    'slots': 96,
                    'kv_token_bytes': 1_200_000,
                    'step_ms': 1.0,
                    'per_seq_ms': 0.01,
                    'read_per_s': 100_000.0,
                    'layers': LAYERS,
                    'layer_mb': 1000.0,
                    'usual': {'prompt': 500, 'answer': 100},
                    'models': [{'name': 'm', 'load_s': 1.0}],
                    'kinds': [
                        {
                            'name': 'card',
                            'size_mb': 24_000.0,
                            'pace': 1,
                            'read_factor': 1,
                        }
                    ],
                },
            },
            {'name': 'ledger'},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 4_194_304,
            'header_timeout_ms': 5_000,
            'idle_timeout_ms': 30_000,
        },
        'tenants': [
            {'name': name, 'api_keys': list(values)}
            for name, values in (keys or {'north': [KEY]}).items()
        ],
    }


def run(folder, play):
    """Play a case and end all processes; returns the exit code.

    ``play`` takes the world and whether the disruption is on, and returns
    whether the rule was broken.
    """
    troubled = os.environ.get('TROUBLE', '1') != '0'
    world = World(folder)
    world.record(f'the disruption is {"on" if troubled else "off"}')

    async def play_limited():
        # Connections that end while a case stops are no findings.
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: None
        )
        async with asyncio.timeout(110):
            return await play(world, troubled)

    try:
        broken = asyncio.run(play_limited())
    except Exception as error:
        world.record(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        return 2
    finally:
        world.stop()
    verdict = 'the rule was broken' if broken else 'the rule held'
    world.record(verdict)
    print(verdict)
    return 1 if broken else 0


def main(folder, play):
    """Play a case and exit with its result.

    Connections that are still open then are dropped without a word.
    """
    code = run(folder, play)
    sys.stdout.flush()
    os._exit(code)
