"""Buckets: groups of documents stored under the digest of their bytes."""

from __future__ import annotations

import hashlib
import typing
import zlib

import attrs
import msgspec
import xxhash

from thornspool.domain.configuration import documents
from thornspool.domain.configuration import exceptions
from thornspool.domain.configuration import head as heads

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

VALUE_LIMIT = 1_000_000
_DIGEST_BYTES = 16
_KEY_PREFIX = 'configuration/bucket/'


@attrs.frozen
class StoredDocument:
    """A document as a bucket holds it.

    Attributes
    ----------
    version : int
        Version of the head that last changed it.
    document : Document or None
        None for one that was removed. It stays until the history no longer
        covers the removal: without it, a publication based on an older
        version would bring the document back unnoticed.
    """

    version: int
    document: documents.Document | None


Bucket = dict[documents.DocumentKey, StoredDocument]


_OPTIONAL_TYPES: dict[documents.DocumentKind, typing.Any] = {
    kind: document_type | None
    for kind, document_type in documents.DOCUMENT_TYPES.items()
}


@attrs.frozen
class _Line:
    """One document in a bucket's bytes."""

    kind: documents.DocumentKind
    name: str
    version: int
    document: msgspec.Raw


def assign_bucket(key: documents.DocumentKey) -> int:
    """Return the index of the bucket that holds a document."""
    return xxhash.xxh64_intdigest(str(key).encode()) % heads.BUCKET_COUNT


def format_bucket_key(digest: str) -> str:
    """Return the platform's key of a bucket."""
    return f'{_KEY_PREFIX}{digest}'


def compute_digest(value: bytes) -> str:
    """Return the digest of a bucket's bytes, 32 hexadecimal digits."""
    return hashlib.blake2b(value, digest_size=_DIGEST_BYTES).hexdigest()


def encode_bucket(
    bucket: Mapping[documents.DocumentKey, StoredDocument],
) -> bytes:
    """Encode a bucket as compressed JSON, in the order of its names.

    Returns
    -------
    bytes
        Empty when the bucket is empty.
    """
    if not bucket:
        return b''
    lines = [_encode_line(key, bucket[key]) for key in sorted(bucket, key=str)]
    return zlib.compress(msgspec.json.encode(lines))


def decode_bucket(digest: str, value: bytes) -> Bucket:
    """Check a bucket's bytes against its digest and decode them.

    Parameters
    ----------
    digest : str
        Digest in the head; empty for an empty bucket.
    value : bytes
        What the platform or a peer answered.

    Raises
    ------
    DigestMismatch
        If the bytes are not those that the digest names, as happens when
        the bucket was retired and emptied meanwhile or a peer is broken.
    MalformedValue
        If the bytes match and still cannot be read.
    """
    if not digest:
        return {}
    if compute_digest(value) != digest:
        raise exceptions.DigestMismatch(
            f'The bytes of bucket {digest} are not those it names.',
            'Read the head again, then ask another source.',
        )
    try:
        lines = msgspec.json.decode(
            zlib.decompress(value), type=tuple[_Line, ...]
        )
        return dict(_decode_line(line) for line in lines)
    except (zlib.error, msgspec.DecodeError) as error:
        raise exceptions.MalformedValue(
            f'Bucket {digest} cannot be read: {error}.',
            'This entry may be older than the documents; upgrade it.',
        ) from error


def _encode_line(key: documents.DocumentKey, stored: StoredDocument) -> _Line:
    document = msgspec.Raw(msgspec.json.encode(stored.document))
    return _Line(key.kind, key.name, stored.version, document)


def _decode_line(
    line: _Line,
) -> tuple[documents.DocumentKey, StoredDocument]:
    key = documents.DocumentKey(line.kind, line.name)
    document = msgspec.json.decode(
        line.document, type=_OPTIONAL_TYPES[line.kind]
    )
    return key, StoredDocument(line.version, document)
