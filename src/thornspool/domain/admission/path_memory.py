"""Tokens for which a fleet has memory on whole paths.

Load: one full range of layers, or one full failure domain, while other engines
have free memory. The mean over all engines then allows sends that no path has
memory for, and each of these uses a retry.
"""

from __future__ import annotations

import itertools
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable


@attrs.frozen
class EngineAmount:
    """Memory of one engine.

    Attributes
    ----------
    domain : str
        Failure domain of the engine.
    first, end : int
        First layer that the engine holds, and one past the last.
    token_layers : float
        Its memory in tokens times layers.
    """

    domain: str
    first: int
    end: int
    token_layers: float


def compute_path_tokens(amounts: Iterable[EngineAmount], layers: int) -> float:
    """Compute the tokens for which the engines have memory on whole paths.

    Paths stay in one failure domain wherever it holds all layers. The domains
    that do not are counted as one.

    Parameters
    ----------
    amounts : iterable of EngineAmount
        Memory of the engines.
    layers : int
        Number of layers of the model.
    """
    domains: dict[str, list[EngineAmount]] = {}
    for amount in amounts:
        domains.setdefault(amount.domain, []).append(amount)
    tokens = 0.0
    partial: list[EngineAmount] = []
    for engines in domains.values():
        if _holds_all(engines, layers):
            tokens += _compute_tokens(engines, layers)
        else:
            partial += engines
    if _holds_all(partial, layers):
        tokens += _compute_tokens(partial, layers)
    return tokens


def _holds_all(engines: Iterable[EngineAmount], layers: int) -> bool:
    covered = 0
    for engine in sorted(engines, key=lambda one: one.first):
        if engine.first > covered:
            return False
        covered = max(covered, engine.end)
    return covered >= layers


def _compute_tokens(engines: Collection[EngineAmount], layers: int) -> float:
    """Compute the tokens of paths through engines that hold all layers.

    Paths may use any part of an engine's layers. No range of layers can take
    more tokens than the engines that hold some of it have memory for, and
    the scarcest range limits all paths. Scarce ranges that do not adjoin are
    not combined, so that this is an upper bound.
    """
    total = sum(engine.token_layers for engine in engines)
    # Memory of the engines that hold no layer from, or no layer up to, one.
    before = _accumulate(
        [(engine.end, engine.token_layers) for engine in engines], 0
    )
    after = _accumulate(
        [(-engine.first, engine.token_layers) for engine in engines], -layers
    )
    return max(
        0.0,
        min(
            (total - lower - higher) / (-end - first)
            for first, lower in before
            for end, higher in after
            if first < -end
        ),
    )


def _accumulate(
    amounts: list[tuple[int, float]], start: int
) -> list[tuple[int, float]]:
    """Return the sums up to each position, from a first position on."""
    sums = [(start, 0.0)]
    for position, group in itertools.groupby(
        sorted(amounts), key=lambda one: one[0]
    ):
        sums.append((position, sums[-1][1] + sum(one for _, one in group)))
    return sums
