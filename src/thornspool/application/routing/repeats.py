"""What may be sent again, for each service, with what others have used."""

from __future__ import annotations

import typing

from thornspool.domain.fleet import marks
from thornspool.domain.retries import pools

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module

SLACK_SHARE = 0.7
"""Part of the slack that is dealt out.

A process that is started again begins with an empty window; the rest covers
a third of the entries starting anew within one window.
"""

COMMON_PART = 0.6
"""Part of the share that requests without a part of their answer may fill.

A request that was refused can be told so and come back; a caller who has
half a stream loses it when it may not be repeated.
"""

_MS_PER_S = 1000.0


class Repeats:
    """Repeats of all services.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed besides, over all entries.
    window_ms : int
        Window of the two, in milliseconds.
    count_entries : callable
        Returns how many entries share the slack.
    seed : int, optional
        Differs between entries.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        ratio: float,
        slack: float,
        window_ms: int,
        count_entries: Callable[[], int],
        seed: int = 0,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._count_entries = count_entries
        self._seed = seed
        self._pools: dict[str, pools.RepeatPool] = {}
        self.refused = 0

    def record_request(self, service: str) -> None:
        """Note the first send of a request."""
        self._find(service).record_request(self._clock.now())

    def take(self, service: str, urgent: bool = False) -> bool:
        """Take one repeat; False when this entry's share is used up.

        Parameters
        ----------
        service : str
            The service that gets the repeat.
        urgent : bool, optional
            Whether the caller has a part of the answer already.
        """
        part = _choose_part(urgent)
        if self._find(service).take_repeat(self._clock.now(), part):
            return True
        self.refused += 1
        return False

    def has_room(self, service: str, urgent: bool) -> bool:
        """Tell whether a repeat may be taken now."""
        part = _choose_part(urgent)
        return self._find(service).has_room(self._clock.now(), part)

    def estimate_rate(self, service: str) -> float:
        """Estimate the requests a second of all entries for a service."""
        requests = self._find(service).count_requests(self._clock.now())
        return requests * _MS_PER_S / self._window_ms

    def list_marked(self) -> dict[int, float]:
        """List this entry's requests and repeats, by mark, to be told."""
        now = self._clock.now()
        listed = {}
        for service, pool in self._pools.items():
            work = pool.count(now)
            listed[_mark_requests(service)] = work.requests
            listed[_mark_repeats(service)] = work.repeats
        return listed

    def take_others(self, told: dict[int, float]) -> None:
        """Take the sums of all other entries, by mark."""
        now = self._clock.now()
        for service, pool in self._pools.items():
            work = pools.Work(
                told.get(_mark_requests(service), 0.0),
                told.get(_mark_repeats(service), 0.0),
            )
            pool.take_others(work, now)

    def _find(self, service: str) -> pools.RepeatPool:
        pool = self._pools.get(service)
        if pool is None:
            pool = pools.RepeatPool(
                self._ratio,
                self._slack * SLACK_SHARE,
                self._window_ms,
                seed=self._seed,
            )
            self._pools[service] = pool
        pool.entries = max(1, self._count_entries())
        return pool


def _choose_part(urgent: bool) -> float:
    return 1.0 if urgent else COMMON_PART


def _mark_requests(service: str) -> int:
    return marks.compute_mark(f'requests of {service}')


def _mark_repeats(service: str) -> int:
    return marks.compute_mark(f'repeats of {service}')
