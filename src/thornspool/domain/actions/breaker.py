"""A circuit breaker for calls to the platform."""

from __future__ import annotations


class Breaker:
    """Circuit breaker for the platform, which allows one probe at a time.

    Without the breaker each action during an outage would be refused only
    after the platform's timeout; callers would see slow refusals.

    Parameters
    ----------
    backoff_ms, max_backoff_ms : int
        Initial and maximum time without a call after a failure. The gate
        of the platform's client already limits the calls to a failing
        platform; a longer backoff here would add to the wait of the gate,
        and callers would be refused long after the platform has recovered.
    """

    def __init__(
        self, backoff_ms: int = 200, max_backoff_ms: int = 500
    ) -> None:
        self._initial_backoff_ms = backoff_ms
        self._max_backoff_ms = max_backoff_ms
        self._backoff_ms = 0
        self._retry_at = 0
        self._probing = False

    @property
    def failing(self) -> bool:
        """Whether the platform has failed since its last successful call."""
        return self._backoff_ms > 0

    def admit(self, now: int) -> bool:
        """Return whether a call may be made; while failing, one at a time."""
        if not self.failing:
            return True
        if self._probing or now < self._retry_at:
            return False
        self._probing = True
        return True

    def compute_wait(self, now: int) -> int:
        """Return the milliseconds until the next call may be admitted."""
        return max(self._retry_at - now, self._initial_backoff_ms)

    def record_failure(self, now: int) -> None:
        """Record a failed call and double the backoff."""
        self._probing = False
        self._backoff_ms = min(
            max(self._backoff_ms * 2, self._initial_backoff_ms),
            self._max_backoff_ms,
        )
        self._retry_at = now + self._backoff_ms

    def record_not_sent(self, now: int, wait_ms: int) -> None:
        """Record a call that the platform's client rejected without sending.

        Such a call gives no information about the platform. If it counted as
        a failure, the breaker would stay open longer than the client's own
        gate, and callers would be refused after the platform has recovered.

        Parameters
        ----------
        now : int
            Monotonic milliseconds.
        wait_ms : int
            Milliseconds until the client may send a call again.
        """
        self._probing = False
        self._backoff_ms = max(self._backoff_ms, self._initial_backoff_ms)
        self._retry_at = now + min(wait_ms, self._max_backoff_ms)

    def record_success(self) -> None:
        """Record a successful call and reset the backoff."""
        self._probing = False
        self._backoff_ms = 0

    def end_probe(self) -> None:
        """End the current probe, whether or not it had a result."""
        self._probing = False
