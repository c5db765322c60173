"""Stand-in of a small fleet of the platform's servers, in one process.

``python -m standins.kv_fleet --store ip:port`` starts two replicas of a
small model, each of three engines in a separate failure domain, and two
plain servers, registers them in the store and writes a configuration. It
prints one line of JSON when all servers listen. ``POST /control`` takes
``{"kill": ID}`` (the server stops and its store entry remains),
``{"drain": ID}``, ``{"add": ID}`` (an empty engine), ``{"put": KEY,
"document": DOCUMENT}``, ``{"put_raw": KEY, "value": BASE64}``, ``{"delete":
KEY}``, ``{"lose_answers": N}``, ``{"spoil_heads": N}`` (a header of the next N
answers is no HTTP), ``{"raw_answers": [ANSWER, ...]}`` (the next answers, with
the fields of ``raw_answers.RawAnswer``) or
``{"limit": ID, "per_s": NUMBER}`` (the server names a limit in its responses;
null ends it) or ``{"rest": ID, "host": HOST, "seconds": NUMBER, "for_s":
NUMBER}`` (the server turns the host away and asks it for rest) or ``{"leave":
ID}`` (the server states in its responses that it leaves; its store entry stays
as it is) or ``{"crash_on": TEXT}`` (a request with the text in its body
crashes each server that runs it, and it starts anew after a while) or
``{"crash_on_part": ID}`` (the same for a part of the prompt that is not the
last one, on engines) or ``{"break_after": N}`` (engines close the connection
after N events of each stream; null ends it) or ``{"alias": {ADDRESS:
ADDRESS}}`` (further addresses at which servers are reached, in addition to
those before) or ``{"sources": {IP: HOST}}`` (hosts that open connections from
an address, in addition to those before).
``GET /control`` returns what the servers ran, which layers they hold, and with
``?log=1`` what arrived at them and what they answered; with ``?listening=1``
only the addresses at which servers listen.

Servers know a host by its address, as those of the platform do. Where several
hosts share one, an attempt id of the form ``HOST.REST`` names the host to
which the caller has sent the request.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import collections
import contextlib
import json
import socket
import struct
import time
import typing
import urllib.request

import attrs
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from standins import common
from standins import raw_answers

LAYERS = 12
KIND = 'card'
MODEL_SERVICE = 'drafting'
PLAIN_SERVICE = 'ledger'
HOST = 'desk.example'
KEY = 'key-north'
STEP_S = 0.02
STALL_DURATION_S = 2.5
EVENTS = 40
_LAYER_MB = 1000.0
_HEARTBEAT_INTERVAL_MS = 1200
RESTART_S = 2.0
_BROKEN_EVENT = EVENTS // 2
_SPOILED_HEADER = 'Weight-Versions: \x01'
PUBLICATION_RETRY_S = 0.5
CLAIMS_PREFIX = 'servers/export-'
STREAMED_PREFIX = '/brief/'


@attrs.define(eq=False)
class Server:
    """An engine or a plain server.

    Attributes
    ----------
    id, service, domain : str
        Identifier, service and failure domain.
    address : str
        Address that it listens on, as ``ip:port``.
    state : str
        ``ready`` or ``draining``.
    layers : tuple of int or None
        First and end layer that an engine holds; None if it holds none.
    order_sequence : int
        Number of accepted placement orders.
    is_alive : bool
        False after the server was killed.
    started_at_ms : int
        Wall-clock time of the start, in milliseconds.
    listener : HTTPServer or None
        HTTP server; None before the start.
    stalled : dict of str to str
        Address of the server that a stalled run waits for, by attempt.
    limit_per_s : float or None
        Limit on requests that it names in its responses.
    is_leaving : bool
        Whether it states in its responses that it leaves.
    rests : dict of str to tuple of float
        Hosts that it turns away: until when, in seconds of the monotonic
        clock, and the seconds of rest that it asks for.
    suspended_until : float
        Time until which it is unresponsive, in seconds of the monotonic
        clock.
    """

    id: str
    service: str
    domain: str
    address: str = ''
    state: str = 'ready'
    layers: tuple[int, int] | None = None
    order_sequence: int = 0
    is_alive: bool = True
    started_at_ms: int = 0
    listener: httpserver.HTTPServer | None = None
    stalled: dict[str, str] = attrs.field(factory=dict)
    limit_per_s: float | None = None
    is_leaving: bool = False
    rests: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    suspended_until: float = 0.0

    async def wait_until_resumed(self) -> None:
        """Wait while the server is unresponsive."""
        while (wait_s := self.suspended_until - time.monotonic()) > 0:
            await asyncio.sleep(wait_s)

    def describe(self) -> dict[str, typing.Any]:
        """Return the document of the server in the store."""
        entry: dict[str, typing.Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.domain,
            'version': 'v1',
            'slots': 16,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.started_at_ms,
        }
        if self.service == MODEL_SERVICE:
            entry['kind'] = KIND
            entry['layers'] = self.describe_layers()
        return entry

    def describe_layers(self) -> dict[str, int] | None:
        """Return the held layers as the protocol writes them."""
        if self.layers is None:
            return None
        return {'from': self.layers[0], 'to': self.layers[1], 'version': 1}


class Fleet:
    """All servers and the counts of their runs.

    Parameters
    ----------
    store : str
        Address of the store, as ``ip:port``.
    """

    def __init__(self, store: str) -> None:
        self._store = store
        self.servers: dict[str, Server] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.wrong_paths = 0
        self.lose_answers = 0
        self.spoil_heads = 0
        self.raw_answers: list[raw_answers.RawAnswer] = []
        self.crash_on = ''
        self.unframed: list[str] | None = None
        self.break_after: int | None = None
        self.crash_on_part = ''
        self.aliases: dict[str, str] = {}
        self.hosts: dict[str, str] = {}
        self.log: list[dict[str, typing.Any]] = []
        self._writing = asyncio.Lock()
        self._publications: set[asyncio.Task[None]] = set()

    def find_by_address(self, address: str) -> Server | None:
        """Return the server at an address, or None."""
        address = self.aliases.get(address, address)
        for server in self.servers.values():
            if server.address == address:
                return server
        return None

    async def put(self, key: str, document: object) -> None:
        """Write a key of the store with the rights of its owner."""
        async with self._writing:
            await self._put(key, document)

    async def claim_address(self, name: str, service: str) -> None:
        """List a later process at the address of a server that still runs.

        Another program does so by mistake.

        Parameters
        ----------
        name : str
            Id of the server.
        service : str
            Service of the record; empty for the one of the server.
        """
        server = self.servers[name]
        document = server.describe()
        document['service'] = service or server.service
        document['born'] = time.time_ns() // 1_000_000
        await self.put(f'{CLAIMS_PREFIX}{name}', document)

    async def delete(self, key: str) -> None:
        """Delete a key of the store."""
        async with self._writing:
            await self._write({'deletes': [key]})

    async def publish_server(self, server: Server) -> None:
        """Write a server's document to the store."""
        async with self._writing:
            await self._put(f'servers/{server.id}', server.describe())

    def keep_published(self, server: Server) -> None:
        """Write a server's document as soon as the store accepts it."""
        task = asyncio.create_task(self._publish_until_stored(server))
        self._publications.add(task)
        task.add_done_callback(self._publications.discard)

    async def _publish_until_stored(self, server: Server) -> None:
        while server.is_alive:
            with contextlib.suppress(OSError):
                await self.publish_server(server)
                return
            await asyncio.sleep(PUBLICATION_RETRY_S)

    async def put_raw(self, key: str, value: str) -> None:
        """Write bytes, as base64, as another program may do."""
        async with self._writing:
            await self._put_value(key, value)

    async def _put(self, key: str, document: object) -> None:
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self._put_value(key, value)

    async def _put_value(self, key: str, value: str) -> None:
        await self._write({'puts': [{'key': key, 'value': value, 'lease': 0}]})

    async def _write(self, body: dict[str, typing.Any]) -> None:
        """Write to the store, in a thread: servers go on while it is down."""
        await asyncio.to_thread(self._post, body)

    def _post(self, body: dict[str, typing.Any]) -> None:
        request = urllib.request.Request(
            f'http://{self._store}/v1/kv-txn',
            json.dumps(body).encode(),
            {'Standin-Writer': '1'},
        )
        opened = urllib.request.urlopen(request, timeout=5)  # noqa: S310
        with opened as response:
            response.read()


