"""Decides whether and when a failed attempt is retried."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.retries import backoff
from thornspool.domain.retries import messages

if typing.TYPE_CHECKING:
    from thornspool.domain.retries import budget as budgets


@attrs.frozen
class RetryPolicy:
    """Limits on the retries of one request.

    Attributes
    ----------
    max_attempts : int
        Maximum number of attempts, including the first.
    base_ms, cap_ms : int
        Bounds of the first and of every delay, in milliseconds.
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
    """Decide whether to retry a failed attempt.

    Parameters
    ----------
    failure : Failure
        The failed attempt.
    budget : RetryBudget
        Budget of the target group; charged only for a retry.
    now : int
        Monotonic milliseconds.
    fraction : float
        A random number from 0 to 1, drawn by the caller.
    policy : RetryPolicy, optional
        Limits of attempts and delays.

    Returns
    -------
    Retry or Abandon
        The decision.
    """
    # A second run of a hold or a payout causes a duplicate booking at the
    # caller's cost. Such an attempt is never retried, whatever the budget.
    if failure.fate is messages.Fate.MAY_HAVE_RUN and not failure.idempotent:
        return messages.Abandon(messages.AbandonReason.MAY_HAVE_RUN)
    if failure.attempts >= policy.max_attempts:
        return messages.Abandon(messages.AbandonReason.ATTEMPTS)
    delay = backoff.compute_delay(
        failure.attempts - 1, policy.base_ms, policy.cap_ms, fraction
    )
    if now + delay + failure.estimated_ms >= failure.deadline:
        return messages.Abandon(messages.AbandonReason.DEADLINE)
    if not budget.spend(now):
        return messages.Abandon(messages.AbandonReason.BUDGET)
    return messages.Retry(delay)
