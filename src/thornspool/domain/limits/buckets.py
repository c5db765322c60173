"""Token buckets: the measure of a rate that allows short bursts."""

from __future__ import annotations

import math

import attrs

MS_PER_S = 1000.0
_TOLERANCE = 1e-6
"""Tokens; sums of small gains miss whole numbers by rounding."""


@attrs.define
class TokenBucket:
    """Tokens that fill at a steady rate up to a burst.

    Attributes
    ----------
    rate_per_s : float
        Tokens gained in a second.
    burst : float
        Most tokens held.
    level : float
        Tokens held at ``at``; under zero when they were lent in advance.
    at : int
        Monotonic milliseconds of the last change.
    """

    rate_per_s: float
    burst: float
    level: float
    at: int = 0

    def refill(self, now: int) -> None:
        """Add what was gained since the last change."""
        elapsed = max(0, now - self.at)
        gained = self.rate_per_s * elapsed / MS_PER_S
        self.level = min(self.burst, self.level + gained)
        self.at = max(self.at, now)

    def set_rate(self, rate_per_s: float, burst: float, now: int) -> None:
        """Change the rate; tokens over the new burst are dropped."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def compute_wait(self, amount: float, now: int) -> int | None:
        """Compute the wait until an amount is held.

        Returns
        -------
        int or None
            Milliseconds; None when it is never held at the present rate.
        """
        self.refill(now)
        missing = amount - self.level - _TOLERANCE
        if missing <= 0:
            return 0
        if self.rate_per_s <= 0:
            return None
        return math.ceil(missing * MS_PER_S / self.rate_per_s)

    def take(self, amount: float, now: int) -> bool:
        """Take an amount if it is held now."""
        return self.reserve(amount, now, 0) is not None

    def reserve(self, amount: float, now: int, longest_ms: int) -> int | None:
        """Take an amount that is held within a time.

        Parameters
        ----------
        amount : float
            Tokens to take.
        now : int
            Monotonic milliseconds.
        longest_ms : int
            Longest wait accepted, in milliseconds.

        Returns
        -------
        int or None
            Milliseconds to wait before use; None when nothing was taken.
        """
        wait = self.compute_wait(amount, now)
        if wait is None or wait > longest_ms:
            return None
        self.level -= amount
        return wait


def build_bucket(rate_per_s: float, burst: float, now: int) -> TokenBucket:
    """Build a full bucket."""
    return TokenBucket(rate_per_s, burst, burst, now)
