"""Cost and speed of gossip at several sizes of the fleet.

The pure machines run in one process over a network made of a heap, with
every message encoded and decoded as between entries. Time is simulated;
processor time is measured. The cost of the sockets is not part of it;
``measure_sockets`` gives it for each message.
"""

from __future__ import annotations

import asyncio
import heapq
import ipaddress
import itertools
import json
import random
import statistics
import time
import typing
import uuid

import attrs

from thornspool import clock
from thornspool.adapters.peers import frames
from thornspool.adapters.peers import node
from thornspool.adapters.peers import registry
from thornspool.domain.membership import machine
from thornspool.domain.membership import messages
from thornspool.domain.membership import records
from thornspool.domain.membership import settings as settings_module

SIZES = (9, 50, 150, 350)
TICK_MS = 100
DELAY_MS = (1, 3)
PULL_MS = 20
POLL_MS = 500
SETTLE_MS = 5_000
IDLE_MS = 20_000
VICTIMS = 5
VERSIONS = 5
LIMIT_MS = 60_000
FIRST_IP_NUMBER = int(ipaddress.ip_address('10.1.0.1'))
SEED = 20260


@attrs.define
class Node:
    """A machine with its counts."""

    machine: machine.GossipMember
    address: str
    is_up: bool = True
    bytes: int = 0
    sent: int = 0
    applied_at: dict[int, int] = attrs.field(factory=dict)


class Fleet:
    """Machines and the messages on their way."""

    def __init__(
        self,
        size: int,
        settings: settings_module.Settings | None = None,
        loss: float = 0.0,
    ) -> None:
        self.now = 0
        self.cpu_s = 0.0
        self.nodes: dict[str, Node] = {}
        self.observe: typing.Callable[[], None] | None = None
        self._settings = settings
        self._loss = loss
        self._random = random.Random(SEED + size)
        self._numbers = itertools.count()
        self._heap: list[tuple[int, int, str, str, bytes | int | None]] = []
        self._registry = registry.Registry()
        for message_type in messages.MESSAGE_TYPES:
            self._registry.register(message_type)
        for _ in range(size):
            self.start()

    def start(self) -> Node:
        """Add a node that knows three others."""
        number = next(self._numbers)
        ip_number = ipaddress.ip_address(FIRST_IP_NUMBER + number)
        address = f'tcp://{ip_number}:7400'
        host = f'entry-{number:03}'
        identifier = uuid.UUID(int=self._random.getrandbits(128))
        identity = messages.Identity(
            f'{host}-{identifier}',
            host,
            f'perth-{number % 7}',
            'perth',
            address,
            f'http://{ip_number}:8400',
        )
        made = machine.GossipMember(
            identity, self.now, self._random, self._settings
        )
        known = [n.address for n in self.nodes.values() if n.is_up]
        made.set_seeds(self._random.sample(known, min(3, len(known))))
        node = Node(made, address)
        self.nodes[address] = node
        offset = self._random.randrange(TICK_MS)
        self._schedule(offset, address, 'tick', None)
        return node

    def introduce(self) -> None:
        """Have all nodes know all others, with nothing left to spread."""
        for member in self.nodes.values():
            updates = tuple(
                records.describe(other.machine.own, with_identity=True)
                for other in self.nodes.values()
                if other is not member
            )
            applied = member.machine.view.summarize_versions()
            gossip = messages.Gossip(0, 0, applied)
            reply = messages.SyncReply((), updates, gossip)
            member.machine.receive('', reply, self.now)

    def run(self, milliseconds: int) -> None:
        """Let simulated time pass."""
        end = self.now + milliseconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, address, what, data = heapq.heappop(self._heap)
            self._step(self.nodes[address], what, data)
        self.now = end

    def apply(self, node: Node, version: int) -> None:
        """Put a configuration version in force at one node."""
        if version <= node.machine.own.version:
            return
        node.applied_at[version] = self.now
        self._carry_out(node, node.machine.set_version(version))

    def poll(self, node: Node, version: int) -> None:
        """Have a node ask members that seem to be behind."""
        commands = node.machine.request_versions(version, self.now)
        self._carry_out(node, commands)

    def _step(self, node: Node, what: str, data: bytes | int | None) -> None:
        if not node.is_up:
            return
        begin = time.process_time()
        if isinstance(data, bytes):
            frame = frames.decode(data)
            message = self._registry.decode(frame.kind, frame.body)
            commands = node.machine.receive(frame.sender, message, self.now)
            self._carry_out(node, commands)
        elif isinstance(data, int):
            self.apply(node, data)
        else:
            self._carry_out(node, node.machine.tick(self.now))
        self.cpu_s += time.process_time() - begin
        if what == 'tick':
            self._schedule(TICK_MS, node.address, 'tick', None)

    def _carry_out(
        self, node: Node, commands: typing.Iterable[messages.Command]
    ) -> None:
        for command in commands:
            if isinstance(command, messages.Send):
                self._send(node, command)
            elif isinstance(command, messages.ReportVersion):
                self._schedule(
                    PULL_MS, node.address, 'pulled', command.version
                )

    def _send(self, node: Node, command: messages.Send) -> None:
        kind, body = self._registry.encode(command.message)
        sender = node.machine.own.incarnation
        frame = frames.Frame(sender, node.address, kind, 0, b'', body)
        data = frames.encode(frame)
        node.bytes += len(data)
        node.sent += 1
        if command.address not in self.nodes:
            return
        if self._random.random() >= self._loss:
            delay = self._random.randint(*DELAY_MS)
            self._schedule(delay, command.address, 'message', data)

    def _schedule(
        self, delay: int, address: str, what: str, data: bytes | int | None
    ) -> None:
        item = (self.now + delay, next(self._numbers), address, what, data)
        heapq.heappush(self._heap, item)


