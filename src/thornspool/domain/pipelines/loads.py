"""Expected time of a token in a stage, from old reports and own requests.

A report is some hundred milliseconds old, and every entry reads the same
one. An entry knows exactly what it has itself sent since, so that part is
added, and the report loses weight as it ages.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.targets import messages


_HALF_LIFE_MS = 2_000
_UNREPORTED_STEP_MS = 20.0
_REMEMBERED = 4_096


@attrs.define
class _Own:
    """Own requests on one target now, and at the last report."""

    now: int = 0
    at_report: int = 0
    reported_at: int = -1


class OwnRequests:
    """Requests in flight of the entry itself, by target."""

    def __init__(self) -> None:
        self._own: dict[str, _Own] = {}

    def add(self, target: str, change: int) -> None:
        """Add to the requests in flight on a target, or take off."""
        own = self._own.setdefault(target, _Own())
        own.now += change
        if own.now == 0 and len(self._own) > _REMEMBERED:
            del self._own[target]

    def read(self, target: str) -> int:
        """Return the own requests in flight on a target."""
        own = self._own.get(target)
        return 0 if own is None else own.now

    def read_since(self, report: messages.LoadReport) -> int:
        """Return how many more there are than when a report came."""
        own = self._own.setdefault(report.target, _Own())
        if own.reported_at != report.received_at:
            own.reported_at = report.received_at
            own.at_report = own.now
        return own.now - own.at_report


def compute_trust(report: messages.LoadReport | None, now: int) -> float:
    """Return how far a report still holds, 0 to 1."""
    if report is None:
        return 0.0
    return float(0.5 ** ((now - report.received_at) / _HALF_LIFE_MS))


def estimate_time(
    report: messages.LoadReport | None, own: OwnRequests, target: str, now: int
) -> float:
    """Estimate the time of one token in a stage, queue included.

    Parameters
    ----------
    report : messages.LoadReport or None
        Last load report.
    own : OwnRequests
        Own requests in flight.
    target : str
        Name of the target.
    now : int
        Monotonic milliseconds.

    Returns
    -------
    float
        Milliseconds.
    """
    if report is None:
        return _UNREPORTED_STEP_MS * (1 + own.read(target) / 16)
    weight = compute_trust(report, now)
    reported = report.running + report.waiting + own.read_since(report)
    present = max(0.0, weight * reported + (1 - weight) * own.read(target))
    batches = 1 + present / max(1, report.max_batch)
    return float(report.step_ms * batches)
