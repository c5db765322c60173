"""Two entries as processes, the first of which can lose its links."""

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


class LinkedEntriesCase(unittest.IsolatedAsyncioTestCase):
    """The first entry has no links to servers, where a test cuts them.

    Its links don't carry resets, so that the second one gets the others.

    Attributes
    ----------
    retry_slack : int
        Retries that both entries together may send in ten seconds beyond a
        share of the requests.
    """

    retry_slack = 100

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        running = stack.enter_context(processes.open_processes())
        self.deployment = await asyncio.to_thread(
            deployment.Deployment, running
        )
        self.links = links.ServerLinks(self.deployment, 'entry-0', 0)
        self.first = self.deployment.start_entry(
            'a', self.links.start(), self.retry_slack
        )
        self.second = self.deployment.start_entry(
            'b', retry_slack=self.retry_slack
        )
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

    async def cut_links(self):
        """Cut the links of the first entry; it passes requests on then."""
        self.links.cut('refused')
        await asyncio.to_thread(
            deployment.wait_until,
            lambda: self.first.call('GET', '/read/1', 'cut').status == 200,
        )
