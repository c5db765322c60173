"""What is noted of a request while it runs and when it ends."""

from __future__ import annotations

import enum
import typing

from thornspool.application import generation_messages as generation
from thornspool.domain.actions import results
from thornspool.domain.objectives import burn

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock
    from thornspool import metrics
    from thornspool.application import objectives
    from thornspool.application import requests


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
    """Times the tokens of one stream."""

    def __init__(
        self,
        clock: clock.Clock,
        metrics: metrics.Metrics,
        objective_service: objectives.ObjectiveService,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._objectives = objective_service
        self._started = clock.now()
        self._last: int | None = None

    def see(
        self,
        request: requests.ModelRequest,
        event: generation.GenerationEvent,
    ) -> int:
        """Record the times of an event and return its number of tokens."""
        if not isinstance(event, generation.Tokens):
            return 0
        now = self._clock.now()
        workspace, model = request.workspace, request.model
        if self._last is None:
            waited = now - self._started
            self._metrics.observe_first_token(workspace, waited)
            indicator = burn.Indicator.FIRST_TOKEN
        else:
            waited = (now - self._last) // max(1, len(event.texts))
            indicator = burn.Indicator.BETWEEN_TOKENS
        self._objectives.record_time(workspace, model, indicator, waited)
        self._metrics.observe_tokens(workspace, len(event.texts), waited)
        self._last = now
        return len(event.texts)


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
