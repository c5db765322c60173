"""Typed messages about retries."""

from __future__ import annotations

import enum

import attrs


class Fate(enum.Enum):
    """What is known of an attempt that failed."""

    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'


class Reason(enum.Enum):
    """Why a request is not tried again."""

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
        Whether it may have run.
    idempotent : bool
        Whether running it twice is harmless.
    attempts : int
        Attempts made so far, at least 1.
    deadline : int
        Monotonic milliseconds by which the caller wants the answer.
    estimated_ms : int
        Expected time of one attempt, in milliseconds.
    """

    fate: Fate
    idempotent: bool
    attempts: int
    deadline: int
    estimated_ms: int = 0


@attrs.frozen
class Retry:
    """Try again after a wait in milliseconds."""

    delay_ms: int


@attrs.frozen
class GiveUp:
    """Give the caller its final answer now."""

    reason: Reason


Decision = Retry | GiveUp
