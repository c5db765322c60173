"""Short names of engines for news between entries."""

from __future__ import annotations

import functools

import xxhash

MARK_BITS = 24
"""Bits of an engine's mark; among 690 engines, one pair in 70 fleets has
the same one, and each of the two then seems to hold what both do."""

KEPT_MARKS = 4_096
"""Marks that are kept; some 700 engines and those that they replaced."""


@functools.lru_cache(KEPT_MARKS)
def compute_mark(name: str) -> int:
    """Compute the short name of an engine.

    Whole names would make up most of the bytes of all news.
    """
    return xxhash.xxh32_intdigest(name.encode()) >> (32 - MARK_BITS)
