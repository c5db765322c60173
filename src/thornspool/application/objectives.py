"""Counts requests for objectives and collects the counts of all entries.

Entries store nothing on disk, so the counts of an entry are lost when its
process ends. A report contains the number of entries that it covers.
"""

from __future__ import annotations

import asyncio
import typing

import attrs
import structlog

from thornspool.application import exceptions
from thornspool.domain.objectives import burn
from thornspool.domain.objectives import counts as objective_counts

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from thornspool import clock
    from thornspool.application import ports
    from thornspool.domain.configuration import documents

GATHER_TIMEOUT_MS = 2000

logger = structlog.get_logger()


@attrs.frozen
class CountsAsked:
    """Requests the counts of an entry."""


@attrs.frozen
class SubjectCounts:
    """Counts of one subject at one entry, for each window."""

    workspace: str
    name: str
    indicator: str
    good: tuple[int, ...]
    bad: tuple[int, ...]


@attrs.frozen
class CountsReply:
    """All counts of one entry."""

    subjects: tuple[SubjectCounts, ...]


@attrs.frozen
class BurnReport:
    """Burn rates of the error budgets of all subjects.

    Attributes
    ----------
    wall : int
        Milliseconds since the Unix epoch.
    windows_ms : tuple of int
        Lengths of the windows, in the order of the rates of each burn.
    entries_asked, entries_answered : int
        Number of entries that were requested, and that replied.
    burns : tuple of burn.Burn
        Burns in descending order of their highest rate.
    """

    wall: int
    windows_ms: tuple[int, ...]
    entries_asked: int
    entries_answered: int
    burns: tuple[burn.Burn, ...]


