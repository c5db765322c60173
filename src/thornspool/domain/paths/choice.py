"""Choice of the path for a request among all failure domains."""

from __future__ import annotations

import enum
import itertools
import math
import typing

import attrs

from thornspool.domain.paths import bounds as bounds_module
from thornspool.domain.paths import reservations
from thornspool.domain.paths import search

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from thornspool.domain.fleet import messages as fleet

REMOTE_DOMAIN_COST_MS = 800.0
"""Cost of a path that begins outside the failure domain of this entry.

All events of the stream, about 10 kB for a usual request, then cross the link
between the domains, and traffic between domains is the largest cost for the
users. The value is a third of the time of a usual request: an entry uses
another domain if the local one is slower by that much, or if its memory is
about 0.4 full. It applies where ``domain_choice`` has no information to decide
by, or no reason to.
"""

STAY_COST_MS = 1e6
"""Cost of another failure domain for a request that stays in its own.

It exceeds the cost of any path, so that the request leaves only if its own
domain has no path at all.
"""

DRAINING_LAYER_COST_MS = 300.0
"""Additional cost of each layer that runs on a draining engine.

The engine may shut down before the answer is complete, so any other path is
preferred: three such layers cost more than a path in another failure domain
(``REMOTE_DOMAIN_COST_MS``).
"""


MAX_START_SHARE = 0.9
"""Share of an engine's slots up to which further paths may begin there.

Further requests wait at the engine until others end, which takes seconds. The
rest covers requests that other entries have sent since their last report.
"""


class NoPathReason(enum.Enum):
    """Reason why no path exists."""

    NO_CAPACITY = 'no_room'
    NOT_COVERED = 'not_covered'
    LIMITED = 'limited'
    """Only engines that accept no further request now could start one."""


@attrs.frozen
class RequestSize:
    """Size of a request.

    Attributes
    ----------
    prompt_tokens, output_tokens : float
        Tokens of the prompt, and expected tokens of the answer.
    """

    prompt_tokens: float
    output_tokens: float

    @property
    def tokens(self) -> float:
        """Tokens for which memory is reserved."""
        return self.prompt_tokens + self.output_tokens


@attrs.frozen
class FleetSnapshot:
    """State of the engines of a service when a path is chosen.

    Attributes
    ----------
    model : fleet.Model
        Sizes and speeds.
    engines : tuple of fleet.Server
        Engines that a path may use.
    draining : frozenset of str
        Names of the engines that will shut down soon.
    reserved : reservations.Reservations
        Memory reserved for requests.
    slowdowns : mapping of str to float
        Slowdown factor (measured time divided by expected time) by engine;
        1 for an engine without one.
    local_domain : str
        Failure domain of this entry.
    draw_random : callable
        Returns a random number of at least 0 and below 1.
    allow_crossing : bool
        Whether a path may change its failure domain between two hops if no
        domain has a complete path.
    bounds : mapping of str to bounds_module.Bound
        Lower bounds for costs by failure domain. A domain without a bound is
        always searched.
    exhausted : frozenset of str
        Engines at which no path may begin, as their limits are used up.
    max_reserved_share : float
        Share of each engine's memory that the request may reserve.
    max_start_share : float
        Share of an engine's slots up to which a path may begin there.
    remote_costs : mapping of str to float
        Cost in milliseconds of a path that begins in another failure domain;
        ``REMOTE_DOMAIN_COST_MS`` for a domain that is not listed.
    """

    model: fleet.Model
    engines: tuple[fleet.Server, ...]
    draining: frozenset[str]
    reserved: reservations.Reservations
    slowdowns: Mapping[str, float]
    local_domain: str
    draw_random: Callable[[], float]
    allow_crossing: bool = True
    bounds: Mapping[str, bounds_module.Bound] = attrs.field(factory=dict)
    exhausted: frozenset[str] = frozenset()
    max_reserved_share: float = reservations.MAX_RESERVED_SHARE
    max_start_share: float = MAX_START_SHARE
    remote_costs: Mapping[str, float] = attrs.field(factory=dict)


COST_JITTER_SHARE = 0.1
"""Largest random share that is added to the cost of an engine.

All entries receive the same loads about 200 ms late. Without jitter they
would all choose the same engine at the same moment.
"""


@attrs.frozen
class DomainPath:
    """Cheapest path within one failure domain.

    Attributes
    ----------
    domain : str
        The failure domain.
    extra_ms : float
        Additional cost of a domain that is not the entry's own.
    path : search.Path or None
        None if the domain has no path with enough free capacity.
    """

    domain: str
    extra_ms: float
    path: search.Path | None

    @property
    def total_ms(self) -> float:
        """Cost by which domains are compared; infinite without a path."""
        return math.inf if not self.path else self.path.cost_ms + self.extra_ms


