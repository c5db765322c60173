"""Assigns layers to engines while this entry is the leader."""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import structlog

from thornspool import tasks
from thornspool.application.routing import ports
from thornspool.domain.placement import orders as orders_module
from thornspool.domain.placement import planning

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module
    from thornspool.application.routing import (
        routing_state as routing_state_module,
    )
    from thornspool.application.routing import server_evidence
    from thornspool.application.routing import server_limits
    from thornspool.domain.fleet import messages as fleet

EMPTY_FLEET_SETTLE_MS = 900
"""Time without a new engine after which an empty fleet is placed.

Engines register over about 3 s. A layout for the first half of them would
have to be replaced, and its layers loaded a second time.
"""

LOAD_TIMEOUT_FACTOR = 6.0
"""Multiple of the load duration after which an order counts as lost.

Concurrent loads share the weight store, which serves about six of them at
full speed.
"""

ANNOUNCE_DELAY_MS = 60
"""Delay between announcing the layers that an engine drops and ordering it;
state updates are sent within 25 ms."""

CONFLICT_BACKOFF_MS = 600
"""Time for which an engine that refused an order gets no further order.

It is busy until the last request that uses the dropped layers has ended; a
stream lasts 2 to 4 s.
"""

DRAIN_SLACK_MS = 8_000
"""Additional time before an order that drops layers counts as lost.

The engine first waits for the longest streams that use these layers, and a
second order would only be refused.
"""

MIN_ENTRANCE_SHARE = 0.5
"""Share of a failure domain's requests below which an engine with a limit does
not count as a first engine of its paths."""

LIMIT_SETTLE_MS = 1_000
"""Time for which an engine names such a limit before its neighbours load its
layers."""

MAX_DOUBTED_SHARE = 0.2
"""Share of a domain's engines that may be suspected at once without doubt.

When entries are busy, they suspect sound engines for a moment. Orders that are
planned without these engines move layers away from where they are used.
"""

DOUBT_MS = 500
"""Time after which such suspicions count; wrong ones are retracted before."""

LOAD_TIMEOUT_SLACK_MS = 3_000
"""Additional time before any order counts as lost; a change of an engine
shows in its registration after about 1 s."""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


@attrs.define
class PendingOrder:
    """An order whose result has not been observed yet.

    Attributes
    ----------
    layers : fleet.LayerRange
        Layers that the engine is to hold.
    started_at : int or None
        Start of the engine's process, in Unix milliseconds.
    expires_at : int
        Time after which the order counts as lost, in milliseconds of the
        clock.
    """

    layers: fleet.LayerRange
    started_at: int | None
    expires_at: int


