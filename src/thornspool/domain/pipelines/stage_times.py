"""Times of stages, learned from the token intervals of local streams.

The interval between two tokens of a stream is the sum of the times of its
stages and links. An entry measures it without any message, long before the
next load report of those engines arrives. So it needs few reports, and its
estimates differ from those of other entries.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

_SMOOTHING_FACTOR = 0.6
_LEARNED_HALF_LIFE_MS = 5_000
_LEARNED_TRUST = 0.7
"""Trust in a time that was just learned; a report just received has 1."""

_MIN_STAGE_MS = 0.1
_TOKENS_PER_SAMPLE = 16
_MAX_TARGETS = 4_096


@attrs.frozen
class Estimate:
    """Expected time of one token in a stage.

    Attributes
    ----------
    time : float
        Milliseconds.
    uncertainty : float
        Uncertainty of the estimate, from 0 (certain) to 1 (a guess).
    """

    time: float
    uncertainty: float


@attrs.frozen
class _LearnedTime:
    """A learned time and when it was last updated."""

    time: float
    updated_at: int


class TokenIntervalMeter:
    """Measures the mean token interval of one stream."""

    def __init__(self) -> None:
        self._tokens = 0
        self._sample_started_at = -1

    def count(self, tokens: int, now: int) -> float | None:
        """Count received tokens.

        The first chunk is not measured, as it includes the prefill time of
        the prompt.

        Returns
        -------
        float or None
            Milliseconds a token, once in 16 tokens; otherwise None.
        """
        if self._sample_started_at < 0:
            self._sample_started_at = now
            return None
        self._tokens += tokens
        if self._tokens < _TOKENS_PER_SAMPLE:
            return None
        interval_ms = (now - self._sample_started_at) / self._tokens
        self._tokens, self._sample_started_at = 0, now
        return interval_ms


class StageTimes:
    """Learned times of stages by target, in milliseconds a token."""

    def __init__(self) -> None:
        self._learned_times: dict[str, _LearnedTime] = {}

    def refine(
        self, target: str, time: float, report_weight: float, now: int
    ) -> Estimate:
        """Combine a reported time with the learned one.

        The learned time has more weight the lower the weight of the report.

        Parameters
        ----------
        target : str
            Name of the target.
        time : float
            Milliseconds, according to its load report.
        report_weight : float
            Weight of the load report, 0 to 1.
        now : int
            Monotonic milliseconds.
        """
        uncertainty = 1 - report_weight
        learned = self._learned_times.get(target)
        if learned is None:
            return Estimate(time, uncertainty)
        freshness = 0.5 ** ((now - learned.updated_at) / _LEARNED_HALF_LIFE_MS)
        weight = uncertainty * freshness
        return Estimate(
            (1 - weight) * time + weight * learned.time,
            uncertainty * (1 - _LEARNED_TRUST * freshness),
        )

    def record_token_interval(
        self,
        expected: Sequence[tuple[str, float]],
        interval_ms: float,
        now: int,
    ) -> None:
        """Learn the times of the stages of a stream from its interval.

        A deviation from the expected interval is attributed to the stages
        in proportion to their times; streams on other routes separate the
        stages.

        Parameters
        ----------
        expected : sequence of (str, float)
            Targets of the route with their expected times.
        interval_ms : float
            Milliseconds a token, without the links between the stages.
        now : int
            Monotonic milliseconds.
        """
        total = sum(time for _, time in expected)
        if total <= 0:
            return
        factor = 1 + _SMOOTHING_FACTOR * (interval_ms / total - 1)
        for target, time in expected:
            learned = max(_MIN_STAGE_MS, factor * time)
            self._learned_times[target] = _LearnedTime(learned, now)
        self._drop_outdated(now)

    def _drop_outdated(self, now: int) -> None:
        if len(self._learned_times) <= _MAX_TARGETS:
            return
        oldest = now - _LEARNED_HALF_LIFE_MS
        self._learned_times = {
            target: learned
            for target, learned in self._learned_times.items()
            if learned.updated_at > oldest
        }
