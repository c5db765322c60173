"""The ranges that engines of one failure domain should hold.

Each domain holds whole replicas of its own, since activations that cross
domains in the middle of a path cost more than anything else. Memory is
split so that all engines run out of room for tokens at the same load:
an engine gets as many layers as leave it room for a fixed number of tokens
in each of them. Ranges then lie in sequence with equal overlap, so that a
neighbour of a lost engine holds part of its layers already.
"""

from __future__ import annotations

import math
import typing

import attrs

from thornspool.domain.fleet import messages as fleet

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

REQUESTS_AT_ONCE = 64
"""Usual requests that a replica should have room for in each layer: twice
those of a domain, which may have to stand in for another one."""

MIN_ROOM_REQUESTS = 6
"""Usual requests for which an extended engine must keep room.

With less room a mended domain takes so few requests that the load of the
layers is not worth its time.
"""

MIN_REQUESTS_AT_ONCE = 4
"""Least room for which a replica is worth placing."""


@attrs.frozen
class Slot:
    """An engine with the range that it should hold."""

    server: fleet.Server
    layers: fleet.LayerRange


def count_layers(
    kind: str, model: fleet.Model, requests_at_once: float
) -> int:
    """Count the layers that a kind can hold beside a load.

    Parameters
    ----------
    kind : str
        Kind of accelerator; one that the model doesn't know holds none.
    model : fleet.Model
        Sizes.
    requests_at_once : float
        Usual requests that must find room in each layer.
    """
    accelerator = model.accelerators.get(kind)
    if accelerator is None:
        return 0
    tokens = requests_at_once * (model.usual_prompt + model.usual_answer)
    per_layer = model.layer_mb + tokens * model.layer_token_mb
    return min(model.layers, math.floor(accelerator.memory_mb / per_layer))


def compute_shares(
    engines: Sequence[fleet.Server],
    model: fleet.Model,
    requests_at_once: float,
) -> dict[str, int]:
    """Compute how many layers each engine can hold beside a load.

    Returns
    -------
    dict of str to int
        Layers by engine, without those that can hold none.
    """
    counts = {
        one.id: count_layers(one.kind, model, requests_at_once)
        for one in engines
    }
    return {name: count for name, count in counts.items() if count > 0}


def count_at_once(
    ranges: Iterable[tuple[str, fleet.LayerRange]], model: fleet.Model
) -> float:
    """Count the usual requests that find room at once in every layer.

    Parameters
    ----------
    ranges : iterable of tuple of str and fleet.LayerRange
        Kind of accelerator and layers of each engine.
    model : fleet.Model
        Sizes.
    """
    tokens = model.usual_prompt + model.usual_answer
    room = [0.0] * model.layers
    for kind, held in ranges:
        requests = model.compute_room(kind, held.count) / held.count / tokens
        for layer in range(held.first, held.end):
            room[layer] += requests
    return min(room)


def choose_shares(
    engines: Sequence[fleet.Server], model: fleet.Model
) -> dict[str, int]:
    """Compute the shares for the largest load that leaves a replica whole.

    Starts from ``REQUESTS_AT_ONCE`` and goes down until the engines cover
    the model once; empty when they can't.
    """
    wanted = float(REQUESTS_AT_ONCE)
    while wanted >= MIN_REQUESTS_AT_ONCE:
        shares = compute_shares(engines, model, wanted)
        if sum(shares.values()) >= model.layers:
            return shares
        wanted *= 0.9
    return {}


def lay_out(
    ordered: Sequence[fleet.Server], shares: dict[str, int], layers: int
) -> list[Slot]:
    """Lay ranges out in sequence with equal overlap.

    Parameters
    ----------
    ordered : sequence of fleet.Server
        Engines in the order of their ranges.
    shares : dict of str to int
        Layers of each; their sum is at least ``layers``.
    layers : int
        Layers of the model.

    Returns
    -------
    list of Slot
        Covers every layer.
    """
    total = sum(shares[one.id] for one in ordered)
    last = shares[ordered[-1].id]
    stretch = 0.0
    if total > last:
        stretch = min(1.0, (layers - last) / (total - last))
    slots = []
    before = 0
    for one in ordered:
        first = math.floor(before * stretch)
        end = min(layers, first + shares[one.id])
        if one is ordered[-1]:
            end = layers
        slots.append(Slot(one, fleet.LayerRange(first, end)))
        before += shares[one.id]
    return slots


def split_replicas(
    engines: Sequence[fleet.Server],
    shares: dict[str, int],
    layers: int,
) -> list[list[fleet.Server]]:
    """Split the engines of a domain into groups of one replica each.

    An engine that holds layers stays with those that hold the layers next
    to its own only by chance; the split is by size and name, so that all
    entries that plan from the same list find the same groups.
    """
    total = sum(shares.get(one.id, 0) for one in engines)
    count = max(1, total // layers)
    groups: list[list[fleet.Server]] = [[] for _ in range(count)]
    sums = [0] * count
    by_size = sorted(
        (one for one in engines if one.id in shares),
        key=lambda one: (-shares[one.id], one.id),
    )
    for engine in by_size:
        index = min(range(count), key=lambda at: (sums[at], at))
        groups[index].append(engine)
        sums[index] += shares[engine.id]
    return [group for group in groups if group]


def order_engines(
    engines: Sequence[fleet.Server], shares: dict[str, int], layers: int
) -> list[fleet.Server]:
    """Order engines so that few of those that hold layers must move.

    Engines that hold layers keep their order. Each empty one is put where
    the ranges that follow fit best what the others hold.
    """
    held = [one for one in engines if one.layers is not None]
    ordered = sorted(held, key=lambda one: (_first_of(one), one.id))
    empty = [one for one in engines if one.layers is None]
    for engine in sorted(empty, key=lambda one: (-shares[one.id], one.id)):
        ordered = min(
            (
                [*ordered[:at], engine, *ordered[at:]]
                for at in range(len(ordered) + 1)
            ),
            key=lambda trial: _measure_moves(trial, shares, layers),
        )
    return ordered


def _first_of(engine: fleet.Server) -> float:
    if engine.layers is None:
        return math.inf
    return (engine.layers.first + engine.layers.end) / 2


def _measure_moves(
    ordered: Sequence[fleet.Server], shares: dict[str, int], layers: int
) -> float:
    moves = 0.0
    for slot in lay_out(ordered, shares, layers):
        held = slot.server.layers
        if held is not None:
            moves += abs(held.first - slot.layers.first)
    return moves
