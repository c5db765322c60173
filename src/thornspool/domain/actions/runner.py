"""Attempts of one entry: which of them may be dispatched, and when.

An attempt is dispatched at most once towards targets that do not
deduplicate, only after the ledger gave it the key, and never after it was
voided. A voided attempt is forgotten at once, and an event for an attempt
that is not in memory does nothing: so nothing that arrives later can revive
it, and "not in memory" can be told to anybody as "never will".
"""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.actions import attempts
from thornspool.domain.actions import bound
from thornspool.domain.actions import endings
from thornspool.domain.actions import events
from thornspool.domain.actions import joining
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results

if typing.TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class RunnerSettings:
    """Bounds of a runner.

    Attributes
    ----------
    max_attempts : int
        Most attempts and pending records in memory; past it new actions
        are refused.
    max_sends : int
        Most sends of an attempt whose operation deduplicates.
    max_asks : int
        Most questions to holders and to the ledger for one attempt.
    retry_after_ms : int
        When callers are told to come back.
    bound : bound.BoundSettings
        Bounds of keys bound to this process.
    """

    max_attempts: int = 4_096
    max_sends: int = 3
    max_asks: int = 16
    retry_after_ms: int = 500
    bound: bound.BoundSettings = attrs.field(factory=bound.BoundSettings)


