"""An entry's side of the limits of workspaces.

Admission takes tokens from local buckets only. Their rates are the shares
that the owner of each workspace hands out; without a share an entry uses
its floor, or an equal part when the owner cannot be reached.
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
"""A bucket holds this many seconds of its rate, and at least one request."""

REPORT_INTERVAL_MS = 1000
URGENT_INTERVAL_MS = 200
IDLE_MS = 3000
FOREVER_MS = 10**12
CONCURRENCY_RETRY_MS = 200
LARGEST_RETRY_MS = 60_000
NO_SHARE_RETRY_MS = 1000
"""A refusal brings a report, and a report a share; the floor's wait would
send callers away for minutes."""


class WorkspaceLimiter:
    """Limits of all workspaces on one entry.

    Parameters
    ----------
    members : int, optional
        Number of entries in view.
    """

    def __init__(self, members: int = 1) -> None:
        self._members = members
        self._workspaces: dict[str, workspaces.WorkspaceState] = {}
        # Reports look at these only; looking at thousands of idle ones
        # several times a second would cost more than all the rest.
        self._active: set[str] = set()

    def set_members(self, members: int, now: int) -> None:
        """Take a new number of entries into account."""
        if members == self._members:
            return
        self._members = members
        for state in self._workspaces.values():
            _expire(state, self._set_rates, now)
            self._set_rates(state, now)

    def admit(
        self, workspace: str, limits: documents.Limits, now: int
    ) -> messages.Refused | None:
        """Admit a request, or say what stands against it.

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
        Refused or None
            None when it was admitted; `finish` must follow then.
        """
        state = self._find(workspace, limits, now)
        state.meter.offered += 1
        state.used_at = now
        self._active.add(workspace)
        refused = self._check(state, now)
        if refused is not None:
            state.meter.refused += 1
            return refused
        state.in_flight += 1
        state.meter.peak = max(state.meter.peak, state.in_flight)
        return None

    def finish(self, workspace: str, tokens: int, now: int) -> None:
        """End an admitted request and charge what it generated.

        The price of a request is known only afterwards, so the bucket may
        go into debt by what was in flight; admission waits until it is
        paid.
        """
        state = self._workspaces.get(workspace)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        _expire(state, self._set_rates, now)
        state.meter.record_tokens(tokens)
        state.tokens.refill(now)
        state.tokens.level -= tokens

    def withdraw(self, workspace: str, now: int) -> None:
        """Undo an admission of a request that was refused later on."""
        state = self._workspaces.get(workspace)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        _expire(state, self._set_rates, now)
        state.requests.refill(now)
        state.requests.level = min(
            state.requests.burst, state.requests.level + 1.0
        )

    def collect(
        self, now: int, most: int
    ) -> tuple[messages.WorkspaceDemand, ...]:
        """Return the reports that are due, the most pressing first.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        most : int
            Largest number of reports.
        """
        if self._members <= 1 or most <= 0:
            return ()
        self._drop_idle(now)
        due = [
            (self._workspaces[name].reported_at or 0, name)
            for name in self._active
            if self._is_due(self._workspaces[name], now)
        ]
        due.sort()
        return tuple(self._report(name, now) for _, name in due[:most])

    def apply(self, grant: messages.WorkspaceGrant, now: int) -> None:
        """Take a share into use, unless a later report is on its way."""
        state = self._workspaces.get(grant.workspace)
        if state is None or state.reported_at != grant.sequence:
            return
        _expire(state, self._set_rates, now)
        # Counted from the report, which left before the owner counted, so
        # the share ends here before the owner hands it to another.
        state.expires_at = grant.sequence + grant.ttl_ms
        state.share = grant.share
        state.owner_lost = False
        self._set_rates(state, now)

    def note_owner_lost(self, workspace: str, now: int) -> bool:
        """Use an equal part once the share ends: the owner is silent.

        Returns
        -------
        bool
            Whether this is new.
        """
        state = self._workspaces.get(workspace)
        if state is None or state.owner_lost:
            return False
        _expire(state, self._set_rates, now)
        state.owner_lost = True
        self._set_rates(state, now)
        return True

    def _find(
        self, workspace: str, limits: documents.Limits, now: int
    ) -> workspaces.WorkspaceState:
        state = self._workspaces.get(workspace)
        if state is None:
            state = workspaces.WorkspaceState(
                limits,
                demand.DemandMeter(now),
                _build_cold_bucket(limits.requests_per_s, self._members, now),
                _build_cold_bucket(limits.tokens_per_s, self._members, now),
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
        """Forget idle workspaces, and their state once it is as new."""
        for name in tuple(self._active):
            state = self._workspaces[name]
            if state.in_flight or now - state.used_at < IDLE_MS:
                continue
            self._active.discard(name)
            # A bucket that is not full must stay: built anew it would be
            # full, and callers could have its burst again and again.
            if workspaces.is_as_new(state, now):
                del self._workspaces[name]

    def _check(
        self, state: workspaces.WorkspaceState, now: int
    ) -> messages.Refused | None:
        limits = state.limits
        most = self._compute_concurrency(state)
        if limits.concurrency is not None and state.in_flight >= most:
            return messages.Refused(
                messages.Reason.CONCURRENCY, CONCURRENCY_RETRY_MS
            )
        if limits.tokens_per_s is not None:
            wait = state.tokens.compute_wait(1.0, now)
            if wait != 0:
                return self._refuse(state, messages.Reason.TOKENS, wait)
        if limits.requests_per_s is not None:
            wait = state.requests.compute_wait(1.0, now)
            if wait != 0:
                return self._refuse(state, messages.Reason.REQUESTS, wait)
            state.requests.take(1.0, now)
        return None

    def _refuse(
        self,
        state: workspaces.WorkspaceState,
        reason: messages.Reason,
        wait: int | None,
    ) -> messages.Refused:
        longest = LARGEST_RETRY_MS
        if state.share is None and self._members > 1:
            longest = NO_SHARE_RETRY_MS
        wait = longest if wait is None else min(wait, longest)
        return messages.Refused(reason, wait)

    def _compute_concurrency(self, state: workspaces.WorkspaceState) -> int:
        limit = state.limits.concurrency or 0
        if self._members <= 1:
            return limit
        if state.share is not None:
            return max(1, int(state.share.concurrency))
        if state.owner_lost:
            return max(1, limit // self._members)
        return 1

    def _set_rates(self, state: workspaces.WorkspaceState, now: int) -> None:
        for rate in workspaces.list_rates(state):
            equal = rate.limit / max(1, self._members)
            per_s = shares.compute_floor(
                rate.limit, self._members, rate.sparse_per_s
            )
            if state.share is not None:
                per_s = rate.share
            elif state.owner_lost:
                per_s = equal
            burst = _compute_burst(max(per_s, equal))
            rate.bucket.set_rate(per_s, burst, now)

    def _is_due(self, state: workspaces.WorkspaceState, now: int) -> bool:
        if state.limits == documents.Limits():
            return False
        since = now - state.reported_at if state.reported_at else FOREVER_MS
        if state.meter.refused and since >= URGENT_INTERVAL_MS:
            return True
        if state.share is None and not self._needs_share(state):
            return False
        active = state.in_flight > 0 or now - state.used_at < IDLE_MS
        return active and since >= REPORT_INTERVAL_MS

    def _needs_share(self, state: workspaces.WorkspaceState) -> bool:
        """Say whether callers will soon be refused without a share.

        Where an equal part is less than a request, a share for each single
        caller would cost more messages than the requests themselves.
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

    def _report(self, name: str, now: int) -> messages.WorkspaceDemand:
        state = self._workspaces[name]
        _expire(state, self._set_rates, now)
        state.reported_at = now
        wanted = state.meter.read(state.in_flight, now)
        held = state.share or workspaces.NO_SHARE
        return messages.WorkspaceDemand(name, now, wanted, held)


def _expire(
    state: workspaces.WorkspaceState,
    set_rates: Callable[[workspaces.WorkspaceState, int], None],
    now: int,
) -> None:
    """End a share that is over, from the time at which it was over."""
    if state.share is None or state.expires_at > now:
        return
    state.share = None
    set_rates(state, state.expires_at)


def _compute_burst(rate_per_s: float) -> float:
    return max(1.0, BURST_S * rate_per_s)


def _build_cold_bucket(
    limit: float | None, members: int, now: int
) -> buckets.TokenBucket:
    equal = (limit or 0.0) / max(1, members)
    return buckets.build_bucket(equal, _compute_burst(equal), now)