class ObjectiveService:
    """Keeps the counts of the local entry and reports on all entries.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    snapshot : callable
        Returns the configuration in force.
    peers : ports.Peers
        Messaging between entries.
    members : ports.MemberView
        Entries in view.
    incarnation : str
        Incarnation of the local entry, which is read without a message.
    """

    def __init__(
        self,
        clock: clock.Clock,
        snapshot: Callable[[], documents.Snapshot],
        peers: ports.Peers,
        members: ports.MemberView,
        incarnation: str,
    ) -> None:
        self._clock = clock
        self._snapshot = snapshot
        self._peers = peers
        self._members = members
        self._incarnation = incarnation
        self._counts: dict[burn.Subject, objective_counts.SlidingCounts] = {}
        peers.handle(CountsAsked, self._handle_counts_request)

    def record_outcome(self, workspace: str, name: str, good: bool) -> None:
        """Count a completed request towards the availability objective."""
        subject = burn.Subject(workspace, name, burn.Indicator.AVAILABILITY)
        self._add_counts(subject, int(good), int(not good))

    def record_time(
        self,
        workspace: str,
        name: str,
        indicator: burn.Indicator,
        milliseconds: int,
    ) -> None:
        """Compare a time with the limit of its objective and count it."""
        self.record_times(workspace, name, indicator, (milliseconds,))

    def record_times(
        self,
        workspace: str,
        name: str,
        indicator: burn.Indicator,
        times_ms: Sequence[int],
    ) -> None:
        """Compare times with the limit of their objective and count them."""
        objective = self._find_objective(workspace, name)
        if objective is None:
            return
        for checked, _, max_ms in burn.list_checks(objective):
            if checked is indicator and max_ms is not None:
                subject = burn.Subject(workspace, name, indicator)
                good = sum(time <= max_ms for time in times_ms)
                self._add_counts(subject, good, len(times_ms) - good)

    async def report(
        self, workspaces: tuple[str, ...] | None = None
    ) -> BurnReport:
        """Collect the counts of all entries and compute all burn rates.

        Parameters
        ----------
        workspaces : tuple of str, optional
            Workspaces to report on; all of them by default.

        Returns
        -------
        BurnReport
            Burn rates over the entries that replied in time.
        """
        others = [
            member
            for member in self._members.list_members()
            if member.incarnation != self._incarnation
        ]
        replies = await asyncio.gather(
            *(self._request_counts(member.peer_address) for member in others)
        )
        answered = [reply for reply in replies if reply is not None]
        answered.append(self._read_local_counts())
        return BurnReport(
            wall=self._clock.wall(),
            windows_ms=burn.WINDOWS_MS,
            entries_asked=len(others) + 1,
            entries_answered=len(answered),
            burns=tuple(
                one
                for one in self._compute_burns(answered)
                if workspaces is None or one.subject.workspace in workspaces
            ),
        )

    def _add_counts(self, subject: burn.Subject, good: int, bad: int) -> None:
        counts = self._counts.get(subject)
        if counts is None:
            counts = self._counts[subject] = objective_counts.SlidingCounts()
        counts.add(self._clock.now(), good, bad)

    async def _handle_counts_request(
        self, sender: str, message: CountsAsked
    ) -> CountsReply:
        return self._read_local_counts()

    async def _request_counts(self, peer_address: str) -> CountsReply | None:
        """Request the counts of one entry; None without a timely reply."""
        try:
            reply: CountsReply = await self._peers.request(
                peer_address, CountsAsked(), GATHER_TIMEOUT_MS
            )
        except exceptions.PeerUnreachable as error:
            logger.warning(
                'report_incomplete', peer=peer_address, reason=error.message
            )
            return None
        return reply

    def _read_local_counts(self) -> CountsReply:
        """Read the counts of the local entry."""
        now = self._clock.now()
        subjects = []
        for subject, counts in self._counts.items():
            windows = [counts.read(now, window) for window in burn.WINDOWS_MS]
            subjects.append(
                SubjectCounts(
                    subject.workspace,
                    subject.name,
                    subject.indicator.value,
                    tuple(window.good for window in windows),
                    tuple(window.bad for window in windows),
                )
            )
        return CountsReply(tuple(subjects))

    def _compute_burns(
        self, replies: list[CountsReply]
    ) -> tuple[burn.Burn, ...]:
        """Sum the counts of all entries and compute each burn rate."""
        totals: dict[burn.Subject, list[objective_counts.Counts]] = {}
        for reply in replies:
            for line in reply.subjects:
                subject = burn.Subject(
                    line.workspace, line.name, burn.Indicator(line.indicator)
                )
                summed = totals.get(
                    subject,
                    [objective_counts.Counts()] * len(burn.WINDOWS_MS),
                )
                totals[subject] = [
                    counts.add(objective_counts.Counts(good, bad))
                    for counts, good, bad in zip(
                        summed, line.good, line.bad, strict=True
                    )
                ]
        burns = [
            self._compute_burn(subject, windows)
            for subject, windows in totals.items()
        ]
        computed = [one for one in burns if one is not None]
        return tuple(sorted(computed, key=lambda one: -max(one.rates)))

    def _compute_burn(
        self, subject: burn.Subject, windows: list[objective_counts.Counts]
    ) -> burn.Burn | None:
        """Compute one burn rate; None if the objective no longer exists."""
        objective = self._find_objective(subject.workspace, subject.name)
        if objective is None:
            return None
        for indicator, share, _ in burn.list_checks(objective):
            if indicator is subject.indicator:
                counted = tuple(
                    burn.WindowCounts(window_ms, counts)
                    for window_ms, counts in zip(
                        burn.WINDOWS_MS, windows, strict=True
                    )
                )
                return burn.assess_burn(subject, share, counted)
        return None

    def _find_objective(
        self, workspace: str, name: str
    ) -> documents.Objective | None:
        """Return the objective of a service or of a workspace's models."""
        snapshot = self._snapshot()
        service = snapshot.services.get(name)
        if service is not None and service.workspace == workspace:
            return service.objective
        found = snapshot.workspaces.get(workspace)
        return found.objective if found else None
