"""Demand of callers for one workspace at one entry, as smoothed rates."""

from __future__ import annotations

import attrs

from thornspool.domain.limits import buckets
from thornspool.domain.limits import messages

_SMOOTHING = 0.5


@attrs.define
class DemandMeter:
    """Counts since the last sample, and the demand computed from them.

    Attributes
    ----------
    sampled_at : int
        Monotonic milliseconds of the last sample.
    offered, refused : int
        Requests received and requests refused since then.
    generated_tokens : float
        Tokens generated since then.
    peak_in_flight : int
        Maximum number of requests in flight since then.
    mean_tokens : float
        Smoothed number of tokens of a request.
    demand : Amounts or None
        Smoothed demand as of the last sample.
    """

    sampled_at: int
    offered: int = 0
    refused: int = 0
    generated_tokens: float = 0.0
    peak_in_flight: int = 0
    mean_tokens: float = 0.0
    demand: messages.Amounts | None = None

    def record_tokens(self, tokens: int) -> None:
        """Record the tokens that a finished request generated."""
        self.generated_tokens += tokens
        self.mean_tokens += _SMOOTHING * (tokens - self.mean_tokens)

    def sample(self, in_flight: int, now: int) -> messages.Amounts:
        """Compute the demand from the counts and reset them.

        Refused requests count as if they had run. Otherwise an entry that
        admits few requests would report that it receives few.

        Parameters
        ----------
        in_flight : int
            Requests in flight now.
        now : int
            Monotonic milliseconds.
        """
        seconds = max(now - self.sampled_at, 1) / buckets.MS_PER_S
        tokens = self.generated_tokens + self.refused * self.mean_tokens
        concurrency = max(self.peak_in_flight, in_flight) + self.refused
        measured = messages.Amounts(
            self.offered / seconds, tokens / seconds, float(concurrency)
        )
        self.demand = _smooth(self.demand or measured, measured)
        self.offered = self.refused = 0
        self.generated_tokens = 0.0
        self.peak_in_flight = in_flight
        self.sampled_at = now
        return self.demand


def _smooth(old: messages.Amounts, new: messages.Amounts) -> messages.Amounts:
    def interpolate(one: float, other: float) -> float:
        return one + _SMOOTHING * (other - one)

    return messages.Amounts(
        interpolate(old.requests_per_s, new.requests_per_s),
        interpolate(old.tokens_per_s, new.tokens_per_s),
        interpolate(old.concurrency, new.concurrency),
    )
