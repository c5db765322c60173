"""Retries that the processes of a fleet have sent to one service.

Each process reports a number that only grows, so that reports may be lost,
repeated, late or passed on by others. The retries of a process count until
they have left the window, also when the process has ended.
"""

from __future__ import annotations

import collections
import heapq

import attrs

GROUP_MS = 500
"""Time within which the retries of a process are reported as one group."""


@attrs.frozen
class Report:
    """Retries of one process.

    Attributes
    ----------
    total : int
        Retries since the process has started.
    in_window : int
        Those of them in the last window.
    groups : tuple of tuple of int and int
        Ages in milliseconds and numbers of the retries in the last window,
        the latest first. Earlier ones may be left out.
    """

    total: int
    in_window: int
    groups: tuple[tuple[int, int], ...]


@attrs.define
class _Group:
    began_at: int
    last_at: int
    count: int


class SentRetries:
    """Retries of one process in the window of one service.

    Parameters
    ----------
    window_ms : int
        Length of the window in milliseconds.

    Attributes
    ----------
    total : int
        Retries since the process has started.
    heard_at : int
        When the last report of the process was received.
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._groups: collections.deque[_Group] = collections.deque()
        self.total = 0
        self.heard_at = 0

    def record_retry(self, now: int) -> None:
        """Record that this process sends a retry."""
        self.total += 1
        self.add(now, 1)

    def add(self, at: int, count: int) -> None:
        """Add retries that ``total`` includes, in the order of their times."""
        last = self._groups[-1] if self._groups else None
        if last is not None and at - last.began_at < GROUP_MS:
            last.last_at = max(last.last_at, at)
            last.count += count
        else:
            self._groups.append(_Group(at, at, count))

    def drop_expired(self, now: int) -> None:
        """Drop the retries that have left the window."""
        while (
            self._groups and self._groups[0].last_at <= now - self._window_ms
        ):
            self._groups.popleft()

    @property
    def has_recent(self) -> bool:
        """Whether there are retries that have not been dropped."""
        return bool(self._groups)

    def build_report(self, now: int, max_age_ms: int | None = None) -> Report:
        """Build the report of the retries in the window.

        Parameters
        ----------
        now : int
            Milliseconds of the clock.
        max_age_ms : int, optional
            Age in milliseconds up to which groups are listed.
        """
        self.drop_expired(now)
        longest_ms = self._window_ms if max_age_ms is None else max_age_ms
        groups = []
        for group in reversed(self._groups):
            if now - group.last_at > longest_ms:
                break
            groups.append((now - group.last_at, group.count))
        in_window = sum(group.count for group in self._groups)
        return Report(self.total, in_window, tuple(groups))


class RetryHistory:
    """Retries of all other processes in the window of one service.

    Parameters
    ----------
    window_ms : int
        Length of the window in milliseconds.
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._processes: dict[int, SentRetries] = {}
        # Heap of the times at which retries leave the window, with numbers.
        self._expiries: list[tuple[int, int]] = []
        self._count = 0

    def record(self, process_id: int, report: Report, now: int) -> None:
        """Add the retries of a process that are not known yet.

        Where it is uncertain which retries of a report these are, the latest
        ones are taken, which remain in the window for longest.

        Parameters
        ----------
        process_id : int
            Identifies the process.
        report : Report
            Report of the process, from itself or passed on by a peer.
        now : int
            Milliseconds of the clock.
        """
        process = self._processes.get(process_id)
        if process is None:
            process = self._processes[process_id] = SentRetries(
                self._window_ms
            )
        process.heard_at = now
        unknown = min(report.total - process.total, report.in_window)
        process.total = max(process.total, report.total)
        added: list[tuple[int, int]] = []
        for age, count in report.groups:
            if unknown <= 0:
                break
            added.append((now - age, min(count, unknown)))
            unknown -= count
        if added and unknown > 0:
            # Those that the report leaves out are older than its groups.
            at, count = added[-1]
            added[-1] = (at, count + unknown)
        for at, count in reversed(added):
            process.add(at, count)
            heapq.heappush(self._expiries, (at + self._window_ms, count))
            self._count += count

    def count(self, now: int) -> int:
        """Count the retries in the window."""
        while self._expiries and self._expiries[0][0] <= now:
            self._count -= heapq.heappop(self._expiries)[1]
        return self._count

    def list_reports(
        self, now: int, max_age_ms: int | None = None
    ) -> dict[int, Report]:
        """List the reports of the processes with retries in the window.

        Parameters
        ----------
        now : int
            Milliseconds of the clock.
        max_age_ms : int, optional
            Age in milliseconds up to which groups are listed. Processes
            without any are left out.
        """
        self.drop_expired(now)
        reports = {
            process_id: process.build_report(now, max_age_ms)
            for process_id, process in self._processes.items()
            if process.has_recent
        }
        return {key: found for key, found in reports.items() if found.groups}

    def drop_expired(self, now: int) -> None:
        """Drop what has left the window.

        A process without retries in it is forgotten only when no peer has
        reported it for a window. Otherwise a peer from whose window they have
        not expired yet would add them again.
        """
        for process_id, process in list(self._processes.items()):
            process.drop_expired(now)
            if (
                not process.has_recent
                and now - process.heard_at > self._window_ms
            ):
                del self._processes[process_id]