def _list_up(fleet: Fleet) -> list[Node]:
    return [node for node in fleet.nodes.values() if node.is_up]


def _count_bytes(fleet: Fleet) -> int:
    return sum(node.bytes for node in fleet.nodes.values())


def _measure_start(fleet: Fleet) -> dict[str, float]:
    """Start all nodes at once and wait until all know all."""
    nodes = _list_up(fleet)
    while fleet.now < LIMIT_MS:
        fleet.run(TICK_MS)
        sizes = [len(n.machine.view.list_live()) for n in nodes]
        if min(sizes) == len(nodes):
            break
    return {
        'start_all_at_once_ms': fleet.now,
        'start_bytes_per_node': _count_bytes(fleet) / len(nodes),
    }


def _measure_idle(fleet: Fleet) -> dict[str, float]:
    nodes = _list_up(fleet)
    bytes_before = sum(node.bytes for node in nodes)
    sent_before = sum(node.sent for node in nodes)
    cpu_before = fleet.cpu_s
    fleet.run(IDLE_MS)
    node_seconds = len(nodes) * IDLE_MS / 1000
    return {
        'sent_bytes_per_s': (
            (sum(node.bytes for node in nodes) - bytes_before) / node_seconds
        ),
        'sent_messages_per_s': (
            (sum(node.sent for node in nodes) - sent_before) / node_seconds
        ),
        'cpu_percent': (fleet.cpu_s - cpu_before) / node_seconds * 100,
    }


