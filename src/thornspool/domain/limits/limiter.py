"""Admission of requests at one entry within the limits of workspaces.

Admission uses local token buckets only. Their rates are the shares that the
owner of each workspace grants. Without a share, an entry uses its floor, or
an equal share when the owner is unreachable.
"""

from __future__ import annotations

import typing

from thornspool.domain.configuration import documents
from thornspool.domain.limits import buckets
from thornspool.domain.limits import demand
from thornspool.domain.limits import messages
from thornspool.domain.limits import shares
from thornspool.domain.limits import workspaces

if typing.TYPE_CHECKING:
    from collections.abc import Callable

BURST_S = 1.0
"""Burst of a bucket in seconds of its rate; it is at least one request."""

REPORT_INTERVAL_MS = 1000
URGENT_INTERVAL_MS = 200
IDLE_MS = 3000
NEVER_REPORTED_MS = 10**12
CONCURRENCY_RETRY_MS = 200
MAX_RETRY_MS = 60_000
NO_SHARE_RETRY_MS = 1000
"""Maximum retry delay of a refusal at an entry without a share.

A refusal causes a report, and the reply grants a share. With the wait that
follows from the floor, callers would not retry for minutes.
"""


class WorkspaceLimiter:
    """Limits of all workspaces at one entry.

    Parameters
    ----------
    members : int, optional
        Number of entries in view.
    """

    def __init__(self, members: int = 1) -> None:
        self._members = members
        self._workspaces: dict[str, workspaces.WorkspaceState] = {}
        # Reports cover only these. Checking thousands of idle workspaces
        # several times a second would cost more than the rest of the limiter.
        self._active: set[str] = set()

    def set_members(self, members: int, now: int) -> None:
        """Set the number of entries in view and adjust all rates."""
        if members == self._members:
            return
        self._members = members
        for state in self._workspaces.values():
            _expire(state, self._set_rates, now)
            self._set_rates(state, now)

    def admit(
        self, workspace: str, limits: documents.Limits, now: int
    ) -> messages.Rejection | None:
        """Admit a request, or return the reason for its refusal.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        limits : Limits
            Its limits over all entries.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        Rejection or None
            None when the request was admitted; the caller must then call
            `finish_request` when it ends.
        """
        state = self._get_or_create(workspace, limits, now)
        state.meter.offered += 1
        state.used_at = now
        self._active.add(workspace)
        refused = self._check(state, now)
        if refused is not None:
            state.meter.refused += 1
            return refused
        state.in_flight += 1
        state.meter.peak_in_flight = max(
            state.meter.peak_in_flight, state.in_flight
        )
        return None

    def finish_request(self, workspace: str, tokens: int, now: int) -> None:
        """End an admitted request and charge the tokens that it generated.

        The number of tokens is known only at the end. The bucket level may
        therefore become negative by the tokens of the requests in flight;
        no request is admitted until it is positive again.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        tokens : int
            Tokens generated.
        now : int
            Monotonic milliseconds.
        """
        state = self._workspaces.get(workspace)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        _expire(state, self._set_rates, now)
        state.meter.record_tokens(tokens)
        state.tokens.refill(now)
        state.tokens.level -= tokens

    def undo_admission(self, workspace: str, now: int) -> None:
        """Undo the admission of a request that a later check refused."""
        state = self._workspaces.get(workspace)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        _expire(state, self._set_rates, now)
        state.requests.refill(now)
        state.requests.level = min(
            state.requests.burst, state.requests.level + 1.0
        )

    def collect_reports(
        self, now: int, max_reports: int
    ) -> tuple[messages.WorkspaceDemand, ...]:
        """Return the reports that are due, the longest overdue first.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        max_reports : int
            Maximum number of reports.
        """
        if self._members <= 1 or max_reports <= 0:
            return ()
        self._drop_idle(now)
        due = [
            (self._workspaces[name].reported_at or 0, name)
            for name in self._active
            if self._is_due(self._workspaces[name], now)
        ]
        due.sort()
        return tuple(
            self._build_report(name, now) for _, name in due[:max_reports]
        )

    def apply_grant(self, grant: messages.WorkspaceGrant, now: int) -> None:
        """Apply a granted share, unless a later report has been sent."""
        state = self._workspaces.get(grant.workspace)
        if state is None or state.reported_at != grant.sequence:
            return
        _expire(state, self._set_rates, now)
        # The lifetime starts with the sending of the report, before the
        # owner's own count starts. The share therefore expires here before
        # the owner grants it to another entry.
        state.expires_at = grant.sequence + grant.ttl_ms
        state.share = grant.share
        state.is_owner_unreachable = False
        self._set_rates(state, now)

    def record_owner_unreachable(self, workspace: str, now: int) -> bool:
        """Record that the owner of a workspace did not answer.

        The entry uses an equal share once its granted share expires.

        Returns
        -------
        bool
            True if this was not yet recorded for a known workspace.
        """
        state = self._workspaces.get(workspace)
        if state is None or state.is_owner_unreachable:
            return False
        _expire(state, self._set_rates, now)
        state.is_owner_unreachable = True
        self._set_rates(state, now)
        return True

    def _get_or_create(
        self, workspace: str, limits: documents.Limits, now: int
    ) -> workspaces.WorkspaceState:
        state = self._workspaces.get(workspace)
        if state is None:
            state = workspaces.WorkspaceState(
                limits,
                demand.DemandMeter(now),
                _build_initial_bucket(
                    limits.requests_per_s, self._members, now
                ),
                _build_initial_bucket(limits.tokens_per_s, self._members, now),
            )
            self._workspaces[workspace] = state
            self._set_rates(state, now)
            return state
        _expire(state, self._set_rates, now)
        if state.limits != limits:
            state.limits = limits
            self._set_rates(state, now)
        return state

    def _drop_idle(self, now: int) -> None:
        """Stop reporting idle workspaces; drop their state once unused."""
        for name in tuple(self._active):
            state = self._workspaces[name]
            if state.in_flight or now - state.used_at < IDLE_MS:
                continue
            self._active.discard(name)
            # A bucket that is not full must be kept. A new one would be
            # full, and callers could use its burst repeatedly.
            if workspaces.is_unused(state, now):
                del self._workspaces[name]

    def _check(
        self, state: workspaces.WorkspaceState, now: int
    ) -> messages.Rejection | None:
        limits = state.limits
        bound = self._compute_concurrency(state)
        if limits.concurrency is not None and state.in_flight >= bound:
            return messages.Rejection(
                messages.Reason.CONCURRENCY, CONCURRENCY_RETRY_MS
            )
        if limits.tokens_per_s is not None:
            wait_ms = state.tokens.compute_wait(1.0, now)
            if wait_ms != 0:
                return self._refuse(state, messages.Reason.TOKENS, wait_ms)
        if limits.requests_per_s is not None:
            wait_ms = state.requests.compute_wait(1.0, now)
            if wait_ms != 0:
                return self._refuse(state, messages.Reason.REQUESTS, wait_ms)
            state.requests.try_acquire(1.0, now)
        return None

    def _refuse(
        self,
        state: workspaces.WorkspaceState,
        reason: messages.Reason,
        wait_ms: int | None,
    ) -> messages.Rejection:
        max_ms = MAX_RETRY_MS
        if state.share is None and self._members > 1:
            max_ms = NO_SHARE_RETRY_MS
        retry_after_ms = max_ms if wait_ms is None else min(wait_ms, max_ms)
        return messages.Rejection(reason, retry_after_ms)

    def _compute_concurrency(self, state: workspaces.WorkspaceState) -> int:
        limit = state.limits.concurrency or 0
        if self._members <= 1:
            return limit
        if state.share is not None:
            return max(1, int(state.share.concurrency))
        if state.is_owner_unreachable:
            return max(1, limit // self._members)
        return 1

    def _set_rates(self, state: workspaces.WorkspaceState, now: int) -> None:
        for rate in workspaces.list_rates(state):
            equal_per_s = rate.limit / max(1, self._members)
            per_s = shares.compute_floor(
                rate.limit, self._members, rate.sparse_per_s
            )
            if state.share is not None:
                per_s = rate.share
            elif state.is_owner_unreachable:
                per_s = equal_per_s
            burst = _compute_burst(max(per_s, equal_per_s))
            rate.bucket.set_rate(per_s, burst, now)

    def _is_due(self, state: workspaces.WorkspaceState, now: int) -> bool:
        if state.limits == documents.Limits():
            return False
        elapsed_ms = (
            now - state.reported_at if state.reported_at else NEVER_REPORTED_MS
        )
        if state.meter.refused and elapsed_ms >= URGENT_INTERVAL_MS:
            return True
        if state.share is None and not self._needs_share(state):
            return False
        is_active = state.in_flight > 0 or now - state.used_at < IDLE_MS
        return is_active and elapsed_ms >= REPORT_INTERVAL_MS

    def _needs_share(self, state: workspaces.WorkspaceState) -> bool:
        """Return whether callers would soon be refused without a share.

        Where an equal share is less than a request, granting a share for
        each single request would cost more messages than the requests
        themselves.
        """
        if state.limits.concurrency is not None and state.in_flight:
            return True
        return any(
            rate.bucket.level < rate.bucket.burst / 2
            for rate in workspaces.list_rates(state)
            if not shares.is_sparse(
                rate.limit, self._members, rate.sparse_per_s
            )
        )

    def _build_report(self, name: str, now: int) -> messages.WorkspaceDemand:
        state = self._workspaces[name]
        _expire(state, self._set_rates, now)
        state.reported_at = now
        sampled = state.meter.sample(state.in_flight, now)
        held = state.share or workspaces.NO_SHARE
        return messages.WorkspaceDemand(name, now, sampled, held)


def _expire(
    state: workspaces.WorkspaceState,
    set_rates: Callable[[workspaces.WorkspaceState, int], None],
    now: int,
) -> None:
    """End an expired share, effective from the time at which it expired."""
    if state.share is None or state.expires_at > now:
        return
    state.share = None
    set_rates(state, state.expires_at)


def _compute_burst(rate_per_s: float) -> float:
    return max(1.0, BURST_S * rate_per_s)


def _build_initial_bucket(
    limit: float | None, members: int, now: int
) -> buckets.TokenBucket:
    equal_per_s = (limit or 0.0) / max(1, members)
    return buckets.build_bucket(equal_per_s, _compute_burst(equal_per_s), now)
