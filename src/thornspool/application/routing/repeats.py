"""What this entry may send again, for each service."""

from __future__ import annotations

import typing

from thornspool.domain.retries import windows

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock as clock_module

SLACK_SHARE = 0.7
"""Part of the slack that is dealt out.

A process that is started again begins with an empty window; the rest covers
a third of the entries starting anew within one window.
"""


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
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        ratio: float,
        slack: float,
        window_ms: int,
        count_entries: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._count_entries = count_entries
        self._windows: dict[str, windows.RepeatWindow] = {}
        self.refused = 0

    def record_request(self, service: str) -> None:
        """Note the first send of a request."""
        self._find(service).record_request(self._clock.now())

    def take(self, service: str) -> bool:
        """Take one repeat; False when this entry's share is used up."""
        window = self._find(service)
        entries = max(1, self._count_entries())
        window.slack = self._slack * SLACK_SHARE / entries
        if window.take_repeat(self._clock.now()):
            return True
        self.refused += 1
        return False

    def _find(self, service: str) -> windows.RepeatWindow:
        window = self._windows.get(service)
        if window is None:
            window = windows.RepeatWindow(self._ratio, 0.0, self._window_ms)
            self._windows[service] = window
        return window