def _measure_versions(
    fleet: Fleet, first: int, is_polled: bool
) -> dict[str, float]:
    """Publish some versions, each at another node."""
    reached: list[float] = []
    known: list[float] = []
    bytes_before = _count_bytes(fleet)
    idle_ms = 0
    for version in range(first, first + VERSIONS):
        origin = _list_up(fleet)[version % 9]
        start = fleet.now
        fleet.apply(origin, version)
        while fleet.now < start + LIMIT_MS:
            fleet.run(TICK_MS // 2)
            if is_polled and (fleet.now - start) % POLL_MS == 0:
                fleet.poll(origin, version)
            view = origin.machine.view
            if all(r.version >= version for r in view if r.is_listed):
                break
        known.append(fleet.now - start)
        times = [node.applied_at[version] for node in _list_up(fleet)]
        reached.append(max(times) - start)
        fleet.run(5000)
        idle_ms += fleet.now - start
    spent = _count_bytes(fleet) - bytes_before
    name = 'polled_version' if is_polled else 'version'
    return {
        f'{name}_to_all_ms_max': max(reached),
        f'{name}_known_at_origin_ms_max': max(known),
        f'{name}_bytes_per_node': spent / len(_list_up(fleet)) / VERSIONS,
        f'{name}_window_ms': idle_ms / VERSIONS,
    }


def _measure_deaths(fleet: Fleet) -> dict[str, float]:
    """Kill some nodes and note when each other one lists them as dead."""
    delays: list[int] = []
    before = _count_bytes(fleet)
    start = fleet.now
    for _ in range(VICTIMS):
        victim = _list_up(fleet)[-1]
        victim.is_up = False
        name = victim.machine.own.incarnation
        died = fleet.now
        waiting = _list_up(fleet)
        while waiting and fleet.now < died + LIMIT_MS:
            fleet.run(TICK_MS)
            gone = [n for n in waiting if not _is_live(n, name)]
            delays.extend(fleet.now - died for _ in gone)
            waiting = [n for n in waiting if _is_live(n, name)]
    spent = _count_bytes(fleet) - before
    seconds = (fleet.now - start) / 1000
    cuts = statistics.quantiles(delays, n=100)
    return {
        'detection_ms_p50': cuts[49],
        'detection_ms_p99': cuts[98],
        'deaths_bytes_per_s': spent / len(_list_up(fleet)) / seconds,
    }


def _is_live(node: Node, incarnation: str) -> bool:
    record = node.machine.view.find(incarnation)
    return record is not None and record.is_listed


def _measure_joins(fleet: Fleet) -> dict[str, float]:
    """Start some nodes one after another."""
    delays: list[int] = []
    before = _count_bytes(fleet)
    start = fleet.now
    for _ in range(VICTIMS):
        others = _list_up(fleet)
        joined = fleet.start()
        name = joined.machine.own.incarnation
        begin = fleet.now
        while others and fleet.now < begin + LIMIT_MS:
            fleet.run(TICK_MS)
            delays.extend(
                fleet.now - begin for n in others if _is_live(n, name)
            )
            others = [n for n in others if not _is_live(n, name)]
        fleet.run(3000)
    spent = _count_bytes(fleet) - before
    seconds = (fleet.now - start) / 1000
    return {
        'join_to_all_ms_max': max(delays),
        'joins_bytes_per_s': spent / len(_list_up(fleet)) / seconds,
        'joins_window_s': seconds,
    }


def _introduce(
    size: int,
    settings: settings_module.Settings | None = None,
    loss: float = 0.0,
) -> Fleet:
    """Make a fleet whose members know each other, at rest."""
    fleet = Fleet(size, settings, loss)
    fleet.introduce()
    fleet.run(SETTLE_MS)
    return fleet


def measure_size(
    size: int,
    settings: settings_module.Settings | None = None,
    loss: float = 0.0,
) -> dict[str, float]:
    """Measure one size of the fleet.

    Returns
    -------
    dict of str to float
        Bytes and messages are those sent by one node; the envelope is part
        of them, TCP and IP are not. Times are in milliseconds.
    """
    figures = _measure_start(Fleet(size, settings, loss))
    fleet = _introduce(size, settings, loss)
    figures |= _measure_idle(fleet)
    counters = [n.machine.own.counter for n in _list_up(fleet)]
    figures['refutations'] = sum(counters)
    figures |= _measure_versions(fleet, 1, is_polled=False)
    figures |= _measure_versions(fleet, 1 + VERSIONS, is_polled=True)
    figures |= _measure_deaths(fleet)
    figures |= _measure_joins(fleet)
    return {name: round(value, 3) for name, value in figures.items()}


async def _exchange(count: int) -> dict[str, float]:
    """Send messages of the usual size one at a time over loopback."""
    sender, receiver = [
        node.PeerNode(
            clock.Clock(),
            str(uuid.UUID(int=number)),
            'tcp://127.0.0.1:0',
            registry=registry.Registry(),
        )
        for number in range(2)
    ]
    arrived = asyncio.Event()

    async def note(_: str, message: messages.Ack) -> None:
        arrived.set()

    receiver.handle(messages.Ack, note)
    address = await receiver.start()
    await sender.start()
    ack = messages.Ack(1, messages.Gossip(0, 1, messages.Applied(1, 1, b'')))
    begin = time.process_time()
    for _ in range(count):
        arrived.clear()
        sender.send(address, ack)
        await asyncio.wait_for(arrived.wait(), LIMIT_MS / 1000)
    spent = time.process_time() - begin
    await sender.stop()
    await receiver.stop()
    return {'cpu_us_per_message_both_ends': round(spent / count * 1e6, 1)}


def measure_sockets(count: int = 5000) -> dict[str, float]:
    """Measure the processor time of a message over real sockets.

    Returns
    -------
    dict of str to float
        Microseconds, sending and receiving end together.
    """
    return asyncio.run(_exchange(count))


def measure_rest(size: int) -> dict[str, float]:
    """Measure a fleet of one size at rest, after its start has settled.

    Returns
    -------
    dict of str to float
        A part of :func:`measure_size`, in a fraction of its time.
    """
    figures = _measure_start(Fleet(size))
    figures |= _measure_idle(_introduce(size))
    return {name: round(value, 3) for name, value in figures.items()}


def measure_membership() -> dict[str, dict[str, float]]:
    """Measure every size of the fleet.

    Returns
    -------
    dict of str to dict of str to float
        Figures of :func:`measure_size` by number of members, and of
        :func:`measure_sockets` under ``sockets``.
    """
    figures = {str(size): measure_size(size) for size in SIZES}
    figures['sockets'] = measure_sockets()
    return figures


def main() -> None:
    """Print the figures as JSON."""
    print(json.dumps(measure_membership(), indent=2))


if __name__ == '__main__':
    main()
