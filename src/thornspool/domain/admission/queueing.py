"""Estimated waiting times, and the times at which refused callers return.

Load: more requests wait than the engines can serve before their callers
leave. A request that would wait too long is refused at once, so that its
caller does not lose the time, and returns when it can be served.
"""

from __future__ import annotations

import attrs

MAX_USEFUL_WAIT_MS = 1_500.0
"""Longest wait after which a request can still be served; callers abandon a
stream without an event after 2 s."""

DEFAULT_RETURN_MS = (400, 900)
"""Range of Retry-After without an estimate. A lost engine is detected within
0.5 s, and its neighbours load its layers within another second."""

MIN_RETURN_MS = 400.0
"""Least Retry-After: the age of the reports on which an estimate rests."""

MAX_RETURN_SHARE = 1.0 / 3.0
"""Share of the remaining time up to which callers honour Retry-After."""

RETURN_JITTER = 0.25
"""Random share that is added to a Retry-After, so that callers that were
refused together do not return together."""

_MS_PER_S = 1000.0


def estimate_wait_ms(queued_tokens: float, released_tokens: float) -> float:
    """Estimate how long a request waits for the requests ahead of it.

    Parameters
    ----------
    queued_tokens : float
        Tokens of the requests of all entries that are served first.
    released_tokens : float
        Tokens that are released per second.

    Returns
    -------
    float
        Milliseconds; 0 if no release has been observed, as after a start or
        while all engines stall, when there is nothing to estimate it from.
    """
    if queued_tokens <= 0 or released_tokens <= 0:
        return 0.0
    return queued_tokens / released_tokens * _MS_PER_S


def add_jitter(wait_ms: float, remaining_ms: float, drawn: float) -> float:
    """Spread the returns of callers that were refused together.

    Parameters
    ----------
    wait_ms : float
        Time after which a caller returns.
    remaining_ms : float
        Time until its deadline.
    drawn : float
        Random number of at least 0 and below 1.

    Returns
    -------
    float
        Milliseconds; not more than callers honour.
    """
    latest_ms = max(MIN_RETURN_MS, remaining_ms * MAX_RETURN_SHARE)
    spread = 1.0 + RETURN_JITTER * drawn
    least_ms = min(wait_ms, latest_ms / (1.0 + RETURN_JITTER))
    return max(MIN_RETURN_MS, least_ms) * spread


@attrs.define
class ReturnSchedule:
    """Times at which the callers that this entry refused return.

    Refused callers return one after the other, at the rate of this entry's
    share of the released memory.

    Attributes
    ----------
    scheduled_until : float
        Milliseconds of the clock up to which callers were told to return.
    """

    scheduled_until: float = 0.0

    def schedule(
        self, wait_ms: float, interval_ms: float, remaining_ms: float, now: int
    ) -> float:
        """Schedule the return of a caller.

        Parameters
        ----------
        wait_ms : float
            Estimated wait of the request.
        interval_ms : float
            Time in which this entry's share of the released memory serves
            the request.
        remaining_ms : float
            Time until the deadline of the caller.
        now : int
            Milliseconds of the clock.

        Returns
        -------
        float
            Milliseconds after which the caller returns.
        """
        earliest = now + max(MIN_RETURN_MS, wait_ms)
        latest = now + max(MIN_RETURN_MS, remaining_ms * MAX_RETURN_SHARE)
        at = min(latest, max(earliest, self.scheduled_until))
        self.scheduled_until = min(latest, at + interval_ms)
        return at - now
