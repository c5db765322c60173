"""Demand of the workspaces of one service, and their shares of its memory.

Amounts of workspaces have keys of their own range in the amounts that entries
exchange, and name the service, so that an entry counts the demand of
workspaces that it does not know.
"""

from __future__ import annotations

import functools
import math

import attrs
import xxhash

from thornspool.domain.admission import workspace_shares

KEY_FLAG = 1 << 31
"""Least key of an amount of a workspace; the keys of all other amounts are
smaller."""

SERVICE_BITS = 11
"""Bits that name the service; two of 10 services share them in one deployment
of 46."""

WORKSPACE_BITS = 20
"""Bits that name the workspace; with 256 workspaces, one deployment in 32 has
a pair that shares its fair share."""

SHARE_VALID_MS = 100
"""Time for which a level of sharing is used, so that its cost does not grow
with the requests."""

CACHED_KEYS = 16_384
"""Size of the cache of keys: 14,000 workspaces of one service."""


@attrs.frozen
class ServiceDemand:
    """Demand of all entries for the memory of a service.

    Attributes
    ----------
    arrived_tokens, arrivals : float
        Tokens and number of the requests per second.
    unmet_tokens : float
        Tokens of the requests that wait, and of those that were refused for
        lack of memory in the last second.
    released_tokens : float
        Tokens that are released per second.
    others_factor : float or None
        Number of other entries, each of which is assumed to have the same
        demand as this one; None while their reports are known.
    """

    arrived_tokens: float
    arrivals: float
    unmet_tokens: float
    released_tokens: float
    others_factor: float | None


@attrs.frozen
class WorkspaceShare:
    """Demand of a workspace and its share, in tokens per second."""

    demand: float
    share: float

    @property
    def excess(self) -> float:
        """Part of the demand beyond the share, from 0 to 1."""
        return workspace_shares.compute_excess(self.demand, self.share)


@attrs.frozen
class Sharing:
    """How the memory of a service is shared now.

    Attributes
    ----------
    demands : dict of int to float
        Tokens per second by key of the known workspaces.
    level : float
        Tokens per second up to which a workspace is within its share.
    capacity, total : float
        Tokens that are released per second, and that all workspaces need.
    """

    demands: dict[int, float]
    level: float
    capacity: float
    total: float


@attrs.define
class WorkspaceShares:
    """Shares of the workspaces of one service.

    Attributes
    ----------
    service : str
        Name of the service.
    sharing : Sharing or None
        How its memory is shared; None unless it is scarce and needed by
        several workspaces.
    """

    service: str
    sharing: Sharing | None = None
    _own: workspace_shares.WorkspaceDemand = attrs.field(
        factory=workspace_shares.WorkspaceDemand, init=False
    )
    _others: dict[int, float] = attrs.field(factory=dict, init=False)
    _scarcity: workspace_shares.Scarcity = attrs.field(
        factory=workspace_shares.Scarcity, init=False
    )
    _updated_at: int | None = attrs.field(default=None, init=False)

    @property
    def is_scarce(self) -> bool:
        """Whether the memory of the service is scarce."""
        return self._scarcity.is_scarce

    def record_arrival(self, workspace: str, tokens: float, now: int) -> None:
        """Record the demand of a request.

        Parameters
        ----------
        workspace : str
            Name of its workspace; empty for all anonymous callers.
        tokens : float
            Tokens for which it needs memory.
        now : int
            Milliseconds of the clock.
        """
        self._own.add(compute_key(self.service, workspace), tokens, now)

    def list_amounts(self, now: int) -> dict[int, float]:
        """List the largest demands of this entry by key while scarce."""
        if not self.is_scarce:
            return {}
        return workspace_shares.select_largest(
            self._own.measure(now), workspace_shares.MAX_REPORTED
        )

    def apply_others(self, amounts: dict[int, float]) -> None:
        """Apply the sums of the other entries by key."""
        self._others = amounts

    def needs_update(self, now: int) -> bool:
        """Return whether the shares are out of date."""
        return (
            self._updated_at is None
            or now - self._updated_at >= SHARE_VALID_MS
        )

    def update(self, demand: ServiceDemand, now: int) -> None:
        """Update whether memory is scarce, and how it is shared.

        Parameters
        ----------
        demand : ServiceDemand
            Demand of all entries.
        now : int
            Milliseconds of the clock.
        """
        self._updated_at = now
        factor = demand.others_factor
        usual = demand.arrived_tokens / max(1.0, demand.arrivals)
        if factor is not None:
            # One request of this entry stands for one of each other entry.
            usual *= 1.0 + factor
        self._scarcity.update(
            demand.unmet_tokens, demand.released_tokens, usual, now
        )
        self.sharing = self._share(demand, now) if self.is_scarce else None

    def get_share(self, workspace: str) -> WorkspaceShare | None:
        """Return the share of a workspace; None if memory is not shared."""
        sharing = self.sharing
        if sharing is None:
            return None
        demand = sharing.demands.get(compute_key(self.service, workspace), 0.0)
        return WorkspaceShare(
            demand,
            workspace_shares.compute_share(
                demand, sharing.level, sharing.capacity, sharing.total
            ),
        )

    def _share(self, demand: ServiceDemand, now: int) -> Sharing | None:
        demands = self._own.measure(now)
        factor = demand.others_factor
        if factor is not None:
            for key in demands:
                demands[key] *= 1.0 + factor
        else:
            for key, amount in self._others.items():
                demands[key] = demands.get(key, 0.0) + amount
        capacity = demand.released_tokens
        if len(demands) < 2 or capacity <= 0:
            # Without a release there is nothing to derive a share from, as
            # while all engines stall.
            return None
        listed = sum(demands.values())
        total = max(listed, demand.arrived_tokens)
        level = workspace_shares.compute_fair_share(
            demands.values(), capacity, total - listed
        )
        if math.isinf(level):
            return None
        return Sharing(demands, level, capacity, total)


def group_by_service(
    amounts: dict[int, float],
) -> dict[int, dict[int, float]]:
    """Group the amounts of workspaces by the bits that name the service."""
    groups: dict[int, dict[int, float]] = {}
    for key, amount in amounts.items():
        if key >= KEY_FLAG:
            groups.setdefault(key >> WORKSPACE_BITS, {})[key] = amount
    return groups


def limit_amounts(amounts: dict[int, float]) -> dict[int, float]:
    """Limit the amounts of workspaces to the largest ones of each service.

    Parameters
    ----------
    amounts : dict of int to float
        Amounts by key, with those that do not belong to workspaces.

    Returns
    -------
    dict of int to float
        All other amounts, and the largest ones of workspaces.
    """
    limited = {
        key: amount for key, amount in amounts.items() if key < KEY_FLAG
    }
    for group in group_by_service(amounts).values():
        limited.update(
            workspace_shares.select_largest(
                group, workspace_shares.MAX_TRACKED
            )
        )
    return limited


def find_group(service: str) -> int:
    """Return the bits that the keys of a service begin with."""
    return compute_key(service, '') >> WORKSPACE_BITS


@functools.lru_cache(CACHED_KEYS)
def compute_key(service: str, workspace: str) -> int:
    """Compute the key of the amounts of a workspace at a service."""
    service_hash = xxhash.xxh32_intdigest(service.encode())
    workspace_hash = xxhash.xxh32_intdigest(workspace.encode())
    return (
        KEY_FLAG
        | service_hash >> (32 - SERVICE_BITS) << WORKSPACE_BITS
        | workspace_hash >> (32 - WORKSPACE_BITS)
    )
