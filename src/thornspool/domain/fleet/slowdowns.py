"""Slowdown factors of engines, relative to the expected speed of their kind.

An engine that has become slow answers all requests, but late: the first event
arrives after a second instead of 60 ms. No request fails, so that failure
detection doesn't find it, but the engine reports its slowdown when probed.
Entries probe the engines of a path on which a request is late, exchange the
slowdown factors, and choose other paths until the engine recovers.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import server_hashes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

VALID_MS = 4_000
"""Time for which a slowdown factor is valid.

Engines are slow for 5 to 9 s. An engine that has recovered is used again after
this time at the latest.
"""

FRESH_MS = 1_000
"""Time for which an engine is not probed again; its report lags 200 ms."""

SLOW_FACTOR = 1.5
"""Slowdown factor from which an engine is slow; normal variation is 10 %."""


@attrs.frozen
class Slowdown:
    """Slowdown of one engine.

    Attributes
    ----------
    factor : float
        Ratio of its times to the expected times.
    received_at : int
        When the factor was received.
    direct : bool
        Whether this entry or one of its failure domain has probed the engine.
        A factor that a collector forwarded is not forwarded again.
    """

    factor: float
    received_at: int
    direct: bool


@attrs.define
class Slowdowns:
    """Slowdown factors of engines, by server hash."""

    _slowdowns: dict[int, Slowdown] = attrs.field(factory=dict)

    def record_probe(self, name: str, factor: float, now: int) -> None:
        """Record the factor that an engine returned to a probe."""
        self._slowdowns[server_hashes.compute_server_hash(name)] = Slowdown(
            factor, now, True
        )

    def record_reported(
        self, reported: dict[int, float], now: int, direct: bool
    ) -> None:
        """Record the slowdown factors that a peer reports.

        Parameters
        ----------
        reported : dict of int to float
            Factors of slow engines, by server hash.
        now : int
            Milliseconds of the clock.
        direct : bool
            Whether an entry of this failure domain has probed the engines.
        """
        for server_hash, factor in reported.items():
            slowdown = self._slowdowns.get(server_hash)
            if slowdown is None or now - slowdown.received_at > FRESH_MS:
                self._slowdowns[server_hash] = Slowdown(factor, now, direct)

    def get(self, name: str, now: int) -> float:
        """Return an engine's slowdown factor; 1 without a valid report."""
        slowdown = self._slowdowns.get(server_hashes.compute_server_hash(name))
        if slowdown is None or now - slowdown.received_at > VALID_MS:
            return 1.0
        return max(1.0, slowdown.factor)

    def is_fresh(self, name: str, now: int, within_ms: int = FRESH_MS) -> bool:
        """Return whether an engine's factor was received within a time."""
        slowdown = self._slowdowns.get(server_hashes.compute_server_hash(name))
        return slowdown is not None and now - slowdown.received_at <= within_ms

    def select(self, names: Iterable[str], now: int) -> dict[str, float]:
        """Select the slow engines with their factors."""
        if not self._slowdowns:
            return {}
        factors = {name: self.get(name, now) for name in names}
        return {
            name: factor
            for name, factor in factors.items()
            if factor >= SLOW_FACTOR
        }

    def list_slow(self, now: int, direct_only: bool) -> dict[int, float]:
        """List the recent factors of slow engines to announce to peers."""
        return {
            server_hash: slowdown.factor
            for server_hash, slowdown in self._slowdowns.items()
            if slowdown.factor >= SLOW_FACTOR
            and now - slowdown.received_at <= FRESH_MS
            and (slowdown.direct or not direct_only)
        }

    def forget_old(self, now: int) -> None:
        """Remove factors that have expired."""
        for server_hash, slowdown in list(self._slowdowns.items()):
            if now - slowdown.received_at > VALID_MS:
                del self._slowdowns[server_hash]
