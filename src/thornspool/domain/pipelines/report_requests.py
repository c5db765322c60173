"""Additional reports that an entry requests from engines, and their rate."""

from __future__ import annotations

import math
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Hashable
    from collections.abc import Sequence

_MAX_SUBJECTS = 4_096
_MS_PER_S = 1000


@attrs.frozen
class ReportRequest:
    """Reports that the engines of a route add to their response.

    Attributes
    ----------
    loads : bool
        Whether the loads of the route's stages are reported at the end.
    hops : bool
        Whether the transfer times between them are reported once.
    """

    loads: bool = False
    hops: bool = False


NO_REPORTS = ReportRequest()


@attrs.frozen
class ReportLimits:
    """Rate limits of an entry over all its requests.

    Attributes
    ----------
    loads_per_s, hops_per_s : float
        Responses a second that report loads, and that report link times.
    """

    loads_per_s: float = 0.25
    hops_per_s: float = 3.0


_FLEET_LOADS_PER_S = 87.5
_MAX_LOADS_PER_S = 2.0


def compute_limits(entries: int) -> ReportLimits:
    """Compute the rate limits of an entry from the number of entries.

    Admission counts the queues that were reported recently. In a small
    fleet each entry may request more reports, since the distribution of
    limits uses less of the budget for control messages there.
    """
    default = ReportLimits()
    loads_per_s = min(_MAX_LOADS_PER_S, _FLEET_LOADS_PER_S / max(1, entries))
    return attrs.evolve(
        default, loads_per_s=max(default.loads_per_s, loads_per_s)
    )


class ReportLimiter:
    """Limits how often one kind of report is requested.

    Parameters
    ----------
    max_age_ms : int
        Age from which a report is outdated and requested again, in
        milliseconds.
    """

    def __init__(self, max_age_ms: int) -> None:
        self._max_age_ms = max_age_ms
        self._next_allowed_at = -math.inf
        self._requested_at: dict[Hashable, int] = {}

    def should_request(
        self,
        reports: Sequence[tuple[Hashable, int | None]],
        per_s: float,
        now: int,
    ) -> bool:
        """Decide whether a response has to report on some subjects.

        Parameters
        ----------
        reports : sequence of (hashable, int or None)
            The subjects and the time of the last report on each.
        per_s : float
            Maximum number of requested reports a second.
        now : int
            Monotonic milliseconds.

        Returns
        -------
        bool
            True if the report is requested.
        """
        if now < self._next_allowed_at:
            return False
        if not any(self._is_due(*report, now) for report in reports):
            return False
        self._next_allowed_at = now + _MS_PER_S / per_s
        self._drop_outdated(now)
        for subject, _ in reports:
            self._requested_at[subject] = now
        return True

    def _is_due(
        self, subject: Hashable, reported_at: int | None, now: int
    ) -> bool:
        # A response takes many seconds and may be lost. Until it is overdue,
        # a second request for the same report would be wasted.
        times = (reported_at, self._requested_at.get(subject))
        latest = max(
            (time for time in times if time is not None), default=None
        )
        return latest is None or now - latest >= self._max_age_ms

    def _drop_outdated(self, now: int) -> None:
        if len(self._requested_at) <= _MAX_SUBJECTS:
            return
        self._requested_at = {
            subject: requested_at
            for subject, requested_at in self._requested_at.items()
            if now - requested_at < self._max_age_ms
        }
