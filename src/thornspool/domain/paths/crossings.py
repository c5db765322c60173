"""How many paths may change their failure domain in the middle.

The activations of a whole prompt then cross a link that all requests share.
Where engines of every domain refuse for a moment, such paths fill the link
with more than it carries, and what waits for it holds memory that others are
refused for. A request that waits instead mostly finds a path within a domain
a moment later.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from thornspool.domain.fleet import messages as fleet

USED_SHARE = 0.4
"""Share of the link that such paths may use; the rest is for tokens of
running streams and for streams that go on over another path."""

USUAL_CROSSINGS = 3.0
"""Changes of domain on a path that takes its engines where it finds them."""

_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1e6


def compute_share(model: fleet.Model, requests_per_s: float) -> float:
    """Compute the share of requests that may use such paths.

    Each entry draws for each of its requests, so that all entries together
    keep to it without a word.

    Parameters
    ----------
    model : fleet.Model
        Sizes of activations and links.
    requests_per_s : float
        Requests of all entries.

    Returns
    -------
    float
        From 0 to 1; 1 where the link's speed is not known.
    """
    tokens = model.usual_prompt + model.usual_answer
    size = tokens * model.activation_bytes * _BITS_PER_BYTE
    if size <= 0 or model.pipe_mbps <= 0 or requests_per_s <= 0:
        return 1.0
    crossings_per_s = model.pipe_mbps * _BITS_PER_MBIT / size
    paths_per_s = USED_SHARE * crossings_per_s / USUAL_CROSSINGS
    return min(1.0, paths_per_s / requests_per_s)
