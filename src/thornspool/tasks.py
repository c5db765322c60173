"""Background tasks of a process, whose errors are logged and counted."""

from __future__ import annotations

import asyncio
import collections
import typing

import structlog

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

    from thornspool import clock as clock_module

MIN_RESTART_MS = 100
"""Delay before a supervised task is restarted after its first failure.

It doubles with each further failure, so that a task that fails at once does
not keep the event loop busy.
"""

MAX_RESTART_MS = 800
"""Longest delay before a restart.

A configuration must be in force within 2 s, also after a failure of the task
that reads it.
"""

STABLE_MS = 10_000
"""Duration of a run after which the delay of restarts begins anew."""

_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)


class BackgroundTasks:
    """Starts tasks, and keeps those running that have to run until the end.

    Parameters
    ----------
    clock : clock_module.Clock
        Source of time.

    Attributes
    ----------
    failures : collections.Counter of str
        Errors of the tasks, by the name of the function that was run.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self.failures: collections.Counter[str] = collections.Counter()

    def start(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a coroutine once; its error is logged and counted."""
        self._create(self._run_once(work))

    def run_periodically(
        self, interval_ms: int, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Call a function again and again, also after errors.

        Parameters
        ----------
        interval_ms : int
            Milliseconds from the end of a call to the next one.
        work : callable
            The function.
        """
        self._create(self._repeat(interval_ms, work))

    def run_each(self, *work: Callable[[], None]) -> None:
        """Call functions one after the other, also after errors."""
        for one in work:
            try:
                one()
            except Exception:
                self._record_failure(_get_name(one))

    def supervise(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run a function that must not end, and restart it when it does.

        Parameters
        ----------
        work : callable
            The function. It continues where its earlier run has ended.
        """
        self._create(self._keep_running(work))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()

    def _create(self, work: Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_once(
        self, work: Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        try:
            await work
        except Exception:
            self._record_failure(_get_name(work))

    async def _repeat(
        self, interval_ms: int, work: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await work()
            except Exception:
                self._record_failure(_get_name(work))
            await asyncio.sleep(interval_ms / _MS_PER_S)

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        restart_ms = MIN_RESTART_MS
        while True:
            started_at = self._clock.now()
            try:
                await work()
            except Exception:
                self._record_failure(_get_name(work))
            if self._clock.now() - started_at >= STABLE_MS:
                restart_ms = MIN_RESTART_MS
            logger.error(
                'task_restarted', work=_get_name(work), delay_ms=restart_ms
            )
            await asyncio.sleep(restart_ms / _MS_PER_S)
            restart_ms = min(MAX_RESTART_MS, 2 * restart_ms)

    def _record_failure(self, name: str) -> None:
        """Log the current exception and count it."""
        self.failures[name] += 1
        logger.exception('work_failed', work=name)


def _get_name(work: object) -> str:
    """Return the name of a function or of the function of a coroutine."""
    return getattr(work, '__qualname__', type(work).__name__)
