"""Measure the cost and speed of gossip at several sizes of the fleet.

The membership machines run in one process over a simulated network, with
every message encoded and decoded as between entries. Time is simulated;
processor time is measured. It excludes the cost of the sockets, which
``measure_sockets`` measures for each message.
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
CHANGED_NODES = 5
VERSIONS = 5
TIMEOUT_MS = 60_000
FIRST_IP_NUMBER = int(ipaddress.ip_address('10.1.0.1'))
SEED = 20260


@attrs.define
class Node:
    """A membership machine with its traffic counts.

    Attributes
    ----------
    machine : machine.GossipMember
        The state machine of the entry.
    address : str
        Peer address.
    is_up : bool
        False after the node was killed.
    bytes, sent : int
        Bytes and messages that it sent.
    applied_at : dict of int to int
        Time at which each configuration version was applied, in
        milliseconds.
    """

    machine: machine.GossipMember
    address: str
    is_up: bool = True
    bytes: int = 0
    sent: int = 0
    applied_at: dict[int, int] = attrs.field(factory=dict)


class Fleet:
    """Nodes and the queue of their events.

    Parameters
    ----------
    size : int
        Number of nodes to start.
    settings : settings_module.Settings, optional
        Settings of the machines.
    loss : float, optional
        Probability that a message is lost.
    """

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
        """Add a node that has three others as its seeds."""
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
        new_machine = machine.GossipMember(
            identity, self.now, self._random, self._settings
        )
        addresses = [
            node.address for node in self.nodes.values() if node.is_up
        ]
        new_machine.set_seeds(
            self._random.sample(addresses, min(3, len(addresses)))
        )
        node = Node(new_machine, address)
        self.nodes[address] = node
        offset = self._random.randrange(TICK_MS)
        self._schedule(offset, address, 'tick', None)
        return node

    def exchange_all_records(self) -> None:
        """Give every node the records of all others without pending gossip."""
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
        """Run the events of a span of simulated time."""
        end = self.now + milliseconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, address, event, data = heapq.heappop(self._heap)
            self._step(self.nodes[address], event, data)
        self.now = end

    def apply(self, node: Node, version: int) -> None:
        """Apply a configuration version at one node."""
        if version <= node.machine.own.version:
            return
        node.applied_at[version] = self.now
        self._execute(node, node.machine.set_version(version))

    def poll(self, node: Node, version: int) -> None:
        """Poll the members whose known version is older from a node."""
        commands = node.machine.request_versions(version, self.now)
        self._execute(node, commands)

    def _step(self, node: Node, event: str, data: bytes | int | None) -> None:
        if not node.is_up:
            return
        begin = time.process_time()
        if isinstance(data, bytes):
            frame = frames.decode(data)
            message = self._registry.decode(frame.kind, frame.body)
            commands = node.machine.receive(frame.sender, message, self.now)
            self._execute(node, commands)
        elif isinstance(data, int):
            self.apply(node, data)
        else:
            self._execute(node, node.machine.tick(self.now))
        self.cpu_s += time.process_time() - begin
        if event == 'tick':
            self._schedule(TICK_MS, node.address, 'tick', None)

    def _execute(
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
        self, delay: int, address: str, event: str, data: bytes | int | None
    ) -> None:
        item = (self.now + delay, next(self._numbers), address, event, data)
        heapq.heappush(self._heap, item)


def _list_running(fleet: Fleet) -> list[Node]:
    return [node for node in fleet.nodes.values() if node.is_up]


def _count_bytes(fleet: Fleet) -> int:
    return sum(node.bytes for node in fleet.nodes.values())


def _measure_start(fleet: Fleet) -> dict[str, float]:
    """Start all nodes at once and wait until each lists all others."""
    nodes = _list_running(fleet)
    while fleet.now < TIMEOUT_MS:
        fleet.run(TICK_MS)
        sizes = [len(node.machine.view.list_live()) for node in nodes]
        if min(sizes) == len(nodes):
            break
    return {
        'start_all_at_once_ms': fleet.now,
        'start_bytes_per_node': _count_bytes(fleet) / len(nodes),
    }


def _measure_idle(fleet: Fleet) -> dict[str, float]:
    nodes = _list_running(fleet)
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
    """Publish some versions, each at a different node."""
    reached: list[float] = []
    confirmed: list[float] = []
    bytes_before = _count_bytes(fleet)
    idle_ms = 0
    for version in range(first, first + VERSIONS):
        origin = _list_running(fleet)[version % 9]
        start = fleet.now
        fleet.apply(origin, version)
        while fleet.now < start + TIMEOUT_MS:
            fleet.run(TICK_MS // 2)
            if is_polled and (fleet.now - start) % POLL_MS == 0:
                fleet.poll(origin, version)
            view = origin.machine.view
            if all(
                record.version >= version
                for record in view
                if record.is_listed
            ):
                break
        confirmed.append(fleet.now - start)
        times = [node.applied_at[version] for node in _list_running(fleet)]
        reached.append(max(times) - start)
        fleet.run(5000)
        idle_ms += fleet.now - start
    sent_bytes = _count_bytes(fleet) - bytes_before
    name = 'polled_version' if is_polled else 'version'
    return {
        f'{name}_to_all_ms_max': max(reached),
        f'{name}_known_at_origin_ms_max': max(confirmed),
        f'{name}_bytes_per_node': sent_bytes
        / len(_list_running(fleet))
        / VERSIONS,
        f'{name}_window_ms': idle_ms / VERSIONS,
    }


def _measure_deaths(fleet: Fleet) -> dict[str, float]:
    """Kill some nodes and measure when each other node detects it."""
    delays: list[int] = []
    before = _count_bytes(fleet)
    start = fleet.now
    for _ in range(CHANGED_NODES):
        victim = _list_running(fleet)[-1]
        victim.is_up = False
        name = victim.machine.own.incarnation
        killed_at = fleet.now
        waiting = _list_running(fleet)
        while waiting and fleet.now < killed_at + TIMEOUT_MS:
            fleet.run(TICK_MS)
            detected = [node for node in waiting if not _is_live(node, name)]
            delays.extend(fleet.now - killed_at for _ in detected)
            waiting = [node for node in waiting if _is_live(node, name)]
    sent_bytes = _count_bytes(fleet) - before
    seconds = (fleet.now - start) / 1000
    percentiles = statistics.quantiles(delays, n=100)
    return {
        'detection_ms_p50': percentiles[49],
        'detection_ms_p99': percentiles[98],
        'deaths_bytes_per_s': sent_bytes / len(_list_running(fleet)) / seconds,
    }


def _is_live(node: Node, incarnation: str) -> bool:
    record = node.machine.view.find(incarnation)
    return record is not None and record.is_listed


def _measure_joins(fleet: Fleet) -> dict[str, float]:
    """Start some nodes in sequence and measure when the others list them."""
    delays: list[int] = []
    before = _count_bytes(fleet)
    start = fleet.now
    for _ in range(CHANGED_NODES):
        others = _list_running(fleet)
        joined = fleet.start()
        name = joined.machine.own.incarnation
        begin = fleet.now
        while others and fleet.now < begin + TIMEOUT_MS:
            fleet.run(TICK_MS)
            delays.extend(
                fleet.now - begin for node in others if _is_live(node, name)
            )
            others = [node for node in others if not _is_live(node, name)]
        fleet.run(3000)
    sent_bytes = _count_bytes(fleet) - before
    seconds = (fleet.now - start) / 1000
    return {
        'join_to_all_ms_max': max(delays),
        'joins_bytes_per_s': sent_bytes / len(_list_running(fleet)) / seconds,
        'joins_window_s': seconds,
    }


def _build_settled_fleet(
    size: int,
    settings: settings_module.Settings | None = None,
    loss: float = 0.0,
) -> Fleet:
    """Build a fleet whose members list each other, and let it settle."""
    fleet = Fleet(size, settings, loss)
    fleet.exchange_all_records()
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
        Bytes and messages are those sent by one node, with the envelope and
        without TCP and IP headers. Times are in milliseconds.
    """
    figures = _measure_start(Fleet(size, settings, loss))
    fleet = _build_settled_fleet(size, settings, loss)
    figures |= _measure_idle(fleet)
    counters = [each.machine.own.counter for each in _list_running(fleet)]
    figures['refutations'] = sum(counters)
    figures |= _measure_versions(fleet, 1, is_polled=False)
    figures |= _measure_versions(fleet, 1 + VERSIONS, is_polled=True)
    figures |= _measure_deaths(fleet)
    figures |= _measure_joins(fleet)
    return {name: round(value, 3) for name, value in figures.items()}


