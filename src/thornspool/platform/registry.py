"""Keys of this project in the store."""

from __future__ import annotations

import contextlib
import typing

import msgspec
import structlog

from thornspool.application.routing import exceptions as routing_errors
from thornspool.domain.entries import leadership
from thornspool.domain.entries import messages
from thornspool.platform import exceptions
from thornspool.platform import store as store_module

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

PREFIX = 'thornspool/'
ENTRIES_PREFIX = PREFIX + 'entries/'
LEAD_KEY = PREFIX + 'lead'

logger = structlog.get_logger(__name__)


class _Record(msgspec.Struct):
    host: str
    incarnation: str
    failure_domain: str = ''
    callers: str = ''
    peers: str = ''


class Registry:
    """Registrations and the lead in the store.

    Parameters
    ----------
    store : store_module.Store
        The store.
    """

    def __init__(self, store: store_module.Store) -> None:
        self._store = store

    async def open_lease(self, ttl_ms: int) -> int:
        """Open a lease."""
        with _translating():
            return (await self._store.grant_lease(ttl_ms)).id

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        with _translating():
            await self._store.renew_lease(lease)

    async def register(self, record: messages.Record, lease: int) -> None:
        """Write the entry's own registration."""
        key = ENTRIES_PREFIX + record.host
        put = store_module.Put(key, _encode(record), lease)
        with _translating():
            await self._store.write({}, [put])

    async def claim_lead(
        self, record: messages.Record, lease: int, revision: int
    ) -> int:
        """Write the key of the lead over a revision."""
        put = store_module.Put(LEAD_KEY, _encode(record), lease)
        with _translating():
            return await self._store.write({LEAD_KEY: revision}, [put])

    async def release_lead(self, revision: int) -> None:
        """Delete the key of the lead, if it still has a revision."""
        with _translating():
            await self._store.write({LEAD_KEY: revision}, deletes=[LEAD_KEY])


@contextlib.contextmanager
def _translating() -> Iterator[None]:
    try:
        yield
    except exceptions.LeaseEnded as error:
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
    """Decode a registration; None for a malformed one, which is logged."""
    read = _decode(key, raw)
    if read is None:
        return None
    return messages.Record(
        read.host,
        read.incarnation,
        read.failure_domain,
        read.callers,
        read.peers,
    )


def decode_holder(raw: bytes, revision: int) -> leadership.Holder | None:
    """Decode who holds the lead; None for a malformed one."""
    read = _decode(LEAD_KEY, raw)
    if read is None:
        return None
    return leadership.Holder(read.host, read.incarnation, revision)


def _decode(key: str, raw: bytes) -> _Record | None:
    try:
        return msgspec.json.decode(raw, type=_Record)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        logger.warning('own_key_malformed', key=key, reason=str(error))
        return None
