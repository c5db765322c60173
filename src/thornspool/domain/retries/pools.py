"""Retry budget that all entries share, over a sliding window.

The number of retries that all entries together send to a service is limited.
Without a limit, a service that fails under load gets the most requests just
then: the number of arrivals grows while the number of answers falls.

Failures affect few entries at a time, so that fixed equal shares of the window
would leave most of the budget unused. Entries therefore report their numbers
of requests and retries to each other. Each may use an equal share of the
remaining budget within the time in which a report reaches all entries. The
limit holds even if all entries use their shares at once.

Entries that have no reports of some others form a group with its own budget:
the retries for the requests of the group and its part of the slack. The sum
over the groups of a partitioned fleet is then at most the budget of all.

Retries of entries that have ended, or that no longer report, are still in the
window of the service. All entries keep them, and entries that start are told
by the others. A group is charged with its part of them. A process that
nobody has told uses no slack until the window has passed since its start.
"""

from __future__ import annotations

import collections
import math

import attrs
import xxhash

from thornspool.domain.retries import histories

PROPAGATION_MS = 1_200
"""Time in which a report reaches every entry.

It passes the collectors of two failure domains, in three update intervals of
400 ms.
"""

REPORT_VALID_MS = 3_000
"""Time for which the report of the other entries is valid.

After it, each entry uses an equal share of the whole window, which keeps the
limit without any reports.
"""

MIN_KNOWN_SHARE_FOR_PEAK = 0.8
"""Least share of the entries that the reports include for requests of earlier
windows to count.

Some entries are killed each day and stay registered for up to 20 s. After a
larger loss the others may serve these requests, apart from this group.
"""

_HASH_RANGE = 2.0**32

SAMPLE_INTERVAL_MS = 250
"""Interval at which the number of requests in the window is sampled."""


@attrs.frozen
class RequestCounts:
    """Numbers of requests and retries of one service in the last window."""

    requests: float
    retries: float


@attrs.frozen
class Usage:
    """Retries of one service in the last window, as one entry knows them.

    Attributes
    ----------
    local : float
        Retries of this entry.
    others : float
        Retries of the other entries that count against this one.
    allowed : float
        Retries that this entry and the reporting ones may send.
    entries : int
        Number of entries that share the budget.
    members : int
        Number of entries whose retries are known, this one included.
    """

    local: float
    others: float
    allowed: float
    entries: int
    members: int


