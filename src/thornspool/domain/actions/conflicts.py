"""Resolution of conflicts over a key that another attempt holds."""

from __future__ import annotations

import attrs

from thornspool.domain.actions import attempt_memory
from thornspool.domain.actions import attempts
from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results

_Commands = attempt_memory.Commands


class ConflictResolver:
    """Joins the attempt that holds a key, or displaces its record.

    Parameters
    ----------
    memory : attempt_memory.AttemptMemory
        Attempts of this entry.
    max_queries : int
        Maximum number of queries to holders and of repeated grant requests
        for one attempt.
    """

    def __init__(
        self, memory: attempt_memory.AttemptMemory, max_queries: int
    ) -> None:
        self._memory = memory
        self._max_queries = max_queries

    def query_holder(
        self, attempt: attempts.Attempt, record: records.Record, now: int
    ) -> _Commands:
        """Query the runner of the attempt that holds the key."""
        attempt.queries += 1
        if now >= attempt.deadline or attempt.queries > self._max_queries:
            return self._memory.end_unknown(attempt, results.UNKNOWN_RUNNING)
        attempt.phase = events.Phase.JOINING
        attempt.holder = record.attempt
        attempt.uncertain = record.uncertain
        attempt.holder_query = events.QueryHolder(
            attempt.request.attempt,
            record.attempt,
            record.runner,
            record.runner_address,
        )
        return [attempt.holder_query]

    def _await_holder(self, attempt: attempts.Attempt, now: int) -> _Commands:
        """Query a running holder again and wait for its end."""
        assert attempt.holder_query is not None
        attempt.queries += 1
        if now >= attempt.deadline or attempt.queries > self._max_queries:
            return self._memory.end_unknown(attempt, results.UNKNOWN_RUNNING)
        return [attrs.evolve(attempt.holder_query, wait=True)]

    def handle_report(
        self, attempt: attempts.Attempt, event: events.HolderReported, now: int
    ) -> _Commands:
        """Handle the report of the holder's runner."""
        report = event.report
        is_joining = attempt.phase is events.Phase.JOINING
        if not is_joining or report.attempt != attempt.holder:
            return []
        if report.state is messages.AttemptState.DONE:
            assert report.outcome is not None
            return self.apply_outcome(attempt, report.outcome, now)
        if report.state is messages.AttemptState.RUNNING:
            return self._await_holder(attempt, now)
        if report.state is messages.AttemptState.VOID:
            if attempt.uncertain and not attempt.request.deduplicates:
                return self._memory.end_unknown(
                    attempt, results.UNKNOWN_ANSWER_LOST
                )
            displaced = attempt.holder
            return self._request_grant(
                attempt, displaced, attempt.uncertain, now
            )
        if not attempt.request.deduplicates:
            return self._memory.end_unknown(
                attempt, results.UNKNOWN_RUNNER_GONE
            )
        return self._request_grant(attempt, attempt.holder, True, now)

    def apply_outcome(
        self, attempt: attempts.Attempt, outcome: records.Outcome, now: int
    ) -> _Commands:
        """Apply the outcome of the attempt that holds the key."""
        if outcome.known:
            return self._memory.answer_and_remove(
                attempt, results.replay(outcome)
            )
        if attempt.request.deduplicates:
            return self._request_grant(attempt, attempt.holder, True, now)
        return self._memory.end_unknown(attempt, results.UNKNOWN_ANSWER_LOST)

    def _request_grant(
        self,
        attempt: attempts.Attempt,
        displaces: str,
        uncertain: bool,
        now: int,
    ) -> _Commands:
        attempt.queries += 1
        if now >= attempt.deadline or attempt.queries > self._max_queries:
            return self._memory.end_unknown(attempt, results.UNKNOWN_RUNNING)
        attempt.phase = events.Phase.REQUESTING
        attempt.uncertain = uncertain
        return [
            events.RequestGrant(attempt.request.attempt, displaces, uncertain)
        ]
