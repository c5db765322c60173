"""Requests that one entry may send to servers that name a limit.

An entry sends a request to such a server only within its granted share. Its
token bucket starts empty with the first grant and is emptied when the share
expires, so that entries which held a share some time ago can't add their saved
tokens to the requests of the present holders.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.limits import buckets
from thornspool.domain.limits import demand
from thornspool.domain.limits import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

BURST_S = 1.0
"""Burst of a bucket in seconds of its rate; it is at least one request."""

REPORT_INTERVAL_MS = 400
URGENT_INTERVAL_MS = 100
"""Interval of reports while there is demand and no share."""

IDLE_MS = 3_000
"""Time without demand after which a share is no longer renewed."""

MIN_LIMIT_PER_S = 0.2
"""Least limit that is divided among entries.

Only a response to a request shows that a limit has ended. Without any request,
a limit of 0 would last forever.
"""

MAX_RETRY_MS = 20_000
"""Longest Retry-After; callers wait for a response for about this time."""

_INITIAL_SAMPLE_MS = 1_000
"""Time to which the first demand is attributed."""


@attrs.define
class ServerShare:
    """Share of one server's limit at this entry.

    Attributes
    ----------
    limit_per_s : float
        Limit over all entries, in requests per second.
    meter : demand.DemandMeter
        Requests of this entry for the server.
    bucket : buckets.TokenBucket
        Limits what this entry sends.
    share_per_s : float
        Granted requests per second; 0 without a grant.
    expires_at : int
        Milliseconds of the clock at which the share expires.
    reported_at : int or None
        Milliseconds of the clock of the last report.
    wanted_at : int
        Milliseconds of the clock of the last request for the server.
    promised_at : int
        Time in milliseconds up to which callers were told to come back.
    """

    limit_per_s: float
    meter: demand.DemandMeter
    bucket: buckets.TokenBucket
    share_per_s: float = 0.0
    expires_at: int = 0
    reported_at: int | None = None
    wanted_at: int = 0
    promised_at: int = 0


class ServerShares:
    """Shares of the limits of all servers at one entry."""

    def __init__(self) -> None:
        self._shares: dict[str, ServerShare] = {}

    def has_room(self, server: str, limit_per_s: float, now: int) -> bool:
        """Return whether a request may be sent to a server now.

        Parameters
        ----------
        server : str
            The server.
        limit_per_s : float
            Its limit over all entries, in requests per second.
        now : int
            Milliseconds of the clock.
        """
        return self._refresh(server, limit_per_s, now).bucket.level >= 1.0

    def record_demand(self, server: str, limit_per_s: float, now: int) -> None:
        """Record a request that would have been sent to a server."""
        share = self._refresh(server, limit_per_s, now)
        share.meter.offered += 1
        share.wanted_at = now

    def record_send(self, server: str, limit_per_s: float, now: int) -> None:
        """Record a request that is sent to a server.

        The level of the bucket becomes negative if there was no room.
        """
        self._refresh(server, limit_per_s, now).bucket.level -= 1.0

    def estimate_wait(self, server: str, limit_per_s: float, now: int) -> int:
        """Estimate when a caller that is refused now can be served.

        Callers that were refused before are served first.

        Returns
        -------
        int
            Milliseconds, up to ``MAX_RETRY_MS``.
        """
        share = self._refresh(server, limit_per_s, now)
        wait_ms = share.bucket.compute_wait(1.0, now)
        if wait_ms is None:
            wait_ms = REPORT_INTERVAL_MS + _compute_interval(share)
        return min(MAX_RETRY_MS, max(wait_ms, share.promised_at - now))

    def promise_room(
        self, server: str, limit_per_s: float, now: int, wait_ms: int
    ) -> None:
        """Reserve the time at which a refused caller comes back.

        Refused callers come back one after the other, at the rate at which
        this entry may send requests.

        Parameters
        ----------
        server : str
            The server.
        limit_per_s : float
            Its limit over all entries, in requests per second.
        now : int
            Milliseconds of the clock.
        wait_ms : int
            Milliseconds after which the caller comes back.
        """
        share = self._refresh(server, limit_per_s, now)
        share.promised_at = now + wait_ms + _compute_interval(share)

    def collect_reports(
        self, now: int
    ) -> tuple[messages.WorkspaceDemand, ...]:
        """Return the reports to the owners of the limits that are due."""
        return tuple(
            self._build_report(server, share, now)
            for server, share in self._shares.items()
            if _is_due(share, now)
        )

    def apply_grant(self, grant: messages.WorkspaceGrant, now: int) -> None:
        """Apply a granted share, unless a later report has been sent.

        The lifetime of the share starts with the report, before the owner's
        own count starts.
        """
        share = self._shares.get(grant.workspace)
        if share is None or share.reported_at != grant.sequence:
            return
        _expire(share, now)
        expires_at = grant.sequence + grant.ttl_ms
        if expires_at <= now:
            return
        share.expires_at = expires_at
        _set_share(
            share, min(grant.share.requests_per_s, share.limit_per_s), now
        )

    def get_share(self, server: str, now: int) -> float:
        """Return the share of a server's limit in requests per second."""
        share = self._shares.get(server)
        if share is None:
            return 0.0
        _expire(share, now)
        return share.share_per_s

    def retain(self, servers: Iterable[str]) -> None:
        """Drop the shares of all servers except those that name a limit."""
        retained = set(servers)
        for server in [name for name in self._shares if name not in retained]:
            del self._shares[server]

    def _refresh(
        self, server: str, limit_per_s: float, now: int
    ) -> ServerShare:
        limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        share = self._shares.get(server)
        if share is None:
            share = self._shares[server] = ServerShare(
                limit_per_s,
                demand.DemandMeter(now - _INITIAL_SAMPLE_MS),
                buckets.TokenBucket(0.0, 1.0, 0.0, now),
            )
        _expire(share, now)
        if share.limit_per_s != limit_per_s:
            ratio = min(1.0, limit_per_s / share.limit_per_s)
            share.limit_per_s = limit_per_s
            _set_share(share, share.share_per_s * ratio, now)
        share.bucket.refill(now)
        return share

    def _build_report(
        self, server: str, share: ServerShare, now: int
    ) -> messages.WorkspaceDemand:
        _expire(share, now)
        share.reported_at = now
        demand_per_s = share.meter.sample(0, now).requests_per_s
        if share.promised_at > now:
            # Refused callers will come back at the rate of the share.
            demand_per_s = max(demand_per_s, share.limit_per_s)
        return messages.WorkspaceDemand(
            server,
            now,
            messages.Amounts(demand_per_s),
            messages.Amounts(share.share_per_s),
        )


def _compute_interval(share: ServerShare) -> int:
    """Return the milliseconds between two requests of this entry."""
    return round(buckets.MS_PER_S / (share.share_per_s or share.limit_per_s))


def _is_due(share: ServerShare, now: int) -> bool:
    if now - max(share.wanted_at, share.promised_at) >= IDLE_MS:
        return False
    if share.reported_at is None:
        return share.meter.offered > 0
    interval_ms = REPORT_INTERVAL_MS
    if share.share_per_s <= 0:
        interval_ms = URGENT_INTERVAL_MS
    return now - share.reported_at >= interval_ms


def _expire(share: ServerShare, now: int) -> None:
    """End an expired share, with the tokens that it has saved."""
    if share.share_per_s > 0 and share.expires_at <= now:
        _set_share(share, 0.0, share.expires_at)


def _set_share(share: ServerShare, per_s: float, now: int) -> None:
    """Set the share and the rate of the bucket.

    A bucket of a share of 0 keeps what was used in advance, but no tokens.
    """
    burst = max(1.0, BURST_S * per_s) if per_s > 0 else 0.0
    share.share_per_s = per_s
    share.bucket.set_rate(per_s, burst, now)
