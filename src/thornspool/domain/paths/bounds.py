"""Least costs of paths, known before any search.

A search of every failure domain of a large fleet takes longer than a request
may wait. The fastest holder of each layer bounds what any path there can cost,
and that changes only with the list of engines. So a domain is searched only
where it could be cheaper than what is found.
"""

from __future__ import annotations

import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool.domain.fleet import messages as fleet


@attrs.frozen
class Bound:
    """Least times of a path in a failure domain.

    Attributes
    ----------
    read_ms : float
        Milliseconds a token of the prompt; infinite where layers have no
        holder.
    decode_ms : float
        Milliseconds a token of the answer.
    """

    read_ms: float
    decode_ms: float

    def compute_cost(self, prompt: float, answer: float) -> float:
        """Return the least milliseconds of a request."""
        return prompt * self.read_ms + answer * self.decode_ms


def compute_bounds(
    model: fleet.Model, engines: Iterable[fleet.Server]
) -> dict[str, Bound]:
    """Compute the bounds of all failure domains.

    Parameters
    ----------
    model : fleet.Model
        Speeds.
    engines : iterable of fleet.Server
        All engines that may be used; with fewer the bounds still hold.

    Returns
    -------
    dict of str to Bound
        By failure domain.
    """
    read: dict[str, list[float]] = {}
    decode: dict[str, list[float]] = {}
    for one in engines:
        accelerator = model.accelerators.get(one.kind)
        if one.layers is None or accelerator is None:
            continue
        reads = read.setdefault(one.failure_domain, [math.inf] * model.layers)
        steps = decode.setdefault(
            one.failure_domain, [math.inf] * model.layers
        )
        for layer in range(
            one.layers.first, min(one.layers.end, model.layers)
        ):
            reads[layer] = min(reads[layer], accelerator.read_factor)
            steps[layer] = min(steps[layer], accelerator.step_factor)
    read_ms = 1000.0 / model.read_per_s / model.layers
    step_ms = model.step_ms / model.layers
    return {
        domain: Bound(sum(factors) * read_ms, sum(decode[domain]) * step_ms)
        for domain, factors in read.items()
    }
