"""A budget that keeps retries a share of recent successes.

Retries multiply load exactly when a target group has least capacity; one
notices by attempts that grow while answers fall. With a budget the
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
    """Tokens of one target group; a retry costs one.

    Attributes
    ----------
    share : float
        Tokens gained with each success.
    bucket : TokenBucket
        Holds the tokens and gains the floor; its burst forgets successes
        that are not recent.
    """

    share: float
    bucket: buckets.TokenBucket

    def record_success(self, now: int) -> None:
        """Note a success at a time in monotonic milliseconds."""
        self.bucket.refill(now)
        level = self.bucket.level + self.share
        self.bucket.level = min(self.bucket.burst, level)

    def spend(self, now: int) -> bool:
        """Take the price of one retry; False when it is not there."""
        return self.bucket.take(1.0, now)


def build_budget(
    now: int,
    share: float = DEFAULT_SHARE,
    floor_per_s: float = DEFAULT_FLOOR_PER_S,
    burst: float = DEFAULT_BURST,
) -> RetryBudget:
    """Build a full budget."""
    bucket = buckets.build_bucket(floor_per_s, burst, now)
    return RetryBudget(share, bucket)
