"""Proof of how current the local copy of the store is.

A key that operators withdrew must stop working within a bound also on a
host that the store has stopped talking to. Such a host can't be told, so it
may act on its copy only while something proves that the copy was current a
short while ago: an answer of the store, dated at the moment at which its
call was sent, or a peer's proof of the same revision, dated at the moment
at which that peer had last heard a stamp of ours.
"""

from __future__ import annotations

import attrs

KEY_AGE_SHARE = 0.85
"""Share of the bound for withdrawn keys after which keyed requests stop.

The bound runs from the store's acknowledgement to the moment at which a
request is sent, and the proof is dated at its sending, so 1.0 would be safe
with clocks that run alike; the rest covers timers and clocks that drift.
"""


@attrs.define
class Proof:
    """When the copy was last known to be current.

    Attributes
    ----------
    current_at : int or None
        Milliseconds of the clock that counts suspended time; None before
        the first proof.
    """

    current_at: int | None = None

    def renew(self, at: int) -> None:
        """Note that the copy held everything acknowledged before a time."""
        if self.current_at is None or at > self.current_at:
            self.current_at = at

    def compute_age(self, now: int) -> int | None:
        """Return the age in milliseconds; None without any proof."""
        if self.current_at is None:
            return None
        return max(0, now - self.current_at)

    def is_within(self, bound_ms: float, now: int) -> bool:
        """Tell whether the copy is proved to be younger than a bound."""
        age = self.compute_age(now)
        return age is not None and age <= bound_ms
