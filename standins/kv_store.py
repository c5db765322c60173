"""Stand-in of the platform's store, in its published protocol.

``python -m standins.kv_store`` prints its address as one line of JSON when
it listens. ``POST /control`` takes ``{"mode": "up" | "busy" | "silent"}``,
``POST /control/faults`` the faults of the in-memory platform, and
``GET /control/counts`` gives calls by kind. Calls with the header
``Standin-Writer`` may write what is not the system's.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import collections
import json
import random
import typing

import attrs
import msgspec
from tornado import web

from standins import common
from thornspool import clock as clock_module
from thornspool.adapters.store import memory

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

_GUARDED = ('op/', 'servers/')
_PAGE = 500
_HISTORY = 2_000
"""Changes that are remembered; a watch from before them gets 410."""
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
    """Keys, leases and the history of changes.

    Parameters
    ----------
    clock : thornspool.clock.Clock
        Time of leases.
    list_lag_s : float, optional
        Seconds after which changes of the list of servers are seen.
    """

    def __init__(
        self, clock: clock_module.Clock, list_lag_s: float = 0.0
    ) -> None:
        self._clock = clock
        self.list_lag_s = list_lag_s
        self.faults = memory.Faults()
        self.counts: collections.Counter[str] = collections.Counter()
        self.items: dict[str, Item] = {}
        self.previous: dict[str, Item] = {}
        self.history: collections.deque[Item] = collections.deque()
        self.dropped = 0
        self.revision = 1
        self.leases: dict[int, tuple[int, int]] = {}
        self._next_lease = 70_000
        self.changed = asyncio.Event()
        self.mode = 'up'
        self.calls = 0
        self._random = random.Random(self.faults.seed)

    def set_faults(self, faults: memory.Faults) -> None:
        """Replace the faults and start their chances from the seed."""
        self.faults = faults
        self._random = random.Random(faults.seed)

    def loses_answer(self) -> bool:
        """Tell whether the answer to a write is lost."""
        if self.faults.consume('lose_writes'):
            return True
        return self._random.random() < self.faults.lose_probability

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
            if known is not None:
                self.previous[key] = known
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
        while len(self.history) > _HISTORY:
            self.dropped = self.history.popleft().revision
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
    kind = ''

    def initialize(self, store: Store) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        self.store.counts[self.kind] += 1
        faults = self.store.faults
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / _MS_PER_S)
        if faults.down:
            self.drop()
        if self.store.mode == 'busy':
            raise web.HTTPError(503)
        if self.store.mode == 'silent':
            await asyncio.sleep(3_600)

    def drop(self) -> None:
        """Close the connection without an answer."""
        common.drop_connection(self)
        raise web.Finish

    def write_error(self, status_code: int, **_: typing.Any) -> None:
        self.finish({'error': status_code})

    def send(self, document: dict[str, typing.Any], status: int = 200) -> None:
        self.set_status(status)
        self.finish(document)


class KeyHandler(_Handler):
    """One key."""

    kind = 'get'

    def get(self) -> None:
        """Answer."""
        key = self.get_argument('key')
        item = self.store.items.get(key)
        if self.store.faults.consume('stale_reads'):
            item = self.store.previous.get(key)
        if item is None:
            raise web.HTTPError(404)
        self.send({**item.describe(), 'as_of': self.store.revision})


class RangeHandler(_Handler):
    """Keys under a prefix."""

    kind = 'range'

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

    kind = 'watch'

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
            if self.store.faults.down:
                self.drop()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.store.changed.wait(), left)
            except TimeoutError:
                continue
        self.send({'events': events, 'as_of': self.store.revision})


class TxnHandler(_Handler):
    """Conditional writes."""

    kind = 'put'

    def post(self) -> None:
        """Answer."""
        body = json.loads(self.request.body)
        keys = [one['key'] for one in body.get('puts', [])]
        keys += body.get('deletes', [])
        guarded = any(key.startswith(_GUARDED) for key in keys)
        if guarded and 'Standin-Writer' not in self.request.headers:
            raise web.HTTPError(403)
        values = [
            base64.b64decode(put['value'], validate=True)
            for put in body.get('puts', [])
        ]
        if any(len(value) > memory.MAX_VALUE_BYTES for value in values):
            raise web.HTTPError(413)
        if self.store.faults.consume('drop_writes'):
            self.drop()
        late_ms = self._find_delay(guarded)
        if late_ms is None:
            self._answer(body)
            return
        asyncio.get_running_loop().call_later(
            late_ms / _MS_PER_S, self._apply, body
        )
        if not guarded:
            self.drop()
        self.send({'revision': self.store.revision})

    def _find_delay(self, guarded: bool) -> float | None:
        """Find out how much later a write is carried out, if it is."""
        if guarded and self.store.list_lag_s:
            return self.store.list_lag_s * _MS_PER_S
        if self.store.faults.consume('late_writes'):
            return self.store.faults.late_ms
        return None

    def _answer(self, body: dict[str, typing.Any]) -> None:
        revision = self._apply(body)
        if revision is not None and self.store.loses_answer():
            self.drop()
        if revision is None:
            self.send({'items': []}, 412)
        else:
            self.send({'revision': revision})

    def _apply(self, body: dict[str, typing.Any]) -> int | None:
        """Write if the conditions hold; returns the revision, if they do."""
        if any(
            self.store.read_revision(one['key']) != one['revision']
            for one in body.get('expected', [])
        ):
            return None
        leases = {one.get('lease', 0) for one in body.get('puts', [])} - {0}
        if any(lease not in self.store.leases for lease in leases):
            raise web.HTTPError(404)
        return self.store.write(body.get('puts', []), body.get('deletes', []))


class LeaseHandler(_Handler):
    """New leases."""

    kind = 'lease'

    def post(self) -> None:
        """Answer."""
        ttl_ms = json.loads(self.request.body)['ttl_ms']
        lease = self.store.open_lease(ttl_ms)
        self.send({'lease': lease, 'ttl_ms': ttl_ms})


class KeepHandler(_Handler):
    """Renewals."""

    kind = 'keep'

    def post(self, lease: str) -> None:
        """Answer."""
        if not self.store.renew(int(lease)):
            raise web.HTTPError(404)
        self.send({'ttl_ms': self.store.leases[int(lease)][0]})


class EndHandler(_Handler):
    """Ends of leases."""

    kind = 'end'

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


class FaultsHandler(web.RequestHandler):
    """Faults as tests want them."""

    def initialize(self, store: Store) -> None:
        """Take the store."""
        self.store = store

    def get(self) -> None:
        """Answer with what is left of them."""
        self.finish(msgspec.json.encode(self.store.faults))

    def post(self) -> None:
        """Replace them; fields left out are off."""
        self.store.set_faults(
            msgspec.json.decode(self.request.body, type=memory.Faults)
        )


class CountsHandler(web.RequestHandler):
    """Calls by kind."""

    def initialize(self, store: Store) -> None:
        """Take the store."""
        self.store = store

    def get(self) -> None:
        """Answer."""
        self.finish(dict(self.store.counts))


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
            ('/control/faults', FaultsHandler, shared),
            ('/control/counts', CountsHandler, shared),
        ],
        log_function=lambda handler: None,
    )


async def _sweep_forever(store: Store) -> None:
    while True:
        store.sweep()
        await asyncio.sleep(_SWEEP_S)


async def run(port: int, list_lag_s: float = 0.0) -> None:
    """Serve until a signal ends the process."""
    store = Store(clock_module.Clock(), list_lag_s)
    sweeping = asyncio.create_task(_sweep_forever(store))
    await common.run(make_application(store), port)
    sweeping.cancel()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--list-lag', type=float, default=0.0, metavar='S')
    options = parser.parse_args()
    asyncio.run(run(options.port, options.list_lag))


if __name__ == '__main__':
    main()
