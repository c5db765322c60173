"""Exclusion of engines that have just refused a request.

An engine refuses requests when it is short of memory, releases layers, drains
or has stopped; the list of servers shows this late or not at all. Each refused
request costs a retry from the budget that all entries share. All entries
therefore exclude such an engine at once, and send requests to it again after a
backoff that doubles with each further refusal.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import server_hashes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

INITIAL_BACKOFF_MS = 300
"""Length of the first exclusion; an engine completes a stream, which frees
memory, every 100 ms or so."""

MAX_BACKOFF_MS = 1_500
"""Maximum length of an exclusion, reached by three refusals in a row."""

MAX_EJECTION_MS = 5_000
"""Maximum length of an exclusion of an engine that breaks runs.

Unlike an engine without free memory, it does not recover when it gets no
requests.
"""

EJECTED_JITTER_FACTOR = 4.0
"""Factor by which the jitter is larger for engines that break runs.

Every entry that sends a request to such an engine at the same time loses a
run.
"""

ANNOUNCE_MS = 500
"""Time for which a refusal is announced to peers.

It is a little longer than the interval of state updates.
"""

MAX_JITTER_FACTOR = 1.5
"""Maximum jitter factor of the lengths of exclusions between entries.

It spreads the first exclusion of 300 ms by 150 ms, in which a refusal is
announced to the whole failure domain.
"""


@attrs.frozen
class Exclusion:
    """Exclusion of one engine.

    Attributes
    ----------
    since, until : int
        Start and end, in milliseconds of the clock.
    length_ms : int
        Length without this entry's jitter factor.
    direct : bool
        Whether the engine refused a request of this entry or of one of its
        failure domain.
    """

    since: int
    until: int
    length_ms: int
    direct: bool


@attrs.define
class Refusals:
    """Excluded engines, by server hash.

    Attributes
    ----------
    jitter_factor : float
        Jitter factor from 1 to ``MAX_JITTER_FACTOR`` for the lengths of this
        entry's exclusions. It differs between entries, so that the first one
        to send a request to the engine announces a further refusal before
        the others send theirs.
    has_unsent : bool
        Whether there are refusals that were not announced to peers yet.
    """

    jitter_factor: float = 1.0
    has_unsent: bool = False
    _exclusions: dict[int, Exclusion] = attrs.field(factory=dict)

    def record(
        self, name: str, now: int, max_ms: int = MAX_BACKOFF_MS
    ) -> bool:
        """Record a refusal.

        Parameters
        ----------
        name : str
            The engine.
        now : int
            Milliseconds of the clock.
        max_ms : int, optional
            Maximum length of the exclusion in milliseconds.

        Returns
        -------
        bool
            Whether the engine was not excluded before.
        """
        server_hash = server_hashes.compute_server_hash(name)
        exclusion = self._exclusions.get(server_hash)
        if exclusion is not None and now < exclusion.until:
            # The request was sent before the first refusal arrived.
            return False
        self._exclude(server_hash, now, True, max_ms)
        self.has_unsent = True
        return True

    def is_half_open(self, name: str, now: int) -> bool:
        """Return whether an engine's exclusion has just ended."""
        exclusion = self._exclusions.get(
            server_hashes.compute_server_hash(name)
        )
        return exclusion is not None and _is_half_open(exclusion, now)

    def count_excluded(self, now: int) -> int:
        """Count the excluded engines."""
        return sum(
            now < exclusion.until for exclusion in self._exclusions.values()
        )

    def _exclude(
        self, server_hash: int, now: int, direct: bool, max_ms: int
    ) -> None:
        """Exclude an engine, twice as long if an exclusion has just ended."""
        exclusion = self._exclusions.get(server_hash)
        length = INITIAL_BACKOFF_MS
        if exclusion is not None and _is_half_open(exclusion, now):
            length = min(max_ms, 2 * exclusion.length_ms)
        jitter = self.jitter_factor
        if max_ms > MAX_BACKOFF_MS:
            jitter = 1.0 + EJECTED_JITTER_FACTOR * (jitter - 1.0)
        until = now + round(length * jitter)
        self._exclusions[server_hash] = Exclusion(now, until, length, direct)

    def record_reported(
        self,
        reported: Iterable[int],
        now: int,
        direct: bool,
        max_ms: int = MAX_BACKOFF_MS,
    ) -> None:
        """Record refusals that a peer reports.

        Few entries then send further requests to a refusing engine.

        Parameters
        ----------
        reported : iterable of int
            Server hashes of the engines.
        now : int
            Milliseconds of the clock.
        direct : bool
            Whether the engines refused an entry of this failure domain.
        max_ms : int, optional
            Maximum length of an exclusion in milliseconds.
        """
        for server_hash in reported:
            exclusion = self._exclusions.get(server_hash)
            is_repeated = (
                exclusion is not None and now - exclusion.since <= ANNOUNCE_MS
            )
            if exclusion is None or (
                now >= exclusion.until and not is_repeated
            ):
                self._exclude(server_hash, now, direct, max_ms)

    def is_refusing(self, name: str, now: int) -> bool:
        """Return whether an engine is excluded."""
        exclusion = self._exclusions.get(
            server_hashes.compute_server_hash(name)
        )
        return exclusion is not None and now < exclusion.until

    def select(self, names: Iterable[str], now: int) -> set[str]:
        """Select the excluded engines."""
        if not self._exclusions:
            return set()
        return {name for name in names if self.is_refusing(name, now)}

    def list_announced(self, now: int, direct_only: bool) -> tuple[int, ...]:
        """List the hashes of the engines whose refusals are announced."""
        return tuple(
            server_hash
            for server_hash, exclusion in self._exclusions.items()
            if now - exclusion.since <= ANNOUNCE_MS
            and (exclusion.direct or not direct_only)
        )

    def forget_old(self, now: int) -> None:
        """Remove exclusions whose backoff has been reset."""
        for server_hash, exclusion in list(self._exclusions.items()):
            if now - exclusion.until > max(
                MAX_BACKOFF_MS, exclusion.length_ms
            ):
                del self._exclusions[server_hash]


def _is_half_open(exclusion: Exclusion, now: int) -> bool:
    return 0 <= now - exclusion.until < exclusion.length_ms
