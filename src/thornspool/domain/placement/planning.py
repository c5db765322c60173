"""The next orders that bring the engines towards their layout.

Holes first: layers that no engine of a domain holds make every request of
that domain go elsewhere. Neighbours with memory to spare extend over a hole
at once, before anything is moved: a few layers load in under a second,
while a whole range takes several. Where two neighbours have not the memory,
the few engines beside the hole shift; where they have not, all engines of the
domain go to their places in one step, as long as another domain serves
meanwhile. Ranges that are only out of place move later, when
the engines of the domain have not changed for a while, a few at a time in one
domain, and never so that a layer loses its last holder.
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
"""Ranges moved at once in one domain; the store of weights serves six loads
at full speed."""

MAX_BALANCING_MOVES = 3
"""Ranges moved at once, in all domains, where no layer is missing.

What an engine gives up waits for the requests that pass through it, and more
moves at once would leave too few engines that take requests.
"""

BALANCED_SHARE = 0.75
"""Share of the requests at once that the best layout would hold, from which
a domain is left as it is: a quarter more room is not worth the moves."""

STEADY_MS = 5_000
"""Time without a change after which ranges are moved to their places.

A crashed engine is back some 4 s later, and would undo the moves that its
loss had caused; each of them makes an engine refuse requests for the layers
that it gives up, and orders until the last of these has passed.
"""


def plan_orders(
    holdings: Sequence[orders_module.Holding],
    model: fleet.Model,
    steady: typing.Container[str] = (),
) -> list[orders_module.Order]:
    """Plan the next orders for all failure domains.

    Parameters
    ----------
    holdings : sequence of orders_module.Holding
        Live engines that stay, with their orders in progress.
    model : fleet.Model
        Sizes.
    steady : container of str, optional
        Domains whose engines have not changed for ``STEADY_MS``.

    Returns
    -------
    list of orders_module.Order
        At most one for each engine without an order in progress.
    """
    domains: dict[str, list[orders_module.Holding]] = {}
    for one in holdings:
        domains.setdefault(one.server.failure_domain, []).append(one)
    whole = {
        name for name, found in domains.items() if _is_whole(found, model)
    }
    kept = _Kept(holdings, model)
    plans = {
        name: _DomainPlan(found, model, kept)
        for name, found in domains.items()
    }
    orders: list[orders_module.Order] = []
    for name in sorted(plans):
        chosen = plans[name].choose(bool(whole - {name}))
        kept.note(chosen)
        orders.extend(chosen)
    if orders:
        return orders
    candidates = [plans[name] for name in sorted(whole) if name in steady]
    return _balance(candidates, _count_busy(holdings))


def _count_busy(holdings: Iterable[orders_module.Holding]) -> int:
    return sum(one.wanted is not None for one in holdings)


def _balance(
    plans: Iterable[_DomainPlan], busy: int
) -> list[orders_module.Order]:
    """Move a few ranges in the domain that gains most by it."""
    most = MAX_BALANCING_MOVES - busy
    if most <= 0:
        return []
    balances = [
        (plan.measure_balance(), number, plan)
        for number, plan in enumerate(plans)
    ]
    for balance, _, plan in sorted(balances, key=lambda one: one[:2]):
        orders = plan.move(most) if balance < BALANCED_SHARE else []
        if orders:
            return orders
    return []


def _is_whole(
    holdings: Iterable[orders_module.Holding], model: fleet.Model
) -> bool:
    sure = [one.sure for one in holdings]
    held = [one for one in sure if one is not None]
    return not orders_module.find_holes(held, model.layers)


class _Kept:
    """Layers that engines of any domain hold and will still hold.

    Paths may cross domains where none is whole. Planned one by one, domains
    gave up the same layers at the same time, and requests found no path
    for as long as the loads took.
    """

    def __init__(
        self, holdings: Iterable[orders_module.Holding], model: fleet.Model
    ) -> None:
        self._layers = model.layers
        self._sure = {one.server.id: one.sure for one in holdings}

    @property
    def is_whole(self) -> bool:
        """Whether every layer is held somewhere."""
        return not self._find_holes(self._sure)

    def allows(self, orders: Iterable[orders_module.Order]) -> bool:
        """Tell whether no layer loses its last holder by some orders."""
        after = {**self._sure, **self._find_left(orders)}
        return self._find_holes(after) == self._find_holes(self._sure)

    def note(self, orders: Iterable[orders_module.Order]) -> None:
        """Note orders that are given."""
        self._sure.update(self._find_left(orders))

    def _find_left(
        self, orders: Iterable[orders_module.Order]
    ) -> dict[str, fleet.LayerRange | None]:
        return {
            one.server.id: orders_module.Holding(one.server, one.layers).sure
            for one in orders
        }

    def _find_holes(
        self, sure: dict[str, fleet.LayerRange | None]
    ) -> list[fleet.LayerRange]:
        held = [one for one in sure.values() if one is not None]
        return orders_module.find_holes(held, self._layers)


class _DomainPlan:
    """What the engines of one domain should hold."""

    def __init__(
        self,
        holdings: list[orders_module.Holding],
        model: fleet.Model,
        kept: _Kept,
    ) -> None:
        self._holdings = holdings
        self._model = model
        self._kept = kept
        self._wanted = _find_wanted(holdings, model)

    def choose(self, others_serve: bool) -> list[orders_module.Order]:
        """Choose the orders that fill empty engines and close holes."""
        if not self._wanted:
            return []
        placed = _place_empty(self._holdings, self._wanted)
        held = [
            one.expected for one in self._holdings if one.expected is not None
        ]
        holes = [
            hole
            for hole in orders_module.find_holes(held, self._model.layers)
            if not _is_filled_soon(hole, placed)
        ]
        if not held or not holes:
            return placed
        filled = _fill_holes(holes, self._holdings, placed, self._model)
        if filled is not None:
            return [*filled, *placed]
        shifted = _shift_engines(holes, self._holdings, placed, self._model)
        if shifted and (others_serve or self._kept.allows(shifted)):
            return [*shifted, *placed]
        if others_serve:
            return [*_jump(self._holdings, self._wanted), *placed]
        orders = [*self.move(MAX_MOVES), *placed]
        if orders or self._kept.is_whole or self._is_busy():
            return orders
        # Nobody is served, and no safe move is left: waiting on would leave
        # the model without a path until an engine joins.
        return shifted or _jump(self._holdings, self._wanted)

    def move(self, most: int) -> list[orders_module.Order]:
        """Move ranges towards their places while others cover them."""
        return moving.move_ranges(
            self._holdings, self._wanted, self._model, most
        )

    def measure_balance(self) -> float:
        """Return the requests at once held now against the best layout's."""
        best = layout.count_at_once(
            [
                (one.server.kind, self._wanted[one.server.id])
                for one in self._holdings
                if one.server.id in self._wanted
            ],
            self._model,
        )
        if best <= 0:
            return 1.0
        held = [
            (one.server.kind, one.expected)
            for one in self._holdings
            if one.expected is not None
        ]
        return layout.count_at_once(held, self._model) / best

    def _is_busy(self) -> bool:
        return any(one.wanted is not None for one in self._holdings)


