"""Orders to engines, and which layers are held."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.fleet import messages as fleet

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


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


def covers(
    ranges: Iterable[fleet.LayerRange], needed: fleet.LayerRange
) -> bool:
    """Tell whether ranges hold every layer of another one."""
    at = needed.first
    for one in sorted(ranges):
        if one.first > at:
            break
        at = max(at, one.end)
    return at >= needed.end
