"""Exponential backoff with full jitter.

Source: M. Brooker, "Exponential Backoff And Jitter", AWS Architecture
Blog, 2015.
"""

from __future__ import annotations

_LARGEST_EXPONENT = 30


def compute_delay(
    attempt: int, base_ms: int, cap_ms: int, fraction: float
) -> int:
    """Compute the wait before an attempt.

    Parameters
    ----------
    attempt : int
        Number of failures so far, from 0.
    base_ms : int
        Upper bound of the first wait, in milliseconds.
    cap_ms : int
        Upper bound of every wait, in milliseconds.
    fraction : float
        A random number from 0 to 1, drawn by the caller.

    Returns
    -------
    int
        Milliseconds, spread evenly under the exponential bound, so that
        callers that failed together do not come back together.
    """
    exponent = min(max(attempt, 0), _LARGEST_EXPONENT)
    bound = min(cap_ms, base_ms << exponent)
    return int(bound * fraction)
