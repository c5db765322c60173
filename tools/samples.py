"""Samples of measurements and what is read off them."""

from __future__ import annotations

import itertools
import typing

import attrs

Figures = dict[str, typing.Any]


@attrs.define
class Samples:
    """Milliseconds measured, and how many tries gave no figure."""

    values: list[float] = attrs.field(factory=list)
    failed: int = 0

    def add(self, milliseconds: float | None) -> None:
        """Take in one try; None when it failed."""
        if milliseconds is None:
            self.failed += 1
            return
        self.values.append(milliseconds)

    def sum_up(self) -> Figures:
        """Return percentiles, extremes and counts."""
        ordered = sorted(self.values)
        if not ordered:
            return {'count': 0, 'failed': self.failed}
        return {
            'p50': round(read_percentile(ordered, 50), 1),
            'p99': round(read_percentile(ordered, 99), 1),
            'max': round(ordered[-1], 1),
            'count': len(ordered),
            'failed': self.failed,
        }


def read_percentile(ordered: list[float], percent: float) -> float:
    """Return the nearest-rank percentile of values in order."""
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(int(rank), 1) - 1]


def find_recovery_ms(arrivals: list[float], killed_at: float) -> float | None:
    """Find when tokens came again after a kill, in milliseconds.

    Tokens that were under way at the kill still arrive just after it, so
    the end of the longest gap counts, not the first arrival.

    Parameters
    ----------
    arrivals : list of float
        Seconds at which tokens were delivered, in order.
    killed_at : float
        Second of the kill.

    Returns
    -------
    float or None
        None when no token came after the kill.
    """
    after = [one for one in arrivals if one > killed_at]
    if not after:
        return None
    steps = list(itertools.pairwise([killed_at, *after]))
    _, end = max(steps, key=lambda step: step[1] - step[0])
    return (end - killed_at) * 1000
