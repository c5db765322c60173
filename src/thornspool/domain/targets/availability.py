"""Whether a target may be given new work."""

from __future__ import annotations

import attrs

from thornspool.domain.targets import messages

Readiness = messages.Readiness

FIRST_BACKOFF_MS = 500
MAX_BACKOFF_MS = 4000
RECHECK_MS = 4000
LOST_POLLS = 2


@attrs.frozen
class Availability:
    """What is known of one target.

    Attributes
    ----------
    is_leaving : bool
        Whether its own last word was that it leaves.
    failures : int
        Failures since it last answered.
    is_failed : bool
        Whether the failures keep it from new work.
    check_at : int
        Monotonic milliseconds from which it may be asked again whether it
        takes work; of no use while it does.
    """

    is_leaving: bool = False
    failures: int = 0
    is_failed: bool = False
    check_at: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether neither its own word nor failures speak against it."""
        return not self.is_leaving and not self.is_failed


def hear_word(
    known: Availability, readiness: Readiness, now: int
) -> Availability:
    """Take in what the target said itself, in an answer or to a poll.

    A leaving target is one that answers, so its failures are forgotten in
    either case.
    """
    if readiness is Readiness.UNREACHABLE:
        return known
    if readiness is Readiness.READY:
        return Availability()
    return Availability(is_leaving=True, check_at=now + RECHECK_MS)


def hear_news(
    known: Availability, readiness: Readiness, now: int
) -> Availability:
    """Take in what another entry heard the target say.

    The count of failures stays: when the target cannot be reached from
    here, though the other entry can, the next failure is followed by a
    longer wait instead of the shortest.
    """
    if readiness is not Readiness.READY:
        return hear_word(known, readiness, now)
    return attrs.evolve(known, is_leaving=False, is_failed=False)


def note_failure(
    known: Availability, now: int, jitter: float, is_certain: bool = True
) -> Availability:
    """Take in that a call of the target failed.

    Parameters
    ----------
    known : Availability
        What is known.
    now : int
        Monotonic milliseconds.
    jitter : float
        Random number from 0 to 1 that spreads the checks of entries which
        noticed the same failure at the same time.
    is_certain : bool, optional
        False for a poll without an answer, which may be lost by chance or
        late under load; two of them in a row count.

    Returns
    -------
    Availability
        With the time of the next check after exponential backoff.
    """
    failures = known.failures + 1
    backoff = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(failures - 1, 8))
    return attrs.evolve(
        known,
        failures=failures,
        is_failed=known.is_failed or is_certain or failures >= LOST_POLLS,
        check_at=now + int(backoff * (0.5 + jitter / 2)),
    )


def decide(
    known: Availability, is_configured_leaving: bool, is_host_leaving: bool
) -> Readiness:
    """Decide whether a target may be given new work.

    The operator, the platform's list and the target itself may each know
    first that it leaves, and any of them is enough.
    """
    if is_configured_leaving or is_host_leaving or known.is_leaving:
        return Readiness.LEAVING
    if known.is_failed:
        return Readiness.UNREACHABLE
    return Readiness.READY


def postpone(known: Availability, now: int) -> Availability:
    """Put the next check off while one is on its way."""
    return attrs.evolve(known, check_at=now + RECHECK_MS)
