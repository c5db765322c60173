"""The platform's port of the own interface over the platform's store.

Keys lie under a prefix of their own. A key's version is the store's revision
of its last change.
"""

from __future__ import annotations

import asyncio
import collections
import typing

import attrs
import msgspec
import structlog

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
"""Before every key: servers, operators and this project's entries on the
platform have keys of their own in the same store."""

ENTRIES_PREFIX = 'thornspool/peers/'
"""Before the names of hosts whose entries announced themselves."""

ANNOUNCE_TTL_MS = 120_000
"""Time that an entry stays in the list without being announced again.

350 entries read and announce every 44 s at most; one answer that is lost,
or a store that is away for a minute, must take nobody out.
"""

DEFAULT_TIMEOUT_MS = 1_000
"""Longest wait for an answer; the store takes 4 ms, and 240 ms when slow."""

_MS_PER_S = 1000.0
_PROBE_KEY = 'probe'
"""Does not exist, so that its answer is short."""
_TRY_LATER = 'Try again later; status shows the platform as down.'

_ANSWERS = (
    store_errors.ConditionFailed,
    store_errors.HistoryCompacted,
    store_errors.LeaseExpired,
)
"""Errors that a store which works answers with."""

Answer = typing.TypeVar('Answer')

logger = structlog.get_logger(__name__)


@attrs.frozen
class StoreSettings:
    """How the store is called.

    Attributes
    ----------
    address : str
        ``ip:port`` of the store.
    timeout_ms : int
        Longest time for an answer, in milliseconds.
    gate : GateSettings
        Budget and backoff.
    """

    address: str
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    gate: gate.GateSettings = attrs.field(factory=gate.GateSettings)


@attrs.frozen
class _Announcement:
    """Value of an entry in the list."""

    failure_domain: str
    peer_address: str


@attrs.frozen
class _Position:
    """Where the next watch of a key goes on.

    Attributes
    ----------
    version : int
        Version of the key that its watcher has.
    revision : int
        Store's revision up to which there is no later version of it.
    """

    version: int
    revision: int