class _Handler(web.RequestHandler):
    def initialize(self, fleet: Fleet, server: Server) -> None:
        self.fleet = fleet
        self.server = server

        self._lost_address = ''
        self._is_running = False

    async def prepare(self) -> None:
        await self.server.wait_until_resumed()
        connection: typing.Any = self.request.connection
        if connection.stream is None or connection.stream.closed():
            raise web.Finish
        host = self.record('arrival')['host']
        until, rest_s = self.server.rests.get(host, (0.0, 0.0))
        if time.monotonic() < until:
            self.set_header('Retry-After', f'{rest_s:g}')
            self.reject(503, rest_ms=round(rest_s * 1000))

    def record(
        self, event: str, **values: typing.Any
    ) -> dict[str, typing.Any]:
        """Append a line to the log of what servers get and answer."""
        attempt = self.request.headers.get('Attempt-Id', '')
        sender, dot, _ = attempt.partition('.')
        kinds = {'/v1/report': 'probe', '/v1/order': 'order'}
        line = {
            'event': event,
            'at_ms': time.monotonic_ns() // 1_000_000,
            'server': self.server.id,
            'host': self._find_host(sender) if dot else '',
            'kind': kinds.get(self.request.path, 'request'),
            'attempt': attempt,
            **values,
        }
        self.fleet.log.append(line)
        return line

    def begin_run(self) -> None:
        """Log that the server begins to run the request."""
        self._is_running = True
        self.record('run')

    def end_run(self, end: str) -> None:
        """Log the end of a run, unless it has ended."""
        if self._is_running:
            self._is_running = False
            self.record('run_end', end=end)

    def on_connection_close(self) -> None:
        """Log that the server or the other side has closed the connection."""
        is_lost = bool(self._lost_address) or not self.server.is_alive
        self.end_run('broken' if is_lost else 'stopped')

    def _find_host(self, default: str) -> str:
        """Return the host that has opened the connection, if it is known."""
        return self.fleet.hosts.get(self.request.remote_ip or '', default)

    def state_condition(self, rest_ms: int = 0) -> None:
        """Set the headers in which the server states its condition."""
        limit_per_s = self.server.limit_per_s
        if limit_per_s is not None:
            self.set_header('Server-Limit', f'{limit_per_s:g}')
        if self.server.is_leaving:
            self.set_header('Server-Leaving', '1')
        self.record(
            'answer',
            limit_per_s=limit_per_s,
            rest_ms=rest_ms,
            is_leaving=self.server.is_leaving,
        )

    def reject(self, status: int, fault: str = '', rest_ms: int = 0) -> None:
        """Reject a request that was not executed.

        Parameters
        ----------
        status : int
            HTTP status.
        fault : str, optional
            Address of the server that caused the rejection.
        rest_ms : int, optional
            Milliseconds of rest that the server asks for.
        """
        self.set_status(status)
        self.state_condition(rest_ms)
        self.set_header('Not-Executed', '1')
        if fault:
            self.set_header('At-Server', fault)
        self.finish()

    async def crash_if_told(self, first_event: str = '') -> bool:
        """Crash the server if it may not survive this request.

        Parameters
        ----------
        first_event : str, optional
            Event that may be written before the crash.

        Returns
        -------
        bool
            Whether the server has crashed.
        """
        cause = self._find_crash_cause()
        if not cause:
            return False
        await self.flush()
        await asyncio.sleep(STEP_S)
        if first_event and len(self.fleet.log) % 2:
            self.write(first_event)
            await self.flush()
        if self.server.is_alive:
            self.end_run('broken')
            self.record('crash', content=cause)
            await stop_server(self.server)
            asyncio.get_running_loop().call_later(
                RESTART_S, restart_server, self.fleet, self.server
            )
        # The connections of a server that another request has crashed are
        # closed one after the other.
        common.drop_connection(self)
        return True

    def _find_crash_cause(self) -> str:
        """Return the text or part of the prompt that crashes the server."""
        text = self.fleet.crash_on
        if text and text.encode() in self.request.body:
            return text
        prefix = self.request.headers.get('Prompt-Prefix', '')
        parts = [one.partition(':')[0] for one in prefix.split(',')]
        part = self.fleet.crash_on_part
        return part if part in parts[:-1] else ''

    def add_response_headers(self) -> None:
        """Set the headers that a server adds to its responses."""
        self.state_condition()
        self.set_header('Response-Seal', f'seal-{self.server.id}')
        self.set_header('Attempt-Id', self.request.headers['Attempt-Id'])

    def take_ending(self) -> str | None:
        """Return how the response ends; None if it has a length or chunks.

        One whose head is spoiled ends with its connection.
        """
        if self.fleet.spoil_heads > 0:
            self.fleet.spoil_heads -= 1
            return 'spoiled'
        unframed = self.fleet.unframed
        if unframed is None:
            return None
        return unframed.pop(0) if unframed else 'whole'

    async def answer_raw(self, content: bytes) -> bool:
        """Send the raw answer that a test has set, if there is one."""
        if not self.fleet.raw_answers:
            return False
        answer = self.fleet.raw_answers.pop(0)
        stream = self._detach()
        self.end_run('broken')
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write(answer.encode(self._headers.get_all(), content))
            if answer.stays_open:
                await stream.read_until_close()
        stream.close()
        return True

    def _detach(self) -> iostream.IOStream:
        """Take the stream over from the server."""
        self._auto_finish = False
        connection: typing.Any = self.request.connection
        stream: iostream.IOStream = connection.detach()
        return stream

    def detach_stream(self, ending: str) -> iostream.IOStream:
        """Write the head without a length or chunks; return the stream."""
        stream = self._detach()
        self.set_header('Connection', 'close')
        lines = [f'HTTP/1.1 {self.get_status()} OK']
        lines += [f'{one}: {value}' for one, value in self._headers.get_all()]
        if ending == 'spoiled':
            lines.append(_SPOILED_HEADER)
            # The server has broken its response, before anyone ends it.
            self.end_run('broken')
        stream.write('\r\n'.join([*lines, '\r\n']).encode('latin-1'))
        return stream


