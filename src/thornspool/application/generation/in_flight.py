"""In-flight attempts by target, to attribute the crash of a target."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Callable


def ignore_crash(target: str, fingerprints: tuple[str, ...]) -> None:
    """Do nothing."""


@attrs.frozen
class InFlightAttempt:
    """One in-flight attempt.

    Attributes
    ----------
    number : int
        Sequence number of the attempt on this entry.
    fingerprint : str
        Fingerprint of the request's content.
    targets : tuple of str
        Targets that run it.
    """

    number: int
    fingerprint: str
    targets: tuple[str, ...]


class InFlightAttempts:
    """In-flight attempts by target.

    Parameters
    ----------
    record_crash : callable
        Called with a crashed target and the fingerprints in flight on it.
    """

    def __init__(
        self, record_crash: Callable[[str, tuple[str, ...]], None]
    ) -> None:
        self._report_crash = record_crash
        self._by_target: dict[str, dict[int, InFlightAttempt]] = {}
        self._last_number_at_crash: dict[str, int] = {}
        self._number = 0

    def start(
        self, fingerprint: str, targets: tuple[str, ...]
    ) -> InFlightAttempt:
        """Register an attempt that is about to be sent."""
        self._number += 1
        attempt = InFlightAttempt(self._number, fingerprint, targets)
        for target in targets:
            self._by_target.setdefault(target, {})[attempt.number] = attempt
        return attempt

    def end(self, attempt: InFlightAttempt) -> None:
        """Deregister an attempt that has ended."""
        for target in attempt.targets:
            on_target = self._by_target.get(target, {})
            on_target.pop(attempt.number, None)
            if not on_target:
                self._by_target.pop(target, None)

    def report_crash(self, target: str, attempt: InFlightAttempt) -> None:
        """Report that a target crashed during an attempt, once a crash.

        All attempts on a target fail when it crashes. If each were reported,
        one crash would count as many and quarantine requests that only
        shared the target. So a crash is reported only for attempts that were
        sent after the last one.
        """
        if attempt.number <= self._last_number_at_crash.get(target, 0):
            return
        self._last_number_at_crash[target] = self._number
        on_target = self._by_target.get(target, {}).values()
        fingerprints = {other.fingerprint for other in on_target}
        fingerprints.add(attempt.fingerprint)
        self._report_crash(target, tuple(sorted(fingerprints)))
