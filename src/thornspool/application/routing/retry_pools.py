"""Retry budget of each service, shared with all other entries."""

from __future__ import annotations

import copy
import typing

import attrs
import structlog

from thornspool.domain.fleet import server_hashes
from thornspool.domain.retries import histories
from thornspool.domain.retries import pools

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module

USABLE_SLACK_SHARE = 0.7
"""Share of the configured slack that the retry pools use.

The remaining share covers retries that ended processes had not reported yet.
"""

REGULAR_SHARE = 0.6
"""Share of the allowed retries for requests whose response has not begun.

Such a request can be refused, and its caller can send it again. A caller that
has received a part of a stream loses the stream when no retry is left.
"""

REFUSAL_LOG_INTERVAL_MS = 1_000
"""Shortest interval of log lines on refused retries of one service.

A service that fails all requests causes hundreds of refusals a second.
"""

MAX_REPORTED_GROUPS = 6_000
"""Groups of retries in an update above which each report has its latest only.

Each group takes three bytes, and an update has to fit into a datagram.
"""

_MS_PER_S = 1000.0

Reports = dict[int, dict[int, histories.Report]]
"""Reports by hash of the service and id of the process."""

logger = structlog.get_logger(__name__)


class RetryPools:
    """Limits the retries of all services.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    ratio : float
        Retries allowed for each request.
    slack : float
        Additional retries allowed in the window, over all entries.
    window_ms : int
        Length of the window for both limits, in milliseconds.
    count_entries : callable
        Returns the number of entries that share the slack.
    process_id : int, optional
        Differs between the processes of all entries.
    is_past_known : bool, optional
        Whether no retries were sent before this process started, or all of
        them are known.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        ratio: float,
        slack: float,
        window_ms: int,
        count_entries: Callable[[], int],
        process_id: int = 0,
        is_past_known: bool = True,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._count_entries = count_entries
        self._process_id = process_id
        self._pools: dict[str, pools.RetryPool] = {}
        self._histories: dict[int, histories.RetryHistory] = {}
        self._applied_at = clock.now()
        self._known_since = clock.now()
        self._was_known = is_past_known
        if is_past_known:
            self.assume_no_past()
        self._refusals_logged_at: dict[str, int] = {}
        self.refused_count = 0

    def detach(self) -> RetryPools:
        """Copy the pools for a dry run, which changes only the copy."""
        detached = copy.copy(self)
        detached._pools = copy.deepcopy(self._pools)
        detached._histories = {}
        return detached

    def record_request(self, service: str) -> None:
        """Record the first send of a request."""
        self._get_pool(service).record_request(self._clock.now())

    def acquire(self, service: str, urgent: bool = False) -> bool:
        """Acquire one retry.

        Parameters
        ----------
        service : str
            Service that gets the retry.
        urgent : bool, optional
            Whether the caller has already received a part of the response.

        Returns
        -------
        bool
            False when this entry's share of the budget is used up.
        """
        share = _choose_share(urgent)
        if self._get_pool(service).acquire(self._clock.now(), share):
            return True
        self.refused_count += 1
        self._log_refusal(service, urgent)
        return False

    def _log_refusal(self, service: str, urgent: bool) -> None:
        now = self._clock.now()
        logged_at = self._refusals_logged_at.get(service)
        if logged_at is not None and now - logged_at < REFUSAL_LOG_INTERVAL_MS:
            return
        self._refusals_logged_at[service] = now
        usage = self._get_pool(service).measure(now)
        logger.info(
            'retry_refused',
            service=service,
            urgent=urgent,
            local=usage.local,
            others=usage.others,
            allowed=round(usage.allowed, 1),
            entries=usage.entries,
            members=usage.members,
            known=self.is_known(),
        )

    def measure(self) -> dict[str, pools.Usage]:
        """Measure the use of the budget of each service."""
        now = self._clock.now()
        return {
            service: self._get_pool(service).measure(now)
            for service in self._pools
        }

    def can_acquire(self, service: str, urgent: bool) -> bool:
        """Return whether a retry can be acquired now."""
        share = _choose_share(urgent)
        return self._get_pool(service).allows_retry(self._clock.now(), share)

    def estimate_rate(self, service: str) -> float:
        """Estimate the requests per second of all entries to a service."""
        requests = self._get_pool(service).count_requests(self._clock.now())
        return requests * _MS_PER_S / self._window_ms

    def list_by_hash(self) -> dict[int, float]:
        """List this entry's requests and retries by hash, for updates."""
        now = self._clock.now()
        listed = {}
        for service, pool in self._pools.items():
            counts = pool.count(now)
            listed[_hash_requests(service)] = counts.requests
            listed[_hash_retries(service)] = counts.retries
        return listed

    def apply_others(
        self, reported: dict[int, float], known: int | None = None
    ) -> None:
        """Apply the sums of requests and retries of the other entries.

        Parameters
        ----------
        reported : dict of int to float
            Sums by hash.
        known : int, optional
            Number of other entries that the sums include; None for all.
        """
        now = self._clock.now()
        if now - self._applied_at > pools.REPORT_VALID_MS:
            # This process was suspended and has missed reports.
            self._known_since = now
        self._applied_at = now
        self._log_known()
        for history in self._histories.values():
            history.drop_expired(now)
        for service, pool in self._pools.items():
            counts = pools.RequestCounts(
                reported.get(_hash_requests(service), 0.0),
                reported.get(_hash_retries(service), 0.0),
            )
            pool.apply_others(counts, now, known)

    def list_reports(
        self, includes_others: bool, max_age_ms: int | None = None
    ) -> Reports:
        """List the reports of retries by hash of the service and process.

        Parameters
        ----------
        includes_others : bool
            Whether to pass on the reports of other processes.
        max_age_ms : int, optional
            Age in milliseconds up to which retries are listed; the whole
            window by default.
        """
        now = self._clock.now()
        reports: Reports = {}
        if includes_others:
            reports = {
                service_hash: history.list_reports(now, max_age_ms)
                for service_hash, history in self._histories.items()
            }
        for service, pool in self._pools.items():
            own = pool.build_report(now, max_age_ms)
            if own.groups:
                by_process = reports.setdefault(_hash_retries(service), {})
                by_process[self._process_id] = own
        return _limit_groups(
            {key: found for key, found in reports.items() if found}
        )

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
            history = self._get_history(service_hash)
            for process_id, report in by_process.items():
                if process_id != self._process_id:
                    history.record(process_id, report, now)
        self._known_since = min(self._known_since, now - known_ms)

    def assume_no_past(self) -> None:
        """Assume that no retries were sent before, as at the first start."""
        self._known_since = self._clock.now() - self._window_ms

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

    def _log_known(self) -> None:
        """Log whether the retries of all processes are known, on a change."""
        is_known = self.is_known()
        if is_known is not self._was_known:
            self._was_known = is_known
            logger.info('retry_history_changed', known=is_known)

    def _get_history(self, service_hash: int) -> histories.RetryHistory:
        history = self._histories.get(service_hash)
        if history is None:
            history = histories.RetryHistory(self._window_ms)
            self._histories[service_hash] = history
        return history

    def _get_pool(self, service: str) -> pools.RetryPool:
        pool = self._pools.get(service)
        if pool is None:
            pool = pools.RetryPool(
                self._ratio,
                self._slack * USABLE_SLACK_SHARE,
                self._window_ms,
                process_id=self._process_id,
                history=self._get_history(_hash_retries(service)),
            )
            self._pools[service] = pool
        pool.entries = max(1, self._count_entries())
        pool.is_past_known = self.is_known()
        return pool


def _choose_share(urgent: bool) -> float:
    return 1.0 if urgent else REGULAR_SHARE


def _limit_groups(reports: Reports) -> Reports:
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


def _hash_requests(service: str) -> int:
    return server_hashes.compute_server_hash(f'requests of {service}')


def _hash_retries(service: str) -> int:
    return server_hashes.compute_server_hash(f'repeats of {service}')
