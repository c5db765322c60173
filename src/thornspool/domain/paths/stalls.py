"""Detection of lost engines from stalled streams.

When an engine is lost under load, all streams through it stall at once, which
shows before the idle time of any single stream is unusual. A few streams may
also stall by chance, and a slow engine delays its streams too. Stalls
therefore only select the engines to probe; the result of the probe decides.

On an entry with many streams, the suspects are the engines that several
stalled streams share. In a large fleet an entry serves only one or two streams
at a time; every engine all of whose streams are stalled is then a suspect.
"""

from __future__ import annotations

import collections
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

MIN_STALLED_STREAMS = 3
"""Minimum number of stalled streams that make an engine which they share a
suspect."""

MIN_STALLED_SHARE = 0.5
"""Minimum share of an engine's streams that are stalled if it is a suspect."""

STALL_INTERVALS = 1.6
"""Idle time, in event intervals of a stream, from which it is stalled."""

CONFIRMING_INTERVALS = 1.25
"""Idle time, in event intervals of a stream, that confirms a suspicion."""

MIN_EVENT_INTERVAL_MS = 30.0
"""Lower limit of a recorded event interval; shorter intervals vary with the
load of the hosts and links between engine and entry."""

MAX_EVENT_INTERVAL_MS = 200.0
"""Upper limit of a recorded event interval. Without it, one stall would raise
the mean so far that the next stall of the stream is not detected."""

DEFAULT_EVENT_INTERVAL_MS = 200.0
"""Event interval that is assumed before the first one is recorded."""

ENTRY_INTERVAL_WEIGHT = 0.02
"""Weight of one event interval in the mean over all streams of an entry, which
thus covers about fifty intervals."""

STREAM_INTERVAL_WEIGHT = 0.2
"""Weight of one event interval in the mean of one stream, which thus covers
about five intervals."""


@attrs.define
class EventInterval:
    """Exponential moving average of the event interval.

    Attributes
    ----------
    weight : float
        Weight of the latest interval, from 0 to 1.
    mean_ms : float or None
        None before the first interval.
    """

    weight: float = ENTRY_INTERVAL_WEIGHT
    mean_ms: float | None = None

    def record(self, interval_ms: float) -> None:
        """Record one event interval.

        Parameters
        ----------
        interval_ms : float
            Milliseconds between two events.
        """
        interval_ms = min(
            MAX_EVENT_INTERVAL_MS, max(MIN_EVENT_INTERVAL_MS, interval_ms)
        )
        if self.mean_ms is None:
            self.mean_ms = interval_ms
        else:
            self.mean_ms += self.weight * (interval_ms - self.mean_ms)


def find_suspects(
    streams: Iterable[tuple[Iterable[str], float]],
) -> list[str]:
    """Find the engines that may have caused the stalls of streams.

    Parameters
    ----------
    streams : iterable of tuple of iterable of str and float
        For each stream that has begun, the names of its engines and its idle
        time in its own event intervals.

    Returns
    -------
    list of str
        Engines that several stalled streams share; if there are none, the
        engines all of whose streams are stalled. Engines with the most
        stalled streams come first.
    """
    stalled: collections.Counter[str] = collections.Counter()
    total: collections.Counter[str] = collections.Counter()
    stalled_streams = 0
    for engines, idle_intervals in streams:
        names = list(engines)
        total.update(names)
        if idle_intervals >= STALL_INTERVALS:
            stalled_streams += 1
            stalled.update(names)
    shared = [
        name
        for name, count in stalled.most_common()
        if count >= MIN_STALLED_STREAMS
        and count >= MIN_STALLED_SHARE * total[name]
    ]
    if shared and stalled_streams >= MIN_STALLED_STREAMS:
        return shared
    return [
        name for name, count in stalled.most_common() if count == total[name]
    ]
