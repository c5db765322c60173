"""Freshness of the local copy of the store.

A withdrawn key must stop working within a bound, also on a host that receives
nothing more from the store. As such a host can't be notified, it may act on
its copy only while the copy has recently been confirmed to be current: by an
answer of the store, dated at the sending of its call, or by a peer whose copy
has the same revision, dated at the last stamp of this entry that the peer had
received.
"""

from __future__ import annotations

import attrs

BOUND_SHARE = 0.85
"""Share of a bound up to which the age of the copy supports a decision.

A bound runs from the store's acknowledgement to the sending of a request,
and a confirmation is dated at the sending of its call, so 1.0 would be safe
with clocks that run at the same rate. The remainder covers late timers and
clock drift.
"""

STORE = 'store'
"""Source of a confirmation by an answer of the store."""


@attrs.define
class Freshness:
    """Time at which the copy was last confirmed to be current.

    Attributes
    ----------
    confirmed_at : int or None
        Milliseconds of the clock that counts suspended time; None before
        the first confirmation.
    source : str
        What confirmed it: ``store`` or the host of a peer.
    is_withheld : bool
        Whether the copy lacks a change that it has received, so that nothing
        can confirm it.
    """

    confirmed_at: int | None = None
    source: str = ''
    is_withheld: bool = False

    def confirm(self, at: int, source: str = STORE) -> None:
        """Confirm that the copy holds everything acknowledged before a time.

        Parameters
        ----------
        at : int
            Milliseconds of the clock; a time before the last one is ignored,
            and so is each time while confirmations are withheld.
        source : str, optional
            ``store`` or the host of a peer.
        """
        if self.is_withheld:
            return
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at
            self.source = source

    def compute_age(self, now: int) -> int | None:
        """Return the age in milliseconds; None before a confirmation."""
        if self.confirmed_at is None:
            return None
        return max(0, now - self.confirmed_at)

    def is_within(self, bound_ms: float, now: int) -> bool:
        """Return whether the age of the copy is within a bound."""
        age = self.compute_age(now)
        return age is not None and age <= bound_ms
