"""Tests of the stand-in of a plain service, in-process and as a process."""

from __future__ import annotations

import asyncio
import json
import sys
import typing
import unittest

from tornado import httpclient

from standins import common
from standins import service as standin

URL_LINE_TIMEOUT_S = 20


async def start(module: str, *options: str) -> tuple[typing.Any, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        '--port',
        '0',
        *options,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    async with asyncio.timeout(URL_LINE_TIMEOUT_S):
        line = await process.stdout.readline()
    return process, json.loads(line)['url']


async def post(
    url: str, body: typing.Any, key: str = 'k', token: int = 1
) -> tuple[int, typing.Any]:
    response = await httpclient.AsyncHTTPClient().fetch(
        url,
        method='POST',
        body=json.dumps(body),
        headers={'Idempotency-Key': key, 'Fencing-Token': str(token)},
        raise_error=False,
    )
    return response.code, json.loads(response.body or b'null')


class ServiceStandinTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.state = standin.State('slots-1')
        application = standin.make_application(self.state)
        self.server, url = common.listen(application)
        self.operation_url = f'{url}/v1/operations/hold'
        self.behaviour_url = f'{url}/control/behaviour'

    async def asyncTearDown(self) -> None:
        self.server.stop()
        await self.server.close_all_connections()

    async def test_calls_above_the_worker_limit_wait(self) -> None:
        await post(self.behaviour_url, {'slow_ms': 1, 'workers': 1})
        await self.state.workers.__aenter__()
        waiting = [
            asyncio.create_task(post(self.operation_url, {}, key))
            for key in 'ab'
        ]
        async with asyncio.timeout(URL_LINE_TIMEOUT_S):
            while self.state.running < 2:
                await asyncio.sleep(0)
        # Much longer than an execution without a queue.
        await asyncio.sleep(0.2)
        self.assertEqual({}, dict(self.state.executions))
        await self.state.workers.__aexit__(None, None, None)
        await asyncio.gather(*waiting)
        self.assertEqual({'a': 1, 'b': 1}, dict(self.state.executions))

    async def test_injected_faults(self) -> None:
        """A target drops responses, refuses, leaves or deduplicates calls.

        Each row has the statuses of two calls with the same key and the
        fencing tokens 2 and 1, and the number of executions of the key.
        """
        cases: list[tuple[dict[str, typing.Any], list[int], int]] = [
            ({}, [200, 200], 2),
            ({'deduplicate': True}, [200, 200], 1),
            ({'check_fencing': True}, [200, 409], 1),
            ({'lose_answers': 1}, [599, 200], 2),
            ({'refuse_connections': 1}, [599, 200], 1),
            ({'leaving': True}, [409, 409], 0),
        ]
        for number, (behaviour, statuses, executions) in enumerate(cases):
            with self.subTest(behaviour):
                await post(self.behaviour_url, behaviour)
                actual = []
                for token in (2, 1):
                    try:
                        key = f'key-{number}'
                        code, _ = await post(
                            self.operation_url, {}, key, token
                        )
                    except (OSError, httpclient.HTTPError):
                        code = 599
                    actual.append(code)
                self.assertEqual(statuses, actual)
                count = self.state.executions[f'key-{number}']
                self.assertEqual(executions, count)

    async def test_load_report_includes_the_leaving_state(self) -> None:
        await post(self.behaviour_url, {'leaving': True})
        url = self.operation_url.replace('operations/hold', 'load')
        response = await httpclient.AsyncHTTPClient().fetch(url)
        self.assertEqual('leaving', json.loads(response.body)['state'])

    async def test_crash_marker_ends_the_process(self) -> None:
        """A request with the marker crashes the target that runs it."""
        process, url = await start('standins.service', '--name', 's')
        with self.assertRaises((OSError, httpclient.HTTPError)):
            await httpclient.AsyncHTTPClient().fetch(
                f'{url}/v1/operations/hold',
                method='POST',
                body=json.dumps(standin.DEFAULT_CRASH_MARKER),
            )
        async with asyncio.timeout(URL_LINE_TIMEOUT_S):
            self.assertEqual(70, await process.wait())
