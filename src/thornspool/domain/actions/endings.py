"""Attempts in one entry's memory, and the ways in which they end.

A voided attempt is forgotten at once; one that ended stays until the ledger
has its outcome. So what is not in memory will never run again, and that can
be told to anybody.
"""

from __future__ import annotations

from thornspool.domain.actions import attempts
from thornspool.domain.actions import bound
from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results

Commands = list[events.RunnerCommand]


class AttemptMemory:
    """Attempts that are not forgotten, and records that are not settled.

    Parameters
    ----------
    retry_after_ms : int
        When callers are told to come back.
    settings : bound.BoundSettings
        Bounds of keys bound to this process.

    Attributes
    ----------
    bound : bound.BoundKeys
        Outcomes of keys bound to this process.
    """

    def __init__(
        self, retry_after_ms: int, settings: bound.BoundSettings
    ) -> None:
        self.bound = bound.BoundKeys(settings)
        self._retry_after_ms = retry_after_ms
        self._attempts: dict[str, attempts.Attempt] = {}
        self._by_name: dict[str, str] = {}
        self._pending: set[str] = set()

    @property
    def open_count(self) -> int:
        """Number of attempts and records that are not settled."""
        return len(self._attempts) + len(self._pending)

    def add(self, event: events.ActionRequested) -> attempts.Attempt:
        """Keep a new attempt."""
        attempt = attempts.Attempt(event, event.deadline)
        self._attempts[event.attempt] = attempt
        self._by_name[event.name] = event.attempt
        return attempt

    def find(self, name: str) -> attempts.Attempt | None:
        """Return an attempt by its identifier."""
        return self._attempts.get(name)

    def find_key(self, name: str) -> attempts.Attempt | None:
        """Return the attempt that is under way for a key."""
        running = self._by_name.get(name)
        return None if running is None else self._attempts[running]

    def look_up_bound(self, name: str) -> results.ActionResult:
        """Tell what is known of a key bound to this process."""
        if name in self._by_name:
            return results.ActionUnknown(
                results.UNKNOWN_RUNNING, self._retry_after_ms
            )
        return self.bound.look_up(name)

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

    def void(
        self, attempt: attempts.Attempt, reason: str, retry_after_ms: int = -1
    ) -> Commands:
        """Give an attempt up before a byte of it was written."""
        if retry_after_ms < 0:
            retry_after_ms = self._retry_after_ms
        if attempt.uncertain and attempt.granted:
            return self.end_lost(attempt)
        result = attempts.say_not_run(attempt, reason, retry_after_ms)
        if attempt.request.bound_time:
            return self.forget(attempt, result)
        name = attempt.request.attempt
        self._pending.add(name)
        settle = events.Settle(name, attempts.build_release(attempt))
        return [*self.forget(attempt, result), settle]

    def void_unwritten(
        self, attempt: attempts.Attempt, reason: str, retry_after_ms: int
    ) -> Commands:
        """Give an attempt up of which the ledger holds nothing.

        There is nothing to release; during an outage the releases of
        refused actions would pile up.
        """
        commands = self.void(attempt, reason, retry_after_ms)
        self._pending.discard(attempt.request.attempt)
        return [c for c in commands if isinstance(c, events.Answer)]

    def end(
        self,
        attempt: attempts.Attempt,
        outcome: records.Outcome,
        result: results.ActionResult,
    ) -> Commands:
        """Keep an outcome in memory until the ledger has it."""
        if attempt.request.bound_time:
            self.bound.keep(attempt.request, outcome)
            return self.forget(attempt, result)
        attempt.phase = events.Phase.DONE
        attempt.outcome = outcome
        name = attempt.request.attempt
        record = attempts.build_outcome(attempt, outcome)
        return [
            events.Answer(name, result),
            events.Settle(name, record),
        ]

    def end_lost(self, attempt: attempts.Attempt) -> Commands:
        """Keep that an attempt may have run, and nobody knows."""
        lost = results.ActionUnknown(
            results.UNKNOWN_ANSWER_LOST, self._retry_after_ms
        )
        return self.end(attempt, records.LOST, lost)

    def end_unknown(self, attempt: attempts.Attempt, reason: str) -> Commands:
        """Forget an attempt that never held its key."""
        return self.forget(
            attempt, results.ActionUnknown(reason, self._retry_after_ms)
        )

    def forget(
        self, attempt: attempts.Attempt, result: results.ActionResult
    ) -> Commands:
        """Answer an attempt's caller and forget it."""
        self._drop(attempt)
        return [events.Answer(attempt.request.attempt, result)]

    def confirm(self, name: str) -> None:
        """Take in that the ledger has an attempt's outcome or release."""
        self._pending.discard(name)
        attempt = self._attempts.get(name)
        if attempt is not None and attempt.outcome is not None:
            self._drop(attempt)

    def _drop(self, attempt: attempts.Attempt) -> None:
        del self._attempts[attempt.request.attempt]
        del self._by_name[attempt.request.name]
