"""Planning of the next orders that bring the engines towards their layout.

Coverage gaps come first: while a domain lacks a layer, other domains have to
serve all its requests. Neighbours with spare memory extend over a gap at once,
before any range moves: a few layers load in under a second, while a whole
range takes several. If two neighbours do not have the memory, the few engines
beside the gap shift. If they do not have it either, all engines of the domain
change to their planned ranges in one step, provided that another domain serves
in the meantime.

Ranges that are merely out of place move later, once the engines of the domain
have not changed for a while. Only a few move at a time, in one domain, and a
layer never loses its last engine.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import messages as fleet
from thornspool.domain.placement import layout
from thornspool.domain.placement import moving
from thornspool.domain.placement import orders as orders_module
from thornspool.domain.placement import shifting

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

MAX_MOVES = 6
"""Maximum number of ranges moved at once in one domain; the store of weights
serves six loads at full speed."""

MAX_BALANCING_MOVES = 3
"""Maximum number of ranges moved at once in all domains while no layer is
missing.

Layers that an engine unloads first have to complete the requests that use
them. More moves at once would leave too few engines that accept requests.
"""

BALANCED_SHARE = 0.75
"""Share of the capacity of the best layout from which the ranges of a domain
stay where they are: a quarter more capacity is not worth the moves."""

STABLE_PERIOD_MS = 5_000
"""Time without a change of a domain's engines after which ranges move to their
planned place.