class StorePlatform:
    """The platform's port; build it inside a running loop.

    A ``put`` that raises ``PlatformError`` was not sent or was refused, and
    will not take effect; every other doubt is ``WriteUnknown``.

    Parameters
    ----------
    settings : StoreSettings
        Address and bounds.
    clock : thornspool.clock.Clock
        Time of the budget and the backoff.
    draw : callable
        Returns random numbers from 0 to 1, for jitter.

    Attributes
    ----------
    calls : collections.Counter of str
        Calls sent, by kind: get, put, watch, announce, hosts.
    errors : collections.Counter of str
        Calls by kind that had no answer or were held back.
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
        self._note_failing: Callable[[], None] = lambda: None
        self._note_back: Callable[[], None] = lambda: None
        self._session = transfers.Session()
        self._store = store_module.Store(
            self._session, settings.address, settings.timeout_ms
        )
        self._positions: dict[str, _Position] = {}
        self._lease: int | None = None

    def close(self) -> None:
        """Close every connection."""
        self._session.close()

    def follow_outages(
        self,
        count_entries: Callable[[], int],
        note_failing: Callable[[], None],
        note_back: Callable[[], None],
    ) -> None:
        """Name what counts the entries and what is told of an outage."""
        self._count_entries = count_entries
        self._note_failing = note_failing
        self._note_back = note_back

    def read_backoff(self) -> int | None:
        """Return the milliseconds until a call may leave, if any is held."""
        return self._gate.read_backoff(self._clock.now())

    def end_backoff(self) -> None:
        """Let the next call leave at once."""
        self._gate.end_backoff()

    async def probe(self) -> None:
        """Call the store for its answer alone."""
        await self.get(_PROBE_KEY)

    async def get(self, key: str) -> ports.Versioned:
        """Read a key; version 0 and no bytes when it does not exist."""
        item = await self._read(
            'get', lambda: self._store.read(f'{PREFIX}{key}')
        )
        return _convert(item)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> ports.WriteResult:
        """Write a key if its version still is the expected one."""
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
        """Wait until a key is past a version; None when time is up."""
        # As a probe a watch would hold back every other call until it ends,
        # up to 20 s after the store is back: actions would be refused while
        # it answers. Without a wait the probe tells at once.
        if self._gate.is_backing_off:
            timeout_ms = 0
        position = self._positions.get(key)
        if position is None or position.version != after_version:
            found = await self._look(key, after_version)
            if found is not None:
                return found
            position = self._positions[key]
        name = f'{PREFIX}{key}'
        try:
            changes = await self._send(
                'watch',
                lambda: self._store.watch(name, position.revision, timeout_ms),
            )
        except store_errors.HistoryCompacted:
            return await self._look(key, after_version)
        except store_errors.StoreError as error:
            raise _build_error('watch', error) from error
        if changes.revision < position.revision:
            # The store was put back to an earlier state. Its revisions are
            # reached again, and changes until then would never be seen.
            return await self._look(key, after_version)
        return self._choose(key, after_version, changes)

    async def announce(self, own: ports.Host) -> None:
        """Put an entry into the list of hosts, or keep it there."""
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
        """Read the list of hosts of entries and of targets."""
        entries = await self._read(
            'hosts', lambda: self._store.read_all(ENTRIES_PREFIX)
        )
        servers = await self._read(
            'hosts', lambda: self._store.read_all(documents.SERVERS_PREFIX)
        )
        found = [
            *(_decode_entry(one) for one in entries.items),
            *(_decode_server(one) for one in servers.items),
        ]
        return tuple(one for one in found if one is not None)

    async def _look(
        self, key: str, after_version: int
    ) -> ports.Versioned | None:
        """Read a key and note where its watch goes on."""
        changes = await self._read(
            'watch', lambda: self._store.read_all(f'{PREFIX}{key}')
        )
        return self._choose(key, after_version, changes)

    def _choose(
        self, key: str, after_version: int, changes: store_module.Changes
    ) -> ports.Versioned | None:
        """Return the last version of a key past one, if there is any."""
        self._positions[key] = _Position(after_version, changes.revision)
        found = [one for one in changes.items if one.key == f'{PREFIX}{key}']
        if not found or found[-1].revision <= after_version:
            return None
        newest = found[-1]
        self._positions[key] = _Position(newest.revision, changes.revision)
        return _convert(newest)

    async def _read(
        self, kind: str, call: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        try:
            return await self._send(kind, call)
        except store_errors.StoreError as error:
            raise _build_error(kind, error) from error

    async def _send(
        self, kind: str, call: Callable[[], Awaitable[Answer]]
    ) -> Answer:
        """Pass the gate, send, and tell the gate what came of it."""
        try:
            wait = self._gate.enter(self._clock.now())
        except exceptions.PlatformError:
            self.errors[kind] += 1
            raise
        try:
            if wait:
                await asyncio.sleep(wait / _MS_PER_S)
            self.calls[kind] += 1
            answer = await call()
        except _ANSWERS:
            self._record_success()
            raise
        except store_errors.StoreError:
            self._record_failure(kind)
            raise
        except asyncio.CancelledError:
            self._gate.release()
            raise
        self._record_success()
        return answer

    def _record_success(self) -> None:
        was_backing_off = self._gate.is_backing_off
        self._gate.record_success(self._count_entries())
        if was_backing_off:
            self._note_back()

    def _record_failure(self, kind: str) -> None:
        self.errors[kind] += 1
        self._gate.record_failure(self._clock.now())
        if self._gate.is_backing_off:
            self._note_failing()


def _convert(item: store_module.Item | None) -> ports.Versioned:
    if item is None or item.value is None:
        return ports.Versioned(b'', 0)
    return ports.Versioned(item.value, item.revision)


def _decode_entry(item: store_module.Item) -> ports.Host | None:
    if item.value is None:
        return None
    name = item.key.removeprefix(ENTRIES_PREFIX)
    try:
        read = msgspec.json.decode(item.value, type=_Announcement)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
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
        f'The platform did not answer a {kind}: {error}.', _TRY_LATER
    )
