"""Traffic counters of the messages between entries, by kind."""

from __future__ import annotations

import collections

import attrs


@attrs.define
class Count:
    """Number of messages and bytes, with framing but without TCP and IP."""

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
    """Counters of sent, received and dropped messages.

    Attributes
    ----------
    sent, received : dict of str to Count
        Counts by message kind.
    dropped : dict of str to int
        Number of dropped messages by reason.
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
