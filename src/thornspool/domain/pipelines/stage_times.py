"""Times of stages, learnt from the pace of an entry's own streams.

The time between two tokens of a stream is the sum of its stages' times and
of the ways between them. An entry sees it without a message, long before a
load report of those engines comes; so it needs few reports, and what it knows
is not what all other entries know as well.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

_SHARE = 0.6
_HALF_LIFE_MS = 5_000
_TRUST = 0.7
"""How far a time that was learnt just now holds; a report of now holds 1."""

_LEAST_MS = 0.1
_TOKENS = 16
_REMEMBERED = 4_096


@attrs.frozen
class Estimate:
    """Expected time of one token in a stage.

    Attributes
    ----------
    time : float
        Milliseconds.
    doubt : float
        0 if it is known for certain, 1 if it is a guess.
    """

    time: float
    doubt: float


@attrs.frozen
class _Learnt:
    """A learnt time and when it was learnt."""

    time: float
    at: int


class PaceMeter:
    """Reads the pace of one stream off the arrival of its tokens."""

    def __init__(self) -> None:
        self._tokens = 0
        self._since = -1

    def count(self, tokens: int, now: int) -> float | None:
        """Count tokens that have arrived.

        The first ones are not timed: the prompt is worked through before.

        Returns
        -------
        float or None
            Milliseconds a token, now and then.
        """
        if self._since < 0:
            self._since = now
            return None
        self._tokens += tokens
        if self._tokens < _TOKENS:
            return None
        pace = (now - self._since) / self._tokens
        self._tokens, self._since = 0, now
        return pace


class StageTimes:
    """Times of stages by target, in milliseconds a token."""

    def __init__(self) -> None:
        self._learnt: dict[str, _Learnt] = {}

    def refine(
        self, target: str, time: float, trust: float, now: int
    ) -> Estimate:
        """Refine a time by what was learnt, the more the less it is trusted.

        Parameters
        ----------
        target : str
            Name of the target.
        time : float
            Milliseconds, by its load report.
        trust : float
            How far that holds, 0 to 1.
        now : int
            Monotonic milliseconds.
        """
        doubt = 1 - trust
        learnt = self._learnt.get(target)
        if learnt is None:
            return Estimate(time, doubt)
        fresh = 0.5 ** ((now - learnt.at) / _HALF_LIFE_MS)
        weight = doubt * fresh
        return Estimate(
            (1 - weight) * time + weight * learnt.time,
            doubt * (1 - _TRUST * fresh),
        )

    def note_pace(
        self, expected: Sequence[tuple[str, float]], pace: float, now: int
    ) -> None:
        """Learn the times of the stages of a stream from its pace.

        What is over or under is put down to each in proportion to its
        time; streams on other routes tell the stages apart.

        Parameters
        ----------
        expected : sequence of (str, float)
            Targets of the route with the times that were expected now.
        pace : float
            Milliseconds a token, without the ways between the stages.
        now : int
            Monotonic milliseconds.
        """
        whole = sum(time for _, time in expected)
        if whole <= 0:
            return
        factor = 1 + _SHARE * (pace / whole - 1)
        for target, time in expected:
            learnt = max(_LEAST_MS, factor * time)
            self._learnt[target] = _Learnt(learnt, now)
        self._drop_old(now)

    def _drop_old(self, now: int) -> None:
        if len(self._learnt) <= _REMEMBERED:
            return
        oldest = now - _HALF_LIFE_MS
        self._learnt = {
            target: learnt
            for target, learnt in self._learnt.items()
            if learnt.at > oldest
        }
