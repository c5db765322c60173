"""Counts of good and bad events over sliding windows, in bounded memory."""

from __future__ import annotations

import array
import typing

import attrs

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
FINE_SLOTS = 60
COARSE_SLOTS = 73
_NUMBER = 'Q'
_WIDTH = 3

if typing.TYPE_CHECKING:
    Slots = array.array[int]


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
    hour. Only slots in which something happened are held, each as three
    numbers (slot, good, bad) of one flat array: an entry of a large fleet
    sees every workspace within three days, and an object for each slot
    would cost it ten times the memory.
    """

    __slots__ = ('_hours', '_minutes')

    def __init__(self) -> None:
        self._minutes = array.array(_NUMBER)
        self._hours = array.array(_NUMBER)

    def add(self, now: int, good: int, bad: int) -> None:
        """Count events.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        good, bad : int
            Events of either kind.
        """
        _add_to(self._minutes, now // MINUTE_MS, good, bad)
        _drop_before(self._minutes, now // MINUTE_MS - FINE_SLOTS)
        _add_to(self._hours, now // HOUR_MS, good, bad)
        _drop_before(self._hours, now // HOUR_MS - COARSE_SLOTS)

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


def _add_to(slots: Slots, slot: int, good: int, bad: int) -> None:
    """Add to the newest slot, or begin another."""
    if not slots or slots[-_WIDTH] != slot:
        slots.extend((slot, 0, 0))
    slots[-2] += good
    slots[-1] += bad


def _drop_before(slots: Slots, last: int) -> None:
    """Drop the slots up to one."""
    while slots and slots[0] <= last:
        del slots[:_WIDTH]


def _sum_after(slots: Slots, start: int) -> Counts:
    """Add up the slots after one."""
    good = bad = 0
    for place in range(len(slots) - _WIDTH, -1, -_WIDTH):
        if slots[place] <= start:
            break
        good += slots[place + 1]
        bad += slots[place + 2]
    return Counts(good, bad)
