"""In-memory network of gossip members, for the tests of this package."""

from __future__ import annotations

import random

import attrs

from thornspool.domain.membership import machine
from thornspool.domain.membership import messages
from thornspool.domain.membership import settings as settings_module

TICK_MS = 100
MAX_DELAY_MS = 300


def build_identity(
    host: str = 'entry-1', process: int = 1
) -> messages.Identity:
    """Build an identity with addresses derived from the host name."""
    return messages.Identity(
        f'{host}-{process}',
        host,
        'perth-a',
        'perth',
        f'tcp://{host}:7000',
        f'http://{host}:8000',
    )


@attrs.define
class Node:
    """One process; while suspended it keeps its messages unread."""

    machine: machine.GossipMember
    is_suspended: bool = False
    inbox: list[tuple[str, messages.Message]] = attrs.field(factory=list)
    reports: list[messages.ReportVersion] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        return self.machine.own.incarnation

    @property
    def address(self) -> str:
        return self.machine.own.identity.peer_address

    def list_live(self) -> tuple[str, ...]:
        return self.machine.view.list_live()


class Network:
    """Members, the messages in transit between them, and link faults."""

    def __init__(
        self, seed: int = 1, settings: settings_module.Settings | None = None
    ) -> None:
        self.now = 0
        self.loss = 0.0
        self.delay = 0
        self.nodes: dict[str, Node] = {}
        self.seeds: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self._settings = settings
        self._random = random.Random(seed)
        self._in_transit: list[tuple[int, str, str, messages.Message]] = []
        self._processes = 0

    def start(self, host: str) -> Node:
        """Start a process on a host that runs none."""
        self._processes += 1
        identity = build_identity(host, self._processes)
        member = machine.GossipMember(
            identity, self.now, self._random, self._settings
        )
        node = Node(member)
        self.seeds.add(node.address)
        self.nodes[node.address] = node
        for other in self.nodes.values():
            other.machine.set_seeds(sorted(self.seeds))
        return node

    def start_many(self, count: int) -> list[Node]:
        """Start one process a host and run until they know each other."""
        nodes = [self.start(f'host-{i}') for i in range(count)]
        self.run(5000)
        return nodes

    def kill(self, node: Node) -> None:
        """End a process without an announcement."""
        del self.nodes[node.address]

    def quit(self, node: Node) -> None:
        """End a process that announces its exit."""
        self.execute(node, node.machine.announce_exit())
        self.kill(node)

    def cut(self, one: list[Node], other: list[Node]) -> None:
        """Drop every message between two groups."""
        self.cuts.update(
            frozenset((a.address, b.address)) for a in one for b in other
        )

    def run(self, milliseconds: int) -> None:
        """Advance the time by many ticks."""
        for _ in range(milliseconds // TICK_MS):
            self.step()

    def step(self) -> None:
        """Advance the time by one tick."""
        self.now += TICK_MS
        due = [item for item in self._in_transit if item[0] <= self.now]
        self._in_transit = [
            item for item in self._in_transit if item[0] > self.now
        ]
        for _, sender, address, message in due:
            if address in self.nodes:
                self.nodes[address].inbox.append((sender, message))
        for node in list(self.nodes.values()):
            if not node.is_suspended:
                self._advance(node)

    def execute(self, node: Node, commands: list[messages.Command]) -> None:
        """Send messages and record reports."""
        for command in commands:
            if isinstance(command, messages.ReportVersion):
                node.reports.append(command)
            else:
                self._send(node, command)

    def _advance(self, node: Node) -> None:
        # A resumed process handles its timers before its sockets.
        self.execute(node, node.machine.tick(self.now))
        inbox, node.inbox = node.inbox, []
        for sender, message in inbox:
            commands = node.machine.receive(sender, message, self.now)
            self.execute(node, commands)

    def _send(self, node: Node, command: messages.Send) -> None:
        if frozenset((node.address, command.address)) in self.cuts:
            return
        if self._random.random() < self.loss:
            return
        due = self.now + self._random.randint(0, self.delay)
        self._in_transit.append(
            (due, node.name, command.address, command.message)
        )
