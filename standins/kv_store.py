"""Stand-in of the platform's store, with its published protocol.

``python -m standins.kv_store`` prints its address as one line of JSON when
it listens. ``POST /control`` takes ``{"mode": "up" | "busy" | "silent"}``
(``busy`` responds with status 503, ``silent`` does not respond),
``{"drop_history": true}`` and ``{"end_leases": true}`` (all leases end),
``POST /control/faults`` takes the faults of the in-memory platform, and ``GET
/control/counts`` returns calls by kind. Calls with the header
``Standin-Writer`` may write keys that belong to operators and servers.
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

_PROTECTED_PREFIXES = ('op/', 'servers/')
_PAGE_SIZE = 500
_MAX_HISTORY = 2_000
"""Maximum retained changes; a watch from an earlier revision gets 410."""
_EXPIRY_INTERVAL_S = 0.05
_MS_PER_S = 1000


@attrs.frozen
class Item:
    """One change of a key.

    Attributes
    ----------
    key : str
        The key.
    value : str or None
        Value in base64; None when the key was deleted.
    revision, created : int
        Revisions of this change and of the creation of the key.
    lease : int
        Lease that the key is bound to; 0 for none.
    """

    key: str
    value: str | None
    revision: int
    created: int
    lease: int

    def describe(self) -> dict[str, typing.Any]:
        """Return the change as the protocol encodes it."""
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
        Clock for the expiry of leases.
    list_lag_s : float, optional
        Delay in seconds before writes to protected keys, such as the list
        of servers, are applied.
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
        """Replace the faults and reseed the random source."""
        self.faults = faults
        self._random = random.Random(faults.seed)

    def drops_response(self) -> bool:
        """Return whether the response to a write is dropped."""
        if self.faults.consume('lose_writes'):
            return True
        return self._random.random() < self.faults.lose_probability

    def read_revision(self, key: str) -> int:
        """Return the revision of a key; 0 for a missing key."""
        item = self.items.get(key)
        return 0 if item is None else item.revision

    def write(
        self, puts: Iterable[dict[str, typing.Any]], deletes: Iterable[str]
    ) -> int:
        """Apply puts and deletes as one revision.

        Returns
        -------
        int
            The new revision.
        """
        self.revision += 1
        for put in puts:
            key = put['key']
            current = self.items.get(key)
            if current is not None:
                self.previous[key] = current
            item = Item(
                key,
                put['value'],
                self.revision,
                self.revision if current is None else current.created,
                put.get('lease', 0),
            )
            self.items[key] = item
            self.history.append(item)
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append(Item(key, None, self.revision, 0, 0))
        while len(self.history) > _MAX_HISTORY:
            self.dropped = self.history.popleft().revision
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def open_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its number."""
        self._next_lease += 1
        self.leases[self._next_lease] = (ttl_ms, self._clock.now() + ttl_ms)
        return self._next_lease

    def renew(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""
        if lease not in self.leases:
            return False
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, self._clock.now() + ttl_ms)
        return True

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        keys = [
            item.key for item in self.items.values() if item.lease == lease
        ]
        if lease and keys:
            self.write([], keys)

    def sweep(self) -> None:
        """End the leases that expired."""
        now = self._clock.now()
        for lease, (_, end) in list(self.leases.items()):
            if now > end:
                self.end_lease(lease)

    def drop_history(self) -> None:
        """Discard the history, so that earlier watches get 410."""
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
        """Close the connection without a response."""
        common.drop_connection(self)
        raise web.Finish

    def write_error(self, status_code: int, **_: typing.Any) -> None:
        self.finish({'error': status_code})

    def send(self, document: dict[str, typing.Any], status: int = 200) -> None:
        self.set_status(status)
        self.finish(document)


class KeyHandler(_Handler):
    """``GET /v1/kv-key``: one key."""

    kind = 'get'

    def get(self) -> None:
        """Return the key, or its previous value as a stale read."""
        key = self.get_argument('key')
        item = self.store.items.get(key)
        if self.store.faults.consume('stale_reads'):
            item = self.store.previous.get(key)
        if item is None:
            raise web.HTTPError(404)
        self.send({**item.describe(), 'as_of': self.store.revision})


class RangeHandler(_Handler):
    """``GET /v1/kv-range``: a page of the keys under a prefix."""

    kind = 'range'

    def get(self) -> None:
        """Return the keys after a key, in order."""
        prefix = self.get_argument('prefix', '')
        after = self.get_argument('after', '')
        found = [
            self.store.items[key]
            for key in sorted(self.store.items)
            if key.startswith(prefix) and key > after
        ]
        self.send(
            {
                'items': [item.describe() for item in found[:_PAGE_SIZE]],
                'has_more': len(found) > _PAGE_SIZE,
                'as_of': self.store.revision,
            }
        )


class WatchHandler(_Handler):
    """``GET /v1/kv-watch``: long poll for changes after a revision."""

    kind = 'watch'

    async def get(self) -> None:
        """Return changes as soon as there are any, or none at the timeout."""
        prefix = self.get_argument('prefix', '')
        after = int(self.get_argument('after'))
        wait_s = int(self.get_argument('wait_ms')) / _MS_PER_S
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self.store.dropped:
                raise web.HTTPError(410)
            events = [
                item.describe()
                for item in self.store.history
                if item.revision > after and item.key.startswith(prefix)
            ]
            remaining_s = end - asyncio.get_running_loop().time()
            if self.store.faults.down:
                self.drop()
            if events or remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(self.store.changed.wait(), remaining_s)
            except TimeoutError:
                continue
        self.send({'events': events, 'as_of': self.store.revision})


