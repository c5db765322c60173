"""Exchange of state updates: serving entries, reserved memory, failures."""

from __future__ import annotations

import functools
import typing

import attrs
import structlog

from thornspool.application.routing import workspace_demand
from thornspool.domain.entries import collectors
from thornspool.domain.entries import messages
from thornspool.domain.entries import totals as totals_module
from thornspool.domain.entries import view as view_module
from thornspool.domain.freshness import age_limits
from thornspool.domain.retries import pools

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from thornspool import clock as clock_module
    from thornspool.application.routing import admission_control
    from thornspool.application.routing import retry_histories
    from thornspool.application.routing import retry_pools
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.domain.paths import reservations as reservations_module

GROUP_INTERVAL_TICKS = 2
"""Ticks between state updates in a fleet with collectors, that is 400 ms."""

COLLECTOR_CANDIDATES = 3
"""Entries of another failure domain that get state updates while its
collector is unknown: the first ones in the order of its selection."""

FEED_TIMEOUT_MS = 1_000
"""Time since the collector's last update after which an entry follows the
store itself."""

MAX_LAG_MS = 500
"""Time for which the local copy may lag behind the collector's copy.

Changes are sent at once. The collector detects a lost change by the next
state update, within 400 ms, and sends it again.
"""

CATCH_UP_INTERVAL_MS = 6 * MAX_LAG_MS
"""Interval at which an entry that keeps lagging waits for the feed again."""

MIN_AHEAD_MS = 500
"""Time by which the local copy must be fresher than the collector's copy to
show that the store has responded to this entry; it covers the transmission of
state updates."""

OUTDATED_GRACE_MS = 1_500
"""Time for which another entry must be more current than this one before this
entry stops serving callers.

When the store returns, the entries become current one after the other, within
two intervals of state updates. Without this grace time each of them would
leave the serving state and return to it, and broadcast both changes.
"""

LATEST_RETRIES_MS = 3_000
"""Age of the retries that an update lists for an entry that knows the others.

Several updates in a row may be lost.
"""

MAX_ADDRESSES = 64
"""Maximum number of addresses in one response to a caller."""

logger = structlog.get_logger(__name__)


def _add_count(amounts: totals_module.Amounts) -> totals_module.Amounts:
    """Add the number of entries that the amounts of this entry include."""
    return {totals_module.ENTRIES_KEY: 1.0, **amounts}


@attrs.frozen
class _ExchangedAmounts:
    """Amounts that the entries report to each other.

    Attributes
    ----------
    list_own : callable
        Lists the amounts of this entry by hash.
    apply_others : callable
        Applies the sums of the other entries, and the number of entries that
        they include; None for an unknown number.
    totals : totals_module.Totals
        Amounts that the other entries have reported.
    limit : callable
        Limits the size of sums that this entry reports as a collector.
    """

    list_own: Callable[[], totals_module.Amounts]
    apply_others: Callable[[totals_module.Amounts, int | None], None]
    totals: totals_module.Totals = attrs.field(factory=totals_module.Totals)
    limit: Callable[[totals_module.Amounts], totals_module.Amounts] = (
        lambda amounts: amounts
    )


