"""Requests that pass through a peer while this entry reaches no server.

An entry that has lost its links to all servers still reaches its callers and
its peers. It passes each request on to a peer that reaches servers, which
routes it like a request of its own callers. The peer decides about limits,
retries, departures and requests that crash servers; here only the way of the
answer is kept. A request is passed on by one entry at most.
"""

from __future__ import annotations

import collections
import functools
import typing

import attrs
import structlog

from thornspool.application.routing import containment
from thornspool.application.routing import listeners
from thornspool.application.routing import ports
from thornspool.application.routing import run_notices
from thornspool.domain.clients import connections
from thornspool.domain.fleet import bodies
from thornspool.domain.fleet import events

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import contextlib
    import random

    from thornspool import clock as clock_module
    from thornspool.application.routing import exchanges
    from thornspool.application.routing import retry_pools
    from thornspool.domain.entries import messages as entries
    from thornspool.domain.entries import view as view_module
    from thornspool.domain.fleet import links as links_module

MAX_SENDS = 3
"""Peers to which one request is passed on, one after the other."""

MAX_RELAYED = 128
"""Requests of peers that an entry serves at the same time.

Each one takes processor time at both entries.
"""

SHED_SHARE = 0.05
"""Share of that number by which it is smaller for each step of priority."""

DEADLINE_MARGIN_MS = 20
"""Time reserved to forward a response that a peer sends at its deadline."""

RETRY_AFTER_MS = (300, 800)
"""Range of Retry-After where no peer accepts a request."""

SILENT_MS = 1_000
"""Time without an answer after which a request of a peer that counts as absent
is also sent to another one."""

SILENT_STREAM_MS = 1_600
"""The same for the events of a stream.

A peer that has only lost its links states after 1.5 s that it starts no
further run. Callers abandon a stream after 2 s.
"""

OFFER_PAUSE_MS = 500
"""Time after an unsuccessful second transfer before the next one."""

logger = structlog.get_logger(__name__)

_OK = 200
_ERROR = 400
_UNAVAILABLE = 503


class PeerGateway(typing.Protocol):
    """Passes requests on to peers."""

    def send(
        self,
        peer: entries.Record,
        relayed: ports.RelayedRequest,
        listener: ports.ResponseListener,
    ) -> Callable[[], None]:
        """Send a request to a peer; returns a function that cancels it."""


@attrs.frozen
class Offer:
    """A stream that a peer may continue while its run here stays open.

    Attributes
    ----------
    exchange : exchanges.Exchange
        The request and its reply.
    resume_after : str
        Identifier of the last event that the caller has received.
    avoided : tuple of str
        Ids of the servers that may still run the request.
    on_accepted : callable
        Called before the first event of a peer is passed on; the run here is
        no longer needed from then on.
    on_declined : callable
        Called when no peer continues the stream.
    """

    exchange: exchanges.Exchange
    resume_after: str
    avoided: tuple[str, ...]
    on_accepted: Callable[[], None]
    on_declined: Callable[[], None]


@attrs.define(eq=False)
class _Relay:
    """A request that is passed on.

    Attributes
    ----------
    exchange : exchanges.Exchange
        The request and its reply.
    resume_after : str
        Identifier of the last event that the caller has received.
    is_counted : bool
        Whether the retry budget has counted the request here.
    peer : entries.Record or None
        Peer that serves it.
    tried : set of str
        Hosts of the peers that did not serve it.
    cancel : callable or None
        Ends the transfer; None when there is none.
    head : ports.ResponseHead or None
        Head of the response, once received.
    refusal : tuple of ports.ResponseHead and bytes, or None
        Last refusal that applies to one peer alone, and its body.
    body : bodies.BodyBuffer
        Body of a response that is not streamed.
    events : events.EventBuffer
        Splits a streamed response into complete events.
    generation : int
        Incremented for each peer, so that late data is dropped.
    offer : Offer or None
        Set until a peer has delivered the first event of an offered stream.
    avoided : tuple of str
        Ids of the servers that may still run the request.
    servers : tuple of str
        Ids of the servers where the peer has open runs, as far as it has
        stated them.
    counted_runs : int
        Runs of the current transfer that count towards the attempts.
    has_left : bool
        Whether the peer has stated that it starts no further run.
    active_at : int
        Time in milliseconds of the last event, or of the send.
    withdraw : callable or None
        Withdraws the request from another peer that may continue it; None
        when there is none.
    offer_at : int
        Time in milliseconds from which another peer may get it as well.
    """

    exchange: exchanges.Exchange
    resume_after: str
    is_counted: bool
    peer: entries.Record | None = None
    tried: set[str] = attrs.field(factory=set)
    cancel: Callable[[], None] | None = None
    head: ports.ResponseHead | None = None
    refusal: tuple[ports.ResponseHead, bytes] | None = None
    body: bodies.BodyBuffer = attrs.field(factory=bodies.BodyBuffer)
    events: events.EventBuffer = attrs.field(factory=events.EventBuffer)
    generation: int = 0
    offer: Offer | None = None
    avoided: tuple[str, ...] = ()
    servers: tuple[str, ...] = ()
    counted_runs: int = 0
    has_left: bool = False
    active_at: int = 0
    withdraw: Callable[[], None] | None = None
    offer_at: int = 0


