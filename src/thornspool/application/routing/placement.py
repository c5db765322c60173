"""Gives the engines their layers, while this entry holds the lease."""

from __future__ import annotations

import asyncio
import typing

import attrs
import structlog

from thornspool.application.routing import ports
from thornspool.domain.placement import orders as orders_module
from thornspool.domain.placement import planning

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module
    from thornspool.application.routing import beliefs as beliefs_module
    from thornspool.domain.fleet import messages as fleet

SETTLE_MS = 900
"""Time without a new engine after which an empty fleet is placed.

Engines enter the list over some 3 s; a layout of the first half of them
would have to be loaded a second time.
"""

LOAD_FACTOR = 6.0
"""Times of a load's own duration after which its order counts as lost.

Loads at once share the store of weights, some six at full speed.
"""

ANNOUNCE_MS = 60
"""Time between telling peers what an engine gives up and ordering it; news
leave within 25 ms."""

CONFLICT_MS = 600
"""Time for which an engine that refused an order is left alone.

It is busy until the last request has passed through layers that it gives
up; a stream lasts 2 to 4 s.
"""

PASS_MS = 8_000
"""Time besides for an engine that gives up layers: it waits for the longest
streams that pass through them, and a second order would only be refused."""

LOAD_SLACK_MS = 3_000
"""Time besides: the entry of an engine is seen some 1 s after a change."""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


@attrs.define
class Pending:
    """An order whose result is not seen yet."""

    layers: fleet.LayerRange
    born: int | None
    until: int


