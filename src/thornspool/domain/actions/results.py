"""Results of actions as callers receive them."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.actions import records

NOT_RUN_DEADLINE = 'The deadline passed before the call was sent.'
NOT_RUN_TARGETS = 'No target of the service could be reached.'
NOT_RUN_LEDGER = (
    'The platform can not be reached, so this call was not sent; '
    'send it again with the same key.'
)
NOT_RUN_FULL = (
    'Too many actions carry a key of this moment; '
    'send it again later with a new key.'
)
NOT_RUN_BUSY = 'This entry has too many actions open; send it again later.'
UNKNOWN_RUNNING = (
    'A call with this key is still running; ask again with the same key.'
)
UNKNOWN_RUNNER_GONE = (
    'The entry that ran this key does not answer; ask again later and '
    'check with the service before using a new key.'
)
UNKNOWN_ANSWER_LOST = (
    'The call was sent and its answer was lost; it is never sent again. '
    'Check with the service before using a new key.'
)
UNKNOWN_DROPPED = (
    'The key is too old and its record was dropped; it never runs again. '
    'Check with the service before using a new key.'
)
UNKNOWN_UNCHECKED = (
    'An earlier call with this key may have run, and that could not be '
    'checked now; ask again with the same key.'
)
UNKNOWN_NO_RECORD = (
    'No call with this key is on record; one may still be on its way.'
)
REFUSED_ELSEWHERE = (
    'The key is bound to another entry; send it there, it runs nowhere else.'
)
REFUSED_EXPIRED = (
    'The key is bound to this entry and too old; it never runs again. '
    'Check with the service before using a new key.'
)
REFUSED_REUSED = (
    'The key was used for another request; send a new key for a new action.'
)


@attrs.frozen
class ActionDone:
    """The action ran and the target answered.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : bytes
        The complete body, or empty when ``whole`` is false.
    replayed : bool
        Whether the target gave the answer to an earlier or another call.
    whole : bool
        False for a replay whose body was too long to be stored.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool
    whole: bool = True


@attrs.frozen
class ActionNotRun:
    """The call did not run and never will.

    Attributes
    ----------
    reason : str
        The cause and what the caller can do next.
    retry_after_ms : int
        Milliseconds after which to retry.
    key_checked : bool
        True when the ledger showed that no other call with this key ran
        either. False when that holds for this call alone: a caller that
        sent the key before must keep retrying with the same key.
    """

    reason: str
    retry_after_ms: int
    key_checked: bool = False


@attrs.frozen
class ActionUnknown:
    """The action may have run, may be running, or may not have run."""

    reason: str
    retry_after_ms: int


@attrs.frozen
class ActionRefused:
    """The call was rejected as invalid; it did not run."""

    reason: str


ActionResult = ActionDone | ActionNotRun | ActionUnknown | ActionRefused


def replay(outcome: records.Outcome) -> ActionDone:
    """Return the result of an outcome that another call produced."""
    return ActionDone(
        outcome.status,
        outcome.content_type,
        outcome.body,
        True,
        outcome.whole,
    )