class TxnHandler(_Handler):
    """``POST /v1/kv-txn``: conditional writes."""

    kind = 'put'

    def post(self) -> None:
        """Apply a transaction, with the injected faults."""
        body = json.loads(self.request.body)
        keys = [put['key'] for put in body.get('puts', [])]
        keys += body.get('deletes', [])
        is_protected = any(key.startswith(_PROTECTED_PREFIXES) for key in keys)
        if is_protected and 'Standin-Writer' not in self.request.headers:
            raise web.HTTPError(403)
        values = [
            base64.b64decode(put['value'], validate=True)
            for put in body.get('puts', [])
        ]
        if any(len(value) > memory.MAX_VALUE_BYTES for value in values):
            raise web.HTTPError(413)
        if self.store.faults.consume('drop_writes'):
            self.drop()
        delay_ms = self._choose_delay_ms(is_protected)
        if delay_ms is None:
            self._write_and_respond(body)
            return
        asyncio.get_running_loop().call_later(
            delay_ms / _MS_PER_S, self._apply, body
        )
        if not is_protected:
            self.drop()
        self.send({'revision': self.store.revision})

    def _choose_delay_ms(self, is_protected: bool) -> float | None:
        """Return the delay of a write in milliseconds; None for no delay."""
        if is_protected and self.store.list_lag_s:
            return self.store.list_lag_s * _MS_PER_S
        if self.store.faults.consume('late_writes'):
            return self.store.faults.late_ms
        return None

    def _write_and_respond(self, body: dict[str, typing.Any]) -> None:
        revision = self._apply(body)
        if revision is not None and self.store.drops_response():
            self.drop()
        if revision is None:
            self.send({'items': []}, 412)
        else:
            self.send({'revision': revision})

    def _apply(self, body: dict[str, typing.Any]) -> int | None:
        """Return the new revision; None when a condition does not hold."""
        if any(
            self.store.read_revision(condition['key']) != condition['revision']
            for condition in body.get('expected', [])
        ):
            return None
        leases = {put.get('lease', 0) for put in body.get('puts', [])} - {0}
        if any(lease not in self.store.leases for lease in leases):
            raise web.HTTPError(404)
        return self.store.write(body.get('puts', []), body.get('deletes', []))


class LeaseHandler(_Handler):
    """``POST /v1/kv-lease``: create a lease."""

    kind = 'lease'

    def post(self) -> None:
        """Create a lease."""
        ttl_ms = json.loads(self.request.body)['ttl_ms']
        lease = self.store.open_lease(ttl_ms)
        self.send({'lease': lease, 'ttl_ms': ttl_ms})


class KeepHandler(_Handler):
    """``POST /v1/kv-keep/LEASE``: renew a lease."""

    kind = 'keep'

    def post(self, lease: str) -> None:
        """Renew a lease."""
        if not self.store.renew(int(lease)):
            raise web.HTTPError(404)
        self.send({'ttl_ms': self.store.leases[int(lease)][0]})


class EndHandler(_Handler):
    """``DELETE /v1/kv-lease-end/LEASE``: end a lease."""

    kind = 'end'

    def delete(self, lease: str) -> None:
        """End a lease."""
        self.store.end_lease(int(lease))
        self.send({})


class ControlHandler(web.RequestHandler):
    """``/control``: mode of the store and number of calls."""

    def initialize(self, store: Store) -> None:
        """Set the store."""
        self.store = store

    def get(self) -> None:
        """Return the number of calls."""
        self.finish({'calls': self.store.calls})

    def post(self) -> None:
        """Apply the commands of a test."""
        commands = json.loads(self.request.body)
        self.store.mode = commands.get('mode', self.store.mode)
        if commands.get('drop_history'):
            self.store.drop_history()
        if commands.get('end_leases'):
            for lease in list(self.store.leases):
                self.store.end_lease(lease)
        self.finish({})


class FaultsHandler(web.RequestHandler):
    """``/control/faults``: faults that tests inject."""

    def initialize(self, store: Store) -> None:
        """Take the store."""
        self.store = store

    def get(self) -> None:
        """Return the remaining faults."""
        self.finish(msgspec.json.encode(self.store.faults))

    def post(self) -> None:
        """Replace the faults; absent fields are off."""
        self.store.set_faults(
            msgspec.json.decode(self.request.body, type=memory.Faults)
        )


class CountsHandler(web.RequestHandler):
    """``GET /control/counts``: calls by kind."""

    def initialize(self, store: Store) -> None:
        """Take the store."""
        self.store = store

    def get(self) -> None:
        """Return the counts."""
        self.finish(dict(self.store.counts))


def make_application(store: Store) -> web.Application:
    """Build the HTTP application of the stand-in."""
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


async def _expire_leases_forever(store: Store) -> None:
    while True:
        store.sweep()
        await asyncio.sleep(_EXPIRY_INTERVAL_S)


async def run(port: int, list_lag_s: float = 0.0) -> None:
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    port : int
        TCP port; 0 for a port that the system chooses.
    list_lag_s : float, optional
        Delay of writes to protected keys, in seconds.
    """
    store = Store(clock_module.Clock(), list_lag_s)
    expiry_task = asyncio.create_task(_expire_leases_forever(store))
    await common.run(make_application(store), port)
    expiry_task.cancel()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--list-lag', type=float, default=0.0, metavar='S')
    options = parser.parse_args()
    asyncio.run(run(options.port, options.list_lag))


if __name__ == '__main__':
    main()