class PlacementService:
    """Plans the layout of the engines and sends them the orders.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    routing_state : routing_state_module.RoutingState
        Engines and their layers.
    limits : server_limits.ServerLimits
        Limits that servers name.
    evidence : server_evidence.ServerEvidence
        Client for the servers, and what counts against them.
    is_leader : callable
        Returns whether this entry certainly holds the leadership.
    estimate_rate : callable
        Returns the requests per second of all entries to a service.

    Attributes
    ----------
    start_task : callable
        Runs a coroutine as a background task.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        routing_state: routing_state_module.RoutingState,
        limits: server_limits.ServerLimits,
        evidence: server_evidence.ServerEvidence,
        is_leader: Callable[[], bool],
        estimate_rate: Callable[[str], float],
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._limits = limits
        self._evidence = evidence
        self._servers = evidence.servers
        self._is_leader = is_leader
        self._estimate_rate = estimate_rate
        self._doubted_since: dict[tuple[str, str], int] = {}
        self._limited_since: dict[str, dict[str, int]] = {}
        self._pending_orders: dict[str, PendingOrder] = {}
        self._order_counts: dict[str, int] = {}
        self._backoff_until: dict[str, int] = {}
        self._domain_members: dict[str, tuple[frozenset[str], int]] = {}
        self.start_task = tasks.BackgroundTasks(clock).start
        self._settled_situations: dict[str, object] = {}
        self._coverage_gaps: dict[tuple[str, str], list[fleet.LayerRange]] = {}
        self.order_count = 0

    def tick(self) -> None:
        """Plan and give orders; called about every 100 ms."""
        if not self._is_leader():
            self._pending_orders.clear()
            self._order_counts.clear()
            self._backoff_until.clear()
            self._routing_state.retained_ranges.local.clear()
            return
        now = self._clock.now()
        if self._evidence.links.are_lost:
            # Nothing shows which layers are covered, and no order arrives.
            return
        if self._routing_state.is_stale(now):
            # The lease may be renewed shortly before the local copy is.
            # Orders planned from a copy that was 8 s old made a whole domain
            # reload layers that its engines had loaded in the meantime.
            return
        self._update_pending_orders(now)
        configuration = self._routing_state.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.model is not None:
                self._place_service(service.name, service.model, now)

    def _update_pending_orders(self, now: int) -> None:
        for server_id, pending in list(self._pending_orders.items()):
            server = self._routing_state.servers.get(server_id)
            if server is None or server.started_at != pending.started_at:
                self._drop_pending_order(server_id)
                self._order_counts.pop(server_id, None)
            elif server.layers == pending.layers:
                self._drop_pending_order(server_id)
            elif now > pending.expires_at:
                logger.warning('order_lost', server=server_id)
                self._drop_pending_order(server_id)
                self._order_counts.pop(server_id, None)

    def _drop_pending_order(self, server_id: str) -> None:
        self._pending_orders.pop(server_id, None)
        self._routing_state.retained_ranges.end(server_id)

    def _place_service(
        self, service: str, model: fleet.Model, now: int
    ) -> None:
        engines = [
            server
            for server in self._routing_state.servers.values()
            if server.service == service
            and server.id not in self._routing_state.leaving
            and server.id not in self._routing_state.suspicions
        ]
        if self._is_fleet_starting(engines, now):
            return
        holdings = [self._build_holding(engine) for engine in engines]
        self._log_coverage_change(service, engines, model)
        steady_domains = self._find_steady_domains(engines, now)
        is_list_recent = self._routing_state.is_list_incomplete(now)
        limited = self._find_limited(service, engines, now)
        fleet_snapshot = (model, tuple(holdings), steady_domains, limited)
        if self._settled_situations.get(service) == fleet_snapshot:
            return
        orders = planning.plan_orders(holdings, model, steady_domains)
        if not orders and limited:
            orders = planning.plan_entrances(holdings, model, limited)
        if not orders:
            self._settled_situations[service] = fleet_snapshot
        doubted_domains = self._find_doubted_domains(service, now)
        for order in orders:
            if order.server.layers is not None and (
                # Engines that seem to be missing may not be listed yet.
                is_list_recent
                or order.server.failure_domain in doubted_domains
            ):
                continue
            if self._accepts_order(order.server.id, now):
                self._give_order(order, model, now)

    def _find_doubted_domains(self, service: str, now: int) -> set[str]:
        """Find the domains in which many engines were suspected just now."""
        engines: collections.Counter[str] = collections.Counter()
        suspected: collections.Counter[str] = collections.Counter()
        for server in self._routing_state.servers.values():
            if server.service == service:
                engines[server.failure_domain] += 1
                suspected[server.failure_domain] += (
                    server.id in self._routing_state.suspicions
                )
        doubted = set()
        for domain, count in engines.items():
            if suspected[domain] <= max(1, MAX_DOUBTED_SHARE * count):
                self._doubted_since.pop((service, domain), None)
                continue
            since = self._doubted_since.setdefault((service, domain), now)
            if now - since < DOUBT_MS:
                doubted.add(domain)
        return doubted

    def _accepts_order(self, server_id: str, now: int) -> bool:
        """Return whether an engine may get an order now."""
        if now < self._backoff_until.get(server_id, 0):
            return False
        if self._limits.try_acquire(server_id, is_needed=True):
            return True
        self._backoff_until[server_id] = now + CONFLICT_BACKOFF_MS
        return False

    def _find_limited(
        self, service: str, engines: list[fleet.Server], now: int
    ) -> frozenset[str]:
        """Find the engines that accept too few requests for their domain."""
        limits = self._routing_state.named_limits.select(
            engine.id for engine in engines
        )
        if not limits:
            self._limited_since.pop(service, None)
            return frozenset()
        domains = {engine.failure_domain for engine in engines}
        needed_per_s = (
            MIN_ENTRANCE_SHARE * self._estimate_rate(service) / len(domains)
        )
        low = {name for name, per_s in limits.items() if per_s < needed_per_s}
        known = self._limited_since.get(service, {})
        limited_since = {name: known.get(name, now) for name in low}
        self._limited_since[service] = limited_since
        return frozenset(
            name
            for name, since in limited_since.items()
            if now - since >= LIMIT_SETTLE_MS
        )

    def _find_steady_domains(
        self, engines: list[fleet.Server], now: int
    ) -> frozenset[str]:
        """Find the domains whose set of engines has been stable for a while.

        None qualifies while any engine is slow: an engine drops layers only
        after the streams that use them have ended, and slow engines delay
        these streams.
        """
        domains: dict[str, set[str]] = {}
        for engine in engines:
            domains.setdefault(engine.failure_domain, set()).add(engine.id)
        steady_domains = set()
        if self._routing_state.slowdowns.select(
            (engine.id for engine in engines), now
        ):
            self._domain_members.clear()
        for domain, engine_ids in domains.items():
            members = frozenset(engine_ids)
            previous = self._domain_members.get(domain)
            if previous is None or previous[0] != members:
                self._domain_members[domain] = (members, now)
            elif now - previous[1] >= planning.STABLE_PERIOD_MS:
                steady_domains.add(domain)
        return frozenset(steady_domains)

    def _log_coverage_change(
        self, service: str, engines: list[fleet.Server], model: fleet.Model
    ) -> None:
        """Log the coverage gaps of each domain when they change."""
        domains: dict[str, list[fleet.LayerRange]] = {}
        for engine in engines:
            held = domains.setdefault(engine.failure_domain, [])
            if engine.layers is not None:
                held.append(engine.layers)
        for domain, held in domains.items():
            gaps = orders_module.find_coverage_gaps(held, model.layers)
            if self._coverage_gaps.get((service, domain)) != gaps:
                self._coverage_gaps[(service, domain)] = gaps
                logger.info(
                    'coverage_changed',
                    service=service,
                    domain=domain,
                    engines=len(held),
                    missing=','.join(f'{gap.first}-{gap.end}' for gap in gaps),
                )

    def _is_fleet_starting(
        self, engines: list[fleet.Server], now: int
    ) -> bool:
        """Return whether an empty fleet is still starting."""
        if any(engine.layers is not None for engine in engines):
            return False
        return (
            now - self._routing_state.servers_changed_at
            < EMPTY_FLEET_SETTLE_MS
        )

    def _build_holding(self, server: fleet.Server) -> orders_module.Holding:
        pending = self._pending_orders.get(server.id)
        if pending is not None:
            return orders_module.Holding(server, pending.layers)
        if self._clock.now() < self._backoff_until.get(server.id, 0):
            return orders_module.Holding(server, server.layers)
        return orders_module.Holding(server)

    def _give_order(
        self, order: orders_module.Order, model: fleet.Model, now: int
    ) -> None:
        held = order.server.layers
        load_count = order.layers.count
        if held is not None:
            overlap = min(held.end, order.layers.end) - max(
                held.first, order.layers.first
            )
            load_count -= max(0, overlap)
        load_ms = model.load_s * 1000 * load_count / model.layers
        expires_at = (
            now + round(load_ms * LOAD_TIMEOUT_FACTOR) + LOAD_TIMEOUT_SLACK_MS
        )
        retained = orders_module.Holding(order.server, order.layers).retained
        if self._routing_state.retained_ranges.begin(order.server, retained):
            expires_at += DRAIN_SLACK_MS
            sending = self._announce_and_send_order(order)
        else:
            sending = self._send_order(order)
        self._pending_orders[order.server.id] = PendingOrder(
            order.layers, order.server.started_at, expires_at
        )
        self.start_task(sending)

    async def _announce_and_send_order(
        self, order: orders_module.Order
    ) -> None:
        """Send an order after peers know which layers the engine will drop."""
        await asyncio.sleep(ANNOUNCE_DELAY_MS / _MS_PER_S)
        await self._send_order(order)

    async def _send_order(self, order: orders_module.Order) -> None:
        """Send one order with the number of orders the engine has begun.

        An order without a response may be executed seconds later, after newer
        orders, and revert them. The count makes the engine refuse an order
        once it has begun another one.
        """
        server = order.server
        count = self._order_counts.get(server.id)
        if count is None and server.layers is None:
            # Most engines without layers have begun no order; one that has
            # refuses this order.
            count = 0
        if count is None:
            count = await self._probe_order_count(server)
        if count is None:
            self._drop_pending_order(server.id)
            return
        if not self._is_leader():
            return
        self.order_count += 1
        result = await self._servers.assign_layers(server, order.layers, count)
        logger.info(
            'order_given',
            server=server.id,
            layers=f'{order.layers.first}-{order.layers.end}',
            reason=order.reason,
            result=result.value,
            count=count,
        )
        if result is ports.OrderResult.BEGUN:
            self._order_counts[server.id] = count + 1
        elif result is not ports.OrderResult.DONE:
            # The engine may have begun this order or another one.
            self._order_counts.pop(server.id, None)
            self._backoff_until[server.id] = (
                self._clock.now() + CONFLICT_BACKOFF_MS
            )
            await self._probe_order_count(server)
            self._drop_pending_order(server.id)

    async def _probe_order_count(self, server: fleet.Server) -> int | None:
        """Probe an engine for its number of begun orders, and store it."""
        probed_at = self._clock.now()
        report = await self._servers.probe(server)
        if report is None:
            self._evidence.record_unanswered_probe(server, probed_at)
            return None
        if None not in {server.started_at, report.started_at} and (
            server.started_at != report.started_at
        ):
            logger.info(
                'engine_restarted',
                server=server.id,
                listed=server.started_at,
                reported=report.started_at,
            )
            return None
        self._order_counts[server.id] = report.order_count
        return report.order_count
