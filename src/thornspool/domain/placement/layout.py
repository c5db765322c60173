"""Layout of layer ranges on the engines of one failure domain.

Each domain holds complete replicas of the model, because activations that
cross domains between two hops are more expensive than anything else. Layers
are distributed so that all engines run out of token memory at the same load:
each engine gets as many layers as leave memory for a fixed number of tokens
per layer. The ranges follow each other with equal overlap, so that the
neighbour of a lost engine already holds part of its layers.
"""

from __future__ import annotations

import math
import typing

import attrs

from thornspool.domain.fleet import messages as fleet

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

TARGET_CONCURRENT_REQUESTS = 64
"""Usual requests for which a replica should have capacity in each layer.

This is twice the load of a domain, because a domain may have to serve the
requests of another one.
"""

MIN_CAPACITY_REQUESTS = 6
"""Usual requests for which an engine must retain capacity when it gets more
layers.

With less, a repaired domain serves so few requests that the load of the layers
is not worth its time.
"""

MIN_CONCURRENT_REQUESTS = 4
"""Minimum capacity, in usual requests, of a replica that is placed."""


@attrs.frozen
class Assignment:
    """Engine and the range that it should hold.

    Attributes
    ----------
    server : fleet.Server
        The engine.
    layers : fleet.LayerRange
        Its planned range.
    """

    server: fleet.Server
    layers: fleet.LayerRange


def count_layers(
    kind: str, model: fleet.Model, concurrent_requests: float
) -> int:
    """Count the layers that fit on an accelerator in addition to a load.

    Parameters
    ----------
    kind : str
        Kind of accelerator.
    model : fleet.Model
        Sizes.
    concurrent_requests : float
        Usual requests for which each layer must have capacity.

    Returns
    -------
    int
        At most the layers of the model; 0 for an unknown kind.
    """
    accelerator = model.accelerators.get(kind)
    if accelerator is None:
        return 0
    tokens = concurrent_requests * (model.usual_prompt + model.usual_answer)
    mb_per_layer = model.layer_mb + tokens * model.layer_token_mb
    return min(model.layers, math.floor(accelerator.memory_mb / mb_per_layer))


def compute_layer_counts(
    engines: Sequence[fleet.Server],
    model: fleet.Model,
    concurrent_requests: float,
) -> dict[str, int]:
    """Compute how many layers each engine can hold in addition to a load.

    Parameters
    ----------
    engines : sequence of fleet.Server
        Engines of one failure domain.
    model : fleet.Model
        Sizes.
    concurrent_requests : float
        Usual requests for which each layer must have capacity.

    Returns
    -------
    dict of str to int
        Layers by engine, without engines that can hold none.
    """
    counts = {
        engine.id: count_layers(engine.kind, model, concurrent_requests)
        for engine in engines
    }
    return {name: count for name, count in counts.items() if count > 0}


def count_concurrent_requests(
    ranges: Iterable[tuple[str, fleet.LayerRange]], model: fleet.Model
) -> float:
    """Count the usual requests for which every layer has capacity.

    Parameters
    ----------
    ranges : iterable of tuple of str and fleet.LayerRange
        Kind of accelerator and layers of each engine.
    model : fleet.Model
        Sizes.

    Returns
    -------
    float
        Capacity of the layer that has the least.
    """
    tokens = model.usual_prompt + model.usual_answer
    capacity = [0.0] * model.layers
    for kind, held in ranges:
        requests = (
            model.compute_free_capacity(kind, held.count) / held.count / tokens
        )
        for layer in range(held.first, held.end):
            capacity[layer] += requests
    return min(capacity)


def choose_layer_counts(
    engines: Sequence[fleet.Server], model: fleet.Model
) -> dict[str, int]:
    """Compute the layer counts for the largest load that allows a replica.

    The load starts at ``TARGET_CONCURRENT_REQUESTS`` and is reduced until the
    engines together can hold the model once.

    Parameters
    ----------
    engines : sequence of fleet.Server
        Engines of one failure domain.
    model : fleet.Model
        Sizes.

    Returns
    -------
    dict of str to int
        Layers by engine; empty if the engines cannot hold a replica.
    """
    requests = float(TARGET_CONCURRENT_REQUESTS)
    while requests >= MIN_CONCURRENT_REQUESTS:
        layer_counts = compute_layer_counts(engines, model, requests)
        if sum(layer_counts.values()) >= model.layers:
            return layer_counts
        requests *= 0.9
    return {}


