"""Search for the cheapest path over overlapping layer ranges.

An engine can run any part of the range that it holds, so a path may leave one
range before its end and enter the next one after its start. The search splits
ranges only where some range starts or ends and where the memory of an engine
runs out; it is exact for the given costs.
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
"""Maximum number of engines on a path; the engines refuse longer paths."""

HOP_COST_MS = 15.0
"""Cost of an additional engine on a path, in milliseconds per request: the
handover of each token."""

STEEP_COST_SHARE = 0.45
"""Reserved share of an engine's memory above which its cost grows steeply;
half of what reservations may use."""

STEEP_COST_WIDTH = 0.09
"""Increase of the reserved share after which the cost has doubled; at a share
of 0.72 the cost is ten times as high."""

CROSSING_COST_MS = 2_000.0
"""Cost of entering another failure domain between two hops: the activations of
the whole prompt cross a link that all requests share."""


@attrs.frozen
class Hop:
    """One engine of a path with the layers that it runs.

    Attributes
    ----------
    server : fleet.Server
        The engine.
    first, end : int
        First layer, and the layer behind the last one.
    """

    server: fleet.Server
    first: int
    end: int

    @property
    def count(self) -> int:
        """Number of layers."""
        return self.end - self.first


@attrs.frozen
class Candidate:
    """An engine that may become a hop, with its costs for one request.

    Attributes
    ----------
    server : fleet.Server
        An engine that holds layers.
    layer_cost_ms : float
        Expected milliseconds of the whole request per layer.
    max_layers : int
        Layers for which the engine has free capacity for the request.
    wait_ms : float
        Milliseconds until the engine has prefilled the prompts in its
        backlog.
    may_start : bool
        Whether a path may begin at the engine, which then receives the
        request.
    """

    server: fleet.Server
    layer_cost_ms: float
    max_layers: int
    wait_ms: float = 0.0
    may_start: bool = True


@attrs.frozen
class Path:
    """Engines that together run every layer once and in order.

    Attributes
    ----------
    hops : tuple of Hop
        In the order of their layers.
    cost_ms : float
        Expected milliseconds of the request, including penalties.
    has_local_path : bool
        Whether the failure domain of the entry had a path as well.
    """

    hops: tuple[Hop, ...]
    cost_ms: float
    has_local_path: bool = False


_PartialPath = tuple[float, tuple[Hop, ...]]


def find_path(
    candidates: Iterable[Candidate],
    layers: int,
    start: int = 0,
    start_domain: str = '',
) -> Path | None:
    """Find the cheapest path over all layers.

    The search considers engines in the order in which their ranges end, each
    at most once, because an engine refuses a path that names it twice.

    Parameters
    ----------
    candidates : iterable of Candidate
        Engines that the path may use.
    layers : int
        Layers of the model.
    start : int, optional
        First layer that the path has to run.
    start_domain : str, optional
        Failure domain of the preceding hop; empty if there is none.

    Returns
    -------
    Path or None
        None if some layer cannot be served.
    """
    ordered = sorted(
        (one for one in candidates if one.server.layers is not None),
        key=lambda one: (_get_range(one).end, one.server.id),
    )
    split_points = sorted(
        {start, layers}
        | {_get_range(one).first for one in ordered}
        | {_get_range(one).end for one in ordered}
    )
    cheapest: dict[tuple[int, str], _PartialPath] = {
        (start, start_domain): (0.0, ())
    }
    for candidate in ordered:
        for key, partial in _extend_paths(cheapest, candidate, split_points):
            if key not in cheapest or partial[0] < cheapest[key][0]:
                cheapest[key] = partial
    complete = [
        partial for (end, _), partial in cheapest.items() if end == layers
    ]
    if not complete:
        return None
    cost_ms, hops = min(complete, key=lambda partial: partial[0])
    return Path(hops, cost_ms)


def _get_range(candidate: Candidate) -> fleet.LayerRange:
    held = candidate.server.layers
    assert held is not None
    return held


def _extend_paths(
    cheapest: dict[tuple[int, str], _PartialPath],
    candidate: Candidate,
    split_points: Sequence[int],
) -> list[tuple[tuple[int, str], _PartialPath]]:
    """Return the partial paths that end with a hop on a candidate.

    Parameters
    ----------
    cheapest : dict
        Cheapest partial path by the layer at which it ends and by the failure
        domain of its last hop.
    candidate : Candidate
        Engine of the new hop.
    split_points : sequence of int
        Layers at which some range starts or ends, in order.

    Returns
    -------
    list
        Keys and values in the form of ``cheapest``.
    """
    held = _get_range(candidate)
    domain = candidate.server.failure_domain
    extended = []
    for (start, last_domain), (cost_ms, hops) in cheapest.items():
        if not held.first <= start < held.end or len(hops) >= MAX_HOPS:
            continue
        if not last_domain and not candidate.may_start:
            continue
        hop_cost_ms = HOP_COST_MS + candidate.wait_ms
        if last_domain not in {'', domain}:
            hop_cost_ms += CROSSING_COST_MS
        max_end = min(held.end, start + candidate.max_layers)
        for end in _list_ends(split_points, start, max_end):
            hop = Hop(candidate.server, start, end)
            timeout_ms = (
                cost_ms + hop_cost_ms + hop.count * candidate.layer_cost_ms
            )
            extended.append(((end, domain), (timeout_ms, (*hops, hop))))
    return extended


def _list_ends(
    split_points: Sequence[int], start: int, max_end: int
) -> list[int]:
    """List the layers at which a hop may end."""
    if max_end <= start:
        return []
    ends = [point for point in split_points if start < point <= max_end]
    if not ends or ends[-1] != max_end:
        ends.append(max_end)
    return ends


def estimate_layer_cost(
    model: fleet.Model,
    kind: str,
    tokens: tuple[float, float],
    request_count: float,
    reserved_share: float,
    slowdown: float,
) -> float:
    """Estimate the cost of a request per layer on an engine.

    Parameters
    ----------
    model : fleet.Model
        Speeds and number of layers.
    kind : str
        Kind of accelerator.
    tokens : tuple of float
        Prompt tokens and expected answer tokens.
    request_count : float
        Requests that run on the engine.
    reserved_share : float
        Share of its request memory that is reserved.
    slowdown : float
        Slowdown factor of the engine; 1 if it is as fast as expected.

    Returns
    -------
    float
        Milliseconds. They grow steeply as memory fills, so that requests move
        to engines with more free capacity well before an engine has to preempt
        one; infinite for an unknown kind.
    """
    accelerator = model.accelerators.get(kind)
    if accelerator is None:
        return math.inf
    prompt, answer = tokens
    read_ms = prompt * 1000.0 / model.read_per_s * accelerator.read_factor
    step_ms = model.step_ms + model.per_sequence_ms * request_count
    decode_ms = answer * step_ms * accelerator.step_factor
    weight = compute_memory_weight(reserved_share)
    return (read_ms + decode_ms) / model.layers * slowdown * weight


def estimate_wait(
    model: fleet.Model, kind: str, token_layers: float, slowdown: float
) -> float:
    """Estimate the time until an engine has prefilled its backlog.

    Parameters
    ----------
    model : fleet.Model
        Speeds and number of layers.
    kind : str
        Kind of accelerator.
    token_layers : float
        Tokens to prefill, times the layers that process them.
    slowdown : float
        Slowdown factor of the engine; 1 if it is as fast as expected.

    Returns
    -------
    float
        Milliseconds; infinite for an unknown kind.
    """
    accelerator = model.accelerators.get(kind)
    if accelerator is None:
        return math.inf
    token_ms = 1000.0 / model.read_per_s * accelerator.read_factor
    return token_layers * token_ms / model.layers * slowdown


def compute_memory_weight(reserved_share: float) -> float:
    """Compute the factor by which reserved memory raises an engine's cost.

    Reservations of other entries are received late, and all entries prefer the
    same fast engine. The factor therefore grows faster with the reserved share
    than any two kinds of accelerator differ in speed, which keeps a fast
    engine from filling up while slower ones are empty.

    Parameters
    ----------
    reserved_share : float
        Share of the engine's request memory that is reserved.

    Returns
    -------
    float
        1 for an engine without reservations.
    """
    share = min(1.0, reserved_share)
    weight = 1.0 + 3.0 * share**2
    if share > STEEP_COST_SHARE:
        weight *= 1.0 + ((share - STEEP_COST_SHARE) / STEEP_COST_WIDTH) ** 2
    return weight


def describe_path(hops: Sequence[Hop]) -> str:
    """Return the failure domains, engines and layers of a path for the log.

    Parameters
    ----------
    hops : sequence of Hop
        The path.

    Returns
    -------
    str
        Such as ``a>b:a-1=0-40,b-2=40-80``.
    """
    domains: list[str] = []
    for hop in hops:
        domain = hop.server.failure_domain
        if not domains or domains[-1] != domain:
            domains.append(domain)
    parts = ','.join(f'{hop.server.id}={hop.first}-{hop.end}' for hop in hops)
    return f'{">".join(domains)}:{parts}'