class PlacementService:
    """Plans and gives orders.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    beliefs : beliefs_module.Beliefs
        Engines and their layers.
    servers : ports.Servers
        Calls to engines.
    may_lead : callable
        Tells whether this entry holds the lease for sure.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        beliefs: beliefs_module.Beliefs,
        servers: ports.Servers,
        may_lead: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._beliefs = beliefs
        self._servers = servers
        self._may_lead = may_lead
        self._pending: dict[str, Pending] = {}
        self._orders: dict[str, int] = {}
        self._busy_until: dict[str, int] = {}
        self._members: dict[str, tuple[frozenset[str], int]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._settled: dict[str, object] = {}
        self._holes: dict[tuple[str, str], list[fleet.LayerRange]] = {}
        self.given = 0

    def work(self) -> None:
        """Plan and give orders; run every 100 ms or so."""
        if not self._may_lead():
            self._pending.clear()
            self._orders.clear()
            self._busy_until.clear()
            self._beliefs.moves.own.clear()
            return
        now = self._clock.now()
        if self._beliefs.is_outdated(now):
            # The lease may be renewed a moment before the copy is: planned
            # by what the list said eight seconds ago, a domain whose engines
            # had loaded meanwhile was ordered to load everything anew.
            return
        self._settle_pending(now)
        configuration = self._beliefs.configuration
        if configuration is None:
            return
        for service in configuration.services.values():
            if service.model is not None:
                self._place(service.name, service.model, now)

    def _settle_pending(self, now: int) -> None:
        for name, pending in list(self._pending.items()):
            server = self._beliefs.servers.get(name)
            if server is None or server.born != pending.born:
                self._forget_order(name)
                self._orders.pop(name, None)
            elif server.layers == pending.layers:
                self._forget_order(name)
            elif now > pending.until:
                logger.warning('order_lost', server=name)
                self._forget_order(name)
                self._orders.pop(name, None)

    def _forget_order(self, name: str) -> None:
        self._pending.pop(name, None)
        self._beliefs.moves.end(name)

    def _place(self, service: str, model: fleet.Model, now: int) -> None:
        engines = [
            one
            for one in self._beliefs.servers.values()
            if one.service == service
            and one.id not in self._beliefs.leaving
            and one.id not in self._beliefs.suspects
        ]
        if self._is_filling(engines, now):
            return
        holdings = [self._describe(one) for one in engines]
        self._note_coverage(service, engines, model)
        steady = self._find_steady(engines, now)
        young = self._beliefs.is_list_young(now)
        situation = (model, tuple(holdings), steady)
        if self._settled.get(service) == situation:
            return
        orders = planning.plan_orders(holdings, model, steady)
        if not orders:
            self._settled[service] = situation
        for order in orders:
            if young and order.server.layers is not None:
                # What seems to be missing may only be missing in the list.
                continue
            if now >= self._busy_until.get(order.server.id, 0):
                self._give(order, model, now)

    def _find_steady(
        self, engines: list[fleet.Server], now: int
    ) -> frozenset[str]:
        """Find the domains whose engines have not changed for a while.

        There are none while engines are slow: what an engine gives up waits
        for the streams that pass through it, and slow ones hold these up.
        """
        domains: dict[str, set[str]] = {}
        for one in engines:
            domains.setdefault(one.failure_domain, set()).add(one.id)
        steady = set()
        if self._beliefs.paces.select((one.id for one in engines), now):
            self._members.clear()
        for domain, names in domains.items():
            members = frozenset(names)
            known = self._members.get(domain)
            if known is None or known[0] != members:
                self._members[domain] = (members, now)
            elif now - known[1] >= planning.STEADY_MS:
                steady.add(domain)
        return frozenset(steady)

    def _note_coverage(
        self, service: str, engines: list[fleet.Server], model: fleet.Model
    ) -> None:
        """Log which layers a domain lacks, when that changes."""
        domains: dict[str, list[fleet.LayerRange]] = {}
        for one in engines:
            held = domains.setdefault(one.failure_domain, [])
            if one.layers is not None:
                held.append(one.layers)
        for domain, held in domains.items():
            holes = orders_module.find_holes(held, model.layers)
            if self._holes.get((service, domain)) != holes:
                self._holes[(service, domain)] = holes
                logger.info(
                    'coverage_changed',
                    service=service,
                    domain=domain,
                    engines=len(held),
                    missing=','.join(
                        f'{one.first}-{one.end}' for one in holes
                    ),
                )

    def _is_filling(self, engines: list[fleet.Server], now: int) -> bool:
        """Tell whether an empty fleet is still coming up."""
        if any(one.layers is not None for one in engines):
            return False
        return now - self._beliefs.servers_changed_at < SETTLE_MS

    def _describe(self, server: fleet.Server) -> orders_module.Holding:
        pending = self._pending.get(server.id)
        if pending is not None:
            return orders_module.Holding(server, pending.layers)
        if self._clock.now() < self._busy_until.get(server.id, 0):
            return orders_module.Holding(server, server.layers)
        return orders_module.Holding(server)

    def _give(
        self, order: orders_module.Order, model: fleet.Model, now: int
    ) -> None:
        held = order.server.layers
        new = order.layers.count
        if held is not None:
            overlap = min(held.end, order.layers.end) - max(
                held.first, order.layers.first
            )
            new -= max(0, overlap)
        load_ms = model.load_s * 1000 * new / model.layers
        until = now + round(load_ms * LOAD_FACTOR) + LOAD_SLACK_MS
        kept = orders_module.Holding(order.server, order.layers).sure
        if self._beliefs.moves.begin(order.server, kept):
            until += PASS_MS
            work = self._announce_and_order(order)
        else:
            work = self._order(order)
        self._pending[order.server.id] = Pending(
            order.layers, order.server.born, until
        )
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _announce_and_order(self, order: orders_module.Order) -> None:
        """Give an order when peers know what it makes the engine refuse."""
        await asyncio.sleep(ANNOUNCE_MS / _MS_PER_S)
        await self._order(order)

    async def _order(self, order: orders_module.Order) -> None:
        """Give one order, under the count of those that the engine began.

        An order without an answer may be carried out seconds later, after
        newer ones, and undo them; the count makes the engine refuse it
        once another order was begun.
        """
        server = order.server
        count = self._orders.get(server.id)
        if count is None and server.layers is None:
            # Most engines have begun none; one that has refuses this.
            count = 0
        if count is None:
            count = await self._ask_count(server)
        if count is None:
            self._forget_order(server.id)
            return
        if not self._may_lead():
            return
        self.given += 1
        result = await self._servers.place(server, order.layers, count)
        logger.info(
            'order_given',
            server=server.id,
            layers=f'{order.layers.first}-{order.layers.end}',
            reason=order.reason,
            result=result.value,
            count=count,
        )
        if result is ports.OrderResult.BEGUN:
            self._orders[server.id] = count + 1
        elif result is not ports.OrderResult.DONE:
            # It may have begun this order or another one since.
            self._orders.pop(server.id, None)
            self._busy_until[server.id] = self._clock.now() + CONFLICT_MS
            await self._ask_count(server)
            self._forget_order(server.id)

    async def _ask_count(self, server: fleet.Server) -> int | None:
        """Ask an engine how many orders it has begun, and remember it."""
        asked_at = self._clock.now()
        report = await self._servers.ask_report(server)
        if report is None:
            self._beliefs.note_silence(server.id, asked_at, self._clock.now())
            return None
        if None not in {server.born, report.born} and (
            server.born != report.born
        ):
            logger.info(
                'engine_restarted',
                server=server.id,
                listed=server.born,
                reported=report.born,
            )
            return None
        self._orders[server.id] = report.orders
        return report.orders
