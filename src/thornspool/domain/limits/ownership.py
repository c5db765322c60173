"""Assignment of names to the entries that own them, by rendezvous hashing.

Source: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", IEEE/ACM Transactions on Networking, 1998.
"""

from __future__ import annotations

import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


def find_owner(name: str, incarnations: Iterable[str]) -> str:
    """Return the incarnation of the entry that owns a name.

    Parameters
    ----------
    name : str
        Any name.
    incarnations : iterable of str
        Incarnations of the candidate entries; at least one.
    """
    return max(
        incarnations, key=lambda entry: (_compute_weight(name, entry), entry)
    )


def _compute_weight(name: str, entry: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{name}\0{entry}'.encode())
