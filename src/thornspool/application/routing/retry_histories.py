"""What an entry knows of the retries that all other processes have sent."""

from __future__ import annotations

import typing

import attrs
import structlog

from thornspool.domain.retries import histories
from thornspool.domain.retries import pools

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module

MAX_REPORTED_GROUPS = 6_000
"""Groups of retries in an update above which each report has its latest only.

Each group takes three bytes, and an update has to fit into a datagram.
"""

_FROM_FIRST_START = 'first_start'
_FROM_PEER = 'peer'
_FROM_WINDOW = 'window'

Reports = dict[int, dict[int, histories.Report]]
"""Reports by hash of the service and id of the process."""

logger = structlog.get_logger(__name__)


class RetryHistories:
    """Histories of all services, and how far back they are complete.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    window_ms : int
        Length of the window in milliseconds.
    process_id : int
        Identifies this process, whose own reports are ignored.
    is_past_known : bool
        Whether no retries were sent before this process started.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        window_ms: int,
        process_id: int,
        is_past_known: bool,
    ) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._process_id = process_id
        self._histories: dict[int, histories.RetryHistory] = {}
        self._ticked_at = clock.now()
        self._known_since = clock.now()
        self._was_known = is_past_known
        self._source = _FROM_WINDOW
        if is_past_known:
            self.assume_no_past()

    def find(self, service_hash: int) -> histories.RetryHistory:
        """Return the history of a service."""
        history = self._histories.get(service_hash)
        if history is None:
            history = histories.RetryHistory(self._window_ms)
            self._histories[service_hash] = history
        return history

    def list_reports(self, max_age_ms: int | None = None) -> Reports:
        """List the reports of the other processes.

        Parameters
        ----------
        max_age_ms : int, optional
            Age in milliseconds up to which retries are listed; the whole
            window by default.
        """
        now = self._clock.now()
        return {
            service_hash: history.list_reports(now, max_age_ms)
            for service_hash, history in self._histories.items()
        }

    def apply_reports(self, reports: Reports, known_ms: int) -> None:
        """Add the retries that a peer reports.

        Parameters
        ----------
        reports : Reports
            Reports of the peer's process, and of others that it passes on.
        known_ms : int
            Age in milliseconds up to which the reports include the retries
            of all processes; 0 for reports that do not.
        """
        now = self._clock.now()
        for service_hash, by_process in reports.items():
            history = self.find(service_hash)
            for process_id, report in by_process.items():
                if process_id != self._process_id:
                    history.record(process_id, report, now)
        if now - known_ms < self._known_since:
            self._known_since = now - known_ms
            self._source = _FROM_PEER

    def assume_no_past(self) -> None:
        """Assume that no retries were sent before, as at the first start."""
        self._known_since = self._clock.now() - self._window_ms
        self._source = _FROM_FIRST_START

    def compute_known_ms(self) -> int:
        """Return up to which age the retries of all processes are known.

        Returns
        -------
        int
            Milliseconds, at most the length of the window.
        """
        return min(self._window_ms, self._clock.now() - self._known_since)

    def is_known(self) -> bool:
        """Return whether all retries of the last window are known."""
        return self.compute_known_ms() >= self._window_ms

    def tick(self) -> None:
        """Drop what has expired; called several times per second."""
        now = self._clock.now()
        if now - self._ticked_at > pools.REPORT_VALID_MS:
            # This process was suspended and has missed reports.
            self._known_since = now
            self._source = _FROM_WINDOW
        self._ticked_at = now
        is_known = self.is_known()
        if is_known is not self._was_known:
            self._was_known = is_known
            logger.info(
                'retry_history_changed', known=is_known, source=self._source
            )
        for history in self._histories.values():
            history.drop_expired(now)


def limit_groups(reports: Reports) -> Reports:
    """Leave out all but the latest groups of reports that are too large."""
    count = sum(
        len(report.groups)
        for by_process in reports.values()
        for report in by_process.values()
    )
    if count <= MAX_REPORTED_GROUPS:
        return reports
    return {
        service_hash: {
            process_id: attrs.evolve(report, groups=report.groups[:1])
            for process_id, report in by_process.items()
        }
        for service_hash, by_process in reports.items()
    }
