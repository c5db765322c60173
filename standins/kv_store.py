"""Stand-in of the platform's store, in its published protocol.

``python -m standins.kv_store`` prints its address as one line of JSON when
it listens. ``POST /control`` takes ``{"mode": "up" | "busy" | "silent"}``.
Calls with the header ``Standin-Writer`` may write what is not the system's.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import typing

import attrs
from tornado import web

from standins import common
from thornspool import clock as clock_module

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

_GUARDED = ('op/', 'servers/')
_PAGE = 500
_SWEEP_S = 0.05
_MS_PER_S = 1000


@attrs.frozen
class Item:
    """A key as it was written; ``value`` None after it was deleted."""

    key: str
    value: str | None
    revision: int
    created: int
    lease: int

    def describe(self) -> dict[str, typing.Any]:
        """Return it as the protocol shows it."""
        if self.value is None:
            return {
                'key': self.key,
                'revision': self.revision,
                'tombstone': True,
            }
        return attrs.asdict(self)


class Store:
    """Keys, leases and the history of changes."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.dropped = 0
        self.revision = 1
        self.leases: dict[int, tuple[int, int]] = {}
        self._next_lease = 70_000
        self.changed = asyncio.Event()
        self.mode = 'up'
        self.calls = 0

    def read_revision(self, key: str) -> int:
        """Return the revision of a key; 0 for none."""
        item = self.items.get(key)
        return 0 if item is None else item.revision

    def write(
        self, puts: Iterable[dict[str, typing.Any]], deletes: Iterable[str]
    ) -> int:
        """Apply a change."""
        self.revision += 1
        for put in puts:
            key = put['key']
            known = self.items.get(key)
            item = Item(
                key,
                put['value'],
                self.revision,
                self.revision if known is None else known.created,
                put.get('lease', 0),
            )
            self.items[key] = item
            self.history.append(item)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append(Item(key, None, self.revision, 0, 0))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def open_lease(self, ttl_ms: int) -> int:
        """Open a lease."""
        self._next_lease += 1
        self.leases[self._next_lease] = (ttl_ms, self._clock.now() + ttl_ms)
        return self._next_lease

    def renew(self, lease: int) -> bool:
        """Renew a lease."""
        if lease not in self.leases:
            return False
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, self._clock.now() + ttl_ms)
        return True

    def end_lease(self, lease: int) -> None:
        """End a lease with its keys."""
        self.leases.pop(lease, None)
        keys = [one.key for one in self.items.values() if one.lease == lease]
        if lease and keys:
            self.write([], keys)

    def sweep(self) -> None:
        """End the leases that ran out."""
        now = self._clock.now()
        for lease, (_, end) in list(self.leases.items()):
            if now > end:
                self.end_lease(lease)

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self.history.clear()
        self.dropped = self.revision


class _Handler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        if self.store.mode == 'busy':
            raise web.HTTPError(503)
        if self.store.mode == 'silent':
            await asyncio.sleep(3_600)

    def write_error(self, status_code: int, **_: typing.Any) -> None:
        self.finish({'error': status_code})

    def send(self, document: dict[str, typing.Any], status: int = 200) -> None:
        self.set_status(status)
        self.finish(document)


class KeyHandler(_Handler):
    """One key."""

    def get(self) -> None:
        """Answer."""
        item = self.store.items.get(self.get_argument('key'))
        if item is None:
            raise web.HTTPError(404)
        self.send({**item.describe(), 'as_of': self.store.revision})


class RangeHandler(_Handler):
    """Keys under a prefix."""

    def get(self) -> None:
        """Answer."""
        prefix = self.get_argument('prefix', '')
        after = self.get_argument('after', '')
        found = [
            self.store.items[key]
            for key in sorted(self.store.items)
            if key.startswith(prefix) and key > after
        ]
        self.send(
            {
                'items': [one.describe() for one in found[:_PAGE]],
                'has_more': len(found) > _PAGE,
                'as_of': self.store.revision,
            }
        )


