"""The engines that one entry considers: a bounded subset of the fleet.

With hundreds of entries before hundreds of engines, connections and load
reports of every entry with every engine would grow with the product of the
two. Each entry keeps a few engines for each layer range, chosen by
rendezvous hashing (Thaler and Ravishankar, 1998): entries spread over the
engines, and a change of one engine moves only the entries that had it.
"""

from __future__ import annotations

import collections
import heapq
import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from thornspool.domain.configuration import documents

DRAWN = 2
"""Stages that are compared of those that hold the same layers."""


def choose_candidates(
    entry: str, model: documents.Model, per_range: int
) -> list[documents.Stage]:
    """Choose the stages of a model that an entry considers.

    Parameters
    ----------
    entry : str
        Name of the entry's host.
    model : documents.Model
        The model.
    per_range : int
        Stages to keep for each layer range.

    Returns
    -------
    list of documents.Stage
        At most ``per_range`` for each distinct layer range.
    """
    by_range: dict[tuple[int, int], list[documents.Stage]]
    by_range = collections.defaultdict(list)
    for stage in model.stages:
        by_range[stage.first_layer, stage.end_layer].append(stage)
    chosen: list[documents.Stage] = []
    for stages in by_range.values():
        ranked = sorted(
            stages, key=lambda stage: _compute_weight(entry, stage.target)
        )
        chosen.extend(ranked[:per_range])
    return chosen


def draw_stages(
    fingerprint: str,
    usable: Iterable[documents.Stage],
    targets: dict[str, documents.Target],
    favourite: Callable[[tuple[int, int]], str],
) -> list[documents.Stage]:
    """Draw the stages that a request is planned with, by its content.

    A prompt that crashes engines may come through several entries at once,
    before any can know of it. If each drew by itself, each would lose
    another engine; so all draw the same ones. Prompts differ, so to the
    engines it is as good as chance.

    Parameters
    ----------
    fingerprint : str
        The request's.
    usable : iterable of documents.Stage
        Stages that may be used.
    targets : dict of str to documents.Target
        Targets by name.
    favourite : callable
        Returns the target that has the prompt's prefix for a layer range.
        It may be another at each entry, and stays among the drawn: a
        prompt with a prefix that ran is rarely one that crashes.
    """
    groups: dict[tuple[int, int, str], list[documents.Stage]]
    groups = collections.defaultdict(list)
    for stage in usable:
        domain = targets[stage.target].failure_domain
        groups[stage.first_layer, stage.end_layer, domain].append(stage)
    drawn: list[documents.Stage] = []
    for (first_layer, end_layer, _), stages in groups.items():
        warm = favourite((first_layer, end_layer))
        chosen = heapq.nlargest(
            DRAWN,
            stages,
            key=lambda stage: _compute_weight(fingerprint, stage.target),
        )
        drawn.extend(chosen)
        drawn.extend(
            stage
            for stage in stages
            if stage.target == warm and stage not in chosen
        )
    return drawn


def _compute_weight(entry: str, target: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{entry}\0{target}'.encode())
