"""What is noted of a request while it runs and when it ends."""

from __future__ import annotations

import enum
import typing

from thornspool.application.generation import messages as generation
from thornspool.domain.actions import results
from thornspool.domain.objectives import burn

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock
    from thornspool import metrics
    from thornspool.application import objectives
    from thornspool.application import requests


TELL_EVERY_MS = 1_000


class Outcome(enum.Enum):
    """How a request ended; the values are labels of metrics."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'
    LIMITED = 'limited'
    REJECTED = 'rejected'
    LEFT = 'left'


OF_CALLERS = frozenset({Outcome.LIMITED, Outcome.REJECTED, Outcome.LEFT})
"""Endings that callers bring about; no objective and no capacity is missed."""


class Run:
    """What is known of a request when it ends.

    Parameters
    ----------
    note_first_token : callable
        Told once that tokens come.
    """

    def __init__(self, note_first_token: Callable[[], None]) -> None:
        self.result: typing.Any = None
        self.tokens = 0
        self._note_first_token = note_first_token

    def add_tokens(self, count: int) -> None:
        """Count tokens that were handed over."""
        if self.tokens == 0 and count:
            self._note_first_token()
        self.tokens += count


class TokenWatch:
    """Times the tokens of one stream.

    Objectives count by the minute, so they are told of the times between
    tokens each second and not of each: to look an objective up and count one
    time in it costs as much as the check of the token.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    metrics : metrics.Metrics
        Told of each time.
    objective_service : objectives.ObjectiveService
        Told of the times now and then.
    request : requests.ModelRequest
        Request that the stream answers.
    """

    def __init__(
        self,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        objective_service: objectives.ObjectiveService,
        request: requests.ModelRequest,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._objectives = objective_service
        self._workspace, self._model = request.workspace, request.model
        self._started = clock.now()
        self._last: int | None = None
        self._gaps: list[int] = []
        self._told_at = self._started

    def see(self, event: generation.GenerationEvent) -> int:
        """Record the times of an event and return its number of tokens."""
        if not isinstance(event, generation.Tokens):
            return 0
        count = len(event.texts)
        now = self._clock.now()
        if self._last is None:
            waited = now - self._started
            self._metrics.observe_first_token(self._workspace, waited)
            self._objectives.record_time(
                self._workspace,
                self._model,
                burn.Indicator.FIRST_TOKEN,
                waited,
            )
        else:
            waited = (now - self._last) // max(1, count)
            self._gaps.append(waited)
        self._metrics.observe_tokens(self._workspace, count, waited)
        self._last = now
        if now - self._told_at >= TELL_EVERY_MS:
            self._tell(now)
        return count

    def close(self) -> None:
        """Tell of the last times, also when the caller left."""
        self._tell(self._clock.now())

    def _tell(self, now: int) -> None:
        """Have the times since the last telling counted."""
        gaps, self._gaps = self._gaps, []
        self._told_at = now
        if gaps:
            self._objectives.record_times(
                self._workspace,
                self._model,
                burn.Indicator.BETWEEN_TOKENS,
                gaps,
            )


def name_outcome(result: typing.Any) -> Outcome:
    """Return how a request ended, from its last result or event."""
    match result:
        case results.ActionDone() | generation.Finished():
            return Outcome.DONE
        case results.ActionNotRun():
            return Outcome.NOT_RUN
        case results.ActionRefused():
            return Outcome.REJECTED
        case results.ActionUnknown():
            return Outcome.UNKNOWN
        case generation.Failed():
            not_run = result.outcome is generation.Outcome.NOT_RUN
            return Outcome.NOT_RUN if not_run else Outcome.UNKNOWN
        case _:
            return Outcome.LEFT