def choose_path(
    fleet_snapshot: FleetSnapshot,
    request_size: RequestSize,
    domain_paths: Sequence[DomainPath] | None = None,
) -> search.Path | NoPathReason:
    """Choose the cheapest path with enough free capacity.

    A path within one failure domain is preferred to one that crosses domains.

    Parameters
    ----------
    fleet_snapshot : FleetSnapshot
        State of the engines.
    request_size : RequestSize
        Size of the request.
    domain_paths : sequence of DomainPath, optional
        Result of ``search_domains``, which is called without it.

    Returns
    -------
    search.Path or NoPathReason
        The path, or the reason why none exists.
    """
    if domain_paths is None:
        domain_paths = search_domains(fleet_snapshot, request_size)
    path = _select_cheapest(domain_paths, fleet_snapshot.local_domain)
    if path is None and fleet_snapshot.allow_crossing:
        path = search.find_path(
            build_candidates(
                fleet_snapshot, request_size, fleet_snapshot.engines
            ),
            fleet_snapshot.model.layers,
        )
    return find_no_path_reason(fleet_snapshot) if path is None else path


def find_no_path_reason(fleet_snapshot: FleetSnapshot) -> NoPathReason:
    """Find the reason why a fleet has no path with enough free capacity."""
    if _is_covered(fleet_snapshot, fleet_snapshot.exhausted):
        return NoPathReason.NO_CAPACITY
    if fleet_snapshot.exhausted and _is_covered(fleet_snapshot, ()):
        return NoPathReason.LIMITED
    return NoPathReason.NOT_COVERED


def _is_covered(
    fleet_snapshot: FleetSnapshot, exhausted: Container[str]
) -> bool:
    """Return whether a path would exist if memory were unlimited."""
    layers = fleet_snapshot.model.layers
    unlimited = [
        search.Candidate(
            engine, 1.0, layers, may_start=engine.id not in exhausted
        )
        for engine in fleet_snapshot.engines
    ]
    return search.find_path(unlimited, layers) is not None


def search_domains(
    fleet_snapshot: FleetSnapshot,
    request_size: RequestSize,
    is_exhaustive: bool = False,
) -> list[DomainPath]:
    """Search the local failure domain, then the others.

    Parameters
    ----------
    fleet_snapshot : FleetSnapshot
        State of the engines.
    request_size : RequestSize
        Size of the request.
    is_exhaustive : bool, optional
        Whether to search also domains that can't have the cheapest path.

    Returns
    -------
    list of DomainPath
        The domains that were searched.
    """
    domains: dict[str, list[fleet.Server]] = {}
    for engine in fleet_snapshot.engines:
        domains.setdefault(engine.failure_domain, []).append(engine)
    domain_paths: list[DomainPath] = []
    best_cost_ms = math.inf
    for domain in sorted(
        domains, key=lambda name: name != fleet_snapshot.local_domain
    ):
        extra_ms = (
            0.0
            if domain == fleet_snapshot.local_domain
            else fleet_snapshot.remote_costs.get(domain, REMOTE_DOMAIN_COST_MS)
        )
        if (
            not is_exhaustive
            and _compute_bound(fleet_snapshot, request_size, domain) + extra_ms
            >= best_cost_ms
        ):
            continue
        path = search.find_path(
            build_candidates(fleet_snapshot, request_size, domains[domain]),
            fleet_snapshot.model.layers,
        )
        domain_paths.append(DomainPath(domain, extra_ms, path))
        best_cost_ms = min(best_cost_ms, domain_paths[-1].total_ms)
    return domain_paths


def _select_cheapest(
    domain_paths: Sequence[DomainPath], local_domain: str
) -> search.Path | None:
    """Select the cheapest path of all failure domains."""
    best = min(domain_paths, key=lambda one: one.total_ms, default=None)
    if best is None or best.path is None or math.isinf(best.total_ms):
        return None
    return attrs.evolve(
        best.path,
        has_local_path=any(
            one.domain == local_domain and not math.isinf(one.total_ms)
            for one in domain_paths
        ),
    )


def _compute_bound(
    fleet_snapshot: FleetSnapshot, request_size: RequestSize, domain: str
) -> float:
    """Return a lower bound for the cost of a path in a failure domain."""
    bound = fleet_snapshot.bounds.get(domain)
    if bound is None:
        return 0.0
    return bound.compute_cost(
        request_size.prompt_tokens, request_size.output_tokens
    )


