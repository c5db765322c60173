"""Counts of good and bad events over sliding windows, in bounded memory."""

from __future__ import annotations

import array
import typing

import attrs

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
MINUTE_SLOTS = 60
HOUR_SLOTS = 73
_TYPE_CODE = 'Q'
_NUMBERS_PER_SLOT = 3

if typing.TYPE_CHECKING:
    Slots = array.array[int]


@attrs.frozen
class Counts:
    """Numbers of events that met an objective and of those that did not."""

    good: int = 0
    bad: int = 0

    def add(self, other: Counts) -> Counts:
        """Return the sum of both counts."""
        return Counts(self.good + other.good, self.bad + other.bad)


class SlidingCounts:
    """Counts per minute for one hour and per hour for three days.

    A window of up to one hour is accurate to the minute, a longer one to the
    hour. Only slots with events are stored, each as three numbers (slot,
    good, bad) in one flat array. An entry of a large fleet serves every
    workspace within three days, and one object per slot would need ten times
    the memory.
    """

    __slots__ = ('_hours', '_minutes')

    def __init__(self) -> None:
        self._minutes = array.array(_TYPE_CODE)
        self._hours = array.array(_TYPE_CODE)

    def add(self, now: int, good: int, bad: int) -> None:
        """Add events to the current slots and drop expired slots.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        good, bad : int
            Number of events that met the objective, and of those that did
            not.
        """
        _add_to(self._minutes, now // MINUTE_MS, good, bad)
        _drop_through(self._minutes, now // MINUTE_MS - MINUTE_SLOTS)
        _add_to(self._hours, now // HOUR_MS, good, bad)
        _drop_through(self._hours, now // HOUR_MS - HOUR_SLOTS)

    def read(self, now: int, window_ms: int) -> Counts:
        """Return the counts of the window that ends now.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        window_ms : int
            Length of the window in milliseconds, at most three days.
        """
        if window_ms <= HOUR_MS:
            return _sum_after(self._minutes, (now - window_ms) // MINUTE_MS)
        return _sum_after(self._hours, (now - window_ms) // HOUR_MS)


def _add_to(slots: Slots, slot: int, good: int, bad: int) -> None:
    """Add to the last slot, or append a new one."""
    if not slots or slots[-_NUMBERS_PER_SLOT] != slot:
        slots.extend((slot, 0, 0))
    slots[-2] += good
    slots[-1] += bad


def _drop_through(slots: Slots, last: int) -> None:
    """Drop the slots up to and including the last one given."""
    while slots and slots[0] <= last:
        del slots[:_NUMBERS_PER_SLOT]


def _sum_after(slots: Slots, start: int) -> Counts:
    """Return the sum of the slots after the start slot."""
    good = bad = 0
    for offset in range(
        len(slots) - _NUMBERS_PER_SLOT, -1, -_NUMBERS_PER_SLOT
    ):
        if slots[offset] <= start:
            break
        good += slots[offset + 1]
        bad += slots[offset + 2]
    return Counts(good, bad)
