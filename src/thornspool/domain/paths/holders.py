"""How many engines of a failure domain hold the same layers.

Answers the load after a loss: every path of the domain needs an engine that
alone holds some layer, and a crowd of requests meets there.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool.domain.fleet import messages as fleet


def count_holders(
    engines: Iterable[fleet.Server], layers: int
) -> dict[str, int]:
    """Count the holders of the scarcest layer of each engine.

    Parameters
    ----------
    engines : iterable of fleet.Server
        Engines that may be used.
    layers : int
        Layers of the model.

    Returns
    -------
    dict of str to int
        By engine, itself included; without those that hold none.
    """
    counts: dict[str, list[int]] = {}
    holding = []
    for one in engines:
        if one.layers is None or one.layers.end > layers:
            continue
        holding.append((one.id, one.failure_domain, one.layers))
        held = counts.setdefault(one.failure_domain, [0] * layers)
        for layer in range(one.layers.first, one.layers.end):
            held[layer] += 1
    return {
        name: min(counts[domain][held.first : held.end])
        for name, domain, held in holding
    }
