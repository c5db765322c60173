"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
import collections
import typing
import urllib.parse

import attrs
import msgspec

from thornspool.adapters import exceptions as transfer_errors
from thornspool.adapters import transfers
from thornspool.platform import exceptions

CALL_TIMEOUT_MS = 1_500
"""Longest wait for an answer.

The store answers in 4 ms and, when it is slow, in some 60 times that; a call
that it leaves without an answer must not hold up the proof of freshness,
whose shortest bound is 5 s.
"""

WATCH_SLACK_MS = 750
"""Longest wait for the answer to a watch, beyond what it was to wait; three
times what the store takes when it is slow (4 ms x 60)."""

PAUSE_MS = 750
"""Longest pause inside an answer.

An entry that fell behind gets several versions of a large configuration,
which take seconds on a slow link. A bound on the whole answer would keep it
from ever catching up.
"""

CONNECT_TIMEOUT_MS = 800
"""Longest wait for a connection: two lost opening packets are too many."""

CALL_KINDS = (
    'kv-key',
    'kv-range',
    'kv-watch',
    'kv-txn',
    'kv-lease',
    'kv-keep',
)
"""Names of calls, as they stand in their paths and in logs and metrics."""

_JSON = (('Content-Type', 'application/json'),)

Body = typing.TypeVar('Body')

_OK = 200
_NOT_FOUND = 404
_CONDITION_FAILED = 412
_HISTORY_GONE = 410
_SERVER_ERROR = 500
_UNAVAILABLE = 503


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ''
    created: int = 0
    lease: int = 0
    tombstone: bool = False


class _Range(msgspec.Struct):
    as_of: int
    items: list[_Item] = []
    has_more: bool = False


class _Watched(msgspec.Struct):
    as_of: int
    events: list[_Item] = []


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: int


class _Written(msgspec.Struct):
    revision: int


@attrs.frozen
class Item:
    """A key as it was at a revision.

    Attributes
    ----------
    key : str
        Its name.
    revision : int
        Store's revision of its last change.
    value : bytes or None
        None for a key that was deleted.
    lease : int
        The lease that it goes with; 0 for none.
    """

    key: str
    revision: int
    value: bytes | None
    lease: int = 0


@attrs.frozen
class Changes:
    """Items with the store's revision up to which they are complete."""

    items: tuple[Item, ...]
    revision: int


