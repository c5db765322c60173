"""Encoding of buckets, which group documents under a content digest."""

from __future__ import annotations

import hashlib
import typing
import zlib

import attrs
import msgspec
import xxhash

from thornspool import decoding
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import exceptions
from thornspool.domain.configuration import head as heads

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

VALUE_LIMIT_BYTES = 1_000_000
_DIGEST_BYTES = 16
_KEY_PREFIX = 'configuration/bucket/'


@attrs.frozen
class StoredDocument:
    """A document in a bucket.

    Attributes
    ----------
    version : int
        Version of the configuration that last changed it.
    document : Document or None
        None marks a removed document. The tombstone is kept until the
        history no longer covers the removal: without it, a publication based
        on an older version would restore the document without a conflict.
    """

    version: int
    document: documents.Document | None


Bucket = dict[documents.DocumentKey, StoredDocument]


_OPTIONAL_TYPES: dict[documents.DocumentKind, typing.Any] = {
    kind: document_type | None
    for kind, document_type in documents.DOCUMENT_TYPES.items()
}


@attrs.frozen
class _EncodedDocument:
    """Encoded form of a document in a bucket."""

    kind: documents.DocumentKind
    name: str
    version: int
    document: msgspec.Raw


def assign_bucket(key: documents.DocumentKey) -> int:
    """Return the index of a document's bucket."""
    return xxhash.xxh64_intdigest(str(key).encode()) % heads.BUCKET_COUNT


def format_bucket_key(digest: str) -> str:
    """Return the key under which the platform stores a bucket."""
    return f'{_KEY_PREFIX}{digest}'


def compute_digest(value: bytes) -> str:
    """Return the digest of an encoded bucket as 32 hexadecimal digits."""
    return hashlib.blake2b(value, digest_size=_DIGEST_BYTES).hexdigest()


def encode_bucket(
    bucket: Mapping[documents.DocumentKey, StoredDocument],
) -> bytes:
    """Encode a bucket as compressed JSON, sorted by document key.

    Returns
    -------
    bytes
        The encoded bucket; empty if the bucket has no documents.
    """
    if not bucket:
        return b''
    items = [
        _encode_document(key, bucket[key]) for key in sorted(bucket, key=str)
    ]
    return zlib.compress(msgspec.json.encode(items))


def decode_bucket(digest: str, value: bytes) -> Bucket:
    """Verify the digest of an encoded bucket and decode it.

    Parameters
    ----------
    digest : str
        Digest from the head; empty for an empty bucket.
    value : bytes
        Bytes from the platform or a peer.

    Returns
    -------
    Bucket
        Stored documents by key.

    Raises
    ------
    DigestMismatch
        If the bytes do not match the digest, because the bucket was retired
        and cleared in the meantime or a peer is faulty.
    MalformedValue
        If the bytes match the digest but cannot be decoded.
    """
    if not digest:
        return {}
    if compute_digest(value) != digest:
        raise exceptions.DigestMismatch(
            f'The bytes of bucket {digest} do not match the digest.',
            'Read the head again, then use another source.',
        )
    try:
        with decoding.translate_errors():
            items = decoding.decode_json(
                zlib.decompress(value), tuple[_EncodedDocument, ...]
            )
            return dict(_decode_document(item) for item in items)
    except decoding.DecodeError as error:
        raise exceptions.MalformedValue(
            f'Bucket {digest} cannot be decoded: {error}.',
            'This entry may be too old for these documents; upgrade it.',
        ) from error


def _encode_document(
    key: documents.DocumentKey, stored: StoredDocument
) -> _EncodedDocument:
    document = msgspec.Raw(msgspec.json.encode(stored.document))
    return _EncodedDocument(key.kind, key.name, stored.version, document)


def _decode_document(
    encoded: _EncodedDocument,
) -> tuple[documents.DocumentKey, StoredDocument]:
    key = documents.DocumentKey(encoded.kind, encoded.name)
    document = decoding.decode_json(
        bytes(encoded.document), _OPTIONAL_TYPES[encoded.kind]
    )
    return key, StoredDocument(encoded.version, document)