def _find_wanted(
    holdings: Sequence[orders_module.Holding], model: fleet.Model
) -> dict[str, fleet.LayerRange]:
    """Find the range that each engine of a domain should hold."""
    engines = [_as_expected(one) for one in holdings]
    shares = layout.choose_shares(engines, model)
    if not shares:
        return {}
    slots: list[layout.Slot] = []
    for group in layout.split_replicas(engines, shares, model.layers):
        if sum(shares[one.id] for one in group) < model.layers:
            continue
        ordered = layout.order_engines(group, shares, model.layers)
        slots.extend(layout.lay_out(ordered, shares, model.layers))
    return {slot.server.id: slot.layers for slot in slots}


def _jump(
    holdings: Iterable[orders_module.Holding],
    wanted: dict[str, fleet.LayerRange],
) -> list[orders_module.Order]:
    """Send every engine to its place, whatever layers are missing then."""
    return [
        orders_module.Order(one.server, wanted[one.server.id], 'hole')
        for one in holdings
        if one.wanted is None
        and one.server.layers is not None
        and one.server.id in wanted
        and one.server.layers != wanted[one.server.id]
    ]


def _as_expected(one: orders_module.Holding) -> fleet.Server:
    return attrs.evolve(one.server, layers=one.expected)


def _place_empty(
    holdings: Iterable[orders_module.Holding],
    wanted: dict[str, fleet.LayerRange],
) -> list[orders_module.Order]:
    return [
        orders_module.Order(one.server, wanted[one.server.id], 'empty')
        for one in holdings
        if one.expected is None and one.server.id in wanted
    ]


