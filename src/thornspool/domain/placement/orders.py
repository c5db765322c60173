"""Orders to engines, and the coverage of layers."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import messages as fleet

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class Order:
    """Order to an engine to hold a range of layers.

    Attributes
    ----------
    server : fleet.Server
        The engine, with the range that it holds now.
    layers : fleet.LayerRange
        Range that it should hold.
    reason : str
        ``empty`` for an engine without layers, ``hole`` to close a coverage
        gap, ``move`` for a step towards the planned layout.
    """

    server: fleet.Server
    layers: fleet.LayerRange
    reason: str


@attrs.frozen
class Holding:
    """Layers that an engine holds now and after its order in progress.

    Attributes
    ----------
    server : fleet.Server
        The engine as listed.
    pending : fleet.LayerRange or None
        Range of the order in progress; None without one.
    """

    server: fleet.Server
    pending: fleet.LayerRange | None = None

    @property
    def retained(self) -> fleet.LayerRange | None:
        """Retained range, which the engine holds before and after its order.

        None if the engine retains no layer.
        """
        held = self.server.layers
        if held is None or self.pending is None:
            return held
        first = max(held.first, self.pending.first)
        end = min(held.end, self.pending.end)
        return fleet.LayerRange(first, end) if first < end else None

    @property
    def expected(self) -> fleet.LayerRange | None:
        """Range that the engine holds once its order is complete."""
        return self.pending or self.server.layers


def find_coverage_gaps(
    ranges: Iterable[fleet.LayerRange], layers: int
) -> list[fleet.LayerRange]:
    """Find the coverage gaps, which are the layers in no range.

    Parameters
    ----------
    ranges : iterable of fleet.LayerRange
        Ranges in any order.
    layers : int
        Layers of the model.

    Returns
    -------
    list of fleet.LayerRange
        In ascending order.
    """
    gaps = []
    covered_end = 0
    for held in sorted(ranges):
        if held.first > covered_end:
            gaps.append(fleet.LayerRange(covered_end, held.first))
        covered_end = max(covered_end, held.end)
    if covered_end < layers:
        gaps.append(fleet.LayerRange(covered_end, layers))
    return gaps


def covers(
    ranges: Iterable[fleet.LayerRange], needed: fleet.LayerRange
) -> bool:
    """Return whether ranges together contain every layer of another range.

    Parameters
    ----------
    ranges : iterable of fleet.LayerRange
        Ranges in any order.
    needed : fleet.LayerRange
        Layers to find.
    """
    covered_end = needed.first
    for held in sorted(ranges):
        if held.first > covered_end:
            break
        covered_end = max(covered_end, held.end)
    return covered_end >= needed.end
