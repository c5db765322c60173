"""Baseline durations: how long work takes on targets without a queue."""

from __future__ import annotations

import math

import attrs

DELAYED_RATIO = 1.6
"""Ratio of duration to baseline above which answers count as delayed."""

_SMOOTHING = 0.1
_ADJUSTMENT_RATE = 0.05
_FIRST_SAMPLES = 10
"""Number of first answers for which the baseline is their mean."""

_MAX_FALL_RATIO = 0.6
"""Under load the baseline falls only if the recent time is below this ratio.

The durations of single answers vary, often as widely as their mean. If the
baseline followed each decrease, it would end well below the mean of idle
targets, and all answers would count as delayed.
"""

_RISE_TIME_MS = 300_000.0
"""Time constant with which the baseline rises under load."""

_UNKNOWN_MS = 0.0


@attrs.define
class StepBaseline:
    """Baseline duration of one step of a kind of work.

    Attributes
    ----------
    recent_ms : float
        Smoothed duration of the last answers.
    baseline_ms : float
        Duration without a queue; 0 before the first answer.
    samples : int
        Number of answers observed.
    updated_at : int
        Monotonic milliseconds of the last answer.
    """

    recent_ms: float = _UNKNOWN_MS
    baseline_ms: float = _UNKNOWN_MS
    samples: int = 0
    updated_at: int = 0

    def observe(self, duration_ms: float, may_queue: bool, now: int) -> float:
        """Update the baseline from one answer.

        Parameters
        ----------
        duration_ms : float
            Duration of the answer.
        may_queue : bool
            Whether enough requests are in flight that the duration may
            include time in a queue.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        float
            Ratio of the duration to the previous baseline; 1 for the first
            answer.
        """
        self.samples += 1
        previous_ms = self.baseline_ms or duration_ms
        weight = max(_SMOOTHING, 1.0 / self.samples)
        self.recent_ms += weight * (duration_ms - self.recent_ms)
        self._adjust(may_queue, now)
        self.updated_at = now
        return duration_ms / max(previous_ms, 1.0)

    def _adjust(self, may_queue: bool, now: int) -> None:
        """Move the baseline towards the recent duration.

        If the baseline rose at once under load, an overload would become
        the baseline: no answer would count as delayed any more, and every
        request would be refused because of a deadline that it misses only
        through the queue. It does rise slowly, or targets that became
        permanently slower would count as overloaded forever.
        """
        if self.samples <= _FIRST_SAMPLES:
            self.baseline_ms = self.recent_ms
            return
        rate = _ADJUSTMENT_RATE
        if may_queue and self.recent_ms > self.baseline_ms:
            rate = 1.0 - math.exp((self.updated_at - now) / _RISE_TIME_MS)
        elif may_queue and self.recent_ms > _MAX_FALL_RATIO * self.baseline_ms:
            return
        self.baseline_ms += rate * (self.recent_ms - self.baseline_ms)


@attrs.define
class WorkBaseline:
    """Baseline durations of a call or of a stream of tokens.

    Attributes
    ----------
    first : StepBaseline
        Baseline of the answer to a call, or of the first token.
    following : StepBaseline
        Baseline of each further token.
    mean_units : float
        Average number of further tokens of an answer. Most answers are
        shorter than the maximum that their callers allow.
    """

    first: StepBaseline = attrs.field(factory=StepBaseline)
    following: StepBaseline = attrs.field(factory=StepBaseline)
    mean_units: float = 0.0

    def observe_following(
        self, units: int, duration_ms: int, may_queue: bool, now: int
    ) -> float:
        """Update the baseline from the tokens after the first of an answer.

        Parameters
        ----------
        units : int
            Number of tokens after the first, at least 1.
        duration_ms : int
            Duration of these tokens together.
        may_queue : bool
            Whether the duration may include time in a queue.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        float
            Ratio of the duration to the previous baseline; 1 for the first
            answer.
        """
        ratio = self.following.observe(duration_ms / units, may_queue, now)
        weight = max(_SMOOTHING, 1.0 / self.following.samples)
        self.mean_units += weight * (units - self.mean_units)
        return ratio

    def estimate(self, max_units: int) -> float:
        """Estimate the duration of an answer on targets without a queue.

        Parameters
        ----------
        max_units : int
            Maximum number of tokens after the first; 0 for a call.

        Returns
        -------
        float
            Duration in milliseconds.
        """
        expected_units = min(float(max_units), self.mean_units)
        return (
            self.first.baseline_ms
            + expected_units * self.following.baseline_ms
        )