def _fill_holes(
    holes: Iterable[fleet.LayerRange],
    holdings: Sequence[orders_module.Holding],
    placed: list[orders_module.Order],
    model: fleet.Model,
) -> list[orders_module.Order] | None:
    """Extend neighbours over holes; None where they have not the memory."""
    filled: list[orders_module.Order] = []
    taken = {order.server.id for order in placed}
    for hole in holes:
        orders = _extend_over(hole, holdings, taken, model)
        if orders is None:
            return None
        filled.extend(orders)
    return filled


def _shift_engines(
    holes: Iterable[fleet.LayerRange],
    holdings: Iterable[orders_module.Holding],
    placed: list[orders_module.Order],
    model: fleet.Model,
) -> list[orders_module.Order]:
    """Shift the few engines beside holes; nothing where that can't close."""
    taken = {order.server.id for order in placed}
    free = {
        one.server.id: one.server
        for one in holdings
        if one.wanted is None
        and one.server.layers is not None
        and one.server.id not in taken
    }
    ranges = shifting.shift_over(holes, list(free.values()), model)
    return [
        orders_module.Order(free[name], layers, 'hole')
        for name, layers in (ranges or {}).items()
    ]


def _is_filled_soon(
    hole: fleet.LayerRange, orders: list[orders_module.Order]
) -> bool:
    ranges = [order.layers for order in orders]
    clipped = [
        fleet.LayerRange(max(one.first, hole.first), min(one.end, hole.end))
        for one in ranges
        if one.first < hole.end and hole.first < one.end
    ]
    shifted = [
        fleet.LayerRange(one.first - hole.first, one.end - hole.first)
        for one in clipped
    ]
    return not orders_module.find_holes(shifted, hole.count)


def _extend_over(
    hole: fleet.LayerRange,
    holdings: Sequence[orders_module.Holding],
    taken: set[str],
    model: fleet.Model,
) -> list[orders_module.Order] | None:
    if _waits_beside(hole, holdings):
        # A neighbour is busy with an order; the hole is looked at again
        # when it is done.
        return []
    free = [
        one
        for one in holdings
        if one.wanted is None
        and one.server.layers is not None
        and one.server.id not in taken
    ]
    below = _choose_neighbour(free, model, lambda held: held.end, hole.first)
    above = _choose_neighbour(free, model, lambda held: held.first, hole.end)
    room_below = _count_spare(below, model)
    room_above = _count_spare(above, model)
    if room_below + room_above < hole.count:
        return None
    share = hole.count * room_below / (room_below + room_above)
    up = min(room_below, max(hole.count - room_above, round(share)))
    orders = []
    if below is not None and up > 0:
        held = _held(below)
        wide = fleet.LayerRange(held.first, hole.first + up)
        orders.append(orders_module.Order(below.server, wide, 'hole'))
    if above is not None and up < hole.count:
        held = _held(above)
        wide = fleet.LayerRange(hole.first + up, held.end)
        orders.append(orders_module.Order(above.server, wide, 'hole'))
    taken.update(order.server.id for order in orders)
    return orders


def _waits_beside(
    hole: fleet.LayerRange, holdings: Iterable[orders_module.Holding]
) -> bool:
    return any(
        one.wanted is not None
        and (one.wanted.end == hole.first or one.wanted.first == hole.end)
        for one in holdings
    )


def _held(one: orders_module.Holding) -> fleet.LayerRange:
    held = one.server.layers
    assert held is not None
    return held


def _choose_neighbour(
    free: Sequence[orders_module.Holding],
    model: fleet.Model,
    read_edge: typing.Callable[[fleet.LayerRange], int],
    edge: int,
) -> orders_module.Holding | None:
    """Choose the holder of an edge of a hole with most memory to spare."""
    beside = [one for one in free if read_edge(_held(one)) == edge]
    if not beside:
        return None
    return max(
        beside, key=lambda one: (_count_spare(one, model), one.server.id)
    )


def _count_spare(one: orders_module.Holding | None, model: fleet.Model) -> int:
    """Count the layers that an engine can load beside what it holds."""
    if one is None:
        return 0
    return max(
        0,
        layout.count_layers(one.server.kind, model, layout.MIN_ROOM_REQUESTS)
        - _held(one).count,
    )
