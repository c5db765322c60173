"""The cheapest path over layer ranges, cut wherever ranges overlap.

An engine runs any part of what it holds, so a path may leave a range early
and enter the next one late. A search over the ends of all ranges finds the
cuts; it is exact for the costs given.
"""

from __future__ import annotations

import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from thornspool.domain.fleet import messages as fleet

MAX_HOPS = 32
"""Engines a path may name; the engines refuse longer ones."""

HOP_COST_MS = 15.0
"""Cost of one more engine on a path, in milliseconds a request: the hand-over
of each token."""

STEEP_FROM = 0.45
"""Share of an engine's memory from which its cost grows steeply; half of
what reservations may take."""

STEEP_WIDTH = 0.09
"""Share by which the cost doubles first; at 0.72 it is ten times as high."""

CROSSING_COST_MS = 2_000.0
"""Cost in milliseconds of entering another failure domain in the middle of a
path: the activations of a whole prompt cross a link that all share."""


@attrs.frozen
class Hop:
    """One engine of a path with the layers that it runs."""

    server: fleet.Server
    first: int
    end: int

    @property
    def count(self) -> int:
        """Number of layers."""
        return self.end - self.first


@attrs.frozen
class Offer:
    """What an engine can do for one request now.

    Attributes
    ----------
    server : fleet.Server
        An engine that holds layers.
    layer_cost_ms : float
        Expected milliseconds of the whole request for one layer.
    max_layers : int
        Layers for which it has room for the request's tokens.
    wait_ms : float
        Time that it needs for the prompts that it has still to read.
    """

    server: fleet.Server
    layer_cost_ms: float
    max_layers: int
    wait_ms: float = 0.0


@attrs.frozen
class Path:
    """Engines that run every layer once and in order."""

    hops: tuple[Hop, ...]
    cost_ms: float


_Chain = tuple[float, tuple[Hop, ...]]


def find_path(
    offers: Iterable[Offer],
    layers: int,
    start: int = 0,
    start_domain: str = '',
) -> Path | None:
    """Find the cheapest path over all layers.

    Engines are taken in the order in which their ranges end, each at most
    once: an engine that stood twice on a path would refuse it.

    Parameters
    ----------
    offers : iterable of Offer
        Engines to use.
    layers : int
        Layers of the model.
    start : int, optional
        First layer that the path has to run.
    start_domain : str, optional
        Failure domain that it comes from; empty for none.

    Returns
    -------
    Path or None
        None when some layer can't be covered.
    """
    ordered = sorted(
        (one for one in offers if one.server.layers is not None),
        key=lambda one: (_range_of(one).end, one.server.id),
    )
    cuts = sorted(
        {start, layers}
        | {_range_of(one).first for one in ordered}
        | {_range_of(one).end for one in ordered}
    )
    chains: dict[tuple[int, str], _Chain] = {(start, start_domain): (0.0, ())}
    for offer in ordered:
        for key, chain in _extend_chains(chains, offer, cuts):
            if key not in chains or chain[0] < chains[key][0]:
                chains[key] = chain
    whole = [chain for (at, _), chain in chains.items() if at == layers]
    if not whole:
        return None
    cost, hops = min(whole, key=lambda one: one[0])
    return Path(hops, cost)


def _range_of(offer: Offer) -> fleet.LayerRange:
    held = offer.server.layers
    assert held is not None
    return held


def _extend_chains(
    chains: dict[tuple[int, str], _Chain],
    offer: Offer,
    cuts: Sequence[int],
) -> list[tuple[tuple[int, str], _Chain]]:
    """Return the chains that end with a hop on this engine."""
    held = _range_of(offer)
    domain = offer.server.failure_domain
    found = []
    for (at, last_domain), (cost, hops) in chains.items():
        if not held.first <= at < held.end or len(hops) >= MAX_HOPS:
            continue
        entry = HOP_COST_MS + offer.wait_ms
        if last_domain not in {'', domain}:
            entry += CROSSING_COST_MS
        furthest = min(held.end, at + offer.max_layers)
        for cut in _list_cuts(cuts, at, furthest):
            hop = Hop(offer.server, at, cut)
            total = cost + entry + hop.count * offer.layer_cost_ms
            found.append(((cut, domain), (total, (*hops, hop))))
    return found


def _list_cuts(cuts: Sequence[int], at: int, furthest: int) -> list[int]:
    if furthest <= at:
        return []
    listed = [cut for cut in cuts if at < cut <= furthest]
    if not listed or listed[-1] != furthest:
        listed.append(furthest)
    return listed


def estimate_layer_cost(
    model: fleet.Model,
    kind: str,
    tokens: tuple[float, float],
    running: float,
    used_share: float,
    slowness: float,
) -> float:
    """Estimate the cost of one layer of a request on an engine.

    Parameters
    ----------
    model : fleet.Model
        Its speeds.
    kind : str
        Kind of accelerator.
    tokens : tuple of float
        Prompt tokens and expected answer tokens.
    running : float
        Requests that run there.
    used_share : float
        Share of its memory for requests that is taken.
    slowness : float
        Measured times of it against expected ones; 1 for as expected.

    Returns
    -------
    float
        Milliseconds; grows without bound as memory fills, so that requests
        turn to emptier engines well before one has to be preempted.
    """
    accelerator = model.accelerators.get(kind)
    if accelerator is None:
        return math.inf
    prompt, answer = tokens
    read_ms = prompt * 1000.0 / model.read_per_s * accelerator.read_factor
    step_ms = model.step_ms + model.per_sequence_ms * running
    decode_ms = answer * step_ms * accelerator.step_factor
    weight = weigh_filling(used_share)
    return (read_ms + decode_ms) / model.layers * slowness * weight


def estimate_wait(
    model: fleet.Model, kind: str, token_layers: float, slowness: float
) -> float:
    """Estimate how long an engine reads before it turns to a new prompt.

    Parameters
    ----------
    model : fleet.Model
        Its speeds.
    kind : str
        Kind of accelerator.
    token_layers : float
        Tokens to read times layers that they pass.
    slowness : float
        Measured times of it against expected ones.

    Returns
    -------
    float
        Milliseconds.
    """
    accelerator = model.accelerators.get(kind)
    if accelerator is None:
        return math.inf
    token_ms = 1000.0 / model.read_per_s * accelerator.read_factor
    return token_layers * token_ms / model.layers * slowness


def weigh_filling(used_share: float) -> float:
    """Weigh an engine's cost by the share of its memory that is taken.

    What others have taken is known late, and all entries like the same fast
    engine best. So the cost grows steeply as memory fills, faster than any
    two kinds of accelerator differ, and a fast engine is not filled to the
    last while slower ones are empty.
    """
    used = min(1.0, used_share)
    weight = 1.0 + 3.0 * used**2
    if used > STEEP_FROM:
        weight *= 1.0 + ((used - STEEP_FROM) / STEEP_WIDTH) ** 2
    return weight


def describe_path(hops: Sequence[Hop]) -> str:
    """Describe a path for the log: its domains, engines and layers."""
    domains: list[str] = []
    for hop in hops:
        domain = hop.server.failure_domain
        if not domains or domains[-1] != domain:
            domains.append(domain)
    parts = ','.join(f'{hop.server.id}={hop.first}-{hop.end}' for hop in hops)
    return f'{">".join(domains)}:{parts}'
