"""Memory for tokens, reserved on every engine of a path.

An engine that runs out of memory preempts its newest request in the middle
of its stream and reads it again; the caller sees a pause of seconds. So a
request takes room for its prompt and its expected answer on all engines of
its path before it is sent, and what peers have taken is counted in.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool.domain.paths import search

FILL_LIMIT = 0.9
"""Share of an engine's room that reservations may take.

The rest covers answers that grow longer than expected: the expected length
is right at the median only.
"""


@attrs.define
class Reservations:
    """Token-layers and requests taken, by engine."""

    own: dict[str, float] = attrs.field(factory=dict)
    running: dict[str, int] = attrs.field(factory=dict)
    peers: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _peer_sums: dict[str, float] = attrs.field(factory=dict)

    def take(self, hops: Iterable[search.Hop], tokens: float) -> None:
        """Reserve room on each engine of a path."""
        for hop in hops:
            name = hop.server.id
            self.own[name] = self.own.get(name, 0.0) + tokens * hop.count
            self.running[name] = self.running.get(name, 0) + 1

    def free(self, hops: Iterable[search.Hop], tokens: float) -> None:
        """Give back what was reserved by the same arguments."""
        for hop in hops:
            name = hop.server.id
            left = self.own.get(name, 0.0) - tokens * hop.count
            self.running[name] = max(0, self.running.get(name, 0) - 1)
            if self.running[name] == 0:
                self.running.pop(name)
                self.own.pop(name, None)
            else:
                self.own[name] = max(0.0, left)

    def note_peer(self, peer: str, taken: dict[str, float]) -> None:
        """Replace what a peer has taken."""
        self.peers[peer] = taken
        self._sum_peers()

    def forget_peer(self, peer: str) -> None:
        """Forget what a peer that ended had taken."""
        if self.peers.pop(peer, None) is not None:
            self._sum_peers()

    def compute_taken(self, name: str) -> float:
        """Return the token-layers taken on an engine by all entries."""
        return self.own.get(name, 0.0) + self._peer_sums.get(name, 0.0)

    def _sum_peers(self) -> None:
        sums: dict[str, float] = {}
        for taken in self.peers.values():
            for name, amount in taken.items():
                sums[name] = sums.get(name, 0.0) + amount
        self._peer_sums = sums