def assign_ranges(
    ordered: Sequence[fleet.Server], layer_counts: dict[str, int], layers: int
) -> list[Assignment]:
    """Assign consecutive ranges with equal overlap.

    Parameters
    ----------
    ordered : sequence of fleet.Server
        Engines in the order of their ranges.
    layer_counts : dict of str to int
        Layers by engine; their sum is at least ``layers``.
    layers : int
        Layers of the model.

    Returns
    -------
    list of Assignment
        Covers every layer.
    """
    total = sum(layer_counts[engine.id] for engine in ordered)
    last = layer_counts[ordered[-1].id]
    scale = 0.0
    if total > last:
        scale = min(1.0, (layers - last) / (total - last))
    assignments = []
    offset = 0
    for engine in ordered:
        first = math.floor(offset * scale)
        end = min(layers, first + layer_counts[engine.id])
        if engine is ordered[-1]:
            end = layers
        assignments.append(Assignment(engine, fleet.LayerRange(first, end)))
        offset += layer_counts[engine.id]
    return assignments


def split_replicas(
    engines: Sequence[fleet.Server],
    layer_counts: dict[str, int],
    layers: int,
) -> list[list[fleet.Server]]:
    """Split the engines of a domain into groups of one replica each.

    The split depends only on layer counts and names, so that all entries that
    plan from the same list get the same groups. Whether engines with adjacent
    ranges end up in the same group is left to chance.

    Parameters
    ----------
    engines : sequence of fleet.Server
        Engines of one failure domain.
    layer_counts : dict of str to int
        Layers by engine; engines without a count are left out.
    layers : int
        Layers of the model.

    Returns
    -------
    list of list of fleet.Server
        Groups with about the same number of layers.
    """
    total = sum(layer_counts.get(engine.id, 0) for engine in engines)
    group_count = max(1, total // layers)
    groups: list[list[fleet.Server]] = [[] for _ in range(group_count)]
    sums = [0] * group_count
    largest_first = sorted(
        (engine for engine in engines if engine.id in layer_counts),
        key=lambda engine: (-layer_counts[engine.id], engine.id),
    )
    for engine in largest_first:
        smallest = min(
            range(group_count), key=lambda index: (sums[index], index)
        )
        groups[smallest].append(engine)
        sums[smallest] += layer_counts[engine.id]
    return [group for group in groups if group]


def order_engines(
    engines: Sequence[fleet.Server], layer_counts: dict[str, int], layers: int
) -> list[fleet.Server]:
    """Order engines so that those that hold layers have to move little.

    Engines that hold layers keep their order. Each empty engine is inserted
    where the resulting ranges differ least from those that the others hold.

    Parameters
    ----------
    engines : sequence of fleet.Server
        Engines of one replica.
    layer_counts : dict of str to int
        Layers by engine.
    layers : int
        Layers of the model.
    """
    holding = [engine for engine in engines if engine.layers is not None]
    ordered = sorted(
        holding, key=lambda engine: (_get_center(engine), engine.id)
    )
    empty = [engine for engine in engines if engine.layers is None]
    for engine in sorted(
        empty, key=lambda engine: (-layer_counts[engine.id], engine.id)
    ):
        ordered = min(
            (
                [*ordered[:index], engine, *ordered[index:]]
                for index in range(len(ordered) + 1)
            ),
            key=lambda trial: _measure_moves(trial, layer_counts, layers),
        )
    return ordered


def _get_center(engine: fleet.Server) -> float:
    """Return the middle of the range that an engine holds."""
    if engine.layers is None:
        return math.inf
    return (engine.layers.first + engine.layers.end) / 2


def _measure_moves(
    ordered: Sequence[fleet.Server], layer_counts: dict[str, int], layers: int
) -> float:
    """Return the layers by which the ranges of an order would move."""
    moves = 0.0
    for assignment in assign_ranges(ordered, layer_counts, layers):
        held = assignment.server.layers
        if held is not None:
            moves += abs(held.first - assignment.layers.first)
    return moves
