"""Connections of clients, what each holds, and which one is closed first."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from thornspool.domain.clients import limits as limits_module

CONNECTION_BYTES = 32_768
"""Memory of an open connection with its read buffer."""

FIELD_BYTES = 600
"""Memory of one header field, in the forms in which a request holds it."""

SMALL_BYTES = 65_536
"""Largest request that may use the memory which is kept free of large ones."""

LARGE_SHARE = 0.75
"""Share of the memory that large requests may use together."""

MIN_BODY_BYTES_PER_S = 16_384
"""Slowest pace of a body, once it has arrived for the idle time.

The slowest links of clients carry 100 times as much.
"""

STALLED_MS = 1_000
"""Time after which a body or response without progress counts as stalled."""

DISCARD_TIMEOUT_MS = 5_000
"""Time for which the rest of a refused request is read.

A client that still sends may lose a response that is followed by a reset.
"""

MAX_DISCARDING_SHARE = 0.15
"""Share of the connections of a listener whose rest may be discarded."""

_MS_PER_S = 1_000


@attrs.frozen
class BodyTerms:
    """Terms on which the body of a request is read.

    Attributes
    ----------
    timeout_ms : int or None
        Time after which the request is of no use; None for no such time.
    group : str
        Owner of the request, among whom memory is shared.
    """

    timeout_ms: int | None = None
    group: str = ''


class Phase(enum.Enum):
    """What a connection does."""

    OPEN = 'open'
    """Nothing has arrived since it was accepted."""

    HEAD = 'head'
    BODY = 'body'
    SERVING = 'serving'

    DISCARDING = 'discarding'
    """The request is answered, and the rest of its body is discarded."""

    IDLE = 'idle'
    """The last request is answered, and the next one has not begun."""


@attrs.define(eq=False)
class Connection:
    """One connection of a client.

    Attributes
    ----------
    close : callable
        Closes it.
    refuse : callable
        Refuses the request whose body is arriving, with a reason.
    phase : Phase
        What it does.
    phase_began_at : int
        Time at which the phase began, in milliseconds of the clock.
    progress_at : int
        Time at which bytes were last received or sent, in milliseconds.
    group : str
        Owner of the request, among whom memory is shared.
    has_stream : bool
        Whether bytes have arrived, so that it has buffers.
    is_closed : bool
        Whether it is closed, so that it holds nothing.
    request_bytes : int
        Memory that is reserved for a request.
    arrived_bytes : int
        Bytes of the body that have arrived.
    unsent_bytes : int
        Bytes of responses that are not sent yet.
    body_expires_at : int or None
        Time after which a body is of no use; None for no such time.
    """

    close: Callable[[], None]
    phase_began_at: int
    refuse: Callable[[str], None] = lambda reason: None
    phase: Phase = Phase.OPEN
    progress_at: int = 0
    group: str = ''
    has_stream: bool = False
    is_closed: bool = False
    request_bytes: int = 0
    arrived_bytes: int = 0
    unsent_bytes: int = 0
    body_expires_at: int | None = None


class ConnectionPool:
    """The connections of one listener, by phase.

    Parameters
    ----------
    name : str
        Name of the listener.
    max_connections : int
        Connections that may be open.
    """

    def __init__(self, name: str, max_connections: int) -> None:
        self.name = name
        self.max_connections = max_connections
        self._by_phase: dict[Phase, dict[Connection, None]] = {
            phase: {} for phase in Phase
        }

    def __len__(self) -> int:
        return sum(map(len, self._by_phase.values()))

    def __iter__(self) -> Iterator[Connection]:
        for connections in self._by_phase.values():
            yield from list(connections)

    def add(self, connection: Connection) -> None:
        """Add a new connection."""
        self._by_phase[connection.phase][connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self._by_phase[connection.phase].pop(connection, None)

    def move(self, connection: Connection, phase: Phase, now: int) -> None:
        """Record that a connection has entered a phase."""
        if self._by_phase[connection.phase].pop(connection, 0) == 0:
            return
        connection.phase = phase
        connection.phase_began_at = connection.progress_at = now
        self._by_phase[phase][connection] = None

    def count(self, phase: Phase) -> int:
        """Count the connections in a phase."""
        return len(self._by_phase[phase])

    def is_full(self) -> bool:
        """Return whether a new connection takes the place of another one."""
        return len(self) >= self.max_connections

    def choose_evicted(
        self, now: int, frees_memory: bool = False
    ) -> Connection | None:
        """Choose the connection that makes room for a new one.

        Connections without a complete request are closed first, those that
        have waited longest before the others; then those whose body has
        stalled; then those that are idle between requests, which clients
        may still use. Requests in progress are not interrupted.

        Parameters
        ----------
        now : int
            Current time in milliseconds of the clock.
        frees_memory : bool, optional
            Whether memory is needed; connections on which nothing has arrived
            hold none.
        """
        for phase in (Phase.DISCARDING, Phase.OPEN, Phase.HEAD):
            for connection in self._by_phase[phase]:
                if connection.has_stream or not frees_memory:
                    return connection
        for connection in self._by_phase[Phase.BODY]:
            if now - connection.phase_began_at < STALLED_MS:
                break
            if is_slow(connection, now):
                return connection
        for connection in self._by_phase[Phase.IDLE]:
            return connection
        return None

    def choose_surplus(self) -> Connection | None:
        """Choose a connection to close while too many requests are discarded.

        What the kernel has received for them uses memory.
        """
        discarding = self._by_phase[Phase.DISCARDING]
        if len(discarding) <= self.max_connections * MAX_DISCARDING_SHARE:
            return None
        return next(iter(discarding))


def is_slow(connection: Connection, now: int) -> bool:
    """Return whether a body arrives more slowly than usual ones do."""
    elapsed_ms = now - connection.phase_began_at
    return (
        connection.phase is Phase.BODY
        and elapsed_ms >= STALLED_MS
        and connection.arrived_bytes * _MS_PER_S
        < elapsed_ms * MIN_BODY_BYTES_PER_S
    )


def find_expiry(
    connection: Connection, limits: limits_module.ClientLimits, now: int
) -> str | None:
    """Return why a connection has to be closed, if it has exceeded a limit.

    Parameters
    ----------
    connection : Connection
        The connection.
    limits : limits_module.ClientLimits
        Limits in force.
    now : int
        Current time in milliseconds of the clock.
    """
    phase_ms = now - connection.phase_began_at
    still_ms = now - connection.progress_at
    phase = connection.phase
    if phase is Phase.HEAD and phase_ms > limits.head_timeout_ms:
        return 'head_timeout'
    if phase is Phase.DISCARDING and phase_ms > DISCARD_TIMEOUT_MS:
        return 'discard_timeout'
    if phase in {Phase.OPEN, Phase.IDLE}:
        return 'idle' if phase_ms > limits.idle_timeout_ms else None
    if phase is Phase.BODY:
        return _find_body_expiry(connection, limits, now)
    if connection.unsent_bytes and still_ms > limits.idle_timeout_ms:
        return 'response_timeout'
    return None


def _find_body_expiry(
    connection: Connection, limits: limits_module.ClientLimits, now: int
) -> str | None:
    expires_at = connection.body_expires_at
    if expires_at is not None and now > expires_at:
        return 'body_expired'
    if now - connection.progress_at > limits.idle_timeout_ms:
        return 'body_timeout'
    is_old = now - connection.phase_began_at > limits.idle_timeout_ms
    if is_old and is_slow(connection, now):
        return 'body_timeout'
    return None


class ClientMemory:
    """Account of the memory that the connections of all listeners hold.

    Parameters
    ----------
    budget_bytes : int
        Memory that they may hold together.
    """

    def __init__(self, budget_bytes: int) -> None:
        self.budget_bytes = budget_bytes
        self.held_bytes = 0
        self._large_bytes = 0
        self._large: dict[Connection, int] = {}
        self._pools: list[ConnectionPool] = []

    def add_pool(self, pool: ConnectionPool) -> None:
        """Add the connections of a listener to the account."""
        self._pools.append(pool)

    def open(self, connection: Connection) -> None:
        """Record that a connection has got its buffers."""
        connection.has_stream = True
        self.held_bytes += CONNECTION_BYTES

    def close(self, connection: Connection) -> None:
        """Release all that a connection holds."""
        self.release(connection)
        self.change_unsent(connection, -connection.unsent_bytes)
        connection.is_closed = True
        if connection.has_stream:
            connection.has_stream = False
            self.held_bytes -= CONNECTION_BYTES

    def reserve(
        self, connection: Connection, request_bytes: int, now: int
    ) -> bool:
        """Reserve memory for a request; refuse others for it if that is fair.

        Parameters
        ----------
        connection : Connection
            The connection on which it arrives.
        request_bytes : int
            Memory for the whole request, with what is reserved already.
        now : int
            Current time in milliseconds of the clock.

        Returns
        -------
        bool
            False if the request has to be refused.
        """
        if connection.is_closed:
            return False
        is_large = request_bytes > SMALL_BYTES
        while not self._has_room(connection, request_bytes):
            refused = self._choose_refused(connection, request_bytes, now)
            if refused is None:
                return False
            self.release(refused)
            refused.refuse('memory')
        self.held_bytes += request_bytes - connection.request_bytes
        if is_large:
            self._large_bytes += request_bytes - self._large.get(connection, 0)
            self._large[connection] = request_bytes
        connection.request_bytes = request_bytes
        return True

    def release(self, connection: Connection) -> None:
        """Release the memory of a request that has ended."""
        self.held_bytes -= connection.request_bytes
        self._large_bytes -= self._large.pop(connection, 0)
        connection.request_bytes = connection.arrived_bytes = 0

    def _has_room(self, connection: Connection, request_bytes: int) -> bool:
        more_bytes = request_bytes - connection.request_bytes
        if self.held_bytes + more_bytes > self.budget_bytes:
            return False
        if request_bytes <= SMALL_BYTES:
            return True
        counted = self._large_bytes - self._large.get(connection, 0)
        return counted + request_bytes <= self.budget_bytes * LARGE_SHARE

    def _choose_refused(
        self, connection: Connection, request_bytes: int, now: int
    ) -> Connection | None:
        """Choose an arriving body that makes room for another request.

        A slow body is refused first, then the newest one of the group that
        holds most, if the others of that group still hold as much as the
        group of the new one will.
        """
        arriving = [
            one
            for one in self._large
            if one.phase is Phase.BODY and one is not connection
        ]
        held: dict[str, int] = {}
        for one, size in self._large.items():
            held[one.group] = held.get(one.group, 0) + size
        own = held.get(connection.group, 0) + request_bytes
        newest = None
        for one in arriving:
            if is_slow(one, now):
                return one
            rest = held[one.group] - one.request_bytes
            if rest >= own and (
                newest is None or held[one.group] >= held[newest.group]
            ):
                newest = one
        return newest

    def change_unsent(self, connection: Connection, more_bytes: int) -> None:
        """Record bytes of responses that are queued, or that were sent."""
        if connection.is_closed:
            return
        connection.unsent_bytes += more_bytes
        self.held_bytes += more_bytes

    def choose_unread(self, now: int) -> Connection | None:
        """Choose the connection to close while responses exceed the memory.

        It is the one with the largest response of those that make no
        progress, or of all. Small responses are left alone.
        """
        if self.held_bytes <= self.budget_bytes:
            return None
        unread = [
            one
            for pool in self._pools
            for one in pool
            if one.unsent_bytes > SMALL_BYTES
        ]
        stalled = [one for one in unread if now - one.progress_at > STALLED_MS]
        return max(
            stalled or unread, key=lambda one: one.unsent_bytes, default=None
        )
