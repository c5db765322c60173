"""Base class for tests of the operator API."""

from __future__ import annotations

import asyncio
import json
import typing
import unittest

import attrs
from structlog import testing
from tornado import httpclient
from tornado import httpserver
from tornado import testing as tornado_testing
from tornado import web

from tests.application import configuration_builders as make
from thornspool import clock
from thornspool import settings
from thornspool.adapters.operators import handlers
from thornspool.application import exceptions
from thornspool.application import objectives
from thornspool.domain.actions import results
from thornspool.domain.objectives import burn

SECRET = 'secret-of-all'
LIMITED = 'secret-of-alpha'
ALPHA = {'kind': 'workspace', 'name': 'alpha'}
RECORDS = {
    'known': results.ActionDone(200, 'text/plain', b'Slot 4', True),
    'bytes': results.ActionDone(200, 'image/png', b'\xff\xfe', True),
    'open': results.ActionUnknown('Still running.', 100),
    'malformed': results.ActionRefused('No UUID.'),
}
Response = tuple[int, str, typing.Any]


@attrs.frozen
class _Record:
    state: str


def build_report(*severities: burn.Severity) -> objectives.BurnReport:
    """Build a report of two of three entries with a subject per severity.

    Subjects with a lower severity have higher rates.
    """
    rates = {
        burn.Severity.NONE: (90.0, 20.0, 9.0, 2.0, 0.2),
        burn.Severity.TICKET: (50.0, 8.0, 5.0, 3.0, 1.2),
        burn.Severity.PAGE: (20.0, 17.5, 15.1, 7.0, 0.9),
    }
    burns = tuple(
        burn.Burn(
            burn.Subject(
                'slots', f'{severity.value}-1', burn.Indicator.LATENCY
            ),
            0.995,
            rates[severity],
            (10, 60, 120, 720, 8640),
            severity,
        )
        for severity in severities
    )
    return objectives.BurnReport(
        1_790_000_000_000, burn.WINDOWS_MS, 3, 2, burns
    )


class OperatorsCase(unittest.IsolatedAsyncioTestCase):
    """An entry whose operator API is served on a separate port.

    Attributes
    ----------
    starts_isolated : bool
        Whether the platform never responds to the entry. Otherwise a test
        starts after the first response; until then, for about 4 ms, the
        entry reports itself as isolated.
    """

    starts_isolated = False

    async def asyncSetUp(self) -> None:
        self.logs = testing.capture_logs()
        self.logs.__enter__()
        self.addCleanup(self.logs.__exit__, None, None, None)
        self.drained = 0
        self.burn_report: objectives.BurnReport | None = None
        cluster = make.Cluster(make.asyncio.get_running_loop())
        self.addAsyncCleanup(cluster.stop)
        self.entry = cluster.add_entry('one')
        self.entry.faults.platform_up = not self.starts_isolated
        while not self.starts_isolated and self.entry.service.is_isolated(
            cluster.clock.now()
        ):
            await asyncio.sleep(0.001)
        application = web.Application(self.make_routes())
        self.server = httpserver.HTTPServer(application)
        socket, port = tornado_testing.bind_unused_port()
        self.server.add_sockets([socket])
        self.addCleanup(self.server.stop)
        self.url = f'http://127.0.0.1:{port}'

    def make_routes(self) -> list[typing.Any]:
        async def drain() -> None:
            self.drained += 1

        async def look_up(workspace: str, key: str) -> typing.Any:
            if key == 'down':
                raise exceptions.PlatformError('No response.')
            return RECORDS.get(key)

        async def report(workspaces: object) -> typing.Any:
            return self.burn_report or _Record(str(workspaces))

        return handlers.make_handlers(
            clock.Clock(),
            self.entry.service,
            self.entry.view,
            (
                settings.Token('operator', SECRET),
                settings.Token('team-a', LIMITED, ('alpha',)),
            ),
            drain,
            look_up,
            report,
        )

    async def send(
        self, path: str, body: object = None, token: str = SECRET
    ) -> Response:
        response = await httpclient.AsyncHTTPClient().fetch(
            f'{self.url}{path}',
            method='GET' if body is None else 'POST',
            body=None if body is None else json.dumps(body),
            headers={'Authorization': f'Bearer {token}'},
            raise_error=False,
        )
        value = json.loads(response.body) if response.body else None
        return response.code, response.headers['Content-Type'], value

    async def publish(
        self, token: str = SECRET, **changes: object
    ) -> Response:
        body: dict[str, object] = {
            'id': 'p1',
            'base_version': 0,
            'documents': [ALPHA],
        }
        body.update(changes)
        return await self.send('/v1/publications', body, token)
