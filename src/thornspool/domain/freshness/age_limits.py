"""Ages of the copy of the store up to which an entry relies on it."""

from __future__ import annotations

import attrs

from thornspool.domain.freshness import confirmations


@attrs.frozen
class AgeLimits:
    """Ages in milliseconds up to which the copy supports a decision.

    Attributes
    ----------
    key_ms : float
        Age up to which requests with a key are served, so that a withdrawn
        key is rejected in time.
    denial_ms : float
        Age up to which the copy shows that a route or a key does not exist.
        An older copy may lack a version that must be in force.
    """

    key_ms: float
    denial_ms: float


def compute_limits(withdrawn_key_ms: int, configuration_ms: int) -> AgeLimits:
    """Compute the limits from the bounds of the deployment.

    Parameters
    ----------
    withdrawn_key_ms : int
        Time after which a withdrawn key must be rejected, in milliseconds.
    configuration_ms : int
        Time after which a configuration must be in force, in milliseconds.
    """
    share = confirmations.BOUND_SHARE
    return AgeLimits(withdrawn_key_ms * share, configuration_ms * share)
