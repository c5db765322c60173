"""Routing state of an entry: configuration, servers and exclusions."""

from __future__ import annotations

import typing

import attrs
import structlog

from thornspool.domain.fleet import departures as departures_module
from thornspool.domain.fleet import named_limits as named_limits_module
from thornspool.domain.fleet import outliers as outliers_module
from thornspool.domain.fleet import refusals as refusals_module
from thornspool.domain.fleet import removals as removals_module
from thornspool.domain.fleet import rests as rests_module
from thornspool.domain.fleet import retained_ranges as retained_ranges_module
from thornspool.domain.fleet import server_hashes
from thornspool.domain.fleet import slowdowns as slowdowns_module
from thornspool.domain.freshness import confirmations

if typing.TYPE_CHECKING:
    from thornspool.application.routing import ports
    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.routing import messages as routing

LEAVING_USE_MS = 1_000
"""Time for which a server that leaves may still get requests.

This applies to plain servers, and to engines whose record was removed without
notice, while their neighbours load their layers. The shortest time for which a
server continues to serve is 2 s from the store's acknowledgement, and entries
see the change within some 200 ms of it. A change that a copy shows after an
interruption may be older, so the server gets no request from then on.
"""

STORE_OUTAGE_AGE_MS = 3_000
"""Age of the copy from which the store counts as having been unavailable.

Records expire 3.6 s after the last heartbeat. The store confirms a current
copy again every 0.4 to 2.8 s.
"""

SETTLING_MS = 2_200
"""Time after the store's return for which removed records are ignored.

Servers that are alive register again within some 2 s.
"""

LAPSE_USE_MS = 2_850
"""Time for which a server whose record is missing after an outage is used,
since the last call that the store left unanswered.

The store may have returned at any time since that call, and entries have to
know 3 s after its return which servers have left.
"""

MAX_RETURN_DELAY_MS = 2_200
"""Longest time from the store's return to the first answer to an entry: the
timeout of a call and the delay of the next one."""

SUSPICION_MS = 4_000
"""Time for which a server that failed is excluded.

A crashed engine leaves the server list 3.6 s after its last heartbeat. After a
shorter exclusion it was used again in between: its layers counted as covered,
and requests stalled on it once more.
"""

MISDIRECTED_MS = 1_500
"""Time for which a server that differs from its record is excluded.

The record is correct again after the next heartbeat, which comes every 1.2 s.
"""

MAX_REPORTED_SHARE = 0.25
"""Largest share of all servers that one peer may exclude here.

A peer that reaches some servers may have lost its links to all others.
"""

MIN_REPORTED = 4
"""Number of servers that one peer may exclude in a fleet of any size."""

RETRACTION_MS = 1_000
"""Time for which a retracted suspicion is reported to peers; the time of two
state updates and more."""

MISDIRECTED = 'misdirected'
"""Reason of a suspicion: the server differs from its record."""

NO_REPORT = 'no_report'
"""Reason of a suspicion: the server did not answer a probe."""

NO_QUICK_REPORT = 'no_quick_report'
"""Reason of a suspicion: the server did not answer probes with a short
timeout.

Streams leave the server, but it does not count as lost.
"""

NOT_REACHED = 'not_reached'
"""Reason of a suspicion: no connection to the server could be opened."""

ADDRESS_CLAIMED = 'address_claimed'
"""Reason of a suspicion: the record of a later process has the address.

Records are no proof: another program may have written this one. The suspicion
lasts until the server shows that it still runs, or its record is removed.
"""

_REPORTED_EVIDENCE = frozenset({'reported', 'peer_list'})

logger = structlog.get_logger(__name__)


@attrs.define
class Suspicion:
    """Reason why a server is suspected, and when the suspicion expires.

    Attributes
    ----------
    until : int
        Time in milliseconds at which it expires.
    reason : str
        What was observed.
    started_at : int or None
        Start of the suspected process; a restarted server is not suspected.
    since : int
        Time in milliseconds at which it was last observed.
    reporter : str
        Host of the peer that observed it; empty for this entry.
    is_checked : bool
        Whether this entry has checked the server since it is suspected.
    """

    until: int
    reason: str
    started_at: int | None
    since: int = 0
    reporter: str = ''
    is_checked: bool = False


