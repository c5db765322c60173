"""Expected time of a token in a stage, from reports and local requests.

A report is some hundred milliseconds old, and every entry reads the same
one. An entry has an exact count of the requests that it has sent itself since
then. That count is added, and the report loses weight as it ages.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.targets import messages


_REPORT_HALF_LIFE_MS = 2_000
_DEFAULT_STEP_MS = 20.0
_MAX_TARGETS = 4_096


@attrs.define
class _RequestCount:
    """Local requests on one target, now and at the last report."""

    now: int = 0
    at_report: int = 0
    reported_at: int = -1


class LocalRequests:
    """Number of in-flight requests of this entry, by target."""

    def __init__(self) -> None:
        self._counts: dict[str, _RequestCount] = {}

    def add(self, target: str, change: int) -> None:
        """Change the number of in-flight requests on a target."""
        local = self._counts.setdefault(target, _RequestCount())
        local.now += change
        if local.now == 0 and len(self._counts) > _MAX_TARGETS:
            del self._counts[target]

    def read(self, target: str) -> int:
        """Return the number of in-flight requests on a target."""
        local = self._counts.get(target)
        return 0 if local is None else local.now

    def count_since(self, report: messages.LoadReport) -> int:
        """Return the change in their number since a report arrived."""
        local = self._counts.setdefault(report.target, _RequestCount())
        if local.reported_at != report.received_at:
            local.reported_at = report.received_at
            local.at_report = local.now
        return local.now - local.at_report


def compute_report_weight(
    report: messages.LoadReport | None, now: int
) -> float:
    """Return the weight of a report by its age, 0 to 1."""
    if report is None:
        return 0.0
    return float(0.5 ** ((now - report.received_at) / _REPORT_HALF_LIFE_MS))


def estimate_time(
    report: messages.LoadReport | None,
    local: LocalRequests,
    target: str,
    now: int,
) -> float:
    """Estimate the time of one token in a stage, including the queue.

    Parameters
    ----------
    report : messages.LoadReport or None
        Last load report.
    local : LocalRequests
        In-flight requests of this entry.
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
        return _DEFAULT_STEP_MS * (1 + local.read(target) / 16)
    weight = compute_report_weight(report, now)
    reported = report.running + report.waiting + local.count_since(report)
    request_count = max(
        0.0, weight * reported + (1 - weight) * local.read(target)
    )
    batches = 1 + request_count / max(1, report.max_batch)
    return float(report.step_ms * batches)
