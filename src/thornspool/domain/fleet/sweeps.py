"""Sweeps: probes of all engines of a service.

Several engines may become slow at the same time. If each of them were only
detected by a late request of its own, entries would keep using the others.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    import random

BATCH_SIZE = 10
"""Number of engines that are probed at one tick."""

MIN_INTERVAL_MS = 3_000
"""Minimum time between the starts of two sweeps."""


@attrs.define
class Sweep:
    """Engines that the current sweep has not probed yet."""

    _remaining: list[str] = attrs.field(factory=list)
    _started_at: int | None = None

    def begin(
        self, names: Iterable[str], source: random.Random, now: int
    ) -> None:
        """Start a sweep, unless the last one has started recently.

        Parameters
        ----------
        names : iterable of str
            Engines to probe.
        source : random.Random
            Shuffles the engines, as several entries may sweep at once.
        now : int
            Milliseconds of the clock.
        """
        if (
            self._started_at is not None
            and now - self._started_at < MIN_INTERVAL_MS
        ):
            return
        self._started_at = now
        self._remaining = list(names)
        source.shuffle(self._remaining)

    def pop_batch(self) -> list[str]:
        """Remove and return the engines to probe at this tick."""
        batch, self._remaining = (
            self._remaining[:BATCH_SIZE],
            self._remaining[BATCH_SIZE:],
        )
        return batch
