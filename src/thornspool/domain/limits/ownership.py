"""Which entry looks after a name, by rendezvous hashing.

Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", IEEE/ACM Transactions on Networking, 1998.
"""

from __future__ import annotations

import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


def find_owner(name: str, incarnations: Iterable[str]) -> str:
    """Return the incarnation that looks after a name.

    Parameters
    ----------
    name : str
        Any name.
    incarnations : iterable of str
        At least one.
    """
    return max(incarnations, key=lambda entry: (_weigh(name, entry), entry))


def _weigh(name: str, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{name}\0{entry}'.encode())
