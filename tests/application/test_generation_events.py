"""Tests of the event queue of timer request."""

from __future__ import annotations

import asyncio
import unittest

from tests import builders
from tests.application import fakes
from thornspool.application.generation import events as generation_events
from thornspool.domain.pipelines import frames
from thornspool.domain.pipelines import messages

CLOSED = messages.StreamClosed(0)
FAR_MS = 60_000


def build_tokens(attempt, *indexes):
    """Build the event of received tokens."""
    received = [frames.Frame('r', attempt, index, 'a') for index in indexes]
    return messages.FramesReceived(attempt, received)


# Queued events, and the events that the queue returns for them.
QUEUED_AND_RETURNED = (
    ([CLOSED], [CLOSED]),
    (
        [build_tokens(0, 0), build_tokens(0, 1, 2), CLOSED],
        [build_tokens(0, 0, 1, 2), CLOSED],
    ),
    (
        [build_tokens(0, 0), build_tokens(1, 0), build_tokens(1, 1)],
        [build_tokens(0, 0), build_tokens(1, 0, 1)],
    ),
    ([CLOSED, build_tokens(0, 0)], [CLOSED, build_tokens(0, 0)]),
)


class EventQueueTest(unittest.TestCase):
    def setUp(self):
        self.clock = builders.FakeClock()
        self.queue = generation_events.EventQueue(self.clock)

    def run_virtual(self, scenario):
        fakes.run(self.clock, scenario)

    def test_frames_of_one_attempt_are_merged_in_order(self):
        for queued, expected in QUEUED_AND_RETURNED:
            with self.subTest(queued=queued):
                for event in queued:
                    self.queue.put(event)

                async def scenario(expected=expected):
                    for event in expected:
                        self.assertEqual(event, await self.queue.get(FAR_MS))

                self.run_virtual(scenario())

    def test_timeout_counts_from_the_last_token(self):
        """Tokens arrive, and then the engine hangs.

        With the timeout of an earlier token, a running stream would count
        as stalled; without a timeout, the caller would wait for ever.
        """

        async def scenario():
            for _ in range(3):
                start = self.clock.now()
                get_task = asyncio.create_task(self.queue.get(start + 400))
                await asyncio.sleep(0.3)
                self.queue.put(build_tokens(0, 0))
                self.assertEqual(build_tokens(0, 0), await get_task)
            last = self.clock.now()
            event = await self.queue.get(last + 400)
            self.assertEqual(messages.TimerExpired(), event)
            self.assertEqual(last + 400, self.clock.now())

        self.run_virtual(scenario())

    def test_shorter_timeout_replaces_a_longer_one(self):
        """The first token arrives late, and the second timer never.

        The timeout of the first token is seconds, that of later ones is
        shorter. If the first one were kept, a slow link would be detected
        seconds late.
        """

        async def scenario():
            get_task = asyncio.create_task(self.queue.get(FAR_MS))
            await asyncio.sleep(0.1)
            self.queue.put(build_tokens(0, 0))
            await get_task
            event = await self.queue.get(500)
            self.assertEqual(messages.TimerExpired(), event)
            self.assertEqual(500, self.clock.now())

        self.run_virtual(scenario())

    def test_closed_queue_leaves_no_timer(self):
        """A caller disconnects long before the deadline of its request.

        A remaining timer would keep the request in memory until then.
        """

        async def scenario():
            get_task = asyncio.create_task(self.queue.get(FAR_MS))
            await asyncio.sleep(0)
            get_task.cancel()
            await asyncio.gather(get_task, return_exceptions=True)
            self.queue.close()
            timers = asyncio.get_running_loop()._scheduled
            self.assertEqual(
                [], [timer for timer in timers if not timer._cancelled]
            )

        self.run_virtual(scenario())
