"""Rate limit and backoff for calls to the platform.

The capacity of the platform does not grow with the fleet. After a failure,
simultaneous retries of all entries would keep it down; the symptom is a
rising number of calls with a falling number of responses. After repeated
failures the gate admits one probe at a time and increases the delay after
each failed probe.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.application import exceptions
from thornspool.domain.limits import buckets
from thornspool.domain.retries import backoff

if typing.TYPE_CHECKING:
    from collections.abc import Callable

_FAILURES_BEFORE_BACKOFF = 2
_PROBE_RETRY_MS = 50
"""Delay in milliseconds before a retry while a probe is in flight."""


@attrs.frozen
class GateSettings:
    """Limits of the gate.

    Attributes
    ----------
    calls_per_s : float
        Rate limit of one entry in calls per second. It exceeds the write
        rate of all ledger pages, because one entry may write all of them.
    burst : float
        Number of calls that may be sent at once.
    max_wait_ms : int
        Maximum wait of a call at the gate in milliseconds.
    backoff_base_ms, backoff_cap_ms : int
        Initial and maximum backoff after failures in milliseconds.
    backoff_ms_per_entry : int
        Milliseconds per entry of the fleet; the product replaces the cap if
        it is larger. The probe rate of the fleet is then independent of its
        size: 5 ms result in 400 probes per second.
    """

    calls_per_s: float = 150.0
    burst: float = 100.0
    max_wait_ms: int = 100
    backoff_base_ms: int = 50
    backoff_cap_ms: int = 250
    backoff_ms_per_entry: int = 5


class Gate:
    """Admits calls according to the rate limit and the backoff.

    Parameters
    ----------
    settings : GateSettings
        Limits of the gate.
    draw : callable
        Returns random numbers from 0 to 1, for jitter.
    """

    def __init__(
        self, settings: GateSettings, draw: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._draw = draw
        self._bucket: buckets.TokenBucket | None = None
        self._failures = 0
        self._backoff_until = 0
        self._probing = False
        self._entry_count = 0

    @property
    def is_backing_off(self) -> bool:
        """Whether only one call at a time is admitted, as a probe."""
        return self._failures >= _FAILURES_BEFORE_BACKOFF

    def admit(self, now: int) -> int:
        """Admit a call.

        Parameters
        ----------
        now : int
            Monotonic time in milliseconds.

        Returns
        -------
        int
            Delay in milliseconds before the call may be sent.

        Raises
        ------
        PlatformError
            If the delay would be too long; the call must not be sent.
        """
        backing_off = self.is_backing_off
        backoff_ms = max(0, self._backoff_until - now) if backing_off else 0
        max_wait_ms = self._settings.max_wait_ms
        if backoff_ms > max_wait_ms or (backing_off and self._probing):
            raise exceptions.PlatformCallNotSent(
                max(backoff_ms, _PROBE_RETRY_MS)
            )
        delay_ms = self._get_bucket(now).reserve(1.0, now, max_wait_ms)
        if delay_ms is None:
            raise exceptions.PlatformError(
                'The rate limit for calls to the platform is exceeded.',
                'Retry after one second.',
            )
        self._probing = backing_off
        return max(delay_ms, backoff_ms)

    def compute_backoff_ms(self, now: int) -> int | None:
        """Return the time until the next probe in milliseconds, or None."""
        if not self.is_backing_off:
            return None
        return max(0, self._backoff_until - now)

    def end_backoff(self) -> None:
        """Allow the next call, which is a probe, immediately."""
        self._backoff_until = 0

    def record_success(self, entries: int = 0) -> None:
        """Record a response of the platform with any content.

        Parameters
        ----------
        entries : int, optional
            Number of entries in the fleet. It is counted only while the
            platform responds: in an outage the local view may shrink, and
            each entry would probe as often as in a fleet of one.
        """
        self._failures = 0
        self._probing = False
        self._entry_count = entries

    def record_failure(self, now: int) -> None:
        """Record a call without a response or with a 5xx status."""
        self._failures += 1
        self._probing = False
        if self._failures < _FAILURES_BEFORE_BACKOFF:
            return
        delay = backoff.compute_delay(
            self._failures - _FAILURES_BEFORE_BACKOFF,
            self._settings.backoff_base_ms,
            self._compute_cap(),
            self._draw(),
        )
        self._backoff_until = max(self._backoff_until, now + delay)

    def release(self) -> None:
        """Release a call that was cancelled before its outcome was known."""
        self._probing = False

    def _compute_cap(self) -> int:
        """Compute the maximum backoff in milliseconds."""
        fleet_cap_ms = self._entry_count * self._settings.backoff_ms_per_entry
        return max(self._settings.backoff_cap_ms, fleet_cap_ms)

    def _get_bucket(self, now: int) -> buckets.TokenBucket:
        if self._bucket is None:
            self._bucket = buckets.build_bucket(
                self._settings.calls_per_s, self._settings.burst, now
            )
        return self._bucket
