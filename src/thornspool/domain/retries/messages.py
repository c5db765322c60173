"""Failed attempts and the decisions on their retries."""

from __future__ import annotations

import enum

import attrs


class Fate(enum.Enum):
    """Whether a failed attempt may have been executed."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'


class AbandonReason(enum.Enum):
    """Reason why a request is not retried."""

    MAY_HAVE_RUN = 'may have run'
    ATTEMPTS = 'attempts'
    BUDGET = 'budget'
    DEADLINE = 'deadline'


@attrs.frozen
class Failure:
    """An attempt that failed.

    Attributes
    ----------
    fate : Fate
        Whether it may have been executed.
    idempotent : bool
        Whether the request can be executed twice without harm.
    attempts : int
        Number of attempts, at least 1.
    deadline : int
        Monotonic milliseconds by which the caller needs the answer.
    estimated_ms : int
        Expected duration of one attempt, in milliseconds.
    """

    fate: Fate
    idempotent: bool
    attempts: int
    deadline: int
    estimated_ms: int = 0


@attrs.frozen
class Retry:
    """Retry the request after a delay in milliseconds."""

    delay_ms: int


@attrs.frozen
class Abandon:
    """Return the final answer to the caller without a retry."""

    reason: AbandonReason


Decision = Retry | Abandon
