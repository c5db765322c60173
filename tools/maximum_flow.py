"""Upper bound on the token rate of a set of stages, as a maximum flow."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.configuration import documents

_SOURCE = 'source'
_SINK = 'sink'

Graph = dict[str, dict[str, float]]


def compute_bound(
    model: documents.Model,
    domains: dict[str, str],
    stage_rate: Callable[[str], float],
    link_rate: Callable[[str, str], float],
) -> float:
    """Compute the maximum token rate of stages and links.

    Each boundary between layers is given the whole rate of each link, and
    the return of tokens to the first stage has no cost, so no planner can
    exceed this bound.

    Parameters
    ----------
    model : documents.Model
        The model and its stages.
    domains : dict of str to str
        Failure domain of each target.
    stage_rate : callable
        Returns the tokens a millisecond of a target.
    link_rate : callable
        Returns the tokens a millisecond between two failure domains.

    Returns
    -------
    float
        Tokens a millisecond.
    """
    graph: Graph = collections.defaultdict(dict)
    for stage in model.stages:
        begin = f'{stage.target} in'
        end = f'{stage.target} out'
        graph[begin][end] = stage_rate(stage.target)
        if stage.first_layer == 0:
            graph[_SOURCE][begin] = float('inf')
        if stage.end_layer == model.layers:
            graph[end][_SINK] = float('inf')
        domain = domains[stage.target]
        graph[end][f'{stage.end_layer} {domain} left'] = float('inf')
        graph[f'{stage.first_layer} {domain} reached'][begin] = float('inf')
    _add_links(graph, model, sorted(set(domains.values())), link_rate)
    return _run_edmonds_karp(graph)


def _add_links(
    graph: Graph,
    model: documents.Model,
    domain_names: list[str],
    link_rate: Callable[[str, str], float],
) -> None:
    boundaries = {stage.end_layer for stage in model.stages}
    for boundary in boundaries:
        for first in domain_names:
            for second in domain_names:
                graph[f'{boundary} {first} left'][
                    f'{boundary} {second} reached'
                ] = link_rate(first, second)


def _run_edmonds_karp(graph: Graph) -> float:
    """Return the maximum flow by augmenting shortest paths.

    The algorithm is that of Edmonds and Karp (1972).
    """
    total = 0.0
    while True:
        predecessors = _find_predecessors(graph)
        if _SINK not in predecessors:
            return total
        path = [_SINK]
        while path[-1] != _SOURCE:
            path.append(predecessors[path[-1]])
        edges = list(zip(path[1:], path, strict=False))
        capacity = min(graph[first][second] for first, second in edges)
        for first, second in edges:
            graph[first][second] -= capacity
            reverse = graph[second].get(first, 0.0)
            graph[second][first] = reverse + capacity
        total += capacity


def _find_predecessors(graph: Graph) -> dict[str, str]:
    predecessors = {_SOURCE: ''}
    waiting = collections.deque([_SOURCE])
    while waiting:
        node = waiting.popleft()
        for successor, capacity in graph.get(node, {}).items():
            if capacity > 1e-9 and successor not in predecessors:
                predecessors[successor] = node
                waiting.append(successor)
    return predecessors
