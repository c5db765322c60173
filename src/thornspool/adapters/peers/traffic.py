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