async def end_connection(stream: iostream.IOStream, ending: str) -> None:
    """Close or reset the connection of a response."""
    with contextlib.suppress(iostream.StreamClosedError):
        await stream.write(b'')
    if ending == 'reset':
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    stream.close()


class ReportHandler(_Handler):
    """``GET /v1/report``: state of an engine."""

    def get(self) -> None:
        """Return the report."""
        self.state_condition()
        self.finish(
            {
                'stage': 'hybrid',
                'models': [],
                'busy': False,
                'sequence': self.server.order_sequence,
                'layers': self.server.describe_layers(),
                'pace': 1.0,
                'born': self.server.started_at_ms,
                'stalled': [
                    {'id': name, 'address': address}
                    for name, address in self.server.stalled.items()
                ],
            }
        )


class OrderHandler(_Handler):
    """``POST /v1/order``: placement orders to an engine."""

    def post(self) -> None:
        """Apply an order to place layers."""
        order = json.loads(self.request.body)
        self.state_condition()
        if order['operation'] != 'place':
            self.set_status(400)
            self.finish()
            return
        if (
            order.get('expected', self.server.order_sequence)
            != self.server.order_sequence
        ):
            self.set_status(409)
            self.finish()
            return
        self.server.order_sequence += 1
        self.server.layers = (order['from'], order['to'])
        self.fleet.keep_published(self.server)
        self.set_status(202)
        self.finish()