def build_candidates(
    fleet_snapshot: FleetSnapshot,
    request_size: RequestSize,
    engines: Iterable[fleet.Server],
) -> Iterable[search.Candidate]:
    """Yield a candidate for each engine with memory for requests.

    Parameters
    ----------
    fleet_snapshot : FleetSnapshot
        State of the engines.
    request_size : RequestSize
        Size of the request.
    engines : iterable of fleet.Server
        Engines to consider; those without layers or without memory for
        requests are skipped.
    """
    model = fleet_snapshot.model
    for engine in engines:
        if engine.layers is None or engine.layers.end > model.layers:
            continue
        capacity = model.compute_free_capacity(
            engine.kind, engine.layers.count
        )
        if capacity <= 0:
            continue
        reserved = fleet_snapshot.reserved.compute_reserved(engine.id)
        free = capacity * fleet_snapshot.max_reserved_share - reserved
        start_share = compute_start_share(fleet_snapshot.reserved, engine)
        slowdown = fleet_snapshot.slowdowns.get(engine.id, 1.0)
        cost_ms = search.estimate_layer_cost(
            model,
            engine.kind,
            (request_size.prompt_tokens, request_size.output_tokens),
            fleet_snapshot.reserved.request_counts.get(engine.id, 0),
            max(reserved / capacity, start_share),
            slowdown,
        )
        cost_ms *= 1.0 + COST_JITTER_SHARE * fleet_snapshot.draw_random()
        if engine.id in fleet_snapshot.draining:
            cost_ms += DRAINING_LAYER_COST_MS
        yield search.Candidate(
            engine,
            cost_ms,
            int(max(0.0, free) / max(1.0, request_size.tokens)),
            search.estimate_wait(
                model,
                engine.kind,
                fleet_snapshot.reserved.prefill_backlog.get(engine.id, 0.0),
                slowdown,
            ),
            engine.id not in fleet_snapshot.exhausted
            and start_share < fleet_snapshot.max_start_share,
        )


def compute_start_share(
    reserved: reservations.Reservations, engine: fleet.Server
) -> float:
    """Compute the share of an engine's slots that requests occupy.

    Only requests whose path begins at the engine occupy them.

    Parameters
    ----------
    reserved : reservations.Reservations
        Requests of all entries, by engine.
    engine : fleet.Server
        The engine.
    """
    if engine.layers is None or engine.layers.first > 0:
        return 0.0
    starts = reserved.compute_starts(engine.id)
    return starts / max(1, engine.slots)


def _randomize_cost(
    candidate: search.Candidate, draw_random: Callable[[], float]
) -> search.Candidate:
    """Multiply the cost of a candidate by an exponential random factor.

    All streams of a lost engine need a replacement for its layers at the same
    moment. If all chose the same engine, it would prefill their prompts one
    after the other. With exponential factors, each engine is the cheapest
    with a probability proportional to its speed.
    """
    factor = -math.log(1.0 - draw_random())
    return attrs.evolve(
        candidate, layer_cost_ms=candidate.layer_cost_ms * factor
    )


def choose_repair(
    fleet_snapshot: FleetSnapshot,
    request_size: RequestSize,
    hops: Sequence[search.Hop],
    lost: Container[str],
) -> tuple[search.Hop, ...] | None:
    """Replace the lost engines of a path within its failure domain.

    The remaining engines retain the cache of the request, so only the layers
    of the lost engines are prefilled again.

    Parameters
    ----------
    fleet_snapshot : FleetSnapshot
        State of the engines that may replace the lost ones.
    request_size : RequestSize
        Size of the request.
    hops : sequence of search.Hop
        The current path, whose first engine is not lost.
    lost : container of str
        Names of the engines to replace.

    Returns
    -------
    tuple of search.Hop or None
        The complete new path; None if the failure domain cannot replace the
        layers, or if the path would have too many hops.
    """
    domain = hops[0].server.failure_domain
    used = {hop.server.id for hop in hops}
    candidates = [
        _randomize_cost(candidate, fleet_snapshot.draw_random)
        for candidate in build_candidates(
            fleet_snapshot, request_size, fleet_snapshot.engines
        )
        if candidate.server.failure_domain == domain
        and candidate.server.id not in used
    ]
    repaired: list[search.Hop] = []
    for is_lost, group in itertools.groupby(
        hops, key=lambda hop: hop.server.id in lost
    ):
        section = list(group)
        if not is_lost:
            repaired.extend(section)
            continue
        path = search.find_path(
            candidates, section[-1].end, section[0].first, domain
        )
        if path is None:
            return None
        repaired.extend(path.hops)
        replacements = {hop.server.id for hop in path.hops}
        candidates = [
            candidate
            for candidate in candidates
            if candidate.server.id not in replacements
        ]
    if len(repaired) > search.MAX_HOPS:
        return None
    return tuple(repaired)


def choose_remainder(
    fleet_snapshot: FleetSnapshot, request_size: RequestSize, kept: search.Hop
) -> search.Path | None:
    """Choose the hops that follow a first hop which is retained.

    Parameters
    ----------
    fleet_snapshot : FleetSnapshot
        State of the engines.
    request_size : RequestSize
        Size of the request.
    kept : search.Hop
        The first hop, which is not part of the result.

    Returns
    -------
    search.Path or None
        None if the remaining layers cannot be served.
    """
    candidates = [
        candidate
        for candidate in build_candidates(
            fleet_snapshot, request_size, fleet_snapshot.engines
        )
        if candidate.server.id != kept.server.id
    ]
    return search.find_path(
        candidates,
        fleet_snapshot.model.layers,
        kept.end,
        kept.server.failure_domain,
    )
