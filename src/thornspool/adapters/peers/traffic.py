"""Counts of what an entry exchanges with others, by kind of message."""

from __future__ import annotations

import collections

import attrs


@attrs.define
class Count:
    """Messages and their bytes, envelope included, without TCP and IP."""

    messages: int = 0
    bytes: int = 0

    def add(self, size: int) -> None:
        """Count one message."""
        self.messages += 1
        self.bytes += size


def _make_counts() -> collections.defaultdict[str, Count]:
    return collections.defaultdict(Count)


@attrs.define
class Traffic:
    """What was sent, received and dropped.

    Attributes
    ----------
    sent, received : dict of str to Count
        By kind.
    dropped : dict of str to int
        By reason.
    """

    sent: collections.defaultdict[str, Count] = attrs.field(
        factory=_make_counts
    )
    received: collections.defaultdict[str, Count] = attrs.field(
        factory=_make_counts
    )
    dropped: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    def list_bytes(self) -> list[tuple[dict[str, str], float]]:
        """Return the bytes by direction and kind, as labels and values."""
        directions = {'sent': self.sent, 'received': self.received}
        return [
            ({'direction': direction, 'kind': kind}, float(count.bytes))
            for direction, counts in directions.items()
            for kind, count in counts.items()
        ]