async def _exchange(count: int) -> dict[str, float]:
    """Send messages of the typical size one at a time over loopback."""
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

    async def record_arrival(_: str, message: messages.Ack) -> None:
        arrived.set()

    receiver.handle(messages.Ack, record_arrival)
    address = await receiver.start()
    await sender.start()
    ack = messages.Ack(1, messages.Gossip(0, 1, messages.Applied(1, 1, b'')))
    begin = time.process_time()
    for _ in range(count):
        arrived.clear()
        sender.send(address, ack)
        await asyncio.wait_for(arrived.wait(), TIMEOUT_MS / 1000)
    cpu_s = time.process_time() - begin
    await sender.stop()
    await receiver.stop()
    return {'cpu_us_per_message_both_ends': round(cpu_s / count * 1e6, 1)}


def measure_sockets(count: int = 5000) -> dict[str, float]:
    """Measure the processor time of a message over real sockets.

    Returns
    -------
    dict of str to float
        Microseconds of the sender and the receiver together.
    """
    return asyncio.run(_exchange(count))


def measure_idle(size: int) -> dict[str, float]:
    """Measure an idle fleet of one size after its start has settled.

    Returns
    -------
    dict of str to float
        A subset of :func:`measure_size` that takes a fraction of its time.
    """
    figures = _measure_start(Fleet(size))
    figures |= _measure_idle(_build_settled_fleet(size))
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
