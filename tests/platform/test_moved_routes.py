"""Tests of routes that a version moves to another service, as processes."""

from __future__ import annotations

import asyncio

from standins import kv_fleet
from tests.platform import deployment
from tests.platform import linked_entries

MOVES = {
    'read': kv_fleet.MODEL_SERVICE,
    'hold': kv_fleet.MODEL_SERVICE,
    'brief': kv_fleet.PLAIN_SERVICE,
}
REQUESTS = 10


class MovedRouteTest(linked_entries.LinkedEntriesCase):
    async def move_routes(self):
        configuration = kv_fleet.build_configuration(2)
        for route in configuration['routes']:
            route['service'] = MOVES[route['name']]
        await self.control(put='op/config', document=configuration)
        await asyncio.to_thread(
            deployment.wait_until,
            lambda: all(
                entry.find_lines('configuration_in_force', version=2)
                for entry in (self.first, self.second)
            ),
        )

    def check(self, phase):
        """Send requests of each kind, and compare them with their runs."""
        for method, path in (
            ('GET', '/read/1'),
            ('POST', '/hold/1'),
            ('POST', '/brief/1'),
        ):
            for number in range(REQUESTS):
                label = f'{phase}-{path[1:5]}-{number}'
                response = self.first.call(method, path, label)
                with self.subTest(label):
                    self.assertEqual(
                        (200, True), (response.status, response.complete)
                    )
                    self.assertIn(b' for ', response.body)
        runs = self.deployment.read_fleet()['runs']
        for name, count in runs.items():
            if f'{phase}-hold' in name:
                self.assertEqual(1, count, name)

    async def test_answers_follow_the_kind_of_their_route(self):
        """Guards against answers that are read by their service's kind.

        Routes that are not streamed move to engines and the others to plain
        servers, whose answers have a length.
        """
        await self.move_routes()
        await asyncio.to_thread(self.check, 'direct')
        await self.cut_links()
        await asyncio.to_thread(self.check, 'relayed')
