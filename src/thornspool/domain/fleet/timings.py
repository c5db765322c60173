"""Timing of one stream: waits, first event and event intervals."""

from __future__ import annotations

import attrs

ENGINES_CAUSE = 'engines'
"""Cause of an event interval in which the stream stayed on its path."""

CAPACITY_CAUSE = 'waited_for_room'
"""Cause of a late first event of a request that waited for a path."""


@attrs.define
class StreamTiming:
    """Waits and longest event interval of a stream, with their causes.

    Attributes
    ----------
    waited_ms : int
        Total time without a path.
    first_cause : str
        Cause of the delay of the first event; empty before that event.
    longest_interval_ms : int
        Longest event interval.
    pause_cause : str
        Cause of the longest event interval.
    """

    waited_ms: int = 0
    first_cause: str = ''
    longest_interval_ms: int = 0
    pause_cause: str = ''
    _waiting_since: int | None = attrs.field(default=None, init=False)
    _last_event_at: int | None = attrs.field(default=None, init=False)
    _interval_cause: str = attrs.field(default='', init=False)

    def record_wait(self, now: int) -> None:
        """Record that the stream waits for a path."""
        if self._waiting_since is None:
            self._waiting_since = now

    def record_send(self, now: int) -> None:
        """Record that the stream is sent on a path."""
        if self._waiting_since is not None:
            self.waited_ms += now - self._waiting_since
            self._waiting_since = None

    def record_disruption(self, cause: str) -> None:
        """Record why the path is left; an interval keeps its first cause."""
        self._interval_cause = self._interval_cause or cause

    def record_event(self, now: int) -> None:
        """Record that events have arrived."""
        cause = self._interval_cause or ENGINES_CAUSE
        if self._last_event_at is None:
            self.first_cause = CAPACITY_CAUSE if self.waited_ms else cause
        elif now - self._last_event_at > self.longest_interval_ms:
            self.longest_interval_ms = now - self._last_event_at
            self.pause_cause = cause
        self._last_event_at = now
        self._interval_cause = ''
