"""Admission: limits of workspaces, overload and deadlines.

Nothing here calls the platform. A request costs local arithmetic; shares of
the limits move between entries by a few small messages a second.
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
ASK_TIMEOUT_MS = 500

_RETRY_SPREAD = 0.25
_MS_PER_S = 1000.0

logger = structlog.get_logger()


class AdmissionService:
    """Admits or refuses requests at once.

    Parameters
    ----------
    configuration : callable
        Returns the snapshot in force.
    members : MemberView
        The entries in view.
    incarnation : str
        This entry's own.
    peers : Peers
        Messages between entries.
    clock : thornspool.clock.Clock
        Time of the reports of other entries.
    draw : callable
        Returns random numbers from 0 to 1, to spread retries.
    read_capacity : callable
        Returns what the ready targets of a group report, by its name.
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
        self._ledger = shares.ShareLedger()
        self._groups: dict[str, concurrency.GroupLimit] = {}
        self._lines = buckets.build_bucket(
            REPORT_LINES_PER_S, REPORT_LINES_BURST, clock.now()
        )
        self._view: tuple[str, ...] = ()
        self._view_changed_at = clock.now()
        # Before the first request: a bucket built for one entry would hold
        # the burst of the whole limit at each of them.
        self._refresh_view(clock.now())
        peers.handle(messages.DemandReport, self._answer_report)

    @property
    def groups(self) -> Mapping[str, concurrency.GroupLimit]:
        """The bound of each model and service that was asked for."""
        return self._groups

    def admit(
        self, workspace: str, asked: messages.Asked, now: int
    ) -> messages.Admitted | messages.Refused:
        """Admit a request, or refuse it before anything was run.

        Parameters
        ----------
        workspace : str
            Workspace of the caller.
        asked : messages.Asked
            The request.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        Admitted or Refused
            `finish` must follow an `Admitted`.
        """
        limits = self._find_limits(workspace)
        refused = self._limiter.admit(workspace, limits, now)
        if refused is not None:
            return self._spread(refused)
        group = self._find_group(asked.group)
        capacity = self._read_capacity(asked.group)
        group.hear_capacity(capacity, len(self._view), now)
        refused = group.admit(asked, now)
        if refused is not None:
            self._limiter.withdraw(workspace, now)
            return self._spread(refused)
        return messages.Admitted(messages.Ticket(workspace, asked, now))

    def observe(
        self, group: str, kind: str, duration_ms: int, now: int
    ) -> None:
        """Learn from an answer of a target, or from its first token."""
        self._find_group(group).observe(kind, duration_ms, now)

    def observe_rest(
        self, ticket: messages.Ticket, units: int, duration_ms: int, now: int
    ) -> None:
        """Learn from the tokens after the first of a whole answer."""
        asked = ticket.asked
        group = self._find_group(asked.group)
        group.observe_rest(asked.kind, units, duration_ms, now)

    def note_late(self, group: str, started: int, now: int) -> None:
        """Take in that a target did not answer in time."""
        self._find_group(group).note_late(started, now)

    def finish(self, ticket: messages.Ticket, tokens: int, now: int) -> None:
        """End an admitted request.

        Parameters
        ----------
        ticket : Ticket
            From `admit`.
        tokens : int
            Tokens generated, charged to the workspace.
        now : int
            Monotonic milliseconds.
        """
        self._limiter.finish(ticket.workspace, tokens, now)
        self._find_group(ticket.asked.group).release()

    def _find_group(self, name: str) -> concurrency.GroupLimit:
        return self._groups.setdefault(name, concurrency.GroupLimit())

    async def share_demand(self, now: int) -> None:
        """Report what is due to the owners and take their grants into use.

        Called every `SHARE_INTERVAL_MS`.
        """
        view = self._refresh_view(now)
        self._lines.refill(now)
        lines = self._limiter.collect(now, int(self._lines.level))
        self._lines.level -= len(lines)
        by_owner: dict[str, list[messages.WorkspaceDemand]] = {}
        for line in lines:
            owner = ownership.find_owner(line.workspace, view)
            by_owner.setdefault(owner, []).append(line)
        await asyncio.gather(
            *(self._report(owner, due) for owner, due in by_owner.items())
        )

    async def run(self) -> None:
        """Share demand until cancelled."""
        while True:
            await self.share_demand(self._clock.now())
            await asyncio.sleep(SHARE_INTERVAL_MS / _MS_PER_S)

    async def _report(
        self, owner: str, lines: Sequence[messages.WorkspaceDemand]
    ) -> None:
        report = messages.pack_report(lines)
        try:
            reply = await self._ask(owner, report)
        except exceptions.PeerUnreachable:
            self._note_owner_lost(owner, lines)
            return
        for grant in messages.unpack_reply(reply):
            self._limiter.apply(grant, self._clock.now())

    def _note_owner_lost(
        self, owner: str, lines: Sequence[messages.WorkspaceDemand]
    ) -> None:
        now = self._clock.now()
        names = [line.workspace for line in lines]
        lost = [self._limiter.note_owner_lost(name, now) for name in names]
        if any(lost):
            logger.warning(
                'limits_owner_lost', owner=owner, workspaces=sum(lost)
            )

    async def _ask(
        self, owner: str, report: messages.DemandReport
    ) -> messages.GrantReply:
        if owner == self._incarnation:
            return await self._answer_report(owner, report)
        member = self._members.find(owner)
        if member is None:
            raise exceptions.PeerUnreachable(f'{owner} left the view.')
        reply = await self._peers.ask(
            member.peer_address, report, ASK_TIMEOUT_MS
        )
        return typing.cast('messages.GrantReply', reply)

    async def _answer_report(
        self, sender: str, report: messages.DemandReport
    ) -> messages.GrantReply:
        now = self._clock.now()
        view = self._refresh_view(now)
        settled = now - self._view_changed_at >= shares.GRANT_TTL_MS
        grants = []
        for line in messages.unpack_report(report):
            limits = self._find_limits(line.workspace)
            grant = self._ledger.grant(
                sender, line, limits, len(view), settled, now
            )
            if grant is not None:
                grants.append(grant)
        return messages.pack_reply(
            report.sequence, shares.GRANT_TTL_MS, grants
        )

    def _refresh_view(self, now: int) -> tuple[str, ...]:
        view = tuple(
            member.incarnation
            for member in self._members.list_members()
            if member.state
            in (ports.MemberState.ALIVE, ports.MemberState.SUSPECT)
        ) or (self._incarnation,)
        if view != self._view:
            self._view = view
            self._view_changed_at = now
            self._limiter.set_members(len(view), now)
        return view

    def _find_limits(self, workspace: str) -> documents.Limits:
        found = self._configuration().workspaces.get(workspace)
        return found.limits if found else documents.Limits()

    def _spread(self, refused: messages.Refused) -> messages.Refused:
        """Keep callers that were refused together from returning so."""
        factor = 1.0 + _RETRY_SPREAD * self._draw()
        return attrs.evolve(
            refused, retry_after_ms=int(refused.retry_after_ms * factor)
        )