A crashed engine is back after about 4 s, and its return would undo the moves
that its loss had caused. In each move the engine refuses requests for the
layers that it unloads, and further orders until the last of these requests is
complete.
"""


def plan_orders(
    holdings: Sequence[orders_module.Holding],
    model: fleet.Model,
    stable: typing.Container[str] = (),
) -> list[orders_module.Order]:
    """Plan the next orders for all failure domains.

    Parameters
    ----------
    holdings : sequence of orders_module.Holding
        Live engines that are not draining, with their orders in progress.
    model : fleet.Model
        Sizes.
    stable : container of str, optional
        Domains whose engines have not changed for ``STABLE_PERIOD_MS``.

    Returns
    -------
    list of orders_module.Order
        At most one for each engine without an order in progress.
    """
    domains: dict[str, list[orders_module.Holding]] = {}
    for holding in holdings:
        domains.setdefault(holding.server.failure_domain, []).append(holding)
    complete = {
        name for name, local in domains.items() if _is_complete(local, model)
    }
    coverage = _FleetCoverage(holdings, model)
    plans = {
        name: _DomainPlan(local, model, coverage)
        for name, local in domains.items()
    }
    orders: list[orders_module.Order] = []
    for name in sorted(plans):
        chosen = plans[name].choose_orders(bool(complete - {name}))
        coverage.apply(chosen)
        orders.extend(chosen)
    if orders:
        return orders
    candidates = [plans[name] for name in sorted(complete) if name in stable]
    return _balance(candidates, _count_pending(holdings))


def plan_entrances(
    holdings: Sequence[orders_module.Holding],
    model: fleet.Model,
    limited: typing.Container[str],
) -> list[orders_module.Order]:
    """Plan orders for domains whose first engines accept few requests.

    An engine with a limit on requests still runs its layers for paths that
    begin elsewhere. A neighbour with spare memory extends over these layers,
    so that paths of the domain can begin there. No engine releases layers.

    Parameters
    ----------
    holdings : sequence of orders_module.Holding
        Live engines that are not draining, with their orders in progress.
    model : fleet.Model
        Sizes.
    limited : container of str
        Engines that accept too few requests for their domain.

    Returns
    -------
    list of orders_module.Order
        At most one for each domain.
    """
    domains: dict[str, list[orders_module.Holding]] = {}
    for holding in holdings:
        if holding.server.id not in limited and holding.expected is not None:
            domains.setdefault(holding.server.failure_domain, []).append(
                holding
            )
    orders: list[orders_module.Order] = []
    for name in sorted(domains):
        first_end = min(
            held.first
            for held in (one.expected for one in domains[name])
            if held is not None
        )
        if first_end > 0:
            gap = fleet.LayerRange(0, first_end)
            orders.extend(_extend_over(gap, domains[name], set(), model) or ())
    return orders


def _count_pending(holdings: Iterable[orders_module.Holding]) -> int:
    return sum(holding.pending is not None for holding in holdings)


def _balance(
    plans: Iterable[_DomainPlan], pending_count: int
) -> list[orders_module.Order]:
    """Move a few ranges in the domain that gains most capacity."""
    max_moves = MAX_BALANCING_MOVES - pending_count
    if max_moves <= 0:
        return []
    balances = [
        (plan.measure_balance(), number, plan)
        for number, plan in enumerate(plans)
    ]
    for balance, _, plan in sorted(balances, key=lambda item: item[:2]):
        orders = (
            plan.move_ranges(max_moves) if balance < BALANCED_SHARE else []
        )
        if orders:
            return orders
    return []


def _is_complete(
    holdings: Iterable[orders_module.Holding], model: fleet.Model
) -> bool:
    """Return whether engines retain every layer during their orders."""
    retained = [holding.retained for holding in holdings]
    ranges = [held for held in retained if held is not None]
    return not orders_module.find_coverage_gaps(ranges, model.layers)


class _FleetCoverage:
    """Layers that the engines of all domains retain during their orders.

    Paths may cross domains if no domain is complete. If each domain were
    planned separately, several would unload the same layers at the same time,
    and requests would find no path until the loads are complete.
    """

    def __init__(
        self, holdings: Iterable[orders_module.Holding], model: fleet.Model
    ) -> None:
        self._layers = model.layers
        self._retained = {
            holding.server.id: holding.retained for holding in holdings
        }

    @property
    def is_complete(self) -> bool:
        """Whether some engine of the fleet retains every layer."""
        return not self._find_gaps(self._retained)

    def allows(self, orders: Iterable[orders_module.Order]) -> bool:
        """Return whether every layer keeps an engine during some orders."""
        after = {**self._retained, **self._find_retained(orders)}
        return self._find_gaps(after) == self._find_gaps(self._retained)

    def apply(self, orders: Iterable[orders_module.Order]) -> None:
        """Record planned orders, for the domains that are planned next."""
        self._retained.update(self._find_retained(orders))

    def _find_retained(
        self, orders: Iterable[orders_module.Order]
    ) -> dict[str, fleet.LayerRange | None]:
        return {
            order.server.id: orders_module.Holding(
                order.server, order.layers
            ).retained
            for order in orders
        }

    def _find_gaps(
        self, retained: dict[str, fleet.LayerRange | None]
    ) -> list[fleet.LayerRange]:
        ranges = [held for held in retained.values() if held is not None]
        return orders_module.find_coverage_gaps(ranges, self._layers)


class _DomainPlan:
    """Planned layout of one domain, and the orders that lead to it."""

    def __init__(
        self,
        holdings: list[orders_module.Holding],
        model: fleet.Model,
        coverage: _FleetCoverage,
    ) -> None:
        self._holdings = holdings
        self._model = model
        self._coverage = coverage
        self._planned = _plan_ranges(holdings, model)

    def choose_orders(self, others_serve: bool) -> list[orders_module.Order]:
        """Choose the orders that fill empty engines and close gaps.

        Parameters
        ----------
        others_serve : bool
            Whether another domain is complete.
        """
        if not self._planned:
            return []
        placed = _fill_empty_engines(self._holdings, self._planned)
        held = [
            holding.expected
            for holding in self._holdings
            if holding.expected is not None
        ]
        gaps = [
            gap
            for gap in orders_module.find_coverage_gaps(
                held, self._model.layers
            )
            if not _is_covered_by(gap, placed)
        ]
        if not held or not gaps:
            return placed
        extended = _close_gaps(gaps, self._holdings, placed, self._model)
        if extended is not None:
            return [*extended, *placed]
        shifted = _shift_engines(gaps, self._holdings, placed, self._model)
        if shifted and (others_serve or self._coverage.allows(shifted)):
            return [*shifted, *placed]
        if others_serve:
            return [*_move_at_once(self._holdings, self._planned), *placed]
        orders = [*self.move_ranges(MAX_MOVES), *placed]
        if orders or self._coverage.is_complete or self._has_pending():
            return orders
        # No domain serves, and no safe move is possible. Without an unsafe
        # one, the model would have no path until an engine joins.
        return shifted or _move_at_once(self._holdings, self._planned)

    def move_ranges(self, max_moves: int) -> list[orders_module.Order]:
        """Move ranges towards their planned place without a coverage gap.

        Parameters
        ----------
        max_moves : int
            Maximum number of orders.
        """
        return moving.move_ranges(
            self._holdings, self._planned, self._model, max_moves
        )

    def measure_balance(self) -> float:
        """Return the current capacity as a share of the best layout's."""
        best = layout.count_concurrent_requests(
            [
                (holding.server.kind, self._planned[holding.server.id])
                for holding in self._holdings
                if holding.server.id in self._planned
            ],
            self._model,
        )
        if best <= 0:
            return 1.0
        held = [
            (holding.server.kind, holding.expected)
            for holding in self._holdings
            if holding.expected is not None
        ]
        return layout.count_concurrent_requests(held, self._model) / best

    def _has_pending(self) -> bool:
        return any(holding.pending is not None for holding in self._holdings)


