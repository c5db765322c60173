"""Delays of periodic tasks, which show that the event loop is busy."""

from __future__ import annotations

import attrs

WINDOW_MS = 1_000
"""Time for which the longest delay is reported."""


@attrs.define
class LoopDelay:
    """Longest delay of a periodic task.

    Attributes
    ----------
    interval_ms : int
        Interval of the task in milliseconds.
    """

    interval_ms: int
    _last_at: int | None = None
    _longest_ms: int = 0
    _longest_at: int = 0

    def record(self, now: int) -> None:
        """Record a run of the task at a time in milliseconds."""
        if self._last_at is not None:
            delay_ms = max(0, now - self._last_at - self.interval_ms)
            if delay_ms >= self.read(now):
                self._longest_ms = delay_ms
                self._longest_at = now
        self._last_at = now

    def read(self, now: int) -> int:
        """Return the longest recent delay in milliseconds."""
        if now - self._longest_at > WINDOW_MS:
            return 0
        return self._longest_ms
