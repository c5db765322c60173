"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
import collections
import typing
import urllib.parse

import attrs
import msgspec

from thornspool import decoding
from thornspool.adapters import exceptions as transfer_errors
from thornspool.adapters import transfers
from thornspool.platform import exceptions

CALL_TIMEOUT_MS = 1_500
"""Longest time for a response.

The store responds in 4 ms, or about 60 times that when it is slow. A call
without a response must not delay the confirmation of freshness, whose
shortest bound is 5 s.
"""

WATCH_TIMEOUT_MARGIN_MS = 750
"""Time added to the wait of a watch for its response.

It is three times the latency of a slow store (4 ms x 60).
"""

IDLE_TIMEOUT_MS = 750
"""Longest time without a byte within a response.

An entry that is behind receives several versions of a large configuration,
which takes seconds on a slow link. With a limit on the whole response it
could never catch up.
"""

MAX_BODY_BYTES = 33_554_432
"""Largest body of a response in bytes.

It holds over twenty versions of the largest value that the store accepts
(1 MB, a third more as base64). A usual configuration has some hundred kB.
"""

MAX_DURATION_MS = 60_000
"""Longest time for a response whose bytes arrive within ``IDLE_TIMEOUT_MS``.

The largest response takes 38 s on the slowest link (7 Mbit/s).
"""

CONNECT_TIMEOUT_MS = 800
"""Longest time to connect; it is exceeded after two lost SYN packets."""

CALL_KINDS = (
    'kv-key',
    'kv-range',
    'kv-watch',
    'kv-txn',
    'kv-lease',
    'kv-keep',
)
"""Names of the calls in request paths, logs and metrics."""

_JSON = (('Content-Type', 'application/json'),)

Body = typing.TypeVar('Body')

_OK = 200
_NOT_FOUND = 404
_CONDITION_FAILED = 412
_GONE = 410
_SERVER_ERROR = 500
_UNAVAILABLE = 503


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ''
    created: int = 0
    lease: int = 0
    tombstone: bool = False


class _RangePage(msgspec.Struct):
    as_of: int
    items: list[_Item] = []
    has_more: bool = False


class _WatchResult(msgspec.Struct):
    as_of: int
    events: list[_Item] = []


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: int


class _WriteResult(msgspec.Struct):
    revision: int


@attrs.frozen
class Item:
    """A key as it was at a revision.

    Attributes
    ----------
    key : str
        Name of the key.
    revision : int
        Store revision of its last change.
    value : bytes or None
        None for a deleted key.
    lease : int
        Lease with which the key expires; 0 for none.
    """

    key: str
    revision: int
    value: bytes | None
    lease: int = 0


@attrs.frozen
class Changes:
    """Items, and the store revision up to which they are complete."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class Put:
    """A value to write; with ``lease`` 0 it does not expire."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Lease:
    """A granted lease; ``ttl_ms`` is its duration in milliseconds."""

    id: int
    ttl_ms: int


