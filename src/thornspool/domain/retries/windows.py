"""A share of repeated sends over a sliding window, one for each service.

All entries together may send a service a bounded number of requests again.
Without a bound, a service that fails under load is hit hardest just then;
one notices by arrivals that grow while answers fall. Each entry keeps to
its own share, so that the sum holds without a word between entries.
"""

from __future__ import annotations

import collections

import attrs


@attrs.define
class RepeatWindow:
    """Requests and repeats of one service in the last window.

    Attributes
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed besides, this entry's share.
    window_ms : int
        Length of the window in milliseconds.
    """

    ratio: float
    slack: float
    window_ms: int
    _requests: collections.deque[int] = attrs.field(
        factory=collections.deque, init=False
    )
    _repeats: collections.deque[int] = attrs.field(
        factory=collections.deque, init=False
    )

    def record_request(self, now: int) -> None:
        """Note the first send of a request."""
        self._requests.append(now)
        self._forget(now)

    def has_room(self, now: int, part: float = 1.0) -> bool:
        """Tell whether one more repeat fits.

        Parameters
        ----------
        now : int
            Milliseconds of the clock.
        part : float, optional
            Part of the share that the asker may fill.
        """
        self._forget(now)
        allowed = self.slack + self.ratio * len(self._requests)
        return len(self._repeats) + 1 <= allowed * part

    def take_repeat(self, now: int, part: float = 1.0) -> bool:
        """Take one repeat; False when the share is used up."""
        if not self.has_room(now, part):
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: int) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self.window_ms:
                times.popleft()
