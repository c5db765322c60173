"""Short hashes of server names, used in state updates between entries."""

from __future__ import annotations

import functools

import xxhash

HASH_BITS = 24
"""Number of bits of a server hash.

With 690 engines, one fleet in 70 has a pair with the same hash. Each engine of
such a pair is then charged with the requests of both.
"""

CACHED_HASHES = 4_096
"""Size of the cache: some 700 engines and those that they replaced."""


@functools.lru_cache(CACHED_HASHES)
def compute_server_hash(name: str) -> int:
    """Compute the hash that identifies a name in state updates.

    Full names would account for most of the bytes of all state updates.
    """
    return xxhash.xxh32_intdigest(name.encode()) >> (32 - HASH_BITS)
