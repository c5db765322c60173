"""Manages the connections of clients to all listeners of a process."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import structlog
from tornado import ioloop

from thornspool import allocation
from thornspool.adapters import refusals
from thornspool.adapters import turns as turns_module
from thornspool.domain.clients import connections
from thornspool.domain.clients import limits as limits_module

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module

TICK_INTERVAL_MS = 500
"""Interval at which expired connections are closed and refusals logged."""

BUSY_SHARE = 0.3
CALMER_FACTOR = 2
"""Free pages are released when clients hold less than half of the most that
they have held, if that was over this share of their memory."""

COLLECT_INTERVAL_MS = 2_000
"""Shortest time between two collections of garbage while memory is short."""

MAX_CLOSED = 200
"""Connections closed within half a second after which garbage is collected.

Their buffers stay in reference cycles of tornado until then.
"""

IDLE_REASON = 'idle'
"""Reason that is usual, so that it is counted and not logged."""

logger = structlog.get_logger(__name__)


class ConnectionManager:
    """Admits, refuses and closes the connections of all listeners.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    capacity : limits_module.HostCapacity
        What clients may use of this host.
    limits : limits_module.ClientLimits, optional
        Limits on one client.

    Attributes
    ----------
    memory : connections.ClientMemory
        Account of the memory that clients hold.
    turns : turns_module.Turns
        Work that waits for its turn.
    pools : list of connections.ConnectionPool
        Connections of each listener.
    refusals : collections.Counter of tuple of str
        Requests that were refused and connections that were closed, by
        listener and reason.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        capacity: limits_module.HostCapacity,
        limits: limits_module.ClientLimits | None = None,
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self.limits = limits or limits_module.ClientLimits()
        self.memory = connections.ClientMemory(capacity.memory_bytes)
        self.turns = turns_module.Turns(clock)
        self.pools: list[connections.ConnectionPool] = []
        self.refusals: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._unlogged: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._most_held = 0
        self._collected_at = 0
        self._closed_count = 0
        self._timer = ioloop.PeriodicCallback(self.tick, TICK_INTERVAL_MS)

    def add_pool(self, name: str, share: float) -> connections.ConnectionPool:
        """Add a listener, which may have a share of all connections."""
        pool = connections.ConnectionPool(
            name, self._capacity.compute_connections(share)
        )
        self.pools.append(pool)
        self.memory.add_pool(pool)
        if not self._timer.is_running():
            self._timer.start()
        return pool

    def remove_pool(self, pool: connections.ConnectionPool) -> None:
        """Remove a listener that has stopped."""
        if pool in self.pools:
            self.pools.remove(pool)
        if not self.pools:
            self._timer.stop()

    def now(self) -> int:
        """Return the time in milliseconds of the clock."""
        return self._clock.now()

    def count(self, pool: connections.ConnectionPool, reason: str) -> None:
        """Count a refusal or a connection that was closed for a reason."""
        self.refusals[pool.name, reason] += 1
        if reason != IDLE_REASON:
            self._unlogged[pool.name, reason] += 1

    def make_room(self, pool: connections.ConnectionPool) -> bool:
        """Close a connection if a listener is full.

        Returns
        -------
        bool
            False if all connections have requests in progress.
        """
        if not pool.is_full():
            return True
        evicted = pool.choose_evicted(self.now())
        if evicted is None:
            self.count(pool, 'connections')
            return False
        self.count(pool, 'evicted')
        evicted.close()
        return True

    def open_stream(self, context: ClientContext) -> None:
        """Account for the buffers of a connection, and make room for them."""
        self.memory.open(context.connection)
        now = self.now()
        while self.memory.held_bytes > self.memory.budget_bytes:
            for pool in self.pools:
                evicted = pool.choose_evicted(now, frees_memory=True)
                if evicted is not None and evicted is not context.connection:
                    self.count(pool, 'evicted')
                    evicted.close()
                    break
            else:
                return

    def close_unread(self) -> None:
        """Close connections whose unsent responses exceed the memory."""
        now = self.now()
        while unread := self.memory.choose_unread(now):
            for pool in self.pools:
                if unread in pool:
                    self.count(pool, 'unread_response')
            unread.close()

    def record_closed(self) -> None:
        """Collect garbage if many connections have closed."""
        self._closed_count += 1
        if self._closed_count >= MAX_CLOSED:
            self._closed_count = 0
            allocation.collect_garbage()

    def _adjust_budget(self) -> None:
        """Adjust what clients may hold; release pages when they hold less."""
        memory = self.memory
        self._most_held = max(self._most_held, memory.held_bytes)
        is_calmer = memory.held_bytes * CALMER_FACTOR < self._most_held
        if is_calmer and self._most_held > memory.budget_bytes * BUSY_SHARE:
            self._most_held = memory.held_bytes
            allocation.release_free_pages()
        memory.budget_bytes = self._capacity.compute_budget(
            allocation.read_resident_bytes(), memory.held_bytes
        )
        is_short = memory.budget_bytes < self._capacity.memory_bytes
        if is_short and self.now() - self._collected_at >= COLLECT_INTERVAL_MS:
            self._collected_at = self.now()
            allocation.collect_garbage()

    def tick(self) -> None:
        """Close expired connections, and log what was refused."""
        now = self.now()
        for pool in self.pools:
            for connection in pool:
                reason = connections.find_expiry(connection, self.limits, now)
                if reason is None:
                    continue
                self.count(pool, reason)
                if connection.phase is connections.Phase.BODY:
                    connection.refuse(reason)
                else:
                    connection.close()
        self._adjust_budget()
        self._closed_count = 0
        for (name, reason), count in self._unlogged.items():
            logger.warning(
                'clients_refused', listener=name, reason=reason, count=count
            )
        self._unlogged.clear()


