"""Outlier ejection: engines that break runs although their probes succeed.

Some engines reset the connections of requests sent to them. Occasional lost
answers are no sign of a faulty engine while it serves the other requests.
An entry therefore attributes a break to an engine only while most of the
entry's recent runs on it break, and the breaks that all entries observe count
together.
"""

from __future__ import annotations

import collections
import typing

import attrs

from thornspool.domain.fleet import server_hashes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_MS = 1_000
"""Time within which breaks count together for an ejection."""

MIN_BREAKS = 2
"""Breaks within the window that eject an engine; one may be a coincidence."""

FAULTY_SHARE = 0.5
"""Share of broken runs from which an entry attributes breaks to an engine."""

HALF_LIFE_MS = 2_000
"""Half-life of a run's weight in the share of broken runs."""

ANNOUNCE_MS = 500
"""Time for which a break is announced to peers.

It is a little longer than the interval of state updates.
"""

RETENTION_MS = 10_000
"""Time for which breaks and runs of an engine are retained."""

MAX_EJECTED_SHARE = 0.34
"""Maximum share of ejected servers; with more, the rest is overloaded."""


@attrs.define
class Runs:
    """Recent runs of this entry on one engine, weighted by their age."""

    broken: float = 0.0
    succeeded: float = 0.0
    updated_at: int = 0

    def record(self, broken: bool, now: int) -> None:
        """Record one run."""
        weight = 0.5 ** (max(0, now - self.updated_at) / HALF_LIFE_MS)
        self.broken = self.broken * weight + broken
        self.succeeded = self.succeeded * weight + (not broken)
        self.updated_at = now

    @property
    def share(self) -> float:
        """Share of the runs that the engine broke."""
        total = self.broken + self.succeeded
        return self.broken / total if total else 0.0


@attrs.define
class Outliers:
    """Broken runs of engines, by server hash.

    Attributes
    ----------
    has_unsent : bool
        Whether there are breaks that were not announced to peers yet.
    """

    has_unsent: bool = False
    _break_times: dict[int, collections.deque[int]] = attrs.field(factory=dict)
    _local: dict[int, int] = attrs.field(factory=dict)
    _reported: dict[tuple[str, int], int] = attrs.field(factory=dict)
    _runs: dict[int, Runs] = attrs.field(factory=dict)

    def record_success(self, name: str, now: int) -> None:
        """Record that an engine has answered a request of this entry."""
        self._record_run(server_hashes.compute_server_hash(name), False, now)

    def _record_run(self, server_hash: int, broken: bool, now: int) -> None:
        self._runs.setdefault(server_hash, Runs(updated_at=now)).record(
            broken, now
        )

    def record_break(self, name: str, now: int) -> bool:
        """Record that an engine has broken a run of this entry.

        Parameters
        ----------
        name : str
            The engine.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        bool
            Whether the break is attributed to the engine; False when the
            engine has served most recent runs of this entry.
        """
        server_hash = server_hashes.compute_server_hash(name)
        self._record_run(server_hash, True, now)
        if self._runs[server_hash].share < FAULTY_SHARE:
            return False
        self._record_break(server_hash, now)
        self._local[server_hash] = now
        self.has_unsent = True
        return True

    def record_reported(
        self, host: str, reported: Iterable[int], now: int
    ) -> set[int]:
        """Record breaks that a peer reports, each of them only once.

        Parameters
        ----------
        host : str
            The peer, which reports the same break in several updates.
        reported : iterable of int
            Server hashes of the engines.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        set of int
            Hashes of the engines with a new break.
        """
        new = set()
        for server_hash in reported:
            since = self._reported.get((host, server_hash))
            if since is None or now - since > ANNOUNCE_MS:
                self._reported[host, server_hash] = now
                self._record_break(server_hash, now)
                new.add(server_hash)
        return new

    def _record_break(self, server_hash: int, now: int) -> None:
        times = self._break_times.setdefault(
            server_hash, collections.deque(maxlen=MIN_BREAKS)
        )
        times.append(now)

    def is_outlier(self, server_hash: int, now: int) -> bool:
        """Return whether an engine has broken enough runs for an ejection."""
        runs = self._runs.get(server_hash)
        if runs is not None and runs.share < FAULTY_SHARE:
            return False
        times = self._break_times.get(server_hash)
        if times is None or len(times) < MIN_BREAKS:
            return False
        return now - times[0] <= WINDOW_MS

    def has_broken(self, server_hash: int) -> bool:
        """Return whether an engine has broken a run in the retention time."""
        return server_hash in self._break_times

    def list_announced(self, now: int) -> tuple[int, ...]:
        """List the hashes of the engines whose breaks are announced."""
        return tuple(
            server_hash
            for server_hash, at in self._local.items()
            if now - at <= ANNOUNCE_MS
        )

    def forget_old(self, now: int) -> None:
        """Remove breaks, runs and reports that have expired."""
        self._break_times = {
            server_hash: times
            for server_hash, times in self._break_times.items()
            if now - times[-1] <= RETENTION_MS
        }
        self._runs = {
            server_hash: runs
            for server_hash, runs in self._runs.items()
            if now - runs.updated_at <= RETENTION_MS
        }
        self._local = _keep_recent(self._local, now)
        self._reported = _keep_recent(self._reported, now)


_Key = typing.TypeVar('_Key')


def _keep_recent(times: dict[_Key, int], now: int) -> dict[_Key, int]:
    return {key: at for key, at in times.items() if now - at <= ANNOUNCE_MS}
