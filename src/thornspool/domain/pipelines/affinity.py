"""Which targets are likely to hold the cache of a prompt's prefix.

Cache events come late and with gaps, so a memory of where a prefix last ran
loses weight with time instead of being trusted until an event denies it.
"""

from __future__ import annotations

import collections

import attrs
import xxhash

PREFIX_CHARACTERS = 256

_HALF_LIFE_MS = 30_000
_LONGEST = 4_096


def compute_prefix(prompt: str) -> int:
    """Return the digest of a prompt's prefix."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


@attrs.frozen
class _Sighting:
    target: str
    at: int


class PrefixAffinity:
    """Where prefixes last ran, as seen by this entry; bounded."""

    def __init__(self, longest: int = _LONGEST) -> None:
        self._longest = longest
        self._seen: collections.OrderedDict[
            int, dict[tuple[int, int], _Sighting]
        ] = collections.OrderedDict()

    def note(
        self, prefix: int, layers: tuple[int, int], target: str, now: int
    ) -> None:
        """Remember that a target ran a layer range for a prefix."""
        by_range = self._seen.setdefault(prefix, {})
        by_range[layers] = _Sighting(target, now)
        self._seen.move_to_end(prefix)
        while len(self._seen) > self._longest:
            self._seen.popitem(last=False)

    def read_weight(
        self, prefix: int, layers: tuple[int, int], target: str, now: int
    ) -> float:
        """Return how likely a target still holds a prefix, 0 to 1."""
        sighting = self._seen.get(prefix, {}).get(layers)
        if sighting is None or sighting.target != target:
            return 0.0
        return float(0.5 ** ((now - sighting.at) / _HALF_LIFE_MS))

    def find(self, prefix: int, layers: tuple[int, int]) -> str:
        """Return the target that last ran a range, empty when unknown."""
        sighting = self._seen.get(prefix, {}).get(layers)
        return '' if sighting is None else sighting.target
