"""Amounts per second over a sliding window."""

from __future__ import annotations

import collections
import math

import attrs

WINDOW_MS = 1_000
"""Window of the demand: an unused reserve ends within this time."""

RELEASE_WINDOW_MS = 3_000
"""Window of the releases, which vary with the lengths of single answers; most
requests end within this time."""

BUCKETS = 10
"""Amounts that represent a window, whatever the number of requests."""

_MS_PER_S = 1000.0


@attrs.define
class Rate:
    """Amount per second over a window.

    Attributes
    ----------
    window_ms : int
        Length of the window in milliseconds.
    """

    window_ms: int = WINDOW_MS
    _amounts: collections.deque[tuple[int, float]] = attrs.field(
        factory=collections.deque, init=False
    )

    def add(self, amount: float, now: int) -> None:
        """Add an amount.

        Parameters
        ----------
        amount : float
            Amount to add.
        now : int
            Milliseconds of the clock.
        """
        bucket = self._find_bucket(now)
        if self._amounts and self._amounts[-1][0] == bucket:
            amount += self._amounts.pop()[1]
        self._amounts.append((bucket, amount))

    def compute(self, now: int) -> float:
        """Return the amount per second in the window before a time."""
        return self.sum(now) * _MS_PER_S / self.window_ms

    def sum(self, now: int) -> float:
        """Return the amount in the window before a time."""
        oldest = self._find_bucket(now) - BUCKETS
        while self._amounts and self._amounts[0][0] <= oldest:
            self._amounts.popleft()
        return math.fsum(amount for _, amount in self._amounts)

    def _find_bucket(self, now: int) -> int:
        return now * BUCKETS // self.window_ms
