"""Token buckets, which limit a rate but allow short bursts."""

from __future__ import annotations

import math

import attrs

MS_PER_S = 1000.0
_TOLERANCE_TOKENS = 1e-6
"""Tokens that may be missing from an amount.

Sums of small gains miss whole numbers by rounding errors.
"""


@attrs.define
class TokenBucket:
    """Bucket that fills at a constant rate up to a burst size.

    Attributes
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Maximum number of tokens.
    level : float
        Tokens available at ``updated_at``; negative when tokens were
        reserved in advance.
    updated_at : int
        Monotonic milliseconds of the last update.
    """

    rate_per_s: float
    burst: float
    level: float
    updated_at: int = 0

    def refill(self, now: int) -> None:
        """Add the tokens gained since the last update."""
        elapsed = max(0, now - self.updated_at)
        gained = self.rate_per_s * elapsed / MS_PER_S
        self.level = min(self.burst, self.level + gained)
        self.updated_at = max(self.updated_at, now)

    def set_rate(self, rate_per_s: float, burst: float, now: int) -> None:
        """Change the rate; tokens over the new burst are discarded."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def compute_wait(self, amount: float, now: int) -> int | None:
        """Compute the wait until an amount of tokens is available.

        Returns
        -------
        int or None
            Milliseconds; None if the amount never becomes available at the
            current rate.
        """
        self.refill(now)
        missing = amount - self.level - _TOLERANCE_TOKENS
        if missing <= 0:
            return 0
        if self.rate_per_s <= 0:
            return None
        return math.ceil(missing * MS_PER_S / self.rate_per_s)

    def try_acquire(self, amount: float, now: int) -> bool:
        """Remove an amount if it is available; return whether it was."""
        return self.reserve(amount, now, 0) is not None

    def reserve(self, amount: float, now: int, max_wait_ms: int) -> int | None:
        """Remove an amount that becomes available within a given time.

        Parameters
        ----------
        amount : float
            Tokens to remove.
        now : int
            Monotonic milliseconds.
        max_wait_ms : int
            Maximum wait, in milliseconds.

        Returns
        -------
        int or None
            Milliseconds to wait before using the tokens; None if none were
            removed.
        """
        wait = self.compute_wait(amount, now)
        if wait is None or wait > max_wait_ms:
            return None
        self.level -= amount
        return wait


def build_bucket(rate_per_s: float, burst: float, now: int) -> TokenBucket:
    """Build a full bucket."""
    return TokenBucket(rate_per_s, burst, burst, now)
