"""Division of limits among entries.

One entry, determined by rendezvous hashing, owns a workspace or a server and
keeps a ledger of its limits. The limits are granted to the entries that report
demand, in proportion to it. A granted share counts until its holder reports a
smaller one or until it expires, so the sum of all shares stays within the
limit even if replies are lost.

Of the limits of a workspace, every entry may use a small floor without a
grant. A server that names a limit gets requests from entries with a share
only, and few entries hold one: each of them may send a request at any moment,
and all of these requests together must not exceed what the server accepts.
"""

from __future__ import annotations

import math
import typing

import attrs

from thornspool.domain.limits import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.configuration import documents

FLOOR_SHARE = 0.05
"""Part of a rate limit that all entries together use without a grant."""

SPARSE_FLOOR_SHARE = 0.5
SPARSE_REQUESTS_PER_S = 0.05
SPARSE_TOKENS_PER_S = 20.0
"""Equal shares below which one usual request uses more than 20 s of them."""

GRANT_TTL_MS = 5000
MAX_WORKSPACES = 20_000

SERVER_GRANT_TTL_MS = 2_000
"""Lifetime of a share of a server's limit; holders renew it every 400 ms."""

MAX_SERVER_HOLDERS = 3.0
MAX_SERVER_HOLDERS_PER_RATE = 2.0
"""Number of entries that may hold a share of a server's limit, and additional
ones for each request per second.

Each of them may send one request at any moment, in addition to those that the
limit allows. Within 4 s, a server accepts twice the requests per second and 5
requests in addition to these.
"""

MAX_SHARE_DEMAND_RATIO = 2.0
"""Largest share of a server's limit as a multiple of the demand for it.

What an entry does not use is left to the entries that report demand later.
"""

_MIN_DEMAND = 1e-9
_TOLERANCE_PER_S = 0.002
"""Rate by which a share may be below the minimum; shares are rounded down."""


def compute_floor(limit: float, members: int, sparse_per_s: float) -> float:
    """Compute the rate that each entry may use without a grant.

    With many entries and a small limit, an entry receives one request in
    many minutes. With the usual floor its only token would not be refilled
    by then, and almost every request would be refused at first.

    Parameters
    ----------
    limit : float
        Rate over all entries.
    members : int
        Number of entries.
    sparse_per_s : float
        Equal share below which the larger floor applies.
    """
    if members <= 1:
        return limit
    sparse = is_sparse(limit, members, sparse_per_s)
    share = SPARSE_FLOOR_SHARE if sparse else FLOOR_SHARE
    return share * limit / members


def is_sparse(limit: float, members: int, sparse_per_s: float) -> bool:
    """Return whether an equal share is too small for separate grants."""
    return limit / max(1, members) < sparse_per_s


@attrs.frozen
class Division:
    """How a rate limit is divided among entries.

    Attributes
    ----------
    compute_floor : callable
        Computes the rate that each entry may use without a grant from the
        limit, the number of entries and the share below which the limit is
        sparse.
    compute_minimum : callable
        Computes the smallest rate that is granted from the limit.
    compute_equal_part : callable
        Computes the rate that a new owner grants to every entry from what may
        be granted and the number of entries.
    max_demand_ratio : float
        Largest granted rate as a multiple of the demand.
    ttl_ms : int
        Lifetime of a grant in milliseconds.
    """

    compute_floor: Callable[[float, int, float], float]
    compute_minimum: Callable[[float], float]
    compute_equal_part: Callable[[float, int], float]
    max_demand_ratio: float
    ttl_ms: int


def compute_server_minimum(limit: float) -> float:
    """Compute the smallest share of a server's limit."""
    return limit / (MAX_SERVER_HOLDERS + MAX_SERVER_HOLDERS_PER_RATE * limit)


WORKSPACE_DIVISION = Division(
    compute_floor,
    lambda limit: 0.0,
    lambda pool, members: pool / members,
    math.inf,
    GRANT_TTL_MS,
)

SERVER_DIVISION = Division(
    lambda limit, members, sparse_per_s: 0.0,
    compute_server_minimum,
    lambda pool, members: 0.0,
    MAX_SHARE_DEMAND_RATIO,
    SERVER_GRANT_TTL_MS,
)


@attrs.define
class _Holding:
    sequence: int
    demand: messages.Amounts
    outstanding: messages.Amounts
    expires_at: int


@attrs.frozen
class _ShareInputs:
    """Inputs for the share of one limit that one reporter is granted."""

    division: Division
    limit: float
    members: int
    settled: bool
    demand: float
    held: float
    other_demands: tuple[float, ...]
    other_holdings: tuple[float, ...]


