"""Model requests: their paths, their streams and their retries."""

from __future__ import annotations

import copy
import functools
import typing

import attrs
import structlog

from thornspool.application.routing import containment
from thornspool.application.routing import crash_detection
from thornspool.application.routing import fault_attribution
from thornspool.application.routing import in_flight as in_flight_module
from thornspool.application.routing import listeners
from thornspool.application.routing import memory_admission
from thornspool.application.routing import path_finding
from thornspool.application.routing import ports
from thornspool.application.routing import relays
from thornspool.application.routing import run_notices
from thornspool.application.routing import run_permits
from thornspool.application.routing import run_proofs
from thornspool.application.routing import second_runs
from thornspool.domain.fleet import bodies
from thornspool.domain.fleet import events
from thornspool.domain.paths import choice
from thornspool.domain.paths import reservations
from thornspool.domain.paths import search
from thornspool.domain.paths import stalls

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    import contextlib
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import exchanges
    from thornspool.application.routing import retry_pools
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.application.routing import server_evidence

MAX_SENDS = 6
"""Most times that one request is sent, refused sends included."""

MAX_QUEUE_MS = 1_500
"""Longest wait of a started stream for its next event."""

MIN_REMAINING_MS = 300
"""Remaining time below which a run can't even deliver its first event."""

RETRY_AFTER_MS = (400, 900)
"""Range of Retry-After where no path exists.

A lost engine is detected within 0.5 s, and its neighbours load its layers
within another second.
"""

LOST_LINKS_IDLE_MS = 1_500
"""Idle time after which a stream is handed over while the links are lost.

All servers may also be unresponsive for a second, and a stream that no peer
accepts would be cut. Callers abandon a stream after 2 s.
"""

DRAINING_RETRY_MS = 50
"""Retry-After of a draining entry: another entry can serve at once."""

TakeOver = typing.Callable[['exchanges.Exchange', str, bool], bool]
"""Serves a request elsewhere, after an event of its stream, and states whether
it was counted; returns whether it is served elsewhere."""

OfferToPeers = typing.Callable[
    [relays.Offer], typing.Callable[[], None] | None
]
"""Offers a stream to peers while its run stays open; returns a function that
withdraws the offer, or None if no peer can be asked."""

OFFER_PAUSE_MS = 500
"""Time after a declined offer before the next one; a peer that declined has
no capacity, or reaches no server either."""

logger = structlog.get_logger(__name__)

_OK = 200
_ERROR = 400
_SERVER_ERROR = 500


@attrs.frozen
class DryRun:
    """What would happen to a new model request.

    Attributes
    ----------
    in_flight : in_flight_module.InFlightRequest
        The request, which is not sent.
    path_search : path_finding.PathSearch or None
        Search for its path; None when the service is not in the configuration.
    may_use_free : bool
        Whether it may use the memory that is free now.
    refusal : str
        Reason why it is not sent now; empty for one that is.
    would_wait : bool
        Whether it would wait instead of being refused.
    draws_rank : bool
        Whether its rank among the requests for memory is random.
    """

    in_flight: in_flight_module.InFlightRequest
    path_search: path_finding.PathSearch | None
    may_use_free: bool = True
    refusal: str = ''
    would_wait: bool = False
    draws_rank: bool = False


