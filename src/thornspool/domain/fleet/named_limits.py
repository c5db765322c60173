"""Limits on the rate of requests that servers name in their responses.

A server that needs relief names the requests per second that it accepts from
all entries together. The limit applies until the server answers without it.
All entries are bound by it, so the entry that gets such a response reports it
to the others, and repeats the report as long as the limit is in force.
"""

from __future__ import annotations

import math
import typing

import attrs

from thornspool.domain.fleet import server_hashes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

REPORT_VALID_MS = 3_000
"""Time for which a limit applies that is known from peers only.

Entries repeat their reports at least every 400 ms, and a report passes two
collectors at most.
"""

END_ANNOUNCE_MS = 2_000
"""Time for which the end of a limit is reported; the time of five updates."""

MAX_REPORT_DELAY_MS = 250
"""Time by which a reported limit must be newer to replace a known one.

The age of a report does not include its transmission. Without this margin, two
entries that have observed different limits would exchange them repeatedly.
"""

_WIRE_SCALE = 1000


@attrs.frozen
class ReportedLimit:
    """Report of a peer about the limit of a server.

    Attributes
    ----------
    per_s : float or None
        Requests per second from all entries together; None if the limit has
        ended.
    age_ms : int
        Time between the response of the server and the report, in
        milliseconds.
    """

    per_s: float | None
    age_ms: int


@attrs.frozen
class NamedLimit:
    """Limit of one server, or its recent end.

    Attributes
    ----------
    per_s : float or None
        Requests per second from all entries together; None if the limit has
        ended.
    observed_at : int
        Time in milliseconds of the response that showed it.
    confirmed_at : int
        Time in milliseconds of the last response or report with it.
    own : bool
        Whether this entry has observed it.
    direct : bool
        Whether this entry or one of its failure domain has observed it.
    """

    per_s: float | None
    observed_at: int
    confirmed_at: int
    own: bool
    direct: bool


@attrs.define
class NamedLimits:
    """Limits by server hash.

    Attributes
    ----------
    has_unsent : bool
        Whether there are changes that were not reported to peers yet.
    """

    has_unsent: bool = False
    _limits: dict[int, NamedLimit] = attrs.field(factory=dict)

    def record(self, name: str, per_s: float | None, now: int) -> bool:
        """Record whether a response of a server names a limit.

        Parameters
        ----------
        name : str
            The server.
        per_s : float or None
            Requests per second; None if the response names no limit.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        server_hash = server_hashes.compute_server_hash(name)
        known = self._limits.get(server_hash)
        previous = None if known is None else known.per_s
        if per_s is None and previous is None:
            return False
        if per_s is not None:
            per_s = math.floor(per_s * _WIRE_SCALE) / _WIRE_SCALE
        self._limits[server_hash] = NamedLimit(per_s, now, now, True, True)
        changed = per_s != previous
        self.has_unsent = self.has_unsent or changed
        return changed

    def record_reported(
        self,
        server_hash: int,
        reported: ReportedLimit,
        now: int,
        echoed_at: int,
        direct: bool,
    ) -> bool:
        """Record a peer's report about the limit of a server.

        A report may have been in transit for any time. The end of a limit is
        therefore dated by the last stamp of this entry that the peer had
        received, which is the earliest possible time.

        Parameters
        ----------
        server_hash : int
            Hash of the server.
        reported : ReportedLimit
            The report.
        now : int
            Milliseconds of the clock.
        echoed_at : int
            Time of this entry's clock that the peer had received before it
            sent the report; 0 if it had received none.
        direct : bool
            Whether the peer belongs to the failure domain of this entry.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        if reported.per_s is None:
            return self._end_reported(
                server_hash, reported, now, echoed_at, direct
            )
        known = self._limits.get(server_hash)
        observed_at = now - reported.age_ms
        if known is None or (
            observed_at > known.observed_at + MAX_REPORT_DELAY_MS
            and reported.per_s != known.per_s
        ):
            own = known is not None and known.own and known.per_s is not None
            self._limits[server_hash] = NamedLimit(
                reported.per_s, observed_at, now, own, direct or own
            )
            return True
        if reported.per_s == known.per_s:
            self._limits[server_hash] = attrs.evolve(
                known,
                confirmed_at=now,
                observed_at=max(known.observed_at, observed_at),
                direct=known.direct or direct,
            )
        return False

    def _end_reported(
        self,
        server_hash: int,
        reported: ReportedLimit,
        now: int,
        echoed_at: int,
        direct: bool,
    ) -> bool:
        known = self._limits.get(server_hash)
        if known is None or known.per_s is None or echoed_at <= 0:
            return False
        observed_at = echoed_at - reported.age_ms
        if observed_at <= known.observed_at:
            return False
        self._limits[server_hash] = NamedLimit(
            None, observed_at, now, False, direct
        )
        return True

    def get(self, name: str) -> float | None:
        """Return the limit of a server in requests per second, if any."""
        if not self._limits:
            return None
        limit = self._limits.get(server_hashes.compute_server_hash(name))
        return None if limit is None else limit.per_s

    def find_report(self, name: str, now: int) -> ReportedLimit | None:
        """Return what this entry knows of a server's limit, if anything."""
        limit = self._limits.get(server_hashes.compute_server_hash(name))
        if limit is None:
            return None
        return ReportedLimit(limit.per_s, now - limit.observed_at)

    def list_announced(
        self, now: int, direct_only: bool
    ) -> dict[int, ReportedLimit]:
        """List the limits and recent ends that are reported to peers.

        Parameters
        ----------
        now : int
            Milliseconds of the clock.
        direct_only : bool
            Whether to leave out what is known from other failure domains.
        """
        return {
            server_hash: ReportedLimit(limit.per_s, now - limit.observed_at)
            for server_hash, limit in self._limits.items()
            if limit.direct or not direct_only
        }

    def forget(self, name: str) -> None:
        """Remove the limit of a server that has ended or restarted."""
        self._limits.pop(server_hashes.compute_server_hash(name), None)

    def forget_old(self, now: int) -> None:
        """Remove ended limits, and limits that peers no longer report."""
        for server_hash, limit in list(self._limits.items()):
            age_ms = now - limit.confirmed_at
            if limit.per_s is None:
                expired = age_ms > END_ANNOUNCE_MS
            else:
                expired = not limit.own and age_ms > REPORT_VALID_MS
            if expired:
                del self._limits[server_hash]

    @property
    def is_any_in_force(self) -> bool:
        """Whether any server names a limit."""
        return any(limit.per_s is not None for limit in self._limits.values())

    def select(self, names: Iterable[str]) -> dict[str, float]:
        """Return the limits in force of some servers, by name."""
        if not self._limits:
            return {}
        limits = {name: self.get(name) for name in names}
        return {
            name: per_s for name, per_s in limits.items() if per_s is not None
        }
