"""Retry budget: limits retries to a share of recent successes.

Retries multiply the load of a target group when its capacity is lowest: the
number of attempts grows while the number of answers falls. With a budget, the
attempts stay within requests + share * successes + burst + floor * time.
"""

from __future__ import annotations

import attrs

from thornspool.domain.limits import buckets

DEFAULT_SHARE = 0.1
DEFAULT_FLOOR_PER_S = 0.5
DEFAULT_BURST = 10.0


@attrs.define
class RetryBudget:
    """Tokens of one target group; a retry costs one token.

    Attributes
    ----------
    share : float
        Tokens added per success.
    bucket : TokenBucket
        Bucket that is refilled at the floor rate. Its burst limits how many
        tokens earlier successes can accumulate.
    """

    share: float
    bucket: buckets.TokenBucket

    def record_success(self, now: int) -> None:
        """Record a success at a time in monotonic milliseconds."""
        self.bucket.refill(now)
        level = self.bucket.level + self.share
        self.bucket.level = min(self.bucket.burst, level)

    def spend(self, now: int) -> bool:
        """Spend a token on a retry; return False without one."""
        return self.bucket.try_acquire(1.0, now)


def build_budget(
    now: int,
    share: float = DEFAULT_SHARE,
    floor_per_s: float = DEFAULT_FLOOR_PER_S,
    burst: float = DEFAULT_BURST,
) -> RetryBudget:
    """Build a full budget.

    Parameters
    ----------
    now : int
        Monotonic milliseconds.
    share : float, optional
        Tokens added per success.
    floor_per_s : float, optional
        Tokens added per second.
    burst : float, optional
        Maximum number of tokens.
    """
    bucket = buckets.build_bucket(floor_per_s, burst, now)
    return RetryBudget(share, bucket)
