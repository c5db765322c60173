"""Implements the ``Platform`` port over the platform's key-value store.

All keys have a common prefix. The version of a key is the store revision of
its last change.
"""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import msgspec
import structlog

from thornspool import decoding
from thornspool.adapters import transfers
from thornspool.adapters.store import gate
from thornspool.application import exceptions
from thornspool.application import ports
from thornspool.platform import documents
from thornspool.platform import exceptions as store_errors
from thornspool.platform import store as store_module

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from thornspool import clock as clock_module

PREFIX = 'thornspool/values/'
"""Prefix of every key; servers, operators and platform entries use other
prefixes in the same store."""

ENTRIES_PREFIX = 'thornspool/peers/'
"""Prefix of the announcement keys; the host name follows."""

ANNOUNCE_TTL_MS = 120_000
"""Time in milliseconds until an announcement expires if it is not renewed.

With 350 entries, each one reads the list and renews its announcement at
intervals of up to 44 s. A lost response or a store outage of one minute must
not remove an entry.
"""

DEFAULT_TIMEOUT_MS = 1_000
"""Request timeout; the store responds within 4 ms, or 240 ms when slow."""

_MS_PER_S = 1000.0
_PROBE_KEY = 'probe'
"""A key that does not exist, so that the response is small."""
_RETRY_HINT = 'Retry later; the status reports the platform as down.'

_DEFINITE_ERRORS = (
    store_errors.ConditionFailed,
    store_errors.HistoryCompacted,
    store_errors.LeaseExpired,
)
"""Errors that an available store responds with."""

Result = typing.TypeVar('Result')

logger = structlog.get_logger(__name__)


@attrs.frozen
class StoreSettings:
    """Connection settings of the store.

    Attributes
    ----------
    address : str
        ``ip:port`` of the store.
    timeout_ms : int
        Request timeout in milliseconds.
    gate : GateSettings
        Rate limit and backoff.
    """

    address: str
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    gate: gate.GateSettings = attrs.field(factory=gate.GateSettings)


@attrs.frozen
class _Announcement:
    """Value stored for an announced entry."""

    failure_domain: str
    peer_address: str


@attrs.frozen
class _Position:
    """Position from which the next watch of a key continues.

    Attributes
    ----------
    version : int
        Version of the key that the watcher already has.
    revision : int
        Store revision up to which the key has no later version.
    """

    version: int
    revision: int


