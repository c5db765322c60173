"""Ages of the copy of the store up to which an entry relies on it."""

from __future__ import annotations

import attrs

from thornspool.domain.freshness import confirmations

UPDATE_INTERVAL_MS = 400
"""Interval of state updates in a fleet with collectors."""

UPDATE_MARGIN_MS = 300
"""Allowance for late state updates of a collector."""

MAX_COPY_AGE_MS = 2_800
"""Longest age of a copy that a collector keeps current."""

COLLECTOR_WATCH_RANGE_MS = (200, 800)
"""Range of the longest wait of a collector's watch."""

QUERY_SPREAD_MS = 650
"""Time in which the entries of a fleet query the store after their collectors
have lost it, so that they do not all call it at once."""

MAX_CALL_MS = 500
"""Allowance for the call that follows a delay."""


@attrs.frozen
class AgeLimits:
    """Ages in milliseconds up to which the copy supports a decision.

    Attributes
    ----------
    key_ms : float
        Age up to which requests with a key are served, so that a withdrawn
        key is rejected in time.
    denial_ms : float
        Age up to which the copy shows that a route or a key does not exist.
        An older copy may lack a version that must be in force.
    """

    key_ms: float
    denial_ms: float

    @property
    def copy_ms(self) -> float:
        """Age above which an entry queries the store despite a collector."""
        return min(MAX_COPY_AGE_MS, self.denial_ms)

    @property
    def collector_watch_ms(self) -> int:
        """Longest wait of a collector's watch.

        The age of its copy is up to twice that, and the age of its peers'
        copies is larger by two intervals of state updates.
        """
        shortest, longest = COLLECTOR_WATCH_RANGE_MS
        remaining_ms = self.copy_ms - 2 * UPDATE_INTERVAL_MS - UPDATE_MARGIN_MS
        return max(shortest, min(longest, int(remaining_ms / 2)))

    @property
    def feed_ms(self) -> float:
        """Age of the collector's copy above which entries do not rely on it.

        A copy is dated at the sending of the watch that confirms it.
        """
        return 2 * self.collector_watch_ms + UPDATE_MARGIN_MS

    @property
    def query_range_ms(self) -> tuple[float, float]:
        """Range of the age at which an entry queries the store itself.

        It applies while the collector can't reach the store. The store may
        still serve this entry, which has to apply changes in time.
        """
        return self.denial_ms - QUERY_SPREAD_MS, self.denial_ms

    @property
    def retry_range_ms(self) -> tuple[float, float]:
        """Range of the delay after a failed call in a shared outage.

        Between two calls, less time passes than a version may take to be in
        force, since the store may serve this entry again and no collector.
        """
        longest_ms = self.denial_ms - MAX_CALL_MS
        return longest_ms / 2, longest_ms


def compute_limits(withdrawn_key_ms: int, configuration_ms: int) -> AgeLimits:
    """Compute the limits from the bounds of the deployment.

    Parameters
    ----------
    withdrawn_key_ms : int
        Time after which a withdrawn key must be rejected, in milliseconds.
    configuration_ms : int
        Time after which a configuration must be in force, in milliseconds.
    """
    share = confirmations.BOUND_SHARE
    return AgeLimits(withdrawn_key_ms * share, configuration_ms * share)


DEFAULT = compute_limits(5_000, 2_000)
"""Limits of a deployment that names no other bounds."""
