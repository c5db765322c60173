"""Link times between failure domains, learned from engine measurements.

Engines measure the transfer time to the next stage and report it now and then
in their streams. A slow link is avoided, and a link that is avoided is not
measured any more. So a learned time decays towards the configured or default
time of the link, until the link is used again.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.pipelines import routes

Link = tuple[str, str]

_SMOOTHING_FACTOR = 0.2
_HALF_LIFE_MS = 15_000
_SAME_DOMAIN_LINK_MS = 0.1
_UNKNOWN_LINK_MS = 0.5


@attrs.frozen
class _LearnedTime:
    """A learned time and when it was last updated."""

    time: float
    updated_at: int


class LinkTimes:
    """One-way times of links, in milliseconds.

    Parameters
    ----------
    configured : dict of (str, str) to float, optional
        Initial times, by pair of failure domains.
    """

    def __init__(self, configured: dict[Link, float] | None = None) -> None:
        self._configured: dict[Link, float] = dict(configured or {})
        self._learned_times: dict[Link, _LearnedTime] = {}

    def read(self, first: str, second: str, now: int) -> float:
        """Return the time of a link in milliseconds."""
        baseline = self._read_baseline(first, second)
        learned = self._learned_times.get((first, second))
        if learned is None:
            return baseline
        weight = 0.5 ** ((now - learned.updated_at) / _HALF_LIFE_MS)
        return float(weight * learned.time + (1 - weight) * baseline)

    def read_updated_at(self, first: str, second: str) -> int | None:
        """Return when the time of a link was last updated."""
        learned = self._learned_times.get((first, second))
        return None if learned is None else learned.updated_at

    def record_hop(
        self, first: str, second: str, time_ms: float, now: int
    ) -> None:
        """Update the time of a link with a measurement."""
        previous = self.read(first, second, now)
        if (first, second) not in self._learned_times:
            previous = time_ms
        time = previous + _SMOOTHING_FACTOR * (time_ms - previous)
        self._learned_times[first, second] = _LearnedTime(time, now)

    def record_stall(
        self, route: routes.Route, waited_ms: float, now: int
    ) -> None:
        """Record a stall: no token arrived on a route for some time.

        Any link of the route may be the cause, and none is measured while
        nothing arrives. So each link is assigned at least an equal share of
        the time.
        """
        links = route.list_links()
        share = waited_ms / len(links)
        for first, second in links:
            time = max(share, self.read(first, second, now))
            self._learned_times[first, second] = _LearnedTime(time, now)

    def _read_baseline(self, first: str, second: str) -> float:
        if first == second:
            return _SAME_DOMAIN_LINK_MS
        configured = self._configured.get((first, second))
        if configured is None:
            configured = self._configured.get(
                (second, first), _UNKNOWN_LINK_MS
            )
        return configured
