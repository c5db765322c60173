"""Shares of the free engine memory that entries may use between two reports.

Load: many entries have requests waiting and see the same free engines.
Reports are up to 0.8 s old, so that together they would send more to an engine
than it has memory for, and each refused send would use a retry.
"""

from __future__ import annotations

import math

import attrs

_MS_PER_S = 1000.0


@attrs.frozen
class Supply:
    """Free memory of a service as this entry knows it.

    Attributes
    ----------
    free_tokens : float
        Tokens for which the engines had memory at the last reports.
    released_tokens : float
        Tokens that are released per second.
    age_ms : float
        Age of reports: what this entry knows is as old.
    urgent_tokens : float
        Tokens that more urgent requests of all entries need in this time.
    """

    free_tokens: float
    released_tokens: float
    age_ms: float
    urgent_tokens: float = 0.0

    @property
    def tokens(self) -> float:
        """Tokens that all entries may use within the age of reports."""
        released = self.released_tokens * self.age_ms / _MS_PER_S
        return max(0.0, self.free_tokens + released - self.urgent_tokens)


def compute_claimable(
    supply: Supply, own_demand: float, total_demand: float
) -> float:
    """Compute the tokens that this entry may use until the next report.

    Parameters
    ----------
    supply : Supply
        Free memory of the service.
    own_demand, total_demand : float
        Tokens of the requests of this entry and of all entries that wait or
        arrive until the next report.

    Returns
    -------
    float
        Infinite while there is memory for the demand of all entries.
    """
    if total_demand <= supply.tokens:
        return math.inf
    return supply.tokens * min(1.0, own_demand / total_demand)


def fits_claim(
    claimable: float, claimed: float, tokens: float, drawn: float
) -> bool:
    """Return whether a request fits into what this entry may use.

    Most shares are less than a request. They are rounded by a number that is
    drawn once within the age of reports, so that on average all entries
    together use what there is.

    Parameters
    ----------
    claimable, claimed : float
        Tokens that this entry may use, and has used, within the age of
        reports.
    tokens : float
        Tokens of the request.
    drawn : float
        Random number of at least 0 and below 1.
    """
    return claimed + drawn * tokens < claimable
