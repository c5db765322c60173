"""Event queue of one request, with a timeout that each token moves."""

from __future__ import annotations

import asyncio
import collections
import typing

from thornspool.domain.pipelines import messages

if typing.TYPE_CHECKING:
    from thornspool import clock as clock_module

_MS_PER_S = 1000


class EventQueue:
    """Events of one request, in order of arrival.

    Each token moves the timeout of the next one. Setting and cancelling a
    timer for each token costs noticeable processor time on the entry. So one
    timer is left to expire and is then set again for the remaining time.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._events: collections.deque[messages.Event] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self._wake_at = 0

    def put(self, event: messages.Event) -> None:
        """Add an event."""
        self._events.append(event)
        self._wake()

    async def get(self, wake_at: int) -> messages.Event:
        """Wait for the next event, until a timeout.

        Parameters
        ----------
        wake_at : int
            Time of the timeout, in monotonic milliseconds.

        Returns
        -------
        messages.Event
            ``TimerExpired`` after a timeout. Consecutive queued frames are
            merged, so that their tokens are sent to the caller in one
            write: one system call for each token was most of the cost of
            an entry with a backlog.
        """
        if not self._events:
            await self._wait(wake_at)
        if not self._events:
            return messages.TimerExpired()
        event = self._events.popleft()
        if self._events and isinstance(event, messages.FramesReceived):
            return self._merge_frames(event)
        return event

    def close(self) -> None:
        """Cancel the timer, which would keep the request in memory."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _merge_frames(
        self, event: messages.FramesReceived
    ) -> messages.FramesReceived:
        frames = list(event.frames)
        while self._events:
            following = self._events[0]
            if (
                not isinstance(following, messages.FramesReceived)
                or following.attempt != event.attempt
            ):
                break
            frames.extend(following.frames)
            self._events.popleft()
        return messages.FramesReceived(event.attempt, frames)

    async def _wait(self, wake_at: int) -> None:
        """Wait until an event arrives or the timeout is reached."""
        loop = asyncio.get_running_loop()
        self._wake_at = wake_at
        if self._timer is None or wake_at < self._timer_at:
            self.close()
            self._set_timer(loop)
        self._waiter = loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        wait_ms = max(0, self._wake_at - self._clock.now())
        self._timer_at = self._wake_at
        self._timer = loop.call_later(
            wait_ms / _MS_PER_S, self._handle_timer, loop
        )

    def _handle_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wake the waiter, or reset the timer if the timeout has moved."""
        self._timer = None
        if self._waiter is None:
            return
        if self._clock.now() < self._wake_at:
            self._set_timer(loop)
        else:
            self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