def _plan_ranges(
    holdings: Sequence[orders_module.Holding], model: fleet.Model
) -> dict[str, fleet.LayerRange]:
    """Plan the range of each engine of a domain.

    Returns
    -------
    dict of str to fleet.LayerRange
        By engine; empty if the engines cannot hold a replica.
    """
    engines = [_apply_pending(holding) for holding in holdings]
    layer_counts = layout.choose_layer_counts(engines, model)
    if not layer_counts:
        return {}
    assignments: list[layout.Assignment] = []
    for group in layout.split_replicas(engines, layer_counts, model.layers):
        if sum(layer_counts[engine.id] for engine in group) < model.layers:
            continue
        ordered = layout.order_engines(group, layer_counts, model.layers)
        assignments.extend(
            layout.assign_ranges(ordered, layer_counts, model.layers)
        )
    return {one.server.id: one.layers for one in assignments}


def _move_at_once(
    holdings: Iterable[orders_module.Holding],
    planned: dict[str, fleet.LayerRange],
) -> list[orders_module.Order]:
    """Move all engines to their planned ranges, even if layers are missing."""
    return [
        orders_module.Order(holding.server, planned[holding.server.id], 'hole')
        for holding in holdings
        if holding.pending is None
        and holding.server.layers is not None
        and holding.server.id in planned
        and holding.server.layers != planned[holding.server.id]
    ]


def _apply_pending(holding: orders_module.Holding) -> fleet.Server:
    return attrs.evolve(holding.server, layers=holding.expected)


def _fill_empty_engines(
    holdings: Iterable[orders_module.Holding],
    planned: dict[str, fleet.LayerRange],
) -> list[orders_module.Order]:
    return [
        orders_module.Order(
            holding.server, planned[holding.server.id], 'empty'
        )
        for holding in holdings
        if holding.expected is None and holding.server.id in planned
    ]


def _close_gaps(
    gaps: Iterable[fleet.LayerRange],
    holdings: Sequence[orders_module.Holding],
    placed: list[orders_module.Order],
    model: fleet.Model,
) -> list[orders_module.Order] | None:
    """Extend neighbours over gaps; None if they do not have the memory."""
    extended: list[orders_module.Order] = []
    ordered = {order.server.id for order in placed}
    for gap in gaps:
        orders = _extend_over(gap, holdings, ordered, model)
        if orders is None:
            return None
        extended.extend(orders)
    return extended


def _shift_engines(
    gaps: Iterable[fleet.LayerRange],
    holdings: Iterable[orders_module.Holding],
    placed: list[orders_module.Order],
    model: fleet.Model,
) -> list[orders_module.Order]:
    """Shift the few engines beside gaps; empty if that cannot close them."""
    ordered = {order.server.id for order in placed}
    available = {
        holding.server.id: holding.server
        for holding in holdings
        if holding.pending is None
        and holding.server.layers is not None
        and holding.server.id not in ordered
    }
    ranges = shifting.shift_over(gaps, list(available.values()), model)
    return [
        orders_module.Order(available[name], layers, 'hole')
        for name, layers in (ranges or {}).items()
    ]


