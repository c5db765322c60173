"""The head: the one value whose replacement accepts a publication."""

from __future__ import annotations

import zlib

import attrs
import msgspec

from thornspool.domain.configuration import exceptions

HEAD_KEY = 'configuration/head'
FORMAT = 1
BUCKET_COUNT = 256
HISTORY_LENGTH = 128
RETIRED_LENGTH = 128
NAMES_IN_RECORD = 8


@attrs.frozen
class Record:
    """One accepted publication.

    Attributes
    ----------
    id : str
        The publication's id, by which a lost answer is settled.
    version : int
        Version of the head that accepted it.
    author : str
        Who published it.
    wall : int
        Milliseconds since the Unix epoch at which it was planned.
    message : str
        The author's note.
    changed : tuple of str
        The first ``NAMES_IN_RECORD`` changed documents, ``kind/name``.
    changed_count : int
        How many documents it changed in all.
    """

    id: str
    version: int
    author: str
    wall: int
    message: str
    changed: tuple[str, ...]
    changed_count: int


@attrs.frozen
class Head:
    """One version of the configuration, by reference.

    Attributes
    ----------
    version : int
        Grows by one with each accepted publication; 0 before the first.
    buckets : tuple of str
        Digest of each bucket; empty text for an empty bucket.
    history : tuple of Record
        The last ``HISTORY_LENGTH`` publications, oldest first.
    retired : tuple of str
        Digests that former versions used, oldest first; what is pushed out
        at the front is emptied in the platform.
    format : int
        Layout of this value.
    """

    version: int = 0
    buckets: tuple[str, ...] = ('',) * BUCKET_COUNT
    history: tuple[Record, ...] = ()
    retired: tuple[str, ...] = ()
    format: int = FORMAT

    @property
    def horizon(self) -> int:
        """Version up to which the history no longer tells anything."""
        if not self.history:
            return self.version
        return self.history[0].version - 1

    def find_record(self, publication_id: str) -> Record | None:
        """Return the record of a publication, None if not in the history."""
        for record in reversed(self.history):
            if record.id == publication_id:
                return record
        return None


def encode_head(head: Head) -> bytes:
    """Encode a head as compressed JSON."""
    return zlib.compress(msgspec.json.encode(head))


def decode_head(value: bytes) -> Head:
    """Decode a head; no bytes stand for the head before any publication.

    Raises
    ------
    MalformedValue
        If the bytes are damaged or of another format.
    """
    if not value:
        return Head()
    try:
        head = msgspec.json.decode(zlib.decompress(value), type=Head)
    except (zlib.error, msgspec.DecodeError) as error:
        raise exceptions.MalformedValue(
            f'The configuration head cannot be read: {error}.',
            'Restore configuration/head in the platform.',
        ) from error
    if head.format != FORMAT:
        raise exceptions.MalformedValue(
            f'The configuration head has format {head.format}.',
            f'This entry reads format {FORMAT}; upgrade it.',
        )
    return head
