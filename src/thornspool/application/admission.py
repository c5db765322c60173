"""Admission control: workspace limits, overload and deadlines.

Nothing here calls the platform. A request is checked by local arithmetic;
entries exchange their shares of the limits in a few small messages a second.
"""

from __future__ import annotations

import asyncio
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.domain.configuration import documents
from thornspool.domain.limits import buckets
from thornspool.domain.limits import concurrency
from thornspool.domain.limits import limiter
from thornspool.domain.limits import messages
from thornspool.domain.limits import ownership
from thornspool.domain.limits import shares

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from thornspool import clock as clock_module

SHARE_INTERVAL_MS = 200
REPORT_LINES_PER_S = 3.0
REPORT_LINES_BURST = 24.0
REPORT_TIMEOUT_MS = 500

_RETRY_JITTER = 0.25
_MS_PER_S = 1000.0

logger = structlog.get_logger()


class AdmissionService:
    """Admits or refuses requests without waiting.

    Parameters
    ----------
    configuration : callable
        Returns the snapshot in force.
    members : MemberView
        Entries in view.
    incarnation : str
        Incarnation of the local entry.
    peers : Peers
        Messaging between entries.
    clock : thornspool.clock.Clock
        Source of the monotonic time.
    draw : callable
        Returns random numbers from 0 to 1, used as jitter of retry delays.
    read_capacity : callable
        Takes the name of a group and returns the capacity that its ready
        targets report.
    """

    def __init__(
        self,
        configuration: Callable[[], documents.Snapshot],
        members: ports.MemberView,
        incarnation: str,
        peers: ports.Peers,
        clock: clock_module.Clock,
        draw: Callable[[], float],
        read_capacity: Callable[[str], messages.Capacity],
    ) -> None:
        self._configuration = configuration
        self._members = members
        self._incarnation = incarnation
        self._peers = peers
        self._clock = clock
        self._draw = draw
        self._read_capacity = read_capacity
        self._limiter = limiter.WorkspaceLimiter()
        self._share_ledger = shares.ShareLedger()
        self._groups: dict[str, concurrency.GroupLimit] = {}
        self._line_budget = buckets.build_bucket(
            REPORT_LINES_PER_S, REPORT_LINES_BURST, clock.now()
        )
        self._members_in_view: tuple[str, ...] = ()
        self._members_changed_at = clock.now()
        # The members are read before the first request. A bucket that is
        # built for a single entry would hold the burst of the whole limit
        # at each of several entries.
        self._refresh_members(clock.now())
        peers.handle(messages.DemandReport, self._handle_report)

    @property
    def groups(self) -> Mapping[str, concurrency.GroupLimit]:
        """Concurrency limit of each model and service requested so far."""
        return self._groups

    def admit(
        self, workspace: str, request: messages.RequestEstimate, now: int
    ) -> messages.Admitted | messages.Rejection:
        """Admit a request, or refuse it before anything runs.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        request : messages.RequestEstimate
            Group, kind, size and deadline of the request.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        Admitted or Rejection
            The caller must call `finish` once for each `Admitted`.
        """
        limits = self._get_limits(workspace)
        refused = self._limiter.admit(workspace, limits, now)
        if refused is not None:
            return self._add_retry_jitter(refused)
        group = self._get_group(request.group)
        capacity = self._read_capacity(request.group)
        group.apply_capacity(capacity, len(self._members_in_view), now)
        refused = group.admit(request, now)
        if refused is not None:
            self._limiter.undo_admission(workspace, now)
            return self._add_retry_jitter(refused)
        return messages.Admitted(messages.Ticket(workspace, request, now))

    def observe(
        self, group: str, kind: str, duration_ms: int, now: int
    ) -> None:
        """Record the time to a response of a target, or to its first token."""
        self._get_group(group).observe_answer(kind, duration_ms, now)

    def observe_following_tokens(
        self, ticket: messages.Ticket, units: int, duration_ms: int, now: int
    ) -> None:
        """Record the time of the tokens after the first of a response."""
        request = ticket.estimate
        group = self._get_group(request.group)
        group.observe_following_tokens(request.kind, units, duration_ms, now)

    def record_timeout(self, group: str, started: int, now: int) -> None:
        """Record that a target did not respond in time."""
        self._get_group(group).record_timeout(started, now)

    def finish(self, ticket: messages.Ticket, tokens: int, now: int) -> None:
        """End an admitted request.

        Parameters
        ----------
        ticket : Ticket
            Ticket that `admit` returned.
        tokens : int
            Number of generated tokens, charged to the workspace.
        now : int
            Monotonic milliseconds.
        """
        self._limiter.finish_request(ticket.workspace, tokens, now)
        self._get_group(ticket.estimate.group).release()

    def _get_group(self, name: str) -> concurrency.GroupLimit:
        return self._groups.setdefault(name, concurrency.GroupLimit())

    async def exchange_shares(self, now: int) -> None:
        """Report demand to the owners of limits and apply their grants.

        Called every `SHARE_INTERVAL_MS`.
        """
        incarnations = self._refresh_members(now)
        self._line_budget.refill(now)
        lines = self._limiter.collect_reports(
            now, int(self._line_budget.level)
        )
        self._line_budget.level -= len(lines)
        by_owner: dict[str, list[messages.WorkspaceDemand]] = {}
        for line in lines:
            owner = ownership.find_owner(line.workspace, incarnations)
            by_owner.setdefault(owner, []).append(line)
        await asyncio.gather(
            *(
                self._report(owner, owner_lines)
                for owner, owner_lines in by_owner.items()
            )
        )

    async def run(self) -> None:
        """Exchange demand and grants periodically until cancelled."""
        while True:
            await self.exchange_shares(self._clock.now())
            await asyncio.sleep(SHARE_INTERVAL_MS / _MS_PER_S)

    async def _report(
        self, owner: str, lines: Sequence[messages.WorkspaceDemand]
    ) -> None:
        report = messages.pack_report(lines)
        try:
            reply = await self._send_report(owner, report)
        except exceptions.PeerUnreachable:
            self._record_owner_lost(owner, lines)
            return
        for grant in messages.unpack_reply(reply):
            self._limiter.apply_grant(grant, self._clock.now())

    def _record_owner_lost(
        self, owner: str, lines: Sequence[messages.WorkspaceDemand]
    ) -> None:
        now = self._clock.now()
        names = [line.workspace for line in lines]
        lost = [
            self._limiter.record_owner_unreachable(name, now) for name in names
        ]
        if any(lost):
            logger.warning(
                'limits_owner_lost', owner=owner, workspaces=sum(lost)
            )

    async def _send_report(
        self, owner: str, report: messages.DemandReport
    ) -> messages.GrantReply:
        if owner == self._incarnation:
            return await self._handle_report(owner, report)
        member = self._members.find(owner)
        if member is None:
            raise exceptions.PeerUnreachable(f'{owner} is not in view.')
        reply = await self._peers.request(
            member.peer_address, report, REPORT_TIMEOUT_MS
        )
        return typing.cast('messages.GrantReply', reply)

    async def _handle_report(
        self, sender: str, report: messages.DemandReport
    ) -> messages.GrantReply:
        now = self._clock.now()
        incarnations = self._refresh_members(now)
        is_settled = now - self._members_changed_at >= shares.GRANT_TTL_MS
        grants = []
        for line in messages.unpack_report(report):
            limits = self._get_limits(line.workspace)
            grant = self._share_ledger.grant(
                sender, line, limits, len(incarnations), is_settled, now
            )
            if grant is not None:
                grants.append(grant)
        return messages.pack_reply(
            report.sequence, shares.GRANT_TTL_MS, grants
        )

    def _refresh_members(self, now: int) -> tuple[str, ...]:
        incarnations = tuple(
            member.incarnation
            for member in self._members.list_members()
            if member.state
            in (ports.MemberState.ALIVE, ports.MemberState.SUSPECT)
        ) or (self._incarnation,)
        if incarnations != self._members_in_view:
            self._members_in_view = incarnations
            self._members_changed_at = now
            self._limiter.set_members(len(incarnations), now)
        return incarnations

    def _get_limits(self, workspace: str) -> documents.Limits:
        found = self._configuration().workspaces.get(workspace)
        return found.limits if found else documents.Limits()

    def _add_retry_jitter(
        self, refused: messages.Rejection
    ) -> messages.Rejection:
        """Add jitter, so that refused callers do not all retry at once."""
        factor = 1.0 + _RETRY_JITTER * self._draw()
        return attrs.evolve(
            refused, retry_after_ms=int(refused.retry_after_ms * factor)
        )
