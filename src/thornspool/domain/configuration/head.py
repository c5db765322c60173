"""The head, whose replacement by compare-and-swap accepts a publication."""

from __future__ import annotations

import zlib

import attrs
import msgspec

from thornspool import decoding
from thornspool.domain.configuration import exceptions

HEAD_KEY = 'configuration/head'
FORMAT_VERSION = 1
BUCKET_COUNT = 256
HISTORY_LENGTH = 128
RETIRED_LENGTH = 128
MAX_KEYS_PER_RECORD = 8


@attrs.frozen
class Record:
    """One accepted publication.

    Attributes
    ----------
    id : str
        Id of the publication; shows whether a write of the head whose
        response was lost took effect.
    version : int
        Version of the head that contains it.
    author : str
        Author of the publication.
    wall : int
        Time of planning, in milliseconds since the Unix epoch.
    message : str
        Message of the author.
    changed : tuple of str
        Keys of the first ``MAX_KEYS_PER_RECORD`` changed documents, as
        ``kind/name``.
    changed_count : int
        Number of all changed documents.
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
    """One version of the configuration as digests of its buckets.

    Attributes
    ----------
    version : int
        Incremented by each accepted publication; 0 before the first.
    buckets : tuple of str
        Digest of each bucket; empty string for an empty bucket.
    history : tuple of Record
        Records of the last ``HISTORY_LENGTH`` publications, oldest first.
    retired : tuple of str
        Last ``RETIRED_LENGTH`` digests that previous versions used, oldest
        first; the buckets of older digests are cleared in the platform.
    format : int
        Format version of the encoded head.
    """

    version: int = 0
    buckets: tuple[str, ...] = ('',) * BUCKET_COUNT
    history: tuple[Record, ...] = ()
    retired: tuple[str, ...] = ()
    format: int = FORMAT_VERSION

    @property
    def history_base_version(self) -> int:
        """Latest version that the history does not cover."""
        if not self.history:
            return self.version
        return self.history[0].version - 1

    def find_record(self, publication_id: str) -> Record | None:
        """Return a publication's record, None if it is not in the history."""
        for record in reversed(self.history):
            if record.id == publication_id:
                return record
        return None


def encode_head(head: Head) -> bytes:
    """Encode a head as compressed JSON."""
    return zlib.compress(msgspec.json.encode(head))


def decode_head(value: bytes) -> Head:
    """Decode a head; empty bytes mean that nothing was published yet.

    Raises
    ------
    MalformedValue
        If the bytes cannot be decoded or have another format version.
    """
    if not value:
        return Head()
    try:
        with decoding.translate_errors():
            head = decoding.decode_json(zlib.decompress(value), Head)
    except decoding.DecodeError as error:
        raise exceptions.MalformedValue(
            f'The configuration head cannot be decoded: {error}.',
            'Restore the key configuration/head in the platform.',
        ) from error
    if head.format != FORMAT_VERSION:
        raise exceptions.MalformedValue(
            f'The configuration head has format version {head.format}.',
            f'This entry supports version {FORMAT_VERSION}; upgrade it.',
        )
    return head
