"""Link times between failure domains, learnt from the pace of tokens.

Engines do not report links. What an entry sees is the time between two
tokens, which is the step times of the route's stages plus its links. Each
sighting moves the links of the route a part of the way to explaining it
(normalised least mean squares; Widrow and Hoff, 1960).
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from thornspool.domain.pipelines import routes

Link = tuple[str, str]

_RATE = 0.3
_SAME_DOMAIN_MS = 0.1
_UNSEEN_MS = 0.5


class LinkTimes:
    """One-way times of links, in milliseconds.

    Parameters
    ----------
    known : dict of (str, str) to float, optional
        Times to start from, by pair of failure domains.
    """

    def __init__(self, known: dict[Link, float] | None = None) -> None:
        self._times: dict[Link, float] = dict(known or {})

    def read(self, first: str, second: str) -> float:
        """Return the time of a link; a guess before it was ever seen."""
        known = self._times.get((first, second))
        if known is not None:
            return known
        return _SAME_DOMAIN_MS if first == second else _UNSEEN_MS

    def observe(
        self, route: routes.Route, interval_ms: float, steps_ms: float
    ) -> None:
        """Take in the time between two tokens of a route.

        Parameters
        ----------
        route : routes.Route
            Route of the tokens.
        interval_ms : float
            Time between them.
        steps_ms : float
            Part of it that the stages are expected to need.
        """
        links = route.list_links()
        times = [self.read(*link) for link in links]
        error = interval_ms - steps_ms - sum(times)
        # A share by the square of the time: a slow link explains a change
        # better than a fast one, so that one bad link does not spoil the
        # figures of the good ones that it was seen with.
        weights = [time * time + 1e-6 for time in times]
        total = sum(weights)
        for link, time, weight in zip(links, times, weights, strict=True):
            moved = time + _RATE * error * weight / total
            self._times[link] = max(0.0, moved)

    def observe_stall(self, route: routes.Route, waited_ms: float) -> None:
        """Take in that no token came for so long; it only raises times."""
        expected = sum(self.read(*link) for link in route.list_links())
        if waited_ms > expected:
            self.observe(route, waited_ms, 0.0)
