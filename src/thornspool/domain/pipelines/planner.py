"""Route planner: shortest path over layer boundaries and failure domains.

Stages that hold the same layers in the same failure domain differ only in
their load. Two of them are drawn and the better one is used (the power of
two choices; Mitzenmacher, 2001): every entry reads the same outdated load,
and if each chose the best stage, all would overload it. The result is a
layered graph with at most one node for each pair of layer range and domain.
Its shortest path is found exactly by dynamic programming, once for each
domain of the first stage because the token returns there.
"""

from __future__ import annotations

import collections
import typing

import attrs

from thornspool.domain.pipelines import candidates
from thornspool.domain.pipelines import exceptions
from thornspool.domain.pipelines import routes
from thornspool.domain.targets import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    import random

    from thornspool.domain.configuration import documents


@attrs.frozen
class Costs:
    """Cost functions of the planner for the current state.

    Attributes
    ----------
    stage : callable
        Returns the milliseconds of one token in a stage.
    link : callable
        Returns the one-way milliseconds between two failure domains.
    preferred : callable
        Returns the target that must be among those drawn for a layer range,
        empty for none.
    """

    stage: Callable[[documents.Stage], float]
    link: Callable[[str, str], float]
    preferred: Callable[[tuple[int, int]], str] = lambda _layers: ''


@attrs.frozen
class _Node:
    """A drawn stage with its failure domain and cost."""

    stage: documents.Stage
    domain: str
    cost: float


@attrs.frozen
class _Path:
    """The cheapest path to a node from a given first domain."""

    cost: float
    nodes: tuple[_Node, ...]


def list_usable(
    stages: Iterable[documents.Stage],
    targets: dict[str, documents.Target],
    view: messages.TargetView,
    excluded: frozenset[str] = frozenset(),
) -> list[documents.Stage]:
    """Return the stages whose target accepts new requests."""
    return [
        stage
        for stage in stages
        if stage.target not in excluded
        and _is_usable(targets.get(stage.target), view)
    ]


def _is_usable(
    target: documents.Target | None, view: messages.TargetView
) -> bool:
    if target is None or target.leaving:
        return False
    return view.read_readiness(target.name) is messages.Readiness.READY


def plan_route(
    model: documents.Model,
    usable: Iterable[documents.Stage],
    targets: dict[str, documents.Target],
    costs: Costs,
    random_source: random.Random,
) -> routes.Route:
    """Plan a route for one attempt.

    Parameters
    ----------
    model : documents.Model
        Model to run.
    usable : iterable of documents.Stage
        Stages that may be used, all of this model.
    targets : dict of str to documents.Target
        Targets by name.
    costs : Costs
        Current costs.
    random_source : random.Random
        Source of the random draws.

    Returns
    -------
    routes.Route
        A route that covers every layer once, in order.

    Raises
    ------
    NoPipeline
        When the stages leave a layer uncovered.
    """
    nodes = _draw_nodes(usable, targets, costs, random_source)
    first_domains = {
        node.domain for node in nodes if node.stage.first_layer == 0
    }
    best: _Path | None = None
    for domain in sorted(first_domains):
        path = _find_path(model.layers, nodes, domain, costs)
        if path is not None and (best is None or path.cost < best.cost):
            best = path
    if best is None:
        raise exceptions.NoPipeline(
            f'No set of ready targets covers the layers of {model.name}.',
            'See thornspool status for targets that are down or leaving.',
        )
    return _build_route(best, targets)


def _draw_nodes(
    usable: Iterable[documents.Stage],
    targets: dict[str, documents.Target],
    costs: Costs,
    random_source: random.Random,
) -> list[_Node]:
    groups: dict[tuple[int, int, str], list[documents.Stage]]
    groups = collections.defaultdict(list)
    for stage in usable:
        domain = targets[stage.target].failure_domain
        groups[stage.first_layer, stage.end_layer, domain].append(stage)
    return [
        _draw_node(stages, domain, costs, random_source)
        for (_, _, domain), stages in sorted(
            groups.items(), key=lambda item: item[0]
        )
    ]


def _draw_node(
    stages: list[documents.Stage],
    domain: str,
    costs: Costs,
    random_source: random.Random,
) -> _Node:
    drawn = random_source.sample(
        stages, min(candidates.DRAWN_STAGES, len(stages))
    )
    layers = (stages[0].first_layer, stages[0].end_layer)
    preferred = costs.preferred(layers)
    if preferred:
        drawn.extend(stage for stage in stages if stage.target == preferred)
    candidate_costs = [(costs.stage(stage), stage) for stage in drawn]
    cost, stage = min(candidate_costs, key=lambda pair: pair[0])
    return _Node(stage, domain, cost)


def _find_path(
    layers: int, nodes: list[_Node], first_domain: str, costs: Costs
) -> _Path | None:
    """Find the cheapest path that starts and ends in a domain."""
    # Nodes are sorted by first layer, so all paths that end at a boundary
    # are settled before any node that starts there is visited.
    settled: dict[int, dict[str, _Path]] = collections.defaultdict(dict)
    for node in nodes:
        path = _extend(settled, node, first_domain, costs)
        if path is None:
            continue
        ends = settled[node.stage.end_layer]
        cheapest = ends.get(node.domain)
        if cheapest is None or path.cost < cheapest.cost:
            ends[node.domain] = path
    closed = [
        _Path(path.cost + costs.link(domain, first_domain), path.nodes)
        for domain, path in settled[layers].items()
    ]
    return min(closed, key=lambda path: path.cost, default=None)


def _extend(
    settled: dict[int, dict[str, _Path]],
    node: _Node,
    first_domain: str,
    costs: Costs,
) -> _Path | None:
    if node.stage.first_layer == 0:
        if node.domain != first_domain:
            return None
        return _Path(node.cost, (node,))
    reached = [
        (path.cost + costs.link(domain, node.domain), path)
        for domain, path in settled[node.stage.first_layer].items()
    ]
    if not reached:
        return None
    cost, path = min(reached, key=lambda pair: pair[0])
    return _Path(cost + node.cost, (*path.nodes, node))


def _build_route(
    path: _Path, targets: dict[str, documents.Target]
) -> routes.Route:
    stages = tuple(
        routes.RouteStage(
            target=node.stage.target,
            url=targets[node.stage.target].url,
            first_layer=node.stage.first_layer,
            end_layer=node.stage.end_layer,
            failure_domain=node.domain,
        )
        for node in path.nodes
    )
    return routes.Route(stages, path.cost)
