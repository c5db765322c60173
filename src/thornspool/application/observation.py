"""Measurements of a request while it runs, and its outcome."""

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


FLUSH_INTERVAL_MS = 1_000


class Outcome(enum.Enum):
    """Outcome of a request; the values are labels of metrics."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'
    LIMITED = 'limited'
    REJECTED = 'rejected'
    LEFT = 'left'


CALLER_CAUSED = frozenset({Outcome.LIMITED, Outcome.REJECTED, Outcome.LEFT})
"""Outcomes that callers cause; they count neither towards objectives nor as a
sign of missing capacity."""


class RequestProgress:
    """Number of tokens and last result of a request.

    Parameters
    ----------
    record_first_token : callable
        Called once, with the first tokens.
    """

    def __init__(self, record_first_token: Callable[[], None]) -> None:
        self.result: typing.Any = None
        self.tokens = 0
        self._record_first_token = record_first_token

    def add_tokens(self, count: int) -> None:
        """Count tokens that were passed to the caller."""
        if self.tokens == 0 and count:
            self._record_first_token()
        self.tokens += count


class TokenTimer:
    """Measures the times of the tokens of one stream.

    The times between tokens are passed to the objectives once a second
    rather than with each token. Objectives count by the minute, and looking
    an objective up and counting one time costs as much as verifying the
    token.

    Parameters
    ----------
    clock : clock.Clock
        Source of time.
    metrics : metrics.Metrics
        Receives each time.
    objective_service : objectives.ObjectiveService
        Receives the times in batches.
    request : requests.ModelRequest
        Request of the stream.
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
        self._started_at = clock.now()
        self._last_token_at: int | None = None
        self._gaps_ms: list[int] = []
        self._flushed_at = self._started_at

    def record_event(self, event: generation.GenerationEvent) -> int:
        """Record the times of an event and return its number of tokens."""
        if not isinstance(event, generation.Tokens):
            return 0
        count = len(event.texts)
        now = self._clock.now()
        if self._last_token_at is None:
            waited_ms = now - self._started_at
            self._metrics.observe_first_token(self._workspace, waited_ms)
            self._objectives.record_time(
                self._workspace,
                self._model,
                burn.Indicator.FIRST_TOKEN,
                waited_ms,
            )
        else:
            waited_ms = (now - self._last_token_at) // max(1, count)
            self._gaps_ms.append(waited_ms)
        self._metrics.observe_tokens(self._workspace, count, waited_ms)
        self._last_token_at = now
        if now - self._flushed_at >= FLUSH_INTERVAL_MS:
            self._flush_gaps(now)
        return count

    def close(self) -> None:
        """Pass the remaining times on, also when the caller cancelled."""
        self._flush_gaps(self._clock.now())

    def _flush_gaps(self, now: int) -> None:
        """Pass the times since the last flush to the objectives."""
        gaps_ms, self._gaps_ms = self._gaps_ms, []
        self._flushed_at = now
        if gaps_ms:
            self._objectives.record_times(
                self._workspace,
                self._model,
                burn.Indicator.BETWEEN_TOKENS,
                gaps_ms,
            )


def classify_outcome(result: typing.Any) -> Outcome:
    """Return the outcome of a request, given its last result or event."""
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
