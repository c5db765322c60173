"""Sharing a workspace's limits out among entries.

One entry, found by rendezvous hashing, keeps a ledger of a workspace's
limits. Every entry owns a small floor without asking; the rest goes to the
entries that report demand, in proportion to it. What was handed out counts
until its holder reports a smaller share or its time is up, so that the sum
of all shares stays within the limit although replies are lost.
"""

from __future__ import annotations

import math
import typing

import attrs

from thornspool.domain.limits import messages

if typing.TYPE_CHECKING:
    from thornspool.domain.configuration import documents

FLOOR_SHARE = 0.05
"""Part of a rate limit that entries own without asking, all together."""

SPARSE_FLOOR_SHARE = 0.5
SPARSE_REQUESTS_PER_S = 0.05
SPARSE_TOKENS_PER_S = 20.0
"""Under these, one usual request is more than 20 s of an equal part."""

GRANT_TTL_MS = 5000
MAX_WORKSPACES = 20_000

_LEAST_WEIGHT = 1e-9


def compute_floor(limit: float, members: int, sparse_per_s: float) -> float:
    """Compute what each entry may use of a rate without asking.

    Where entries are many and a limit is small, callers come to an entry
    once in many minutes. With the usual floor its one token would not be
    back by then, and almost every request would be refused first.

    Parameters
    ----------
    limit : float
        Rate over all entries.
    members : int
        Number of entries.
    sparse_per_s : float
        Equal part under which the larger floor holds.
    """
    if members <= 1:
        return limit
    sparse = is_sparse(limit, members, sparse_per_s)
    share = SPARSE_FLOOR_SHARE if sparse else FLOOR_SHARE
    return share * limit / members


def is_sparse(limit: float, members: int, sparse_per_s: float) -> bool:
    """Say whether an equal part is too small for a share each."""
    return limit / max(1, members) < sparse_per_s


@attrs.define
class _Holding:
    sequence: int
    demand: messages.Amounts
    outstanding: messages.Amounts
    expires_at: int


@attrs.frozen
class _Split:
    """One limit, as one reporter's grant is computed from it."""

    limit: float
    members: int
    settled: bool
    demand: float
    held: float
    other_demands: tuple[float, ...]
    other_holdings: tuple[float, ...]


class ShareLedger:
    """What this entry handed out of the limits that it looks after."""

    def __init__(self) -> None:
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
        """Answer one line of a report.

        Parameters
        ----------
        reporter : str
            Incarnation that reports.
        line : WorkspaceDemand
            Its demand and the share that it holds.
        limits : Limits
            Limits of the workspace.
        members : int
            Number of entries in view.
        settled : bool
            Whether this entry has been the owner for longer than grants
            live. A new owner cannot know what the former one handed out,
            so until then nobody gets more than it holds or an equal share.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        WorkspaceGrant or None
            None for a report older than one already answered.
        """
        holdings = self._find_holdings(line.workspace, now)
        mine = holdings.pop(reporter, None)
        if mine is not None and mine.sequence > line.sequence:
            holdings[reporter] = mine
            return None
        share = messages.round_share(
            _compute_share(line, limits, members, settled, holdings)
        )
        holdings[reporter] = _Holding(
            line.sequence,
            line.demand,
            _take_larger(share, line.held),
            now + GRANT_TTL_MS,
        )
        return messages.WorkspaceGrant(
            line.workspace, line.sequence, share, GRANT_TTL_MS
        )

    def _find_holdings(self, workspace: str, now: int) -> dict[str, _Holding]:
        """Return the live holdings of a workspace, oldest reports first."""
        if workspace not in self._holdings:
            self._drop_idle(now)
        found = self._holdings.get(workspace, {})
        live = {
            reporter: holding
            for reporter, holding in found.items()
            if holding.expires_at > now
        }
        self._holdings[workspace] = live
        return live

    def _drop_idle(self, now: int) -> None:
        if len(self._holdings) < MAX_WORKSPACES:
            return
        self._holdings = {
            workspace: holdings
            for workspace, holdings in self._holdings.items()
            if any(one.expires_at > now for one in holdings.values())
        }


def _compute_share(
    line: messages.WorkspaceDemand,
    limits: documents.Limits,
    members: int,
    settled: bool,
    others: dict[str, _Holding],
) -> messages.Amounts:
    def split(name: str, limit: float | None) -> _Split:
        return _Split(
            limit or 0.0,
            max(members, len(others) + 1),
            settled,
            getattr(line.demand, name),
            getattr(line.held, name),
            tuple(getattr(one.demand, name) for one in others.values()),
            tuple(getattr(one.outstanding, name) for one in others.values()),
        )

    return messages.Amounts(
        _split_rate(
            split('requests_per_s', limits.requests_per_s),
            SPARSE_REQUESTS_PER_S,
        ),
        _split_rate(
            split('tokens_per_s', limits.tokens_per_s), SPARSE_TOKENS_PER_S
        ),
        _split_count(split('concurrency', limits.concurrency)),
    )


def _split_rate(split: _Split, sparse_per_s: float) -> float:
    floor = compute_floor(split.limit, split.members, sparse_per_s)
    pool = split.limit - floor * split.members
    used = sum(max(0.0, held - floor) for held in split.other_holdings)
    wanted = _weigh(split) * pool
    if not split.settled:
        wanted = max(split.held - floor, pool / split.members)
    return floor + max(0.0, min(wanted, pool - used))


def _split_count(split: _Split) -> float:
    wanted = math.ceil(_weigh(split) * split.limit)
    if not split.settled:
        wanted = math.ceil(max(split.held, split.limit / split.members))
    return max(0.0, min(wanted, split.limit - sum(split.other_holdings)))


def _weigh(split: _Split) -> float:
    mine = max(split.demand, _LEAST_WEIGHT)
    return mine / (mine + sum(split.other_demands))


def _take_larger(
    one: messages.Amounts, other: messages.Amounts
) -> messages.Amounts:
    return messages.Amounts(
        max(one.requests_per_s, other.requests_per_s),
        max(one.tokens_per_s, other.tokens_per_s),
        max(one.concurrency, other.concurrency),
    )
