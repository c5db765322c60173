"""Tests of answers with neither a length nor chunks, as processes."""

from __future__ import annotations

import asyncio

from tests.platform import linked_entries


class UnframedAnswerTest(linked_entries.LinkedEntriesCase):
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
                self.assertEqual(linked_entries.COMPLETE_STREAM, response.body)
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
        await self.cut_links()
        await self.check_streams(self.first, 'relayed')
        await self.check_calls(self.first, 'relayed')