def _is_covered_by(
    gap: fleet.LayerRange, orders: list[orders_module.Order]
) -> bool:
    """Return whether orders load every layer of a gap."""
    ranges = [order.layers for order in orders]
    clipped = [
        fleet.LayerRange(max(one.first, gap.first), min(one.end, gap.end))
        for one in ranges
        if one.first < gap.end and gap.first < one.end
    ]
    shifted = [
        fleet.LayerRange(one.first - gap.first, one.end - gap.first)
        for one in clipped
    ]
    return not orders_module.find_coverage_gaps(shifted, gap.count)


def _extend_over(
    gap: fleet.LayerRange,
    holdings: Sequence[orders_module.Holding],
    ordered: set[str],
    model: fleet.Model,
) -> list[orders_module.Order] | None:
    """Extend the neighbours of one gap over it.

    Parameters
    ----------
    gap : fleet.LayerRange
        Layers that no engine of the domain holds.
    holdings : sequence of orders_module.Holding
        Engines of the domain.
    ordered : set of str
        Engines that already get another order; those of the result are added.
    model : fleet.Model
        Sizes.

    Returns
    -------
    list of orders_module.Order or None
        None if the neighbours do not have enough memory.
    """
    if _has_pending_neighbour(gap, holdings):
        # A neighbour has an order in progress. The gap is planned again when
        # that order is complete.
        return []
    available = [
        holding
        for holding in holdings
        if holding.pending is None
        and holding.server.layers is not None
        and holding.server.id not in ordered
    ]
    below = _choose_neighbour(
        available, model, lambda held: held.end, gap.first
    )
    above = _choose_neighbour(
        available, model, lambda held: held.first, gap.end
    )
    spare_below = _count_spare_layers(below, model)
    spare_above = _count_spare_layers(above, model)
    if spare_below + spare_above < gap.count:
        return None
    share = gap.count * spare_below / (spare_below + spare_above)
    lower_count = min(spare_below, max(gap.count - spare_above, round(share)))
    orders = []
    if below is not None and lower_count > 0:
        held = _get_range(below)
        extended = fleet.LayerRange(held.first, gap.first + lower_count)
        orders.append(orders_module.Order(below.server, extended, 'hole'))
    if above is not None and lower_count < gap.count:
        held = _get_range(above)
        extended = fleet.LayerRange(gap.first + lower_count, held.end)
        orders.append(orders_module.Order(above.server, extended, 'hole'))
    ordered.update(order.server.id for order in orders)
    return orders


def _has_pending_neighbour(
    gap: fleet.LayerRange, holdings: Iterable[orders_module.Holding]
) -> bool:
    """Return whether an order in progress leads to the edge of a gap."""
    return any(
        holding.pending is not None
        and (
            holding.pending.end == gap.first
            or holding.pending.first == gap.end
        )
        for holding in holdings
    )


def _get_range(holding: orders_module.Holding) -> fleet.LayerRange:
    held = holding.server.layers
    assert held is not None
    return held


def _choose_neighbour(
    available: Sequence[orders_module.Holding],
    model: fleet.Model,
    get_edge: typing.Callable[[fleet.LayerRange], int],
    edge: int,
) -> orders_module.Holding | None:
    """Choose the engine at an edge of a gap with the most spare memory.

    Parameters
    ----------
    available : sequence of orders_module.Holding
        Engines that hold layers and have no order.
    model : fleet.Model
        Sizes.
    get_edge : callable
        Returns the end of a range that must meet the edge of the gap.
    edge : int
        Layer of the edge.
    """
    adjacent = [
        holding
        for holding in available
        if get_edge(_get_range(holding)) == edge
    ]
    if not adjacent:
        return None
    return max(
        adjacent,
        key=lambda holding: (
            _count_spare_layers(holding, model),
            holding.server.id,
        ),
    )


def _count_spare_layers(
    holding: orders_module.Holding | None, model: fleet.Model
) -> int:
    """Count the layers that an engine can load in addition to its range."""
    if holding is None:
        return 0
    return max(
        0,
        layout.count_layers(
            holding.server.kind, model, layout.MIN_CAPACITY_REQUESTS
        )
        - _get_range(holding).count,
    )
