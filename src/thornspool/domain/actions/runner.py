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
from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results

if typing.TYPE_CHECKING:
    from collections.abc import Callable

_Commands = list[events.RunnerCommand]


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
        self._attempts: dict[str, attempts.Attempt] = {}
        self._by_name: dict[str, str] = {}
        self._pending: set[str] = set()
        self._bound = bound.BoundKeys(self._settings.bound)
        self._handlers: dict[type, Callable[..., _Commands]] = {
            events.LedgerAnswered: self._take_verdict,
            events.LedgerSilent: self._take_silence,
            events.HolderAnswered: self._take_report,
            events.TargetAnswered: self._take_answer,
            events.TargetUnreached: self._take_unreached,
            events.TargetLost: self._take_lost,
            events.DeadlinePassed: self._take_deadline,
        }

    @property
    def open_count(self) -> int:
        """Number of attempts and records that are not settled."""
        return len(self._attempts) + len(self._pending)

    def knows(self, attempt: str) -> bool:
        """Return whether an attempt is in memory."""
        return attempt in self._attempts

    def request(self, event: events.ActionRequested, now: int) -> _Commands:
        """Take a caller's request.

        Returns
        -------
        list of RunnerCommand
            ``Join`` of an attempt that is under way, ``Answer``, or the
            start of a new attempt.
        """
        running = self._by_name.get(event.name)
        if running is not None:
            return self._join(self._attempts[running], event)
        if now >= event.deadline:
            return [attempts.refuse(event, results.NOT_RUN_DEADLINE, 0)]
        if not event.targets:
            wait = self._settings.retry_after_ms
            return [attempts.refuse(event, results.NOT_RUN_TARGETS, wait)]
        known = self._bound.decide(event) if event.bound_time else None
        if known is not None:
            return [events.Answer(event.attempt, known)]
        full = event.bound_time and self._bound.full
        if full or self.open_count >= self._settings.max_attempts:
            wait = self._settings.retry_after_ms
            return [attempts.refuse(event, results.NOT_RUN_BUSY, wait)]
        return self._begin(event)

    def move_horizon(self, wall: int) -> None:
        """Forget bound keys that are too old; ``wall`` is calendar time."""
        self._bound.move_horizon(wall)

    def look_up_bound(self, name: str) -> results.ActionResult:
        """Tell what is known of a key bound to this process."""
        if name in self._by_name:
            wait = self._settings.retry_after_ms
            return results.ActionUnknown(results.UNKNOWN_RUNNING, wait)
        return self._bound.look_up(name)

    def _begin(self, event: events.ActionRequested) -> _Commands:
        attempt = attempts.Attempt(event, event.deadline)
        self._attempts[event.attempt] = attempt
        self._by_name[event.name] = event.attempt
        if event.bound_time:
            # No other process may run this key, so nobody has to agree.
            attempt.granted = True
            attempt.fencing_token = 1
            return self._dispatch(attempt)
        return [events.RequestGrant(event.attempt)]

    def handle(self, event: events.RunnerEvent, now: int) -> _Commands:
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
            return self._confirm(event)
        attempt = self._attempts.get(event.attempt)
        if attempt is None:
            return []
        return self._handlers[type(event)](attempt, event, now)

    def report(self, name: str) -> messages.AttemptReport:
        """Tell anybody how far an attempt is.

        Parameters
        ----------
        name : str
            Identifier of the attempt.

        Returns
        -------
        messages.AttemptReport
            VOID for an attempt that is not in memory: it was voided, or its
            end is in the ledger, where a displacement fails by version.
        """
        attempt = self._attempts.get(name)
        if attempt is None:
            return messages.AttemptReport(name, messages.AttemptState.VOID)
        if attempt.outcome is None:
            return messages.AttemptReport(name, messages.AttemptState.RUNNING)
        return messages.AttemptReport(
            name, messages.AttemptState.DONE, attempt.outcome
        )

    def _join(
        self, attempt: attempts.Attempt, event: events.ActionRequested
    ) -> _Commands:
        if attempt.request.digest != event.digest:
            refused = results.ActionRefused(results.REFUSED_REUSED)
            return [events.Answer(event.attempt, refused)]
        attempt.deadline = max(attempt.deadline, event.deadline)
        return [events.Join(event.attempt, attempt.request.attempt)]

    def _take_verdict(
        self, attempt: attempts.Attempt, event: events.LedgerAnswered, now: int
    ) -> _Commands:
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
    ) -> _Commands:
        attempt.granted = True
        attempt.fencing_token = given.fencing_token
        attempt.uncertain = given.uncertain
        # A process that was paused wakes with a grant whose caller has
        # moved on; running it now would surprise that caller.
        if now >= attempt.deadline:
            return self._void(attempt, results.NOT_RUN_DEADLINE)
        return self._dispatch(attempt)

    def _dispatch(self, attempt: attempts.Attempt) -> _Commands:
        attempt.phase = events.Phase.DISPATCHED
        attempt.sends += 1
        return [
            events.Dispatch(
                attempt.request.attempt, attempt.target, attempt.fencing_token
            )
        ]

    def _take_record(
        self, attempt: attempts.Attempt, record: records.Record, now: int
    ) -> _Commands:
        if record.state is records.RecordState.VOIDED:
            return self._void(attempt, results.NOT_RUN_DEADLINE)
        if record.state is records.RecordState.DONE:
            assert record.outcome is not None
            attempt.holder = record.attempt
            return self._take_outcome(attempt, record.outcome, now)
        return self._ask_holder(attempt, record, now)

    def _ask_holder(
        self, attempt: attempts.Attempt, record: records.Record, now: int
    ) -> _Commands:
        attempt.asks += 1
        if now >= attempt.deadline or attempt.asks > self._settings.max_asks:
            return self._end_unknown(attempt, results.UNKNOWN_RUNNING)
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
        if now >= attempt.deadline or attempt.asks > self._settings.max_asks:
            return self._end_unknown(attempt, results.UNKNOWN_RUNNING)
        return [attrs.evolve(attempt.question, wait=True)]

    def _take_report(
        self, attempt: attempts.Attempt, event: events.HolderAnswered, now: int
    ) -> _Commands:
        report = event.report
        joining = attempt.phase is events.Phase.JOINING
        if not joining or report.attempt != attempt.holder:
            return []
        if report.state is messages.AttemptState.DONE:
            assert report.outcome is not None
            return self._take_outcome(attempt, report.outcome, now)
        if report.state is messages.AttemptState.RUNNING:
            return self._ask_again(attempt, now)
        if report.state is messages.AttemptState.VOID:
            if attempt.uncertain and not attempt.request.deduplicates:
                return self._end_unknown(attempt, results.UNKNOWN_ANSWER_LOST)
            held = attempt.holder
            return self._ask_ledger(attempt, held, attempt.uncertain, now)
        if not attempt.request.deduplicates:
            return self._end_unknown(attempt, results.UNKNOWN_RUNNER_GONE)
        return self._ask_ledger(attempt, attempt.holder, True, now)

    def _take_outcome(
        self, attempt: attempts.Attempt, outcome: records.Outcome, now: int
    ) -> _Commands:
        if outcome.known:
            return self._forget(attempt, results.replay(outcome))
        if attempt.request.deduplicates:
            return self._ask_ledger(attempt, attempt.holder, True, now)
        return self._end_unknown(attempt, results.UNKNOWN_ANSWER_LOST)

    def _ask_ledger(
        self,
        attempt: attempts.Attempt,
        displaces: str,
        uncertain: bool,
        now: int,
    ) -> _Commands:
        attempt.asks += 1
        if now >= attempt.deadline or attempt.asks > self._settings.max_asks:
            return self._end_unknown(attempt, results.UNKNOWN_RUNNING)
        attempt.phase = events.Phase.ASKING
        attempt.uncertain = uncertain
        return [
            events.RequestGrant(attempt.request.attempt, displaces, uncertain)
        ]

    def _refuse_unavailable(
        self, attempt: attempts.Attempt, verdict: messages.LedgerUnavailable
    ) -> _Commands:
        wait = verdict.retry_after_ms
        commands = self._void(attempt, results.NOT_RUN_LEDGER, wait)
        if verdict.maybe_written:
            return commands
        # Nothing was written, so there is nothing to release; during an
        # outage the releases of refused actions would pile up.
        self._pending.discard(attempt.request.attempt)
        return [c for c in commands if isinstance(c, events.Answer)]

    def _refuse_verdict(
        self, attempt: attempts.Attempt, verdict: messages.Verdict
    ) -> _Commands:
        if isinstance(verdict, messages.KeyReused):
            refused = results.ActionRefused(results.REFUSED_REUSED)
            return self._forget(attempt, refused)
        if isinstance(verdict, messages.PageFull):
            return self._refuse_full(attempt)
        return self._end_unknown(attempt, results.UNKNOWN_DROPPED)

    def _refuse_full(self, attempt: attempts.Attempt) -> _Commands:
        """Refuse for want of room; the page showed that nothing ran."""
        if attempt.uncertain:
            return self._end_unknown(attempt, results.UNKNOWN_ANSWER_LOST)
        wait = self._settings.retry_after_ms
        result = results.ActionNotRun(results.NOT_RUN_FULL, wait, True)
        return self._forget(attempt, result)

    def _take_silence(
        self, attempt: attempts.Attempt, event: events.LedgerSilent, now: int
    ) -> _Commands:
        if attempt.phase is not events.Phase.ASKING:
            return []
        return self._void(attempt, results.NOT_RUN_LEDGER)

    def _take_answer(
        self, attempt: attempts.Attempt, event: events.TargetAnswered, now: int
    ) -> _Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        outcome = event.outcome
        done = results.ActionDone(
            outcome.status, outcome.content_type, outcome.body, False
        )
        return self._end(attempt, outcome, done)

    def _take_unreached(
        self,
        attempt: attempts.Attempt,
        event: events.TargetUnreached,
        now: int,
    ) -> _Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        attempt.target += 1
        if now >= attempt.deadline:
            return self._void(attempt, results.NOT_RUN_DEADLINE)
        if attempt.target < attempt.request.targets:
            return self._dispatch(attempt)
        return self._void(attempt, results.NOT_RUN_TARGETS)

    def _take_lost(
        self, attempt: attempts.Attempt, event: events.TargetLost, now: int
    ) -> _Commands:
        if attempt.phase is not events.Phase.DISPATCHED:
            return []
        # From here on "not run" would be a guess, also when a later send
        # of the same attempt does not reach its target.
        attempt.uncertain = True
        retry = attempt.request.deduplicates and now < attempt.deadline
        if retry and attempt.sends < self._settings.max_sends:
            return self._dispatch(attempt)
        return self._end(attempt, records.LOST, self._say_lost())

    def _take_deadline(
        self, attempt: attempts.Attempt, event: events.DeadlinePassed, now: int
    ) -> _Commands:
        if now < attempt.deadline:
            return []
        if attempt.phase is events.Phase.ASKING:
            return self._void(attempt, results.NOT_RUN_DEADLINE)
        if attempt.phase is events.Phase.JOINING:
            return self._end_unknown(attempt, results.UNKNOWN_RUNNING)
        return []

    def _void(
        self, attempt: attempts.Attempt, reason: str, retry_after_ms: int = -1
    ) -> _Commands:
        """Give an attempt up before a byte of it was written."""
        if retry_after_ms < 0:
            retry_after_ms = self._settings.retry_after_ms
        if attempt.uncertain and attempt.granted:
            return self._end(attempt, records.LOST, self._say_lost())
        result = attempts.say_not_run(attempt, reason, retry_after_ms)
        if attempt.request.bound_time:
            return self._forget(attempt, result)
        name = attempt.request.attempt
        self._pending.add(name)
        settle = events.Settle(name, attempts.build_release(attempt))
        return [*self._forget(attempt, result), settle]

    def _end(
        self,
        attempt: attempts.Attempt,
        outcome: records.Outcome,
        result: results.ActionResult,
    ) -> _Commands:
        """Keep an outcome in memory until the ledger has it."""
        if attempt.request.bound_time:
            self._bound.keep(attempt.request, outcome)
            return self._forget(attempt, result)
        attempt.phase = events.Phase.DONE
        attempt.outcome = outcome
        name = attempt.request.attempt
        record = attempts.build_outcome(attempt, outcome)
        return [
            events.Answer(name, result),
            events.Settle(name, record),
        ]

    def _end_unknown(
        self, attempt: attempts.Attempt, reason: str
    ) -> _Commands:
        wait = self._settings.retry_after_ms
        return self._forget(attempt, results.ActionUnknown(reason, wait))

    def _forget(
        self, attempt: attempts.Attempt, result: results.ActionResult
    ) -> _Commands:
        name = attempt.request.attempt
        del self._attempts[name]
        del self._by_name[attempt.request.name]
        return [events.Answer(name, result)]

    def _say_lost(self) -> results.ActionUnknown:
        return results.ActionUnknown(
            results.UNKNOWN_ANSWER_LOST, self._settings.retry_after_ms
        )

    def _confirm(self, event: events.RecordConfirmed) -> _Commands:
        self._pending.discard(event.attempt)
        attempt = self._attempts.get(event.attempt)
        if attempt is not None and attempt.outcome is not None:
            del self._attempts[event.attempt]
            del self._by_name[attempt.request.name]
        return []
