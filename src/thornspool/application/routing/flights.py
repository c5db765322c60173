"""A model request on its way."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import events
from thornspool.domain.paths import silence

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from thornspool.application.routing import exchanges
    from thornspool.application.routing import ports
    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import choice
    from thornspool.domain.paths import search


@attrs.define(eq=False)
class Flight:
    """A model request that is waiting or on a path.

    Attributes
    ----------
    exchange : exchanges.Exchange
        The request.
    need : choice.Need
        Tokens that it takes.
    hops : tuple of search.Hop
        Path on which it runs; empty while it waits.
    active_at : int
        When something last came from its engine, or it was sent.
    rhythm : silence.UsualPause
        Pauses between its events.
    asked_at : int
        When its first engine was last asked about it.
    reading_tokens : float
        Tokens that its engines have still to read; 0 once events come.
    owes_repeat : bool
        Whether its next send counts as a repeat.
    may_cross : bool or None
        Whether its path may change its failure domain in the middle; None
        before that was drawn.
    """

    exchange: exchanges.Exchange
    need: choice.Need
    hops: tuple[search.Hop, ...] = ()
    stop: Callable[[], None] | None = None
    events: events.EventBuffer = attrs.field(factory=events.EventBuffer)
    active_at: int = 0
    rhythm: silence.UsualPause = attrs.field(
        factory=lambda: silence.UsualPause(silence.STREAM_WEIGHT)
    )
    asked_at: int = 0
    mending: bool = False
    generation: int = 0
    head: ports.Head | None = None
    body: bytearray = attrs.field(factory=bytearray)
    lost_runs: int = 0
    reading_tokens: float = 0.0
    owes_repeat: bool = False
    may_cross: bool | None = None

    @property
    def first_server(self) -> fleet.Server | None:
        """The engine that it entered at."""
        return self.hops[0].server if self.hops else None

    @property
    def engines(self) -> Iterator[str]:
        """The engines of its path."""
        return (hop.server.id for hop in self.hops)

    def find_server(self, address: str) -> fleet.Server | None:
        """Find the engine of its path at an address, else its first one.

        Another engine may have taken the address since the path was chosen.
        """
        for hop in self.hops:
            if hop.server.address == address:
                return hop.server
        return self.first_server