class StreamHandler(_Handler):
    """Stream the response of a request over the path in its header."""

    async def get(self) -> None:
        """Answer as to POST."""
        await self.post()

    async def post(self) -> None:
        """Stream the events, or answer as a whole."""
        hops = self._parse_path()
        if hops is None:
            return
        self.fleet.runs[self.request.headers['Attempt-Id']] += 1
        self.begin_run()
        if not self.request.path.startswith(STREAMED_PREFIX):
            await self._answer_whole()
            return
        first = int(self.request.headers.get('Last-Event-Id', -1)) + 1
        self.add_response_headers()
        self.set_header('Content-Type', 'text/event-stream')
        if await self.crash_if_told(_format_event(first)):
            return
        if await self._write_odd(first):
            return
        await self._write_events(first, hops)

    async def _write_events(
        self, first: int, hops: list[tuple[Server, int, int, str]]
    ) -> None:
        """Write the events from one on; stall and drop if a hop is lost."""
        attempt_id = self.request.headers['Attempt-Id']
        for index in range(first, EVENTS):
            if index - first == self.fleet.break_after:
                self.end_run('broken')
                common.drop_connection(self)
                return
            await asyncio.sleep(STEP_S)
            for hop in hops:
                await hop[0].wait_until_resumed()
            lost = next((one for one in hops if not one[0].is_alive), None)
            if lost is not None:
                self._lost_address = lost[3]
                self.server.stalled[attempt_id] = lost[3]
                await asyncio.sleep(STALL_DURATION_S)
                self.server.stalled.pop(attempt_id, None)
                self.end_run('broken')
                common.drop_connection(self)
                return
            self.write(_format_event(index))
            await self.flush()
            if index == first:
                self.record('first_event')
        self.end_run('complete')
        self.finish()

    async def _answer_whole(self) -> None:
        """Answer a request of a route that is not streamed."""
        self.add_response_headers()
        if await self.crash_if_told():
            return
        await asyncio.sleep(STEP_S)
        await self.server.wait_until_resumed()
        self.end_run('complete')
        self.finish(f'{self.server.id} for {self.request.path}')

    async def _write_odd(self, first: int) -> bool:
        """Write a stream that a test has asked for, if it has."""
        events = [_format_event(index) for index in range(first, EVENTS)]
        if await self.answer_raw(''.join(events).encode()):
            return True
        ending = self.take_ending()
        if ending is not None:
            await self._write_unframed(first, ending)
        return ending is not None

    async def _write_unframed(self, first: int, ending: str) -> None:
        """Write a stream that ends with its connection."""
        stream = self.detach_stream(ending)
        for index in range(first, EVENTS):
            await asyncio.sleep(STEP_S)
            event = f'id: {index}\ndata: word{index}\n\n'.encode()
            is_broken = ending != 'whole' and index == _BROKEN_EVENT
            try:
                await stream.write(event[:6] if is_broken else event)
            except iostream.StreamClosedError:
                self.end_run('stopped')
                return
            if is_broken:
                break
        self.end_run('complete' if ending == 'whole' else 'broken')
        await end_connection(stream, ending)

    def _parse_path(self) -> list[tuple[Server, int, int, str]] | None:
        hops = []
        next_layer = 0
        for part in self.request.headers['Hop-Count'].split(','):
            address, _, layers = part.partition('=')
            first, _, end = layers.partition('-')
            server = self.fleet.find_by_address(address)
            held_layers = None if server is None else server.layers
            if server is None or held_layers is None:
                self.reject(421, address)
                return None
            if server.state == 'draining':
                self.reject(503, address)
                return None
            if not held_layers[0] <= int(first) < int(end) <= held_layers[1]:
                self.reject(421, address)
                return None
            if int(first) != next_layer:
                self.fleet.wrong_paths += 1
            next_layer = int(end)
            hops.append((server, int(first), int(end), address))
        if next_layer != LAYERS or hops[0][0] is not self.server:
            self.fleet.wrong_paths += 1
        return hops


