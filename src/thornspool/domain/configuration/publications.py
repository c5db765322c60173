"""Planning of publications: conflict detection, rules and the next head."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import head as heads
from thornspool.domain.configuration import problems
from thornspool.domain.configuration import rules
from thornspool.domain.configuration import storage

if typing.TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


@attrs.frozen
class Publication:
    """A set of changes that is accepted atomically.

    Attributes
    ----------
    id : str
        Id chosen by the publisher; retrying with the same id is safe.
    author : str
        Author of the publication.
    base_version : int
        Version on which the author based the changes. A document that
        changed after it is a conflict.
    additions : tuple of Document
        Documents to add or replace.
    removals : tuple of DocumentKey
        Keys of the documents to remove.
    message : str
        Message of the author.
    """

    id: str
    author: str
    base_version: int
    additions: tuple[documents.Document, ...] = ()
    removals: tuple[documents.DocumentKey, ...] = ()
    message: str = ''


@attrs.frozen
class Plan:
    """The writes to the platform that accept a publication.

    Attributes
    ----------
    head : Head
        Head of the next version.
    values : dict of str to bytes
        Encoded buckets by digest, to be written before the head.
    garbage : tuple of str
        Digests that are unreferenced once the head is written.
    """

    head: heads.Head
    values: dict[str, bytes]
    garbage: tuple[str, ...]


@attrs.frozen
class Conflict:
    """Documents of a publication that changed after its base version.

    Attributes
    ----------
    names : tuple of str
        Keys of the documents as ``kind/name``.
    version : int
        Version to use as the base of a new publication.
    """

    names: tuple[str, ...]
    version: int


@attrs.frozen
class Invalid:
    """The publication violates rules.

    Attributes
    ----------
    problems : tuple of Problem
        All violations.
    """

    problems: tuple[problems.Problem, ...]


@attrs.frozen
class Unchanged:
    """All changes of the publication are already in force.

    Attributes
    ----------
    version : int
        Version that contains them.
    """

    version: int


PlanResult = Plan | Conflict | Invalid | Unchanged
FindConflicts = typing.Callable[
    [contents_module.Contents, Publication],
    'tuple[documents.DocumentKey, ...]',
]


def find_conflicts(
    contents: contents_module.Contents, publication: Publication
) -> tuple[documents.DocumentKey, ...]:
    """Return the documents of a publication that changed after its base.

    Publications that change different documents commute, so an old base
    version alone is no conflict.
    """
    return tuple(
        key
        for key, document in _list_changes(publication)
        if _is_in_conflict(contents, publication, key, document)
    )


def plan_publication(
    contents: contents_module.Contents,
    publication: Publication,
    wall: int,
    conflicts: FindConflicts = find_conflicts,
) -> PlanResult:
    """Plan the next version that a publication leads to.

    Parameters
    ----------
    contents : Contents
        Latest version, to which the changes are applied.
    publication : Publication
        Changes to plan.
    wall : int
        Milliseconds since the Unix epoch, stored in the history.
    conflicts : callable
        Returns the documents of a publication that are in conflict.

    Returns
    -------
    Plan, Conflict, Invalid or Unchanged
        The writes to make, or why there are none.
    """
    found = tuple(_check_changes(contents, publication))
    if found:
        return Invalid(found)
    conflicting = conflicts(contents, publication)
    if conflicting:
        return Conflict(
            tuple(str(key) for key in conflicting), contents.head.version
        )
    changes = _drop_unchanged(contents, publication)
    if not changes:
        return Unchanged(contents.head.version)
    violations = _check_merged_result(contents, changes)
    if violations:
        return Invalid(violations)
    plan = _build_plan(contents, publication, changes, wall)
    too_large = tuple(_check_sizes(plan))
    return Invalid(too_large) if too_large else plan


def _check_sizes(plan: Plan) -> Iterator[problems.Problem]:
    """Report buckets over the size limit of the platform before any write."""
    for digest, value in plan.values.items():
        if len(value) <= storage.VALUE_LIMIT_BYTES:
            continue
        bucket = storage.decode_bucket(digest, value)
        sizes = {key: len(repr(bucket[key].document)) for key in bucket}
        largest = max(sizes, key=sizes.__getitem__)
        yield problems.Problem(
            str(largest),
            '$',
            'too-large',
            'Split this document; the documents in its bucket take '
            f'{len(value)} bytes, and '
            f'{storage.VALUE_LIMIT_BYTES} are allowed.',
        )


_Changes = dict[documents.DocumentKey, 'documents.Document | None']


def _list_changes(
    publication: Publication,
) -> Iterator[tuple[documents.DocumentKey, documents.Document | None]]:
    for document in publication.additions:
        yield documents.build_key(document), document
    for key in publication.removals:
        yield key, None


def _is_in_conflict(
    contents: contents_module.Contents,
    publication: Publication,
    key: documents.DocumentKey,
    document: documents.Document | None,
) -> bool:
    stored = contents.find(key)
    if stored is None:
        # Tombstones older than the history are dropped, so a base before
        # the history may contain a document that was removed since. Adding
        # it as a new document would silently undo the removal.
        return publication.base_version < contents.head.history_base_version
    if stored.document == document:
        return False
    return stored.version > publication.base_version


def _check_changes(
    contents: contents_module.Contents, publication: Publication
) -> Iterator[problems.Problem]:
    seen: set[documents.DocumentKey] = set()
    for key, _ in _list_changes(publication):
        if key in seen:
            yield problems.Problem(
                str(key),
                '$',
                'duplicate-document',
                'Keep one document or removal of this kind and name.',
            )
        seen.add(key)
    for key in publication.removals:
        if contents.find(key) is None:
            yield problems.Problem(
                str(key),
                '$',
                'unknown-document',
                'Remove a document that exists.',
            )


def _drop_unchanged(
    contents: contents_module.Contents, publication: Publication
) -> _Changes:
    changes: _Changes = {}
    for key, document in _list_changes(publication):
        stored = contents.find(key)
        if stored is None or stored.document != document:
            changes[key] = document
    return changes


def _check_merged_result(
    contents: contents_module.Contents, changes: _Changes
) -> tuple[problems.Problem, ...]:
    """Check the rules on the configuration with the changes applied.

    Two publications can each be valid and violate a rule together, such as
    when one removes a target that the other starts to use. Violations that
    exist before the publication are ignored. Otherwise, a rule added by a
    newer release would block every correction that does not resolve all of
    its violations at once.
    """
    by_kind = contents_module.copy_by_kind(contents.snapshot)
    for key, document in changes.items():
        if document is None:
            by_kind[key.kind].pop(key.name, None)
        else:
            by_kind[key.kind][key.name] = document
    merged = contents_module.build_snapshot(contents.head.version + 1, by_kind)
    additions = [one for one in changes.values() if one is not None]
    if len(additions) == len(changes) and not _includes_target(additions):
        return rules.check_documents(merged, additions)
    violations = rules.check_snapshot(merged)
    if not violations:
        return ()
    before = set(rules.check_snapshot(contents.snapshot))
    return tuple(problem for problem in violations if problem not in before)


def _includes_target(changed: Iterable[documents.Document]) -> bool:
    """Return whether the documents include a target.

    References are by name, so only a removal or a target whose kind changes
    can make a document invalid that is not part of the publication.
    """
    return any(isinstance(one, documents.Target) for one in changed)


def _build_plan(
    contents: contents_module.Contents,
    publication: Publication,
    changes: _Changes,
    wall: int,
) -> Plan:
    version = contents.head.version + 1
    history = (
        *contents.head.history,
        _build_record(publication, changes, version, wall),
    )[-heads.HISTORY_LENGTH :]
    changed = _build_changed_buckets(
        contents, changes, version, history[0].version
    )
    digests = list(contents.head.buckets)
    values: dict[str, bytes] = {}
    replaced: list[str] = []
    for index, bucket in changed.items():
        value = storage.encode_bucket(bucket)
        replaced.append(digests[index])
        digests[index] = storage.compute_digest(value) if value else ''
        if value:
            values[digests[index]] = value
    retired = (*contents.head.retired, *filter(None, replaced))
    head = heads.Head(
        version,
        tuple(digests),
        history,
        retired[-heads.RETIRED_LENGTH :],
    )
    return Plan(head, values, retired[: -heads.RETIRED_LENGTH])


def _build_changed_buckets(
    contents: contents_module.Contents,
    changes: _Changes,
    version: int,
    oldest_version: int,
) -> dict[int, storage.Bucket]:
    changed: dict[int, storage.Bucket] = {}
    for key, document in changes.items():
        index = storage.assign_bucket(key)
        if index not in changed:
            changed[index] = _copy_without_old_removals(
                contents.buckets[index], oldest_version
            )
        changed[index][key] = storage.StoredDocument(version, document)
    return changed


def _copy_without_old_removals(
    bucket: storage.Bucket, oldest_version: int
) -> storage.Bucket:
    """Copy a bucket without tombstones that the history does not cover."""
    return {
        key: stored
        for key, stored in bucket.items()
        if stored.document is not None or stored.version >= oldest_version
    }


def _build_record(
    publication: Publication, changes: _Changes, version: int, wall: int
) -> heads.Record:
    keys = sorted(str(key) for key in changes)
    return heads.Record(
        publication.id,
        version,
        publication.author,
        wall,
        publication.message,
        tuple(keys[: heads.MAX_KEYS_PER_RECORD]),
        len(keys),
    )
