"""State of the limits of one workspace on one entry."""

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
    """What an entry knows of one workspace.

    Attributes
    ----------
    limits : Limits
        Limits over all entries.
    meter : DemandMeter
        What callers ask for here.
    requests, tokens : TokenBucket
        What may be admitted here.
    share : Amounts or None
        Handed out by the owner until ``expires_at``, in milliseconds.
    owner_lost : bool
        Whether the owner was silent when last asked.
    in_flight : int
        Admitted requests that have not ended.
    reported_at, used_at : int
        Monotonic milliseconds of the last report and request.
    """

    limits: documents.Limits
    meter: demand.DemandMeter
    requests: buckets.TokenBucket
    tokens: buckets.TokenBucket
    share: messages.Amounts | None = None
    expires_at: int = 0
    owner_lost: bool = False
    in_flight: int = 0
    reported_at: int | None = None
    used_at: int = 0


@attrs.frozen
class Rate:
    """One limited rate of a workspace and its bucket.

    Attributes
    ----------
    bucket : TokenBucket
        Filled at the entry's part of the rate.
    limit, share : float
        Rates over all entries and of this one's share.
    sparse_per_s : float
        Equal part under which entries are too many for the limit.
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


def is_as_new(state: WorkspaceState, now: int) -> bool:
    """Say whether the state may be dropped without giving a burst anew."""
    for bucket in (state.requests, state.tokens):
        bucket.refill(now)
        if bucket.level < bucket.burst:
            return False
    return state.share is None
