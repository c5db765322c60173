"""Limit on the probes that an entry sends to engines.

Probes have a cost, and all entries have the same reasons to send them.
So each entry has a share of the probes, and sends no engine two probes within
a short time.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.fleet import messages as fleet

PROBE_INTERVAL_MS = 400
"""Least time between two probes of one engine, and between two probes for one
stream.

An engine reports on all of its streams at once, about 200 ms late.
"""

MAX_BURST_PROBES = 12.0
"""Most probes that may be sent in a burst: one for each engine of a path."""

MIN_PROBES_PER_S = 1.0
"""Least rate of probes per second that every entry may send."""

_MS_PER_S = 1000.0


class ProbeBudget:
    """Token bucket for the probes of an entry.

    Parameters
    ----------
    now : int
        Current time in milliseconds.
    compute_rate : callable
        Returns the probes per second by which the budget refills. At this rate
        all entries together probe each engine once a second.
    """

    def __init__(self, now: int, compute_rate: Callable[[], float]) -> None:
        self._compute_rate = compute_rate
        self._remaining = MAX_BURST_PROBES
        self._refilled_at = now
        self._probed_at: dict[str, int] = {}

    def has_capacity(self, now: int) -> bool:
        """Refill the budget and return whether it allows a probe.

        Parameters
        ----------
        now : int
            Current time in milliseconds.

        Returns
        -------
        bool
            Whether at least one probe is left.
        """
        rate_per_s = max(MIN_PROBES_PER_S, self._compute_rate())
        elapsed_s = (now - self._refilled_at) / _MS_PER_S
        self._refilled_at = now
        self._remaining = min(
            MAX_BURST_PROBES, self._remaining + rate_per_s * elapsed_s
        )
        return self._remaining >= 1.0

    def acquire(self, server: fleet.Server, now: int) -> bool:
        """Use up one probe of the budget.

        Parameters
        ----------
        server : fleet.Server
            Engine to probe.
        now : int
            Current time in milliseconds.

        Returns
        -------
        bool
            False when the budget is used up or the engine was probed recently.
        """
        if not self.has_capacity(now) or not self.record_probe(server, now):
            return False
        self._remaining -= 1.0
        return True

    def record_probe(self, server: fleet.Server, now: int) -> bool:
        """Record a probe without using up the budget.

        Parameters
        ----------
        server : fleet.Server
            Engine to probe.
        now : int
            Current time in milliseconds.

        Returns
        -------
        bool
            False when the engine was probed recently.
        """
        # Engines are replaced by ones with new ids. Old entries are dropped so
        # that the mapping does not grow without bound.
        self._probed_at = {
            server_id: probed_at
            for server_id, probed_at in self._probed_at.items()
            if now - probed_at < PROBE_INTERVAL_MS
        }
        if server.id in self._probed_at:
            return False
        self._probed_at[server.id] = now
        return True
