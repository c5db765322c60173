"""Simulated store of the platform, which may be unavailable to some hosts."""

from __future__ import annotations

import asyncio
import json

import attrs

from tests.simulation import loops
from thornspool.platform import exceptions
from thornspool.platform import store as store_module

LATENCY_MS = 4
"""Time until the store answers a call."""

RETURN_MS = (200, 2_400)
"""Range of the time after which a server whose record lapsed registers."""


class SimulatedStore:
    """Keys with their history, and the hosts that the store serves.

    Attributes
    ----------
    items : dict of str to store_module.Item
        Current keys.
    history : list of store_module.Item
        Changes in the order of their revisions.
    is_down : bool
        Whether the store answers no host.
    shut_out : set of str
        Hosts that the store does not serve.
    is_silent : bool
        Whether calls that are not served get no answer, or a refusal.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.dropped = 0
        self.is_down = False
        self.shut_out = set()
        self.is_silent = False
        self._changed = asyncio.Event()

    def put(self, key, document):
        """Write a key and return the new revision."""
        return self._change(key, json.dumps(document).encode())

    def delete(self, key):
        """Delete a key if it exists."""
        if key in self.items:
            self._change(key, None)

    def _change(self, key, value):
        self.revision += 1
        item = store_module.Item(key, self.revision, value)
        self.history.append(item)
        if value is None:
            del self.items[key]
        else:
            self.items[key] = item
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def drop_history(self):
        """Discard the history, so that earlier watches fail."""
        self.history.clear()
        self.dropped = self.revision

    async def serve(self, host, timeout_ms):
        """Answer a call of a host after a delay, or fail it."""
        if self.is_down or host in self.shut_out:
            await loops.sleep_ms(timeout_ms if self.is_silent else LATENCY_MS)
            raise exceptions.StoreRefused('The store does not answer.')
        await loops.sleep_ms(LATENCY_MS)

    def is_served(self, host):
        """Return whether a waiting call of a host can be answered."""
        return not self.is_down and host not in self.shut_out

    async def wait_for_change(self, timeout_ms):
        """Wait until a key changes, at most for a time."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._changed.wait()
        except TimeoutError:
            pass


@attrs.define
class Client:
    """Calls of one host to the store, as ``store_module.Store`` makes them."""

    store: SimulatedStore
    host: str

    async def read_all(self, prefix):
        await self.store.serve(self.host, store_module.CALL_TIMEOUT_MS)
        return store_module.Changes(
            tuple(self.store.items.values()), self.store.revision
        )

    async def watch(self, prefix, after, wait_ms):
        store = self.store
        timeout_ms = wait_ms + store_module.WATCH_TIMEOUT_MARGIN_MS
        await store.serve(self.host, timeout_ms)
        if store.revision <= after:
            await store.wait_for_change(wait_ms)
            await loops.sleep_ms(LATENCY_MS)
        if not store.is_served(self.host):
            await loops.sleep_ms(store_module.WATCH_TIMEOUT_MARGIN_MS)
            raise exceptions.StoreRefused('The store does not answer.')
        if after < store.dropped:
            raise exceptions.HistoryCompacted('The history is gone.')
        events = tuple(one for one in store.history if one.revision > after)
        return store_module.Changes(events, store.revision)
