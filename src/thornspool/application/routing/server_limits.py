"""What this entry may send to servers that name a limit or ask for rest.

The limit of a server applies to all entries together. One entry, determined by
rendezvous hashing, owns it and grants shares of it to the entries that report
demand. Without a share, an entry sends no request to the server. Rest binds
only the entry that was asked for it.
"""

from __future__ import annotations

import copy
import typing

import structlog

from thornspool.domain.configuration import documents
from thornspool.domain.fleet import named_limits
from thornspool.domain.fleet import server_hashes
from thornspool.domain.limits import messages
from thornspool.domain.limits import ownership
from thornspool.domain.limits import server_shares
from thornspool.domain.limits import shares

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool import clock as clock_module
    from thornspool.application.routing import exchanges
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.domain.entries import view as view_module
    from thornspool.domain.fleet import messages as fleet

PeerMessage = messages.PeerReport | messages.PeerReply

logger = structlog.get_logger(__name__)


class ServerLimits:
    """Keeps the requests of this entry within the limits of servers.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Limits that servers name.
    view : view_module.View
        The other entries.
    send : callable
        Sends a message to the entry at ``ip:port``.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        view: view_module.View,
        send: Callable[[str, PeerMessage], None],
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._view = view
        self._send = send
        self._shares = server_shares.ServerShares()
        self._ledger = shares.ShareLedger(shares.SERVER_DIVISION)
        self._incarnations: frozenset[str] = frozenset()
        self._incarnations_changed_at = clock.now()

    def detach(self) -> ServerLimits:
        """Copy the shares for a dry run, which changes only the copy."""
        detached = copy.copy(self)
        detached._shares = copy.deepcopy(self._shares)
        return detached

    def has_room(self, server_id: str) -> bool:
        """Return whether a server accepts a request of this entry now."""
        now = self._clock.now()
        if self._routing_state.rests.compute_remaining(server_id, now):
            return False
        limit = self._routing_state.named_limits.get(server_id)
        return limit is None or self._shares.has_room(server_id, limit, now)

    def record_send(self, server_id: str) -> None:
        """Record a request that is sent to a server."""
        limit = self._routing_state.named_limits.get(server_id)
        if limit is not None:
            now = self._clock.now()
            self._shares.record_demand(server_id, limit, now)
            self._shares.record_send(server_id, limit, now)

    def record_demand(
        self, server_id: str, exchange: exchanges.Exchange
    ) -> None:
        """Record that a request would use a server if it had room.

        The demand of a request counts once for each server, as a request that
        waits is tried again many times.
        """
        limit = self._routing_state.named_limits.get(server_id)
        if limit is not None and server_id not in exchange.demanded:
            exchange.demanded.add(server_id)
            self._shares.record_demand(server_id, limit, self._clock.now())

    def try_acquire(self, server_id: str, is_needed: bool = False) -> bool:
        """Acquire a call that is no request, such as a probe.

        Parameters
        ----------
        server_id : str
            The server.
        is_needed : bool, optional
            Whether to report demand for the call if there is no room.

        Returns
        -------
        bool
            Whether the call may be sent now.
        """
        now = self._clock.now()
        if self._routing_state.rests.compute_remaining(server_id, now):
            return False
        limit = self._routing_state.named_limits.get(server_id)
        if limit is None:
            return True
        if self._shares.has_room(server_id, limit, now):
            self._shares.record_send(server_id, limit, now)
            return True
        if is_needed:
            self._shares.record_demand(server_id, limit, now)
        return False

    def select_exhausted(self, servers: Iterable[fleet.Server]) -> list[str]:
        """Select the servers that accept no request of this entry now."""
        if not (
            self._routing_state.named_limits.is_any_in_force
            or self._routing_state.rests.is_any_requested
        ):
            return []
        return [
            server.id for server in servers if not self.has_room(server.id)
        ]

    def compute_retry_after(self, server_ids: Iterable[str]) -> int | None:
        """Compute when one of several servers has room for a refused caller.

        Parameters
        ----------
        server_ids : iterable of str
            Servers that could serve the caller.

        Returns
        -------
        int or None
            Milliseconds; None if none of the servers names a limit or wants
            rest.
        """
        now = self._clock.now()
        names = list(server_ids)
        limits = self._routing_state.named_limits.select(names)
        rests = self._routing_state.rests.select(names, now)
        waits = {
            name: max(
                rests.get(name, 0),
                self._shares.estimate_wait(name, limits[name], now)
                if name in limits
                else 0,
            )
            for name in {*limits, *rests}
        }
        if not waits:
            return None
        server_id = min(waits, key=lambda name: (waits[name], name))
        if server_id in limits:
            self._shares.promise_room(
                server_id, limits[server_id], now, waits[server_id]
            )
        return waits[server_id]

    def get_share(self, server_id: str) -> float:
        """Return this entry's share of a server's limit, per second."""
        return self._shares.get_share(server_id, self._clock.now())

    def tick(self) -> None:
        """Report demand to the owners; called every 25 ms."""
        self._refresh_incarnations()
        if not self._routing_state.named_limits.is_any_in_force:
            self._shares.retain(())
            return
        now = self._clock.now()
        limits = self._routing_state.named_limits.select(
            self._routing_state.servers
        )
        self._shares.retain(limits)
        by_owner: dict[str, list[messages.WorkspaceDemand]] = {}
        for line in self._shares.collect_reports(now):
            owner = ownership.find_owner(line.workspace, self._incarnations)
            by_owner.setdefault(owner, []).append(line)
        for owner, lines in by_owner.items():
            self._report(owner, lines)

    def apply_message(self, message: PeerMessage) -> None:
        """Apply a report or a reply of another entry."""
        peer = self._view.peers.get(message.host)
        if peer is None or peer.record.incarnation != message.incarnation:
            return
        if isinstance(message, messages.PeerReply):
            self._apply_reply(message.reply)
            return
        self._record_limits(message)
        reply = self._grant(message.incarnation, message.report)
        if reply.grants:
            local = self._view.local
            self._send(
                peer.record.peers,
                messages.PeerReply(local.host, local.incarnation, reply),
            )

    def _refresh_incarnations(self) -> None:
        """Update which entries may own limits."""
        incarnations = frozenset(
            [
                self._view.local.incarnation,
                *(
                    peer.record.incarnation
                    for peer in self._view.peers.values()
                ),
            ]
        )
        if incarnations != self._incarnations:
            self._incarnations = incarnations
            self._incarnations_changed_at = self._clock.now()

    def _report(
        self, owner: str, lines: list[messages.WorkspaceDemand]
    ) -> None:
        report = messages.pack_report(lines)
        local = self._view.local
        if owner == local.incarnation:
            self._apply_reply(self._grant(owner, report))
            return
        address = next(
            peer.record.peers
            for peer in self._view.peers.values()
            if peer.record.incarnation == owner
        )
        now = self._clock.now()
        limits = {}
        for line in lines:
            known = self._routing_state.named_limits.find_report(
                line.workspace, now
            )
            if known is not None and known.per_s is not None:
                limits[line.workspace] = (
                    round(known.per_s * messages.WIRE_SCALE),
                    known.age_ms,
                )
        self._send(
            address,
            messages.PeerReport(local.host, local.incarnation, report, limits),
        )

    def _record_limits(self, message: messages.PeerReport) -> None:
        """Record the limits on which a report of demand is based."""
        now = self._clock.now()
        for server_id, (per_s, age_ms) in message.limits.items():
            self._routing_state.apply_reported_limit(
                server_hashes.compute_server_hash(server_id),
                named_limits.ReportedLimit(
                    per_s / messages.WIRE_SCALE, age_ms
                ),
                now,
            )

    def _grant(
        self, reporter: str, report: messages.DemandReport
    ) -> messages.GrantReply:
        """Grant shares of the limits that this entry owns."""
        self._refresh_incarnations()
        now = self._clock.now()
        settled = (
            now - self._incarnations_changed_at >= shares.SERVER_GRANT_TTL_MS
        )
        grants = []
        for line in messages.unpack_report(report):
            limit = self._routing_state.named_limits.get(line.workspace)
            owner = ownership.find_owner(line.workspace, self._incarnations)
            if limit is None or owner != self._view.local.incarnation:
                continue
            grant = self._ledger.grant(
                reporter,
                line,
                documents.Limits(
                    requests_per_s=max(server_shares.MIN_LIMIT_PER_S, limit)
                ),
                len(self._incarnations),
                settled,
                now,
            )
            if grant is not None:
                grants.append(grant)
        return messages.pack_reply(
            report.sequence, shares.SERVER_GRANT_TTL_MS, grants
        )

    def _apply_reply(self, reply: messages.GrantReply) -> None:
        now = self._clock.now()
        for grant in messages.unpack_reply(reply):
            self._shares.apply_grant(grant, now)
