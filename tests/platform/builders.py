"""Stubs of servers whose responses are no sound HTTP."""

from __future__ import annotations

import asyncio
import random

import attrs

from tests.application.routing import builders as routing_builders
from thornspool.application.routing import relays
from thornspool.domain.entries import view as view_module
from thornspool.platform import engines
from thornspool.platform import peer_gateway

MAX_SENT_BYTES = 64_000_000
"""Bytes after which the stub gives up on a client that reads on and on."""


class EndlessServer:
    """Sends a beginning, and then a filler until its client closes.

    Attributes
    ----------
    address : str
        ``ip:port`` once it has started.
    closed_count : int
        Connections that the client has closed.
    sent_bytes : int
        Bytes that it could send.
    """

    def __init__(self, beginning, filler, pause_s=0.0):
        self._beginning = beginning
        self._filler = filler
        self._pause_s = pause_s
        self.closed_count = 0
        self.sent_bytes = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self._beginning)
        try:
            while self.sent_bytes < MAX_SENT_BYTES:
                writer.write(self._filler)
                await writer.drain()
                await asyncio.sleep(self._pause_s)
                self.sent_bytes += len(self._filler)
        except ConnectionError:
            self.closed_count += 1
        except asyncio.CancelledError:
            # The test has ended; the loop would print a traceback.
            pass
        finally:
            writer.close()


class RawServer:
    """Sends given bytes to each client, and closes the connection.

    Attributes
    ----------
    response : bytes
        What it sends.
    address : str
        ``ip:port`` once it has started.
    request_count : int
        Requests that it has received.
    """

    def __init__(self, response=b''):
        self.response = response
        self.request_count = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        self.request_count += 1
        writer.write(self.response)
        await writer.drain()
        writer.close()


def send_first_run_to(stub, world, session):
    """Send the first run of a world's requests to a stub, others to fakes.

    Returns the list to which the first run is appended.
    """
    first_runs = []
    client = engines.ServerClient(session)
    send_to_fake = world.servers.send

    def send(run, listener):
        if first_runs:
            return send_to_fake(run, listener)
        first_runs.append(run)
        server = attrs.evolve(run.server, address=stub.address)
        return client.send(attrs.evolve(run, server=server), listener)

    world.servers.send = send
    return first_runs


def relay_all_to(stub, world, session):
    """Pass all requests of a world on to a stub in the place of a peer."""
    links = world.evidence.links
    links.lost_since = 0
    view = view_module.View(routing_builders.build_record())
    peer = attrs.evolve(
        routing_builders.build_record('a-01'), peers=stub.address
    )
    view.apply_record(peer, 0)
    world.streams.take_over = world.calls.take_over = relays.RelayService(
        world.clock,
        view,
        links,
        peer_gateway.PeerGateway(session),
        world.budget,
        random.Random(1),
    ).take_over


HEADS = {
    'control character': b'X: a\x01b',
    'only a control character': b'Weight-Versions: \x01',
    'delete': b'X: a\x7fb',
    'control character at the end': b'X: a\x1f',
    'space in a name': b'X Y: 1',
    'no name': b': 1',
    'control character in a name': b'X\x02: 1',
    'byte above 0x7F in a name': b'X\xe9: 1',
    'zero': b'X: a\x00b',
    'carriage return': b'X: a\rb',
    'no colon': b'X a',
    'space before the colon': b'X : 1',
}
"""Header lines that no client may get, by what is wrong."""

SOUND_HEADS = {
    'bytes above 0x7F': (b'X: \xe9\xff\x85', ('X', '\xe9\xff\x85')),
    'no value': (b'X:', ('X', '')),
    'tabs': (b'X:\ta\tb\t', ('X', 'a\tb')),
    'folded': (b'X: a\r\n b: c', ('X', 'a b: c')),
    'odd name': (b"!#$%&'*+-.^_`|~1: 1", ("!#$%&'*+-.^_`|~1", '1')),
}
"""Header lines that conform to RFC 9110, and how they are passed on."""


def build_server_entry(service, address):
    """Build the entry of a server that is ready and holds all layers."""
    return {
        'service': service,
        'address': address,
        'zone': 'a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'sequence': 1,
        'born': 1,
        'kind': 'card',
        'layers': {'from': 0, 'to': 12, 'version': 1},
    }
