"""Rounds of questions to all engines of a service.

Answers the load in which several engines turn slow at the same moment. Found
one by one, the others would be used until then.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    import random

AT_ONCE = 10
"""Engines that are asked at one turn."""

PAUSE_MS = 3_000
"""Least time between the begins of two rounds."""


@attrs.define
class Sweep:
    """The engines that one round has still to ask."""

    _left: list[str] = attrs.field(factory=list)
    _began_at: int | None = None

    def begin(
        self, names: Iterable[str], source: random.Random, now: int
    ) -> None:
        """Begin a round, unless the last one began a moment ago.

        Parameters
        ----------
        names : iterable of str
            Engines to ask.
        source : random.Random
            Shuffles them, as several entries may begin a round.
        now : int
            Milliseconds of the clock.
        """
        if self._began_at is not None and now - self._began_at < PAUSE_MS:
            return
        self._began_at = now
        self._left = list(names)
        source.shuffle(self._left)

    def take_next(self) -> list[str]:
        """Take the engines to ask at this turn."""
        taken, self._left = self._left[:AT_ONCE], self._left[AT_ONCE:]
        return taken
