"""Tests of answers with neither a length nor chunks, as processes."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from standins import kv_fleet
from tests.platform import deployment
from tests.soak import links
from tools import processes

COMPLETE_STREAM = b''.join(
    b'id: %d\ndata: word%d\n\n' % (number, number)
    for number in range(kv_fleet.EVENTS)
)


class UnframedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """The first entry has no links to servers, where a test cuts them.

    Its links don't carry resets, so that the second one gets the others.
    """

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        running = stack.enter_context(processes.open_processes())
        self.deployment = await asyncio.to_thread(
            deployment.Deployment, running
        )
        self.links = links.ServerLinks(self.deployment, 'entry-0', 0)
        self.first = self.deployment.start_entry('a', self.links.start())
        self.second = self.deployment.start_entry('b')
        await asyncio.to_thread(deployment.wait_until, self.is_ready)

    async def asyncTearDown(self):
        await self.links.stop()

    def is_ready(self):
        held_layers = self.deployment.read_fleet()['servers'].values()
        return (
            self.first.is_ready()
            and self.second.is_ready()
            and all(held_layers)
            and all(
                entry.call(*request, f'warm-{entry.callers}').status == 200
                for entry in (self.first, self.second)
                for request in (('POST', '/brief/0'), ('GET', '/read/0'))
            )
        )

    async def control(self, **orders):
        await asyncio.to_thread(lambda: self.deployment.control(**orders))

    async def call(self, entry, method, path, attempt, ending):
        """Send a request whose first run ends so, and further ones whole."""
        await self.control(unframed=[ending])
        return await asyncio.to_thread(entry.call, method, path, attempt)

    async def check_streams(self, entry, label):
        for ending, is_repeated in (
            ('whole', False),
            ('inside', True),
            ('reset', True),
        ):
            with self.subTest(ending):
                attempt = f'{label}-{ending}'
                response = await self.call(
                    entry, 'POST', '/brief/1', attempt, ending
                )
                self.assertEqual(200, response.status)
                self.assertTrue(response.complete)
                self.assertEqual(COMPLETE_STREAM, response.body)
                lines = [
                    line
                    for one in (self.first, self.second)
                    for line in one.find_lines(
                        'run_repeated', id=f'request-{attempt}'
                    )
                ]
                self.assertEqual(is_repeated, bool(lines))

    async def check_calls(self, entry, label):
        for ending, method, path, status in (
            ('whole', 'GET', '/read/1', 200),
            ('whole', 'POST', '/hold/1', 200),
            ('reset', 'GET', '/read/1', 200),
            ('reset', 'POST', '/hold/1', 502),
        ):
            with self.subTest(ending, path=path):
                attempt = f'{label}-{ending}-{path[1:5]}'
                response = await self.call(
                    entry, method, path, attempt, ending
                )
                self.assertEqual(status, response.status)
                self.assertTrue(response.complete)
                if status == 200:
                    self.assertTrue(response.body.endswith(b' for north'))

    async def test_streams_end_with_their_connection(self):
        """Guards against an end that is taken for a break, or a break for it.

        Streams end whole, inside an event, or with a reset.
        """
        await self.check_streams(self.second, 'direct')

    async def test_calls_end_with_their_connection(self):
        await self.check_calls(self.second, 'direct')

    async def test_relayed_answers_end_with_their_connection(self):
        """Guards against the same behind a peer.

        The entry has lost its links to all servers.
        """
        self.links.cut('refused')
        await asyncio.to_thread(
            deployment.wait_until,
            lambda: self.first.call('GET', '/read/1', 'cut').status == 200,
        )
        await self.check_streams(self.first, 'relayed')
        await self.check_calls(self.first, 'relayed')
