"""The next orders that bring the engines towards their layout.

Holes first: layers that no engine of a domain holds make every request of
that domain go elsewhere. Neighbours with memory to spare extend over a hole
at once, before anything is moved: a few layers load in under a second,
while a whole range takes several. Then ranges move towards the layout,
never so that a layer loses its last holder.
"""

from __future__ import annotations

import math
import typing

import attrs

from thornspool.domain.fleet import messages as fleet
from thornspool.domain.placement import layout

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

SETTLED_DIFFERENCE = 1
"""Layers by which a range may miss its place without being moved.

A move of one layer costs an order and a load and gains nothing that a
request would notice.
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
    holdings: Sequence[Holding], model: fleet.Model
) -> list[Order]:
    """Plan the next orders for all failure domains.

    Parameters
    ----------
    holdings : sequence of Holding
        Live engines that stay, with their orders in progress.
    model : fleet.Model
        Sizes.

    Returns
    -------
    list of Order
        At most one for each engine without an order in progress.
    """
    domains: dict[str, list[Holding]] = {}
    for one in holdings:
        domains.setdefault(one.server.failure_domain, []).append(one)
    orders: list[Order] = []
    for name in sorted(domains):
        orders.extend(_plan_domain(domains[name], model))
    return orders


def _plan_domain(
    holdings: list[Holding], model: fleet.Model
) -> list[Order]:
    engines = [_as_expected(one) for one in holdings]
    shares = layout.choose_shares(engines, model)
    if not shares:
        return []
    slots: list[layout.Slot] = []
    for group in layout.split_replicas(engines, shares, model.layers):
        if sum(shares[one.id] for one in group) < model.layers:
            continue
        ordered = layout.order_engines(group, shares, model.layers)
        slots.extend(layout.lay_out(ordered, shares, model.layers))
    wanted = {slot.server.id: slot.layers for slot in slots}
    orders = _place_empty(holdings, wanted)
    patched = _fill_holes(holdings, orders, model)
    if patched or orders:
        return [*patched, *orders]
    return _move_ranges(holdings, wanted, model)


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
    holdings: Sequence[Holding], orders: list[Order], model: fleet.Model
) -> list[Order]:
    """Extend neighbours over holes, unless a lighter order does it.

    An empty engine that is about to load the same layers counts as cover
    only when it loads no more than the neighbours would.
    """
    held = [one.expected for one in holdings if one.expected is not None]
    if not held:
        return []
    filled: list[Order] = []
    taken = {order.server.id for order in orders}
    for hole in find_holes(held, model.layers):
        if _is_filled_soon(hole, orders):
            continue
        filled.extend(_extend_over(hole, holdings, taken, model))
    return filled


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
) -> list[Order]:
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
        return []
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
    return max(0, count_most(one.server.kind, model) - _held(one).count)


def count_most(kind: str, model: fleet.Model) -> int:
    """Count the layers that leave a kind the least room for requests."""
    accelerator = model.accelerators.get(kind)
    if accelerator is None:
        return 0
    tokens = MIN_ROOM_REQUESTS * (model.usual_prompt + model.usual_answer)
    per_layer = model.layer_mb + tokens * model.layer_token_mb
    return min(model.layers, math.floor(accelerator.memory_mb / per_layer))


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
    if joined.count <= count_most(one.server.kind, model):
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