class MembershipService:
    """Sends state updates to peers and applies theirs.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    view : view_module.View
        The other entries.
    routing_state : routing_state_module.RoutingState
        Suspected servers and the freshness of the local copy.
    reservations : reservations_module.Reservations
        Memory that requests reserve on engines.
    retry_budget : retry_pools.RetryPools
        Counts requests and retries.
    send : callable
        Sends a state update or a failure notice to ``ip:port``.
    read_revision : callable
        Returns the store revision of the local copy.
    send_missed : callable, optional
        Sends the changes after a revision to ``ip:port``.

    Attributes
    ----------
    state : messages.State
        State of this entry towards callers.
    limits : age_limits.AgeLimits
        Ages up to which the copies of this entry and of its collector are
        relied on.
    has_lost_links : callable
        Returns whether this entry reaches no server.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        view: view_module.View,
        routing_state: routing_state_module.RoutingState,
        reservations: reservations_module.Reservations,
        retry_budget: retry_pools.RetryPools,
        send: Callable[
            [str, messages.StateUpdate | messages.FailureNotice], None
        ],
        read_revision: Callable[[], int],
        send_missed: Callable[[str, int], None] = lambda address, since: None,
    ) -> None:
        self._clock = clock
        self._view = view
        self._routing_state = routing_state
        self._send = send
        self._read_revision = read_revision
        self._send_missed = send_missed
        self._reported_revision = 0
        self._reservations = reservations
        self._retry_budget = retry_budget
        self._exchanged = {
            'reserved': _ExchangedAmounts(
                reservations.list_by_hash,
                lambda sums, known: reservations.apply_remote(sums),
            ),
            'request_counts': _ExchangedAmounts(
                lambda: _add_count(
                    {
                        **retry_budget.list_by_hash(),
                        **reservations.list_starts_by_hash(),
                    }
                ),
                self._apply_request_counts,
                # An entry that is not known to have got the latest retries
                # would use its share of the remaining budget again.
                totals_module.Totals(valid_ms=pools.PROPAGATION_MS),
            ),
            'admission': _ExchangedAmounts(dict, lambda sums, known: None),
        }
        self._collector_hosts: dict[str, tuple[str, int]] = {}
        self._logged_peers: dict[str, tuple[bool, bool]] = {}
        self._feed_update: messages.StateUpdate | None = None
        self._feed_received_at = 0
        self._lagging_since: int | None = None
        self._tick_count = 0
        self._last_current_at = clock.now()
        self.state = messages.State.STARTING
        self.limits = age_limits.DEFAULT
        self.has_lost_links: Callable[[], bool] = lambda: False

    def _apply_request_counts(
        self, sums: totals_module.Amounts, known: int | None
    ) -> None:
        """Apply the requests of the other entries, by service and engine."""
        self._retry_budget.apply_others(sums, known)
        self._reservations.apply_remote_starts(sums)

    def exchange_admission(
        self, control: admission_control.AdmissionControl
    ) -> None:
        """Exchange the demand for engine memory with the other entries."""
        self._exchanged['admission'] = _ExchangedAmounts(
            lambda: _add_count(control.list_amounts()),
            control.apply_others,
            limit=workspace_demand.limit_amounts,
        )

    def tick(self) -> None:
        """Send the periodic state updates; called every 200 ms."""
        now = self._clock.now()
        self._view.expire_lapsed(now)
        self._view.choose_collector(now)
        self._log_peer_changes()
        self._reported_revision = self._read_revision()
        self._tick_count += 1
        if self._view.is_mesh:
            self._broadcast(self._view.peers.values())
        elif self._tick_count % GROUP_INTERVAL_TICKS == 0:
            self._send_to_group()
        self._apply_peer_totals()

    def broadcast_failures(self) -> None:
        """Broadcast new failures, refusals, limits and layer changes at once.

        Entries that have not received them keep sending requests to these
        servers. Suspicions go to all peers. Refusals, broken attempts, limits
        and layer changes go to the local failure domain, which uses the same
        engines, and to the collectors of the other domains.
        """
        if (
            self._routing_state.unreported_suspects
            or self._routing_state.has_unsent_retractions
        ):
            self._send_failure_notice()
        if (
            self._routing_state.refusals.has_unsent
            or self._routing_state.outliers.has_unsent
            or self._routing_state.retained_ranges.has_unsent
            or self._routing_state.named_limits.has_unsent
            or self._routing_state.departures.has_unsent
            or self._routing_state.removals.has_unsent
        ):
            self._broadcast(self._list_affected_peers())
        self._routing_state.unreported_suspects.clear()
        self._routing_state.has_unsent_retractions = False
        self._routing_state.refusals.has_unsent = False
        self._routing_state.outliers.has_unsent = False
        self._routing_state.retained_ranges.has_unsent = False
        self._routing_state.named_limits.has_unsent = False
        self._routing_state.departures.has_unsent = False
        self._routing_state.removals.has_unsent = False

    def _send_failure_notice(self) -> None:
        """Send new suspicions and retractions to all peers."""
        local = self._view.local
        notice = messages.FailureNotice(
            local.host,
            local.incarnation,
            tuple(self._routing_state.unreported_suspects),
            tuple(self._routing_state.retractions),
        )
        for peer in self._view.peers.values():
            self._send(peer.record.peers, notice)

    def _list_affected_peers(self) -> list[view_module.Peer]:
        if self._view.is_mesh:
            return list(self._view.peers.values())
        affected = self._view.list_domain_peers()
        for domain in self._view.list_domains():
            if domain != self._view.local.failure_domain:
                affected += self._find_collectors(domain)
        return affected

    def set_state(self, state: messages.State) -> None:
        """Set the state of this entry and broadcast it if it changed."""
        if state is not self.state:
            self.state = state
            logger.info('entry_state', state=state.value)
            self._broadcast(self._view.peers.values())

    def update_state(self, has_configuration: bool, bound_ms: float) -> None:
        """Update whether callers may use this entry, unless it is leaving.

        An entry that the store does not answer stops serving while other
        entries are current. It keeps serving while the store is unreachable
        for all entries. Otherwise callers would get no address at all: routes
        without keys would not be served, and other callers would get no
        Retry-After.

        Parameters
        ----------
        has_configuration : bool
            Whether this entry has a configuration.
        bound_ms : float
            Age of the local copy, in milliseconds, up to which requests with
            a key are served.
        """
        if self.state is messages.State.LEAVING:
            return
        now = self._clock.now()
        if self._routing_state.freshness.is_within(
            bound_ms, now
        ) or not self._view.has_current_peer(bound_ms, now):
            self._last_current_at = now
        ready = (
            has_configuration
            and now - self._last_current_at <= OUTDATED_GRACE_MS
        )
        self.set_state(
            messages.State.SERVING if ready else messages.State.STARTING
        )

    def apply_update(
        self, update: messages.StateUpdate | messages.FailureNotice
    ) -> None:
        """Apply a state update or a failure notice of a peer."""
        now = self._clock.now()
        if isinstance(update, messages.FailureNotice):
            self._apply_failure_notice(update, now)
        else:
            self._apply_state_update(update, now)

    def _apply_state_update(
        self, update: messages.StateUpdate, now: int
    ) -> None:
        peer = self._view.apply_update(update, now)
        if peer is None:
            return
        domain = peer.record.failure_domain
        self._retry_budget.histories.apply_reports(
            update.retries, update.retries_known_ms
        )
        for name, exchanged in self._exchanged.items():
            exchanged.totals.record(update, domain, getattr(update, name), now)
        if update.scope is messages.Scope.DOMAIN:
            self._collector_hosts[domain] = (update.host, now)
        if update.scope is not messages.Scope.ENTRY:
            self._view.record_absences(peer.record, update, now)
        direct = self._is_from_follower(update, domain)
        if direct and 0 < update.revision < self._reported_revision:
            # The peer missed a change that was sent one tick ago or earlier.
            self._send_missed(peer.record.peers, update.revision)
        self._apply_server_reports(update, now, direct)
        if update.proof_age_ms >= 0 and update.echoed_stamp > 0:
            self._apply_freshness(update, now)
        if update.host == self._view.collector_choice.current:
            self._apply_feed_update(update, now)

    def _apply_server_reports(
        self, update: messages.StateUpdate, now: int, direct: bool
    ) -> None:
        """Apply what a peer reports about servers."""
        routing_state = self._routing_state
        routing_state.slowdowns.record_reported(update.slowdowns, now, direct)
        routing_state.retained_ranges.record_reported(
            update.retained_ranges, now
        )
        routing_state.apply_reported_breaks(update.host, update.failing, now)
        routing_state.apply_reported_refusals(update.refusing, now, direct)
        routing_state.apply_reported_departures(update.departures, now)
        routing_state.apply_reported_removals(
            update.removals, self._read_revision(), now
        )
        for server_hash, reported in update.limits.items():
            routing_state.apply_reported_limit(
                server_hash, reported, now, update.echoed_stamp, direct
            )
        self._apply_failures(update, now)

    def _apply_failure_notice(
        self, notice: messages.FailureNotice, now: int
    ) -> None:
        """Apply the suspicions and retractions of a registered peer."""
        peer = self._view.peers.get(notice.host)
        if peer is not None and peer.record.incarnation == notice.incarnation:
            self._apply_failures(notice, now)

    def _apply_failures(
        self,
        update: messages.StateUpdate | messages.FailureNotice,
        now: int,
    ) -> None:
        self._routing_state.apply_reported_suspects(
            update.suspects, update.host, now
        )
        self._routing_state.apply_retractions(update.retracted, update.host)

    def _is_from_follower(
        self, update: messages.StateUpdate, domain: str
    ) -> bool:
        """Return whether this entry forwards the peer's own observations."""
        if self._view.is_mesh or not self._view.is_collector:
            return False
        return (
            update.scope is messages.Scope.ENTRY
            and domain == self._view.local.failure_domain
        )

    def _apply_freshness(self, update: messages.StateUpdate, now: int) -> None:
        """Apply the freshness of a peer's copy.

        It confirms a copy of the same revision.

        A datagram may have been in transit for any time. The peer sent it
        after it had received the stamp of this entry that it echoes, so the
        age is counted from that stamp.
        """
        if update.echoed_stamp > now:
            return
        proven_at = update.echoed_stamp - update.proof_age_ms
        self._routing_state.record_peer_contact(proven_at)
        if update.revision == self._read_revision():
            self._routing_state.freshness.confirm(proven_at, update.host)

    def _apply_feed_update(
        self, update: messages.StateUpdate, now: int
    ) -> None:
        """Record the collector's update and since when this copy lags."""
        self._feed_update = update
        self._feed_received_at = now
        current = (
            update.revision <= self._read_revision()
            and self._is_copy_fresh(now)
        )
        if current:
            self._lagging_since = None
        elif self._is_feed_fresh() and self._may_await_again(now):
            self._lagging_since = now

    def _may_await_again(self, now: int) -> bool:
        """Return whether the copy starts to lag, or has for a long time.

        The collector may become stale and fresh again in the meantime. After
        an outage of the store, its followers wait for it once more.
        """
        since = self._lagging_since
        return since is None or now - since > CATCH_UP_INTERVAL_MS

    def _is_copy_fresh(self, now: int) -> bool:
        age = self._routing_state.freshness.compute_age(now)
        return age is not None and age <= self.limits.copy_ms

    def _is_feed_fresh(self) -> bool:
        """Return whether the collector reached the store recently."""
        feed = self._feed_update
        return (
            feed is not None and 0 <= feed.proof_age_ms <= self.limits.feed_ms
        )

    def _receives_feed(self, now: int) -> bool:
        return (
            self.is_follower()
            and self._feed_update is not None
            and now - self._feed_received_at <= FEED_TIMEOUT_MS
        )

    def awaits_change_feed(self) -> bool:
        """Return whether the collector will send the changes missing here.

        After an outage of the store the collector is current first. All of
        its followers would query the store at that moment otherwise.
        """
        now = self._clock.now()
        since = self._lagging_since
        return (
            since is not None
            and self._receives_feed(now)
            and self._is_feed_fresh()
            and now - since <= MAX_LAG_MS
        )

    def is_follower(self) -> bool:
        """Return whether another entry collects for this one."""
        return not self._view.is_mesh and not self._view.is_collector

    def is_feed_current(self) -> bool:
        """Return whether the collector keeps the local copy current.

        Each call to the store has a cost, so only collectors follow it. Their
        updates may be lost, or the store may reject them. An entry that
        relied on its collector in such a case would miss a withdrawn key.
        """
        now = self._clock.now()
        return (
            self._receives_feed(now)
            and self._is_feed_fresh()
            and not self._is_lagging(now)
            and self._is_copy_fresh(now)
        )

    def is_collector_cut_off(self) -> bool:
        """Return whether the collector is alive but can't reach the store.

        An entry that the store has answered in the meantime does not wait
        for the collector any longer.
        """
        now = self._clock.now()
        return (
            self._receives_feed(now)
            and not self._is_feed_fresh()
            and not self._is_ahead_of_feed(now)
        )

    def _is_ahead_of_feed(self, now: int) -> bool:
        """Return whether the local copy is fresher than the collector's."""
        assert self._feed_update is not None
        age = self._routing_state.freshness.compute_age(now)
        if age is None:
            return False
        reported_age_ms = self._feed_update.proof_age_ms
        return (
            reported_age_ms < 0
            or age + MIN_AHEAD_MS
            < reported_age_ms + now - self._feed_received_at
        )

    def _is_lagging(self, now: int) -> bool:
        """Return whether a change that the collector has is overdue here."""
        assert self._feed_update is not None
        since = self._lagging_since
        if (
            since is None
            or self._feed_update.revision <= self._read_revision()
        ):
            return False
        return now - since > MAX_LAG_MS

    def hand_over_collecting(self) -> None:
        """Hand collecting over, since the store rejects this entry.

        The entries of the domain are informed at once, so that they follow
        another collector before their copies are too old.
        """
        local_peers = self._view.list_domain_peers()
        if (
            self._view.is_mesh
            or not self._view.is_collector
            or not local_peers
        ):
            return
        now = self._clock.now()
        local_host = self._view.local.host
        self._view.collector_choice.record_rejection(
            local_host, now + collectors.REJECTION_MS
        )
        logger.warning(
            'collecting_handed_over',
            shut_out=self._view.collector_choice.count_rejected(now),
        )
        self._broadcast(local_peers)
        self._view.choose_collector(now)

    def list_follower_addresses(self) -> list[str]:
        """List the addresses of the entries that follow this collector."""
        if self._view.is_mesh or not self._view.is_collector:
            return []
        return [peer.record.peers for peer in self._view.list_domain_peers()]

    def list_addresses(self, domain: str) -> tuple[str, ...]:
        """List the entry addresses for a caller in a failure domain."""
        now = self._clock.now()
        serving = self._view.list_serving(now)
        linked = self._view.list_linked(now)
        if self.state is messages.State.SERVING:
            serving.append(self._view.local)
            if not self.has_lost_links():
                linked.append(self._view.local)
        # Entries that reach no server pass requests on to the others.
        serving = linked or serving
        return view_module.choose_addresses(serving, domain, MAX_ADDRESSES)

    def _log_peer_changes(self) -> None:
        now = self._clock.now()
        for host, peer in self._view.peers.items():
            alive = self._view.is_alive(peer, now)
            registered = peer.lapsed_at is None
            logged = self._logged_peers.setdefault(host, (True, True))
            if logged != (alive, registered):
                self._logged_peers[host] = (alive, registered)
                logger.info(
                    'peer_changed',
                    peer=host,
                    alive=alive,
                    registered=registered,
                )
            if not alive:
                self._forget_totals(host)
        for host in [
            host for host in self._logged_peers if host not in self._view.peers
        ]:
            del self._logged_peers[host]
            self._forget_totals(host)

    def _forget_totals(self, host: str) -> None:
        for exchanged in self._exchanged.values():
            exchanged.totals.forget(host)

    def _apply_peer_totals(self) -> None:
        """Apply the sums of the amounts of all other entries."""
        for exchanged in self._exchanged.values():
            sums = self._sum_others(exchanged.totals)
            known = sums.get(totals_module.ENTRIES_KEY)
            if known is None and not self._has_reports(exchanged.totals):
                known = 0.0
            exchanged.apply_others(
                sums, None if known is None else round(known)
            )
        now = self._clock.now()
        reported_at = self._view.last_update_at if self._view.peers else now
        self._reservations.reported_at = (
            reported_at if self._view.has_complete_sums(now) else None
        )
        self._reservations.silent_domains = self._view.list_silent_domains(now)

    def _has_reports(self, totals: totals_module.Totals) -> bool:
        """Return whether sums of the other entries rest on any report."""
        now = self._clock.now()
        if not self._view.is_mesh and not self._view.is_collector:
            return totals.has_rest(now)
        return totals.has_parts(self._view.peers, now)

    def _sum_others(
        self, totals: totals_module.Totals
    ) -> totals_module.Amounts:
        now = self._clock.now()
        if self._view.is_mesh:
            return totals.sum_entries(self._view.peers, now)
        if not self._view.is_collector:
            return totals.get_rest(now)
        return totals_module.sum_amounts(
            (
                self._sum_domain(totals),
                totals.sum_domains(self._view.local.failure_domain, now),
            )
        )

    def _sum_domain(
        self, totals: totals_module.Totals
    ) -> totals_module.Amounts:
        return totals.sum_entries(
            (peer.record.host for peer in self._view.list_domain_peers()),
            self._clock.now(),
        )

    def _send_to_group(self) -> None:
        """Send the periodic updates of a fleet with collectors.

        A collector sends sums to its followers and to the other collectors.
        Any other entry sends its state to its collector and the backup.
        """
        if self._view.is_collector:
            self._send_to_followers()
            self._send_to_collectors()
            return
        choice = self._view.collector_choice
        self._broadcast(
            self._view.peers[host]
            for host in (choice.current, choice.backup)
            if host in self._view.peers
        )

    def _send_to_followers(self) -> None:
        """Send each follower the sums over all entries except itself."""
        now = self._clock.now()
        sums = {
            name: exchanged.limit(
                totals_module.sum_amounts(
                    (self._sum_others(exchanged.totals), exchanged.list_own())
                )
            )
            for name, exchanged in self._exchanged.items()
        }
        absent = self._list_absent(self._view.peers.values())
        retries = self._prepare_retries(includes_others=True)
        for peer in self._view.list_domain_peers():
            peer_hosts = [peer.record.host]
            rest = {
                name: totals_module.subtract(
                    sums[name], exchanged.totals.sum_entries(peer_hosts, now)
                )
                for name, exchanged in self._exchanged.items()
            }
            self._send_update(peer, rest, retries, messages.Scope.REST, absent)

    def _send_to_collectors(self) -> None:
        """Send this domain's sums to the collectors of the other domains."""
        own_domain = self._view.local.failure_domain
        sums = {
            name: exchanged.limit(
                totals_module.sum_amounts(
                    (self._sum_domain(exchanged.totals), exchanged.list_own())
                )
            )
            for name, exchanged in self._exchanged.items()
        }
        absent = self._list_absent(self._view.list_domain_peers())
        retries = self._prepare_retries(includes_others=True)
        for domain in self._view.list_domains():
            if domain == own_domain:
                continue
            for peer in self._find_collectors(domain):
                self._send_update(
                    peer, sums, retries, messages.Scope.DOMAIN, absent
                )

    def _find_collectors(self, domain: str) -> list[view_module.Peer]:
        now = self._clock.now()
        host, received_at = self._collector_hosts.get(domain, ('', 0))
        collector = self._view.peers.get(host)
        if (
            collector is not None
            and now - received_at <= self._view.update_timeout_ms
        ):
            return [collector]
        domain_peers = self._view.list_domain(domain)
        alive = [
            peer for peer in domain_peers if self._view.is_alive(peer, now)
        ]
        return alive[:COLLECTOR_CANDIDATES]

    def _list_absent(
        self, peers: Iterable[view_module.Peer]
    ) -> tuple[str, ...]:
        now = self._clock.now()
        return tuple(
            peer.record.host
            for peer in peers
            if peer.state is not messages.State.SERVING
            or not peer.has_links
            or not self._view.is_alive(peer, now)
        )

    def _broadcast(self, peers: Iterable[view_module.Peer]) -> None:
        own = {
            name: exchanged.list_own()
            for name, exchanged in self._exchanged.items()
        }
        # Followers receive the reports of all others from their collector.
        retries = self._prepare_retries(self._view.is_mesh)
        for peer in list(peers):
            self._send_update(peer, own, retries)

    def _send_update(
        self,
        peer: view_module.Peer,
        amounts: Mapping[str, totals_module.Amounts],
        list_retries: Callable[[view_module.Peer], retry_histories.Reports],
        scope: messages.Scope = messages.Scope.ENTRY,
        absent: tuple[str, ...] = (),
    ) -> None:
        now = self._clock.now()
        age = self._routing_state.freshness.compute_age(now)
        local_record = self._view.local
        direct_only = scope is not messages.Scope.REST
        update = messages.StateUpdate(
            host=local_record.host,
            incarnation=local_record.incarnation,
            state=self.state,
            stamp=now,
            echoed_stamp=peer.last_stamp,
            revision=self._read_revision(),
            proof_age_ms=-1 if age is None else age,
            reserved=amounts['reserved'],
            suspects=tuple(self._routing_state.unreported_suspects),
            retracted=tuple(self._routing_state.retractions),
            links_lost=self.has_lost_links(),
            configuration_version=self._routing_state.configuration_version,
            scope=scope,
            absent_hosts=absent,
            slowdowns=self._routing_state.slowdowns.list_slow(
                now, direct_only
            ),
            refusing=self._routing_state.refusals.list_announced(
                now, direct_only
            ),
            request_counts=amounts['request_counts'],
            admission=amounts['admission'],
            failing=self._routing_state.outliers.list_announced(now),
            retained_ranges=self._routing_state.retained_ranges.list_known(
                direct_only
            ),
            rejection_ms=self._view.collector_choice.compute_rejection_ms(
                local_record.host, now
            ),
            limits=self._routing_state.named_limits.list_announced(
                now, direct_only
            ),
            departures=self._routing_state.departures.list_announced(),
            removals=self._routing_state.removals.list_announced(),
            retries=list_retries(peer),
            retries_known_ms=self._compute_retries_known_ms(peer, scope, now),
            knows_retries=self._retry_budget.histories.is_known()
            and not peer.has_missed_retries,
        )
        self._send(peer.record.peers, update)

    def _prepare_retries(
        self, includes_others: bool
    ) -> Callable[[view_module.Peer], retry_histories.Reports]:
        """Return a function that lists what a peer needs of the retries."""
        latest = self._retry_budget.list_reports(
            includes_others, LATEST_RETRIES_MS
        )

        @functools.cache
        def list_all() -> retry_histories.Reports:
            return self._retry_budget.list_reports(includes_others)

        return lambda peer: latest if peer.knows_retries else list_all()

    def _compute_retries_known_ms(
        self, peer: view_module.Peer, scope: messages.Scope, now: int
    ) -> int:
        """Return up to which age an update includes the retries of all."""
        includes_all = self._view.is_mesh or (
            scope is not messages.Scope.ENTRY
            and self._view.has_complete_sums(now)
        )
        if includes_all and not peer.knows_retries:
            return self._retry_budget.histories.compute_known_ms()
        return 0
