"""One attempt in a runner's memory, and what is said of it."""

from __future__ import annotations

import attrs

from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results


@attrs.define
class Attempt:
    """One attempt that has not been forgotten."""

    request: events.ActionRequested
    deadline: int
    phase: events.Phase = events.Phase.ASKING
    holder: str = ''
    question: events.AskHolder | None = None
    fencing_token: int = 0
    uncertain: bool = False
    granted: bool = False
    target: int = 0
    sends: int = 0
    asks: int = 0
    outcome: records.Outcome | None = None


def build_release(attempt: Attempt) -> messages.GrantRelease:
    """Return the proposal that frees a voided attempt's key."""
    request = attempt.request
    return messages.GrantRelease(
        request.address.bucket,
        request.address.slot,
        request.name,
        request.attempt,
    )


def build_outcome(
    attempt: Attempt, outcome: records.Outcome
) -> messages.OutcomeRecord:
    """Return the proposal that records how an attempt ended."""
    request = attempt.request
    return messages.OutcomeRecord(
        request.address.bucket,
        request.address.slot,
        request.name,
        request.attempt,
        records.trim_outcome(outcome),
    )


def say_not_run(
    attempt: Attempt, reason: str, retry_after_ms: int
) -> results.ActionResult:
    """Say "not run" unless an earlier attempt is known that may have run."""
    if attempt.uncertain or (attempt.holder and not attempt.granted):
        return results.ActionUnknown(results.UNKNOWN_UNCHECKED, retry_after_ms)
    if attempt.request.resent and not attempt.granted:
        return results.ActionUnknown(results.UNKNOWN_UNCHECKED, retry_after_ms)
    return results.ActionNotRun(reason, retry_after_ms, attempt.granted)


def refuse(
    event: events.ActionRequested, reason: str, wait: int
) -> events.Answer:
    """Refuse a call that was not even looked up."""
    if event.resent:
        unknown = results.ActionUnknown(results.UNKNOWN_UNCHECKED, wait)
        return events.Answer(event.attempt, unknown)
    return events.Answer(event.attempt, results.ActionNotRun(reason, wait))
