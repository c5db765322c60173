"""Movement of ranges to their planned place without a coverage gap.

Other engines must hold the layers that an engine unloads during the whole
move, and the layers that it loads must fit beside those that it retains. A
range therefore moves in steps: at one end it unloads layers that others hold,
and at the other it grows as far as the memory allows.
"""

from __future__ import annotations

import typing

from thornspool.domain.fleet import messages as fleet
from thornspool.domain.placement import layout
from thornspool.domain.placement import orders as orders_module

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

TOLERATED_DISTANCE_LAYERS = 2
"""Distance from its planned place at which a range stays where it is, unless
it is too long.

A move by one layer costs an order and a load, and has no effect that a request
would notice. A range that is too long by only one layer does move, because two
extra layers halve the memory for requests on the smallest engines.
"""


def move_ranges(
    holdings: Sequence[orders_module.Holding],
    planned: dict[str, fleet.LayerRange],
    model: fleet.Model,
    max_moves: int,
) -> list[orders_module.Order]:
    """Plan the next steps of ranges that are not at their planned place.

    Parameters
    ----------
    holdings : sequence of orders_module.Holding
        Engines of one failure domain.
    planned : dict of str to fleet.LayerRange
        Planned ranges by engine.
    model : fleet.Model
        Sizes.
    max_moves : int
        Maximum number of orders.

    Returns
    -------
    list of orders_module.Order
        Ranges that are furthest from their place come first.
    """
    orders: list[orders_module.Order] = []
    retained = {holding.server.id: holding.retained for holding in holdings}
    furthest_first = sorted(
        (
            holding
            for holding in holdings
            if holding.pending is None
            and holding.server.layers is not None
            and holding.server.id in planned
        ),
        key=lambda holding: (
            -_measure_distance(holding, planned[holding.server.id])
        ),
    )
    for holding in furthest_first:
        if len(orders) >= max_moves:
            break
        final = planned[holding.server.id]
        if _is_in_place(holding, final):
            continue
        step = _choose_step(holding, final, retained, model)
        if step != holding.server.layers:
            orders.append(orders_module.Order(holding.server, step, 'move'))
            retained[holding.server.id] = orders_module.Holding(
                holding.server, step
            ).retained
    return orders


def _get_range(holding: orders_module.Holding) -> fleet.LayerRange:
    held = holding.server.layers
    assert held is not None
    return held


def _measure_distance(
    holding: orders_module.Holding, final: fleet.LayerRange
) -> int:
    """Return the layers by which both ends of a range have to move."""
    held = _get_range(holding)
    return abs(final.first - held.first) + abs(final.end - held.end)


def _is_in_place(
    holding: orders_module.Holding, final: fleet.LayerRange
) -> bool:
    if _get_range(holding).count > final.count:
        return False
    return _measure_distance(holding, final) <= TOLERATED_DISTANCE_LAYERS


def _choose_step(
    holding: orders_module.Holding,
    final: fleet.LayerRange,
    retained: dict[str, fleet.LayerRange | None],
    model: fleet.Model,
) -> fleet.LayerRange:
    """Choose the range nearest to the final one that is safe and fits.

    Parameters
    ----------
    holding : orders_module.Holding
        The engine, without an order in progress.
    final : fleet.LayerRange
        Its planned range.
    retained : dict
        Retained ranges of all engines of the domain, by engine.
    model : fleet.Model
        Sizes.
    """
    held = _get_range(holding)
    others = [
        found
        for name, found in retained.items()
        if name != holding.server.id and found is not None
    ]
    if orders_module.covers(others, held):
        return final
    first, end = held.first, held.end
    while first < min(final.first, end - 1) and orders_module.covers(
        others, fleet.LayerRange(held.first, first + 1)
    ):
        first += 1
    while end > max(final.end, first + 1) and orders_module.covers(
        others, fleet.LayerRange(end - 1, held.end)
    ):
        end -= 1
    max_layers = layout.count_layers(
        holding.server.kind, model, layout.MIN_CAPACITY_REQUESTS
    )
    end = max(end, min(final.end, first + max_layers))
    first = min(first, max(final.first, end - max_layers))
    return fleet.LayerRange(first, end)
