"""When a call to the platform may leave: its budget and its backoff.

The platform's rates grow more slowly than the fleet. When it fails, every
entry would retry at once and keep it down; one notices by call counts that
rise while answers fall. The gate lets one probe at a time through after
repeated failures and waits longer after each.
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
_PROBE_MS = 50
"""When to ask again while a probe is on its way."""


@attrs.frozen
class GateSettings:
    """How many calls leave.

    Attributes
    ----------
    calls_per_s : float
        Budget of one entry; more than the ledger's pages may be written,
        since one entry may write them all.
    burst : float
        Calls that may leave together.
    patience_ms : int
        Longest wait of a call at the gate, in milliseconds.
    backoff_base_ms, backoff_cap_ms : int
        Bounds of the wait after failures, in milliseconds.
    backoff_ms_per_entry : int
        What each entry adds to the longest wait, if that is more than the
        cap: all entries together send the same number of probes, however
        many they are. Five milliseconds make 400 a second.
    """

    calls_per_s: float = 150.0
    burst: float = 100.0
    patience_ms: int = 100
    backoff_base_ms: int = 50
    backoff_cap_ms: int = 250
    backoff_ms_per_entry: int = 5


class Gate:
    """State of the budget and of the failures.

    Parameters
    ----------
    settings : GateSettings
        Budget and bounds.
    draw : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self, settings: GateSettings, draw: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._draw = draw
        self._bucket: buckets.TokenBucket | None = None
        self._failures = 0
        self._blocked_until = 0
        self._probing = False
        self._entries = 0

    @property
    def is_backing_off(self) -> bool:
        """Whether the next call is a probe, and others wait for its end."""
        return self._failures >= _FAILURES_BEFORE_BACKOFF

    def enter(self, now: int) -> int:
        """Let a call through.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.

        Returns
        -------
        int
            Milliseconds that the call waits before it leaves.

        Raises
        ------
        PlatformError
            When it may not leave in time; nothing was sent.
        """
        backing_off = self.is_backing_off
        blocked = max(0, self._blocked_until - now) if backing_off else 0
        patience_ms = self._settings.patience_ms
        if blocked > patience_ms or (backing_off and self._probing):
            raise exceptions.PlatformHeldBack(max(blocked, _PROBE_MS))
        wait = self._find_bucket(now).reserve(1.0, now, patience_ms)
        if wait is None:
            raise exceptions.PlatformError(
                "This entry's budget of calls to the platform is used up.",
                'Try again in a second.',
            )
        self._probing = backing_off
        return max(wait, blocked)

    def read_backoff(self, now: int) -> int | None:
        """Return the milliseconds until a probe may leave, if any must."""
        if not self.is_backing_off:
            return None
        return max(0, self._blocked_until - now)

    def end_backoff(self) -> None:
        """Let the next call leave at once, as a probe."""
        self._blocked_until = 0

    def record_success(self, entries: int = 0) -> None:
        """Note an answer of the platform, of whatever content.

        Parameters
        ----------
        entries : int, optional
            How many entries there are; counted while the platform answers,
            since a view that shrinks in an outage would make each entry ask
            as if it were alone.
        """
        self._failures = 0
        self._probing = False
        self._entries = entries

    def record_failure(self, now: int) -> None:
        """Note a call without an answer, or one answered by a 5xx."""
        self._failures += 1
        self._probing = False
        if self._failures < _FAILURES_BEFORE_BACKOFF:
            return
        delay = backoff.compute_delay(
            self._failures - _FAILURES_BEFORE_BACKOFF,
            self._settings.backoff_base_ms,
            self._find_cap(),
            self._draw(),
        )
        self._blocked_until = max(self._blocked_until, now + delay)

    def release(self) -> None:
        """Forget a call that was cancelled before its outcome was known."""
        self._probing = False

    def _find_cap(self) -> int:
        """Return the longest wait after a failure, in milliseconds."""
        by_entries = self._entries * self._settings.backoff_ms_per_entry
        return max(self._settings.backoff_cap_ms, by_entries)

    def _find_bucket(self, now: int) -> buckets.TokenBucket:
        if self._bucket is None:
            self._bucket = buckets.build_bucket(
                self._settings.calls_per_s, self._settings.burst, now
            )
        return self._bucket