class RelayService:
    """Passes requests on to peers while the links of this entry are lost.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    view : view_module.View
        The other entries.
    links : links_module.Links
        Links of this entry to the servers.
    gateway : PeerGateway
        Client for the peers.
    budget : retry_pools.RetryPools
        Retry budget.
    random_source : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        view: view_module.View,
        links: links_module.Links,
        gateway: PeerGateway,
        budget: retry_pools.RetryPools,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._view = view
        self._links = links
        self._gateway = gateway
        self._budget = budget
        self._random = random_source
        self._relays: set[_Relay] = set()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self.relayed_count = 0

    def take_over(
        self,
        exchange: exchanges.Exchange,
        resume_after: str = '',
        is_counted: bool = False,
    ) -> bool:
        """Pass a request on if this entry reaches no server.

        Parameters
        ----------
        exchange : exchanges.Exchange
            The request, which runs nowhere now.
        resume_after : str, optional
            Identifier of the last event that the caller has received.
        is_counted : bool, optional
            Whether the retry budget has counted the request here.

        Returns
        -------
        bool
            Whether the request is served here from now on.
        """
        if not self._links.are_lost or exchange.request.relay is not None:
            return False
        relay = _Relay(exchange, resume_after, is_counted)
        self._relays.add(relay)
        exchange.reply.set_disconnect_callback(lambda: self._abandon(relay))
        self.relayed_count += 1
        if not exchange.ended:
            with self._end_on_error(relay):
                self._send(relay)
        return True

    def _end_on_error(
        self, relay: _Relay
    ) -> contextlib.AbstractContextManager[None]:
        """Create the context that ends a request if it raises an error."""
        return containment.end_on_error(
            relay.exchange, functools.partial(self._release, relay)
        )

    def _release(self, relay: _Relay) -> None:
        self._relays.discard(relay)
        self._withdraw_second(relay)
        if relay.cancel is not None:
            self._end_transfer(relay)

    def offer(self, offer: Offer) -> Callable[[], None] | None:
        """Offer a stream to peers while its run here stays open.

        Parameters
        ----------
        offer : Offer
            The stream.

        Returns
        -------
        callable or None
            Withdraws the offer; None if no peer can be asked.
        """
        if offer.exchange.request.relay is not None:
            return None
        relay = _Relay(
            offer.exchange,
            offer.resume_after,
            True,
            offer=offer,
            avoided=offer.avoided,
        )
        if self._choose_peer(relay.tried) is None:
            return None
        self.relayed_count += 1
        return self._start_offer(relay)

    def _start_offer(self, relay: _Relay) -> Callable[[], None]:
        self._relays.add(relay)
        with self._end_on_error(relay):
            self._send(relay)
        return lambda: self._withdraw(relay)

    def _withdraw(self, relay: _Relay) -> None:
        """End the transfer of a stream that its own run continues."""
        if relay in self._relays:
            self._relays.discard(relay)
            self._end_transfer(relay)

    def has_linked_peer(self) -> bool:
        """Return whether a peer that reaches servers is known."""
        return bool(self._view.list_linked(self._clock.now()))

    def tick(self) -> None:
        """End expired requests and those of lost peers; called often."""
        now = self._clock.now()
        for relay in list(self._relays):
            with self._end_on_error(relay):
                self._check(relay, now)

    def _check(self, relay: _Relay, now: int) -> None:
        if relay.exchange.compute_remaining_ms(now) <= 0:
            if relay.offer is None:
                self._expire(relay)
        elif relay.peer is not None and self._is_gone(relay.peer):
            self._end_transfer(relay)
            self._handle_break(relay)
        elif relay.peer is not None and self._needs_another(
            relay, relay.peer, now
        ):
            self._offer_second(relay, relay.peer, now)

    def _is_gone(self, peer: entries.Record) -> bool:
        """Return whether the process of a peer is proven to have ended."""
        known = self._view.peers.get(peer.host)
        return known is None or known.record.incarnation != peer.incarnation

    def _needs_another(
        self, relay: _Relay, peer: entries.Record, now: int
    ) -> bool:
        """Return whether another peer is to get a request as well.

        A peer also counts as absent while it leaves or has lost its links, so
        that its absence alone is no reason.
        """
        if (
            relay.offer is not None
            or relay.withdraw is not None
            or now < relay.offer_at
        ):
            return False
        if not relay.has_left:
            idle_ms = now - relay.active_at
            started = relay.exchange.response_started
            known = self._view.peers[peer.host]
            if idle_ms < (
                SILENT_STREAM_MS if started else SILENT_MS
            ) or self._view.is_alive(known, now):
                return False
        return self._may_pass_on(relay, peer)

    def _may_pass_on(self, relay: _Relay, peer: entries.Record) -> bool:
        """Return whether another peer may get a request beside this one."""
        exchange = relay.exchange
        uncounted = 0 if relay.counted_runs else 1
        return (
            exchange.route.retryable
            and exchange.runs + uncounted < exchange.route.attempts
            and len(relay.tried) + 1 < MAX_SENDS
            and self._choose_peer({*relay.tried, peer.host}) is not None
            and self._budget.can_acquire(
                exchange.service, exchange.response_started
            )
        )

    def _offer_second(
        self, relay: _Relay, peer: entries.Record, now: int
    ) -> None:
        """Send a request to another peer while its transfer stays open.

        The peer may still serve it, and the other one may refuse it.
        """
        exchange = relay.exchange
        if not self._acquire_retry(exchange):
            return
        self._count_runs(relay, max(1, relay.counted_runs))
        relay.offer_at = now + OFFER_PAUSE_MS
        avoided = (*relay.avoided, *relay.servers)
        second = _Relay(
            exchange,
            relay.events.last_id or relay.resume_after,
            True,
            tried={*relay.tried, peer.host},
            offer=Offer(
                exchange,
                relay.events.last_id or relay.resume_after,
                avoided,
                functools.partial(self._leave_first, relay),
                functools.partial(self._keep_first, relay),
            ),
            avoided=avoided,
        )
        logger.info(
            'relay_repeated',
            id=exchange.request.id,
            peer=peer.host,
            idle_ms=now - relay.active_at,
            has_left=relay.has_left,
        )
        relay.withdraw = lambda: self._withdraw(second)
        self._start_offer(second)

    def _leave_first(self, relay: _Relay) -> None:
        """End the transfer of a request that another peer has continued."""
        relay.withdraw = None
        self._relays.discard(relay)
        self._end_transfer(relay)

    def _keep_first(self, relay: _Relay) -> None:
        """Keep a request that no other peer continues."""
        relay.withdraw = None
        relay.offer_at = self._clock.now() + OFFER_PAUSE_MS
        if relay.peer is None:
            self._repeat(relay, 'relay_broken')

    def _withdraw_second(self, relay: _Relay) -> None:
        """Withdraw a request from the other peer that may continue it."""
        withdraw, relay.withdraw = relay.withdraw, None
        if withdraw is not None:
            withdraw()

    def _count_runs(self, relay: _Relay, runs: int) -> None:
        """Count the runs of the current transfer towards the attempts."""
        relay.exchange.runs += runs - relay.counted_runs
        relay.counted_runs = runs

    def _send(self, relay: _Relay) -> None:
        exchange = relay.exchange
        now = self._clock.now()
        peer = self._choose_peer(relay.tried)
        if peer is None or len(relay.tried) >= MAX_SENDS:
            self._fail(relay, 'links_lost')
            return
        relay.peer = peer
        relay.head = None
        relay.body.clear()
        relay.events.drop_pending()
        relay.generation += 1
        relay.counted_runs = 0
        relay.servers = ()
        relay.has_left = False
        relay.active_at = now
        prior_runs = exchange.runs
        if relay.offer is not None:
            # Its other run may go on and must know of this one.
            self._count_runs(relay, 1)
        exchange.path = peer.host
        relay.cancel = self._gateway.send(
            peer,
            ports.RelayedRequest(
                exchange.request,
                max(
                    1, exchange.compute_remaining_ms(now) - DEADLINE_MARGIN_MS
                ),
                relay.events.last_id
                or relay.resume_after
                or exchange.request.resume_after,
                ports.Relay(
                    self._view.local.host,
                    self._view.local.incarnation,
                    peer.incarnation,
                    prior_runs,
                    relay.is_counted,
                    exchange.version,
                    relay.avoided,
                ),
            ),
            listeners.RunListener(
                relay,
                functools.partial(self.handle_head, relay),
                functools.partial(self.handle_body, relay),
                functools.partial(self.handle_completion, relay),
                functools.partial(self._end_on_error, relay),
            ),
        )
        self._in_flight[peer.host] += 1

    def _choose_peer(self, tried: Iterable[str]) -> entries.Record | None:
        """Choose a serving peer that reaches servers, the less loaded first.

        Peers of the own failure domain are preferred.
        """
        candidates = [
            record
            for record in self._view.list_linked(self._clock.now())
            if record.host not in tried
        ]
        domain = self._view.local.failure_domain
        local = [one for one in candidates if one.failure_domain == domain]
        candidates = local or candidates
        if not candidates:
            return None
        chosen = self._random.sample(candidates, min(2, len(candidates)))
        return min(chosen, key=lambda one: self._in_flight[one.host])

    def handle_head(self, relay: _Relay, head: ports.ResponseHead) -> None:
        """Handle the head of a peer's response."""
        relay.head = head
        relay.active_at = self._clock.now()
        exchange = relay.exchange
        if self._is_stream(relay) and relay.offer is None:
            self._begin_reply(exchange, head)

    def _begin_reply(
        self, exchange: exchanges.Exchange, head: ports.ResponseHead
    ) -> None:
        if not exchange.response_started:
            exchange.reply.begin(head.status, head.headers)
            exchange.response_started = True

    def _accept(self, relay: _Relay) -> None:
        """Continue an offered request here, as a peer has served it.

        Its other run stays open until then, as it may continue where no peer
        does.
        """
        offer, relay.offer = relay.offer, None
        if offer is None:
            return
        offer.on_accepted()
        relay.exchange.reply.set_disconnect_callback(
            lambda: self._abandon(relay)
        )

    def _continue_stream(self, relay: _Relay) -> None:
        """Continue a stream here, as a peer has delivered an event."""
        assert relay.head is not None
        self._withdraw_second(relay)
        self._accept(relay)
        self._begin_reply(relay.exchange, relay.head)

    def _is_stream(self, relay: _Relay) -> bool:
        """Return whether a peer answers with events.

        It states the length of an answer that it passes on as a whole.
        """
        head = relay.head
        return (
            head is not None
            and head.status == _OK
            and head.is_authentic
            and not head.has_length
            and relay.exchange.route.is_streamed
        )

    def handle_body(self, relay: _Relay, chunk: bytes) -> bool:
        """Handle a chunk of a peer's response; False if it is too long."""
        if not self._is_stream(relay):
            return relay.body.append(chunk)
        complete, notice = run_notices.extract(
            relay.events.take(chunk), self._view.local.incarnation
        )
        if notice is not None:
            self._apply_notice(relay, notice)
        if complete:
            self._continue_stream(relay)
            self._deliver(relay, complete)
        return not relay.events.is_overlong

    def _deliver(self, relay: _Relay, complete: bytes) -> None:
        """Forward complete events of a peer's response."""
        exchange = relay.exchange
        now = relay.active_at = self._clock.now()
        relay.has_left = False
        exchange.timing.record_event(now)
        if exchange.first_event_at is None:
            exchange.first_event_at = now
        exchange.reply.write(complete)

    def _apply_notice(self, relay: _Relay, notice: run_notices.Notice) -> None:
        """Record the runs that a peer has used for a stream."""
        self._count_runs(relay, max(1, notice.runs))
        relay.servers = notice.servers
        relay.has_left = notice.has_left

    def handle_completion(
        self, relay: _Relay, completion: ports.Completion
    ) -> None:
        """Handle the end of a transfer to a peer."""
        self._end_transfer(relay, is_over=True)
        head = relay.head
        if completion is ports.Completion.NOT_SENT:
            self._try_next(relay)
        elif completion is ports.Completion.BROKEN or head is None:
            self._handle_break(relay)
        elif head.is_relay_refused:
            self._try_next(relay, head)
        elif self._is_stream(relay) and relay.events.pending:
            self._handle_break(relay)
        elif self._is_stream(relay):
            self._continue_stream(relay)
            relay.exchange.reply.finish()
            self._end(relay, 'served')
        else:
            self._handle_failure(relay, head)

    def _handle_failure(self, relay: _Relay, head: ports.ResponseHead) -> None:
        """Handle a complete response of a peer that serves no stream."""
        if relay.offer is not None and (
            head.status >= _ERROR or relay.exchange.route.is_streamed
        ):
            # The other run may still end well.
            self._fail(relay, 'relayed')
        elif relay.withdraw is not None and head.status >= _ERROR:
            # Another peer may still serve it.
            self._count_runs(relay, max(1, relay.counted_runs))
            relay.peer = None
        elif relay.exchange.response_started:
            self._cut(relay)
        elif relay.exchange.runs > 0 and head.status == _UNAVAILABLE:
            # The request has run before it was passed on.
            self._fail(relay, 'relayed')
        else:
            self._withdraw_second(relay)
            self._accept(relay)
            relay.exchange.reply.send(
                head.status, head.headers, bytes(relay.body)
            )
            self._end(relay, 'served' if head.status < _ERROR else 'relayed')

    def _try_next(
        self, relay: _Relay, refusal: ports.ResponseHead | None = None
    ) -> None:
        """Pass a request on to another peer, as this one has not run it."""
        assert relay.peer is not None
        if refusal is not None and _has_retry_after(refusal):
            relay.refusal = refusal, bytes(relay.body)
        relay.tried.add(relay.peer.host)
        relay.peer = None
        self._count_runs(relay, 0)
        sends = None if refusal is None else refusal.relayed_sends
        if sends is not None:
            relay.is_counted = True
        if relay.withdraw is not None:
            return
        # Servers that refuse a request have received it all the same.
        needs_retry = bool(sends) and self._has_next_peer(relay)
        if needs_retry and not self._acquire_retry(relay.exchange):
            self._fail(relay, 'relay_refused')
        else:
            self._send(relay)

    def _has_next_peer(self, relay: _Relay) -> bool:
        return (
            len(relay.tried) < MAX_SENDS
            and self._choose_peer(relay.tried) is not None
        )

    def _acquire_retry(self, exchange: exchanges.Exchange) -> bool:
        return self._budget.acquire(
            exchange.service, exchange.response_started
        )

    def _handle_break(self, relay: _Relay) -> None:
        """Pass a request on once more if it may run again, or end it.

        A request that another peer may continue waits for that one.
        """
        assert relay.peer is not None
        self._count_runs(relay, max(1, relay.counted_runs))
        relay.is_counted = True
        relay.tried.add(relay.peer.host)
        relay.peer = None
        if relay.withdraw is None:
            self._repeat(relay, 'relay_broken')

    def _repeat(self, relay: _Relay, reason: str) -> None:
        """Pass a request on once more if it may run again, or end it."""
        exchange = relay.exchange
        if (
            exchange.route.retryable
            and exchange.runs < exchange.route.attempts
            and self._acquire_retry(exchange)
        ):
            self._send(relay)
        else:
            self._fail(relay, reason)

    def _fail(self, relay: _Relay, reason: str) -> None:
        exchange = relay.exchange
        self._relays.discard(relay)
        if relay.offer is not None:
            relay.offer.on_declined()
        elif exchange.response_started:
            self._cut(relay)
        elif exchange.runs > 0:
            exchange.refuse(502, reason)
        elif relay.refusal is not None:
            head, body = relay.refusal
            exchange.reply.send(head.status, head.headers, body)
            self._end(relay, 'relayed')
        else:
            exchange.refuse(503, reason, self._random.randint(*RETRY_AFTER_MS))

    def _cut(self, relay: _Relay, reason: str = 'relay_broken') -> None:
        self._withdraw_second(relay)
        relay.exchange.outcome_reason = reason
        relay.exchange.reply.abort()
        self._end(relay, 'cut')

    def _expire(self, relay: _Relay) -> None:
        self._withdraw_second(relay)
        self._end_transfer(relay)
        exchange = relay.exchange
        if exchange.response_started:
            self._cut(relay, 'deadline')
            return
        self._relays.discard(relay)
        # The peer may have run it, whatever its answer would have been.
        exchange.refuse(504, 'deadline')

    def _abandon(self, relay: _Relay) -> None:
        """End the transfer of a caller that has closed the connection."""
        if not relay.exchange.ended:
            self._withdraw_second(relay)
            self._end_transfer(relay)
            self._end(relay, 'caller_left')

    def _end_transfer(self, relay: _Relay, is_over: bool = False) -> None:
        cancel, relay.cancel = relay.cancel, None
        relay.generation += 1
        if relay.peer is not None:
            self._in_flight[relay.peer.host] -= 1
        if cancel is not None and not is_over:
            cancel()

    def _end(self, relay: _Relay, outcome: str) -> None:
        self._relays.discard(relay)
        relay.exchange.outcome_reason = (
            relay.exchange.outcome_reason or 'relayed'
        )
        relay.exchange.end(outcome)


