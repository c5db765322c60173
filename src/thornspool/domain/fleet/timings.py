"""How the time of one stream was spent: waits, first event, pauses."""

from __future__ import annotations

import attrs

UNDISTURBED = 'engines'
"""Cause of a pause in which the stream stayed on its path."""

NO_ROOM = 'waited_for_room'
"""Cause of a late first event of a request that waited for a path."""


@attrs.define
class StreamTiming:
    """Waits and pauses of a stream, with their causes.

    Attributes
    ----------
    waited_ms : int
        Time without a path.
    first_cause : str
        What delayed the first event; empty before it.
    longest_pause_ms : int
        Longest time between two events.
    pause_cause : str
        What happened in that time.
    """

    waited_ms: int = 0
    first_cause: str = ''
    longest_pause_ms: int = 0
    pause_cause: str = ''
    _waits_since: int | None = attrs.field(default=None, init=False)
    _last_event_at: int | None = attrs.field(default=None, init=False)
    _disturbance: str = attrs.field(default='', init=False)

    def note_wait(self, now: int) -> None:
        """Note that the stream has no path."""
        if self._waits_since is None:
            self._waits_since = now

    def note_send(self, now: int) -> None:
        """Note that it has one."""
        if self._waits_since is not None:
            self.waited_ms += now - self._waits_since
            self._waits_since = None

    def note_disturbance(self, cause: str) -> None:
        """Note why it leaves its path; the first cause in a pause counts."""
        self._disturbance = self._disturbance or cause

    def note_event(self, now: int) -> None:
        """Note that events have come."""
        cause = self._disturbance or UNDISTURBED
        if self._last_event_at is None:
            self.first_cause = NO_ROOM if self.waited_ms else cause
        elif now - self._last_event_at > self.longest_pause_ms:
            self.longest_pause_ms = now - self._last_event_at
            self.pause_cause = cause
        self._last_event_at = now
        self._disturbance = ''
