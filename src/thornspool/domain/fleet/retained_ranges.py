"""Layers that engines retain while they execute an order.

Requests continue while layers are moved between engines. An engine rejects
requests for the layers that it releases as soon as it receives its order, but
the list of servers shows the change only when the order is complete. The
leader therefore announces the retained range to the other entries before it
sends the order.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import messages
from thornspool.domain.fleet import server_hashes

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

REPORT_VALID_MS = 1_000
"""Time for which a reported range is valid; every state update repeats it."""

RetainedRange = tuple[int, int]
"""First layer and end of a retained range; both are equal for no layers."""


@attrs.define
class RetainedRanges:
    """Retained ranges of the engines that release layers, by server hash.

    Attributes
    ----------
    local : dict of int to tuple of int
        Ranges of the engines to which this entry has sent orders.
    has_unsent : bool
        Whether there are ranges that were not announced to peers yet.
    """

    local: dict[int, RetainedRange] = attrs.field(factory=dict)
    has_unsent: bool = False
    _reported: dict[int, tuple[RetainedRange, int]] = attrs.field(factory=dict)

    def begin(
        self,
        server: messages.Server,
        retained: messages.LayerRange | None,
    ) -> bool:
        """Record an order.

        Parameters
        ----------
        server : messages.Server
            The engine, with its layers before the order.
        retained : messages.LayerRange or None
            Layers that it retains; None for none.

        Returns
        -------
        bool
            Whether the engine releases layers.
        """
        if retained == server.layers:
            return False
        self.local[server_hashes.compute_server_hash(server.id)] = (
            (0, 0) if retained is None else (retained.first, retained.end)
        )
        self.has_unsent = True
        return True

    def end(self, name: str) -> None:
        """Remove an order that is complete or lost."""
        self.local.pop(server_hashes.compute_server_hash(name), None)

    def record_reported(
        self, reported: Mapping[int, RetainedRange], now: int
    ) -> None:
        """Record the ranges that a peer reports."""
        for server_hash, retained in reported.items():
            self._reported[server_hash] = (retained, now)

    def list_known(self, local_only: bool) -> dict[int, RetainedRange]:
        """List the ranges to announce to peers.

        Parameters
        ----------
        local_only : bool
            Whether to leave out ranges that peers have reported.

        Returns
        -------
        dict of int to tuple of int
            Retained ranges by server hash.
        """
        if local_only:
            return dict(self.local)
        reported = {
            server_hash: retained
            for server_hash, (retained, _) in self._reported.items()
        }
        return {**reported, **self.local}

    def narrow(self, server: messages.Server) -> messages.Server:
        """Return an engine with the layers for which it accepts requests."""
        if not self.local and not self._reported:
            return server
        server_hash = server_hashes.compute_server_hash(server.id)
        retained = self.local.get(server_hash)
        if retained is None and server_hash in self._reported:
            retained = self._reported[server_hash][0]
        if retained is None or server.layers is None:
            return server
        first = max(server.layers.first, retained[0])
        end = min(server.layers.end, retained[1])
        layers = messages.LayerRange(first, end) if first < end else None
        return attrs.evolve(server, layers=layers)

    def forget_old(self, now: int) -> None:
        """Remove the ranges that are no longer reported."""
        self._reported = {
            server_hash: (retained, at)
            for server_hash, (retained, at) in self._reported.items()
            if now - at <= REPORT_VALID_MS
        }
