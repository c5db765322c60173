"""Closing of coverage gaps by shifting the ranges of few engines beside them.

Layers that an engine unloads first have to complete the requests that use
them, which takes seconds under load; only then does the engine load new ones.
A gap that its neighbours cannot cover by extending their ranges is therefore
divided among the smallest number of consecutive engines that have enough
memory. The other engines of the domain keep their ranges and continue to
serve.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import messages as fleet
from thornspool.domain.placement import layout

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

CAPACITIES_REQUESTS = (24, 6)
"""Usual requests for which shifted engines retain capacity, in order of
preference; with less than the last, a load is not worth its time."""

MAX_SHIFTED_ENGINES = 6
"""Maximum number of engines shifted for one gap. The store of weights serves
six loads at full speed, and beyond that the whole domain may as well get a new
layout."""


@attrs.frozen
class _Link:
    """Engine of a chain, with its layers counted towards the gap.

    Attributes
    ----------
    id : str
        Name of the engine.
    first, end : int
        Range that it holds.
    max_layers : int
        Layers that fit in its memory.
    """

    id: str
    first: int
    end: int
    max_layers: int


@attrs.frozen
class _Chain:
    """Consecutive engines that begin at a gap.

    Attributes
    ----------
    links : tuple of _Link
        Engines, with the one next to the gap first.
    spare_layers : int
        Layers of the gap that they can load.
    """

    links: tuple[_Link, ...] = ()
    spare_layers: int = 0


def shift_over(
    gaps: Iterable[fleet.LayerRange],
    engines: Sequence[fleet.Server],
    model: fleet.Model,
) -> dict[str, fleet.LayerRange] | None:
    """Find new ranges of few engines that close all gaps of a domain.

    Parameters
    ----------
    gaps : iterable of fleet.LayerRange
        Layers that no engine holds, in order.
    engines : sequence of fleet.Server
        Engines of the domain that hold layers and have no order in progress.
    model : fleet.Model
        Sizes.

    Returns
    -------
    dict of str to fleet.LayerRange or None
        New ranges by engine; None if the engines beside a gap do not have
        enough memory.
    """
    ranges: dict[str, fleet.LayerRange] = {}
    for gap in gaps:
        available = [engine for engine in engines if engine.id not in ranges]
        shifted = None
        for capacity_requests in CAPACITIES_REQUESTS:
            shifted = _close_gap(gap, available, model, capacity_requests)
            if shifted is not None:
                break
        if shifted is None:
            return None
        ranges.update(shifted)
    return ranges


def _close_gap(
    gap: fleet.LayerRange,
    engines: Sequence[fleet.Server],
    model: fleet.Model,
    capacity_requests: int,
) -> dict[str, fleet.LayerRange] | None:
    """Find new ranges that close one gap; None without enough memory."""
    top = model.layers
    upward = [
        _build_link(engine, model, capacity_requests) for engine in engines
    ]
    downward = [_mirror(link, top) for link in upward]
    pair = _choose_pair(
        _list_chains(gap.first, upward),
        _list_chains(top - gap.end, downward),
        gap.count,
    )
    if pair is None:
        return None
    lower, upper = pair
    share = (
        gap.count
        * lower.spare_layers
        / (lower.spare_layers + upper.spare_layers)
    )
    lower_count = min(
        lower.spare_layers, max(gap.count - upper.spare_layers, round(share))
    )
    shifted = _shift(lower.links, gap.first + lower_count)
    mirrored = _shift(upper.links, top - gap.first - lower_count)
    shifted.extend(_mirror(link, top) for link in mirrored)
    return {
        link.id: fleet.LayerRange(link.first, link.end) for link in shifted
    }


def _build_link(
    engine: fleet.Server, model: fleet.Model, capacity_requests: int
) -> _Link:
    held = engine.layers
    assert held is not None
    max_layers = layout.count_layers(engine.kind, model, capacity_requests)
    return _Link(engine.id, held.first, held.end, max_layers)


def _mirror(link: _Link, top: int) -> _Link:
    """Count the layers of a link from the other end of the model."""
    return attrs.evolve(link, first=top - link.end, end=top - link.first)


def _list_chains(edge: int, links: Sequence[_Link]) -> list[_Chain]:
    """List the chains that end at an edge of a gap.

    Parameters
    ----------
    edge : int
        First layer of the gap.
    links : sequence of _Link
        All engines, counted towards the gap.

    Returns
    -------
    list of _Chain
        Shortest first; the first one is empty.
    """
    chains = [_Chain()]
    remaining = list(links)
    first = edge
    max_layers = 0
    while len(chains) <= MAX_SHIFTED_ENGINES:
        adjacent = [
            link for link in remaining if link.first < first <= link.end
        ]
        if not adjacent:
            break
        best = max(
            adjacent, key=lambda link: (link.max_layers + link.first, link.id)
        )
        remaining.remove(best)
        first = best.first
        max_layers += best.max_layers
        chains.append(
            _Chain(
                (*chains[-1].links, best), max(0, max_layers - (edge - first))
            )
        )
    return chains


def _choose_pair(
    lower: Sequence[_Chain], upper: Sequence[_Chain], needed: int
) -> tuple[_Chain, _Chain] | None:
    """Choose the chains with the fewest engines that close a gap.

    Among pairs with equally many engines, the one with the most spare layers
    is chosen.
    """
    pairs = [
        (below, above)
        for below in lower
        for above in upper
        if len(below.links) + len(above.links) <= MAX_SHIFTED_ENGINES
        and below.spare_layers + above.spare_layers >= needed
    ]
    if not pairs:
        return None
    return min(
        pairs,
        key=lambda pair: (
            len(pair[0].links) + len(pair[1].links),
            -pair[0].spare_layers - pair[1].spare_layers,
        ),
    )


def _shift(links: Iterable[_Link], end: int) -> list[_Link]:
    """Move the first link to an end, and the following ones as needed.

    Parameters
    ----------
    links : iterable of _Link
        Links of a chain, with the one next to the gap first.
    end : int
        New end of the first link.

    Returns
    -------
    list of _Link
        Links whose range changes.
    """
    shifted = []
    for link in links:
        if link.end >= end:
            break
        first = max(link.first, end - link.max_layers)
        shifted.append(attrs.evolve(link, first=first, end=end))
        end = first
    return shifted
