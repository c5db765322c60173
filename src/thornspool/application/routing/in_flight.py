"""State of an in-flight model request."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import events
from thornspool.domain.paths import stalls

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from thornspool.application.routing import crash_detection
    from thornspool.application.routing import exchanges
    from thornspool.application.routing import ports
    from thornspool.application.routing import run_permits
    from thornspool.domain.fleet import messages as fleet
    from thornspool.domain.paths import choice
    from thornspool.domain.paths import search


@attrs.define(eq=False)
class InFlightRequest:
    """A model request that waits for a path or runs on one.

    Attributes
    ----------
    exchange : exchanges.Exchange
        The request and its outcome.
    request_size : choice.RequestSize
        Tokens for which it needs memory.
    hops : tuple of search.Hop
        Path on which it runs; empty while it waits.
    stop : callable or None
        Ends the current run; None when there is none.
    run : crash_detection.TrackedRun or None
        The current run, as the crash detection tracks it.
    trial : run_permits.Trial or None
        Reservation of the engines for the next run of a suspect.
    trial_at : int
        Time in milliseconds from which a reservation may be tried again.
    events : events.EventBuffer
        Splits the answer into complete events.
    active_at : int
        Time in milliseconds of its last event, or of its last send.
    event_interval : stalls.EventInterval
        Average interval between its events.
    probed_at : int
        Time in milliseconds when its first engine was last probed for it.
    rerouting : bool
        Whether its path is being changed now.
    generation : int
        Changes with each run, so that output of earlier runs is dropped.
    head : ports.ResponseHead or None
        Head of the engine's answer; None before it arrives.
    body : bytearray
        Body of an answer that is not a stream of events.
    used_servers : list of fleet.Server
        First engines of its runs.
    prefill_tokens : float
        Prompt tokens that its engines still have to process; 0 after the first
        event.
    needs_retry : bool
        Whether its next send counts as a retry.
    may_cross : bool or None
        Whether its path may use engines of several failure domains; None until
        this is drawn.
    """

    exchange: exchanges.Exchange
    request_size: choice.RequestSize
    hops: tuple[search.Hop, ...] = ()
    stop: Callable[[], None] | None = None
    run: crash_detection.TrackedRun | None = None
    trial: run_permits.Trial | None = None
    trial_at: int = 0
    events: events.EventBuffer = attrs.field(factory=events.EventBuffer)
    active_at: int = 0
    event_interval: stalls.EventInterval = attrs.field(
        factory=lambda: stalls.EventInterval(stalls.STREAM_INTERVAL_WEIGHT)
    )
    probed_at: int = 0
    rerouting: bool = False
    generation: int = 0
    head: ports.ResponseHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    used_servers: list[fleet.Server] = attrs.field(factory=list)
    prefill_tokens: float = 0.0
    needs_retry: bool = False
    may_cross: bool | None = None

    @property
    def first_server(self) -> fleet.Server | None:
        """First engine of its path."""
        return self.hops[0].server if self.hops else None

    @property
    def engines(self) -> Iterator[str]:
        """Ids of the engines of its path."""
        return (hop.server.id for hop in self.hops)

    def find_server(self, address: str) -> fleet.Server | None:
        """Find the engine of its path at an address.

        The path is searched and not the server list, as another engine may
        have taken the address since the path was chosen.

        Parameters
        ----------
        address : str
            Address of the engine.

        Returns
        -------
        fleet.Server or None
            The first engine of the path when none has this address.
        """
        for hop in self.hops:
            if hop.server.address == address:
                return hop.server
        return self.first_server
