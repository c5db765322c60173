"""Attempts in memory, and the proposals and results built from them."""

from __future__ import annotations

import attrs

from thornspool.domain.actions import events
from thornspool.domain.actions import messages
from thornspool.domain.actions import records
from thornspool.domain.actions import results


@attrs.define
class Attempt:
    """An attempt that the runner keeps in memory.

    Attributes
    ----------
    request : events.ActionRequested
        Request that created the attempt.
    deadline : int
        Monotonic milliseconds; the latest deadline of all joined calls.
    phase : events.Phase
        Progress of the attempt.
    holder : str
        Attempt that holds the key, empty when none is known.
    holder_query : events.QueryHolder or None
        Last query to the runner of the holder.
    fencing_token : int
        Token of the grant, 0 without a grant.
    uncertain : bool
        Whether this or an earlier attempt with the key may have run.
    granted : bool
        Whether the attempt holds its key.
    target : int
        Index of the target to call.
    sends : int
        Number of calls dispatched to targets.
    queries : int
        Number of queries to holders and repeated grant requests.
    outcome : records.Outcome or None
        How the attempt ended, None before its end.
    """

    request: events.ActionRequested
    deadline: int
    phase: events.Phase = events.Phase.REQUESTING
    holder: str = ''
    holder_query: events.QueryHolder | None = None
    fencing_token: int = 0
    uncertain: bool = False
    granted: bool = False
    target: int = 0
    sends: int = 0
    queries: int = 0
    outcome: records.Outcome | None = None


def build_release(attempt: Attempt) -> messages.GrantRelease:
    """Return the proposal that releases the key of a voided attempt."""
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
    """Return the proposal that records the outcome of an attempt."""
    request = attempt.request
    return messages.OutcomeRecord(
        request.address.bucket,
        request.address.slot,
        request.name,
        request.attempt,
        records.trim_outcome(outcome),
    )


def build_not_run(
    attempt: Attempt, reason: str, retry_after_ms: int
) -> results.ActionResult:
    """Return "not run", or "unknown" when an earlier attempt may have run.

    An earlier attempt is possible when the attempt is uncertain, when
    another attempt holds the key, or when the caller resent the key and the
    ledger did not grant it.
    """
    if attempt.uncertain or (attempt.holder and not attempt.granted):
        return results.ActionUnknown(results.UNKNOWN_UNCHECKED, retry_after_ms)
    if attempt.request.is_resent and not attempt.granted:
        return results.ActionUnknown(results.UNKNOWN_UNCHECKED, retry_after_ms)
    return results.ActionNotRun(reason, retry_after_ms, attempt.granted)


def build_refusal(
    event: events.ActionRequested, reason: str, wait: int
) -> events.Answer:
    """Return the answer to a call refused before the ledger was read."""
    if event.is_resent:
        unknown = results.ActionUnknown(results.UNKNOWN_UNCHECKED, wait)
        return events.Answer(event.attempt, unknown)
    return events.Answer(event.attempt, results.ActionNotRun(reason, wait))