@attrs.frozen
class Put:
    """A value to write; ``lease`` 0 keeps it until it is deleted."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Lease:
    """A lease that was granted."""

    id: int
    ttl_ms: int


class Store:
    """Calls to the store; each is sent at most once.

    Parameters
    ----------
    session : transfers.Session
        Carries the calls.
    address : str
        ``ip:port``.
    timeout_ms : int, optional
        Longest wait for an answer, in milliseconds.

    Attributes
    ----------
    calls : collections.Counter of str
        Calls that left, by the names of ``CALL_KINDS``.
    failures : int
        Calls without a whole answer.
    """

    def __init__(
        self,
        session: transfers.Session,
        address: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> None:
        self._session = session
        self._base = f'http://{address}'
        self._timeout_ms = timeout_ms
        self.calls: collections.Counter[str] = collections.Counter()
        self.failures = 0

    async def read(self, key: str) -> Item | None:
        """Read one key; None when it does not exist."""
        try:
            item = await self._get('/v1/kv-key', {'key': key}, _Item)
        except exceptions.KeyUnknown:
            return None
        return _convert(item)

    async def read_all(self, prefix: str) -> Changes:
        """Read all keys under a prefix.

        Pages are no snapshot: the revision returned is that of the first
        page, so that a watch from there repeats what changed meanwhile.
        """
        items: list[Item] = []
        revision = 0
        after = ''
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = await self._get('/v1/kv-range', query, _Range)
            revision = revision or page.as_of
            items.extend(_convert(one) for one in page.items)
            if not page.has_more or not page.items:
                return Changes(tuple(items), revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """Wait for changes after a revision.

        Raises
        ------
        exceptions.HistoryLost
            When the changes are gone: read all keys again.
        """
        query = {
            'prefix': prefix,
            'after': str(after),
            'wait_ms': str(wait_ms),
        }
        watched = await self._get(
            '/v1/kv-watch', query, _Watched, wait_ms + WATCH_SLACK_MS
        )
        items = tuple(_convert(one) for one in watched.events)
        return Changes(items, watched.as_of)

    async def write(
        self,
        conditions: dict[str, int],
        puts: typing.Sequence[Put] = (),
        deletes: typing.Sequence[str] = (),
    ) -> int:
        """Write under conditions, all or nothing.

        Parameters
        ----------
        conditions : dict of str to int
            Revision that each key must have; 0 for no such key.
        puts : sequence of Put
            Values to write.
        deletes : sequence of str
            Keys to delete.

        Returns
        -------
        int
            Revision of the change.

        Raises
        ------
        exceptions.ConditionFailed, exceptions.LeaseEnded
            Nothing was written.
        exceptions.StoreUnanswered
            The change may have been made, or be made later.
        """
        body = {
            'expected': [
                {'key': key, 'revision': revision}
                for key, revision in conditions.items()
            ],
            'puts': [
                {
                    'key': one.key,
                    'value': base64.b64encode(one.value).decode(),
                    'lease': one.lease,
                }
                for one in puts
            ],
            'deletes': list(deletes),
        }
        answer = await self._call('POST', '/v1/kv-txn', body)
        if answer.status == _CONDITION_FAILED:
            raise exceptions.ConditionFailed('A key has changed.')
        if answer.status == _NOT_FOUND:
            raise exceptions.LeaseEnded('The lease has ended.')
        return _decode(answer, _Written).revision

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Open a lease; it runs from the arrival of the call."""
        answer = await self._call('POST', '/v1/kv-lease', {'ttl_ms': ttl_ms})
        granted = _decode(answer, _Lease)
        return Lease(granted.lease, granted.ttl_ms)

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raises ``LeaseEnded`` when it is unknown."""
        answer = await self._call('POST', f'/v1/kv-keep/{lease}', None)
        if answer.status == _NOT_FOUND:
            raise exceptions.LeaseEnded('The lease has ended.')
        _check(answer)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        kind: type[Body],
        timeout_ms: int = 0,
    ) -> Body:
        url = f'{self._base}{path}?{urllib.parse.urlencode(query)}'
        request = transfers.Request(
            url,
            connect_ms=min(CONNECT_TIMEOUT_MS, self._timeout_ms),
            total_ms=timeout_ms or self._timeout_ms,
            pause_ms=PAUSE_MS,
            own_connection=False,
        )
        answer = await self._fetch(request)
        if answer.status == _HISTORY_GONE:
            raise exceptions.HistoryLost('The history is gone.')
        if answer.status == _NOT_FOUND:
            raise exceptions.KeyUnknown('There is no such key.')
        return _decode(answer, kind)

    async def _call(
        self, method: str, path: str, body: object
    ) -> transfers.Answer:
        # Written on a connection of its own: libcurl repeats a request whose
        # kept connection broke, and a repeated conditional write fails by
        # its own first sending.
        return await self._fetch(
            transfers.Request(
                self._base + path,
                method,
                _JSON,
                b'' if body is None else msgspec.json.encode(body),
                min(CONNECT_TIMEOUT_MS, self._timeout_ms),
                self._timeout_ms,
            )
        )

    async def _fetch(self, request: transfers.Request) -> transfers.Answer:
        self.calls[_find_kind(request.url)] += 1
        try:
            return await self._session.fetch(request)
        except transfer_errors.NotSent as error:
            self.failures += 1
            raise exceptions.StoreRefused(str(error)) from error
        except transfer_errors.AnswerLost as error:
            self.failures += 1
            raise exceptions.StoreUnanswered(str(error)) from error


def _find_kind(url: str) -> str:
    """Find the name of a call, the second part of its path."""
    return urllib.parse.urlsplit(url).path.split('/')[2]


def _check(answer: transfers.Answer) -> None:
    if answer.status == _OK:
        return
    reason = f'The store answered {answer.status}.'
    if answer.status >= _SERVER_ERROR and answer.status != _UNAVAILABLE:
        # Only 503 says that nothing was done. After any other failure of
        # the store a write may stand, and its writer must look.
        raise exceptions.StoreUnanswered(reason)
    raise exceptions.StoreRefused(reason)


def _decode(answer: transfers.Answer, kind: type[Body]) -> Body:
    _check(answer)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise exceptions.StoreUnanswered(
            f'The answer of the store is malformed: {error}.'
        ) from error


def _convert(item: _Item) -> Item:
    if item.tombstone:
        return Item(item.key, item.revision, None)
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Another writer's bytes; its reader logs and skips what is empty.
        value = b''
    return Item(item.key, item.revision, value, item.lease)
