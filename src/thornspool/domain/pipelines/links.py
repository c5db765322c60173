"""Link times between failure domains, learnt from what engines time.

Engines time the way of their work to the next stage and say so now and then
in their streams. A link that is found slow is avoided, and one that is
avoided is not timed any more; so what was learnt fades towards the time that
the link is known or guessed to have, and the link is tried again.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.pipelines import routes

Link = tuple[str, str]

_SHARE = 0.2
_HALF_LIFE_MS = 15_000
_SAME_DOMAIN_MS = 0.1
_UNSEEN_MS = 0.5


@attrs.frozen
class _Learnt:
    """A learnt time and when it was learnt."""

    time: float
    at: int


class LinkTimes:
    """One-way times of links, in milliseconds.

    Parameters
    ----------
    known : dict of (str, str) to float, optional
        Times to start from, by pair of failure domains.
    """

    def __init__(self, known: dict[Link, float] | None = None) -> None:
        self._known: dict[Link, float] = dict(known or {})
        self._learnt: dict[Link, _Learnt] = {}

    def read(self, first: str, second: str, now: int) -> float:
        """Return the time of a link in milliseconds."""
        usual = self._read_usual(first, second)
        learnt = self._learnt.get((first, second))
        if learnt is None:
            return usual
        weight = 0.5 ** ((now - learnt.at) / _HALF_LIFE_MS)
        return float(weight * learnt.time + (1 - weight) * usual)

    def read_learnt_at(self, first: str, second: str) -> int | None:
        """Return when the time of a link was learnt last."""
        learnt = self._learnt.get((first, second))
        return None if learnt is None else learnt.at

    def note_hop(
        self, first: str, second: str, time_ms: float, now: int
    ) -> None:
        """Take in a time that was measured on a link."""
        before = self.read(first, second, now)
        if (first, second) not in self._learnt:
            before = time_ms
        time = before + _SHARE * (time_ms - before)
        self._learnt[first, second] = _Learnt(time, now)

    def note_stall(
        self, route: routes.Route, waited_ms: float, now: int
    ) -> None:
        """Take in that no token came along a route for so long.

        Any link of the route may be the reason, and none is timed while
        nothing arrives; so each is taken to need its part of the wait.
        """
        links = route.list_links()
        part = waited_ms / len(links)
        for first, second in links:
            time = max(part, self.read(first, second, now))
            self._learnt[first, second] = _Learnt(time, now)

    def _read_usual(self, first: str, second: str) -> float:
        if first == second:
            return _SAME_DOMAIN_MS
        known = self._known.get((first, second))
        if known is None:
            known = self._known.get((second, first), _UNSEEN_MS)
        return known