def _has_retry_after(head: ports.ResponseHead) -> bool:
    return any(name.lower() == 'retry-after' for name, _ in head.headers)


class RelayIntake:
    """Accepts requests that peers without links pass on.

    Parameters
    ----------
    view : view_module.View
        This entry and the others.
    confirm_links : callable
        Checks whether this entry reaches servers, and passes on the result.
    serve : callable
        Serves a request and its reply.
    count_relayed : callable
        Returns the requests of peers that are in progress.
    find_priority : callable
        Returns the priority of a request from 0, the highest, to 9.
    is_available : callable
        Returns whether this entry may serve a request now.
    """

    def __init__(
        self,
        view: view_module.View,
        confirm_links: Callable[[Callable[[bool], None]], None],
        serve: Callable[[ports.Request, ports.ResponseWriter], None],
        count_relayed: Callable[[], int],
        find_priority: Callable[[ports.Request], int],
        is_available: Callable[[ports.Request], bool],
    ) -> None:
        self._view = view
        self._confirm_links = confirm_links
        self._serve = serve
        self._count_relayed = count_relayed
        self._find_priority = find_priority
        self._is_available = is_available
        self._waiting: set[ports.ResponseWriter] = set()

    def serve(
        self, request: ports.Request, reply: ports.ResponseWriter
    ) -> None:
        """Serve a request of a peer, or refuse it without running it."""
        if self._refuse(request, reply):
            return
        self._waiting.add(reply)
        reply.set_disconnect_callback(lambda: self._waiting.discard(reply))
        self._confirm_links(
            lambda is_linked: self._admit(request, reply, is_linked)
        )

    def check_body(
        self,
        request: ports.Request,
        reply: ports.ResponseWriter,
        on_decided: Callable[[connections.BodyTerms | None], None],
    ) -> None:
        """Decide on a request before its body is read.

        Parameters
        ----------
        request : ports.Request
            The request without its body.
        reply : ports.ResponseWriter
            Its reply.
        on_decided : callable
            Called with the terms on which the body is read, or with None
            after the request was refused.
        """
        is_refused = self._refuse(request, reply)
        on_decided(
            None if is_refused else connections.BodyTerms(request.timeout_ms)
        )

    def _refuse(
        self, request: ports.Request, reply: ports.ResponseWriter
    ) -> bool:
        """Refuse a request that this entry does not accept from a peer."""
        if not self._is_from_peer(request.relay):
            logger.warning('relay_denied', id=request.id)
            # A peer may have passed it on to the process before this one.
            reply.refuse_relay(403)
            return True
        if self._is_full(request):
            reply.refuse_relay()
            return True
        return False

    def _admit(
        self,
        request: ports.Request,
        reply: ports.ResponseWriter,
        is_linked: bool,
    ) -> None:
        """Serve a request if this entry reaches servers and may serve it.

        Entries that are cut off together detect this at different times.
        """
        if reply not in self._waiting:
            # The peer has withdrawn the request.
            return
        self._waiting.remove(reply)
        if is_linked and self._is_available(request):
            self._serve(request, reply)
        else:
            reply.refuse_relay()

    def _is_from_peer(self, relay: ports.Relay | None) -> bool:
        """Return whether a registered entry has passed the request on here.

        Incarnations are drawn at random, and only entries read them.
        """
        if relay is None or relay.receiver != self._view.local.incarnation:
            return False
        peer = self._view.peers.get(relay.host)
        return (
            peer is not None and peer.record.incarnation == relay.incarnation
        )

    def _is_full(self, request: ports.Request) -> bool:
        share = 1.0 - SHED_SHARE * self._find_priority(request)
        return self._count_relayed() >= MAX_RELAYED * share
