"""Election of the leader, the entry that sends orders to engines.

The leader holds a key in the store under a lease. It may act only while its
own clock, which counts suspended time, shows that the lease is still valid.
Another entry claims the key when it is missing, or earlier when the leader is
unresponsive; the write is conditional on the key's revision, so that only one
claim succeeds.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from thornspool.domain.entries import view as view_module

LEASE_MS = 20_000
"""Length of the lease of an entry's registration.

Two renewals in a row may be lost. The lease is longer than the usual outages
of the store; otherwise the whole fleet would have to register again at once
after an outage. A dead entry is detected by its missing updates, well before
its lease expires.
"""

RENEW_MS = 6_000
"""Interval at which each entry renews its lease; the store counts renewals."""

LEADER_LEASE_MS = 4_000
"""Length of the leader's separate lease.

An entry that receives no updates can't distinguish a dead leader from a
failure of its own network links; it claims leadership when this lease has
expired.
"""

LEADER_RENEW_MS = 1_300
"""Interval at which the leader renews its lease; two renewals may be lost."""

ACTION_WINDOW_MS = 2_000
"""Time after the last renewal for which the leader may act.

An entry takes over from an unresponsive leader 1.2 s after the leader's last
update at the earliest, and orders in flight take some 400 ms.
"""

CLAIM_STAGGER_MS = 250
"""Additional delay of each next candidate, so that usually only one writes."""

TAKEOVER_TIMEOUT_MS = 1_200
"""Time without an update of the leader after which its key is claimed."""


@attrs.frozen
class Holder:
    """The entry that holds the leader key.

    Attributes
    ----------
    host, incarnation : str
        The entry and its process.
    revision : int
        Revision of the store at which the key was written.
    """

    host: str
    incarnation: str
    revision: int


@attrs.define
class Leadership:
    """Local copy of the leader key, and the age of the lease.

    Attributes
    ----------
    incarnation : str
        This process.
    holder : Holder or None
        The entry that holds the key; None while the key is missing.
    vacant_since : int
        Milliseconds of the clock at which the key was first seen missing.
    renewed_at : int or None
        When the last successful renewal of this entry's lease was sent: of
        the leader's lease where this entry is the leader.
    """

    incarnation: str
    holder: Holder | None = None
    vacant_since: int = 0
    renewed_at: int | None = None

    def apply_holder(self, holder: Holder | None, now: int) -> None:
        """Apply the key as read from the store."""
        if holder is None and self.holder is not None:
            self.vacant_since = now
        self.holder = holder

    @property
    def is_local(self) -> bool:
        """Whether the local copy shows this entry as the leader."""
        return (
            self.holder is not None
            and self.holder.incarnation == self.incarnation
        )

    def may_act(self, now: int) -> bool:
        """Return whether this entry is the leader and its lease is valid."""
        if not self.is_local or self.renewed_at is None:
            return False
        return now - self.renewed_at < ACTION_WINDOW_MS

    def find_claim(
        self, view: view_module.View, candidates: Sequence[str], now: int
    ) -> int | None:
        """Find whether to claim leadership now.

        Parameters
        ----------
        view : view_module.View
            The other entries.
        candidates : sequence of str
            Hosts that may become the leader, this one included.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        int or None
            Revision that the key must have, 0 for a missing key; None for no
            claim.
        """
        if self.renewed_at is None or now - self.renewed_at > LEASE_MS:
            return None
        delay = sorted(candidates).index(view.local.host) * CLAIM_STAGGER_MS
        if self.holder is None:
            return 0 if now - self.vacant_since >= delay else None
        if self.is_local:
            return None
        if self.holder.host == view.local.host:
            # An earlier process of this host, which has ended.
            return self.holder.revision
        peer = view.peers.get(self.holder.host)
        if peer is None or peer.record.incarnation != self.holder.incarnation:
            return self.holder.revision
        update_age = view.compute_update_age(peer, now)
        if update_age is None or view.is_isolated(now):
            return None
        if update_age < TAKEOVER_TIMEOUT_MS + delay:
            return None
        return self.holder.revision
