"""Memory that is kept for more urgent requests of a service.

Load: for seconds at a time, requests of several priorities need more memory
than the engines have. Without headroom, a less urgent request at one entry
takes the memory that an urgent one at another entry needs a moment later.
"""

from __future__ import annotations

import math

import attrs

from thornspool.domain.paths import reservations

REPORT_AGE_MS = 800.0
"""Age of the amounts that other entries report: two intervals of updates
through collectors."""

MAX_KEPT_SHARE = 0.4
"""Largest share of the usable memory that is kept.

The less urgent requests can then use 0.54 of the memory: none of them is
refused while less than half of it is in use.
"""

DEVIATIONS = 2.0
"""Standard deviations of the urgent arrivals that the headroom covers."""

EQUAL_RANK_SHARE = 0.3
"""Share of the less urgent requests that compete at the most urgent rank, so
that none of them starves."""

_MS_PER_S = 1000.0


@attrs.frozen
class UrgentDemand:
    """Demand of the requests that are more urgent than a rank.

    Attributes
    ----------
    queued_tokens : float
        Tokens of the requests that wait at all entries.
    arrived_tokens : float
        Tokens of the requests that arrived in the last second.
    arrivals : float
        Number of requests that arrived in the last second.
    released_tokens : float
        Tokens that all requests of the service released in the last second.
    """

    queued_tokens: float
    arrived_tokens: float
    arrivals: float
    released_tokens: float


def compute_kept_tokens(demand: UrgentDemand) -> float:
    """Compute the tokens of memory that are kept for more urgent requests.

    They cover the requests that wait, the arrivals beyond the releases until
    the next reports, and the variation of these arrivals.

    Parameters
    ----------
    demand : UrgentDemand
        Demand of the more urgent requests.

    Returns
    -------
    float
        Tokens over the whole path; 0 if there is no such demand.
    """
    if demand.arrivals <= 0:
        return demand.queued_tokens
    seconds = REPORT_AGE_MS / _MS_PER_S
    mean_tokens = demand.arrived_tokens / demand.arrivals
    excess = max(0.0, demand.arrived_tokens - demand.released_tokens) * seconds
    deviation = mean_tokens * math.sqrt(demand.arrivals * seconds)
    return demand.queued_tokens + excess + DEVIATIONS * deviation


def compute_reserved_limit(
    kept_tokens: float, capacity_tokens: float
) -> float:
    """Compute the share of each engine's memory that a request may reserve.

    Parameters
    ----------
    kept_tokens : float
        Tokens that are kept for more urgent requests.
    capacity_tokens : float
        Tokens for which all engines of the service have memory.

    Returns
    -------
    float
        At most ``reservations.MAX_RESERVED_SHARE``.
    """
    usable = reservations.MAX_RESERVED_SHARE
    if kept_tokens <= 0:
        return usable
    if capacity_tokens <= 0:
        return usable * (1.0 - MAX_KEPT_SHARE)
    kept_share = min(MAX_KEPT_SHARE * usable, kept_tokens / capacity_tokens)
    return usable - kept_share
