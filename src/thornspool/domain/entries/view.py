"""View of the other entries, from the store's list and from state updates."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.entries import collectors
from thornspool.domain.entries import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

MESH_TIMEOUT_MS = 900
"""Time without an update after which a peer is excluded from lookups.

Peers send an update every 200 ms. Single datagrams are lost occasionally, but
not four in a row.
"""

COLLECTOR_TIMEOUT_MS = 1_400
"""The same in a fleet with collectors, which receive updates every 400 ms."""

MESH_LIMIT = 12
"""Number of entries up to which each one sends its updates to all others.

The traffic of each entry in such a mesh grows with the number of entries.
"""

ABSENCE_VALID_MS = 2_000
"""Time for which an absence that a collector reports is valid."""

COMPLETE_SUMS_MS = 1_000
"""Time after the choice of a collector from which its sums are complete: its
followers and the other collectors report to it every 200 to 400 ms."""

DOMAIN_TIMEOUT_MS = 3_000
"""Time without an update of any collector of a failure domain after which the
entries of the domain count as dead.

A dead collector is replaced within two seconds. The registrations of dead
entries remain in the store for up to the length of a lease.
"""

JOIN_GRACE_MS = 1_500
"""Time for which a listed entry counts as alive before its first update."""

MISSED_RETRIES_MS = 1_500
"""Time without an update of a peer after which it sends all retries again.

An update lists the retries of the last 3 s, some of which have taken a while
to reach the peer.
"""

LAPSE_RETENTION_MS = 10_000
"""Time for which an entry that runs without a registration remains a peer.

Its lease has ended while the store was unreachable, and it registers again
once the store responds to it.
"""

MIN_LOCAL_ADDRESSES = 2
"""Minimum number of addresses of the caller's failure domain; with fewer,
those of other domains are added.

