"""The member table, with cached digests and summaries."""

from __future__ import annotations

import struct
import typing

import xxhash

from thornspool.domain.membership import messages

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from thornspool.domain.membership import records

BUCKETS = 32
_SHORT_MASK = (1 << 32) - 1
_DIGESTS = struct.Struct(f'>{BUCKETS}Q')


class View:
    """Records by incarnation, this process included.

    Parameters
    ----------
    own : Record
        Record of this process.

    Attributes
    ----------
    revision : int
        Incremented with each change.
    """

    def __init__(self, own: records.Record) -> None:
        self.revision = 0
        self._own = own.incarnation
        self._records: dict[str, records.Record] = {}
        self._digests = [0] * BUCKETS
        self._live: tuple[str, ...] | None = None
        self._applied: messages.Applied | None = None
        self._digest = 0
        self.put(own)

    @property
    def own(self) -> records.Record:
        """Record of this process."""
        return self._records[self._own]

    def __iter__(self) -> Iterator[records.Record]:
        return iter(self._records.values())

    def find(self, incarnation: str) -> records.Record | None:
        """Return the record of a member, if there is one."""
        return self._records.get(incarnation)

    def put(self, record: records.Record) -> None:
        """Add or replace a record."""
        known = self._records.get(record.incarnation)
        self._toggle_digest(known)
        self._toggle_digest(record)
        self._records[record.incarnation] = record
        self._applied = None
        self.revision += 1
        if known is None or known.is_listed != record.is_listed:
            self._live = None

    def remove(self, incarnation: str) -> None:
        """Remove a member."""
        self._toggle_digest(self._records.pop(incarnation))
        self._live = None
        self._applied = None
        self.revision += 1

    def list_live(self) -> tuple[str, ...]:
        """Return the sorted incarnations of live members."""
        if self._live is None:
            self._live = tuple(
                sorted(
                    record.incarnation for record in self if record.is_listed
                )
            )
            self._digest = _hash('\n'.join(self._live))
        return self._live

    def pack_digests(self) -> bytes:
        """Return the digests of the live records by bucket."""
        return _DIGESTS.pack(*self._digests)

    def compare_digests(self, packed: bytes) -> tuple[int, ...]:
        """Return the buckets that differ from another table.

        Parameters
        ----------
        packed : bytes
            Digests of the other table. With any other length, all buckets
            count as different.
        """
        if len(packed) != _DIGESTS.size:
            return tuple(range(BUCKETS))
        pairs = zip(self._digests, _DIGESTS.unpack(packed), strict=True)
        return tuple(i for i, (own, other) in enumerate(pairs) if own != other)

    def list_bucket_records(
        self, buckets: tuple[int, ...]
    ) -> tuple[records.Record, ...]:
        """Return the records in the given buckets."""
        wanted = frozenset(buckets)
        return tuple(
            record for record in self if _choose_bucket(record) in wanted
        )

    def summarize_versions(self) -> messages.Applied:
        """Return the members on which the highest version is in force."""
        if self._applied is None:
            self._applied = self._build_applied()
        return self._applied

    def list_up_to_date(self, applied: messages.Applied) -> tuple[str, ...]:
        """Return the members that another's summary marks as up to date.

        Returns
        -------
        tuple of str
            Empty when the other's list of live members differs.
        """
        live = self.list_live()
        if applied.view != self._digest:
            return ()
        if not applied.bits:
            return live
        bits = int.from_bytes(applied.bits, 'little')
        return tuple(name for i, name in enumerate(live) if bits >> i & 1)

    def _build_applied(self) -> messages.Applied:
        live = self.list_live()
        versions = [self._records[name].version for name in live]
        highest = max(versions, default=0)
        bits = 0
        for i, version in enumerate(versions):
            if version == highest:
                bits |= 1 << i
        packed = b''
        if bits != (1 << len(live)) - 1:
            packed = bits.to_bytes((len(live) + 7) // 8, 'little')
        return messages.Applied(highest, self._digest, packed)

    def _toggle_digest(self, record: records.Record | None) -> None:
        if record is None or not record.is_listed:
            return
        self._digests[_choose_bucket(record)] ^= _digest(record)


def compute_short_digest(incarnation: str) -> int:
    """Return a 32-bit digest of an incarnation."""
    return _hash(incarnation) & _SHORT_MASK


def _choose_bucket(record: records.Record) -> int:
    return _hash(record.incarnation) % BUCKETS


def _digest(record: records.Record) -> int:
    text = (
        f'{record.incarnation} {record.status} {record.counter} '
        f'{record.leaving}'
    )
    return _hash(text)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
