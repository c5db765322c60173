"""Bound on the tokens a second of a set of stages: a maximum flow."""

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
    """Compute the most tokens a millisecond that stages and links let pass.

    Each boundary between layers has the whole rate of each link to itself,
    and the way back to the first stage is free, so no planner can do
    better than this bound.

    Parameters
    ----------
    model : documents.Model
        The model and its stages.
    domains : dict of str to str
        Failure domain of each target.
    stage_rate : callable
        From a target to tokens a millisecond.
    link_rate : callable
        From two failure domains to tokens a millisecond.

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
    names: list[str],
    link_rate: Callable[[str, str], float],
) -> None:
    boundaries = {stage.end_layer for stage in model.stages}
    for boundary in boundaries:
        for first in names:
            for second in names:
                graph[f'{boundary} {first} left'][
                    f'{boundary} {second} reached'
                ] = link_rate(first, second)


def _run_edmonds_karp(graph: Graph) -> float:
    """Edmonds and Karp, 1972: augment along shortest paths."""
    total = 0.0
    while True:
        came_from = _search(graph)
        if _SINK not in came_from:
            return total
        path = [_SINK]
        while path[-1] != _SOURCE:
            path.append(came_from[path[-1]])
        edges = list(zip(path[1:], path, strict=False))
        room = min(graph[first][second] for first, second in edges)
        for first, second in edges:
            graph[first][second] -= room
            back = graph[second].get(first, 0.0)
            graph[second][first] = back + room
        total += room


def _search(graph: Graph) -> dict[str, str]:
    came_from = {_SOURCE: ''}
    waiting = collections.deque([_SOURCE])
    while waiting:
        node = waiting.popleft()
        for following, room in graph.get(node, {}).items():
            if room > 1e-9 and following not in came_from:
                came_from[following] = node
                waiting.append(following)
    return came_from
