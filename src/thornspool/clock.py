"""Source of monotonic and calendar time in whole milliseconds."""

from __future__ import annotations

import time


class Clock:
    """Source of time for the code with side effects.

    Pure decision functions take the current time as an argument instead of
    reading a clock. Tests inject a subclass whose time they control.
    """

    def now(self) -> int:
        """Return monotonic time that includes suspensions of the host.

        With a clock that stops during suspension, an entry would rely on
        leases that expired meanwhile and on a copy that is no longer
        confirmed. It would accept a revoked key, or two entries would act as
        leader.

        Returns
        -------
        int
            Milliseconds since an unspecified start; never decreases.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall(self) -> int:
        """Return calendar time.

        Returns
        -------
        int
            Milliseconds since the Unix epoch; may jump in both directions.
        """
        return time.time_ns() // 1_000_000
