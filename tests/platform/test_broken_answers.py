"""Tests of answers whose heads are spoiled, as processes."""

from __future__ import annotations

import asyncio

import attrs

from standins import kv_fleet
from tests.platform import linked_entries
from tests.platform import raw_answers

CALLS = (
    raw_answers.BROKEN_HEADS
    | raw_answers.EXCEEDED_LENGTHS
    | raw_answers.CUT_HEADS
)
STREAMS = (
    raw_answers.BROKEN_CODINGS
    | raw_answers.EXCEEDED_LENGTHS
    | raw_answers.CUT_HEADS
)


class BrokenAnswerTest(linked_entries.LinkedEntriesCase):
    """The first run of each request has a broken answer, others have not."""

    retry_slack = 10 * len(CALLS)

    async def call(self, entry, method, path, label, answer):
        await self.control(raw_answers=[attrs.asdict(answer)])
        response = await asyncio.to_thread(entry.call, method, path, label)
        fleet = await asyncio.to_thread(self.deployment.read_fleet)
        return response, fleet['runs'].get(f'request-{label}', 0)

    async def check_calls(self, entry, label, **changes):
        """Call with each broken answer, of connections changed as given."""
        for number, (name, one) in enumerate(CALLS.items()):
            answer = attrs.evolve(one, **changes)
            if answer.stays_open and answer.missing:
                # The rest of the head may still come.
                continue
            with self.subTest(name, path='/read/1'):
                response, runs = await self.call(
                    entry, 'GET', '/read/1', f'{label}-{number}-read', answer
                )
                self.assertEqual((200, True), (response.status, runs > 1))
                self.assertTrue(response.complete)
                self.assertRegex(response.body, rb'^[a-z0-9-]+ for north$')
            with self.subTest(name, path='/hold/1'):
                response, runs = await self.call(
                    entry, 'POST', '/hold/1', f'{label}-{number}-hold', answer
                )
                self.assertEqual((502, 1), (response.status, runs))

    async def check_streams(self, entry, label):
        for number, (name, answer) in enumerate(STREAMS.items()):
            with self.subTest(name):
                response, _ = await self.call(
                    entry, 'POST', '/brief/1', f'{label}-{number}', answer
                )
                self.assertEqual(200, response.status)
                self.assertTrue(response.complete)
                self.assertEqual(linked_entries.COMPLETE_STREAM, response.body)

    async def test_calls(self):
        """Guards against bodies that are cut or hold sizes of chunks."""
        await self.check_calls(self.second, 'direct')

    async def test_calls_over_connections_that_stay_open(self):
        """Guards against broken answers that are held until a deadline."""
        await self.check_calls(self.second, 'open', stays_open=True)

    async def test_streams(self):
        """Guards against sizes of chunks among the events."""
        await self.check_streams(self.second, 'direct')

    async def test_relayed_answers(self):
        """Guards against the same behind a peer."""
        await self.cut_links()
        await self.check_calls(self.first, 'relayed')
        await self.check_streams(self.first, 'relayed')

    async def test_requests_whose_heads_are_cut_do_not_run(self):
        """Guards against callers that stop in the middle of their heads."""
        ip, port = self.second.callers.split(':')
        for missing in range(1, 7):
            label = f'cut-{missing}'
            head = (
                f'POST /hold/1 HTTP/1.1\r\nHost: {kv_fleet.HOST}\r\n'
                f'Attempt-Id: {label}\r\nDeadline-Ms: 10000\r\n'
                f'Authorization: Bearer {kv_fleet.KEY}\r\n'
                'Content-Length: 0\r\n\r\n'
            ).encode()
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head[:-missing])
            writer.write_eof()
            with self.subTest(label):
                self.assertNotIn(b' 200 ', await reader.read())
            writer.close()
        fleet = await asyncio.to_thread(self.deployment.read_fleet)
        self.assertEqual(
            [], [one for one in fleet['runs'] if one.startswith('cut-')]
        )
