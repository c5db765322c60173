"""State machine that decides which attempts of an entry are dispatched.

An attempt is dispatched at most once to targets that do not deduplicate,
only after the ledger granted it the key, and never after it was voided. A
voided attempt is removed from memory at once, and an event for an attempt
that is not in memory has no effect. A late event can therefore not restart
it, and the entry can report an attempt that is not in memory as void.
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.actions import attempt_memory
from thornspool.domain.actions import attempts
from thornspool.domain.actions import bound_keys
from thornspool.domain.actions import conflicts
from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results

if typing.TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class RunnerSettings:
    """Limits of a runner.

    Attributes
    ----------
    max_attempts : int
        Maximum number of attempts and pending releases in memory; at this
        number new actions are refused.
    max_sends : int
        Maximum number of sends of an attempt whose operation deduplicates.
    max_queries : int
        Maximum number of queries to holders and of repeated grant requests
        for one attempt.
    retry_after_ms : int
        Delay in milliseconds after which callers should retry.
    bound_keys : bound_keys.BoundSettings
        Limits of keys bound to this process.
    """

    max_attempts: int = 4_096
    max_sends: int = 3
    max_queries: int = 16
    retry_after_ms: int = 500
    bound_keys: bound_keys.BoundSettings = attrs.field(
        factory=bound_keys.BoundSettings
    )


class Runner:
    """State machine of all attempts of one entry.

    Parameters
    ----------
    settings : RunnerSettings, optional
        Limits.
    """

    def __init__(self, settings: RunnerSettings | None = None) -> None:
        self._settings = settings or RunnerSettings()
        self._memory = attempt_memory.AttemptMemory(
            self._settings.retry_after_ms, self._settings.bound_keys
        )
        self._conflicts = conflicts.ConflictResolver(
            self._memory, self._settings.max_queries
        )
        self._handlers: dict[type, Callable[..., attempt_memory.Commands]] = {
            events.VerdictReceived: self._handle_verdict,
            events.LedgerTimedOut: self._handle_ledger_timeout,
            events.HolderReported: self._conflicts.handle_report,
            events.TargetAnswered: self._handle_answer,
            events.TargetUnreachable: self._handle_not_reached,
            events.TargetResponseLost: self._handle_answer_lost,
            events.DeadlinePassed: self._handle_deadline,
        }

    @property
    def open_count(self) -> int:
        """Number of open attempts and of unconfirmed releases."""
        return self._memory.open_count

    def has_attempt(self, attempt: str) -> bool:
        """Return whether an attempt is in memory."""
        return self._memory.find(attempt) is not None

    def report(self, name: str) -> messages.AttemptReport:
        """Return the state of an attempt, VOID if it is not in memory."""
        return self._memory.report(name)

    def move_horizon(self, wall: int) -> None:
        """Drop the outcomes of bound keys that are too old.

        Parameters
        ----------
        wall : int
            Milliseconds since the Unix epoch.
        """
        self._memory.bound_keys.move_horizon(wall)

    def look_up_bound(self, name: str) -> results.ActionResult:
        """Return the result of a key that is bound to this process."""
        return self._memory.look_up_bound(name)

    def request(
        self, event: events.ActionRequested, now: int
    ) -> attempt_memory.Commands:
        """Handle a caller's request.

        Parameters
        ----------
        event : ActionRequested
            The request.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        list of RunnerCommand
            ``Join`` of a running attempt, ``Answer``, or the commands that
            start a new attempt.
        """
        running = self._memory.find_by_key(event.name)
        if running is not None:
            return self._join(running, event)
        if now >= event.deadline:
            return [attempts.build_refusal(event, results.NOT_RUN_DEADLINE, 0)]
        if not event.targets:
            wait = self._settings.retry_after_ms
            return [
                attempts.build_refusal(event, results.NOT_RUN_TARGETS, wait)
            ]
        outcomes = self._memory.bound_keys
        result = outcomes.decide(event) if event.bound_time else None
        if result is not None:
            return [events.Answer(event.attempt, result)]
        full = event.bound_time and outcomes.full
        if full or self.open_count >= self._settings.max_attempts:
            wait = self._settings.retry_after_ms
            return [attempts.build_refusal(event, results.NOT_RUN_BUSY, wait)]
        return self._start_attempt(event)

    def _start_attempt(
        self, event: events.ActionRequested
    ) -> attempt_memory.Commands:
        attempt = self._memory.add(event)
        if event.bound_time:
            # No other process may run this key, so it needs no grant.
            attempt.granted = True
            attempt.fencing_token = 1
            return self._dispatch(attempt)
        return [events.RequestGrant(event.attempt)]

    def handle(
        self, event: events.RunnerEvent, now: int
    ) -> attempt_memory.Commands:
        """Handle one event of an attempt.

        Parameters
        ----------
        event : RunnerEvent
            The event.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        list of RunnerCommand
            Commands to execute, in order.
        """
        if isinstance(event, events.RecordConfirmed):
            self._memory.confirm(event.attempt)
            return []
        attempt = self._memory.find(event.attempt)
        if attempt is None:
            return []
        return self._handlers[type(event)](attempt, event, now)

    def _join(
        self, attempt: attempts.Attempt, event: events.ActionRequested
    ) -> attempt_memory.Commands:
        if attempt.request.digest != event.digest:
            refused = results.ActionRefused(results.REFUSED_REUSED)
            return [events.Answer(event.attempt, refused)]
        attempt.deadline = max(attempt.deadline, event.deadline)
        return [events.Join(event.attempt, attempt.request.attempt)]

    def _handle_verdict(
        self,
        attempt: attempts.Attempt,
        event: events.VerdictReceived,
        now: int,
    ) -> attempt_memory.Commands:
        if attempt.phase is not events.Phase.REQUESTING:
            return []
        verdict = event.verdict
        if isinstance(verdict, messages.GrantGiven):
            return self._handle_grant(attempt, verdict, now)
        if isinstance(verdict, messages.RecordFound):
            return self._handle_record(attempt, verdict.record, now)
        if isinstance(verdict, messages.LedgerUnavailable):
            return self._refuse_unavailable(attempt, verdict)
        return self._refuse_verdict(attempt, verdict)

    def _handle_grant(
        self, attempt: attempts.Attempt, given: messages.GrantGiven, now: int
    ) -> attempt_memory.Commands:
        attempt.granted = True
        attempt.fencing_token = given.fencing_token
        attempt.uncertain = given.uncertain
        # A process that was suspended can receive a grant after its caller
        # has timed out, and that caller no longer expects the action to run.
        if now >= attempt.deadline:
            return self._memory.void(attempt, results.NOT_RUN_DEADLINE)
        return self._dispatch(attempt)

    def _dispatch(self, attempt: attempts.Attempt) -> attempt_memory.Commands:
        attempt.phase = events.Phase.DISPATCHED
        attempt.sends += 1
        return [
            events.Dispatch(
                attempt.request.attempt, attempt.target, attempt.fencing_token
            )
        ]

    def _handle_record(
        self, attempt: attempts.Attempt, record: records.Record, now: int
    ) -> attempt_memory.Commands:
        if record.state is records.RecordState.VOIDED:
            return self._memory.void(attempt, results.NOT_RUN_DEADLINE)
        if record.state is records.RecordState.DONE:
            assert record.outcome is not None
            attempt.holder = record.attempt
            return self._conflicts.apply_outcome(attempt, record.outcome, now)
        return self._conflicts.query_holder(attempt, record, now)

    def _refuse_unavailable(
        self, attempt: attempts.Attempt, verdict: messages.LedgerUnavailable
    ) -> attempt_memory.Commands:
        wait, reason = verdict.retry_after_ms, results.NOT_RUN_LEDGER
        if verdict.maybe_written:
            return self._memory.void(attempt, reason, wait)
        return self._memory.void_unwritten(attempt, reason, wait)

    def _refuse_verdict(
        self, attempt: attempts.Attempt, verdict: messages.Verdict
    ) -> attempt_memory.Commands:
        if isinstance(verdict, messages.KeyReused):
            refused = results.ActionRefused(results.REFUSED_REUSED)
            return self._memory.answer_and_remove(attempt, refused)
        if isinstance(verdict, messages.PageFull):
            return self._refuse_full(attempt)
        return self._memory.end_unknown(attempt, results.UNKNOWN_DROPPED)

    def _refuse_full(
        self, attempt: attempts.Attempt
    ) -> attempt_memory.Commands:
        """Refuse an action for a full page, which showed that none ran."""
        if attempt.uncertain:
            return self._memory.end_unknown(
                attempt, results.UNKNOWN_ANSWER_LOST
            )
        wait = self._settings.retry_after_ms
        result = results.ActionNotRun(results.NOT_RUN_FULL, wait, True)
        return self._memory.answer_and_remove(attempt, result)

    def _handle_ledger_timeout(
        self, attempt: attempts.Attempt, event: events.LedgerTimedOut, now: int
    ) -> attempt_memory.Commands:
        if attempt.phase is not events.Phase.REQUESTING:
            return []
        return self._memory.void(attempt, results.NOT_RUN_LEDGER)

    def _handle_answer(
        self, attempt: attempts.Attempt, event: events.TargetAnswered, now: int
    ) -> attempt_memory.Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        outcome = event.outcome
        done = results.ActionDone(
            outcome.status, outcome.content_type, outcome.body, False
        )
        return self._memory.end(attempt, outcome, done)

    def _handle_not_reached(
        self,
        attempt: attempts.Attempt,
        event: events.TargetUnreachable,
        now: int,
    ) -> attempt_memory.Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        attempt.target += 1
        if now >= attempt.deadline:
            return self._memory.void(attempt, results.NOT_RUN_DEADLINE)
        if attempt.target < attempt.request.targets:
            return self._dispatch(attempt)
        return self._memory.void(attempt, results.NOT_RUN_TARGETS)

    def _handle_answer_lost(
        self,
        attempt: attempts.Attempt,
        event: events.TargetResponseLost,
        now: int,
    ) -> attempt_memory.Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        # From here on the attempt may have run, even when a later send of it
        # does not reach its target, so "not run" is no longer correct.
        attempt.uncertain = True
        retry = attempt.request.deduplicates and now < attempt.deadline
        if retry and attempt.sends < self._settings.max_sends:
            return self._dispatch(attempt)
        return self._memory.end_lost(attempt)

    def _handle_deadline(
        self, attempt: attempts.Attempt, event: events.DeadlinePassed, now: int
    ) -> attempt_memory.Commands:
        if now < attempt.deadline:
            return []
        if attempt.phase is events.Phase.REQUESTING:
            return self._memory.void(attempt, results.NOT_RUN_DEADLINE)
        if attempt.phase is events.Phase.JOINING:
            return self._memory.end_unknown(attempt, results.UNKNOWN_RUNNING)
        return []
