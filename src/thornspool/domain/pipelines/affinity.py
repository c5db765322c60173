"""Estimates which targets hold the cache of a prompt's prefix.

Cache events arrive late and incompletely. So a record of where a prefix last
ran loses weight with time, instead of counting fully until an event
contradicts it.
"""

from __future__ import annotations

import collections

import attrs
import xxhash

PREFIX_CHARACTERS = 256

_WEIGHT_HALF_LIFE_MS = 30_000
_MAX_PREFIXES = 4_096


def compute_prefix(prompt: str) -> int:
    """Return the digest of a prompt's prefix."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


@attrs.frozen
class _PrefixUse:
    target: str
    at: int


class PrefixAffinity:
    """Targets on which this entry last ran each prefix.

    Parameters
    ----------
    max_prefixes : int, optional
        Maximum number of prefixes; the least recently used are dropped.
    """

    def __init__(self, max_prefixes: int = _MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._uses: collections.OrderedDict[
            int, dict[tuple[int, int], _PrefixUse]
        ] = collections.OrderedDict()

    def record(
        self, prefix: int, layers: tuple[int, int], target: str, now: int
    ) -> None:
        """Record that a target ran a layer range for a prefix."""
        by_range = self._uses.setdefault(prefix, {})
        by_range[layers] = _PrefixUse(target, now)
        self._uses.move_to_end(prefix)
        while len(self._uses) > self._max_prefixes:
            self._uses.popitem(last=False)

    def read_weight(
        self, prefix: int, layers: tuple[int, int], target: str, now: int
    ) -> float:
        """Return the weight, 0 to 1, of a prefix still being cached."""
        last_use = self._uses.get(prefix, {}).get(layers)
        if last_use is None or last_use.target != target:
            return 0.0
        return float(0.5 ** ((now - last_use.at) / _WEIGHT_HALF_LIFE_MS))

    def find(self, prefix: int, layers: tuple[int, int]) -> str:
        """Return the target that last ran a layer range, empty if none."""
        last_use = self._uses.get(prefix, {}).get(layers)
        return '' if last_use is None else last_use.target