class WatchHandler(_Handler):
    """Changes after a revision."""

    async def get(self) -> None:
        """Answer."""
        prefix = self.get_argument('prefix', '')
        after = int(self.get_argument('after'))
        wait_s = int(self.get_argument('wait_ms')) / _MS_PER_S
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self.store.dropped:
                raise web.HTTPError(410)
            events = [
                one.describe()
                for one in self.store.history
                if one.revision > after and one.key.startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.store.changed.wait(), left)
            except TimeoutError:
                continue
        self.send({'events': events, 'as_of': self.store.revision})


class TxnHandler(_Handler):
    """Conditional writes."""

    def post(self) -> None:
        """Answer."""
        body = json.loads(self.request.body)
        keys = [one['key'] for one in body.get('puts', [])]
        keys += body.get('deletes', [])
        guarded = any(key.startswith(_GUARDED) for key in keys)
        if guarded and 'Standin-Writer' not in self.request.headers:
            raise web.HTTPError(403)
        expected = body.get('expected', [])
        if any(
            self.store.read_revision(one['key']) != one['revision']
            for one in expected
        ):
            self.send({'items': []}, 412)
            return
        leases = {one.get('lease', 0) for one in body.get('puts', [])} - {0}
        if any(lease not in self.store.leases for lease in leases):
            raise web.HTTPError(404)
        for put in body.get('puts', []):
            base64.b64decode(put['value'], validate=True)
        revision = self.store.write(
            body.get('puts', []), body.get('deletes', [])
        )
        self.send({'revision': revision})


class LeaseHandler(_Handler):
    """New leases."""

    def post(self) -> None:
        """Answer."""
        ttl_ms = json.loads(self.request.body)['ttl_ms']
        lease = self.store.open_lease(ttl_ms)
        self.send({'lease': lease, 'ttl_ms': ttl_ms})


class KeepHandler(_Handler):
    """Renewals."""

    def post(self, lease: str) -> None:
        """Answer."""
        if not self.store.renew(int(lease)):
            raise web.HTTPError(404)
        self.send({'ttl_ms': self.store.leases[int(lease)][0]})


class EndHandler(_Handler):
    """Ends of leases."""

    def delete(self, lease: str) -> None:
        """Answer."""
        self.store.end_lease(int(lease))
        self.send({})


class ControlHandler(web.RequestHandler):
    """Orders of a test."""

    def initialize(self, store: Store) -> None:
        """Take what the handlers share."""
        self.store = store

    def get(self) -> None:
        """Answer."""
        self.finish({'calls': self.store.calls})

    def post(self) -> None:
        """Answer."""
        orders = json.loads(self.request.body)
        self.store.mode = orders.get('mode', self.store.mode)
        if orders.get('drop_history'):
            self.store.drop_history()
        self.finish({})


def make_application(store: Store) -> web.Application:
    """Make the application of the stand-in."""
    shared = {'store': store}
    return web.Application(
        [
            ('/v1/kv-key', KeyHandler, shared),
            ('/v1/kv-range', RangeHandler, shared),
            ('/v1/kv-watch', WatchHandler, shared),
            ('/v1/kv-txn', TxnHandler, shared),
            ('/v1/kv-lease', LeaseHandler, shared),
            ('/v1/kv-keep/([0-9]+)', KeepHandler, shared),
            ('/v1/kv-lease-end/([0-9]+)', EndHandler, shared),
            ('/control', ControlHandler, shared),
        ],
        log_function=lambda handler: None,
    )


async def _sweep_forever(store: Store) -> None:
    while True:
        store.sweep()
        await asyncio.sleep(_SWEEP_S)


async def run(port: int) -> None:
    """Serve until a signal ends the process."""
    store = Store(clock_module.Clock())
    sweeping = asyncio.create_task(_sweep_forever(store))
    await common.run(make_application(store), port)
    sweeping.cancel()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    asyncio.run(run(parser.parse_args().port))


if __name__ == '__main__':
    main()
