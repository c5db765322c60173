"""Move ranges to their places without a gap.

What an engine gives up must be held by others all along, and what it takes
must fit beside what it keeps. So a range moves in steps: it drops at one end
what others hold by now, and grows at the other as far as its memory goes.
"""

from __future__ import annotations

import typing

from thornspool.domain.fleet import messages as fleet
from thornspool.domain.placement import layout
from thornspool.domain.placement import orders as orders_module

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

SETTLED_DIFFERENCE = 2
"""Layers by which a range that is not too long may miss its place.

A move of one layer costs an order and a load and gains nothing that a
request would notice. One layer too many counts: two of them halve the room
for requests on the smallest engines.
"""


def move_ranges(
    holdings: Sequence[orders_module.Holding],
    wanted: dict[str, fleet.LayerRange],
    model: fleet.Model,
    most: int,
) -> list[orders_module.Order]:
    """Plan the next steps of ranges that are out of place.

    Parameters
    ----------
    holdings : sequence of orders_module.Holding
        Engines of one failure domain.
    wanted : dict of str to fleet.LayerRange
        Their places.
    model : fleet.Model
        Sizes.
    most : int
        Most steps at once.
    """
    orders: list[orders_module.Order] = []
    sure = {one.server.id: one.sure for one in holdings}
    by_distance = sorted(
        (
            one
            for one in holdings
            if one.wanted is None
            and one.server.layers is not None
            and one.server.id in wanted
        ),
        key=lambda one: -_measure_distance(one, wanted[one.server.id]),
    )
    for one in by_distance:
        if len(orders) >= most:
            break
        target = wanted[one.server.id]
        if _is_settled(one, target):
            continue
        step = _choose_step(one, target, sure, model)
        if step != one.server.layers:
            orders.append(orders_module.Order(one.server, step, 'move'))
            sure[one.server.id] = orders_module.Holding(one.server, step).sure
    return orders


def _held(one: orders_module.Holding) -> fleet.LayerRange:
    held = one.server.layers
    assert held is not None
    return held


def _measure_distance(
    one: orders_module.Holding, target: fleet.LayerRange
) -> int:
    held = _held(one)
    return abs(target.first - held.first) + abs(target.end - held.end)


def _is_settled(one: orders_module.Holding, target: fleet.LayerRange) -> bool:
    if _held(one).count > target.count:
        return False
    return _measure_distance(one, target) <= SETTLED_DIFFERENCE


def _choose_step(
    one: orders_module.Holding,
    target: fleet.LayerRange,
    sure: dict[str, fleet.LayerRange | None],
    model: fleet.Model,
) -> fleet.LayerRange:
    """Choose the range nearest to the target that is safe and fits."""
    held = _held(one)
    others = [
        found
        for name, found in sure.items()
        if name != one.server.id and found is not None
    ]
    if orders_module.covers(others, held):
        return target
    first, end = held.first, held.end
    while first < min(target.first, end - 1) and orders_module.covers(
        others, fleet.LayerRange(held.first, first + 1)
    ):
        first += 1
    while end > max(target.end, first + 1) and orders_module.covers(
        others, fleet.LayerRange(end - 1, held.end)
    ):
        end -= 1
    most = layout.count_layers(
        one.server.kind, model, layout.MIN_ROOM_REQUESTS
    )
    end = max(end, min(target.end, first + most))
    first = min(first, max(target.first, end - most))
    return fleet.LayerRange(first, end)
