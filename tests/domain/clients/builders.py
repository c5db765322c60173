"""Builders of connections of clients."""

from __future__ import annotations

import attrs

from thornspool.domain.clients import connections


@attrs.define
class Clients:
    """Connections whose time a test controls.

    Attributes
    ----------
    memory : connections.ClientMemory
        Account of the memory.
    pool : connections.ConnectionPool
        The only listener.
    closed, refused : list of connections.Connection
        Connections that were closed, and whose request was refused.
    now : int
        Current time in milliseconds.
    """

    memory: connections.ClientMemory
    pool: connections.ConnectionPool
    closed: list[connections.Connection] = attrs.field(factory=list)
    refused: list[connections.Connection] = attrs.field(factory=list)
    now: int = 1_000

    def connect(
        self,
        phase: connections.Phase = connections.Phase.OPEN,
        group: str = '',
    ) -> connections.Connection:
        """Open a connection and let it reach a phase."""
        connection = connections.Connection(
            lambda: self.closed.append(connection), self.now, group=group
        )
        connection.refuse = lambda reason: self.refused.append(connection)
        self.pool.add(connection)
        if phase is not connections.Phase.OPEN:
            self.memory.open(connection)
            self.pool.move(connection, phase, self.now)
        return connection

    def reserve(
        self, connection: connections.Connection, request_bytes: int
    ) -> bool:
        """Reserve memory for a request."""
        return self.memory.reserve(connection, request_bytes, self.now)


def build_clients(
    budget_bytes: int = 40_000_000, max_connections: int = 4
) -> Clients:
    """Build an empty listener and its account."""
    memory = connections.ClientMemory(budget_bytes)
    pool = connections.ConnectionPool('callers', max_connections)
    memory.add_pool(pool)
    return Clients(memory, pool)
