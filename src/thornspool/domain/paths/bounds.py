"""Lower bounds for the cost of a path in each failure domain.

A search of every failure domain of a large fleet takes longer than a request
may wait. The fastest engine of each layer bounds the cost of any path in its
domain from below, and the bounds change only with the list of engines. A
domain is therefore searched only if its bound is below the cost of the best
path found so far.
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
    """Lower bound for the time of a path in one failure domain.

    Attributes
    ----------
    read_ms : float
        Milliseconds for each token of the prompt; infinite if no engine holds
        some layer.
    decode_ms : float
        Milliseconds for each token of the answer.
    """

    read_ms: float
    decode_ms: float

    def compute_cost(self, prompt: float, answer: float) -> float:
        """Return the lower bound for a request.

        Parameters
        ----------
        prompt, answer : float
            Tokens of the prompt and of the answer.

        Returns
        -------
        float
            Milliseconds.
        """
        return prompt * self.read_ms + answer * self.decode_ms


def compute_bounds(
    model: fleet.Model, engines: Iterable[fleet.Server]
) -> dict[str, Bound]:
    """Compute the bounds of all failure domains.

    Parameters
    ----------
    model : fleet.Model
        Number of layers, and speeds.
    engines : iterable of fleet.Server
        All engines that a path may use. The bounds remain valid if a search
        uses fewer of them.

    Returns
    -------
    dict of str to Bound
        By failure domain.
    """
    read_factors: dict[str, list[float]] = {}
    step_factors: dict[str, list[float]] = {}
    for engine in engines:
        accelerator = model.accelerators.get(engine.kind)
        if engine.layers is None or accelerator is None:
            continue
        domain_reads = read_factors.setdefault(
            engine.failure_domain, [math.inf] * model.layers
        )
        domain_steps = step_factors.setdefault(
            engine.failure_domain, [math.inf] * model.layers
        )
        for layer in range(
            engine.layers.first, min(engine.layers.end, model.layers)
        ):
            domain_reads[layer] = min(
                domain_reads[layer], accelerator.read_factor
            )
            domain_steps[layer] = min(
                domain_steps[layer], accelerator.step_factor
            )
    read_ms = 1000.0 / model.read_per_s / model.layers
    step_ms = model.step_ms / model.layers
    return {
        domain: Bound(
            sum(factors) * read_ms, sum(step_factors[domain]) * step_ms
        )
        for domain, factors in read_factors.items()
    }
