"""Samples of measurements and their statistics."""

from __future__ import annotations

import itertools
import typing

import attrs

Figures = dict[str, typing.Any]


@attrs.define
class Samples:
    """Measured times with the number of failed measurements.

    Attributes
    ----------
    values : list of float
        Times in milliseconds.
    failed : int
        Number of measurements without a time.
    """

    values: list[float] = attrs.field(factory=list)
    failed: int = 0

    def add(self, milliseconds: float | None) -> None:
        """Add one measurement; None for a failed one."""
        if milliseconds is None:
            self.failed += 1
            return
        self.values.append(milliseconds)

    def summarize(self) -> Figures:
        """Return percentiles, extremes and counts."""
        ordered = sorted(self.values)
        if not ordered:
            return {'count': 0, 'failed': self.failed}
        return {
            'p50': round(compute_percentile(ordered, 50), 1),
            'p99': round(compute_percentile(ordered, 99), 1),
            'max': round(ordered[-1], 1),
            'count': len(ordered),
            'failed': self.failed,
        }


def compute_percentile(ordered: list[float], percent: float) -> float:
    """Return the nearest-rank percentile of sorted values."""
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(int(rank), 1) - 1]


def compute_recovery_ms(
    arrivals: list[float], killed_at: float
) -> float | None:
    """Return the time from a kill until tokens arrive again.

    Tokens that were in transit at the kill still arrive shortly after it, so
    the result is the end of the longest gap, not the first arrival.

    Parameters
    ----------
    arrivals : list of float
        Arrival times of the tokens in seconds, sorted.
    killed_at : float
        Time of the kill in seconds.

    Returns
    -------
    float or None
        Milliseconds; None when no token arrives after the kill.
    """
    after = [arrival for arrival in arrivals if arrival > killed_at]
    if not after:
        return None
    gaps = list(itertools.pairwise([killed_at, *after]))
    _, end = max(gaps, key=lambda gap: gap[1] - gap[0])
    return (end - killed_at) * 1000