@attrs.define
class RetryPool:
    """Requests and retries of one service.

    Attributes
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed per window, over all entries.
    window_ms : int
        Length of the window in milliseconds.
    entries : int
        Number of entries that share the budget.
    process_id : int
        Identifies this process; determines which entries may retry when the
        remaining budget is less than one retry for each.
    is_past_known : bool
        Whether the history includes the retries that were sent in the window
        before this process started.
    history : histories.RetryHistory
        Retries of the processes of the other entries, ended ones included.
    """

    ratio: float
    slack: float
    window_ms: int
    entries: int = 1
    process_id: int = 0
    is_past_known: bool = True
    history: histories.RetryHistory = attrs.field(
        default=attrs.Factory(
            lambda self: histories.RetryHistory(self.window_ms),
            takes_self=True,
        )
    )
    _sent: histories.SentRetries = attrs.field(
        default=attrs.Factory(
            lambda self: histories.SentRetries(self.window_ms),
            takes_self=True,
        ),
        init=False,
    )
    _others: RequestCounts | None = attrs.field(default=None, init=False)
    _reported_at: int = attrs.field(default=0, init=False)
    _members: int | None = attrs.field(default=None, init=False)
    # With the number of entries that the amounts include.
    _samples: collections.deque[tuple[int, float, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _request_times: collections.deque[int] = attrs.field(
        factory=collections.deque, init=False
    )
    _retry_times: collections.deque[int] = attrs.field(
        factory=collections.deque, init=False
    )

    def record_request(self, now: int) -> None:
        """Record the first attempt of a request."""
        self._request_times.append(now)
        self._drop_expired(now)

    def apply_others(
        self, counts: RequestCounts, now: int, known: int | None = None
    ) -> None:
        """Apply the reported numbers of the other entries.

        Parameters
        ----------
        counts : RequestCounts
            Their numbers of requests and retries.
        now : int
            Milliseconds of the clock.
        known : int, optional
            Number of other entries that the counts include; None for all.
        """
        self._members = None if known is None else known + 1
        members = self._count_members()
        self._others = counts
        self._reported_at = now
        if (
            not self._samples
            or now - self._samples[-1][0] >= SAMPLE_INTERVAL_MS
        ):
            total = self.count(now).requests + counts.requests
            self._samples.append((now, total, members))
        while (
            self._samples[0][0] < now - self.window_ms - 2 * SAMPLE_INTERVAL_MS
        ):
            self._samples.popleft()

    def count(self, now: int) -> RequestCounts:
        """Count this entry's requests and retries in the window."""
        self._drop_expired(now)
        return RequestCounts(len(self._request_times), len(self._retry_times))

    def count_requests(self, now: int) -> float:
        """Count the requests of all entries in the window.

        Without a valid report, the number is estimated from this entry's own
        requests.
        """
        local = self.count(now).requests
        others = self._get_others(now)
        if others is None:
            return local * self.entries
        return local + others.requests

    def allows_retry(self, now: int, limit_share: float = 1.0) -> bool:
        """Return whether the budget allows one more retry of this entry.

        Parameters
        ----------
        now : int
            Milliseconds of the clock.
        limit_share : float, optional
            Share of the budget that may be used up.
        """
        usage = self.measure(now)
        allowed = limit_share * usage.allowed
        if usage.members == 1:
            return usage.local + usage.others + 1 <= allowed
        recent = sum(
            1 for at in self._retry_times if at > now - PROPAGATION_MS
        )
        settled = usage.local - recent + usage.others
        share = (allowed - settled) / usage.members
        return recent + 1 <= math.floor(share) + self._may_round_up(share, now)

    def measure(self, now: int) -> Usage:
        """Measure the use of the budget, for logs and metrics."""
        local = self.count(now)
        others = self._get_others(now)
        if others is None:
            others = RequestCounts(0.0, 0.0)
            members, requests = 1, local.requests
        else:
            members = self._count_members()
            requests = self._find_peak_requests(
                local.requests + others.requests, now
            )
        # Of the processes that have ended or do not report any more.
        unreported = max(0.0, self.history.count(now) - others.retries)
        group_share = members / self.entries
        slack = self.slack if self.is_past_known else 0.0
        return Usage(
            local.retries,
            others.retries + unreported * group_share,
            slack * group_share + self.ratio * requests,
            self.entries,
            members,
        )

    def build_report(
        self, now: int, max_age_ms: int | None = None
    ) -> histories.Report:
        """Build the report of this process's retries."""
        return self._sent.build_report(now, max_age_ms)

    def _get_others(self, now: int) -> RequestCounts | None:
        """Return the numbers of other entries; None if none is known."""
        is_alone = self._count_members() == 1 < self.entries
        if is_alone or now - self._reported_at > REPORT_VALID_MS:
            return None
        return self._others

    def _count_members(self) -> int:
        """Count the entries whose numbers are known, this one included."""
        if self._members is None:
            return self.entries
        return min(self._members, self.entries)

    def _may_round_up(self, share: float, now: int) -> bool:
        """Return whether this entry may round its share up.

        The result is drawn anew in each propagation interval. If all entries
        rounded their shares down, a large fleet would leave up to one retry
        per entry unused.
        """
        interval = now // PROPAGATION_MS
        drawn = (
            xxhash.xxh32_intdigest(f'{self.process_id} {interval}'.encode())
            / _HASH_RANGE
        )
        return drawn < share - math.floor(share)

    def _find_peak_requests(self, requests: float, now: int) -> float:
        """Return the number of requests that determines the retry limit.

        It is the maximum over the current window, the window before it and
        the one half a window before it. Few requests arrive in a window just
        after an outage; with these alone, callers whose engines failed during
        the outage would be refused without a retry.
        """
        members = self._count_members()
        if members < MIN_KNOWN_SHARE_FOR_PEAK * self.entries:
            return requests
        earlier = [
            total * min(1.0, members / included)
            for at, total, included in self._samples
            if any(
                abs(now - age - at) <= SAMPLE_INTERVAL_MS
                for age in (self.window_ms // 2, self.window_ms)
            )
        ]
        return max([requests, *earlier])

    def acquire(self, now: int, limit_share: float = 1.0) -> bool:
        """Acquire one retry; return False when the share is used up."""
        if not self.allows_retry(now, limit_share):
            return False
        self._retry_times.append(now)
        self._sent.record_retry(now)
        return True

    def _drop_expired(self, now: int) -> None:
        for times in (self._request_times, self._retry_times):
            while times and times[0] <= now - self.window_ms:
                times.popleft()
