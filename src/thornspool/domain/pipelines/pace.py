"""How fast the tokens of one stream come, and when that is far too slow."""

from __future__ import annotations

import attrs

SLOW_FACTOR = 20.0
LEAST_SLOW_MS = 400.0
_NEEDED = 8
_SMOOTHING = 0.1


@attrs.define
class StreamPace:
    """Usual time between the chunks of one stream.

    A link that slows a hundredfold delays every token by less than the bound
    on a stall, so a stall alone would not tell: the caller would get each
    token, but a draft of seconds would take minutes.

    Attributes
    ----------
    usual_ms : float
        Smoothed time between chunks; waits that count as slow are left out.
    seen : int
        Number of waits that it was learnt from.
    last : int
        Monotonic milliseconds of the last chunk; -1 before the first.
    """

    usual_ms: float = 0.0
    seen: int = 0
    last: int = -1

    def note(self, now: int) -> None:
        """Learn from a chunk that came."""
        if self.last >= 0:
            self._learn(now - self.last)
        self.last = now

    def begin(self) -> None:
        """Begin an attempt; the wait for its first token is no pace."""
        self.last = -1

    def compute_bound(self) -> float | None:
        """Return the wait in milliseconds that is far too slow.

        Returns
        -------
        float or None
            None while too little was seen.
        """
        if self.seen < _NEEDED:
            return None
        return max(LEAST_SLOW_MS, SLOW_FACTOR * self.usual_ms)

    def _learn(self, waited: int) -> None:
        bound = self.compute_bound()
        if bound is not None and waited > bound:
            return
        self.seen += 1
        smoothing = max(_SMOOTHING, 1.0 / self.seen)
        self.usual_ms += smoothing * (waited - self.usual_ms)