@attrs.define
class RoutingState:
    """Local copy of the store, and what was observed since.

    Attributes
    ----------
    configuration : routing.Configuration or None
        Configuration in force; None before the first one.
    servers : dict of str to fleet.Server
        Known servers by id.
    leaving : dict of str to int
        Time in milliseconds since when a server is leaving.
    unlisted : dict of str to int
        Time in milliseconds since when a server has no record.
    unlisted_while_settling : dict of str to int
        Servers whose records were removed right after the store's return, and
        the revision of the copy that showed it.
    suspicions : dict of str to Suspicion
        Servers that are excluded after a failure.
    slowdowns : slowdowns_module.Slowdowns
        Slowdown factors of engines.
    refusals : refusals_module.Refusals
        Servers that are in backoff or ejected.
    outliers : outliers_module.Outliers
        Runs that engines broke.
    retained_ranges : retained_ranges_module.RetainedRanges
        Engines that change their layers.
    named_limits : named_limits_module.NamedLimits
        Limits that servers name.
    departures : departures_module.Departures
        Servers that leave, by their own statement or by their records.
    removals : removals_module.Removals
        Servers whose records were removed.
    rests : rests_module.Rests
        Servers that want no requests of this entry for a time.
    freshness : confirmations.Freshness
        Freshness of the copy.
    servers_changed_at : int
        Time in milliseconds of the last change of the servers.
    revision : int
        Counts the changes of servers and configuration.
    first_contact_at : int or None
        Time in milliseconds of the first answer of the store.
    store_returned_at : int or None
        Time in milliseconds at which the store was last available again, to
        this entry or to a peer.
    store_failed_at : int or None
        Time in milliseconds at which the last call that the store did not
        answer was sent; None before the first, and while calls succeed.
    lapse_use_until : int
        Time in milliseconds until which servers are used whose records are
        missing since the store's return.
    unreported_suspects : list of str
        Suspected servers that are not yet reported to peers.
    retractions : dict of str to int
        Servers whose suspicion was retracted, and the time in milliseconds.
    has_unsent_retractions : bool
        Whether there are retractions that were not reported to peers yet.
    probe_candidates : set of str
        Engines that have refused or broken runs and are to be probed.
    listed_at : dict of str to int
        Time in milliseconds at which the record of a server was last written
        or read.
    """

    configuration: routing.Configuration | None = None
    servers: dict[str, fleet.Server] = attrs.field(factory=dict)
    leaving: dict[str, int] = attrs.field(factory=dict)
    unlisted: dict[str, int] = attrs.field(factory=dict)
    unlisted_while_settling: dict[str, int] = attrs.field(factory=dict)
    suspicions: dict[str, Suspicion] = attrs.field(factory=dict)
    slowdowns: slowdowns_module.Slowdowns = attrs.field(
        factory=slowdowns_module.Slowdowns
    )
    refusals: refusals_module.Refusals = attrs.field(
        factory=refusals_module.Refusals
    )
    outliers: outliers_module.Outliers = attrs.field(
        factory=outliers_module.Outliers
    )
    retained_ranges: retained_ranges_module.RetainedRanges = attrs.field(
        factory=retained_ranges_module.RetainedRanges
    )
    named_limits: named_limits_module.NamedLimits = attrs.field(
        factory=named_limits_module.NamedLimits
    )
    departures: departures_module.Departures = attrs.field(
        factory=departures_module.Departures
    )
    removals: removals_module.Removals = attrs.field(
        factory=removals_module.Removals
    )
    rests: rests_module.Rests = attrs.field(factory=rests_module.Rests)
    freshness: confirmations.Freshness = attrs.field(
        factory=confirmations.Freshness
    )
    servers_changed_at: int = 0
    revision: int = 0
    first_contact_at: int | None = None
    store_returned_at: int | None = None
    store_failed_at: int | None = None
    lapse_use_until: int = 0
    unreported_suspects: list[str] = attrs.field(factory=list)
    retractions: dict[str, int] = attrs.field(factory=dict)
    has_unsent_retractions: bool = False
    probe_candidates: set[str] = attrs.field(factory=set)
    listed_at: dict[str, int] = attrs.field(factory=dict, init=False)
    _doubted_starts: dict[str, int] = attrs.field(factory=dict, init=False)
    _ids_by_address: dict[str, set[str]] = attrs.field(
        factory=dict, init=False
    )

    def apply_configuration(
        self, configuration: routing.Configuration
    ) -> None:
        """Put a configuration into force unless it is outdated.

        Parameters
        ----------
        configuration : routing.Configuration
            The configuration.
        """
        current = self.configuration
        if current is not None and configuration.version < current.version:
            logger.warning(
                'configuration_ignored',
                version=configuration.version,
                in_force=current.version,
            )
            return
        self.configuration = configuration
        self.revision += 1
        logger.info(
            'configuration_in_force',
            version=configuration.version,
            routes=sum(
                len(routes) for routes in configuration.routes.values()
            ),
            keys=len(configuration.workspaces),
        )

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return 0 if self.configuration is None else self.configuration.version

    def record_store_contact(self, now: int) -> None:
        """Record an answer of the store, before its content is applied.

        Parameters
        ----------
        now : int
            Current time in milliseconds.
        """
        if self.freshness.confirmed_at is None:
            self.first_contact_at = now
        elif self.is_stale(now):
            if not self._has_return_date():
                self.store_returned_at = now
            self._limit_lapse_use(self.store_returned_at or now)
        self.store_failed_at = None

    def _limit_lapse_use(self, returned_at: int) -> None:
        """Limit the use of servers whose records are missing after an outage.

        Parameters
        ----------
        returned_at : int
            Latest time in milliseconds at which the store has returned.
        """
        earliest = returned_at
        if self.store_failed_at is not None:
            earliest = max(
                returned_at - MAX_RETURN_DELAY_MS,
                min(returned_at, self.store_failed_at),
            )
        until = earliest + LAPSE_USE_MS
        if self.lapse_use_until > returned_at:
            until = min(until, self.lapse_use_until)
        self.lapse_use_until = until

    def record_store_failure(self, sent_at: int) -> None:
        """Record that the store has not answered a call.

        Parameters
        ----------
        sent_at : int
            Time in milliseconds at which the call was sent.
        """
        self.store_failed_at = sent_at

    def record_peer_contact(self, at: int) -> None:
        """Record that the store has answered a peer at a time or later.

        Servers register again from the store's return on, and not from the
        time at which it answers this entry.

        Parameters
        ----------
        at : int
            Time in milliseconds.
        """
        confirmed_at = self.freshness.confirmed_at
        if (
            confirmed_at is not None
            and at > confirmed_at + STORE_OUTAGE_AGE_MS
            and not self._has_return_date()
        ):
            self.store_returned_at = at

    def _has_return_date(self) -> bool:
        """Return whether the store has returned since the last confirmation.

        A peer has then been answered before this entry.
        """
        return (
            self.store_returned_at is not None
            and self.freshness.confirmed_at is not None
            and self.store_returned_at > self.freshness.confirmed_at
        )

    def is_stale(self, now: int) -> bool:
        """Return whether the copy is older than with an available store.

        Parameters
        ----------
        now : int
            Current time in milliseconds.
        """
        age = self.freshness.compute_age(now)
        return age is None or age > STORE_OUTAGE_AGE_MS

    def is_settling(self, now: int) -> bool:
        """Return whether live servers may still be missing from the list.

        Records expire while the store is unavailable. Without this check,
        servers counted as gone at its return: they got no more requests, and
        whole failure domains were given new layers although their layers were
        still covered.

        Parameters
        ----------
        now : int
            Current time in milliseconds.
        """
        return _is_recent(self.store_returned_at, now)

    def is_list_incomplete(self, now: int) -> bool:
        """Return whether missing servers allow no conclusion yet.

        An entry that has just started can't tell whether the store was
        unavailable before.

        Parameters
        ----------
        now : int
            Current time in milliseconds.
        """
        return self.is_settling(now) or _is_recent(self.first_contact_at, now)

    def apply_server(self, server: fleet.Server, now: int) -> None:
        """Apply the latest record of a server.

        Parameters
        ----------
        server : fleet.Server
            The record.
        now : int
            Current time in milliseconds.
        """
        current = self.servers.get(server.id)
        was_listed = current is not None and server.id not in self.unlisted
        if self.unlisted_while_settling.pop(server.id, None) is not None:
            was_listed = False
        self.removals.forget(departures_module.compute_run_hash(server))
        self.listed_at[server.id] = now
        self._end_claim(server)
        self._check_start(current, server)
        if current == server and server.id not in self.unlisted:
            return
        self.unlisted.pop(server.id, None)
        if current is None or _names_other_process(current, server):
            self._doubt_predecessors(server, now)
        if current is not None and current.started_at != server.started_at:
            self.named_limits.forget(server.id)
        self.servers[server.id] = server
        self._index_address(current, server)
        self.servers_changed_at = now
        self.revision += 1
        if server.draining and self.departures.record(
            server, self._date_departure(was_listed, now)
        ):
            self._log_departure(server.id, 'listed', now)
        leaving_since = self.departures.get_since(server)
        if leaving_since is None:
            self.leaving.pop(server.id, None)
        else:
            # The server may have had no record in between.
            self.leaving[server.id] = leaving_since
        suspicion = self.suspicions.get(server.id)
        if suspicion is not None and suspicion.started_at != server.started_at:
            del self.suspicions[server.id]
        logger.info(
            'server_listed',
            server=server.id,
            address=server.address,
            draining=server.draining,
            layers=_format_layers(server),
            born=server.started_at,
        )

    def _date_departure(self, was_listed: bool, now: int) -> int:
        """Return since when a server leaves whose record shows it now.

        After an interruption of the copy, and in a record that was missing
        before, it may have done so for any time.
        """
        if not was_listed or self.is_stale(now) or self.is_settling(now):
            return now - LEAVING_USE_MS - 1
        return now

    def _log_departure(self, server_id: str, evidence: str, now: int) -> None:
        logger.info(
            'server_leaves',
            server=server_id,
            evidence=evidence,
            reported=evidence in _REPORTED_EVIDENCE,
            copy_age_ms=self.freshness.compute_age(now),
        )

    def remove_server(
        self, server_id: str, now: int, revision: int = 0
    ) -> None:
        """Record that the record of a server was removed.

        Some servers leave without notice: their record is removed first, and
        they continue to serve for a while. So they are used a little longer,
        like servers that have announced their end.

        Parameters
        ----------
        server_id : str
            Id of the server.
        now : int
            Current time in milliseconds.
        revision : int, optional
            Revision of a copy that lacks the record.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        if self.is_settling(now):
            self.unlisted_while_settling[server_id] = revision
            logger.info('server_lapsed', server=server_id)
            return
        self._record_removal(server, revision, now)
        if server_id in self.suspicions:
            # It failed before its record was removed, so it no longer serves.
            self._drop(server_id, now)
            return
        self.servers_changed_at = now
        self.leaving.setdefault(server_id, self._date_departure(True, now))
        self.unlisted.setdefault(server_id, now)
        logger.info('server_unlisted', server=server_id)

    def _record_removal(
        self, server: fleet.Server, revision: int, now: int
    ) -> None:
        self.removals.record(
            departures_module.compute_run_hash(server), revision, now
        )

    def purge_expired(self, now: int) -> None:
        """Drop expired servers, suspicions and measurements.

        Parameters
        ----------
        now : int
            Current time in milliseconds.
        """
        if self.unlisted_while_settling and self._has_settled(now):
            # They have not registered again in time, and refuse every run.
            unlisted_while_settling, self.unlisted_while_settling = (
                self.unlisted_while_settling,
                {},
            )
            for server_id, revision in unlisted_while_settling.items():
                if server_id in self.servers:
                    self._record_removal(
                        self.servers[server_id], revision, now
                    )
                self._drop(server_id, now)
        for server_id, since in list(self.unlisted.items()):
            if now - since > LEAVING_USE_MS:
                self._drop(server_id, now)
        self._forget_old_suspicions(now)
        self.slowdowns.forget_old(now)
        self.refusals.forget_old(now)
        self.outliers.forget_old(now)
        self.retained_ranges.forget_old(now)
        self.named_limits.forget_old(now)
        self.rests.forget_old(now)
        self.departures.forget_old(self.servers.values(), now)

    def _forget_old_suspicions(self, now: int) -> None:
        for server_id, suspicion in list(self.suspicions.items()):
            if now >= suspicion.until and not (
                suspicion.reason == ADDRESS_CLAIMED
                and server_id in self.servers
            ):
                del self.suspicions[server_id]
        for server_id, at in list(self.retractions.items()):
            if now - at > RETRACTION_MS:
                del self.retractions[server_id]

    def _has_settled(self, now: int) -> bool:
        """Return whether servers have had the time to register again.

        They can't do so while the store is unavailable once more.
        """
        return (
            not self.is_settling(now)
            and self.store_failed_at is None
            and not self.is_stale(now)
        )

    def _check_start(
        self, current: fleet.Server | None, server: fleet.Server
    ) -> None:
        """Record whether the start of a server is earlier than the last one.

        A second record confirms it, as its process goes on to write.
        """
        if (
            current is not None
            and current.started_at is not None
            and server.started_at is not None
            and server.started_at < current.started_at
        ):
            self._doubted_starts[server.id] = server.started_at
        else:
            self._doubted_starts.pop(server.id, None)

    def has_doubted_start(self, server: fleet.Server) -> bool:
        """Return whether a record may state a start that is too early.

        Such a record stands between two of the process that runs: another
        program has written one of the three.
        """
        return server.id in self._doubted_starts and (
            self._doubted_starts[server.id] == server.started_at
        )

    def _end_claim(self, server: fleet.Server) -> None:
        """End the suspicion of a server that renews its own record."""
        suspicion = self.suspicions.get(server.id)
        if (
            suspicion is not None
            and suspicion.reason == ADDRESS_CLAIMED
            and suspicion.started_at == server.started_at
        ):
            del self.suspicions[server.id]

    def _doubt_predecessors(self, server: fleet.Server, now: int) -> None:
        """Exclude the servers whose address a later process claims."""
        for other in self.list_at_address(server.address):
            if other.id == server.id or (
                (other.started_at or 0) >= (server.started_at or 0)
            ):
                continue
            if self._is_listed(other.id):
                self.suspect(other.id, ADDRESS_CLAIMED, now)
            else:
                self._drop(other.id, now)

    def _is_listed(self, server_id: str) -> bool:
        """Return whether a server still has its record."""
        return not (
            server_id in self.unlisted
            or server_id in self.unlisted_while_settling
        )

    def _index_address(
        self, current: fleet.Server | None, server: fleet.Server
    ) -> None:
        if current is not None and current.address != server.address:
            self._remove_address(current)
        self._ids_by_address.setdefault(server.address, set()).add(server.id)

    def _remove_address(self, server: fleet.Server) -> None:
        ids = self._ids_by_address.get(server.address, set())
        ids.discard(server.id)
        if not ids:
            self._ids_by_address.pop(server.address, None)

    def _drop(self, server_id: str, now: int) -> None:
        """Remove a server from the routing state."""
        self.unlisted.pop(server_id, None)
        self.leaving.pop(server_id, None)
        dropped = self.servers.pop(server_id, None)
        self.named_limits.forget(server_id)
        self.listed_at.pop(server_id, None)
        self._doubted_starts.pop(server_id, None)
        if dropped is not None:
            self._remove_address(dropped)
            self.servers_changed_at = now
            self.revision += 1
            logger.info('server_dropped', server=server_id)

    def suspect(
        self, server_id: str, reason: str, now: int, reporter: str = ''
    ) -> None:
        """Exclude a server for a limited time after a failure.

        Parameters
        ----------
        server_id : str
            Id of the server.
        reason : str
            What was observed.
        now : int
            Current time in milliseconds.
        reporter : str, optional
            Host of the peer that reported it, if any. It is then not reported
            to other peers.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        known = self.suspicions.get(server_id)
        if known is not None and known.reason == ADDRESS_CLAIMED:
            return
        if known is None:
            if reporter and not self._may_exclude(reporter):
                logger.warning(
                    'suspicion_dropped', server=server_id, reason=reason
                )
                return
            if not reporter:
                logger.warning(
                    'server_suspected', server=server_id, reason=reason
                )
        elif reporter and not known.reporter:
            # What this entry has observed itself is more certain.
            reporter = ''
        if (
            not reporter
            and (known is None or known.reporter)
            and reason != ADDRESS_CLAIMED
        ):
            self.unreported_suspects.append(server_id)
            self.retractions.pop(server_id, None)
        duration_ms = MISDIRECTED_MS if reason == MISDIRECTED else SUSPICION_MS
        self.suspicions[server_id] = Suspicion(
            now + duration_ms, reason, server.started_at, now, reporter
        )

    def has_later_process(self, server: fleet.Server) -> bool:
        """Return whether a later process is listed under a server's id."""
        listed = self.servers.get(server.id)
        return (
            listed is not None
            and listed.started_at is not None
            and server.started_at is not None
            and listed.started_at > server.started_at
        )

    def _may_exclude(self, reporter: str) -> bool:
        """Return whether a peer may exclude one more server here."""
        reported = sum(
            suspicion.reporter == reporter
            for suspicion in self.suspicions.values()
        )
        return reported < max(
            MIN_REPORTED, MAX_REPORTED_SHARE * len(self.servers)
        )

    def list_own_suspects(self) -> list[str]:
        """List the servers that failed for this entry itself."""
        return [
            server_id
            for server_id, suspicion in self.suspicions.items()
            if not suspicion.reporter and suspicion.reason != MISDIRECTED
        ]

    def record_contact(
        self, server_id: str, now: int, is_identified: bool = True
    ) -> None:
        """End the suspicion of a server that has just answered this entry.

        Parameters
        ----------
        server_id : str
            Id of the server.
        now : int
            Current time in milliseconds.
        is_identified : bool, optional
            Whether the answer shows which process at the address has sent it.
        """
        suspicion = self.suspicions.get(server_id)
        if (
            suspicion is None
            or suspicion.since >= now
            or suspicion.reason == MISDIRECTED
            or (suspicion.reason == ADDRESS_CLAIMED and not is_identified)
        ):
            return
        logger.info(
            'suspicion_contradicted', server=server_id, reason=suspicion.reason
        )
        self._end_suspicion(server_id, now)

    def _end_suspicion(self, server_id: str, now: int) -> None:
        """End a suspicion; retract it if this entry has reported it."""
        suspicion = self.suspicions.pop(server_id)
        if not suspicion.reporter and suspicion.reason != ADDRESS_CLAIMED:
            self.retractions[server_id] = now
            self.has_unsent_retractions = True
            if server_id in self.unreported_suspects:
                self.unreported_suspects.remove(server_id)

    def retract_suspicions(self, now: int) -> None:
        """End all suspicions that rest on what this entry has observed."""
        for server_id in self.list_own_suspects():
            if self.suspicions[server_id].reason != ADDRESS_CLAIMED:
                self._end_suspicion(server_id, now)

    def apply_retractions(
        self, retracted: typing.Iterable[str], reporter: str
    ) -> None:
        """End the suspicions that a peer has reported and retracts.

        Parameters
        ----------
        retracted : iterable of str
            Ids of the servers.
        reporter : str
            Host of the peer.
        """
        ended = []
        for server_id in retracted:
            suspicion = self.suspicions.get(server_id)
            if suspicion is not None and suspicion.reporter == reporter:
                del self.suspicions[server_id]
                ended.append(server_id)
        if ended:
            logger.info(
                'suspicion_retracted',
                server=','.join(ended),
                reporter=reporter,
            )

    def apply_reported_suspects(
        self, suspects: typing.Sequence[str], reporter: str, now: int
    ) -> None:
        """Exclude the servers that a peer has seen fail.

        They share one log line: a line for each took most of an entry's time
        while many entries reported many servers.

        Parameters
        ----------
        suspects : sequence of str
            Ids of the servers.
        reporter : str
            Host of the peer.
        now : int
            Current time in milliseconds.
        """
        reason = f'told_by_{reporter}'
        before = set(self.suspicions)
        for server_id in suspects:
            self.suspect(server_id, reason, now, reporter)
        added = [one for one in suspects if one in self.suspicions]
        added = [one for one in added if one not in before]
        if added:
            logger.warning(
                'server_suspected', server=','.join(added), reason=reason
            )

    def record_broken_run(self, server_id: str, now: int) -> None:
        """Record that an engine closed a connection before any answer.

        Its health checks may pass all the while. The engine is probed, and
        once it has broken enough runs, all entries exclude it.

        Parameters
        ----------
        server_id : str
            Id of the engine.
        now : int
            Current time in milliseconds.
        """
        self.probe_candidates.add(server_id)
        if not self.outliers.record_break(server_id, now):
            logger.info('break_doubted', server=server_id)
            return
        if self._may_eject(server_id, now) and self.refusals.record(
            server_id, now, refusals_module.MAX_EJECTION_MS
        ):
            logger.warning('server_ejected', server=server_id)

    def apply_reported_breaks(
        self, host: str, reported: typing.Iterable[int], now: int
    ) -> None:
        """Apply a peer's report of engines that break runs.

        Parameters
        ----------
        host : str
            Host of the peer.
        reported : iterable of int
            Hashes of the engines.
        now : int
            Current time in milliseconds.
        """
        new = self.outliers.record_reported(host, reported, now)
        if not new:
            return
        for server_id in self.servers:
            if server_hashes.compute_server_hash(
                server_id
            ) in new and self._may_eject(server_id, now):
                self.apply_reported_refusals(
                    (server_hashes.compute_server_hash(server_id),), now, False
                )

    def _may_eject(self, server_id: str, now: int) -> bool:
        """Return whether an engine is an outlier and enough others remain."""
        server_hash = server_hashes.compute_server_hash(server_id)
        if not self.outliers.is_outlier(server_hash, now) and not (
            self.outliers.has_broken(server_hash)
            and self.refusals.is_half_open(server_id, now)
        ):
            return False
        max_ejected = outliers_module.MAX_EJECTED_SHARE * len(self.servers)
        if self.refusals.count_excluded(now) < max_ejected:
            return True
        logger.warning('ejection_dropped', server=server_id)
        return False

    def apply_reported_refusals(
        self, reported: typing.Iterable[int], now: int, direct: bool
    ) -> None:
        """Apply a peer's report of excluded engines.

        Parameters
        ----------
        reported : iterable of int
            Hashes of the engines.
        now : int
            Current time in milliseconds.
        direct : bool
            Whether the peer observed the refusals itself.
        """
        for server_hash in reported:
            max_backoff_ms = refusals_module.MAX_BACKOFF_MS
            if self.outliers.has_broken(server_hash):
                max_backoff_ms = refusals_module.MAX_EJECTION_MS
            self.refusals.record_reported(
                (server_hash,), now, direct, max_backoff_ms
            )

    def record_notice(
        self, server: fleet.Server, notice: ports.ServerNotice, now: int
    ) -> None:
        """Record what a server states about itself in a response.

        Parameters
        ----------
        server : fleet.Server
            The server.
        notice : ports.ServerNotice
            Its statement.
        now : int
            Current time in milliseconds.
        """
        if notice.is_leaving and self.departures.record(server, now):
            self._log_departure(server.id, 'stated', now)
            self._mark_leaving(server.id, now)
        if notice.rest_ms > 0 and self.rests.record(
            server.id, notice.rest_ms, now
        ):
            logger.info(
                'server_rest_requested',
                server=server.id,
                milliseconds=notice.rest_ms,
            )
        limit_per_s = notice.limit_per_s
        if limit_per_s is None and not notice.is_authentic:
            return
        if self.named_limits.record(server.id, limit_per_s, now):
            logger.info(
                'server_limit_changed', server=server.id, per_s=limit_per_s
            )

    def apply_reported_departures(
        self, reported: typing.Iterable[int], now: int
    ) -> None:
        """Apply a peer's report of servers that leave.

        Parameters
        ----------
        reported : iterable of int
            Hashes of the runs of their processes.
        now : int
            Current time in milliseconds.
        """
        new = self.departures.record_reported(reported, now)
        if not new:
            return
        for server in self.servers.values():
            if departures_module.compute_run_hash(server) in new:
                self._log_departure(server.id, 'reported', now)
                self._mark_leaving(server.id, now)

    def apply_reported_removals(
        self, reported: typing.Mapping[int, int], copy_revision: int, now: int
    ) -> None:
        """Apply a peer's report of servers that its copy does not list.

        Parameters
        ----------
        reported : mapping of int to int
            Revision of the peer's copy, by the hash of the server's run.
        copy_revision : int
            Revision of the local copy.
        now : int
            Current time in milliseconds.
        """
        self.removals.forget_old(copy_revision, now)
        new = self.removals.record_reported(reported, copy_revision, now)
        if not new:
            return
        self.revision += 1
        for server in self.servers.values():
            if departures_module.compute_run_hash(server) in new:
                self._log_departure(server.id, 'peer_list', now)

    def _mark_leaving(self, server_id: str, now: int) -> None:
        if server_id in self.servers and server_id not in self.leaving:
            self.leaving[server_id] = now
            self.servers_changed_at = now
            self.revision += 1

    def apply_reported_limit(
        self,
        server_hash: int,
        reported: named_limits_module.ReportedLimit,
        now: int,
        echoed_at: int = 0,
        direct: bool = False,
    ) -> None:
        """Apply a peer's report about the limit of a server.

        Parameters
        ----------
        server_hash : int
            Hash of the server.
        reported : named_limits_module.ReportedLimit
            The report.
        now : int
            Current time in milliseconds.
        echoed_at : int, optional
            Time of this entry's clock that the peer had received before it
            sent the report; 0 if it had received none.
        direct : bool, optional
            Whether the peer belongs to the failure domain of this entry.
        """
        if self.named_limits.record_reported(
            server_hash, reported, now, echoed_at, direct
        ):
            logger.info(
                'server_limit_reported',
                server_hash=server_hash,
                per_s=reported.per_s,
            )

    def is_usable(self, server: fleet.Server, now: int) -> bool:
        """Return whether a server may get requests now.

        Parameters
        ----------
        server : fleet.Server
            The server.
        now : int
            Current time in milliseconds.
        """
        return server.id not in self.suspicions and self._is_serving(
            server, now
        )

    def _is_serving(self, server: fleet.Server, now: int) -> bool:
        """Return whether a server is listed and has not left."""
        if server.draining and server.kind:
            # Draining engines refuse new requests at once.
            return False
        if (
            server.id in self.unlisted_while_settling
            and now > self.lapse_use_until
        ):
            return False
        since = self.leaving.get(server.id)
        if since is None:
            since = self.removals.find_since(
                departures_module.compute_run_hash(server)
            )
        return since is None or now - since <= LEAVING_USE_MS

    def list_servers(self, service: str, now: int) -> list[fleet.Server]:
        """List the servers of a service that may get requests.

        Parameters
        ----------
        service : str
            Name of the service.
        now : int
            Current time in milliseconds.
        """
        of_service = [
            server
            for server in self.servers.values()
            if server.service == service
        ]
        usable = [one for one in of_service if self.is_usable(one, now)]
        if usable:
            return usable
        # Reports of peers and records of others do not exclude the last
        # servers of a service.
        return [
            server
            for server in of_service
            if self._is_serving(server, now)
            and (suspicion := self.suspicions.get(server.id)) is not None
            and (suspicion.reporter or suspicion.reason == ADDRESS_CLAIMED)
        ]

    def list_at_address(self, address: str) -> list[fleet.Server]:
        """List the servers whose records have an address.

        There are several while an address is used again, and if another
        program has written one of the records.

        Parameters
        ----------
        address : str
            Address of the servers.
        """
        return [
            self.servers[server_id]
            for server_id in sorted(self._ids_by_address.get(address, ()))
            if server_id in self.servers
        ]

    def find_model(self, service: str) -> fleet.Model | None:
        """Find the model of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        fleet.Model or None
            None for a plain service, or one that is not in the configuration.
        """
        if self.configuration is None:
            return None
        found = self.configuration.services.get(service)
        return None if found is None else found.model


def _names_other_process(current: fleet.Server, server: fleet.Server) -> bool:
    return (current.started_at, current.address) != (
        server.started_at,
        server.address,
    )


def _is_recent(at: int | None, now: int) -> bool:
    return at is not None and now - at < SETTLING_MS


def _format_layers(server: fleet.Server) -> str:
    layers = server.layers
    return '' if layers is None else f'{layers.first}-{layers.end}'
