"""Load of a host's network link.

While a large response fills the link, such as a configuration of 100 kB on a
link of 7 Mbit/s, events and answers of engines arrive late, and sound engines
seem to stall.
"""

from __future__ import annotations

import attrs

MAX_LINK_SHARE = 0.5
"""Share of the link's bandwidth above which it counts as busy; regular traffic
uses a few hundredths of it."""

MIN_INTERVAL_MS = 25
"""Shortest time over which the load is measured."""

_BYTES_PER_MBIT = 125_000.0
_MS_PER_S = 1000.0


@attrs.define
class LinkLoad:
    """Load of a link from the bytes that pass it.

    Attributes
    ----------
    link_mbps : float
        Bandwidth in megabits per second; 0 for unknown.
    is_busy : bool
        Whether the link was busy in the last interval.
    """

    link_mbps: float
    is_busy: bool = False
    _measured_at: int | None = None
    _measured_bytes: int = 0

    def record(self, total_bytes: int, now: int) -> None:
        """Record the bytes that have passed the link so far.

        Parameters
        ----------
        total_bytes : int
            Bytes since the start of the process.
        now : int
            Milliseconds of the clock.
        """
        if self._measured_at is None:
            self._measured_at, self._measured_bytes = now, total_bytes
            return
        elapsed_ms = now - self._measured_at
        if elapsed_ms < MIN_INTERVAL_MS:
            return
        passed = total_bytes - self._measured_bytes
        possible = self.link_mbps * _BYTES_PER_MBIT * elapsed_ms / _MS_PER_S
        self.is_busy = 0 < MAX_LINK_SHARE * possible < passed
        self._measured_at, self._measured_bytes = now, total_bytes