class StorePlatform:
    """Client of the store; create it inside a running event loop.

    A ``put`` that raises ``PlatformError`` was not sent or was rejected and
    will not take effect. Any other uncertain outcome is ``WriteUnknown``.

    Parameters
    ----------
    settings : StoreSettings
        Address and limits.
    clock : thornspool.clock.Clock
        Clock for the rate limit and the backoff.
    draw : callable
        Returns random numbers from 0 to 1, for jitter.

    Attributes
    ----------
    calls : collections.Counter of str
        Number of calls sent, by kind: get, put, watch, announce, hosts.
    errors : collections.Counter of str
        Number of calls by kind that got no response or were not sent
        because of the backoff or the rate limit.
    """

    def __init__(
        self,
        settings: StoreSettings,
        clock: clock_module.Clock,
        draw: Callable[[], float],
    ) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.errors: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._gate = gate.Gate(settings.gate, draw)
        self._count_entries: Callable[[], int] = lambda: 0
        self._on_outage: Callable[[], None] = lambda: None
        self._on_recovery: Callable[[], None] = lambda: None
        self._session = transfers.Session()
        self._store = store_module.Store(
            self._session, settings.address, settings.timeout_ms
        )
        self._positions: dict[str, _Position] = {}
        self._lease: int | None = None

    def close(self) -> None:
        """Close every connection."""
        self._session.close()

    def set_outage_callbacks(
        self,
        count_entries: Callable[[], int],
        on_outage: Callable[[], None],
        on_recovery: Callable[[], None],
    ) -> None:
        """Set the callbacks that count entries and report outages."""
        self._count_entries = count_entries
        self._on_outage = on_outage
        self._on_recovery = on_recovery

    def compute_backoff_ms(self) -> int | None:
        """Return the remaining backoff in milliseconds, or None."""
        return self._gate.compute_backoff_ms(self._clock.now())

    def end_backoff(self) -> None:
        """End the backoff, so that the next call is sent immediately."""
        self._gate.end_backoff()

    async def probe(self) -> None:
        """Call the store to check that it responds."""
        await self.get(_PROBE_KEY)

    async def get(self, key: str) -> ports.Versioned:
        """Read a key; version 0 and an empty value if it does not exist."""
        item = await self._read(
            'get', lambda: self._store.read(f'{PREFIX}{key}')
        )
        return _convert(item)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        """Write a key if its version is the expected one."""
        name = f'{PREFIX}{key}'
        put = store_module.Put(name, value)
        try:
            revision = await self._send(
                'put',
                lambda: self._store.write({name: expected_version}, [put]),
            )
        except store_errors.ConditionFailed:
            return ports.WriteConflict()
        except store_errors.StoreOutcomeUnknown:
            return ports.WriteUnknown()
        except store_errors.StoreError as error:
            raise _build_error('put', error) from error
        return ports.WriteDone(revision)

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> ports.Versioned | None:
        """Wait for a newer version of a key; None after the timeout."""
        # During a backoff this call is the probe, and all other calls are
        # rejected until it ends. A watch that blocks for up to 20 s would
        # cause actions to be rejected while the store is available again,
        # so the probe does not wait for a change.
        if self._gate.is_backing_off:
            timeout_ms = 0
        position = self._positions.get(key)
        if position is None or position.version != after_version:
            newer = await self._read_for_watch(key, after_version)
            if newer is not None:
                return newer
            position = self._positions[key]
        name = f'{PREFIX}{key}'
        try:
            changes = await self._send(
                'watch',
                lambda: self._store.watch(name, position.revision, timeout_ms),
            )
        except store_errors.HistoryCompacted:
            return await self._read_for_watch(key, after_version)
        except store_errors.StoreError as error:
            raise _build_error('watch', error) from error
        if changes.revision < position.revision:
            # The store was restored to an earlier state and reuses its
            # revisions. Changes up to the old revision would be missed.
            return await self._read_for_watch(key, after_version)
        return self._select_newer(key, after_version, changes)

    async def announce(self, own: ports.Host) -> None:
        """Add an entry to the list of hosts, or renew its announcement."""
        lease = self._lease
        if lease is not None:
            try:
                await self._send(
                    'announce', lambda: self._store.renew_lease(lease)
                )
            except store_errors.LeaseExpired:
                self._lease = None
            except store_errors.StoreError as error:
                raise _build_error('announcement', error) from error
            else:
                return
        granted = await self._read(
            'announce', lambda: self._store.grant_lease(ANNOUNCE_TTL_MS)
        )
        value = msgspec.json.encode(
            _Announcement(own.failure_domain, own.peer_address)
        )
        put = store_module.Put(
            f'{ENTRIES_PREFIX}{own.name}', value, granted.id
        )
        await self._read('announce', lambda: self._store.write({}, [put]))
        self._lease = granted.id

    async def list_hosts(self) -> tuple[ports.Host, ...]:
        """Read the hosts of entries and targets."""
        entries = await self._read(
            'hosts', lambda: self._store.read_all(ENTRIES_PREFIX)
        )
        servers = await self._read(
            'hosts', lambda: self._store.read_all(documents.SERVERS_PREFIX)
        )
        hosts = [
            *(_decode_entry(item) for item in entries.items),
            *(_decode_server(item) for item in servers.items),
        ]
        return tuple(host for host in hosts if host is not None)

    async def _read_for_watch(
        self, key: str, after_version: int
    ) -> ports.Versioned | None:
        """Read a key and store the position for its next watch."""
        changes = await self._read(
            'watch', lambda: self._store.read_all(f'{PREFIX}{key}')
        )
        return self._select_newer(key, after_version, changes)

    def _select_newer(
        self, key: str, after_version: int, changes: store_module.Changes
    ) -> ports.Versioned | None:
        """Return the latest version of a key if it is newer than a version."""
        self._positions[key] = _Position(after_version, changes.revision)
        items = [
            item for item in changes.items if item.key == f'{PREFIX}{key}'
        ]
        if not items or items[-1].revision <= after_version:
            return None
        newest = items[-1]
        self._positions[key] = _Position(newest.revision, changes.revision)
        return _convert(newest)

    async def _read(
        self, kind: str, call: Callable[[], Awaitable[Result]]
    ) -> Result:
        try:
            return await self._send(kind, call)
        except store_errors.StoreError as error:
            raise _build_error(kind, error) from error

    async def _send(
        self, kind: str, call: Callable[[], Awaitable[Result]]
    ) -> Result:
        """Pass the gate, send a call and record its result in the gate."""
        try:
            delay_ms = self._gate.admit(self._clock.now())
        except exceptions.PlatformError:
            self.errors[kind] += 1
            raise
        try:
            if delay_ms:
                await asyncio.sleep(delay_ms / _MS_PER_S)
            self.calls[kind] += 1
            result = await call()
        except _DEFINITE_ERRORS:
            self._record_success()
            raise
        except store_errors.StoreError:
            self._record_failure(kind)
            raise
        except asyncio.CancelledError:
            self._gate.release()
            raise
        self._record_success()
        return result

    def _record_success(self) -> None:
        was_backing_off = self._gate.is_backing_off
        self._gate.record_success(self._count_entries())
        if was_backing_off:
            self._on_recovery()

    def _record_failure(self, kind: str) -> None:
        self.errors[kind] += 1
        self._gate.record_failure(self._clock.now())
        if self._gate.is_backing_off:
            self._on_outage()


def _convert(item: store_module.Item | None) -> ports.Versioned:
    if item is None or item.value is None:
        return ports.Versioned(b'', 0)
    return ports.Versioned(item.value, item.revision)


def _decode_entry(item: store_module.Item) -> ports.Host | None:
    if item.value is None:
        return None
    name = item.key.removeprefix(ENTRIES_PREFIX)
    try:
        read = decoding.decode_json(item.value, _Announcement)
    except decoding.DecodeError as error:
        logger.warning('entry_ignored', key=item.key, reason=str(error))
        return None
    return ports.Host(
        name, read.failure_domain, ports.HostState.LIVE, read.peer_address
    )


def _decode_server(item: store_module.Item) -> ports.Host | None:
    if item.value is None:
        return None
    server = documents.decode_server(item.key, item.value)
    if server is None:
        return None
    state = ports.HostState.LIVE
    if server.draining:
        state = ports.HostState.LEAVING
    return ports.Host(server.id, server.failure_domain, state)


def _build_error(
    kind: str, error: store_errors.StoreError
) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f'The platform did not complete a {kind} call: {error}.', _RETRY_HINT
    )
