"""Whether a failed attempt is tried again, and when."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.retries import backoff
from thornspool.domain.retries import messages

if typing.TYPE_CHECKING:
    from thornspool.domain.retries import budget as budgets


@attrs.frozen
class RetryPolicy:
    """Bounds of the retries of one request.

    Attributes
    ----------
    max_attempts : int
        Attempts in all, the first included.
    base_ms, cap_ms : int
        Bounds of the waits, in milliseconds.
    """

    max_attempts: int = 4
    base_ms: int = 25
    cap_ms: int = 1000


DEFAULT_POLICY = RetryPolicy()


def decide(
    failure: messages.Failure,
    budget: budgets.RetryBudget,
    now: int,
    fraction: float,
    policy: RetryPolicy = DEFAULT_POLICY,
) -> messages.Decision:
    """Decide on a failed attempt.

    Parameters
    ----------
    failure : Failure
        What failed.
    budget : RetryBudget
        Budget of the target group; charged only when the answer is to try
        again.
    now : int
        Monotonic milliseconds.
    fraction : float
        A random number from 0 to 1, drawn by the caller.
    policy : RetryPolicy, optional
        Bounds.

    Returns
    -------
    Retry or GiveUp
        What to do.
    """
    # A second run of a hold or a payout is the failure that callers pay
    # for; it shows as a doubled booking, so no budget can buy it.
    if failure.fate is messages.Fate.MAY_HAVE_RUN and not failure.idempotent:
        return messages.GiveUp(messages.Reason.MAY_HAVE_RUN)
    if failure.attempts >= policy.max_attempts:
        return messages.GiveUp(messages.Reason.ATTEMPTS)
    delay = backoff.compute_delay(
        failure.attempts - 1, policy.base_ms, policy.cap_ms, fraction
    )
    if now + delay + failure.estimated_ms >= failure.deadline:
        return messages.GiveUp(messages.Reason.DEADLINE)
    if not budget.spend(now):
        return messages.GiveUp(messages.Reason.BUDGET)
    return messages.Retry(delay)
