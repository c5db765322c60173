"""How long one kind of work usually takes on targets without a queue."""

from __future__ import annotations

import math

import attrs

SLOW_FACTOR = 1.6
"""Time over the usual one from which answers count as delayed."""

_SMOOTHING = 0.1
_FOLLOWING = 0.05
_FIRST_SAMPLES = 10
"""Before so many answers their mean is all that is known."""

_LEAST_FALL = 0.6
"""Under load the usual time falls only to times under this part of it.

Times of single answers vary, often as widely as their mean. Followed down
each time, the usual time would end well under the mean of idle targets, and
all answers would look delayed.
"""

_RISE_MS = 300_000.0
"""Time in which the usual time takes most of a rise under load."""

_UNKNOWN = 0.0


@attrs.define
class Pace:
    """The usual time of one step of some work.

    Attributes
    ----------
    recent_ms : float
        Smoothed time of the last answers.
    usual_ms : float
        What they take without a queue; 0 before the first answer.
    samples : int
        Answers learnt from.
    learnt_at : int
        Monotonic milliseconds of the last answer.
    """

    recent_ms: float = _UNKNOWN
    usual_ms: float = _UNKNOWN
    samples: int = 0
    learnt_at: int = 0

    def learn(self, duration_ms: float, may_queue: bool, now: int) -> float:
        """Take in one answer.

        Parameters
        ----------
        duration_ms : float
            Time of the answer.
        may_queue : bool
            Whether so much is in flight that a queue may be part of it.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        float
            The time over the usual one; 1 for the first answer.
        """
        self.samples += 1
        usual = self.usual_ms or duration_ms
        weight = max(_SMOOTHING, 1.0 / self.samples)
        self.recent_ms += weight * (duration_ms - self.recent_ms)
        self._follow(may_queue, now)
        self.learnt_at = now
        return duration_ms / max(usual, 1.0)

    def _follow(self, may_queue: bool, now: int) -> None:
        """Move the usual time towards the recent one.

        Followed at once under load, an overload would become the usual
        time: nothing would look delayed any more, and every request would
        be refused for a deadline that only the queue makes it miss. It does
        rise slowly, or targets that became slower for good would look
        overloaded for good.
        """
        if self.samples <= _FIRST_SAMPLES:
            self.usual_ms = self.recent_ms
            return
        rate = _FOLLOWING
        if may_queue and self.recent_ms > self.usual_ms:
            rate = 1.0 - math.exp((self.learnt_at - now) / _RISE_MS)
        elif may_queue and self.recent_ms > _LEAST_FALL * self.usual_ms:
            return
        self.usual_ms += rate * (self.recent_ms - self.usual_ms)


@attrs.define
class WorkPace:
    """Pace of a call, or of a stream of tokens.

    Attributes
    ----------
    first : Pace
        Of the answer of a call, or of the first token.
    unit : Pace
        Of each further token.
    units : float
        Tokens that answers have on average; most end before the longest
        answer that their callers allow.
    """

    first: Pace = attrs.field(factory=Pace)
    unit: Pace = attrs.field(factory=Pace)
    units: float = 0.0

    def learn_rest(
        self, units: int, duration_ms: int, may_queue: bool, now: int
    ) -> float:
        """Take in the tokens after the first of a whole answer.

        Returns
        -------
        float
            Their time over the usual one; 1 for the first answer.
        """
        stretch = self.unit.learn(duration_ms / units, may_queue, now)
        weight = max(_SMOOTHING, 1.0 / self.unit.samples)
        self.units += weight * (units - self.units)
        return stretch

    def estimate(self, units: int) -> float:
        """Return the milliseconds of an answer on targets without a queue.

        Parameters
        ----------
        units : int
            Most tokens after the first; 0 for a call.
        """
        expected = min(float(units), self.units)
        return self.first.usual_ms + expected * self.unit.usual_ms
