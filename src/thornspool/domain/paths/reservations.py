"""Reservation of token memory on every engine of a path.

An engine that runs out of memory preempts its newest request in the middle of
the stream and prefills it again, which delays the stream by seconds. A request
therefore reserves memory for its prompt and its expected answer on all engines
of its path before it is sent. Reservations reported by peers are included in
the totals.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import server_hashes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool.domain.paths import search

MAX_RESERVED_SHARE = 0.9
"""Share of an engine's request memory that reservations may use.

The rest covers answers that are longer than expected: the expected length is
exact only at the median.
"""


@attrs.define
class Reservations:
    """Memory and requests reserved on the engines.

    Attributes
    ----------
    local : dict of str to float
        Token-layers (tokens times layers) reserved by this entry, by engine.
    request_counts : dict of str to int
        Requests of this entry, by engine.
    starts : dict of str to int
        Requests of this entry whose path begins at an engine, by engine.
    prefill_backlog : dict of str to float
        Token-layers that engines have not yet prefilled for requests of this
        entry, by engine.
    remote : dict of int to float
        Token-layers reserved by other entries, by server hash.
    remote_starts : dict of int to float
        Requests of other entries whose path begins at an engine, expected at
        the next report, by the hash of its starts.
    release_count : int
        Times that memory may have become free.
    reported_at : int or None
        Time in milliseconds of the last report of other entries; None before
        the first.
    silent_domains : frozenset of str
        Failure domains most of whose entries do not report.
    """

    local: dict[str, float] = attrs.field(factory=dict)
    request_counts: dict[str, int] = attrs.field(factory=dict)
    starts: dict[str, int] = attrs.field(factory=dict)
    prefill_backlog: dict[str, float] = attrs.field(factory=dict)
    remote: dict[int, float] = attrs.field(factory=dict)
    remote_starts: dict[int, float] = attrs.field(factory=dict)
    release_count: int = 0
    reported_at: int | None = None
    silent_domains: frozenset[str] = frozenset()
    _reported_starts: dict[int, float] = attrs.field(factory=dict)
    _start_gains: dict[int, float] = attrs.field(factory=dict)

    def apply_remote(self, amounts: dict[int, float]) -> None:
        """Apply what the other entries have reserved."""
        self.remote = amounts
        self.release_count += 1

    def apply_remote_starts(self, amounts: dict[int, float]) -> None:
        """Apply where the requests of the other entries have begun.

        What an engine has gained between two reports is expected to be gained
        again before the next one, and half of it before the one after that.
        """
        if amounts == self._reported_starts:
            return
        self._start_gains = {
            key: max(
                amount - self._reported_starts.get(key, 0.0),
                self._start_gains.get(key, 0.0) / 2,
            )
            for key, amount in amounts.items()
        }
        self._reported_starts = amounts
        self.remote_starts = {
            key: amount + self._start_gains[key]
            for key, amount in amounts.items()
        }

    def reserve(self, hops: Iterable[search.Hop], tokens: float) -> None:
        """Reserve memory on each engine of a path.

        Parameters
        ----------
        hops : iterable of search.Hop
            The path.
        tokens : float
            Tokens of the prompt and of the expected answer.
        """
        for hop in hops:
            name = hop.server.id
            self.local[name] = self.local.get(name, 0.0) + tokens * hop.count
            self.request_counts[name] = self.request_counts.get(name, 0) + 1
            if hop.first == 0:
                self.starts[name] = self.starts.get(name, 0) + 1

    def release(self, hops: Iterable[search.Hop], tokens: float) -> None:
        """Release what ``reserve`` reserved for the same arguments."""
        self.release_count += 1
        for hop in hops:
            name = hop.server.id
            if hop.first == 0:
                self._release_start(name)
            remaining = self.local.get(name, 0.0) - tokens * hop.count
            self.request_counts[name] = max(
                0, self.request_counts.get(name, 0) - 1
            )
            if self.request_counts[name] == 0:
                self.request_counts.pop(name)
                self.local.pop(name, None)
            else:
                self.local[name] = max(0.0, remaining)

    def _release_start(self, name: str) -> None:
        count = self.starts.pop(name, 0) - 1
        if count > 0:
            self.starts[name] = count

    def begin_prefill(self, hops: Iterable[search.Hop], tokens: float) -> None:
        """Add a prompt to the prefill backlog of each engine of a path.

        Parameters
        ----------
        hops : iterable of search.Hop
            The path.
        tokens : float
            Tokens to prefill.
        """
        for hop in hops:
            name = hop.server.id
            self.prefill_backlog[name] = (
                self.prefill_backlog.get(name, 0.0) + tokens * hop.count
            )

    def end_prefill(self, hops: Iterable[search.Hop], tokens: float) -> None:
        """Remove a prompt that is prefilled or no longer needed."""
        for hop in hops:
            name = hop.server.id
            remaining = (
                self.prefill_backlog.get(name, 0.0) - tokens * hop.count
            )
            if remaining > 0:
                self.prefill_backlog[name] = remaining
            else:
                self.prefill_backlog.pop(name, None)

    def list_by_hash(self) -> dict[int, float]:
        """List the token-layers reserved by this entry, by server hash."""
        return {
            server_hashes.compute_server_hash(name): amount
            for name, amount in self.local.items()
        }

    def compute_reserved(self, name: str) -> float:
        """Return the token-layers reserved on an engine by all entries."""
        others = self.remote.get(server_hashes.compute_server_hash(name), 0.0)
        return self.local.get(name, 0.0) + others

    def list_starts_by_hash(self) -> dict[int, float]:
        """List where the requests of this entry have begun, by hash."""
        return {
            _hash_starts(name): float(count)
            for name, count in self.starts.items()
        }

    def compute_starts(self, name: str) -> float:
        """Return the requests of all entries that have begun at an engine."""
        others = self.remote_starts.get(_hash_starts(name), 0.0)
        return self.starts.get(name, 0) + others


def _hash_starts(name: str) -> int:
    return server_hashes.compute_server_hash(f'starts at {name}')
