"""Exponential backoff with full jitter.

Source: M. Brooker, "Exponential Backoff And Jitter", AWS Architecture
Blog, 2015.
"""

from __future__ import annotations

_MAX_EXPONENT = 30


def compute_delay(
    attempt: int, base_ms: int, cap_ms: int, fraction: float
) -> int:
    """Compute the delay before the next attempt.

    Parameters
    ----------
    attempt : int
        Number of earlier failures, from 0.
    base_ms : int
        Upper bound of the first delay, in milliseconds.
    cap_ms : int
        Upper bound of every delay, in milliseconds.
    fraction : float
        A random number from 0 to 1, drawn by the caller.

    Returns
    -------
    int
        Milliseconds, distributed uniformly below the exponential bound, so
        that callers that failed together do not retry together.
    """
    exponent = min(max(attempt, 0), _MAX_EXPONENT)
    bound = min(cap_ms, base_ms << exponent)
    return int(bound * fraction)
