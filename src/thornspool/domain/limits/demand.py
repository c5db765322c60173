"""What callers ask of one entry for one workspace, as smoothed rates."""

from __future__ import annotations

import attrs

from thornspool.domain.limits import buckets
from thornspool.domain.limits import messages

_SMOOTHING = 0.5


@attrs.define
class DemandMeter:
    """Counts since the last reading, and the rates read so far.

    Attributes
    ----------
    counted_from : int
        Monotonic milliseconds of the last reading.
    offered, refused : int
        Requests since then.
    charged : float
        Tokens since then.
    peak : int
        Most requests in flight since then.
    mean_tokens : float
        Recent tokens of a request.
    demand : Amounts or None
        The last reading.
    """

    counted_from: int
    offered: int = 0
    refused: int = 0
    charged: float = 0.0
    peak: int = 0
    mean_tokens: float = 0.0
    demand: messages.Amounts | None = None

    def record_tokens(self, tokens: int) -> None:
        """Note what a finished request generated."""
        self.charged += tokens
        self.mean_tokens += _SMOOTHING * (tokens - self.mean_tokens)

    def read(self, in_flight: int, now: int) -> messages.Amounts:
        """Turn the counts into rates and start to count anew.

        Refused requests count as if they had run: an entry that admits
        little would else be taken for one that is asked for little.
        """
        seconds = max(now - self.counted_from, 1) / buckets.MS_PER_S
        tokens = self.charged + self.refused * self.mean_tokens
        wanted = max(self.peak, in_flight) + self.refused
        measured = messages.Amounts(
            self.offered / seconds, tokens / seconds, float(wanted)
        )
        self.demand = _blend(self.demand or measured, measured)
        self.offered = self.refused = 0
        self.charged = 0.0
        self.peak = in_flight
        self.counted_from = now
        return self.demand


def _blend(old: messages.Amounts, new: messages.Amounts) -> messages.Amounts:
    def mix(one: float, other: float) -> float:
        return one + _SMOOTHING * (other - one)

    return messages.Amounts(
        mix(old.requests_per_s, new.requests_per_s),
        mix(old.tokens_per_s, new.tokens_per_s),
        mix(old.concurrency, new.concurrency),
    )
