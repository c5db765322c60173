"""A configuration moves routes without streams to a service of engines."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common2'))
import world  # noqa: E402

MOST = 3
"""Requests that the rule LOST allows to be lost."""


class Case(world.World):
    def build_configuration(self) -> dict:
        document = super().build_configuration()
        document['routes'] += [
            world.build_route('label', 'idempotent', world.PLAIN, 3_000, 300),
            world.build_route(
                'quote', 'non_idempotent', world.PLAIN, 3_000, 300
            ),
        ]
        return document

    async def play(self) -> dict:
        await self.use_all('before')
        document = self.build_configuration()
        if self.is_troubled:
            for route in document['routes']:
                if route['name'] in {'r-label', 'r-quote'}:
                    route['service'] = world.MODEL
        self.configure(document)
        await asyncio.sleep(4)
        await self.use_all('after')
        return self.judge()

    async def use_all(self, phase: str) -> None:
        for _ in range(5):
            await asyncio.gather(
                *(self.use(entry, phase) for entry in self.entries)
            )

    async def use(self, entry, phase: str) -> None:
        """Send three requests, each but the first on a kept connection."""
        for target in ('/label/1', '/quote/1', '/brief/1'):
            connection = world.Connection()
            await connection.open(entry.front)
            for method, path in (('GET', '/status/1'), ('POST', target)):
                await self.ask(
                    connection,
                    method,
                    path,
                    body=b'{"text": "x"}' if method == 'POST' else b'',
                    wait_ms=20_000 if 'brief' in path else 3_000,
                    phase=phase,
                )
            connection.close()

    def judge(self) -> dict:
        """Count the requests that ended well at an engine and were cut."""
        whole = {
            line['attempt'] for line in self.record.select('end', how='whole')
        }
        found: dict[str, list[int]] = {}
        lost = 0
        for line in self.record.select('answered', phase='after'):
            is_lost = (
                line['attempt'] in whole
                and line['is_kept_connection']
                and not line['is_whole']
            )
            lost += is_lost
            counts = found.setdefault(line['target'], [0, 0])
            counts[0] += 1
            counts[1] += is_lost
        return {
            'broken': lost > MOST,
            'rule': 'LOST',
            'lost_after_the_change': lost,
            'sent_and_lost_by_path': found,
        }


if __name__ == '__main__':
    sys.exit(world.run(Case, FOLDER))
