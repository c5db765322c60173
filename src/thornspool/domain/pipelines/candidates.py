"""The engines that one entry considers: a bounded subset of the fleet.

With hundreds of entries before hundreds of engines, connections and load
reports of every entry with every engine would grow with the product of the
two. Each entry keeps a few engines for each layer range, chosen by
rendezvous hashing (Thaler and Ravishankar, 1998): entries spread over the
engines, and a change of one engine moves only the entries that had it.
"""

from __future__ import annotations

import collections
import typing

import xxhash

if typing.TYPE_CHECKING:
    from thornspool.domain.configuration import documents


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


def _compute_weight(entry: str, target: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{entry}\0{target}'.encode())
