"""Whether the platform is worth a call, so that refusals come at once."""

from __future__ import annotations


class Breaker:
    """Circuit breaker over the platform's answers.

    Without it each action of an outage would wait for the platform's
    timeout before it is refused; callers would see slow refusals.

    Parameters
    ----------
    backoff_ms, max_backoff_ms : int
        First and longest time without a call after a failure. The platform
        is spared by the gate of its client; a longer wait here adds to the
        gate's, and callers are refused long after the platform is back.
    """

    def __init__(
        self, backoff_ms: int = 200, max_backoff_ms: int = 500
    ) -> None:
        self._first = backoff_ms
        self._longest = max_backoff_ms
        self._backoff = 0
        self._closed_at = 0
        self._probing = False

    @property
    def failing(self) -> bool:
        """Whether the last answer was a failure."""
        return self._backoff > 0

    def admit(self, now: int) -> bool:
        """Return whether a call may be made; while failing one at a time."""
        if not self.failing:
            return True
        if self._probing or now < self._closed_at:
            return False
        self._probing = True
        return True

    def read_wait(self, now: int) -> int:
        """Return the milliseconds after which asking again makes sense."""
        return max(self._closed_at - now, self._first)

    def record_failure(self, now: int) -> None:
        """Take in that the platform did not answer."""
        self._probing = False
        self._backoff = min(max(self._backoff * 2, self._first), self._longest)
        self._closed_at = now + self._backoff

    def record_held_back(self, now: int, wait_ms: int) -> None:
        """Take in that a call was held back before it was sent.

        It says nothing new of the platform. Taken for a failure, it would
        close the way for longer than the client itself does, and callers
        would be refused after the platform is back.
        """
        self._probing = False
        self._backoff = max(self._backoff, self._first)
        self._closed_at = now + min(wait_ms, self._longest)

    def record_success(self) -> None:
        """Take in that the platform answered."""
        self._probing = False
        self._backoff = 0

    def end_probe(self) -> None:
        """Let the next call through, also when this one told nothing."""
        self._probing = False
