"""Candidate engines of one entry: a bounded subset of the fleet.

With hundreds of entries and hundreds of engines, the number of connections
and load reports would grow with the product of the two if every entry used
every engine. Each entry uses a few engines for each layer range, chosen by
rendezvous hashing (Thaler and Ravishankar, 1998): entries are balanced over
the engines, and a change of one engine affects only the entries that use it.
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

DRAWN_STAGES = 2
"""Number of stages compared among those with the same layers."""


def choose_candidates(
    entry: str, model: documents.Model, per_range: int
) -> list[documents.Stage]:
    """Choose the candidate stages of a model for an entry.

    Parameters
    ----------
    entry : str
        Name of the entry's host.
    model : documents.Model
        The model.
    per_range : int
        Maximum number of stages for each layer range.

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
    preferred: Callable[[tuple[int, int]], str],
) -> list[documents.Stage]:
    """Draw the stages for planning a request, by a hash of its content.

    A prompt that crashes engines may arrive at several entries at once,
    before the first crash is reported. If the entries drew independently,
    each would crash a different engine; so all draw the same ones. As
    prompts differ, the load on the engines is the same as with random draws.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request's content.
    usable : iterable of documents.Stage
        Stages that may be used.
    targets : dict of str to documents.Target
        Targets by name.
    preferred : callable
        Returns the target that has cached the prompt's prefix for a layer
        range. It may differ between entries and is always included: a
        prompt whose prefix has run before rarely crashes an engine.
    """
    groups: dict[tuple[int, int, str], list[documents.Stage]]
    groups = collections.defaultdict(list)
    for stage in usable:
        domain = targets[stage.target].failure_domain
        groups[stage.first_layer, stage.end_layer, domain].append(stage)
    drawn: list[documents.Stage] = []
    for (first_layer, end_layer, _), stages in groups.items():
        cached_target = preferred((first_layer, end_layer))
        chosen = heapq.nlargest(
            DRAWN_STAGES,
            stages,
            key=lambda stage: _compute_weight(fingerprint, stage.target),
        )
        drawn.extend(chosen)
        drawn.extend(
            stage
            for stage in stages
            if stage.target == cached_target and stage not in chosen
        )
    return drawn


def _compute_weight(key: str, target: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{target}'.encode())
