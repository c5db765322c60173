"""Time in whole milliseconds, read through one small type."""

from __future__ import annotations

import time


class Clock:
    """Source of time for everything that is not a pure decision.

    Decisions never read a clock; they are handed the time. Tests hand in a
    subclass whose time they move themselves.
    """

    def now(self) -> int:
        """Return monotonic time that counts while the host is suspended.

        A host that was suspended for seconds would otherwise trust leases
        and proofs that ran out meanwhile; one would notice by a withdrawn
        key that works, or by two leaders.

        Returns
        -------
        int
            Milliseconds since an unspecified start; never goes back.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self) -> int:
        """Return calendar time.

        Returns
        -------
        int
            Milliseconds since the Unix epoch; may step in both directions.
        """
        return time.time_ns() // 1_000_000
