"""Time in whole milliseconds, read through one small type."""

from __future__ import annotations

import time


class Clock:
    """Source of time for everything that is not a pure decision.

    Decisions never read a clock; they are handed the time. Tests hand in a
    subclass whose time they move themselves.
    """

    def now(self) -> int:
        """Return monotonic time.

        Returns
        -------
        int
            Milliseconds since an unspecified start; never goes back.
        """
        return time.monotonic_ns() // 1_000_000

    def wall(self) -> int:
        """Return calendar time.

        Returns
        -------
        int
            Milliseconds since the Unix epoch; may step in both directions.
        """
        return time.time_ns() // 1_000_000
