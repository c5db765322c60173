"""Keeps counts for objectives here and gathers them from all entries.

Entries keep nothing on disk, so the counts of an entry end with its process;
a report says how many entries it was gathered from.
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
    """Asks an entry for its counts."""


@attrs.frozen
class SubjectCounts:
    """Counts of one subject at one entry, for each window of the rules."""

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
    """Burn of every subject.

    Attributes
    ----------
    wall : int
        Milliseconds since the Unix epoch.
    windows_ms : tuple of int
        Windows, in the order of each burn's rates.
    entries_asked, entries_answered : int
        How many entries it was gathered from.
    burns : tuple of burn.Burn
        The worst first.
    """

    wall: int
    windows_ms: tuple[int, ...]
    entries_asked: int
    entries_answered: int
    burns: tuple[burn.Burn, ...]


class ObjectiveService:
    """Counts of this entry, and reports over all entries.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    snapshot : callable
        Returns the configuration in force.
    peers : ports.Peers
        Messages between entries.
    members : ports.MemberView
        Entries to gather from.
    incarnation : str
        This process, which is not asked over the network.
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
        peers.handle(CountsAsked, self._answer_counts)

    def record_outcome(self, workspace: str, name: str, good: bool) -> None:
        """Count a request that ended, towards availability."""
        subject = burn.Subject(workspace, name, burn.Indicator.AVAILABILITY)
        self._add(subject, int(good), int(not good))

    def record_time(
        self,
        workspace: str,
        name: str,
        indicator: burn.Indicator,
        milliseconds: int,
    ) -> None:
        """Compare a time with the bound of its objective and count it."""
        self.record_times(workspace, name, indicator, (milliseconds,))

    def record_times(
        self,
        workspace: str,
        name: str,
        indicator: burn.Indicator,
        times_ms: Sequence[int],
    ) -> None:
        """Compare times with the bound of their objective and count them."""
        objective = self._find_objective(workspace, name)
        if objective is None:
            return
        for checked, _, bound in burn.list_checks(objective):
            if checked is indicator and bound is not None:
                subject = burn.Subject(workspace, name, indicator)
                good = sum(time <= bound for time in times_ms)
                self._add(subject, good, len(times_ms) - good)

    async def report(
        self, workspaces: tuple[str, ...] | None = None
    ) -> BurnReport:
        """Gather the counts of all entries and work out every burn.

        Parameters
        ----------
        workspaces : tuple of str, optional
            Workspaces to report on; all when left out.
        """
        others = [
            member
            for member in self._members.list_members()
            if member.incarnation != self._incarnation
        ]
        replies = await asyncio.gather(
            *(self._ask(member.peer_address) for member in others)
        )
        answered = [reply for reply in replies if reply is not None]
        answered.append(self._read_all())
        return BurnReport(
            wall=self._clock.wall(),
            windows_ms=burn.WINDOWS_MS,
            entries_asked=len(others) + 1,
            entries_answered=len(answered),
            burns=tuple(
                one
                for one in self._assess(answered)
                if workspaces is None or one.subject.workspace in workspaces
            ),
        )

    def _add(self, subject: burn.Subject, good: int, bad: int) -> None:
        counts = self._counts.get(subject)
        if counts is None:
            counts = self._counts[subject] = objective_counts.SlidingCounts()
        counts.add(self._clock.now(), good, bad)

    async def _answer_counts(
        self, sender: str, message: CountsAsked
    ) -> CountsReply:
        return self._read_all()

    async def _ask(self, peer_address: str) -> CountsReply | None:
        """Ask one entry; None when it does not answer in time."""
        try:
            reply: CountsReply = await self._peers.ask(
                peer_address, CountsAsked(), GATHER_TIMEOUT_MS
            )
        except exceptions.PeerUnreachable as error:
            logger.warning(
                'report_incomplete', peer=peer_address, reason=error.message
            )
            return None
        return reply

    def _read_all(self) -> CountsReply:
        """Read the counts of this entry."""
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

    def _assess(self, replies: list[CountsReply]) -> tuple[burn.Burn, ...]:
        """Sum the counts of all entries and work out each burn."""
        totals: dict[burn.Subject, list[objective_counts.Counts]] = {}
        for reply in replies:
            for line in reply.subjects:
                subject = burn.Subject(
                    line.workspace, line.name, burn.Indicator(line.indicator)
                )
                before = totals.get(
                    subject,
                    [objective_counts.Counts()] * len(burn.WINDOWS_MS),
                )
                totals[subject] = [
                    counts.add(objective_counts.Counts(good, bad))
                    for counts, good, bad in zip(
                        before, line.good, line.bad, strict=True
                    )
                ]
        burns = [
            self._assess_one(subject, windows)
            for subject, windows in totals.items()
        ]
        known = [one for one in burns if one is not None]
        return tuple(sorted(known, key=lambda one: -max(one.rates)))

    def _assess_one(
        self, subject: burn.Subject, windows: list[objective_counts.Counts]
    ) -> burn.Burn | None:
        """Work out one burn; None when its objective is gone."""
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
        """Return the objective of a service, or of a workspace's models."""
        snapshot = self._snapshot()
        service = snapshot.services.get(name)
        if service is not None and service.workspace == workspace:
            return service.objective
        found = snapshot.workspaces.get(workspace)
        return found.objective if found else None
