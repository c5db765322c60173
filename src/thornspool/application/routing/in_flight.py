"""State of an in-flight model request."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import bodies
from thornspool.domain.fleet import events
from thornspool.domain.paths import reservations
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
    from thornspool.domain.paths import domain_choice
    from thornspool.domain.paths import search


@attrs.define(eq=False)
class OpenRun:
    """A run of a request that is in progress.

    Attributes
    ----------
    hops : tuple of search.Hop
        Its path.
    sent_at : int
        Time in milliseconds at which it was sent.
    active_at : int
        Time in milliseconds of its last event, or of its send.
    events : events.EventBuffer
        Splits its answer into complete events; continues the count and the
        identifiers of the runs before it.
    stop : callable or None
        Cancels it; None once it has ended.
    tracked : crash_detection.TrackedRun or None
        The run as the crash detection tracks it.
    probed_at : int
        Time in milliseconds when its first engine was last probed for it.
    generation : int
        Changes when the run ends, so that its later output is dropped.
    head : ports.ResponseHead or None
        Head of its answer; None before it arrives.
    body : bodies.BodyBuffer
        Body of an answer that is not a stream of events. It is passed on only
        once it is complete.
    prefill_tokens : float
        Prompt tokens that its engines still have to process; 0 after the first
        event.
    use : crash_detection.ServerUse or None
        Its use of the engine to which it was sent.
    """

    hops: tuple[search.Hop, ...]
    sent_at: int
    active_at: int
    events: events.EventBuffer
    stop: Callable[[], None] | None = None
    tracked: crash_detection.TrackedRun | None = None
    probed_at: int = attrs.field()
    generation: int = 0
    head: ports.ResponseHead | None = None
    body: bodies.BodyBuffer = attrs.field(
        factory=lambda: bodies.BodyBuffer(bodies.MAX_FAILURE_BYTES)
    )
    prefill_tokens: float = 0.0
    use: crash_detection.ServerUse | None = None

    @probed_at.default
    def _start_probe_interval(self) -> int:
        return self.sent_at

    @property
    def first_server(self) -> fleet.Server:
        """First engine of its path."""
        return self.hops[0].server

    @property
    def servers(self) -> list[fleet.Server]:
        """Engines of its path."""
        return [hop.server for hop in self.hops]

    @property
    def engines(self) -> Iterator[str]:
        """Ids of the engines of its path."""
        return (hop.server.id for hop in self.hops)

    @property
    def has_begun(self) -> bool:
        """Whether it has delivered its first event."""
        return self.sent_at < self.active_at and self.prefill_tokens <= 0

    def find_server(self, address: str) -> fleet.Server:
        """Find the engine of its path at an address.

        The path is searched and not the server list, as another engine may
        have taken the address since the path was chosen.

        Parameters
        ----------
        address : str
            Address of the engine.

        Returns
        -------
        fleet.Server
            The first engine of the path when none has this address.
        """
        for hop in self.hops:
            if hop.server.address == address:
                return hop.server
        return self.first_server


@attrs.define(eq=False)
class InFlightRequest:
    """A model request that waits for a path or runs on one.

    While its run stalls, a second one may be open. The run that delivers the
    next event goes on alone.

    Attributes
    ----------
    exchange : exchanges.Exchange
        The request and its outcome.
    request_size : choice.RequestSize
        Tokens for which it needs memory.
    current : OpenRun or None
        Its run, the older one of two; None while it waits.
    second : OpenRun or None
        Its other run while the current one stalls.
    second_at : int
        Time in milliseconds from which a second run may be tried again.
    trial : run_permits.Trial or None
        Reservation of the engines for the next run of a suspect.
    trial_at : int
        Time in milliseconds from which a reservation may be tried again.
    events : events.EventBuffer
        Events that the caller has received.
    active_at : int
        Time in milliseconds of its last event, or of its last send.
    event_interval : stalls.EventInterval
        Average interval between its events.
    rerouting : bool
        Whether the path of the current run is being changed now.
    withdraw_offer : callable or None
        Withdraws the request from the peers while they may continue it
        instead of its run; None when it is not offered.
    offer_at : int
        Time in milliseconds from which peers may be offered it again.
    has_left : bool
        Whether its next run is left to the peer that relays it.
    reroute_at : int
        Time in milliseconds from which its path may be changed again.
    server_uses : list of crash_detection.ServerUse
        First engines of its runs, and when these were sent.
    needs_retry : bool
        Whether its next send counts as a retry.
    is_over_share : bool
        Whether it exceeds the share of its workspace.
    rank_limit : int or None
        Rank at which it competes if its own one is less urgent; None for its
        own.
    max_reserved_share : float
        Share of each engine's memory that it may reserve now.
    queued_rank : int or None
        Rank with which it waits for memory; None while it does not.
    searched_at : int or None
        Time in milliseconds of its last search for a path; None before it.
    searched_releases : int
        Releases of memory before this search.
    may_cross : bool or None
        Whether its path may use engines of several failure domains; None until
        this is drawn.
    domain_draw : float or None
        Random number that determines whether it leaves its failure domain;
        None until it is drawn.
    domain_reason : domain_choice.Reason or None
        Reason of the last decision whether it may leave its failure domain.
    exit_reason : str
        Reason why it leaves its failure domain if its last path does.
    """

    exchange: exchanges.Exchange
    request_size: choice.RequestSize
    current: OpenRun | None = None
    second: OpenRun | None = None
    second_at: int = 0
    trial: run_permits.Trial | None = None
    trial_at: int = 0
    events: events.EventBuffer = attrs.field(factory=events.EventBuffer)
    active_at: int = 0
    event_interval: stalls.EventInterval = attrs.field(
        factory=lambda: stalls.EventInterval(stalls.STREAM_INTERVAL_WEIGHT)
    )
    rerouting: bool = False
    withdraw_offer: Callable[[], None] | None = None
    offer_at: int = 0
    has_left: bool = False
    reroute_at: int = 0
    server_uses: list[crash_detection.ServerUse] = attrs.field(factory=list)
    needs_retry: bool = False
    is_over_share: bool = False
    rank_limit: int | None = None
    max_reserved_share: float = reservations.MAX_RESERVED_SHARE
    queued_rank: int | None = None
    searched_at: int | None = None
    searched_releases: int = 0
    may_cross: bool | None = None
    domain_draw: float | None = None
    domain_reason: domain_choice.Reason | None = None
    exit_reason: str = ''

    @property
    def is_streamed(self) -> bool:
        """Whether its answer is a stream of events."""
        return self.exchange.route.is_streamed

    @property
    def open_runs(self) -> list[OpenRun]:
        """Its runs, the older one first."""
        return [run for run in (self.current, self.second) if run is not None]

    @property
    def latest(self) -> OpenRun | None:
        """The run that was sent last."""
        return self.second or self.current

    @property
    def is_served_elsewhere(self) -> bool:
        """Whether another run or a peer may continue it."""
        return self.current is not None or self.withdraw_offer is not None

    @property
    def rank(self) -> tuple[int, int]:
        """Order among started streams; the most urgent is the lowest."""
        return self.own_rank, self.exchange.deadline_at

    @property
    def queue_order(self) -> tuple[int, int]:
        """Order among the requests that wait; the most urgent is the lowest.

        A caller that returns after a refusal has less time left than one
        that has just arrived, and is served first.
        """
        return self.admission_rank, self.exchange.deadline_at

    @property
    def own_rank(self) -> int:
        """Rank by priority, and behind it by the share of its workspace."""
        return 2 * self.exchange.priority + self.is_over_share

    @property
    def admission_rank(self) -> int:
        """Rank at which it competes for memory."""
        if self.rank_limit is None:
            return self.own_rank
        return min(self.own_rank, self.rank_limit)

    def add(self, run: OpenRun) -> None:
        """Add a run, as the second one if there is one."""
        if self.current is None:
            self.current = run
        else:
            self.second = run

    def remove(self, run: OpenRun) -> None:
        """Remove a run; the other one goes on as the current one."""
        if run is self.current:
            self.current = self.second
            self.second = None
        elif run is self.second:
            self.second = None
