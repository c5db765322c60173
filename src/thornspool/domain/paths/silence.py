"""Streams that fall silent together name the engines that they share.

Answers the loss of an engine under load. All streams through it pause at
once, so that it can be asked long before any single pause is unusual. Two
streams may pause by chance, and a slow engine slows its streams too: silence
chooses whom to ask, and only the answer tells.
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

UNUSUAL_FACTOR = 2.0
"""Times of the usual pause from which a stream counts as silent."""

MIN_BOUND_MS = 60.0
"""Least silence that counts; events come in the rhythm of whole batches."""

MAX_BOUND_MS = 350.0
"""Silence that counts where pauses are usually long."""

WEIGHT = 0.02
"""Weight of one pause in the mean: some fifty pauses back."""


@attrs.define
class UsualPause:
    """Mean pause between the events of an entry's streams."""

    mean_ms: float | None = None

    def note(self, pause_ms: float) -> None:
        """Note one pause."""
        pause_ms = min(pause_ms, MAX_BOUND_MS)
        if self.mean_ms is None:
            self.mean_ms = pause_ms
        else:
            self.mean_ms += WEIGHT * (pause_ms - self.mean_ms)

    def compute_bound(self) -> float:
        """Return the silence in milliseconds that counts."""
        if self.mean_ms is None:
            return MAX_BOUND_MS
        bound = UNUSUAL_FACTOR * self.mean_ms
        return min(MAX_BOUND_MS, max(MIN_BOUND_MS, bound))


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


def find_shared(
    streams: Iterable[tuple[Iterable[str], float]], bound_ms: float
) -> list[str]:
    """Find the engines that silent streams have in common.

    Parameters
    ----------
    streams : iterable of tuple of iterable of str and float
        Engines of each stream that has begun, and its silence in
        milliseconds.
    bound_ms : float
        Silence that counts.

    Returns
    -------
    list of str
        Those of most silent streams first.
    """
    listed = list(streams)
    if sum(quiet_ms >= bound_ms for _, quiet_ms in listed) < LEAST_STREAMS:
        return []
    silent: collections.Counter[str] = collections.Counter()
    seen: collections.Counter[str] = collections.Counter()
    for engines, quiet_ms in listed:
        names = list(engines)
        seen.update(names)
        if quiet_ms >= bound_ms:
            silent.update(names)
    return [
        name
        for name, count in silent.most_common()
        if count >= LEAST_STREAMS and count >= SILENT_SHARE * seen[name]
    ]
