"""Stand-in of a small fleet of the platform's servers, in one process.

``python -m standins.kv_fleet --store ip:port`` starts two replicas of a
small model, each of three engines in a failure domain of its own, and two
plain servers, lists them in the store and writes a configuration. It prints
one line of JSON when all listen. ``POST /control`` takes ``{"kill": ID}``
(gone without a word), ``{"drain": ID}``, ``{"add": ID}`` (an empty engine) or
``{"lose_answers": N}``;
``GET /control`` tells what ran.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import collections
import json
import time
import typing
import urllib.request

import attrs
from tornado import httpserver
from tornado import netutil
from tornado import web

from standins import common

LAYERS = 12
KIND = 'card'
MODEL_SERVICE = 'drafting'
PLAIN_SERVICE = 'ledger'
HOST = 'desk.example'
KEY = 'key-north'
STEP_S = 0.02
STALL_S = 2.5
EVENTS = 40
_LAYER_MB = 1000.0
_BEAT_MS = 1200


@attrs.define(eq=False)
class Server:
    """One engine or plain server."""

    id: str
    service: str
    domain: str
    address: str = ''
    state: str = 'ready'
    layers: tuple[int, int] | None = None
    orders: int = 0
    alive: bool = True
    born: int = 0
    listener: httpserver.HTTPServer | None = None
    stalled: dict[str, str] = attrs.field(factory=dict)

    def describe(self) -> dict[str, typing.Any]:
        """Return its entry in the list."""
        entry: dict[str, typing.Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.domain,
            'version': 'v1',
            'slots': 16,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.born,
        }
        if self.service == MODEL_SERVICE:
            entry['kind'] = KIND
            entry['layers'] = self.describe_layers()
        return entry

    def describe_layers(self) -> dict[str, int] | None:
        """Return the layers that it holds."""
        if self.layers is None:
            return None
        return {'from': self.layers[0], 'to': self.layers[1], 'version': 1}


class Fleet:
    """All servers, and what they ran."""

    def __init__(self, store: str) -> None:
        self._store = store
        self.servers: dict[str, Server] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.wrong_paths = 0
        self.lose_answers = 0

    def find(self, address: str) -> Server | None:
        """Find a server by its address."""
        for server in self.servers.values():
            if server.address == address:
                return server
        return None

    def put(self, key: str, document: object) -> None:
        """Write a key as its own writer does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._call({'puts': [{'key': key, 'value': value, 'lease': 0}]})

    def delete(self, key: str) -> None:
        """Delete a key."""
        self._call({'deletes': [key]})

    def list_server(self, server: Server) -> None:
        """Write a server's entry."""
        self.put(f'servers/{server.id}', server.describe())

    def _call(self, body: dict[str, typing.Any]) -> None:
        request = urllib.request.Request(
            f'http://{self._store}/v1/kv-txn',
            json.dumps(body).encode(),
            {'Standin-Writer': '1'},
        )
        opened = urllib.request.urlopen(request, timeout=5)  # noqa: S310
        with opened as answer:
            answer.read()


class _Handler(web.RequestHandler):
    def initialize(self, fleet: Fleet, server: Server) -> None:
        self.fleet = fleet
        self.server = server

    def refuse(self, status: int, fault: str = '') -> None:
        """Answer that the request did not run."""
        self.set_status(status)
        self.set_header('Not-Executed', '1')
        if fault:
            self.set_header('At-Server', fault)
        self.finish()

    def sign(self) -> None:
        """Add what a server adds to its answers."""
        self.set_header('Response-Seal', f'seal-{self.server.id}')
        self.set_header('Attempt-Id', self.request.headers['Attempt-Id'])


class ReportHandler(_Handler):
    """State of an engine."""

    def get(self) -> None:
        """Answer."""
        self.finish(
            {
                'stage': 'hybrid',
                'models': [],
                'busy': False,
                'sequence': self.server.orders,
                'layers': self.server.describe_layers(),
                'pace': 1.0,
                'stalled': [
                    {'id': name, 'address': address}
                    for name, address in self.server.stalled.items()
                ],
            }
        )


class OrderHandler(_Handler):
    """Orders to an engine."""

    def post(self) -> None:
        """Answer."""
        order = json.loads(self.request.body)
        if order['operation'] != 'place':
            self.set_status(400)
            self.finish()
            return
        if order.get('expected', self.server.orders) != self.server.orders:
            self.set_status(409)
            self.finish()
            return
        self.server.orders += 1
        self.server.layers = (order['from'], order['to'])
        self.fleet.list_server(self.server)
        self.set_status(202)
        self.finish()


