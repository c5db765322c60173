"""The attempts that one entry keeps in memory, and how they end.

A voided attempt is removed at once; a completed one stays until the ledger
has recorded its outcome. An attempt that is not in memory will therefore
never run again, and the entry can report it as void.
"""

from __future__ import annotations

from thornspool.domain.actions import attempts
from thornspool.domain.actions import bound_keys
from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results

Commands = list[events.RunnerCommand]


class AttemptMemory:
    """Open attempts, and releases that the ledger has not confirmed.

    Parameters
    ----------
    retry_after_ms : int
        Delay in milliseconds after which callers should retry.
    settings : bound_keys.BoundSettings
        Limits of keys bound to this process.

    Attributes
    ----------
    bound_keys : bound_keys.BoundKeys
        Outcomes of keys bound to this process.
    """

    def __init__(
        self, retry_after_ms: int, settings: bound_keys.BoundSettings
    ) -> None:
        self.bound_keys = bound_keys.BoundKeys(settings)
        self._retry_after_ms = retry_after_ms
        self._attempts: dict[str, attempts.Attempt] = {}
        self._attempts_by_key: dict[str, str] = {}
        self._pending_releases: set[str] = set()

    @property
    def open_count(self) -> int:
        """Number of open attempts and of unconfirmed releases."""
        return len(self._attempts) + len(self._pending_releases)

    def add(self, event: events.ActionRequested) -> attempts.Attempt:
        """Add and return a new attempt."""
        attempt = attempts.Attempt(event, event.deadline)
        self._attempts[event.attempt] = attempt
        self._attempts_by_key[event.name] = event.attempt
        return attempt

    def find(self, name: str) -> attempts.Attempt | None:
        """Return the attempt with an identifier, None if there is none."""
        return self._attempts.get(name)

    def find_by_key(self, name: str) -> attempts.Attempt | None:
        """Return the open attempt of a key, None if there is none."""
        identifier = self._attempts_by_key.get(name)
        return None if identifier is None else self._attempts[identifier]

    def look_up_bound(self, name: str) -> results.ActionResult:
        """Return the result of a key that is bound to this process."""
        if name in self._attempts_by_key:
            return results.ActionUnknown(
                results.UNKNOWN_RUNNING, self._retry_after_ms
            )
        return self.bound_keys.look_up(name)

    def report(self, name: str) -> messages.AttemptReport:
        """Return the state of an attempt.

        Parameters
        ----------
        name : str
            Identifier of the attempt.

        Returns
        -------
        messages.AttemptReport
            VOID for an attempt that is not in memory: either it was voided,
            or the ledger has its outcome, and a write that displaces it
            fails by its version.
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
        """Void an attempt that sent nothing, and release its key.

        When an earlier attempt or send may have run, the attempt is
        completed with an unknown outcome instead, and its key stays held.

        Parameters
        ----------
        attempt : attempts.Attempt
            The attempt.
        reason : str
            Reason for the caller.
        retry_after_ms : int, optional
            Milliseconds for the caller to wait; below 0 the default delay.
        """
        if retry_after_ms < 0:
            retry_after_ms = self._retry_after_ms
        if attempt.uncertain and attempt.granted:
            return self.end_lost(attempt)
        result = attempts.build_not_run(attempt, reason, retry_after_ms)
        if attempt.request.bound_time:
            return self.answer_and_remove(attempt, result)
        name = attempt.request.attempt
        self._pending_releases.add(name)
        settle = events.Settle(name, attempts.build_release(attempt))
        return [*self.answer_and_remove(attempt, result), settle]

    def void_unwritten(
        self, attempt: attempts.Attempt, reason: str, retry_after_ms: int
    ) -> Commands:
        """Void an attempt that the ledger has no record of.

        There is nothing to release, and during an outage the releases of
        refused actions would accumulate in memory.
        """
        commands = self.void(attempt, reason, retry_after_ms)
        self._pending_releases.discard(attempt.request.attempt)
        return [
            command
            for command in commands
            if isinstance(command, events.Answer)
        ]

    def end(
        self,
        attempt: attempts.Attempt,
        outcome: records.Outcome,
        result: results.ActionResult,
    ) -> Commands:
        """Complete an attempt; its outcome stays in memory until recorded."""
        if attempt.request.bound_time:
            self.bound_keys.record_outcome(attempt.request, outcome)
            return self.answer_and_remove(attempt, result)
        attempt.phase = events.Phase.DONE
        attempt.outcome = outcome
        name = attempt.request.attempt
        record = attempts.build_outcome(attempt, outcome)
        return [
            events.Answer(name, result),
            events.Settle(name, record),
        ]

    def end_lost(self, attempt: attempts.Attempt) -> Commands:
        """Complete an attempt that may have run, with an unknown outcome."""
        lost = results.ActionUnknown(
            results.UNKNOWN_ANSWER_LOST, self._retry_after_ms
        )
        return self.end(attempt, records.LOST, lost)

    def end_unknown(self, attempt: attempts.Attempt, reason: str) -> Commands:
        """Remove an attempt that never held its key; its result is unknown."""
        return self.answer_and_remove(
            attempt, results.ActionUnknown(reason, self._retry_after_ms)
        )

    def answer_and_remove(
        self, attempt: attempts.Attempt, result: results.ActionResult
    ) -> Commands:
        """Remove an attempt and answer its callers."""
        self._remove(attempt)
        return [events.Answer(attempt.request.attempt, result)]

    def confirm(self, name: str) -> None:
        """Record that the ledger has an attempt's outcome or release."""
        self._pending_releases.discard(name)
        attempt = self._attempts.get(name)
        if attempt is not None and attempt.outcome is not None:
            self._remove(attempt)

    def _remove(self, attempt: attempts.Attempt) -> None:
        del self._attempts[attempt.request.attempt]
        del self._attempts_by_key[attempt.request.name]
