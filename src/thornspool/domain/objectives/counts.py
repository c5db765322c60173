"""Counts of good and bad events over sliding windows, in bounded memory."""

from __future__ import annotations

import collections

import attrs

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
FINE_SLOTS = 60
COARSE_SLOTS = 73


@attrs.frozen
class Counts:
    """Events that met an objective and events that did not."""

    good: int = 0
    bad: int = 0

    def add(self, other: Counts) -> Counts:
        """Return the sum of both."""
        return Counts(self.good + other.good, self.bad + other.bad)


class SlidingCounts:
    """Counts by minute for an hour and by hour for three days.

    A window of up to an hour is exact to the minute, a longer one to the
    hour. At most ``FINE_SLOTS + COARSE_SLOTS`` slots are held, and only
    those in which something happened.
    """

    def __init__(self) -> None:
        self._minutes: collections.OrderedDict[int, Counts] = (
            collections.OrderedDict()
        )
        self._hours: collections.OrderedDict[int, Counts] = (
            collections.OrderedDict()
        )

    def add(self, now: int, good: int, bad: int) -> None:
        """Count events.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        good, bad : int
            Events of either kind.
        """
        counts = Counts(good, bad)
        _add_to(self._minutes, now // MINUTE_MS, counts, FINE_SLOTS)
        _add_to(self._hours, now // HOUR_MS, counts, COARSE_SLOTS)

    def read(self, now: int, window_ms: int) -> Counts:
        """Return the counts of the window that ends now.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        window_ms : int
            Length of the window, at most three days.
        """
        if window_ms <= HOUR_MS:
            return _sum_after(self._minutes, (now - window_ms) // MINUTE_MS)
        return _sum_after(self._hours, (now - window_ms) // HOUR_MS)


def _add_to(
    slots: collections.OrderedDict[int, Counts],
    slot: int,
    counts: Counts,
    limit: int,
) -> None:
    """Add to the newest slot and drop those past the limit."""
    slots[slot] = slots.get(slot, Counts()).add(counts)
    while next(iter(slots)) <= slot - limit:
        slots.popitem(last=False)


def _sum_after(
    slots: collections.OrderedDict[int, Counts], start: int
) -> Counts:
    """Add up the slots after one."""
    total = Counts()
    for slot in reversed(slots):
        if slot <= start:
            break
        total = total.add(slots[slot])
    return total