class Runner:
    """State of all attempts of one entry.

    Parameters
    ----------
    settings : RunnerSettings
        Bounds.
    """

    def __init__(self, settings: RunnerSettings | None = None) -> None:
        self._settings = settings or RunnerSettings()
        self._memory = endings.AttemptMemory(
            self._settings.retry_after_ms, self._settings.bound
        )
        self._joining = joining.Joining(self._memory, self._settings.max_asks)
        self._handlers: dict[type, Callable[..., endings.Commands]] = {
            events.LedgerAnswered: self._take_verdict,
            events.LedgerSilent: self._take_silence,
            events.HolderAnswered: self._joining.take_report,
            events.TargetAnswered: self._take_answer,
            events.TargetUnreached: self._take_unreached,
            events.TargetLost: self._take_lost,
            events.DeadlinePassed: self._take_deadline,
        }

    @property
    def open_count(self) -> int:
        """Number of attempts and records that are not settled."""
        return self._memory.open_count

    def knows(self, attempt: str) -> bool:
        """Return whether an attempt is in memory."""
        return self._memory.find(attempt) is not None

    def report(self, name: str) -> messages.AttemptReport:
        """Tell anybody how far an attempt is."""
        return self._memory.report(name)

    def move_horizon(self, wall: int) -> None:
        """Forget bound keys that are too old; ``wall`` is calendar time."""
        self._memory.bound.move_horizon(wall)

    def look_up_bound(self, name: str) -> results.ActionResult:
        """Tell what is known of a key bound to this process."""
        return self._memory.look_up_bound(name)

    def request(
        self, event: events.ActionRequested, now: int
    ) -> endings.Commands:
        """Take a caller's request.

        Returns
        -------
        list of RunnerCommand
            ``Join`` of an attempt that is under way, ``Answer``, or the
            start of a new attempt.
        """
        running = self._memory.find_key(event.name)
        if running is not None:
            return self._join(running, event)
        if now >= event.deadline:
            return [attempts.refuse(event, results.NOT_RUN_DEADLINE, 0)]
        if not event.targets:
            wait = self._settings.retry_after_ms
            return [attempts.refuse(event, results.NOT_RUN_TARGETS, wait)]
        bound_keys = self._memory.bound
        known = bound_keys.decide(event) if event.bound_time else None
        if known is not None:
            return [events.Answer(event.attempt, known)]
        full = event.bound_time and bound_keys.full
        if full or self.open_count >= self._settings.max_attempts:
            wait = self._settings.retry_after_ms
            return [attempts.refuse(event, results.NOT_RUN_BUSY, wait)]
        return self._begin(event)

    def _begin(self, event: events.ActionRequested) -> endings.Commands:
        attempt = self._memory.add(event)
        if event.bound_time:
            # No other process may run this key, so nobody has to agree.
            attempt.granted = True
            attempt.fencing_token = 1
            return self._dispatch(attempt)
        return [events.RequestGrant(event.attempt)]

    def handle(self, event: events.RunnerEvent, now: int) -> endings.Commands:
        """Take one event of an attempt.

        Parameters
        ----------
        event : RunnerEvent
            What happened.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        list of RunnerCommand
            What to do, in order.
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
    ) -> endings.Commands:
        if attempt.request.digest != event.digest:
            refused = results.ActionRefused(results.REFUSED_REUSED)
            return [events.Answer(event.attempt, refused)]
        attempt.deadline = max(attempt.deadline, event.deadline)
        return [events.Join(event.attempt, attempt.request.attempt)]

    def _take_verdict(
        self, attempt: attempts.Attempt, event: events.LedgerAnswered, now: int
    ) -> endings.Commands:
        if attempt.phase is not events.Phase.ASKING:
            return []
        verdict = event.verdict
        if isinstance(verdict, messages.GrantGiven):
            return self._take_grant(attempt, verdict, now)
        if isinstance(verdict, messages.RecordFound):
            return self._take_record(attempt, verdict.record, now)
        if isinstance(verdict, messages.LedgerUnavailable):
            return self._refuse_unavailable(attempt, verdict)
        return self._refuse_verdict(attempt, verdict)

    def _take_grant(
        self, attempt: attempts.Attempt, given: messages.GrantGiven, now: int
    ) -> endings.Commands:
        attempt.granted = True
        attempt.fencing_token = given.fencing_token
        attempt.uncertain = given.uncertain
        # A process that was paused wakes with a grant whose caller has
        # moved on; running it now would surprise that caller.
        if now >= attempt.deadline:
            return self._memory.void(attempt, results.NOT_RUN_DEADLINE)
        return self._dispatch(attempt)

    def _dispatch(self, attempt: attempts.Attempt) -> endings.Commands:
        attempt.phase = events.Phase.DISPATCHED
        attempt.sends += 1
        return [
            events.Dispatch(
                attempt.request.attempt, attempt.target, attempt.fencing_token
            )
        ]

    def _take_record(
        self, attempt: attempts.Attempt, record: records.Record, now: int
    ) -> endings.Commands:
        if record.state is records.RecordState.VOIDED:
            return self._memory.void(attempt, results.NOT_RUN_DEADLINE)
        if record.state is records.RecordState.DONE:
            assert record.outcome is not None
            attempt.holder = record.attempt
            return self._joining.take_outcome(attempt, record.outcome, now)
        return self._joining.ask_holder(attempt, record, now)

    def _refuse_unavailable(
        self, attempt: attempts.Attempt, verdict: messages.LedgerUnavailable
    ) -> endings.Commands:
        wait, reason = verdict.retry_after_ms, results.NOT_RUN_LEDGER
        if verdict.maybe_written:
            return self._memory.void(attempt, reason, wait)
        return self._memory.void_unwritten(attempt, reason, wait)

    def _refuse_verdict(
        self, attempt: attempts.Attempt, verdict: messages.Verdict
    ) -> endings.Commands:
        if isinstance(verdict, messages.KeyReused):
            refused = results.ActionRefused(results.REFUSED_REUSED)
            return self._memory.forget(attempt, refused)
        if isinstance(verdict, messages.PageFull):
            return self._refuse_full(attempt)
        return self._memory.end_unknown(attempt, results.UNKNOWN_DROPPED)

    def _refuse_full(self, attempt: attempts.Attempt) -> endings.Commands:
        """Refuse for want of room; the page showed that nothing ran."""
        if attempt.uncertain:
            return self._memory.end_unknown(
                attempt, results.UNKNOWN_ANSWER_LOST
            )
        wait = self._settings.retry_after_ms
        result = results.ActionNotRun(results.NOT_RUN_FULL, wait, True)
        return self._memory.forget(attempt, result)

    def _take_silence(
        self, attempt: attempts.Attempt, event: events.LedgerSilent, now: int
    ) -> endings.Commands:
        if attempt.phase is not events.Phase.ASKING:
            return []
        return self._memory.void(attempt, results.NOT_RUN_LEDGER)

    def _take_answer(
        self, attempt: attempts.Attempt, event: events.TargetAnswered, now: int
    ) -> endings.Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        outcome = event.outcome
        done = results.ActionDone(
            outcome.status, outcome.content_type, outcome.body, False
        )
        return self._memory.end(attempt, outcome, done)

    def _take_unreached(
        self,
        attempt: attempts.Attempt,
        event: events.TargetUnreached,
        now: int,
    ) -> endings.Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        attempt.target += 1
        if now >= attempt.deadline:
            return self._memory.void(attempt, results.NOT_RUN_DEADLINE)
        if attempt.target < attempt.request.targets:
            return self._dispatch(attempt)
        return self._memory.void(attempt, results.NOT_RUN_TARGETS)

    def _take_lost(
        self, attempt: attempts.Attempt, event: events.TargetLost, now: int
    ) -> endings.Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        # From here on "not run" would be a guess, also when a later send
        # of the same attempt does not reach its target.
        attempt.uncertain = True
        retry = attempt.request.deduplicates and now < attempt.deadline
        if retry and attempt.sends < self._settings.max_sends:
            return self._dispatch(attempt)
        return self._memory.end_lost(attempt)

    def _take_deadline(
        self, attempt: attempts.Attempt, event: events.DeadlinePassed, now: int
    ) -> endings.Commands:
        if now < attempt.deadline:
            return []
        if attempt.phase is events.Phase.ASKING:
            return self._memory.void(attempt, results.NOT_RUN_DEADLINE)
        if attempt.phase is events.Phase.JOINING:
            return self._memory.end_unknown(attempt, results.UNKNOWN_RUNNING)
        return []
