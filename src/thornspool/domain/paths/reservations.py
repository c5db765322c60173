"""Memory for tokens, reserved on every engine of a path.

An engine that runs out of memory preempts its newest request in the middle
of its stream and reads it again; the caller sees a pause of seconds. So a
request takes room for its prompt and its expected answer on all engines of
its path before it is sent, and what peers have taken is counted in.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import marks

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
    """Token-layers and requests taken, by engine; those of others by mark.

    Attributes
    ----------
    reading : dict of str to float
        Token-layers that engines have still to read for own requests.
    """

    own: dict[str, float] = attrs.field(factory=dict)
    running: dict[str, int] = attrs.field(factory=dict)
    reading: dict[str, float] = attrs.field(factory=dict)
    others: dict[int, float] = attrs.field(factory=dict)

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

    def begin_reading(self, hops: Iterable[search.Hop], tokens: float) -> None:
        """Note a prompt that each engine of a path has to read."""
        for hop in hops:
            name = hop.server.id
            self.reading[name] = (
                self.reading.get(name, 0.0) + tokens * hop.count
            )

    def end_reading(self, hops: Iterable[search.Hop], tokens: float) -> None:
        """Note that it has been read, or is not needed any more."""
        for hop in hops:
            name = hop.server.id
            left = self.reading.get(name, 0.0) - tokens * hop.count
            if left > 0:
                self.reading[name] = left
            else:
                self.reading.pop(name, None)

    def list_marked(self) -> dict[int, float]:
        """List what this entry has taken, by mark."""
        return {
            marks.compute_mark(name): amount
            for name, amount in self.own.items()
        }

    def compute_taken(self, name: str) -> float:
        """Return the token-layers taken on an engine by all entries."""
        others = self.others.get(marks.compute_mark(name), 0.0)
        return self.own.get(name, 0.0) + others
