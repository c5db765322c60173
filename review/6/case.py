"""Records of another writer at the addresses of sound engines."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common2'))
import world  # noqa: E402

MOST = 3
"""Requests that the rule LOST allows to be lost."""


class Case(world.World):
    def build_configuration(self) -> dict:
        """Streams may be resumed, as on the site, unless RESUMABLE is 0."""
        document = super().build_configuration()
        is_resumable = os.environ.get('RESUMABLE', '1') != '0'
        document['routes'][0]['resumable'] = is_resumable
        return document

    async def play(self) -> dict:
        until = time.monotonic() + 16
        clients = [
            self.start_task(self.use(entry, number, until))
            for number, entry in enumerate(self.entries * 2)
        ]
        await asyncio.sleep(4)
        if self.is_troubled and os.environ.get('TROUBLE') != 'crash':
            self.write_other_records()
        await asyncio.sleep(4)
        lost = next(one for one in self.servers if one.id == 'i-a1')
        if self.is_troubled:
            self.record.add('engine crashes', server=lost.id)
            await lost.crash()
            await asyncio.sleep(4)
            await lost.restart()
            self.record.add('engine is back', server=lost.id)
        await asyncio.gather(*clients)
        return self.judge()

    def write_other_records(self) -> None:
        """Another writer lists its own service at the engines' addresses."""
        for server in self.servers:
            if server.zone == 'perth-b' and server.is_engine:
                key = f'servers/export-{server.id}'
                document = {
                    'service': 'night-export',
                    'address': server.address,
                    'zone': server.zone,
                    'version': 'v1',
                    'slots': 4,
                    'state': 'ready',
                    'cold_remaining_ms': 0,
                    'sequence': 1,
                    'born': world.now_ms(),
                }
                self.store.put(key, document)
                self.record.add('record of another writer', key=key)

    async def use(self, entry, number: int, until: float) -> None:
        """Ask for a status and then for streams, on kept connections."""
        await asyncio.sleep(0.3 * number)
        while time.monotonic() < until:
            connection = world.Connection()
            await connection.open(entry.front)
            for target in ('/status/1', '/brief/1', '/brief/2', '/brief/3'):
                method = 'GET' if target == '/status/1' else 'POST'
                body = b'' if method == 'GET' else b'{"draft": 1}'
                line = await self.ask(
                    connection, method, target, body=body, zone=entry.zone
                )
                if not (line['is_whole'] and line['keeps']):
                    break
                if line['status'] != 200:
                    await asyncio.sleep(0.5)
            connection.close()

    def judge(self) -> dict:
        """Count the streams that the entries have cut at sound engines.

        Only clients of the zone whose engines are all sound count.
        """
        ends = {
            line['attempt']: line['how']
            for line in self.record.select('end')
            if line['attempt'].startswith('brief')
        }
        sent = self.record.select('answered', zone='perth-b')
        briefs = [one for one in sent if one['target'].startswith('/brief/')]
        left = [
            one
            for one in briefs
            if ends.get(one['attempt']) == 'left by the router'
        ]
        cut = [
            one
            for one in left
            if one['is_kept_connection'] and not one['is_whole']
        ]
        return {
            'broken': len(cut) > MOST,
            'rule': 'LOST',
            'streams': len(briefs),
            'served': sum(
                one['status'] == 200 and one['is_whole'] for one in briefs
            ),
            'cut_at_sound_engines': len(cut),
            'ended_at_sound_engines': len(left),
            'answered_502': sum(one['status'] == 502 for one in briefs),
        }


if __name__ == '__main__':
    sys.exit(world.run(Case, FOLDER))
