"""Retry budget of each service, shared with all other entries."""

from __future__ import annotations

import copy
import typing

import structlog

from thornspool.application.routing import retry_histories
from thornspool.domain.fleet import server_hashes
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

_MS_PER_S = 1000.0

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
        Whether no retries were sent before this process started.

    Attributes
    ----------
    histories : retry_histories.RetryHistories
        Retries of the processes of the other entries.
    refused_count : int
        Retries that were not allowed.
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
        self._refusals_logged_at: dict[str, int] = {}
        self.refused_count = 0
        self.histories = retry_histories.RetryHistories(
            clock, window_ms, process_id, is_past_known
        )

    def detach(self) -> RetryPools:
        """Copy the pools for a dry run, which changes only the copy."""
        detached = copy.copy(self)
        detached._pools = copy.deepcopy(self._pools)
        detached.histories = copy.deepcopy(self.histories)
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
            known=self.histories.is_known(),
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
        self.histories.tick()
        for service, pool in self._pools.items():
            counts = pools.RequestCounts(
                reported.get(_hash_requests(service), 0.0),
                reported.get(_hash_retries(service), 0.0),
            )
            pool.apply_others(counts, now, known)

    def list_reports(
        self, includes_others: bool, max_age_ms: int | None = None
    ) -> retry_histories.Reports:
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
        reports = (
            self.histories.list_reports(max_age_ms) if includes_others else {}
        )
        for service, pool in self._pools.items():
            own = pool.build_report(now, max_age_ms)
            if own.groups:
                by_process = reports.setdefault(_hash_retries(service), {})
                by_process[self._process_id] = own
        return retry_histories.limit_groups(
            {key: found for key, found in reports.items() if found}
        )

    def _get_pool(self, service: str) -> pools.RetryPool:
        pool = self._pools.get(service)
        if pool is None:
            pool = pools.RetryPool(
                self._ratio,
                self._slack * USABLE_SLACK_SHARE,
                self._window_ms,
                process_id=self._process_id,
                history=self.histories.find(_hash_retries(service)),
            )
            self._pools[service] = pool
        pool.entries = max(1, self._count_entries())
        pool.is_past_known = self.histories.is_known()
        return pool


def _choose_share(urgent: bool) -> float:
    return 1.0 if urgent else REGULAR_SHARE


def _hash_requests(service: str) -> int:
    return server_hashes.compute_server_hash(f'requests of {service}')


def _hash_retries(service: str) -> int:
    return server_hashes.compute_server_hash(f'repeats of {service}')
