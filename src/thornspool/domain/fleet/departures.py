"""Servers that state in their responses that they leave.

A server says so in all its responses; its record in the list may show it late
or never. Once an entry has read such a response, the server stays excluded
until its process ends, and the entry reports it to the others. Only a record
with a later start shows that the process has ended: records may come late, and
records of other writers may lack the start.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import server_hashes

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool.domain.fleet import messages

RETENTION_MS = 600_000
"""Time for which a departure is remembered after its server is not listed.

A record that was removed while the store was unavailable may return.
"""


@attrs.define
class Departure:
    """Departure of one run of a server's process.

    Attributes
    ----------
    since : int
        Time in milliseconds since when it is known.
    listed_at : int
        Time in milliseconds at which its server was last listed.
    """

    since: int
    listed_at: int


@attrs.define
class Departures:
    """Leaving servers by the hash of one run of their processes.

    Attributes
    ----------
    has_unsent : bool
        Whether there are departures that were not reported to peers yet.
    """

    has_unsent: bool = False
    _departures: dict[int, Departure] = attrs.field(factory=dict)
    _last_runs: dict[str, messages.Server] = attrs.field(factory=dict)

    def record(self, server: messages.Server, now: int) -> bool:
        """Record that a server leaves.

        Parameters
        ----------
        server : messages.Server
            The server.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        bool
            Whether this was not known.
        """
        if self.get_since(server) is not None:
            return False
        self._add(server, Departure(now, now))
        return True

    def _add(self, server: messages.Server, departure: Departure) -> None:
        self._departures[compute_run_hash(server)] = departure
        self._last_runs[server.id] = server
        self.has_unsent = True

    def record_reported(self, reported: Iterable[int], now: int) -> set[int]:
        """Record departures that a peer reports; return the new ones."""
        new = set(reported) - set(self._departures)
        for run_hash in new:
            self._departures[run_hash] = Departure(now, now)
        return new

    def get_since(self, server: messages.Server) -> int | None:
        """Return since when a server leaves; None if it does not."""
        if not self._departures:
            return None
        departure = self._find(server)
        return None if departure is None else departure.since

    def _find(self, server: messages.Server) -> Departure | None:
        """Find the departure of a server by its record."""
        last_run = self._last_runs.get(server.id)
        departure = self._departures.get(compute_run_hash(server))
        if departure is not None:
            if last_run is None or _is_later(server, last_run):
                self._last_runs[server.id] = server
            return departure
        if last_run is None or _is_later(server, last_run):
            return None
        departure = self._departures.get(compute_run_hash(last_run))
        if departure is not None and last_run.started_at is None:
            # The first start that is known belongs to the leaving process.
            self._add(server, departure)
        return departure

    def list_announced(self) -> tuple[int, ...]:
        """List the departures that are reported to peers."""
        return tuple(self._departures)

    def forget_old(self, listed: Iterable[messages.Server], now: int) -> None:
        """Remove departures of servers that have not been listed for long."""
        if not self._departures:
            return
        for server in listed:
            departure = self._find(server)
            if departure is not None:
                departure.listed_at = now
        self._departures = {
            run_hash: departure
            for run_hash, departure in self._departures.items()
            if now - departure.listed_at <= RETENTION_MS
        }
        self._last_runs = {
            name: server
            for name, server in self._last_runs.items()
            if compute_run_hash(server) in self._departures
        }


def _is_later(server: messages.Server, last_run: messages.Server) -> bool:
    """Return whether a record shows a later process than the last known."""
    return (
        server.started_at is not None
        and last_run.started_at is not None
        and server.started_at > last_run.started_at
    )


def compute_run_hash(server: messages.Server) -> int:
    """Compute the hash of a server's name and the start of its process.

    A server that has restarted under its name does not leave.
    """
    return server_hashes.compute_server_hash(
        f'{server.id} {server.started_at}'
    )
