"""Limits on what clients send, and on what all of them may hold."""

from __future__ import annotations

import resource

import attrs

REQUEST_LINE_BYTES = 8_192
"""Room for the request line, which the limit on header fields excludes."""

FILE_DESCRIPTORS = 200
"""Descriptors that files and the runtime use, and not connections."""

MEMORY_SHARE = 0.3
"""Share of the memory of a host that clients may hold.

The process itself uses up to half of the smallest host.
"""

MAX_RESIDENT_SHARE = 0.75
"""Share of the memory of a host up to which clients may use it.

The rest is for what the kernel has received, and for growth between two
readings of the resident memory.
"""

MIN_MEMORY_BYTES = 8 * 2**20
"""Least memory for clients, which admits one body of the largest size."""

DEFAULT_MEMORY_MB = 512
DEFAULT_DESCRIPTORS = 4_096
"""Limits of a host whose settings name none."""

_MIN_CONNECTIONS = 16


@attrs.frozen
class ClientLimits:
    """Limits on the requests and the connections of one client.

    Attributes
    ----------
    max_head_bytes : int
        Largest request line with all header fields.
    max_body_bytes : int
        Largest body.
    head_timeout_ms : int
        Longest time from the first to the last byte of a head.
    idle_timeout_ms : int
        Longest time without a request, or without progress of a body or of a
        response.
    """

    max_head_bytes: int = 65_536
    max_body_bytes: int = 8 * 2**20
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


@attrs.frozen
class HostCapacity:
    """Memory and connections of a host that clients may use.

    Attributes
    ----------
    memory_bytes : int
        Memory for the requests, connections and unsent responses of clients.
    connections : int
        Connections of clients and of this process together.
    host_bytes : int
        Memory of the host; 0 for unknown.
    """

    memory_bytes: int
    connections: int
    host_bytes: int = 0

    def compute_connections(self, share: float) -> int:
        """Compute the connections that a listener may have open."""
        return max(_MIN_CONNECTIONS, int(self.connections * share))

    def compute_budget(self, resident_bytes: int, held_bytes: int) -> int:
        """Compute the memory that clients may hold now.

        It is less while the process uses much memory beside, such as pages
        that are free and not returned.

        Parameters
        ----------
        resident_bytes : int
            Resident memory of the process; 0 for unknown.
        held_bytes : int
            Memory that clients hold.
        """
        if not self.host_bytes or not resident_bytes:
            return self.memory_bytes
        beside = max(0, resident_bytes - held_bytes)
        left = int(self.host_bytes * MAX_RESIDENT_SHARE) - beside
        floor = min(MIN_MEMORY_BYTES, self.memory_bytes)
        return max(floor, min(self.memory_bytes, left))


def find_descriptors(configured: int) -> int:
    """Return how many descriptors this process may have open.

    Parameters
    ----------
    configured : int
        Descriptors of the host; 0 for unknown.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return configured
    return min(configured or limit, limit)


def compute_capacity(memory_mb: float, descriptors: int) -> HostCapacity:
    """Compute what clients may use of a host.

    Parameters
    ----------
    memory_mb : float
        Memory of the host in MiB; 0 for unknown.
    descriptors : int
        Descriptors of the process; 0 for unknown.
    """
    memory_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * 2**20)
    return HostCapacity(
        max(MIN_MEMORY_BYTES, int(memory_bytes * MEMORY_SHARE)),
        max(1, (descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS),
        int(memory_mb * 2**20),
    )
