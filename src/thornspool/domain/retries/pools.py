"""Repeated sends that all entries share, over a sliding window.

All entries together may send a service a bounded number of requests again.
Without a bound, a service that fails under load is hit hardest just then;
one notices by arrivals that grow while answers fall.

Failures come to few entries at a time, so equal parts for the whole window
waste most of it. So entries
tell each other how many requests and repeats they have had, and each may
take an equal part of what is left, within the time that such news take. Were
all entries to take theirs at once, the bound would still hold.
"""

from __future__ import annotations

import collections
import math

import attrs
import xxhash

SETTLE_MS = 1_200
"""Time in which news reach every entry: three turns of 400 ms, over the
collectors of two failure domains."""

TOLD_MS = 3_000
"""Age past which what others told counts no longer; equal parts of the whole
window hold without a word between entries."""


REMEMBER_MS = 5_000
"""Time for which the most that others told of counts.

An entry that is killed takes its own count with it, and its repeats still
stand in the service's window: where half of the entries restarted at once,
the others took their repeats for unused.
"""


_DRAWS = 2.0**32

SAMPLE_MS = 250
"""Interval at which the requests of the window are remembered."""


@attrs.frozen
class Work:
    """Requests and repeats of one service in the last window."""

    requests: float
    repeats: float


@attrs.define
class RepeatPool:
    """Requests and repeats of one service.

    Attributes
    ----------
    ratio : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed besides, over all entries.
    window_ms : int
        Length of the window in milliseconds.
    entries : int
        Entries that share it.
    seed : int
        Differs between entries; decides whose turn it is when less than one
        repeat is left for each.
    """

    ratio: float
    slack: float
    window_ms: int
    entries: int = 1
    seed: int = 0
    _others: Work | None = attrs.field(default=None, init=False)
    _others_at: int = attrs.field(default=0, init=False)
    _told: collections.deque[tuple[int, float]] = attrs.field(
        factory=collections.deque, init=False
    )
    _seen: collections.deque[tuple[int, float]] = attrs.field(
        factory=collections.deque, init=False
    )
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

    def take_others(self, work: Work, now: int) -> None:
        """Take what all other entries have had."""
        self._told.append((now, work.repeats))
        while self._told[0][0] <= now - REMEMBER_MS:
            self._told.popleft()
        most = max(repeats for _, repeats in self._told)
        self._others = Work(work.requests, most)
        self._others_at = now
        if not self._seen or now - self._seen[-1][0] >= SAMPLE_MS:
            total = self.count(now).requests + work.requests
            self._seen.append((now, total))
        while self._seen[0][0] < now - self.window_ms - 2 * SAMPLE_MS:
            self._seen.popleft()

    def count(self, now: int) -> Work:
        """Count what this entry has had."""
        self._forget(now)
        return Work(len(self._requests), len(self._repeats))

    def count_requests(self, now: int) -> float:
        """Count the requests of all entries, as far as this one knows."""
        own = self.count(now).requests
        others = self._others
        if others is None or now - self._others_at > TOLD_MS:
            return own * self.entries
        return own + others.requests

    def has_room(self, now: int, part: float = 1.0) -> bool:
        """Tell whether one more repeat fits.

        Parameters
        ----------
        now : int
            Milliseconds of the clock.
        part : float, optional
            Part of what is allowed that the asker may fill.
        """
        self._forget(now)
        others = self._others
        if others is None or now - self._others_at > TOLD_MS:
            return self._fits_alone(part)
        recent = sum(1 for at in self._repeats if at > now - SETTLE_MS)
        requests = self._count_most(len(self._requests) + others.requests, now)
        allowed = part * (self.slack + self.ratio * requests)
        settled = len(self._repeats) - recent + others.repeats
        share = (allowed - settled) / self.entries
        return recent + 1 <= math.floor(share) + self._has_turn(share, now)

    def _has_turn(self, share: float, now: int) -> bool:
        """Tell whether this entry may take one more than its whole share.

        Rounded down everywhere, a large fleet would leave up to one repeat
        of each entry unused.
        """
        turn = now // SETTLE_MS
        drawn = xxhash.xxh32_intdigest(f'{self.seed} {turn}'.encode()) / _DRAWS
        return drawn < share - math.floor(share)

    def _count_most(self, requests: float, now: int) -> float:
        """Return the requests by which the repeats of a window are bounded.

        Those of this window, of the one before it, or of the one half a
        window before it, whichever are most. Just after an outage few have
        come, and callers whose engines were lost meanwhile would be refused
        for want of repeats.
        """
        before = [
            total
            for at, total in self._seen
            if any(
                abs(now - ago - at) <= SAMPLE_MS
                for ago in (self.window_ms // 2, self.window_ms)
            )
        ]
        return max([requests, *before])

    def take_repeat(self, now: int, part: float = 1.0) -> bool:
        """Take one repeat; False when the share is used up."""
        if not self.has_room(now, part):
            return False
        self._repeats.append(now)
        return True

    def _fits_alone(self, part: float) -> bool:
        """Tell whether a repeat fits into an equal part of the window."""
        slack = self.slack / self.entries
        allowed = part * (slack + self.ratio * len(self._requests))
        return len(self._repeats) + 1 <= allowed

    def _forget(self, now: int) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self.window_ms:
                times.popleft()
