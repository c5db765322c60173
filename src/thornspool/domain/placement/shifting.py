"""Close holes by shifting the few engines beside them.

Layers that an engine gives up wait for the requests that pass through them,
seconds under load, and only then are new ones loaded. So a hole that its
neighbours can't extend over is shared out among the fewest engines in
sequence whose memory suffices; the others of the domain hold what they held
and go on.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import messages as fleet
from thornspool.domain.placement import layout

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

ROOMS = (24, 6)
"""Usual requests for which the shifted engines keep room, first choice first;
the last is the least for which a load is worth its time."""

MOST_ENGINES = 6
"""Engines shifted for one hole; the store of weights serves six loads at
full speed, and with more the whole domain is as well laid out anew."""


@attrs.frozen
class _Link:
    """An engine of a chain, in layers counted towards the hole."""

    id: str
    first: int
    end: int
    most: int


@attrs.frozen
class _Chain:
    """Engines in sequence from a hole outwards, with their layers to spare.

    Attributes
    ----------
    links : tuple of _Link
        Nearest first.
    spare : int
        Layers of the hole that they can take.
    """

    links: tuple[_Link, ...] = ()
    spare: int = 0


def shift_over(
    holes: Iterable[fleet.LayerRange],
    engines: Sequence[fleet.Server],
    model: fleet.Model,
) -> dict[str, fleet.LayerRange] | None:
    """Find new ranges of few engines that close all holes of a domain.

    Parameters
    ----------
    holes : iterable of fleet.LayerRange
        Layers that nobody holds, in order.
    engines : sequence of fleet.Server
        Engines of the domain that hold layers and are free for an order.
    model : fleet.Model
        Sizes.

    Returns
    -------
    dict of str to fleet.LayerRange or None
        New ranges by engine; None where the engines beside a hole have not
        the memory.
    """
    ranges: dict[str, fleet.LayerRange] = {}
    for hole in holes:
        free = [one for one in engines if one.id not in ranges]
        found = None
        for room in ROOMS:
            found = _shift_over_one(hole, free, model, room)
            if found is not None:
                break
        if found is None:
            return None
        ranges.update(found)
    return ranges


def _shift_over_one(
    hole: fleet.LayerRange,
    engines: Sequence[fleet.Server],
    model: fleet.Model,
    room: int,
) -> dict[str, fleet.LayerRange] | None:
    top = model.layers
    below = [_make_link(one, model, room) for one in engines]
    above = [_mirror(one, top) for one in below]
    pair = _choose_pair(
        _list_chains(hole.first, below),
        _list_chains(top - hole.end, above),
        hole.count,
    )
    if pair is None:
        return None
    lower, upper = pair
    share = hole.count * lower.spare / (lower.spare + upper.spare)
    up = min(lower.spare, max(hole.count - upper.spare, round(share)))
    shifted = _shift(lower.links, hole.first + up)
    mirrored = _shift(upper.links, top - hole.first - up)
    shifted.extend(_mirror(one, top) for one in mirrored)
    return {one.id: fleet.LayerRange(one.first, one.end) for one in shifted}


def _make_link(engine: fleet.Server, model: fleet.Model, room: int) -> _Link:
    held = engine.layers
    assert held is not None
    most = layout.count_layers(engine.kind, model, room)
    return _Link(engine.id, held.first, held.end, most)


def _mirror(link: _Link, top: int) -> _Link:
    """Count the layers from the other end of the model."""
    return attrs.evolve(link, first=top - link.end, end=top - link.first)


def _list_chains(edge: int, links: Sequence[_Link]) -> list[_Chain]:
    """List the chains that end at an edge, shortest first; one is empty."""
    chains = [_Chain()]
    left = list(links)
    at = edge
    most = 0
    while len(chains) <= MOST_ENGINES:
        beside = [one for one in left if one.first < at <= one.end]
        if not beside:
            break
        best = max(beside, key=lambda one: (one.most + one.first, one.id))
        left.remove(best)
        at = best.first
        most += best.most
        chains.append(
            _Chain((*chains[-1].links, best), max(0, most - (edge - at)))
        )
    return chains


def _choose_pair(
    lower: Sequence[_Chain], upper: Sequence[_Chain], needed: int
) -> tuple[_Chain, _Chain] | None:
    """Choose the chains with the fewest engines that close a hole."""
    pairs = [
        (below, above)
        for below in lower
        for above in upper
        if len(below.links) + len(above.links) <= MOST_ENGINES
        and below.spare + above.spare >= needed
    ]
    if not pairs:
        return None
    return min(
        pairs,
        key=lambda pair: (
            len(pair[0].links) + len(pair[1].links),
            -pair[0].spare - pair[1].spare,
        ),
    )


def _shift(links: Iterable[_Link], end: int) -> list[_Link]:
    """Move the nearest link up to an end, and those behind it as needed."""
    shifted = []
    for link in links:
        if link.end >= end:
            break
        first = max(link.first, end - link.most)
        shifted.append(attrs.evolve(link, first=first, end=end))
        end = first
    return shifted