class StreamHandler(_Handler):
    """Runs a request over the path that it names."""

    async def post(self) -> None:
        """Answer."""
        hops = self._read_path()
        if hops is None:
            return
        name = self.request.headers['Attempt-Id']
        self.fleet.runs[name] += 1
        first = int(self.request.headers.get('Last-Event-Id', -1)) + 1
        self.sign()
        self.set_header('Content-Type', 'text/event-stream')
        for number in range(first, EVENTS):
            await asyncio.sleep(STEP_S)
            dead = next((one for one, _, _ in hops if not one.alive), None)
            if dead is not None:
                self.server.stalled[name] = dead.address
                await asyncio.sleep(STALL_S)
                self.server.stalled.pop(name, None)
                common.drop_connection(self)
                return
            self.write(f'id: {number}\ndata: word{number}\n\n')
            await self.flush()
        self.finish()

    def _read_path(self) -> list[tuple[Server, int, int]] | None:
        hops = []
        at = 0
        for part in self.request.headers['Hop-Count'].split(','):
            address, _, layers = part.partition('=')
            first, _, end = layers.partition('-')
            server = self.fleet.find(address)
            held = None if server is None else server.layers
            if server is None or held is None:
                self.refuse(421, address)
                return None
            if server.state == 'draining':
                self.refuse(503, address)
                return None
            if not held[0] <= int(first) < int(end) <= held[1]:
                self.refuse(421, address)
                return None
            if int(first) != at:
                self.fleet.wrong_paths += 1
            at = int(end)
            hops.append((server, int(first), int(end)))
        if at != LAYERS or hops[0][0] is not self.server:
            self.fleet.wrong_paths += 1
        return hops


class PlainHandler(_Handler):
    """Runs calls and actions."""

    async def get(self) -> None:
        """Answer."""
        await self._run()

    async def post(self) -> None:
        """Answer."""
        await self._run()

    async def _run(self) -> None:
        self.fleet.runs[self.request.headers['Attempt-Id']] += 1
        await asyncio.sleep(STEP_S)
        if self.fleet.lose_answers > 0:
            self.fleet.lose_answers -= 1
            common.drop_connection(self)
            return
        self.sign()
        workspace = self.request.headers.get('Tenant', '')
        self.finish(f'{self.server.id} for {workspace}')


class ControlHandler(web.RequestHandler):
    """Orders of a test."""

    def initialize(self, fleet: Fleet) -> None:
        """Take what the handlers share."""
        self.fleet = fleet

    def get(self) -> None:
        """Answer."""
        self.finish(
            {
                'runs': dict(self.fleet.runs),
                'wrong_paths': self.fleet.wrong_paths,
                'servers': {
                    name: server.describe_layers()
                    for name, server in self.fleet.servers.items()
                    if server.alive and server.service == MODEL_SERVICE
                },
            }
        )

    async def post(self) -> None:
        """Answer."""
        orders = json.loads(self.request.body)
        if 'kill' in orders:
            server = self.fleet.servers[orders['kill']]
            server.alive = False
            assert server.listener is not None
            server.listener.stop()
            await server.listener.close_all_connections()
        if 'drain' in orders:
            server = self.fleet.servers[orders['drain']]
            server.state = 'draining'
            self.fleet.list_server(server)
        if 'add' in orders:
            name = orders['add']
            domain = name.split('-')[0]
            start_server(self.fleet, Server(name, MODEL_SERVICE, domain))
        if 'put' in orders:
            self.fleet.put(orders['put'], orders['document'])
        if 'delete' in orders:
            self.fleet.delete(orders['delete'])
        self.fleet.lose_answers = orders.get('lose_answers', 0)
        self.finish({})


def start_server(fleet: Fleet, server: Server) -> None:
    """Have a server listen, and list it."""
    shared = {'fleet': fleet, 'server': server}
    plain = server.service == PLAIN_SERVICE
    handler = PlainHandler if plain else StreamHandler
    application = web.Application(
        [
            ('/v1/report', ReportHandler, shared),
            ('/v1/order', OrderHandler, shared),
            ('/.*', handler, shared),
        ],
        log_function=lambda handler: None,
    )
    sockets = netutil.bind_sockets(0, common.LOOPBACK)
    server.address = f'{common.LOOPBACK}:{sockets[0].getsockname()[1]}'
    server.born = time.time_ns() // 1_000_000
    server.listener = httpserver.HTTPServer(application)
    server.listener.add_sockets(sockets)
    fleet.servers[server.id] = server
    fleet.list_server(server)


def build_configuration(
    version: int, keys: tuple[str, ...] = (KEY,)
) -> dict[str, typing.Any]:
    """Build the operators' configuration."""
    kinds = {
        '/brief/': ('streaming', MODEL_SERVICE),
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
        # Room for two thirds of the model beside some requests.
        'kinds': [
            {'name': KIND, 'size_mb': 14_000.0, 'pace': 1, 'read_factor': 1}
        ],
    }


async def run(store: str) -> None:
    """Serve until a signal ends the process."""
    fleet = Fleet(store)
    for domain in ('a', 'b'):
        for number in range(3):
            start_server(
                fleet, Server(f'{domain}-{number}', MODEL_SERVICE, domain)
            )
        start_server(fleet, Server(f'{domain}-9', PLAIN_SERVICE, domain))
    fleet.put('op/config', build_configuration(1))
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
