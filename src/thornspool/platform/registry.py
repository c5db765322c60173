"""Registrations of entries and the leader key in the store."""

from __future__ import annotations

import contextlib
import typing

import msgspec
import structlog

from thornspool import decoding
from thornspool.application.routing import exceptions as routing_errors
from thornspool.domain.entries import leadership
from thornspool.domain.entries import messages
from thornspool.platform import exceptions
from thornspool.platform import store as store_module

if typing.TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

PREFIX = 'thornspool/'
ENTRIES_PREFIX = PREFIX + 'entries/'
LEADER_KEY = PREFIX + 'lead'
VERDICTS_PREFIX = PREFIX + 'quarantine/'
STARTED_KEY = PREFIX + 'started'
"""Key without a lease, which shows that entries have run before.

Registrations do not show it: their leases end while the store is down.
"""

logger = structlog.get_logger(__name__)


class _Record(msgspec.Struct):
    host: str
    incarnation: str
    failure_domain: str = ''
    callers: str = ''
    peers: str = ''


class Registry:
    """Writes registrations and the leader key to the store.

    Parameters
    ----------
    store : store_module.Store
        Client of the store.
    """

    def __init__(self, store: store_module.Store) -> None:
        self._store = store

    async def open_lease(self, ttl_ms: int) -> int:
        """Open a lease of ``ttl_ms`` milliseconds; returns its id."""
        with _translate_errors():
            return (await self._store.grant_lease(ttl_ms)).id

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        with _translate_errors():
            await self._store.renew_lease(lease)

    async def register(self, record: messages.Record, lease: int) -> None:
        """Write the registration of the local entry under a lease."""
        key = ENTRIES_PREFIX + record.host
        put = store_module.Put(key, _encode(record), lease)
        with _translate_errors():
            await self._store.write({}, [put])

    async def record_start(self) -> None:
        """Write the key which shows that entries have run, if it is new."""
        put = store_module.Put(STARTED_KEY, b'{}')
        with _translate_errors():
            await self._store.write({STARTED_KEY: 0}, [put])

    async def claim_leadership(
        self, record: messages.Record, lease: int, revision: int
    ) -> int:
        """Write the leader key if its revision is unchanged.

        Returns the revision of the write.
        """
        put = store_module.Put(LEADER_KEY, _encode(record), lease)
        with _translate_errors():
            return await self._store.write({LEADER_KEY: revision}, [put])

    async def keep_verdict(
        self, fingerprint: str, surplus: Sequence[str]
    ) -> None:
        """Write the verdict on a request, and delete surplus ones."""
        key = VERDICTS_PREFIX + fingerprint
        with _translate_errors():
            await self._store.write(
                {key: 0},
                [store_module.Put(key, b'{}')],
                [VERDICTS_PREFIX + name for name in surplus],
            )

    async def release_leadership(self, revision: int) -> None:
        """Delete the leader key if its revision is unchanged."""
        with _translate_errors():
            await self._store.write(
                {LEADER_KEY: revision}, deletes=[LEADER_KEY]
            )


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except exceptions.LeaseExpired as error:
        raise routing_errors.LeaseLost(str(error)) from error
    except exceptions.ConditionFailed as error:
        raise routing_errors.RegistryConflict(str(error)) from error
    except exceptions.StoreError as error:
        raise routing_errors.RegistryUnavailable(str(error)) from error


def _encode(record: messages.Record) -> bytes:
    return msgspec.json.encode(
        _Record(
            record.host,
            record.incarnation,
            record.failure_domain,
            record.callers,
            record.peers,
        )
    )


def decode_record(key: str, raw: bytes) -> messages.Record | None:
    """Decode a registration; malformed ones are logged and give None."""
    document = _decode(key, raw)
    if document is None:
        return None
    return messages.Record(
        document.host,
        document.incarnation,
        document.failure_domain,
        document.callers,
        document.peers,
    )


def decode_leader(raw: bytes, revision: int) -> leadership.Holder | None:
    """Decode the leader key; a malformed value is logged and gives None."""
    document = _decode(LEADER_KEY, raw)
    if document is None:
        return None
    return leadership.Holder(document.host, document.incarnation, revision)


def _decode(key: str, raw: bytes) -> _Record | None:
    try:
        return decoding.decode_json(raw, _Record)
    except decoding.DecodeError as error:
        logger.warning('own_key_malformed', key=key, reason=str(error))
        return None
