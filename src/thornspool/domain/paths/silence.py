"""Silent streams name the engines that may be lost.

Answers the loss of an engine under load. All streams through it pause at
once, so that it can be asked long before any single pause is unusual. A few
streams may pause by chance, and a slow engine slows its streams too: silence
chooses whom to ask, and only the answer tells.

Where an entry has many streams, the engines stand out that silent ones share.
In a large fleet an entry has one or two streams at a time; there every engine
is in doubt through which none of them moves.
"""

from __future__ import annotations

import collections
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

LEAST_STREAMS = 3
"""Silent streams that point at what they share."""

SILENT_SHARE = 0.5
"""Share of the streams of an engine that have to be silent."""

LOST_SHARE = 0.5
"""Share of the engines asked at once that may be lost together; where more
are silent, it is the link of the host that asks."""

UNUSUAL_PAUSES = 1.6
"""Usual pauses of a stream from which it counts as silent."""

OVERDUE_PAUSES = 1.25
"""Usual pauses of a stream after which its silence confirms a suspicion."""

MIN_USUAL_MS = 30.0
"""Least pause that counts as usual; shorter ones vary with the load of the
hosts and links on the way."""

MAX_USUAL_MS = 200.0
"""Longest pause that counts as usual, so that a stream that has stood still
does not hide its next pause."""

UNKNOWN_MS = 200.0
"""Usual pause where no stream has shown one yet."""

FLEET_WEIGHT = 0.02
"""Weight of one pause in the mean of an entry: some fifty pauses back."""

STREAM_WEIGHT = 0.2
"""Weight of one pause in the mean of a stream: some five pauses back."""


@attrs.define
class UsualPause:
    """Mean pause between events.

    Attributes
    ----------
    weight : float
        Weight of the newest pause.
    mean_ms : float or None
        None before the first pause.
    """

    weight: float = FLEET_WEIGHT
    mean_ms: float | None = None

    def note(self, pause_ms: float) -> None:
        """Note one pause."""
        pause_ms = min(MAX_USUAL_MS, max(MIN_USUAL_MS, pause_ms))
        if self.mean_ms is None:
            self.mean_ms = pause_ms
        else:
            self.mean_ms += self.weight * (pause_ms - self.mean_ms)


def is_credible(asked: int, silent: int) -> bool:
    """Tell whether engines that gave no answer are lost.

    A host that is cut off finds all of them silent. Its word would have the
    whole fleet leave out every engine of a path.

    Parameters
    ----------
    asked : int
        Engines that were asked at the same moment.
    silent : int
        Those of them that gave no answer.
    """
    return asked <= 1 or silent <= LOST_SHARE * asked


def find_doubtful(
    streams: Iterable[tuple[Iterable[str], float]],
) -> list[str]:
    """Find the engines that silent streams point at.

    Parameters
    ----------
    streams : iterable of tuple of iterable of str and float
        Engines of each stream that has begun, and its silence in usual
        pauses of its own.

    Returns
    -------
    list of str
        Those that a group of silent streams shares, else those through which
        no stream moves; those of most silent streams first.
    """
    silent: collections.Counter[str] = collections.Counter()
    seen: collections.Counter[str] = collections.Counter()
    silent_streams = 0
    for engines, pauses in streams:
        names = list(engines)
        seen.update(names)
        if pauses >= UNUSUAL_PAUSES:
            silent_streams += 1
            silent.update(names)
    shared = [
        name
        for name, count in silent.most_common()
        if count >= LEAST_STREAMS and count >= SILENT_SHARE * seen[name]
    ]
    if shared and silent_streams >= LEAST_STREAMS:
        return shared
    return [
        name for name, count in silent.most_common() if count == seen[name]
    ]
