"""Which entries serve, from the store's list and from what peers tell."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.entries import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

SILENCE_MS = 900
"""Silence after which a peer is left out of lookups.

Peers tell news every 200 ms; datagrams are lost now and then, and four in a
row are not.
"""

JOINING_MS = 1_500
"""Time for which an entry in the store's list counts before it was heard."""

FEW_ADDRESSES = 2
"""Least addresses that a caller is given where more are to be had; with one
alone he has nowhere to go when it dies."""


@attrs.define
class Peer:
    """Another entry.

    Attributes
    ----------
    record : messages.Record
        As it registered itself.
    listed_at : int
        When it was first seen in the list.
    heard_at : int or None
        When it was last heard.
    heard_stamp : int
        Its clock at that time, as it told it.
    state : messages.State
        What it told last.
    """

    record: messages.Record
    listed_at: int
    heard_at: int | None = None
    heard_stamp: int = 0
    state: messages.State = messages.State.SERVING


@attrs.define
class View:
    """All other entries, by host."""

    own: messages.Record
    peers: dict[str, Peer] = attrs.field(factory=dict)

    def take_record(self, record: messages.Record, now: int) -> None:
        """Take an entry of the store's list."""
        if record.host == self.own.host:
            return
        known = self.peers.get(record.host)
        if known is None or known.record != record:
            self.peers[record.host] = Peer(record, now)

    def remove(self, host: str) -> None:
        """Note that an entry's registration is gone."""
        self.peers.pop(host, None)

    def take_news(self, news: messages.News, now: int) -> Peer | None:
        """Note that a peer was heard; None for one that is not listed."""
        peer = self.peers.get(news.host)
        if peer is None or peer.record.incarnation != news.incarnation:
            return None
        peer.heard_at = now
        peer.heard_stamp = max(peer.heard_stamp, news.stamp)
        peer.state = news.state
        return peer

    def is_alive(self, peer: Peer, now: int) -> bool:
        """Tell whether a peer is believed to run."""
        if peer.heard_at is None:
            return now - peer.listed_at <= JOINING_MS
        return now - peer.heard_at <= SILENCE_MS

    def is_isolated(self, now: int) -> bool:
        """Tell whether no peer at all is heard, though there are some."""
        return bool(self.peers) and not any(
            self.is_alive(one, now) for one in self.peers.values()
        )

    def list_serving(self, now: int) -> list[messages.Record]:
        """List the other entries that callers may use."""
        return [
            one.record
            for one in self.peers.values()
            if one.state is messages.State.SERVING and self.is_alive(one, now)
        ]

    def count_entries(self, now: int) -> int:
        """Count the entries that run, this one included.

        Shares of what all entries may use are computed from it, so entries
        that may be running are counted in.
        """
        return 1 + len(self.peers)


def choose_addresses(
    serving: Iterable[messages.Record], domain: str, limit: int
) -> tuple[str, ...]:
    """Choose the addresses that a caller is given.

    Those of his own failure domain; others as well where it has too few.
    """
    ordered = sorted(
        serving, key=lambda one: (one.failure_domain != domain, one.host)
    )
    near = [one for one in ordered if one.failure_domain == domain]
    chosen = near if len(near) >= FEW_ADDRESSES else ordered
    return tuple(one.callers for one in chosen[:limit])