class StreamService:
    """Serves model requests.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Routing state with the configuration and the engines.
    paths : path_finding.PathFinder
        Finds paths, within the limits that servers name.
    permits : run_permits.RunPermits
        Decides which requests may run, as far as they may crash engines.
    reserved : reservations.Reservations
        Engine memory that requests reserve.
    evidence : server_evidence.ServerEvidence
        Client for the servers, and what counts against them.
    budget : retry_pools.RetryPools
        Retry budget.
    random_source : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        paths: path_finding.PathFinder,
        permits: run_permits.RunPermits,
        reserved: reservations.Reservations,
        evidence: server_evidence.ServerEvidence,
        budget: retry_pools.RetryPools,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self.paths = paths
        self._evidence = evidence
        self.limits = paths.limits
        self._permits = permits
        self._reservations = reserved
        self._servers = evidence.servers
        self._budget = budget
        self._admission = memory_admission.MemoryAdmission(
            clock, paths, random_source
        )
        self._random = random_source
        self._fault_attribution = fault_attribution.FaultAttribution(
            clock, routing_state, evidence
        )
        self._second_runs = second_runs.SecondRuns(
            clock, paths, permits, evidence, budget, self
        )
        self.take_over: TakeOver = _take_over_nothing
        self.offer_to_peers: OfferToPeers = lambda offer: None
        self.has_linked_peer: Callable[[], bool] = lambda: False
        self.in_flight_requests: set[in_flight_module.InFlightRequest] = set()
        self.event_interval = stalls.EventInterval()
        self._waiting: list[in_flight_module.InFlightRequest] = []
        self._shutdown_at: int | None = None

    @property
    def links_are_lost(self) -> bool:
        """Whether this entry reaches no server."""
        return self._evidence.links.are_lost

    def serve(self, exchange: exchanges.Exchange) -> None:
        """Start to serve a request.

        The exchange ends when the request has been answered.

        Parameters
        ----------
        exchange : exchanges.Exchange
            The request with its route.
        """
        if self.take_over(exchange, '', False):
            return
        in_flight = self._build_in_flight(exchange)
        exchange.reply.set_disconnect_callback(
            lambda: self._abandon(in_flight)
        )
        if exchange.ended:
            return
        self.in_flight_requests.add(in_flight)
        with self.end_on_error(in_flight):
            if not exchange.is_counted:
                self._budget.record_request(exchange.service)
            self._admission.record_arrival(in_flight)
            if self._is_behind(in_flight):
                self._wait_or_refuse(
                    in_flight, choice.NoPathReason.NO_CAPACITY
                )
                in_flight.searched_at = None
            else:
                self._start(in_flight)

    def end_on_error(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> contextlib.AbstractContextManager[None]:
        """Create the context that ends a request if it raises an error.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        """
        return containment.end_on_error(
            in_flight.exchange, functools.partial(self._release, in_flight)
        )

    def _release(self, in_flight: in_flight_module.InFlightRequest) -> None:
        """Drop a request, and end its runs."""
        self._discard(in_flight)
        self._close_all(in_flight)

    def _build_in_flight(
        self, exchange: exchanges.Exchange
    ) -> in_flight_module.InFlightRequest:
        """Build the state of a new request, with the tokens that it needs."""
        request = exchange.request
        model = self._routing_state.find_model(exchange.service)
        assert model is not None
        return in_flight_module.InFlightRequest(
            exchange,
            choice.RequestSize(
                request.prompt_tokens or model.usual_prompt,
                request.output_tokens or model.usual_answer,
            ),
        )

    def run_dry(
        self, exchange: exchanges.Exchange, random_source: random.Random
    ) -> DryRun:
        """Decide about a new request as ``serve`` does, without any effect.

        Parameters
        ----------
        exchange : exchanges.Exchange
            The request with its route.
        random_source : random.Random
            Source of the random choices.

        Returns
        -------
        DryRun
            What would happen to it.
        """
        detached = copy.copy(self)
        detached.paths = self.paths.detach(random_source)
        detached._random = random_source
        detached._admission = memory_admission.MemoryAdmission(
            self._clock, detached.paths, random_source
        )
        return detached._search_dry(self._build_in_flight(exchange))

    def _search_dry(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> DryRun:
        self._admission.record_arrival(in_flight)
        may_use_free = self._admission.prepare(in_flight)
        path_search = self.paths.search(in_flight, is_exhaustive=True)
        if path_search is None:
            return DryRun(in_flight, None, refusal='service_unknown')
        found = _limit_to_share(path_search.found, may_use_free)
        if self._is_behind(in_flight):
            found = choice.NoPathReason.NO_CAPACITY
        if isinstance(found, choice.NoPathReason):
            return DryRun(
                in_flight,
                path_search,
                may_use_free,
                found.value,
                self._may_wait(in_flight, found),
                self.paths.control.is_enabled,
            )
        is_late = self.would_be_cut(in_flight, found, self._clock.now())
        return DryRun(
            in_flight,
            path_search,
            may_use_free,
            'draining' if is_late else '',
            draws_rank=self.paths.control.is_enabled,
        )

    def _is_behind(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Return whether a request that is served first waits for memory.

        Without this, a new request would take the memory that becomes free
        between two ticks from requests that have waited for it.
        """
        return any(
            waiting.queued_rank is not None
            and waiting.exchange.service == in_flight.exchange.service
            and waiting.queue_order < in_flight.queue_order
            for waiting in self._waiting
        )

    def tick(self) -> None:
        """Start waiting requests and end expired ones; called every few ms."""
        now = self._clock.now()
        for in_flight in list(self.in_flight_requests):
            if in_flight.exchange.compute_remaining_ms(now) <= 0:
                with self.end_on_error(in_flight):
                    self._expire(in_flight)
        self._retry_waiting()

    def _retry_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        waiting.sort(key=lambda in_flight: in_flight.queue_order)
        for in_flight in waiting:
            if in_flight.exchange.ended:
                continue
            with self.end_on_error(in_flight):
                if self._admission.is_search_due(in_flight):
                    self._start(in_flight)
                else:
                    self._waiting.append(in_flight)

    def _start(
        self,
        in_flight: in_flight_module.InFlightRequest,
        path: search.Path | None = None,
    ) -> None:
        """Send a request on a path, queue it or refuse it.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        path : search.Path, optional
            Path that the caller has just found; None to find one.
        """
        if not self._hand_over(in_flight):
            self._start_here(in_flight, path)

    def _start_here(
        self,
        in_flight: in_flight_module.InFlightRequest,
        path: search.Path | None,
    ) -> None:
        """Send a request on a path of this entry, queue it or refuse it."""
        now = self._clock.now()
        exchange = in_flight.exchange
        permit = self._permits.check(exchange.fingerprint, exchange.parts)
        if permit is run_permits.Permit.DENIED:
            self._deny(in_flight)
            return
        found = path or self._find_path(in_flight)
        if found is None:
            self._fail(in_flight, 'service_unknown', 1_000)
        elif isinstance(found, choice.NoPathReason):
            self._wait_or_refuse(in_flight, found)
        elif self.would_be_cut(in_flight, found, now):
            self._fail(in_flight, 'draining', DRAINING_RETRY_MS)
        elif permit is run_permits.Permit.UNKNOWN:
            self._wait_for_permit(in_flight)
        elif permit is run_permits.Permit.ON_TRIAL:
            self._reserve_trial(in_flight, found.hops)
        elif in_flight.needs_retry and not self._acquire_retry(in_flight):
            self._wait_for_retry(in_flight)
        else:
            self.send(in_flight, found.hops)

    def _find_path(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> search.Path | choice.NoPathReason | None:
        """Find a path within the memory that the request may use."""
        may_use_free = self._admission.prepare(in_flight)
        if not may_use_free and in_flight.queued_rank is not None:
            return choice.NoPathReason.NO_CAPACITY
        found = self.paths.find(in_flight)
        return None if found is None else _limit_to_share(found, may_use_free)

    def _hand_over(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Hand a request over that can't be sent to any engine from here."""
        exchange = in_flight.exchange
        if not self._evidence.links.are_lost or exchange.request.relay:
            return False
        is_retry = exchange.runs > 0 or in_flight.needs_retry
        if is_retry and not self._acquire_retry(in_flight):
            return False
        if not self.take_over(exchange, in_flight.events.last_id, True):
            return False
        self._discard(in_flight)
        return True

    def leave_lost_links(self) -> None:
        """Offer the streams that stall since the links are lost to peers.

        The run of a stream stays open until a peer delivers the next event.
        A stream that no peer can continue, or that lacks a retry, waits for
        its engine.
        """
        now = self._clock.now()
        for in_flight in list(self.in_flight_requests):
            if (
                in_flight.current is not None
                and not in_flight.rerouting
                and now - in_flight.active_at >= LOST_LINKS_IDLE_MS
            ):
                with self.end_on_error(in_flight):
                    self._leave_lost_links(in_flight, now)

    def _leave_lost_links(
        self, in_flight: in_flight_module.InFlightRequest, now: int
    ) -> None:
        if in_flight.exchange.request.relay is not None:
            self._leave_to_sender(in_flight)
        elif (
            in_flight.withdraw_offer is None
            and now >= in_flight.offer_at
            and self.has_linked_peer()
            and self._may_leave(in_flight)
        ):
            self._offer(in_flight, now)

    def _offer(
        self, in_flight: in_flight_module.InFlightRequest, now: int
    ) -> None:
        """Offer a stalled stream to peers while its run stays open."""
        exchange = in_flight.exchange
        if not self._acquire_retry(in_flight):
            return
        in_flight.offer_at = now + OFFER_PAUSE_MS
        in_flight.withdraw_offer = self.offer_to_peers(
            relays.Offer(
                exchange,
                in_flight.events.last_id,
                tuple(run.first_server.id for run in in_flight.open_runs),
                functools.partial(self._leave_to_peer, in_flight),
                functools.partial(self._keep_declined, in_flight),
            )
        )
        logger.info(
            'stream_offered',
            id=exchange.request.id,
            idle_ms=now - in_flight.active_at,
            offered=in_flight.withdraw_offer is not None,
        )

    def _leave_to_peer(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """End the runs of a stream that a peer has continued."""
        in_flight.withdraw_offer = None
        self._close_all(in_flight)
        self._discard(in_flight)

    def _keep_declined(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Keep a stream that no peer continues, or retry it elsewhere."""
        in_flight.withdraw_offer = None
        in_flight.offer_at = self._clock.now() + OFFER_PAUSE_MS
        if in_flight.current is None and not in_flight.exchange.ended:
            self._retry_or_fail(in_flight, 'links_lost', run_proofs.Proof.NONE)

    def _withdraw_offer(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Withdraw a stream that its own run continues from the peers."""
        withdraw, in_flight.withdraw_offer = in_flight.withdraw_offer, None
        if withdraw is not None:
            withdraw()

    def _may_leave(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Return whether a stream may run again and a retry is available."""
        exchange = in_flight.exchange
        return self.may_retry(in_flight) and self._budget.can_acquire(
            exchange.service, exchange.response_started
        )

    def _leave_to_sender(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Leave the next run of a relayed stream to its sender.

        The run here stays open until the sender closes the connection, as
        another entry has delivered the next event.
        """
        if (
            in_flight.exchange.response_started
            and not in_flight.has_left
            and self._may_leave(in_flight)
        ):
            in_flight.has_left = True
            self._inform_sender(in_flight)

    def _inform_sender(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Inform the peer that relays a started stream of its runs."""
        exchange = in_flight.exchange
        relay = exchange.request.relay
        if relay is None or not exchange.response_started:
            return
        lost = self._permits.count_ended(in_flight.server_uses)
        exchange.reply.write(
            run_notices.encode(
                run_notices.Notice(
                    max(0, exchange.runs - relay.prior_runs - lost),
                    tuple(run.first_server.id for run in in_flight.open_runs),
                    in_flight.has_left,
                ),
                relay.incarnation,
            )
        )

    def _deny(self, in_flight: in_flight_module.InFlightRequest) -> None:
        """Refuse a request that crashes the engines that run it."""
        exchange = in_flight.exchange
        self._fail(
            in_flight,
            'quarantined',
            self._permits.compute_retry_after(
                exchange.fingerprint, exchange.parts
            ),
        )

    def _wait_for_permit(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Queue a request that may have crashed engines; refuse it in time."""
        self._admission.leave_queue(in_flight)
        waited_ms = self._clock.now() - in_flight.exchange.request.arrived_at
        if waited_ms < MAX_QUEUE_MS or self._may_wait_for_event(in_flight):
            self._enqueue(in_flight)
            return
        self._fail(in_flight, 'no_trial', run_permits.RETRY_AFTER_MS)

    def _reserve_trial(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
    ) -> None:
        """Reserve the engines of a path for the trial of a suspect."""
        exchange = in_flight.exchange
        if self._clock.now() < in_flight.trial_at:
            self._wait_for_permit(in_flight)
            return
        self._permits.reserve(
            exchange.fingerprint,
            [hop.server for hop in hops],
            max(1, exchange.compute_remaining_ms(self._clock.now())),
            functools.partial(self._start_trial, in_flight, hops),
            exchange.parts,
        )

    def _start_trial(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
        trial: run_permits.Trial | None,
    ) -> None:
        """Send a suspect on a path that is reserved for it, or queue it."""
        exchange = in_flight.exchange
        now = self._clock.now()
        usable = all(
            self._routing_state.is_usable(hop.server, now) for hop in hops
        )
        if trial is not None and (exchange.ended or not usable):
            self._permits.abandon(trial)
            trial = None
        if exchange.ended:
            return
        if trial is None:
            # Another path may be free of other suspects.
            exchange.exclude([hops[0].server.id], now)
            in_flight.trial_at = now + run_permits.TRIAL_POLL_MS
            self._wait_for_permit(in_flight)
        elif in_flight.needs_retry and not self._acquire_retry(in_flight):
            self._permits.abandon(trial)
            self._wait_for_retry(in_flight)
        else:
            in_flight.trial = trial
            self.send(in_flight, hops)

    def _wait_or_refuse(
        self,
        in_flight: in_flight_module.InFlightRequest,
        no_path_reason: choice.NoPathReason,
    ) -> None:
        if no_path_reason is not choice.NoPathReason.NO_CAPACITY:
            self._admission.leave_queue(in_flight)
        if self._may_wait(in_flight, no_path_reason):
            if no_path_reason is choice.NoPathReason.NO_CAPACITY:
                self._admission.enter_queue(in_flight)
            self._enqueue(in_flight)
            return
        self._fail(
            in_flight,
            no_path_reason.value,
            self._compute_retry_after(in_flight, no_path_reason),
        )

    def _compute_retry_after(
        self,
        in_flight: in_flight_module.InFlightRequest,
        no_path_reason: choice.NoPathReason,
    ) -> int:
        """Compute when a path may exist for a request, in milliseconds."""
        if no_path_reason is choice.NoPathReason.NO_CAPACITY:
            return self._admission.schedule_return(in_flight)
        retry_after_ms = None
        if no_path_reason is choice.NoPathReason.LIMITED:
            retry_after_ms = self.paths.compute_rest(
                in_flight
            ) or self.limits.compute_retry_after(
                server.id
                for server in self._routing_state.list_servers(
                    in_flight.exchange.service, self._clock.now()
                )
                if server.layers is not None and server.layers.first == 0
            )
        return retry_after_ms or self._random.randint(*RETRY_AFTER_MS)

    def _enqueue(self, in_flight: in_flight_module.InFlightRequest) -> None:
        in_flight.exchange.timing.record_wait(self._clock.now())
        self._waiting.append(in_flight)

    def _acquire_retry(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> bool:
        exchange = in_flight.exchange
        return self._budget.acquire(
            exchange.service, exchange.response_started
        )

    def _wait_for_retry(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> None:
        """Queue a started stream until a retry is available; refuse others.

        The time window of the retry budget moves on, so that retries become
        available. A cut stream is lost to its caller, while a refused request
        can be sent again.
        """
        exchange = in_flight.exchange
        if exchange.response_started and self._may_wait_for_event(in_flight):
            self._enqueue(in_flight)
            return
        self._fail(
            in_flight,
            f'{exchange.outcome_reason}_no_repeats',
            self._random.randint(*RETRY_AFTER_MS),
        )

    def set_shutdown_time(self, at: int) -> None:
        """Set the time at which this draining entry ends.

        Parameters
        ----------
        at : int
            Time in milliseconds.
        """
        self._shutdown_at = at

    def would_be_cut(
        self,
        in_flight: in_flight_module.InFlightRequest,
        path: search.Path,
        now: int,
    ) -> bool:
        """Return whether a stream would be cut by the end of this entry.

        Long answers take 7 s and more, which is most of the grace period.
        Those accepted in its first seconds were cut at its end, and their
        callers had to request the rest from another entry.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        path : search.Path
            The path on which it would run.
        now : int
            Current time in milliseconds.
        """
        if self._shutdown_at is None or in_flight.exchange.response_started:
            return False
        return now + path.cost_ms > self._shutdown_at

    def _may_wait(
        self,
        in_flight: in_flight_module.InFlightRequest,
        no_path_reason: choice.NoPathReason,
    ) -> bool:
        if in_flight.exchange.response_started:
            return self._may_wait_for_event(in_flight)
        if no_path_reason is choice.NoPathReason.NO_CAPACITY:
            return self._admission.is_served_in_time(in_flight)
        return False

    def _may_wait_for_event(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> bool:
        """Return whether a started stream may wait for its next event.

        Its caller has received a part of the answer, and an attempt to resume
        by the caller would not be faster than this one.
        """
        return self._clock.now() - in_flight.active_at < MAX_QUEUE_MS

    def send(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
    ) -> None:
        """Send a request on a path, beside its open run if it has one.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        hops : tuple of search.Hop
            The path.
        """
        exchange = in_flight.exchange
        now = self._clock.now()
        exchange.sends += 1
        exchange.runs += 1
        exchange.timing.record_send(now)
        in_flight.needs_retry = False
        use = crash_detection.ServerUse(hops[0].server, now)
        in_flight.server_uses.append(use)
        in_flight.active_at = now
        # A second run of the stream may use all memory: a wait would end it.
        in_flight.max_reserved_share = reservations.MAX_RESERVED_SHARE
        run = in_flight_module.OpenRun(
            hops,
            now,
            now,
            events.EventBuffer(
                in_flight.events.last_id, in_flight.events.count
            ),
            prefill_tokens=in_flight.request_size.prompt_tokens,
            use=use,
        )
        if not in_flight.is_streamed:
            run.body.max_bytes = bodies.MAX_BODY_BYTES
        in_flight.add(run)
        self.limits.record_send(hops[0].server.id)
        self.paths.spillover.record_send(in_flight, hops[0].server)
        self._admission.leave_queue(in_flight)
        self._admission.record_claim(in_flight)
        self._reservations.reserve(hops, in_flight.request_size.tokens)
        self._reservations.begin_prefill(hops, run.prefill_tokens)
        exchange.path = search.describe_path(hops)
        run.tracked = self._permits.begin(
            exchange.fingerprint,
            run.servers,
            in_flight.trial,
            exchange.parts,
        )
        in_flight.trial = None
        self._inform_sender(in_flight)
        run.stop = self._servers.send(
            ports.Run(
                exchange.request,
                hops[0].server,
                hops,
                exchange.compute_remaining_ms(now),
                exchange.workspace_name,
                in_flight.events.last_id or exchange.request.resume_after,
                exchange.priority,
            ),
            listeners.RunListener(
                run,
                functools.partial(self._handle_head, in_flight, run),
                functools.partial(self._handle_body, in_flight, run),
                functools.partial(self._handle_completion, in_flight, run),
                functools.partial(self.end_on_error, in_flight),
            ),
        )

    def _handle_head(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        head: ports.ResponseHead,
    ) -> None:
        """Handle the head of an engine's answer.

        With two open runs, the one that delivers the first event answers.
        """
        run.head = head
        self._routing_state.outliers.record_success(
            run.first_server.id, self._clock.now()
        )
        if (
            _begins_stream(in_flight, head)
            and head.executed
            and in_flight.second is None
            and not in_flight.exchange.response_started
        ):
            run.active_at = in_flight.active_at = self._clock.now()
            self._begin_reply(in_flight, head)
        elif head.executed and not in_flight.is_streamed:
            self._record_life(run)

    def _begin_reply(
        self,
        in_flight: in_flight_module.InFlightRequest,
        head: ports.ResponseHead,
    ) -> None:
        exchange = in_flight.exchange
        if not exchange.response_started:
            exchange.reply.begin(head.status, head.headers)
            exchange.response_started = True
            self._inform_sender(in_flight)

    def _handle_body(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        chunk: bytes,
    ) -> bool:
        """Handle a chunk of an engine's answer; False if it is too long."""
        head = run.head
        if head is None or not _begins_stream(in_flight, head):
            if not in_flight.is_streamed:
                self._record_life(run)
            return run.body.append(chunk)
        complete = run.events.take(chunk)
        if complete:
            self.paths.spillover.record_events(in_flight, run, len(complete))
            self._withdraw_offer(in_flight)
            self._second_runs.settle(in_flight, run)
            self._begin_reply(in_flight, head)
            self._deliver(in_flight, run, complete)
        return not run.events.is_overlong

    def _record_life(self, run: in_flight_module.OpenRun) -> None:
        """Record that the engines of a run have sent a part of its answer.

        This is no progress: a faulty engine may send byte after byte.
        """
        now = self._clock.now()
        if self._routing_state.suspicions:
            for server_id in run.engines:
                self._routing_state.record_contact(server_id, now)
        if run.tracked is not None:
            run.tracked.record_progress(now)
        self._end_prefill(run)

    def _deliver(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        complete: bytes,
    ) -> None:
        """Forward complete events of the only open run."""
        exchange = in_flight.exchange
        now = self._clock.now()
        if run.events.count > 1:
            self.event_interval.record(now - run.active_at)
            in_flight.event_interval.record(now - run.active_at)
        in_flight.events = run.events
        run.active_at = in_flight.active_at = now
        self._record_life(run)
        exchange.timing.record_event(now)
        if exchange.first_event_at is None:
            exchange.first_event_at = now
            self.paths.spillover.record_first_event(in_flight, run, now)
        exchange.reply.write(complete)

    def _handle_completion(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        completion: ports.Completion,
    ) -> None:
        """Handle the end of a run."""
        head = run.head
        run.stop = None
        ending = crash_detection.classify_end(head, completion)
        if run.events.pending:
            ending = crash_detection.RunEnd.BROKEN
        if (
            ending is crash_detection.RunEnd.COMPLETED
            and head is not None
            and head.is_authentic
            and _is_final(in_flight, head)
        ):
            self._finish(in_flight, run, head)
            return
        self.close_run(in_flight, run, ending)
        if completion is ports.Completion.NOT_SENT:
            self._uncount_run(in_flight, run)
            self._evidence.record_unreachable(run.first_server, run.active_at)
            self._retry_or_fail(
                in_flight, 'not_reached', run_proofs.Proof.NOT_SENT, run
            )
        elif head is not None and not head.executed:
            self._uncount_run(in_flight, run)
            self._fault_attribution.record_refusal(in_flight, run, head)
            self._retry_or_fail(
                in_flight,
                f'refused_by_engine_{head.status}',
                run_proofs.Proof.REFUSED,
                run,
            )
        elif completion is ports.Completion.BROKEN or head is None:
            self._fault_attribution.record_broken_run(in_flight, run)
            self._retry_or_fail(
                in_flight, 'broken', run_proofs.Proof.CLOSED, run
            )
        elif run.events.pending:
            self._retry_or_fail(
                in_flight, 'broken', run_proofs.Proof.CLOSED, run
            )
        elif head.is_authentic and not in_flight.exchange.response_started:
            self._handle_failure(in_flight, run, head)
        else:
            in_flight.exchange.exclude(
                [run.first_server.id], self._clock.now()
            )
            self._retry_or_fail(
                in_flight, 'malformed', run_proofs.Proof.CLOSED, run
            )

    def _finish(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        head: ports.ResponseHead,
    ) -> None:
        """Complete the answer, as a run has delivered all of it."""
        exchange = in_flight.exchange
        self._withdraw_offer(in_flight)
        self._second_runs.settle(in_flight, run)
        if not in_flight.is_streamed:
            run.active_at = self._clock.now()
        self.close_run(in_flight, run, crash_detection.RunEnd.COMPLETED)
        if not in_flight.is_streamed:
            self._send_whole(in_flight, run, head)
            return
        self._begin_reply(in_flight, head)
        exchange.reply.finish()
        self._end(in_flight, 'served')

    def _send_whole(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        head: ports.ResponseHead,
    ) -> None:
        """Pass on a complete answer that is not a stream of events."""
        exchange = in_flight.exchange
        body = bytes(run.body)
        if exchange.first_event_at is None:
            exchange.first_event_at = self._clock.now()
        self.paths.spillover.record_events(in_flight, run, len(body))
        exchange.reply.send(head.status, head.headers, body)
        is_served = head.status < _ERROR and not in_flight.is_streamed
        self._end(
            in_flight, 'served' if is_served else f'engine_{head.status}'
        )

    def _uncount_run(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
    ) -> None:
        """Record that a run did not take place."""
        in_flight.exchange.runs -= 1
        if run.use is not None:
            in_flight.server_uses.remove(run.use)
        self._inform_sender(in_flight)

    def _handle_failure(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        head: ports.ResponseHead,
    ) -> None:
        """Retry a request that failed at its engine, or pass on its answer."""
        exchange = in_flight.exchange
        if in_flight.is_served_elsewhere:
            self._log_failed_run(in_flight, run, f'engine_{head.status}')
        elif self.may_retry(in_flight) and self._budget.acquire(
            exchange.service
        ):
            exchange.exclude([run.first_server.id], self._clock.now())
            self._start(in_flight)
        else:
            self._send_whole(in_flight, run, head)

    def may_retry(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Return whether a request that may have run may run again.

        Runs whose first engine has ended do not count towards the attempts
        that the route allows. An engine that only does not answer this entry
        may still run the request.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        """
        exchange = in_flight.exchange
        lost = self._permits.count_ended(in_flight.server_uses)
        return (
            exchange.route.retryable
            and exchange.runs < exchange.route.attempts + lost
            and not in_flight.has_left
            and exchange.sends < MAX_SENDS
            and exchange.compute_remaining_ms(self._clock.now())
            > MIN_REMAINING_MS
        )

    def _may_resend(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Return whether a request that did not run may be sent again."""
        exchange = in_flight.exchange
        return (
            exchange.sends < MAX_SENDS
            and exchange.compute_remaining_ms(self._clock.now())
            > MIN_REMAINING_MS
        )

    def _retry_or_fail(
        self,
        in_flight: in_flight_module.InFlightRequest,
        reason: str,
        proof: run_proofs.Proof,
        run: in_flight_module.OpenRun | None = None,
    ) -> None:
        """Send a request once more if this is allowed, or end it.

        A request that has another run open, or that is offered to a peer,
        goes on with that one.
        """
        exchange = in_flight.exchange
        if in_flight.is_served_elsewhere:
            self._log_failed_run(in_flight, run, reason)
            return
        ran = exchange.runs > 0
        allowed = (
            self.may_retry(in_flight) if ran else self._may_resend(in_flight)
        )
        exchange.outcome_reason = reason
        exchange.timing.record_disruption(reason)
        if not allowed:
            self._fail(
                in_flight, reason, self._random.randint(*RETRY_AFTER_MS)
            )
            return
        active_at = in_flight.active_at if run is None else run.active_at
        logger.info(
            'run_repeated',
            id=exchange.request.id,
            reason=reason,
            proof=proof.value,
            idle_ms=self._clock.now() - active_at,
            sends=exchange.sends,
            after=in_flight.events.last_id,
        )
        in_flight.needs_retry = True
        if self._evidence.is_checking:
            # It may soon be clear that no engine can be reached.
            self._enqueue(in_flight)
        else:
            self._start(in_flight)

    def _log_failed_run(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun | None,
        reason: str,
    ) -> None:
        """Log that one of two runs has failed."""
        logger.info(
            'second_run_failed',
            id=in_flight.exchange.request.id,
            reason=reason,
            server=None if run is None else run.first_server.id,
        )

    def compute_event_interval(
        self, in_flight: in_flight_module.InFlightRequest
    ) -> float:
        """Return the usual interval between two events of a stream.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.

        Returns
        -------
        float
            Milliseconds; the average of all streams until the stream has one
            of its own.
        """
        return (
            in_flight.event_interval.mean_ms
            or self.event_interval.mean_ms
            or stalls.DEFAULT_EVENT_INTERVAL_MS
        )

    def count_idle_intervals(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        now: int,
    ) -> float:
        """Return the idle time of a run in units of its event interval.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        run : in_flight_module.OpenRun
            One of its runs.
        now : int
            Current time in milliseconds.
        """
        return (now - run.active_at) / self.compute_event_interval(in_flight)

    def fail_over(
        self, in_flight: in_flight_module.InFlightRequest, reason: str
    ) -> None:
        """Start a second run of a stalled request on another path.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        reason : str
            Reason for the log.
        """
        self._second_runs.start(in_flight, reason)

    def end_proven(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
    ) -> bool:
        """End a run whose first engine is proven to have ended.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request, which runs elsewhere from then on, waits or fails.
        run : in_flight_module.OpenRun
            The run.

        Returns
        -------
        bool
            False if nothing proves that the run can't continue.
        """
        proof = run_proofs.find_server_proof(
            self._permits, run, [run.first_server]
        )
        if proof is run_proofs.Proof.NONE:
            return False
        self.close_run(in_flight, run)
        self._retry_or_fail(in_flight, 'engine_lost', proof, run)
        return True

    def may_reroute(self, in_flight: in_flight_module.InFlightRequest) -> bool:
        """Return whether a run may continue on other engines.

        A request that may have crashed engines would crash the new ones too,
        and a trial has no other engines reserved.
        """
        run = in_flight.current
        if run is None or run.tracked is None:
            return True
        return not run.tracked.is_on_trial and self._permits.may_reroute(
            run.tracked
        )

    def reserve(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
    ) -> None:
        """Reserve a path while it is open whether a request will use it."""
        self._reservations.reserve(hops, in_flight.request_size.tokens)

    def release(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
    ) -> None:
        """Release a path that was reserved for a request."""
        self._reservations.release(hops, in_flight.request_size.tokens)

    def apply_path_change(
        self,
        in_flight: in_flight_module.InFlightRequest,
        hops: tuple[search.Hop, ...],
    ) -> None:
        """Record that a running request continues on another path.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        hops : tuple of search.Hop
            The new path.
        """
        run = in_flight.current
        assert run is not None
        in_flight.exchange.timing.record_disruption('path_changed')
        self._end_prefill(run)
        self._reservations.release(run.hops, in_flight.request_size.tokens)
        run.hops = hops
        if run.tracked is not None:
            run.tracked = self._permits.reroute(run.tracked, run.servers)
        in_flight.exchange.path = search.describe_path(hops)
        self._reservations.reserve(hops, in_flight.request_size.tokens)

    def _fail(
        self,
        in_flight: in_flight_module.InFlightRequest,
        reason: str,
        retry_after_ms: int,
    ) -> None:
        """End a request that can't be served now."""
        exchange = in_flight.exchange
        if exchange.response_started:
            exchange.outcome_reason = reason
            exchange.reply.abort()
            self._end(in_flight, 'cut')
        elif exchange.runs > 0 and not exchange.route.retryable:
            self._finish_refused(in_flight, 502, f'outcome_unknown_{reason}')
        elif exchange.runs > 0:
            self._finish_refused(in_flight, 502, reason)
        else:
            self._finish_refused(in_flight, 503, reason, retry_after_ms)

    def _finish_refused(
        self,
        in_flight: in_flight_module.InFlightRequest,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
    ) -> None:
        self._discard(in_flight)
        in_flight.exchange.refuse(status, reason, retry_after_ms)

    def _expire(self, in_flight: in_flight_module.InFlightRequest) -> None:
        exchange = in_flight.exchange
        self._close_all(in_flight)
        if exchange.response_started:
            exchange.outcome_reason = 'deadline'
            exchange.reply.abort()
            self._end(in_flight, 'cut')
        elif exchange.runs > 0:
            self._finish_refused(in_flight, 504, 'deadline')
        else:
            self._finish_refused(in_flight, 503, 'deadline', 500)

    def _abandon(self, in_flight: in_flight_module.InFlightRequest) -> None:
        """End the runs of a caller that has closed the connection."""
        if in_flight.exchange.ended:
            return
        self._close_all(in_flight)
        self._end(in_flight, 'caller_left')

    def _end_prefill(self, run: in_flight_module.OpenRun) -> None:
        if run.prefill_tokens:
            self._reservations.end_prefill(run.hops, run.prefill_tokens)
            run.prefill_tokens = 0.0

    def close_run(
        self,
        in_flight: in_flight_module.InFlightRequest,
        run: in_flight_module.OpenRun,
        ending: crash_detection.RunEnd = crash_detection.RunEnd.LEFT,
    ) -> None:
        """End a run and release what is reserved for it.

        Parameters
        ----------
        in_flight : in_flight_module.InFlightRequest
            The request.
        run : in_flight_module.OpenRun
            The run; it is cancelled unless it has ended by itself.
        ending : crash_detection.RunEnd, optional
            How it ended for its engines.
        """
        run.generation += 1
        in_flight.remove(run)
        stop, run.stop = run.stop, None
        if stop is not None:
            stop()
        if run.tracked is not None:
            tracked, run.tracked = run.tracked, None
            self._permits.end(tracked, ending)
        if run.has_begun:
            self._admission.record_release(in_flight)
        self._end_prefill(run)
        self._reservations.release(run.hops, in_flight.request_size.tokens)

    def _close_all(self, in_flight: in_flight_module.InFlightRequest) -> None:
        self._withdraw_offer(in_flight)
        for run in in_flight.open_runs:
            self.close_run(in_flight, run)

    def _end(
        self, in_flight: in_flight_module.InFlightRequest, outcome: str
    ) -> None:
        self._discard(in_flight)
        in_flight.exchange.end(outcome)

    def _discard(self, in_flight: in_flight_module.InFlightRequest) -> None:
        self._admission.leave_queue(in_flight)
        self.in_flight_requests.discard(in_flight)


def _take_over_nothing(
    exchange: exchanges.Exchange, resume_after: str, is_counted: bool
) -> bool:
    return False


def _begins_stream(
    in_flight: in_flight_module.InFlightRequest, head: ports.ResponseHead
) -> bool:
    """Return whether the body behind a head is a stream of events."""
    return in_flight.is_streamed and head.status == _OK and head.is_authentic


def _is_final(
    in_flight: in_flight_module.InFlightRequest, head: ports.ResponseHead
) -> bool:
    """Return whether a complete answer is passed on without a retry."""
    if in_flight.is_streamed:
        return head.status == _OK
    return (
        head.status < _SERVER_ERROR or not in_flight.exchange.route.retryable
    )


def _limit_to_share(
    found: search.Path | choice.NoPathReason, may_use_free: bool
) -> search.Path | choice.NoPathReason:
    """Withhold a path whose memory belongs to requests of other entries."""
    if isinstance(found, search.Path) and not may_use_free:
        return choice.NoPathReason.NO_CAPACITY
    return found
