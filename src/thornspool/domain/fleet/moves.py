"""What engines keep of their layers while they carry out an order.

Answers the load that goes on while layers are moved. An engine refuses the
layers that it gives up from the moment of its order, and its entry in the list
shows that only when the order is done. So the entry that gives orders tells
the others first what the engine will keep.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import marks
from thornspool.domain.fleet import messages

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

TOLD_MS = 1_000
"""Time for which what a peer told counts; it is told again at each turn."""

Kept = tuple[int, int]
"""First layer and end of what an engine keeps; equal for nothing."""


@attrs.define
class Moves:
    """Engines that give up layers, by mark.

    Attributes
    ----------
    own : dict of int to tuple of int
        Those that this entry has given orders to.
    has_news : bool
        Whether there are some of which peers were not told yet.
    """

    own: dict[int, Kept] = attrs.field(factory=dict)
    has_news: bool = False
    _told: dict[int, tuple[Kept, int]] = attrs.field(factory=dict)

    def begin(
        self,
        server: messages.Server,
        kept: messages.LayerRange | None,
    ) -> bool:
        """Note an order; tells whether the engine gives up layers."""
        if kept == server.layers:
            return False
        self.own[marks.compute_mark(server.id)] = (
            (0, 0) if kept is None else (kept.first, kept.end)
        )
        self.has_news = True
        return True

    def end(self, name: str) -> None:
        """Note that an order is done or lost."""
        self.own.pop(marks.compute_mark(name), None)

    def note_told(self, told: Mapping[int, Kept], now: int) -> None:
        """Note what a peer tells."""
        for mark, kept in told.items():
            self._told[mark] = (kept, now)

    def list_known(self, own_only: bool) -> dict[int, Kept]:
        """List what peers should hear of."""
        if own_only:
            return dict(self.own)
        told = {mark: kept for mark, (kept, _) in self._told.items()}
        return {**told, **self.own}

    def narrow(self, server: messages.Server) -> messages.Server:
        """Return an engine with the layers that it takes requests for."""
        if not self.own and not self._told:
            return server
        mark = marks.compute_mark(server.id)
        kept = self.own.get(mark)
        if kept is None and mark in self._told:
            kept = self._told[mark][0]
        if kept is None or server.layers is None:
            return server
        first = max(server.layers.first, kept[0])
        end = min(server.layers.end, kept[1])
        layers = messages.LayerRange(first, end) if first < end else None
        return attrs.evolve(server, layers=layers)

    def forget_old(self, now: int) -> None:
        """Forget what is not told any more."""
        self._told = {
            mark: (kept, at)
            for mark, (kept, at) in self._told.items()
            if now - at <= TOLD_MS
        }