@attrs.define(eq=False)
class ClientContext:
    """A connection together with what serves it.

    Attributes
    ----------
    manager : ConnectionManager
        Manager of all connections.
    pool : connections.ConnectionPool
        Connections of the same listener.
    connection : connections.Connection
        State of the connection.
    format_refusal : callable
        Formats refusals for the clients of the listener.
    request_began_at : int
        Time of the first byte of the request, in milliseconds of the clock.
    """

    manager: ConnectionManager
    pool: connections.ConnectionPool
    connection: connections.Connection
    format_refusal: refusals.RefusalFormatter = refusals.format_refusal
    request_began_at: int = 0
    _turn: asyncio.Future[None] | None = None

    def take_turn(
        self, work: int, is_urgent: bool = True
    ) -> asyncio.Future[None]:
        """Return a future that is resolved when work may begin.

        It is resolved at once when the connection is closed, so that those
        that have left do not wait.
        """
        if self.connection.is_closed:
            # tornado reads on what has arrived before.
            self._turn = asyncio.get_running_loop().create_future()
            self._turn.set_result(None)
        else:
            self._turn = self.manager.turns.take(work, is_urgent)
        return self._turn

    def begin_request(self) -> None:
        """Record that the first byte of a request is available."""
        self.enter(connections.Phase.HEAD)
        self.request_began_at = self.connection.phase_began_at

    def enter(self, phase: connections.Phase) -> None:
        """Record the phase of the connection."""
        self.pool.move(self.connection, phase, self.manager.now())

    def discard(self) -> None:
        """Record that the request is answered before its end."""
        self.end_request()
        self.enter(connections.Phase.DISCARDING)
        surplus = self.pool.choose_surplus()
        if surplus is not None:
            surplus.close()

    def reserve(self, request_bytes: int) -> bool:
        """Reserve memory for a request, with what it has already."""
        return self.manager.memory.reserve(
            self.connection, request_bytes, self.manager.now()
        )

    def end_request(self) -> None:
        """Release what the last request held."""
        self.manager.memory.release(self.connection)
        self.connection.body_expires_at = None
        self.connection.group = ''

    def end(self) -> None:
        """Release what the connection held."""
        connection = self.connection
        if connection.has_stream:
            self.manager.record_closed()
        self.manager.memory.close(connection)
        self.pool.remove(connection)
        # These refer to the stream, which would stay in memory until the next
        # collection of reference cycles.
        connection.close = _do_nothing
        connection.refuse = _ignore_reason
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)


def _do_nothing() -> None:
    """Close a connection that is closed."""


def _ignore_reason(_reason: str) -> None:
    """Refuse a request that has ended."""
