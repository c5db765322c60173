"""Tests of the stand-in of the platform as a process."""

from __future__ import annotations

import asyncio
import json
import unittest

from tornado import httpclient

from standins import platform as standin
from tests import builders
from tests.standins import test_service


class PlatformStandinTest(unittest.IsolatedAsyncioTestCase):
    async def test_process_serves_and_counts(self) -> None:
        process, url = await test_service.start('standins.platform')
        client = httpclient.AsyncHTTPClient()
        kept = f'{url}/v1/kv/k'
        await client.fetch(
            kept, method='PUT', body=b'v', headers={'If-None-Match': '*'}
        )
        found = await client.fetch(kept)
        self.assertEqual((b'v', '"1"'), (found.body, found.headers['ETag']))
        bare = await client.fetch(
            kept, method='PUT', body=b'v', raise_error=False
        )
        self.assertEqual(428, bare.code)
        large = await client.fetch(
            kept, method='PUT', body=b'v' * 1_000_001, raise_error=False
        )
        self.assertEqual(413, large.code)
        counts = await client.fetch(f'{url}/control/counts')
        self.assertEqual({'put': 1, 'get': 1}, json.loads(counts.body))
        process.terminate()
        async with asyncio.timeout(test_service.URL_LINE_TIMEOUT_S):
            self.assertEqual(0, await process.wait())

    def test_lease_lapses_and_its_token_grows(self) -> None:
        """A holder is paused past the end of its lease.

        Another takes it with a higher token, by which targets that check
        can refuse the first one when it wakes.
        """
        clock = builders.FakeClock()
        state = standin.State(clock=clock)
        first = state.take_lease('l', 'a', 100)
        self.assertIsNone(state.take_lease('l', 'b', 100))
        clock.advance(101)
        second = state.take_lease('l', 'b', 100)
        assert first is not None
        assert second is not None
        self.assertGreater(second.fencing_token, first.fencing_token)
        self.assertIsNone(state.take_lease('l', 'a', 100))

    async def test_hosts_lag(self) -> None:
        """A host leaves, and the list still shows it for some seconds."""
        clock = builders.FakeClock()
        state = standin.State(3.0, clock)
        host = standin.ports.Host('h', 'd', standin.ports.HostState.LIVE)
        state.store.set_hosts([host])
        clock.advance(2999)
        self.assertEqual((), await state.store.list_hosts())
        clock.advance(1)
        self.assertEqual((host,), await state.store.list_hosts())
