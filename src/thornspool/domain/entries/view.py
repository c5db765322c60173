"""Which entries serve, from the store's list and from what peers tell."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.entries import collectors
from thornspool.domain.entries import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

SILENCE_MS = 900
"""Silence after which a peer is left out of lookups.

Peers tell news every 200 ms; datagrams are lost now and then, and four in a
row are not.
"""

GROUP_SILENCE_MS = 1_400
"""The same in a fleet with collectors, who hear an entry every 400 ms."""

MESH_LIMIT = 12
"""Entries up to which each one tells all others; what each sends grows with
their number."""

ABSENT_MS = 2_000
"""Time for which an entry counts as absent after a collector said so."""

DOMAIN_SILENCE_MS = 3_000
"""Silence of all collectors of a failure domain after which its entries count
as gone; a collector that died has a successor within two seconds.

Their registrations outlive them by up to a lease.
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
    proof_at: int | None = None
    state: messages.State = messages.State.SERVING


@attrs.define
class Absence:
    """What collectors said of an entry that does not serve."""

    since: int
    until: int


@attrs.define
class View:
    """All other entries, by host.

    Attributes
    ----------
    own : messages.Record
        This entry.
    peers : dict of str to Peer
        The others.
    choice : collectors.Choice
        The collector of the own failure domain.
    absent : dict of str to Absence
        Entries that a collector does not hear, or that do not serve.
    heard_at : int
        When any peer was last heard.
    """

    own: messages.Record
    peers: dict[str, Peer] = attrs.field(factory=dict)
    choice: collectors.Choice = attrs.field(factory=collectors.Choice)
    absent: dict[str, Absence] = attrs.field(factory=dict)
    heard_at: int = 0
    _domains_heard: dict[str, int] = attrs.field(factory=dict)

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
        self.absent.pop(host, None)

    @property
    def is_mesh(self) -> bool:
        """Whether the fleet is small enough for all to tell all."""
        return len(self.peers) < MESH_LIMIT

    @property
    def collects(self) -> bool:
        """Whether this entry is the collector of its failure domain."""
        return self.choice.current == self.own.host

    @property
    def silence_ms(self) -> int:
        """Silence after which a peer that should be heard counts as gone."""
        return SILENCE_MS if self.is_mesh else GROUP_SILENCE_MS

    def choose_collector(self, now: int) -> None:
        """Choose the collector of the own failure domain anew."""
        near = [one.record.host for one in self.list_near()]
        self.choice.choose(
            [*near, self.own.host],
            self.own.host,
            lambda host: self.peers[host].heard_at,
            now,
            self.silence_ms,
        )

    def list_near(self) -> list[Peer]:
        """List the other entries of the own failure domain."""
        return self.list_domain(self.own.failure_domain)

    def list_domain(self, domain: str) -> list[Peer]:
        """List the other entries of a failure domain, by name."""
        return sorted(
            (
                one
                for one in self.peers.values()
                if one.record.failure_domain == domain
            ),
            key=lambda one: one.record.host,
        )

    def list_domains(self) -> list[str]:
        """List the failure domains of the other entries."""
        return sorted(
            {one.record.failure_domain for one in self.peers.values()}
        )

    def note_absent(
        self, teller: messages.Record, news: messages.News, now: int
    ) -> None:
        """Note which entries a collector does not hear.

        It told of all entries of its scope; those that it left out serve.
        """
        self._domains_heard[teller.failure_domain] = now
        told = set(news.absent)
        for host in told:
            known = self.absent.get(host)
            since = now if known is None or known.until < now else known.since
            self.absent[host] = Absence(since, now + ABSENT_MS)
        for host in [one for one in self.absent if one not in told]:
            peer = self.peers.get(host)
            inside = news.scope is messages.Scope.REST or (
                peer is not None
                and peer.record.failure_domain == teller.failure_domain
            )
            if inside:
                del self.absent[host]
        for peer in self.peers.values():
            self._note_present(peer, teller, news)

    def _note_present(
        self, peer: Peer, teller: messages.Record, news: messages.News
    ) -> None:
        """Note that an entry serves that a collector has not left out.

        An entry tells the others only once that it serves again. Where that
        datagram was lost, callers were not led there until it restarted.
        """
        inside = (
            peer.record.host != teller.host
            and peer.record.host not in news.absent
            and (
                news.scope is messages.Scope.REST
                or peer.record.failure_domain == teller.failure_domain
            )
        )
        if inside and peer.state is messages.State.STARTING:
            peer.state = messages.State.SERVING

    def take_news(self, news: messages.News, now: int) -> Peer | None:
        """Note that a peer was heard; None for one that is not listed."""
        peer = self.peers.get(news.host)
        if peer is None or peer.record.incarnation != news.incarnation:
            return None
        if self._is_deaf(now):
            # It was cut off itself: the others were not silent meanwhile.
            self.choice.since = now
        self.heard_at = now
        peer.heard_at = now
        if news.shut_out_ms > 0:
            self.choice.note_shut_out(news.host, now + news.shut_out_ms)
        peer.heard_stamp = max(peer.heard_stamp, news.stamp)
        peer.state = news.state
        peer.proof_at = None
        if news.proof_age_ms >= 0:
            peer.proof_at = now - news.proof_age_ms
        return peer

    def is_alive(self, peer: Peer, now: int) -> bool:
        """Tell whether a peer is believed to run."""
        if self._should_hear(peer):
            return self._is_heard(peer, now)
        if self._is_domain_silent(peer, now):
            return False
        absence = self.absent.get(peer.record.host)
        # Its lease in the store still runs, and nobody says otherwise.
        return absence is None or absence.until < now

    def _is_domain_silent(self, peer: Peer, now: int) -> bool:
        """Tell whether nobody of a peer's failure domain is heard.

        Collectors hear each other, and tell their entries who is absent.
        """
        domain = peer.record.failure_domain
        if not self.collects or domain == self.own.failure_domain:
            return False
        if self._can_not_tell(now):
            return False
        last = max(
            self._domains_heard.get(domain, 0),
            self.choice.since,
            peer.listed_at,
        )
        return now - last > DOMAIN_SILENCE_MS

    def _should_hear(self, peer: Peer) -> bool:
        """Tell whether a peer that runs tells this entry news."""
        if self.is_mesh:
            return True
        if peer.record.failure_domain != self.own.failure_domain:
            return False
        return self.collects or peer.record.host == self.choice.current

    def _is_heard(self, peer: Peer, now: int) -> bool:
        if not self.is_mesh and self._can_not_tell(now):
            return True
        if peer.heard_at is None:
            return now - peer.listed_at <= JOINING_MS
        return now - peer.heard_at <= self.silence_ms

    def _can_not_tell(self, now: int) -> bool:
        """Tell whether silence proves nothing yet.

        Those that told another collector before are yet to turn to this
        one; and an entry that hears nobody at all is cut off itself. One
        that had been cut off for 8 s told the whole fleet that all entries
        of its failure domain were absent.
        """
        return now - self.choice.since <= JOINING_MS or self._is_deaf(now)

    def _is_deaf(self, now: int) -> bool:
        return now - self.heard_at > self.silence_ms

    def compute_silence(self, peer: Peer, now: int) -> int | None:
        """Return how long a peer has not been heard; None for unknown."""
        if self._should_hear(peer):
            return None if peer.heard_at is None else now - peer.heard_at
        absence = self.absent.get(peer.record.host)
        if absence is None or absence.until < now:
            return 0
        return now - absence.since + self.silence_ms

    def is_isolated(self, now: int) -> bool:
        """Tell whether no peer at all is heard, though there are some."""
        return bool(self.peers) and not any(
            self.is_alive(one, now) for one in self.peers.values()
        )

    def is_anyone_current(self, bound_ms: float, now: int) -> bool:
        """Tell whether another entry's copy of the store may be current.

        Parameters
        ----------
        bound_ms : float
            Age of a proof up to which a copy is current.
        now : int
            Milliseconds.

        Returns
        -------
        bool
            True also where there are others, and none of them is heard.
        """
        heard = [
            one
            for one in self.peers.values()
            if one.heard_at is not None
            and now - one.heard_at <= self.silence_ms
        ]
        if not heard:
            return bool(self.peers)
        return any(
            one.proof_at is not None and now - one.proof_at <= bound_ms
            for one in heard
        )

    def list_serving(self, now: int) -> list[messages.Record]:
        """List the other entries that callers may use."""
        return [
            one.record
            for one in self.peers.values()
            if one.state is messages.State.SERVING and self.is_alive(one, now)
        ]

    def count_entries(self) -> int:
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
