"""Tests of background tasks that fail, with fake time."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from structlog import testing

from tests import builders
from thornspool import tasks as tasks_module


class BackgroundTasksTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = builders.FakeClock()
        self.tasks = tasks_module.BackgroundTasks(self.clock)
        self.delays_ms = []
        self.runs = 0
        sleep = asyncio.sleep

        async def pass_time(seconds):
            self.delays_ms.append(round(seconds * 1000))
            self.clock.advance(self.delays_ms[-1])
            await sleep(0)

        patch = mock.patch.object(tasks_module.asyncio, 'sleep', pass_time)
        patch.start()
        self.addCleanup(patch.stop)
        self.addCleanup(self.tasks.cancel)

    async def run_until(self, is_met):
        for _ in range(1_000):
            if is_met():
                return
            await asyncio.sleep(0)
        self.fail('the task does not run')

    async def fail_always(self):
        self.runs += 1
        raise RecursionError

    async def fail_once(self):
        self.runs += 1
        if self.runs == 1:
            raise RecursionError
        await asyncio.Event().wait()

    async def end(self):
        self.runs += 1

    def read_delays(self):
        return [one for one in self.delays_ms if one]

    async def test_supervised_task_runs_again_after_an_error(self):
        """Guards against a task whose end nobody notices."""
        self.tasks.supervise(self.fail_once)
        await self.run_until(lambda: self.runs == 2)
        self.assertEqual(
            {'BackgroundTasksTest.fail_once': 1}, dict(self.tasks.failures)
        )
        self.assertEqual([tasks_module.MIN_RESTART_MS], self.read_delays())

    async def test_supervised_task_that_returns_runs_again(self):
        """Guards against a task that ends without an error."""
        self.tasks.supervise(self.end)
        await self.run_until(lambda: self.runs == 3)

    async def test_task_that_always_fails_does_not_spin(self):
        """Guards against restarts that keep the event loop busy."""
        self.tasks.supervise(self.fail_always)
        await self.run_until(lambda: self.runs == 6)
        self.assertEqual([100, 200, 400, 800, 800], self.read_delays()[:5])
        self.assertGreaterEqual(
            self.tasks.failures['BackgroundTasksTest.fail_always'], 5
        )

    async def test_delay_of_restarts_begins_anew_after_a_stable_run(self):
        async def run_long():
            self.runs += 1
            if self.runs == 4:
                self.clock.advance(tasks_module.STABLE_MS)
            raise RecursionError

        self.tasks.supervise(run_long)
        await self.run_until(lambda: self.runs == 6)
        self.assertEqual([100, 200, 400, 100, 200], self.read_delays()[:5])

    async def test_periodic_work_continues_after_an_error(self):
        self.tasks.run_periodically(25, self.fail_always)
        await self.run_until(lambda: self.runs == 3)
        self.assertEqual({25}, set(self.read_delays()))

    async def test_error_of_one_function_does_not_skip_the_next(self):
        """Guards against requests that expire no more as others fail."""
        called = []

        def fail():
            raise RecursionError

        self.tasks.run_each(fail, lambda: called.append(1))
        self.assertEqual([1], called)
        self.assertEqual(1, self.tasks.failures.total())

    async def test_error_of_a_single_task_is_counted(self):
        """Guards against a task whose error is dropped with it."""
        with testing.capture_logs() as caught:
            self.tasks.start(self.fail_always())
            await self.run_until(lambda: self.tasks.failures)
        self.assertEqual(
            {'BackgroundTasksTest.fail_always': 1}, dict(self.tasks.failures)
        )
        self.assertEqual(['work_failed'], [one['event'] for one in caught])
