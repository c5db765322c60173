"""The next orders that bring the engines towards their layout.

Holes first: layers that no engine of a domain holds make every request of
that domain go elsewhere. Neighbours with memory to spare extend over a hole
at once, before anything is moved: a few layers load in under a second,
while a whole range takes several. Where two neighbours have not the memory,
the few engines beside the hole shift; where they have not, all engines of the
domain go to their places in one step, as long as another domain serves
meanwhile. Ranges that are only out of place move later, when
the engines of the domain have not changed for a while, and never so that a
layer loses its last holder.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import messages as fleet
from thornspool.domain.placement import layout
from thornspool.domain.placement import shifting

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

MIN_ROOM_REQUESTS = 6
"""Usual requests for which an extended engine must keep room.

With less room a mended domain takes so few requests that the load of the
layers is not worth its time.
"""

MAX_MOVES = 6
"""Ranges moved at once in one domain; the store of weights serves six loads
at full speed."""

SETTLED_DIFFERENCE = 2
"""Layers by which a range may miss its place without being moved.

A move of one layer costs an order and a load and gains nothing that a
request would notice.
"""

STEADY_MS = 5_000
"""Time without a change after which ranges are moved to their places.

A crashed engine is back some 4 s later, and would undo the moves that its
loss had caused; each of them makes an engine refuse requests for the layers
that it gives up, and orders until the last of these has passed.
"""


@attrs.frozen
class Order:
    """An engine is to hold a range."""

    server: fleet.Server
    layers: fleet.LayerRange
    reason: str


@attrs.frozen
class Holding:
    """What an engine holds or will hold when its order is done.

    Attributes
    ----------
    server : fleet.Server
        The engine as listed.
    wanted : fleet.LayerRange or None
        Range of an order that is in progress.
    """

    server: fleet.Server
    wanted: fleet.LayerRange | None = None

    @property
    def sure(self) -> fleet.LayerRange | None:
        """Layers that it holds now and will still hold after its order."""
        held = self.server.layers
        if held is None or self.wanted is None:
            return held
        first = max(held.first, self.wanted.first)
        end = min(held.end, self.wanted.end)
        return fleet.LayerRange(first, end) if first < end else None

    @property
    def expected(self) -> fleet.LayerRange | None:
        """Layers that it holds once its order is done."""
        return self.wanted or self.server.layers


def plan_orders(
    holdings: Sequence[Holding],
    model: fleet.Model,
    steady: typing.Container[str] = (),
) -> list[Order]:
    """Plan the next orders for all failure domains.

    Parameters
    ----------
    holdings : sequence of Holding
        Live engines that stay, with their orders in progress.
    model : fleet.Model
        Sizes.
    steady : container of str, optional
        Domains whose engines have not changed for ``STEADY_MS``.

    Returns
    -------
    list of Order
        At most one for each engine without an order in progress.
    """
    domains: dict[str, list[Holding]] = {}
    for one in holdings:
        domains.setdefault(one.server.failure_domain, []).append(one)
    whole = {
        name for name, found in domains.items() if _is_whole(found, model)
    }
    kept = _Kept(holdings, model)
    orders: list[Order] = []
    for name in sorted(domains):
        plan = _DomainPlan(domains[name], model, kept)
        chosen = plan.choose(bool(whole - {name}), name in steady)
        kept.note(chosen)
        orders.extend(chosen)
    return orders


def _is_whole(holdings: Iterable[Holding], model: fleet.Model) -> bool:
    sure = [one.sure for one in holdings]
    held = [one for one in sure if one is not None]
    return not find_holes(held, model.layers)


class _Kept:
    """Layers that engines of any domain hold and will still hold.

    Paths may cross domains where none is whole. Planned one by one, domains
    gave up the same layers at the same time, and requests found no path
    for as long as the loads took.
    """

    def __init__(
        self, holdings: Iterable[Holding], model: fleet.Model
    ) -> None:
        self._layers = model.layers
        self._sure = {one.server.id: one.sure for one in holdings}

    @property
    def is_whole(self) -> bool:
        """Whether every layer is held somewhere."""
        return not self._find_holes(self._sure)

    def allows(self, orders: Iterable[Order]) -> bool:
        """Tell whether no layer loses its last holder by some orders."""
        after = {**self._sure, **self._find_left(orders)}
        return self._find_holes(after) == self._find_holes(self._sure)

    def note(self, orders: Iterable[Order]) -> None:
        """Note orders that are given."""
        self._sure.update(self._find_left(orders))

    def _find_left(
        self, orders: Iterable[Order]
    ) -> dict[str, fleet.LayerRange | None]:
        return {
            one.server.id: Holding(one.server, one.layers).sure
            for one in orders
        }

    def _find_holes(
        self, sure: dict[str, fleet.LayerRange | None]
    ) -> list[fleet.LayerRange]:
        held = [one for one in sure.values() if one is not None]
        return find_holes(held, self._layers)


class _DomainPlan:
    """What the engines of one domain should hold."""

    def __init__(
        self, holdings: list[Holding], model: fleet.Model, kept: _Kept
    ) -> None:
        self._holdings = holdings
        self._model = model
        self._kept = kept
        self._wanted = _find_wanted(holdings, model)

    def choose(self, others_serve: bool, steady: bool) -> list[Order]:
        """Choose the next orders."""
        if not self._wanted:
            return []
        placed = _place_empty(self._holdings, self._wanted)
        held = [
            one.expected for one in self._holdings if one.expected is not None
        ]
        holes = [
            hole
            for hole in find_holes(held, self._model.layers)
            if not _is_filled_soon(hole, placed)
        ]
        if not held or not holes:
            if placed or not steady:
                return placed
            return _move_ranges(self._holdings, self._wanted, self._model)
        filled = _fill_holes(holes, self._holdings, placed, self._model)
        if filled is not None:
            return [*filled, *placed]
        shifted = _shift_engines(holes, self._holdings, placed, self._model)
        if shifted and (others_serve or self._kept.allows(shifted)):
            return [*shifted, *placed]
        if others_serve:
            return [*_jump(self._holdings, self._wanted), *placed]
        moves = _move_ranges(self._holdings, self._wanted, self._model)
        orders = [*moves, *placed]
        if orders or self._kept.is_whole or self._is_busy():
            return orders
        # Nobody is served, and no safe move is left: waiting on would leave
        # the model without a path until an engine joins.
        return shifted or _jump(self._holdings, self._wanted)

    def _is_busy(self) -> bool:
        return any(one.wanted is not None for one in self._holdings)


def _find_wanted(
    holdings: Sequence[Holding], model: fleet.Model
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
    holdings: Iterable[Holding], wanted: dict[str, fleet.LayerRange]
) -> list[Order]:
    """Send every engine to its place, whatever layers are missing then."""
    return [
        Order(one.server, wanted[one.server.id], 'hole')
        for one in holdings
        if one.wanted is None
        and one.server.layers is not None
        and one.server.id in wanted
        and one.server.layers != wanted[one.server.id]
    ]


def _as_expected(one: Holding) -> fleet.Server:
    return attrs.evolve(one.server, layers=one.expected)


def _place_empty(
    holdings: Iterable[Holding], wanted: dict[str, fleet.LayerRange]
) -> list[Order]:
    return [
        Order(one.server, wanted[one.server.id], 'empty')
        for one in holdings
        if one.expected is None and one.server.id in wanted
    ]


def find_holes(
    ranges: Iterable[fleet.LayerRange], layers: int
) -> list[fleet.LayerRange]:
    """Find the layers that no range covers."""
    holes = []
    at = 0
    for one in sorted(ranges):
        if one.first > at:
            holes.append(fleet.LayerRange(at, one.first))
        at = max(at, one.end)
    if at < layers:
        holes.append(fleet.LayerRange(at, layers))
    return holes


def _fill_holes(
    holes: Iterable[fleet.LayerRange],
    holdings: Sequence[Holding],
    placed: list[Order],
    model: fleet.Model,
) -> list[Order] | None:
    """Extend neighbours over holes; None where they have not the memory."""
    filled: list[Order] = []
    taken = {order.server.id for order in placed}
    for hole in holes:
        orders = _extend_over(hole, holdings, taken, model)
        if orders is None:
            return None
        filled.extend(orders)
    return filled


def _shift_engines(
    holes: Iterable[fleet.LayerRange],
    holdings: Iterable[Holding],
    placed: list[Order],
    model: fleet.Model,
) -> list[Order]:
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
        Order(free[name], layers, 'hole')
        for name, layers in (ranges or {}).items()
    ]


def _is_filled_soon(hole: fleet.LayerRange, orders: list[Order]) -> bool:
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
    return not find_holes(shifted, hole.count)


def _extend_over(
    hole: fleet.LayerRange,
    holdings: Sequence[Holding],
    taken: set[str],
    model: fleet.Model,
) -> list[Order] | None:
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
        orders.append(Order(below.server, wide, 'hole'))
    if above is not None and up < hole.count:
        held = _held(above)
        wide = fleet.LayerRange(hole.first + up, held.end)
        orders.append(Order(above.server, wide, 'hole'))
    taken.update(order.server.id for order in orders)
    return orders


def _waits_beside(hole: fleet.LayerRange, holdings: Iterable[Holding]) -> bool:
    return any(
        one.wanted is not None
        and (one.wanted.end == hole.first or one.wanted.first == hole.end)
        for one in holdings
    )


def _held(one: Holding) -> fleet.LayerRange:
    held = one.server.layers
    assert held is not None
    return held


def _choose_neighbour(
    free: Sequence[Holding],
    model: fleet.Model,
    read_edge: typing.Callable[[fleet.LayerRange], int],
    edge: int,
) -> Holding | None:
    """Choose the holder of an edge of a hole with most memory to spare."""
    beside = [one for one in free if read_edge(_held(one)) == edge]
    if not beside:
        return None
    return max(
        beside, key=lambda one: (_count_spare(one, model), one.server.id)
    )


def _count_spare(one: Holding | None, model: fleet.Model) -> int:
    """Count the layers that an engine can load beside what it holds."""
    if one is None:
        return 0
    return max(
        0,
        layout.count_layers(one.server.kind, model, MIN_ROOM_REQUESTS)
        - _held(one).count,
    )


def _move_ranges(
    holdings: Sequence[Holding],
    wanted: dict[str, fleet.LayerRange],
    model: fleet.Model,
) -> list[Order]:
    """Move ranges that are out of place while others cover their layers."""
    orders: list[Order] = []
    sure = {one.server.id: one.sure for one in holdings}
    by_distance = sorted(
        (one for one in holdings if one.wanted is None),
        key=lambda one: -_measure_distance(one, wanted),
    )
    for one in by_distance:
        target = wanted.get(one.server.id)
        if target is None or len(orders) >= MAX_MOVES:
            continue
        if _measure_distance(one, wanted) <= SETTLED_DIFFERENCE:
            continue
        step = _choose_step(one, target, sure, model)
        if step is None or step == one.server.layers:
            continue
        orders.append(Order(one.server, step, 'move'))
        sure[one.server.id] = Holding(one.server, step).sure
    return orders


def _measure_distance(
    one: Holding, wanted: dict[str, fleet.LayerRange]
) -> int:
    target = wanted.get(one.server.id)
    held = one.server.layers
    if target is None or held is None:
        return 0
    return abs(target.first - held.first) + abs(target.end - held.end)


def _choose_step(
    one: Holding,
    target: fleet.LayerRange,
    sure: dict[str, fleet.LayerRange | None],
    model: fleet.Model,
) -> fleet.LayerRange | None:
    """Choose a range between what is held and the target that is safe.

    What an engine gives up must be held by others. Where it is not, the
    engine first loads the new layers beside the old ones, if they fit.
    """
    held = _held(one)
    others = [
        found
        for name, found in sure.items()
        if name != one.server.id and found is not None
    ]
    kept = fleet.LayerRange(
        max(held.first, target.first), min(held.end, target.end)
    )
    after = [*others, kept] if kept.count > 0 else others
    if _covers(after, held):
        return target
    joined = fleet.LayerRange(
        min(held.first, target.first), max(held.end, target.end)
    )
    if joined.count <= layout.count_layers(
        one.server.kind, model, MIN_ROOM_REQUESTS
    ):
        return joined
    return None


def _covers(
    ranges: Iterable[fleet.LayerRange], needed: fleet.LayerRange
) -> bool:
    at = needed.first
    for one in sorted(ranges):
        if one.first > at:
            break
        at = max(at, one.end)
    return at >= needed.end
