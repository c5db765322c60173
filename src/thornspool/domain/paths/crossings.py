"""Limit on requests whose path crosses failure domains between two hops.

On such a path the activations of the whole prompt cross a link that all
requests share. While engines of every domain refuse requests, unlimited
crossing paths would exceed the capacity of the link, and requests that wait
for the link reserve memory for which others are refused. A request that
retries instead usually finds a path within one domain a moment later.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from thornspool.domain.fleet import messages as fleet

MAX_LINK_SHARE = 0.4
"""Share of the link that prompts on crossing paths may use; the rest is
reserved for the tokens of running streams and for streams that fail over."""

CROSSINGS_PER_PATH = 3.0
"""Expected changes of domain on a path that may use engines of any domain."""

_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1e6


def compute_share(model: fleet.Model, requests_per_s: float) -> float:
    """Compute the share of requests that may cross failure domains.

    Each entry draws a random number for each of its requests, so that all
    entries together stay within the limit without communication.

    Parameters
    ----------
    model : fleet.Model
        Size of the activations and speed of the link.
    requests_per_s : float
        Requests of all entries per second.

    Returns
    -------
    float
        From 0 to 1; 1 if the speed of the link is unknown.
    """
    tokens = model.usual_prompt + model.usual_answer
    bits = tokens * model.activation_bytes * _BITS_PER_BYTE
    if bits <= 0 or model.pipe_mbps <= 0 or requests_per_s <= 0:
        return 1.0
    crossings_per_s = model.pipe_mbps * _BITS_PER_MBIT / bits
    paths_per_s = MAX_LINK_SHARE * crossings_per_s / CROSSINGS_PER_PATH
    return min(1.0, paths_per_s / requests_per_s)