A caller with a single address has no alternative when that entry dies.
"""


@attrs.define
class Peer:
    """Another entry.

    Attributes
    ----------
    record : messages.Record
        Its registration.
    listed_at : int
        When the registration was first seen in the store's list.
    last_update_at : int or None
        When its last update was received.
    last_stamp : int
        Latest stamp of its clock in an update.
    confirmed_at : int or None
        When its copy of the store was last confirmed to be current.
    state : messages.State
        State in its last update.
    has_links : bool
        Whether it reached servers at its last update.
    knows_retries : bool
        Whether it needs only the latest retries from this entry.
    has_missed_retries : bool
        Whether its updates may have listed retries that this entry has not
        received, so that it has to send all.
    lapsed_at : int or None
        When its registration ended while it was alive; None for a registered
        entry.
    """

    record: messages.Record
    listed_at: int
    last_update_at: int | None = None
    last_stamp: int = 0
    confirmed_at: int | None = None
    state: messages.State = messages.State.SERVING
    has_links: bool = True
    knows_retries: bool = False
    has_missed_retries: bool = True
    lapsed_at: int | None = None


@attrs.define
class Absence:
    """Absence of an entry, as reported by collectors."""

    since: int
    until: int


@attrs.define
class View:
    """All other entries, by host.

    Attributes
    ----------
    local : messages.Record
        Registration of this entry.
    peers : dict of str to Peer
        The other entries.
    collector_choice : collectors.CollectorChoice
        The collector of the local failure domain.
    absent : dict of str to Absence
        Entries that a collector reports as unresponsive or not serving.
    last_update_at : int
        When the last update of any peer was received.
    newest_version : int
        Newest version of the configuration that a peer has announced.
    """

    local: messages.Record
    peers: dict[str, Peer] = attrs.field(factory=dict)
    collector_choice: collectors.CollectorChoice = attrs.field(
        factory=collectors.CollectorChoice
    )
    absent: dict[str, Absence] = attrs.field(factory=dict)
    last_update_at: int = 0
    newest_version: int = 0
    _domain_updates: dict[str, int] = attrs.field(factory=dict)

    def apply_record(self, record: messages.Record, now: int) -> None:
        """Apply a registration of the store's list."""
        if record.host == self.local.host:
            return
        known = self.peers.get(record.host)
        if known is None or known.record != record:
            self.peers[record.host] = Peer(record, now)
        else:
            known.lapsed_at = None

    def remove(self, host: str, now: int) -> None:
        """Remove an entry whose registration no longer exists.

        An entry that is alive remains a peer for a while, since only its
        lease has ended; so does one that is leaving and finishes its requests.
        Without it, the others would share the limits of the fleet among fewer
        entries than use them.
        """
        peer = self.peers.get(host)
        if peer is None:
            return
        if self.is_alive(peer, now):
            peer.lapsed_at = now
        else:
            self._forget(host)

    def expire_lapsed(self, now: int) -> None:
        """Remove the entries that have not registered again in time."""
        expired = [
            host
            for host, peer in self.peers.items()
            if peer.lapsed_at is not None
            and now - peer.lapsed_at > LAPSE_RETENTION_MS
        ]
        for host in expired:
            self._forget(host)

    def _forget(self, host: str) -> None:
        del self.peers[host]
        self.absent.pop(host, None)

    @property
    def is_mesh(self) -> bool:
        """Whether the fleet is small enough for updates from all to all."""
        return len(self.peers) < MESH_LIMIT

    @property
    def is_collector(self) -> bool:
        """Whether this entry is the collector of its failure domain."""
        return self.collector_choice.current == self.local.host

    @property
    def update_timeout_ms(self) -> int:
        """Time in milliseconds after which a peer counts as unresponsive."""
        return MESH_TIMEOUT_MS if self.is_mesh else COLLECTOR_TIMEOUT_MS

    def choose_collector(self, now: int) -> None:
        """Choose the collector of the local failure domain."""
        peers = [one.record.host for one in self.list_domain_peers()]
        self.collector_choice.choose(
            [*peers, self.local.host],
            self.local.host,
            lambda host: self.peers[host].last_update_at,
            now,
            self.update_timeout_ms,
        )

    def list_domain_peers(self) -> list[Peer]:
        """List the other entries of the local failure domain."""
        return self.list_domain(self.local.failure_domain)

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

    def list_silent_domains(self, now: int) -> frozenset[str]:
        """List the failure domains most of whose entries are not alive.

        What their entries reserve is unknown.

        Parameters
        ----------
        now : int
            Milliseconds of the clock.
        """
        alive: dict[str, list[bool]] = {}
        for peer in self.peers.values():
            alive.setdefault(peer.record.failure_domain, []).append(
                self.is_alive(peer, now)
            )
        return frozenset(
            domain
            for domain, found in alive.items()
            if 2 * sum(found) < len(found)
        )

    def record_absences(
        self,
        collector: messages.Record,
        update: messages.StateUpdate,
        now: int,
    ) -> None:
        """Record which entries a collector reports as absent.

        The collector lists all absent entries of its scope; every other entry
        in the scope serves.

        Parameters
        ----------
        collector : messages.Record
            The collector.
        update : messages.StateUpdate
            Its state update.
        now : int
            Milliseconds of the clock.
        """
        self._domain_updates[collector.failure_domain] = now
        reported = set(update.absent_hosts)
        for host in reported:
            known = self.absent.get(host)
            since = now if known is None or known.until < now else known.since
            self.absent[host] = Absence(since, now + ABSENCE_VALID_MS)
        for host in [one for one in self.absent if one not in reported]:
            peer = self.peers.get(host)
            inside = update.scope is messages.Scope.REST or (
                peer is not None
                and peer.record.failure_domain == collector.failure_domain
            )
            if inside:
                del self.absent[host]
        for peer in self.peers.values():
            self._mark_present(peer, collector, update)

    def _mark_present(
        self,
        peer: Peer,
        collector: messages.Record,
        update: messages.StateUpdate,
    ) -> None:
        """Mark an entry as serving and linked where a collector confirms it.

        An entry announces only once that it serves again, and to its collector
        alone that it reaches servers again.
        """
        inside = (
            peer.record.host != collector.host
            and peer.record.host not in update.absent_hosts
            and (
                update.scope is messages.Scope.REST
                or peer.record.failure_domain == collector.failure_domain
            )
        )
        if not inside:
            return
        peer.has_links = True
        if peer.state is messages.State.STARTING:
            peer.state = messages.State.SERVING

    def apply_update(
        self, update: messages.StateUpdate, now: int
    ) -> Peer | None:
        """Apply a state update; return None for a sender that isn't listed."""
        peer = self.peers.get(update.host)
        if peer is None or peer.record.incarnation != update.incarnation:
            return None
        if self._lacks_updates(now):
            # This entry was isolated; the missing updates are no sign that
            # its collector failed.
            self.collector_choice.chosen_at = now
        self.last_update_at = now
        if (
            peer.last_update_at is not None
            and now - peer.last_update_at > MISSED_RETRIES_MS
        ):
            peer.has_missed_retries = True
        if update.retries_known_ms > 0:
            peer.has_missed_retries = False
        peer.last_update_at = now
        if update.rejection_ms > 0:
            self.collector_choice.record_rejection(
                update.host, now + update.rejection_ms
            )
        peer.last_stamp = max(peer.last_stamp, update.stamp)
        peer.state = update.state
        peer.has_links = not update.links_lost
        peer.knows_retries = update.knows_retries
        self.newest_version = max(
            self.newest_version, update.configuration_version
        )
        peer.confirmed_at = None
        if update.proof_age_ms >= 0:
            peer.confirmed_at = now - update.proof_age_ms
        return peer

    def is_alive(self, peer: Peer, now: int) -> bool:
        """Return whether a peer counts as alive."""
        if self._is_direct_sender(peer):
            return self._is_responsive(peer, now)
        if self._is_domain_unresponsive(peer, now):
            return False
        absence = self.absent.get(peer.record.host)
        # Its lease is valid, and no collector reports it as absent.
        return absence is None or absence.until < now

    def _is_domain_unresponsive(self, peer: Peer, now: int) -> bool:
        """Return whether no entry of a peer's failure domain sends updates.

        Collectors send their updates to each other, and report absent entries
        to the entries of their own domains.
        """
        domain = peer.record.failure_domain
        if not self.is_collector or domain == self.local.failure_domain:
            return False
        if self._is_detection_paused(now):
            return False
        last = max(
            self._domain_updates.get(domain, 0),
            self.collector_choice.chosen_at,
            peer.listed_at,
        )
        return now - last > DOMAIN_TIMEOUT_MS

    def has_complete_sums(self, now: int) -> bool:
        """Return whether sums over all entries can be complete.

        For some 400 ms, a new collector lacks the reports of other domains
        and part of its own, and so do the sums that it sends.
        """
        return now - self.collector_choice.chosen_at > COMPLETE_SUMS_MS

    def _is_direct_sender(self, peer: Peer) -> bool:
        """Return whether a live peer sends its updates to this entry."""
        if self.is_mesh:
            return True
        if peer.record.failure_domain != self.local.failure_domain:
            return False
        return (
            self.is_collector
            or peer.record.host == self.collector_choice.current
        )

    def _is_responsive(self, peer: Peer, now: int) -> bool:
        if not self.is_mesh and self._is_detection_paused(now):
            return True
        if peer.last_update_at is None:
            return now - peer.listed_at <= JOIN_GRACE_MS
        return now - peer.last_update_at <= self.update_timeout_ms

    def _is_detection_paused(self, now: int) -> bool:
        """Return whether a missing update is not yet a sign of a failure.

        After a change of collector, entries need time to send their updates
        to the new one. An isolated entry can't judge its peers: one that had
        been isolated for 8 s reported to the whole fleet that all entries of
        its failure domain were absent.
        """
        return (
            now - self.collector_choice.chosen_at <= JOIN_GRACE_MS
            or self._lacks_updates(now)
        )

    def _lacks_updates(self, now: int) -> bool:
        return now - self.last_update_at > self.update_timeout_ms

    def compute_update_age(self, peer: Peer, now: int) -> int | None:
        """Return the time since a peer's last update; None for unknown."""
        if self._is_direct_sender(peer):
            return (
                None
                if peer.last_update_at is None
                else now - peer.last_update_at
            )
        absence = self.absent.get(peer.record.host)
        if absence is None or absence.until < now:
            return 0
        return now - absence.since + self.update_timeout_ms

    def is_isolated(self, now: int) -> bool:
        """Return whether there are peers, and none of them counts as alive."""
        return bool(self.peers) and not any(
            self.is_alive(one, now) for one in self.peers.values()
        )

    def has_current_peer(self, bound_ms: float, now: int) -> bool:
        """Return whether another entry's copy of the store may be current.

        Parameters
        ----------
        bound_ms : float
            Age in milliseconds up to which a copy is current.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        bool
            True also where there are peers, and all of them are
            unresponsive.
        """
        responsive = [
            one
            for one in self.peers.values()
            if one.last_update_at is not None
            and now - one.last_update_at <= self.update_timeout_ms
        ]
        if not responsive:
            return bool(self.peers)
        return any(
            one.confirmed_at is not None and now - one.confirmed_at <= bound_ms
            for one in responsive
        )

    def list_serving(self, now: int) -> list[messages.Record]:
        """List the other entries to which callers may send requests."""
        return [
            one.record
            for one in self.peers.values()
            if one.state is messages.State.SERVING and self.is_alive(one, now)
        ]

    def list_linked(self, now: int) -> list[messages.Record]:
        """List the other serving entries that reach servers."""
        return [
            record
            for record in self.list_serving(now)
            if self.peers[record.host].has_links
        ]

    def count_entries(self) -> int:
        """Count the peers and this entry.

        Shares of fleet-wide limits are computed from this number, so entries
        that may still be running are included.
        """
        return 1 + len(self.peers)


def choose_addresses(
    serving: Iterable[messages.Record], domain: str, limit: int
) -> tuple[str, ...]:
    """Choose the addresses that are returned to a caller.

    The addresses of the caller's failure domain; those of other domains as
    well where it has too few.

    Parameters
    ----------
    serving : iterable of messages.Record
        Entries that serve.
    domain : str
        Failure domain of the caller.
    limit : int
        Maximum number of addresses.

    Returns
    -------
    tuple of str
        ``ip:port`` of entries, those of the caller's domain first.
    """
    ordered = sorted(
        serving, key=lambda one: (one.failure_domain != domain, one.host)
    )
    local = [one for one in ordered if one.failure_domain == domain]
    chosen = local if len(local) >= MIN_LOCAL_ADDRESSES else ordered
    return tuple(one.callers for one in chosen[:limit])
