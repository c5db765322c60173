"""Max-min fair shares of scarce engine memory by workspace.

Load: a few large workspaces, or callers that retry at once, need more memory
than there is. Without shares, the small workspaces lose as many of their
requests as the large ones.
"""

from __future__ import annotations

import collections
import heapq
import math
import typing

import attrs

from thornspool.domain.admission import rates

if typing.TYPE_CHECKING:
    from collections.abc import Collection

MAX_REPORTED = 16
"""Workspaces of a service that an entry reports, those with the largest
demand; a datagram has a bounded size."""

MAX_TRACKED = 256
"""Workspaces of a service that an entry or a sum of reports distinguishes."""

MIN_SERVED_SHARE = 1.0 / 3.0
"""Least part of the overall rate at which a workspace is within its share. A
workspace that is served a quarter as often as all others counts as starved."""

MAX_LEVELS = 3.0
"""Largest share of a workspace in levels, so that callers who retry at once do
not raise the share of their workspace."""

START_WAIT_MS = 50.0
"""Time of releases that the unmet demand takes from which memory is scarce."""

START_REQUESTS = 2.0
"""Requests that the unmet demand exceeds when memory is scarce, so that a
single one does not start the sharing."""

END_LEVEL_SHARE = 0.5
"""Share of the start level below which memory is no longer scarce."""

END_HOLD_MS = 1_000
"""Time below that level after which the sharing ends; refused callers come
back within it."""

_MS_PER_S = 1000.0


def compute_fair_share(
    demands: Collection[float], capacity: float, unlisted: float = 0.0
) -> float:
    """Compute the level of max-min fair sharing.

    Each workspace gets its demand up to the level; what some leave unused
    raises the level of the others.

    Parameters
    ----------
    demands : collection of float
        Demand of each known workspace.
    capacity : float
        What there is to share.
    unlisted : float, optional
        Sum of the demands of other workspaces, each of which is at most as
        large as the smallest known one.

    Returns
    -------
    float
        Infinite while the capacity covers all demands.
    """
    demanding = sorted(demand for demand in demands if demand > 0)
    if not demanding or sum(demanding) + unlisted <= capacity:
        return math.inf
    # The unlisted workspaces are counted as if each had the smallest known
    # demand, which gives them the largest share of all possible counts.
    count = len(demanding) + unlisted / demanding[0]
    level = capacity / count
    if level < demanding[0]:
        return level
    remaining = capacity - unlisted
    for index, demand in enumerate(demanding):
        level = remaining / (len(demanding) - index)
        if demand >= level:
            break
        remaining -= demand
    return level


def compute_share(
    demand: float, level: float, capacity: float, total_demand: float
) -> float:
    """Compute the share of one workspace.

    Parameters
    ----------
    demand : float
        Demand of the workspace.
    level : float
        Level of max-min fair sharing.
    capacity, total_demand : float
        What there is to share, and the demand of all workspaces.

    Returns
    -------
    float
        The level, or what prevents the starvation of a large workspace.
    """
    if total_demand <= 0:
        return level
    served = demand * capacity / total_demand
    return max(level, min(MIN_SERVED_SHARE * served, MAX_LEVELS * level))


def compute_excess(demand: float, share: float) -> float:
    """Compute the part of a demand that exceeds a share, from 0 to 1."""
    if demand <= share:
        return 0.0
    return min(1.0, max(0.0, 1.0 - share / demand))


def select_largest(amounts: dict[int, float], count: int) -> dict[int, float]:
    """Select the largest amounts."""
    if len(amounts) <= count:
        return amounts
    return dict(
        heapq.nlargest(count, amounts.items(), key=lambda item: item[1])
    )


@attrs.define
class WorkspaceDemand:
    """Demand by workspace over the last second, bounded in size.

    When too many workspaces have demand, the smallest one is forgotten.
    """

    _sums: dict[int, float] = attrs.field(factory=dict, init=False)
    _buckets: collections.deque[tuple[int, dict[int, float]]] = attrs.field(
        factory=collections.deque, init=False
    )

    def add(self, key: int, tokens: float, now: int) -> None:
        """Add the demand of a request.

        Parameters
        ----------
        key : int
            Key of the workspace.
        tokens : float
            Tokens for which the request needs memory.
        now : int
            Milliseconds of the clock.
        """
        self._expire(now)
        if key not in self._sums and len(self._sums) >= MAX_TRACKED:
            self._forget(min(self._sums, key=lambda one: self._sums[one]))
        bucket = _find_bucket(now)
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append((bucket, {}))
        amounts = self._buckets[-1][1]
        amounts[key] = amounts.get(key, 0.0) + tokens
        self._sums[key] = self._sums.get(key, 0.0) + tokens

    def measure(self, now: int) -> dict[int, float]:
        """Return the demand by key in the second before a time."""
        self._expire(now)
        return dict(self._sums)

    def _expire(self, now: int) -> None:
        oldest = _find_bucket(now) - rates.BUCKETS
        has_expired = False
        while self._buckets and self._buckets[0][0] <= oldest:
            self._buckets.popleft()
            has_expired = True
        if has_expired:
            sums: dict[int, float] = {}
            for _, amounts in self._buckets:
                for key, amount in amounts.items():
                    sums[key] = sums.get(key, 0.0) + amount
            self._sums = sums

    def _forget(self, key: int) -> None:
        del self._sums[key]
        for _, amounts in self._buckets:
            amounts.pop(key, None)


@attrs.define
class Scarcity:
    """Whether the memory of a service is scarce, with hysteresis.

    Attributes
    ----------
    is_scarce : bool
        Whether it is scarce.
    """

    is_scarce: bool = False
    _unmet_at: int = attrs.field(default=0, init=False)

    def update(
        self,
        unmet_tokens: float,
        released_tokens: float,
        request_tokens: float,
        now: int,
    ) -> None:
        """Update whether the memory is scarce.

        Parameters
        ----------
        unmet_tokens : float
            Tokens of the requests that wait at all entries, and of those that
            were refused for lack of memory in the last second.
        released_tokens : float
            Tokens that are released per second.
        request_tokens : float
            Tokens of a usual request.
        now : int
            Milliseconds of the clock.
        """
        start = max(
            released_tokens * START_WAIT_MS / _MS_PER_S,
            START_REQUESTS * request_tokens,
        )
        if unmet_tokens > start:
            self.is_scarce = True
        if unmet_tokens > END_LEVEL_SHARE * start:
            self._unmet_at = now
        elif now - self._unmet_at > END_HOLD_MS:
            self.is_scarce = False


def _find_bucket(now: int) -> int:
    return now * rates.BUCKETS // rates.WINDOW_MS