def _format_event(index: int) -> str:
    return f'id: {index}\ndata: word{index}\n\n'


class PlainHandler(_Handler):
    """Run calls and actions of a plain server."""

    async def get(self) -> None:
        """Run a call."""
        await self._run()

    async def post(self) -> None:
        """Run a call or an action."""
        await self._run()

    async def _run(self) -> None:
        self.fleet.runs[self.request.headers['Attempt-Id']] += 1
        self.begin_run()
        if await self.crash_if_told():
            return
        await asyncio.sleep(STEP_S)
        await self.server.wait_until_resumed()
        if self.fleet.lose_answers > 0:
            self.fleet.lose_answers -= 1
            self.end_run('broken')
            common.drop_connection(self)
            return
        self.add_response_headers()
        workspace = self.request.headers.get('Tenant', '')
        text = f'{self.server.id} for {workspace}'
        if await self.answer_raw(text.encode()):
            return
        ending = self.take_ending()
        if ending is None:
            self.end_run('complete')
            self.finish(text)
            return
        stream = self.detach_stream(ending)
        self.end_run('complete')
        sent = text if ending == 'whole' else text[: len(text) // 2]
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write(sent.encode())
        await end_connection(stream, ending)


class ControlHandler(web.RequestHandler):
    """``/control``: faults that a test injects, and counts of runs."""

    def initialize(self, fleet: Fleet) -> None:
        """Set the fleet."""
        self.fleet = fleet

    def get(self) -> None:
        """Return runs by attempt, wrong paths and held layers."""
        listening = [
            server.address
            for server in self.fleet.servers.values()
            if server.is_alive
        ]
        if self.get_arguments('listening'):
            self.finish({'listening': listening})
            return
        self.finish(
            {
                'runs': dict(self.fleet.runs),
                'wrong_paths': self.fleet.wrong_paths,
                'servers': {
                    name: server.describe_layers()
                    for name, server in self.fleet.servers.items()
                    if server.is_alive and server.service == MODEL_SERVICE
                },
                'records': {
                    name: server.describe()
                    for name, server in self.fleet.servers.items()
                },
                'log': self.fleet.log if self.get_arguments('log') else [],
            }
        )

    async def post(self) -> None:
        """Apply the commands of a test."""
        commands = json.loads(self.request.body)
        if 'alias' in commands:
            self.fleet.aliases.update(commands['alias'])
            self.finish({})
            return
        if 'sources' in commands:
            self.fleet.hosts.update(commands['sources'])
            self.finish({})
            return
        if 'kill' in commands:
            await stop_server(self.fleet.servers[commands['kill']])
        if 'drain' in commands:
            server = self.fleet.servers[commands['drain']]
            server.state = 'draining'
            await self.fleet.publish_server(server)
        if 'add' in commands:
            name = commands['add']
            domain = name.split('-')[0]
            await start_server(self.fleet, Server(name, MODEL_SERVICE, domain))
        self.fleet.crash_on = commands.get('crash_on', self.fleet.crash_on)
        self.fleet.unframed = commands.get('unframed', self.fleet.unframed)
        self.fleet.crash_on_part = commands.get(
            'crash_on_part', self.fleet.crash_on_part
        )
        self.fleet.break_after = commands.get(
            'break_after', self.fleet.break_after
        )
        self._set_conditions(commands)
        await self._write_keys(commands)
        self.fleet.lose_answers = commands.get('lose_answers', 0)
        self.finish({})

    async def _write_keys(self, commands: dict[str, typing.Any]) -> None:
        """Write and delete keys of the store."""
        if 'put' in commands:
            await self.fleet.put(commands['put'], commands['document'])
        if 'put_raw' in commands:
            await self.fleet.put_raw(commands['put_raw'], commands['value'])
        for name in commands.get('claim', ()):
            await self.fleet.claim_address(name, commands.get('service', ''))
        if 'delete' in commands:
            await self.fleet.delete(commands['delete'])

    def _set_conditions(self, commands: dict[str, typing.Any]) -> None:
        """Set what servers state in their responses."""
        if 'limit' in commands:
            server = self.fleet.servers[commands['limit']]
            server.limit_per_s = commands['per_s']
        self.fleet.spoil_heads = commands.get(
            'spoil_heads', self.fleet.spoil_heads
        )
        if 'raw_answers' in commands:
            self.fleet.raw_answers = [
                raw_answers.RawAnswer(**one) for one in commands['raw_answers']
            ]
        if 'leave' in commands:
            self.fleet.servers[commands['leave']].is_leaving = True
        for name in commands.get('suspend', ()):
            server = self.fleet.servers[name]
            server.suspended_until = time.monotonic() + commands['for_s']
        if 'rest' in commands:
            server = self.fleet.servers[commands['rest']]
            until = time.monotonic() + commands['for_s']
            server.rests[commands['host']] = (until, commands['seconds'])


async def stop_server(server: Server) -> None:
    """Stop a server without notice; its store entry remains."""
    server.is_alive = False
    assert server.listener is not None
    server.listener.stop()
    await server.listener.close_all_connections()


def restart_server(fleet: Fleet, crashed: Server) -> None:
    """Start a server anew, under its id and at its address."""
    server = Server(crashed.id, crashed.service, crashed.domain)
    listen(fleet, server, int(crashed.address.rpartition(':')[2]))
    fleet.keep_published(server)


async def start_server(fleet: Fleet, server: Server) -> None:
    """Start a server on a free port and register it in the store."""
    listen(fleet, server)
    await fleet.publish_server(server)


def listen(fleet: Fleet, server: Server, port: int = 0) -> None:
    """Let a server listen, on a free port by default."""
    shared = {'fleet': fleet, 'server': server}
    is_plain = server.service == PLAIN_SERVICE
    handler = PlainHandler if is_plain else StreamHandler
    application = web.Application(
        [
            ('/v1/report', ReportHandler, shared),
            ('/v1/order', OrderHandler, shared),
            ('/.*', handler, shared),
        ],
        log_function=lambda handler: None,
    )
    sockets = netutil.bind_sockets(port, common.LOOPBACK)
    server.address = f'{common.LOOPBACK}:{sockets[0].getsockname()[1]}'
    server.started_at_ms = time.time_ns() // 1_000_000
    server.listener = httpserver.HTTPServer(application)
    server.listener.add_sockets(sockets)
    fleet.servers[server.id] = server


def build_configuration(
    version: int, keys: tuple[str, ...] = (KEY,)
) -> dict[str, typing.Any]:
    """Build the configuration that operators write to the store.

    Parameters
    ----------
    version : int
        Version of the configuration.
    keys : tuple of str, optional
        API keys of the only tenant.
    """
    kinds = {
        STREAMED_PREFIX: ('streaming', MODEL_SERVICE),
        '/hold/': ('non_idempotent', PLAIN_SERVICE),
        '/read/': ('idempotent', PLAIN_SERVICE),
    }
    return {
        'version': version,
        'routes': [
            {
                'name': prefix.strip('/'),
                'host': HOST,
                'prefix': prefix,
                'kind': kind,
                'timeout_ms': 20_000,
                'target_latency_ms': 500,
                'priority': 1,
                'service': service,
                'attempts': 2 if kind != 'non_idempotent' else 1,
                'anonymous': False,
                'resumable': kind == 'streaming',
            }
            for prefix, (kind, service) in kinds.items()
        ],
        'services': [
            {'name': MODEL_SERVICE, 'engine': _build_engine()},
            {'name': PLAIN_SERVICE},
        ],
        'limits': {'max_body_bytes': 1_000_000},
        'tenants': [{'name': 'north', 'api_keys': list(keys)}],
    }


def _build_engine() -> dict[str, typing.Any]:
    return {
        'slots': 16,
        'kv_token_bytes': 1_200_000,
        'step_ms': 1.0,
        'per_seq_ms': 0.01,
        'read_per_s': 100_000.0,
        'layers': LAYERS,
        'layer_mb': _LAYER_MB,
        'usual': {'prompt': 500, 'answer': 100},
        'models': [{'name': 'm', 'pace': 1.0, 'load_s': 1.0}],
        # Memory for two thirds of the model and some requests.
        'kinds': [
            {'name': KIND, 'size_mb': 14_000.0, 'pace': 1, 'read_factor': 1}
        ],
    }


async def run(store: str) -> None:
    """Start the fleet and serve until SIGTERM or SIGINT."""
    fleet = Fleet(store)
    for domain in ('a', 'b'):
        for index in range(3):
            await start_server(
                fleet, Server(f'{domain}-{index}', MODEL_SERVICE, domain)
            )
        await start_server(fleet, Server(f'{domain}-9', PLAIN_SERVICE, domain))
    await fleet.put('op/config', build_configuration(1))
    application = web.Application(
        [('/control', ControlHandler, {'fleet': fleet})],
        log_function=lambda handler: None,
    )
    await common.run(application, 0)


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--store', required=True, metavar='IP:PORT')
    asyncio.run(run(parser.parse_args().store))


if __name__ == '__main__':
    main()
