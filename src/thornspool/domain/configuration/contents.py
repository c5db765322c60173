"""A complete version of the configuration in memory."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.configuration import documents
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import storage

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


@attrs.frozen
class Contents:
    """A head with all buckets that it refers to.

    Attributes
    ----------
    head : Head
        Head of this version.
    buckets : tuple of Bucket
        Decoded buckets by index.
    values : dict of str to bytes
        Encoded buckets by digest, served to peers on request.
    snapshot : Snapshot
        Documents by kind and name, for the readers of the configuration.
    """

    head: heads.Head = attrs.field(factory=heads.Head)
    buckets: tuple[storage.Bucket, ...] = ({},) * heads.BUCKET_COUNT
    values: dict[str, bytes] = attrs.field(factory=dict)
    snapshot: documents.Snapshot = attrs.field(factory=documents.Snapshot)

    def find(
        self, key: documents.DocumentKey
    ) -> storage.StoredDocument | None:
        """Return a stored document, or its tombstone if it was removed."""
        return self.buckets[storage.assign_bucket(key)].get(key)


def list_missing(contents: Contents, head: heads.Head) -> tuple[str, ...]:
    """Return the digests of a head whose buckets the contents lack."""
    return tuple(
        digest
        for digest in dict.fromkeys(head.buckets)
        if digest and digest not in contents.values
    )


def advance_contents(
    contents: Contents, head: heads.Head, pulled: Mapping[str, bytes]
) -> Contents:
    """Build the contents of another version from the changed buckets.

    Unchanged buckets are shared with the given contents.

    Parameters
    ----------
    contents : Contents
        Current version.
    head : Head
        Head of the version to build.
    pulled : mapping of str to bytes
        Encoded buckets for every digest that ``list_missing`` returns.

    Returns
    -------
    Contents
        The new version; the given contents are not modified.

    Raises
    ------
    DigestMismatch
        If the bytes of a pulled bucket do not match its digest.
    MalformedValue
        If the bytes of a pulled bucket cannot be decoded.
    """
    old = contents.head.buckets
    decoded = tuple(
        contents.buckets[index]
        if digest == old[index]
        else storage.decode_bucket(
            digest, _get_value(contents, digest, pulled)
        )
        for index, digest in enumerate(head.buckets)
    )
    values = {
        digest: _get_value(contents, digest, pulled)
        for digest in head.buckets
        if digest
    }
    changed = [
        index
        for index, digest in enumerate(head.buckets)
        if digest != old[index]
    ]
    snapshot = _update_snapshot(contents, head.version, decoded, changed)
    return Contents(head, decoded, values, snapshot)


def _get_value(
    contents: Contents, digest: str, pulled: Mapping[str, bytes]
) -> bytes:
    if digest in pulled:
        return pulled[digest]
    return contents.values.get(digest, b'')


def _update_snapshot(
    contents: Contents,
    version: int,
    decoded: tuple[storage.Bucket, ...],
    changed: Iterable[int],
) -> documents.Snapshot:
    """Build the new snapshot by replacing the changed buckets' documents."""
    by_kind = copy_by_kind(contents.snapshot)
    for index in changed:
        for key in contents.buckets[index]:
            by_kind[key.kind].pop(key.name, None)
        for key, stored in decoded[index].items():
            if stored.document is not None:
                by_kind[key.kind][key.name] = stored.document
    return build_snapshot(version, by_kind)


def copy_by_kind(
    snapshot: documents.Snapshot,
) -> dict[documents.DocumentKind, dict[str, typing.Any]]:
    """Return shallow copies of a snapshot's dictionaries by kind."""
    return {
        documents.DocumentKind.WORKSPACE: dict(snapshot.workspaces),
        documents.DocumentKind.SERVICE: dict(snapshot.services),
        documents.DocumentKind.MODEL: dict(snapshot.models),
        documents.DocumentKind.TARGET: dict(snapshot.targets),
    }


def build_snapshot(
    version: int,
    by_kind: Mapping[documents.DocumentKind, dict[str, typing.Any]],
) -> documents.Snapshot:
    """Build a snapshot from dictionaries of documents by kind."""
    return documents.Snapshot(
        version,
        by_kind[documents.DocumentKind.WORKSPACE],
        by_kind[documents.DocumentKind.SERVICE],
        by_kind[documents.DocumentKind.MODEL],
        by_kind[documents.DocumentKind.TARGET],
    )