class Store:
    """Client of the store that sends each call at most once.

    Parameters
    ----------
    session : transfers.Session
        Executes the transfers.
    address : str
        ``ip:port`` of the store.
    timeout_ms : int, optional
        Longest time for a response, in milliseconds.

    Attributes
    ----------
    calls : collections.Counter of str
        Number of calls sent, by the names of ``CALL_KINDS``.
    failures : int
        Number of calls without a complete response.
    """

    def __init__(
        self,
        session: transfers.Session,
        address: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._session = session
        self._base_url = f'http://{address}'
        self._timeout_ms = timeout_ms
        self.calls: collections.Counter[str] = collections.Counter()
        self.failures = 0

    async def read(self, key: str) -> Item | None:
        """Read one key; returns None if it does not exist."""
        try:
            item = await self._get('/v1/kv-key', {'key': key}, _Item)
        except exceptions.KeyNotFound:
            return None
        return _convert_item(item)

    async def read_all(self, prefix: str) -> Changes:
        """Read all keys under a prefix.

        Pages are not a consistent snapshot. The returned revision is that
        of the first page, so a watch from there includes all changes made
        while later pages were read.
        """
        items: list[Item] = []
        revision = 0
        after = ''
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = await self._get('/v1/kv-range', query, _RangePage)
            revision = revision or page.as_of
            items.extend(_convert_item(item) for item in page.items)
            if not page.has_more or not page.items:
                return Changes(tuple(items), revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes after a revision.

        Parameters
        ----------
        prefix : str
            Prefix of the keys to watch.
        after : int
            Revision after which changes are returned.
        wait_ms : int
            Longest time for which the store waits for a change, in
            milliseconds.

        Returns
        -------
        Changes
            The changes; empty if there were none in time.

        Raises
        ------
        exceptions.HistoryCompacted
            If the store no longer keeps these changes; the caller must
            read all keys again.
        """
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(wait_ms),
        }
        watched = await self._get(
            '/v1/kv-watch',
            query,
            _WatchResult,
            wait_ms + WATCH_TIMEOUT_MARGIN_MS,
        )
        items = tuple(_convert_item(item) for item in watched.events)
        return Changes(items, watched.as_of)

    async def write(
        self,
        conditions: dict[str, int],
        puts: typing.Sequence[Put] = (),
        deletes: typing.Sequence[str] = (),
    ) -> int:
        """Write atomically if all preconditions hold.

        Parameters
        ----------
        conditions : dict of str to int
            Revision that each key must have; 0 if it must not exist.
        puts : sequence of Put
            Values to write.
        deletes : sequence of str
            Keys to delete.

        Returns
        -------
        int
            Revision of the write.

        Raises
        ------
        exceptions.ConditionFailed, exceptions.LeaseExpired
            If a precondition failed or a lease has expired; nothing was
            written.
        exceptions.StoreOutcomeUnknown
            If no complete response arrived; the write may take effect now
            or later.
        """
        body = {
            'expected': [
                {'key': key, 'revision': revision}
                for key, revision in conditions.items()
            ],
            'puts': [
                {
                    'key': put.key,
                    'value': base64.b64encode(put.value).decode(),
                    'lease': put.lease,
                }
                for put in puts
            ],
            'deletes': list(deletes),
        }
        response = await self._call('POST', '/v1/kv-txn', body)
        if response.status == _CONDITION_FAILED:
            raise exceptions.ConditionFailed(
                'The revision of a key has changed.'
            )
        if response.status == _NOT_FOUND:
            raise exceptions.LeaseExpired('The lease has expired.')
        return _decode_body(response, _WriteResult).revision

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Open a lease; it starts when the store receives the call."""
        response = await self._call('POST', '/v1/kv-lease', {'ttl_ms': ttl_ms})
        granted = _decode_body(response, _Lease)
        return Lease(granted.lease, granted.ttl_ms)

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises ``LeaseExpired`` if it has expired."""
        response = await self._call('POST', f'/v1/kv-keep/{lease}', None)
        if response.status == _NOT_FOUND:
            raise exceptions.LeaseExpired('The lease has expired.')
        _raise_for_status(response)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        body_type: type[Body],
        timeout_ms: int = 0,
    ) -> Body:
        url = f'{self._base_url}{path}?{urllib.parse.urlencode(query)}'
        request = transfers.Request(
            url,
            connect_timeout_ms=min(CONNECT_TIMEOUT_MS, self._timeout_ms),
            timeout_ms=timeout_ms or self._timeout_ms,
            idle_timeout_ms=IDLE_TIMEOUT_MS,
            max_duration_ms=(timeout_ms or self._timeout_ms) + MAX_DURATION_MS,
            dedicated_connection=False,
            max_body_bytes=MAX_BODY_BYTES,
        )
        response = await self._fetch(request)
        if response.status == _GONE:
            raise exceptions.HistoryCompacted(
                'The store no longer keeps the changes after this revision.'
            )
        if response.status == _NOT_FOUND:
            raise exceptions.KeyNotFound('The key does not exist.')
        return _decode_body(response, body_type)

    async def _call(
        self, method: str, path: str, body: object
    ) -> transfers.Response:
        # Writes use a new connection each. libcurl resends a request when a
        # reused connection breaks, and a resent conditional write fails
        # because its first attempt has changed the revision.
        return await self._fetch(
            transfers.Request(
                self._base_url + path,
                method,
                _JSON,
                b'' if body is None else msgspec.json.encode(body),
                min(CONNECT_TIMEOUT_MS, self._timeout_ms),
                self._timeout_ms,
                max_body_bytes=MAX_BODY_BYTES,
            )
        )

    async def _fetch(self, request: transfers.Request) -> transfers.Response:
        self.calls[_extract_call_kind(request.url)] += 1
        try:
            return await self._session.fetch(request)
        except transfer_errors.NotSent as error:
            self.failures += 1
            raise exceptions.StoreRefused(str(error)) from error
        except transfer_errors.ResponseLost as error:
            self.failures += 1
            raise exceptions.StoreOutcomeUnknown(str(error)) from error


def _extract_call_kind(url: str) -> str:
    """Return the name of a call, the second segment of its path."""
    return urllib.parse.urlsplit(url).path.split('/')[2]


def _raise_for_status(response: transfers.Response) -> None:
    if response.status == _OK:
        return
    reason = f'The store returned status {response.status}.'
    if response.status >= _SERVER_ERROR and response.status != _UNAVAILABLE:
        # Only 503 states that the call had no effect. After any other
        # server error a write may have been applied, so its caller must
        # check.
        raise exceptions.StoreOutcomeUnknown(reason)
    raise exceptions.StoreRefused(reason)


def _decode_body(response: transfers.Response, body_type: type[Body]) -> Body:
    _raise_for_status(response)
    try:
        return decoding.decode_json(response.body, body_type)
    except decoding.DecodeError as error:
        raise exceptions.StoreOutcomeUnknown(
            f'The response of the store is malformed: {error}.'
        ) from error


def _convert_item(item: _Item) -> Item:
    if item.tombstone:
        return Item(item.key, item.revision, None)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Another program wrote this value. Decoders log and skip an empty
        # one.
        value = b''
    return Item(item.key, item.revision, value, item.lease)
