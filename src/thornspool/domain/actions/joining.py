"""What is done about a key that another attempt holds."""

from __future__ import annotations

import attrs

from thornspool.domain.actions import attempts
from thornspool.domain.actions import endings
from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results

_Commands = endings.Commands


class Joining:
    """Joins the attempt that holds a key, or displaces it.

    Parameters
    ----------
    memory : endings.AttemptMemory
        Attempts of this entry.
    max_asks : int
        Most questions to holders and to the ledger for one attempt.
    """

    def __init__(self, memory: endings.AttemptMemory, max_asks: int) -> None:
        self._memory = memory
        self._max_asks = max_asks

    def ask_holder(
        self, attempt: attempts.Attempt, record: records.Record, now: int
    ) -> _Commands:
        """Ask the runner of the attempt that holds the key."""
        attempt.asks += 1
        if now >= attempt.deadline or attempt.asks > self._max_asks:
            return self._memory.end_unknown(attempt, results.UNKNOWN_RUNNING)
        attempt.phase = events.Phase.JOINING
        attempt.holder = record.attempt
        attempt.uncertain = record.uncertain
        attempt.question = events.AskHolder(
            attempt.request.attempt,
            record.attempt,
            record.runner,
            record.runner_address,
        )
        return [attempt.question]

    def _ask_again(self, attempt: attempts.Attempt, now: int) -> _Commands:
        """Wait for a holder that has said that its attempt is running."""
        assert attempt.question is not None
        attempt.asks += 1
        if now >= attempt.deadline or attempt.asks > self._max_asks:
            return self._memory.end_unknown(attempt, results.UNKNOWN_RUNNING)
        return [attrs.evolve(attempt.question, wait=True)]

    def take_report(
        self, attempt: attempts.Attempt, event: events.HolderAnswered, now: int
    ) -> _Commands:
        """Take what the holder's runner says."""
        report = event.report
        joining = attempt.phase is events.Phase.JOINING
        if not joining or report.attempt != attempt.holder:
            return []
        if report.state is messages.AttemptState.DONE:
            assert report.outcome is not None
            return self.take_outcome(attempt, report.outcome, now)
        if report.state is messages.AttemptState.RUNNING:
            return self._ask_again(attempt, now)
        if report.state is messages.AttemptState.VOID:
            if attempt.uncertain and not attempt.request.deduplicates:
                return self._memory.end_unknown(
                    attempt, results.UNKNOWN_ANSWER_LOST
                )
            held = attempt.holder
            return self._ask_ledger(attempt, held, attempt.uncertain, now)
        if not attempt.request.deduplicates:
            return self._memory.end_unknown(
                attempt, results.UNKNOWN_RUNNER_GONE
            )
        return self._ask_ledger(attempt, attempt.holder, True, now)

    def take_outcome(
        self, attempt: attempts.Attempt, outcome: records.Outcome, now: int
    ) -> _Commands:
        """Take how the attempt that holds the key ended."""
        if outcome.known:
            return self._memory.forget(attempt, results.replay(outcome))
        if attempt.request.deduplicates:
            return self._ask_ledger(attempt, attempt.holder, True, now)
        return self._memory.end_unknown(attempt, results.UNKNOWN_ANSWER_LOST)

    def _ask_ledger(
        self,
        attempt: attempts.Attempt,
        displaces: str,
        uncertain: bool,
        now: int,
    ) -> _Commands:
        attempt.asks += 1
        if now >= attempt.deadline or attempt.asks > self._max_asks:
            return self._memory.end_unknown(attempt, results.UNKNOWN_RUNNING)
        attempt.phase = events.Phase.ASKING
        attempt.uncertain = uncertain
        return [
            events.RequestGrant(attempt.request.attempt, displaces, uncertain)
        ]
