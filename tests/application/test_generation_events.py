"""Tests of the events of one request that wait to be handled."""

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
    """Build the event of some tokens."""
    received = [frames.Frame('r', attempt, index, 'a') for index in indexes]
    return messages.FramesReceived(attempt, received)


# Events that wait, and what is handed over for them.
WAITING = (
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

    def test_frames_of_one_attempt_are_joined_in_order(self):
        for waiting, expected in WAITING:
            with self.subTest(waiting=waiting):
                for event in waiting:
                    self.queue.put(event)

                async def scenario(expected=expected):
                    for event in expected:
                        self.assertEqual(event, await self.queue.get(FAR_MS))

                self.run_virtual(scenario())

    def test_bound_is_kept_from_the_last_token(self):
        """Tokens come, and then the engine hangs.

        The bound counts from the last token: cut at the bound of an earlier
        one, a stream that runs would be taken for stalled; without a bound,
        the caller would wait for ever.
        """

        async def scenario():
            for _ in range(3):
                start = self.clock.now()
                waiting = asyncio.create_task(self.queue.get(start + 400))
                await asyncio.sleep(0.3)
                self.queue.put(build_tokens(0, 0))
                self.assertEqual(build_tokens(0, 0), await waiting)
            last = self.clock.now()
            event = await self.queue.get(last + 400)
            self.assertEqual(messages.TimePassed(), event)
            self.assertEqual(last + 400, self.clock.now())

        self.run_virtual(scenario())

    def test_bound_that_comes_nearer_is_kept(self):
        """The first token came late, and the second one never comes.

        The bound of the first token is seconds, that of the next ones less;
        kept to the first, a slow link would be noticed seconds late.
        """

        async def scenario():
            waiting = asyncio.create_task(self.queue.get(FAR_MS))
            await asyncio.sleep(0.1)
            self.queue.put(build_tokens(0, 0))
            await waiting
            event = await self.queue.get(500)
            self.assertEqual(messages.TimePassed(), event)
            self.assertEqual(500, self.clock.now())

        self.run_virtual(scenario())

    def test_closed_queue_leaves_no_timer(self):
        """A caller leaves long before the deadline of its request.

        A timer left behind would keep the request in memory until then.
        """

        async def scenario():
            waiting = asyncio.create_task(self.queue.get(FAR_MS))
            await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.gather(waiting, return_exceptions=True)
            self.queue.close()
            timers = asyncio.get_running_loop()._scheduled
            self.assertEqual([], [one for one in timers if not one._cancelled])

        self.run_virtual(scenario())
