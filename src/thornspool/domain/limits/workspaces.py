"""State of the limits of one workspace at one entry."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.limits import messages
from thornspool.domain.limits import shares

if typing.TYPE_CHECKING:
    from thornspool.domain.configuration import documents
    from thornspool.domain.limits import buckets
    from thornspool.domain.limits import demand

NO_SHARE = messages.Amounts()


@attrs.define
class WorkspaceState:
    """Limits, share and counters of one workspace at this entry.

    Attributes
    ----------
    limits : Limits
        Limits over all entries.
    meter : DemandMeter
        Demand of the callers of this entry.
    requests, tokens : TokenBucket
        Buckets that limit what this entry admits.
    share : Amounts or None
        Share granted by the owner; None without a current grant.
    expires_at : int
        Monotonic milliseconds at which the share expires.
    is_owner_unreachable : bool
        Whether the owner did not answer the last report.
    in_flight : int
        Admitted requests that have not ended.
    reported_at, used_at : int
        Monotonic milliseconds of the last report and of the last request.
    """

    limits: documents.Limits
    meter: demand.DemandMeter
    requests: buckets.TokenBucket
    tokens: buckets.TokenBucket
    share: messages.Amounts | None = None
    expires_at: int = 0
    is_owner_unreachable: bool = False
    in_flight: int = 0
    reported_at: int | None = None
    used_at: int = 0


@attrs.frozen
class Rate:
    """One limited rate of a workspace and its bucket.

    Attributes
    ----------
    bucket : TokenBucket
        Bucket that fills at this entry's part of the rate.
    limit, share : float
        Rate over all entries, and rate that is granted to this entry.
    sparse_per_s : float
        Equal share per entry below which the limit is too small to be
        divided among the entries.
    """

    bucket: buckets.TokenBucket
    limit: float
    share: float
    sparse_per_s: float


def list_rates(state: WorkspaceState) -> list[Rate]:
    """Return the rates of a workspace that are limited."""
    limits = state.limits
    share = state.share or NO_SHARE
    rates = []
    if limits.requests_per_s is not None:
        rates.append(
            Rate(
                state.requests,
                limits.requests_per_s,
                share.requests_per_s,
                shares.SPARSE_REQUESTS_PER_S,
            )
        )
    if limits.tokens_per_s is not None:
        rates.append(
            Rate(
                state.tokens,
                limits.tokens_per_s,
                share.tokens_per_s,
                shares.SPARSE_TOKENS_PER_S,
            )
        )
    return rates


def is_unused(state: WorkspaceState, now: int) -> bool:
    """Return whether the state equals that of an unused workspace.

    Only then may it be dropped: new buckets are full, so callers would
    otherwise get another burst.
    """
    for bucket in (state.requests, state.tokens):
        bucket.refill(now)
        if bucket.level < bucket.burst:
            return False
    return state.share is None
