"""Parts of prompts that ran well recently."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

MAX_PROVEN = 4096

MAX_ENDED = 4
"""Ended targets, without a good run since, after which a proof is dropped.

All requests of a route may share a part, so that it is at the ends that any
of the other parts has caused.
"""


class ProvenParts:
    """Parts of prompts that ran well, with the targets that ended since.

    Parameters
    ----------
    capacity : int, optional
        Maximum number of parts; the least recently proven are evicted.
    """

    def __init__(self, capacity: int = MAX_PROVEN) -> None:
        self._capacity = capacity
        self._ended: dict[str, set[str]] = {}

    def __contains__(self, part: str) -> bool:
        return part in self._ended

    def __len__(self) -> int:
        return len(self._ended)

    def record(self, part: str) -> None:
        """Record that a target ran a request with the part well."""
        self._ended.pop(part, None)
        self._ended[part] = set()
        if len(self._ended) > self._capacity:
            del self._ended[next(iter(self._ended))]

    def record_end(
        self, part: str, target: str, is_explained: Callable[[str], bool]
    ) -> None:
        """Record that a target ended under a request with a proven part.

        Parameters
        ----------
        part : str
            Name of the part.
        target : str
            Name of the target.
        is_explained : callable
            Returns whether a suspect may have caused the end of a target.
        """
        ended = self._ended.get(part)
        if ended is None:
            return
        ended.add(target)
        ended -= {one for one in ended if is_explained(one)}
        if len(ended) >= MAX_ENDED:
            del self._ended[part]
