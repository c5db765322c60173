"""Who gives orders to engines, and when another entry takes over.

One entry holds a key under a lease. It may act only while it can tell by
its own clock, which counts suspended time, that the lease still runs. Others
take the key over when it is gone, or sooner when they have not heard its
holder; the write is conditional on the key's revision, so one of them wins.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from thornspool.domain.entries import view as view_module

LEASE_MS = 20_000
"""Length of an entry's registration; two renewals in a row may be lost.

It outlasts the store's usual outages, after which the whole fleet would have
to register anew at once. That an entry has died shows by its silence, well
before its lease ends.
"""

RENEW_MS = 6_000
"""Interval of renewals, which the store counts, for each entry."""

LEAD_LEASE_MS = 4_000
"""Length of the lease of the lead, which has one of its own.

An entry that hears nobody can't tell a dead holder from its own cut links;
it claims the lead when this has ended.
"""

LEAD_RENEW_MS = 1_300
"""Interval at which the holder renews the lead; two renewals may be lost."""

ACT_MS = 2_000
"""Time after the last renewal for which a holder acts.

An entry that takes the lead over from a silent holder does so 1.2 s after it
was last heard at the earliest, and orders under way take some 400 ms.
"""

TURN_MS = 250
"""Time by which each next candidate waits longer, so that usually only one
of them writes."""

TAKEOVER_SILENCE_MS = 1_200
"""Silence of a holder after which its key is taken over."""


@attrs.frozen
class Holder:
    """Who holds the key.

    Attributes
    ----------
    host, incarnation : str
        The entry.
    revision : int
        Revision at which the key was written.
    """

    host: str
    incarnation: str
    revision: int


@attrs.define
class Leadership:
    """What an entry knows of the lead.

    Attributes
    ----------
    incarnation : str
        This process.
    holder : Holder or None
        Who holds the key.
    vacant_since : int
        When it was seen to be free.
    renewed_at : int or None
        When the last renewal of an own lease that succeeded was sent; the
        holder renews that of the lead.
    """

    incarnation: str
    holder: Holder | None = None
    vacant_since: int = 0
    renewed_at: int | None = None

    def take_holder(self, holder: Holder | None, now: int) -> None:
        """Take the key as it stands in the store."""
        if holder is None and self.holder is not None:
            self.vacant_since = now
        self.holder = holder

    @property
    def is_own(self) -> bool:
        """Whether this entry holds the key, as far as it knows."""
        return (
            self.holder is not None
            and self.holder.incarnation == self.incarnation
        )

    def may_act(self, now: int) -> bool:
        """Tell whether this entry holds the lead for sure."""
        if not self.is_own or self.renewed_at is None:
            return False
        return now - self.renewed_at < ACT_MS

    def find_claim(
        self, view: view_module.View, candidates: Sequence[str], now: int
    ) -> int | None:
        """Find whether to claim the lead now.

        Parameters
        ----------
        view : view_module.View
            The other entries.
        candidates : sequence of str
            Hosts that may claim it, this one included.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        int or None
            Revision that the key must have, 0 for none; None for no claim.
        """
        if self.renewed_at is None or now - self.renewed_at > LEASE_MS:
            return None
        turn = sorted(candidates).index(view.own.host) * TURN_MS
        if self.holder is None:
            return 0 if now - self.vacant_since >= turn else None
        if self.is_own:
            return None
        if self.holder.host == view.own.host:
            # An earlier process of this host, which is gone.
            return self.holder.revision
        peer = view.peers.get(self.holder.host)
        if peer is None or peer.record.incarnation != self.holder.incarnation:
            return self.holder.revision
        silence = view.compute_silence(peer, now)
        if silence is None or view.is_isolated(now):
            return None
        if silence < TAKEOVER_SILENCE_MS + turn:
            return None
        return self.holder.revision
