"""How many paths may change their failure domain in the middle.

The activations of a whole prompt then cross a link that all requests share:
37 MB a usual request, 0.1 s of it. Where engines of every domain refused for
a moment, so that no domain had a whole path, most requests took paths with
three changes; the links needed minutes for what came in seconds, 900 of 5,700
requests had no first event within 2 s, and what waited held memory that
others were refused for. A request that waits finds a path within a domain
some 0.3 s later.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from thornspool.domain.fleet import messages as fleet

USED_SHARE = 0.4
"""Share of the link that such paths may use; the rest is for tokens of
running streams and for streams that go on over another path.

Weighed: 0.6 of the links between each two domains, for two changes a path.
On 98 engines in four domains a day was worth 0.36 then and 0.46 with this, on
39 engines in three domains 0.65 and 0.72.
"""

USUAL_CROSSINGS = 3.0
"""Changes of domain on a path that takes its engines where it finds them;
2 to 7 were seen."""

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