class ShareLedger:
    """Shares that this entry granted of the limits that it owns.

    Parameters
    ----------
    division : Division, optional
        How the limits are divided.
    """

    def __init__(self, division: Division = WORKSPACE_DIVISION) -> None:
        self._division = division
        self._holdings: dict[str, dict[str, _Holding]] = {}

    def grant(
        self,
        reporter: str,
        line: messages.WorkspaceDemand,
        limits: documents.Limits,
        members: int,
        settled: bool,
        now: int,
    ) -> messages.WorkspaceGrant | None:
        """Compute the grant for one line of a report.

        Parameters
        ----------
        reporter : str
            Incarnation of the reporting entry.
        line : WorkspaceDemand
            Its demand and the share that it holds.
        limits : Limits
            Limits of the workspace.
        members : int
            Number of entries in view.
        settled : bool
            Whether this entry has been the owner for longer than the
            lifetime of a grant. A new owner has no record of the shares
            that its predecessor granted, so until then no entry is granted
            more than the share it holds or an equal share.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        WorkspaceGrant or None
            None for a report older than one already answered.
        """
        holdings = self._find_holdings(line.workspace, now)
        previous = holdings.pop(reporter, None)
        if previous is not None and previous.sequence > line.sequence:
            holdings[reporter] = previous
            return None
        share = messages.round_share(
            _compute_share(
                self._division, line, limits, members, settled, holdings
            )
        )
        ttl_ms = self._division.ttl_ms
        holdings[reporter] = _Holding(
            line.sequence,
            line.demand,
            _pick_larger(share, line.held),
            now + ttl_ms,
        )
        return messages.WorkspaceGrant(
            line.workspace, line.sequence, share, ttl_ms
        )

    def _find_holdings(self, workspace: str, now: int) -> dict[str, _Holding]:
        """Return the current holdings of a workspace, oldest report first."""
        if workspace not in self._holdings:
            self._drop_expired(now)
        found = self._holdings.get(workspace, {})
        live = {
            reporter: holding
            for reporter, holding in found.items()
            if holding.expires_at > now
        }
        self._holdings[workspace] = live
        return live

    def _drop_expired(self, now: int) -> None:
        if len(self._holdings) < MAX_WORKSPACES:
            return
        self._holdings = {
            workspace: holdings
            for workspace, holdings in self._holdings.items()
            if any(one.expires_at > now for one in holdings.values())
        }


def _compute_share(
    division: Division,
    line: messages.WorkspaceDemand,
    limits: documents.Limits,
    members: int,
    settled: bool,
    others: dict[str, _Holding],
) -> messages.Amounts:
    def collect_inputs(name: str, limit: float | None) -> _ShareInputs:
        return _ShareInputs(
            division,
            limit or 0.0,
            max(members, len(others) + 1),
            settled,
            getattr(line.demand, name),
            getattr(line.held, name),
            tuple(getattr(one.demand, name) for one in others.values()),
            tuple(getattr(one.outstanding, name) for one in others.values()),
        )

    return messages.Amounts(
        _compute_rate_share(
            collect_inputs('requests_per_s', limits.requests_per_s),
            SPARSE_REQUESTS_PER_S,
        ),
        _compute_rate_share(
            collect_inputs('tokens_per_s', limits.tokens_per_s),
            SPARSE_TOKENS_PER_S,
        ),
        _compute_concurrency_share(
            collect_inputs('concurrency', limits.concurrency)
        ),
    )


def _compute_rate_share(inputs: _ShareInputs, sparse_per_s: float) -> float:
    division = inputs.division
    floor = division.compute_floor(inputs.limit, inputs.members, sparse_per_s)
    minimum = division.compute_minimum(inputs.limit)
    pool = inputs.limit - floor * inputs.members
    used = sum(max(0.0, held - floor) for held in inputs.other_holdings)
    if inputs.settled:
        wanted = min(
            _compute_demand_ratio(inputs) * pool,
            division.max_demand_ratio * max(inputs.demand, _MIN_DEMAND),
        )
        wanted = max(minimum, wanted)
    else:
        wanted = max(
            inputs.held - floor,
            division.compute_equal_part(pool, inputs.members),
        )
    share = floor + max(0.0, min(wanted, pool - used))
    return share if share >= minimum - _TOLERANCE_PER_S else 0.0


def _compute_concurrency_share(inputs: _ShareInputs) -> float:
    wanted = math.ceil(_compute_demand_ratio(inputs) * inputs.limit)
    if not inputs.settled:
        wanted = math.ceil(max(inputs.held, inputs.limit / inputs.members))
    return max(0.0, min(wanted, inputs.limit - sum(inputs.other_holdings)))


def _compute_demand_ratio(inputs: _ShareInputs) -> float:
    """Return the part of the total demand that the reporter has."""
    demand = max(inputs.demand, _MIN_DEMAND)
    return demand / (demand + sum(inputs.other_demands))


def _pick_larger(
    one: messages.Amounts, other: messages.Amounts
) -> messages.Amounts:
    return messages.Amounts(
        max(one.requests_per_s, other.requests_per_s),
        max(one.tokens_per_s, other.tokens_per_s),
        max(one.concurrency, other.concurrency),
    )
