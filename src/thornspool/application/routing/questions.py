"""How often an entry may ask engines for their state.

Questions are priced, and all entries have the same reasons to ask. So each
has its part of them, and asks no engine twice at a time.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool.domain.fleet import messages as fleet

ASK_AGAIN_MS = 400
"""Least time between two questions to one engine, and about one stream.

An engine answers for all of its streams at once, some 200 ms late."""

MAX_QUESTIONS = 12.0
"""Questions that may be asked at once: the engines of one path."""

LEAST_PER_S = 1.0
"""Questions a second that any entry may ask."""

_MS_PER_S = 1000.0


class Questions:
    """Questions that an entry has left.

    Parameters
    ----------
    now : int
        Milliseconds of the clock.
    compute_rate : callable
        Returns the questions a second that come back, at which all entries
        together ask each engine once a second.
    """

    def __init__(self, now: int, compute_rate: Callable[[], float]) -> None:
        self._compute_rate = compute_rate
        self._left = MAX_QUESTIONS
        self._counted_at = now
        self._asked_at: dict[str, int] = {}

    def has_any(self, now: int) -> bool:
        """Tell whether one more question is within this entry's part."""
        rate = max(LEAST_PER_S, self._compute_rate())
        passed_s = (now - self._counted_at) / _MS_PER_S
        self._counted_at = now
        self._left = min(MAX_QUESTIONS, self._left + rate * passed_s)
        return self._left >= 1.0

    def take(self, server: fleet.Server, now: int) -> bool:
        """Take a question, unless there is none or it was just asked."""
        if not self.has_any(now) or not self.note(server, now):
            return False
        self._left -= 1.0
        return True

    def note(self, server: fleet.Server, now: int) -> bool:
        """Note a question; False when the engine was asked a moment ago."""
        # Engines come and go with new names; those asked long ago are dropped.
        self._asked_at = {
            name: at
            for name, at in self._asked_at.items()
            if now - at < ASK_AGAIN_MS
        }
        if server.id in self._asked_at:
            return False
        self._asked_at[server.id] = now
        return True
