"""Availability of a target for new requests."""

from __future__ import annotations

import attrs

from thornspool.domain.targets import messages

Readiness = messages.Readiness

FIRST_BACKOFF_MS = 500
MAX_BACKOFF_MS = 4000
RECHECK_MS = 4000
FAILURES_TO_FAIL = 2


@attrs.frozen
class Availability:
    """Observed state of one target.

    Attributes
    ----------
    is_leaving : bool
        Whether the target last reported that it is leaving.
    failures : int
        Failures since its last answer.
    is_failed : bool
        Whether it gets no new requests because of the failures.
    probe_at : int
        Monotonic milliseconds from which an unavailable target may be
        probed again; ignored while the target is available.
    """

    is_leaving: bool = False
    failures: int = 0
    is_failed: bool = False
    probe_at: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether the target is neither leaving nor failed."""
        return not self.is_leaving and not self.is_failed


def apply_own_readiness(
    current: Availability, readiness: Readiness, now: int
) -> Availability:
    """Apply the readiness from an answer or a poll of the target.

    A target that reports that it is leaving did answer, so its failures are
    reset in either case.
    """
    if readiness is Readiness.UNREACHABLE:
        return current
    if readiness is Readiness.READY:
        return Availability()
    return Availability(is_leaving=True, probe_at=now + RECHECK_MS)


def apply_reported_readiness(
    current: Availability, readiness: Readiness, now: int
) -> Availability:
    """Apply the readiness of a target that another entry reported.

    The failure count is kept: if only the other entry can reach the
    target, the next local failure continues the backoff instead of
    starting again with the shortest delay.
    """
    if readiness is not Readiness.READY:
        return apply_own_readiness(current, readiness, now)
    return attrs.evolve(current, is_leaving=False, is_failed=False)


def record_failure(
    current: Availability, now: int, jitter: float, is_conclusive: bool = True
) -> Availability:
    """Record a failed call to the target.

    Parameters
    ----------
    current : Availability
        State before the failure.
    now : int
        Monotonic milliseconds.
    jitter : float
        Random number from 0 to 1. It spreads the checks of entries that
        detected the same failure at the same time.
    is_conclusive : bool, optional
        False for a poll without an answer, which may have been lost or
        delayed by load; the target fails after `FAILURES_TO_FAIL` failures in
        a row.

    Returns
    -------
    Availability
        State with the time of the next check, after exponential backoff.
    """
    failures = current.failures + 1
    backoff = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** min(failures - 1, 8))
    return attrs.evolve(
        current,
        failures=failures,
        is_failed=current.is_failed
        or is_conclusive
        or failures >= FAILURES_TO_FAIL,
        probe_at=now + int(backoff * (0.5 + jitter / 2)),
    )


def derive_readiness(
    current: Availability, is_configured_leaving: bool, is_host_leaving: bool
) -> Readiness:
    """Return whether a target may receive new requests.

    The configuration, the platform's host list or the target itself may be
    the first to state that it is leaving; any of them is sufficient.
    """
    if is_configured_leaving or is_host_leaving or current.is_leaving:
        return Readiness.LEAVING
    if current.is_failed:
        return Readiness.UNREACHABLE
    return Readiness.READY


def postpone_check(current: Availability, now: int) -> Availability:
    """Postpone the next check while one is in progress."""
    return attrs.evolve(current, probe_at=now + RECHECK_MS)
