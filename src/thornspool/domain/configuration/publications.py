"""Planning of a publication: conflicts, rules and the next head."""

from __future__ import annotations

import typing

import attrs

from thornspool.domain.configuration import contents as whole
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
    """Changes that are accepted together or not at all.

    Attributes
    ----------
    id : str
        Made by the publisher; sending it again with the same id is safe.
    author : str
        Who publishes.
    base_version : int
        Version that the author looked at. A document that changed since is
        a conflict.
    additions : tuple of Document
        Documents to add or replace.
    removals : tuple of DocumentKey
        Documents to remove.
    message : str
        The author's note.
    """

    id: str
    author: str
    base_version: int
    additions: tuple[documents.Document, ...] = ()
    removals: tuple[documents.DocumentKey, ...] = ()
    message: str = ''


@attrs.frozen
class Plan:
    """The writes that accept a publication.

    Attributes
    ----------
    head : Head
        The next head.
    values : dict of str to bytes
        The buckets to write before it, by digest.
    garbage : tuple of str
        Digests that nothing refers to once the head is written.
    """

    head: heads.Head
    values: dict[str, bytes]
    garbage: tuple[str, ...]


@attrs.frozen
class Conflict:
    """Documents that others changed since the publication's base.

    Attributes
    ----------
    names : tuple of str
        The documents, ``kind/name``.
    version : int
        Version to look at before publishing again.
    """

    names: tuple[str, ...]
    version: int


@attrs.frozen
class Invalid:
    """The publication breaks rules.

    Attributes
    ----------
    problems : tuple of Problem
        Every broken rule.
    """

    problems: tuple[problems.Problem, ...]


@attrs.frozen
class Unchanged:
    """All of it is in force already.

    Attributes
    ----------
    version : int
        Version that holds it.
    """

    version: int


Planned = Plan | Conflict | Invalid | Unchanged
FindConflicts = typing.Callable[
    [whole.Contents, Publication], 'tuple[documents.DocumentKey, ...]'
]


def find_conflicts(
    contents: whole.Contents, publication: Publication
) -> tuple[documents.DocumentKey, ...]:
    """Return the documents of a publication that changed since its base.

    Publications that touch different documents commute, so a publication
    whose base is old is no conflict by itself.
    """
    return tuple(
        key
        for key, document in _list_changes(publication)
        if _is_in_conflict(contents, publication, key, document)
    )


def plan_publication(
    contents: whole.Contents,
    publication: Publication,
    wall: int,
    conflicts: FindConflicts = find_conflicts,
) -> Planned:
    """Decide what a publication makes of a version of the configuration.

    Parameters
    ----------
    contents : Contents
        The latest version, on which the changes are applied.
    publication : Publication
        The changes.
    wall : int
        Milliseconds since the Unix epoch, for the history.
    conflicts : callable
        The conflict relation.
    """
    repeated = tuple(_check_repeats(contents, publication))
    if repeated:
        return Invalid(repeated)
    names = conflicts(contents, publication)
    if names:
        return Conflict(
            tuple(str(key) for key in names), contents.head.version
        )
    changes = _drop_unchanged(contents, publication)
    if not changes:
        return Unchanged(contents.head.version)
    broken = _check_merged(contents, changes)
    if broken:
        return Invalid(broken)
    plan = _build_plan(contents, publication, changes, wall)
    too_large = tuple(_check_sizes(plan))
    return Invalid(too_large) if too_large else plan


def _check_sizes(plan: Plan) -> Iterator[problems.Problem]:
    """Refuse what the platform would not store, and say so in time."""
    for digest, value in plan.values.items():
        if len(value) <= storage.VALUE_LIMIT:
            continue
        bucket = storage.decode_bucket(digest, value)
        sizes = {key: len(repr(bucket[key].document)) for key in bucket}
        largest = max(sizes, key=sizes.__getitem__)
        yield problems.Problem(
            str(largest),
            '$',
            'too-large',
            'Split this document; those stored with it come to '
            f'{len(value)} bytes, and {storage.VALUE_LIMIT} are allowed.',
        )


_Changes = dict[documents.DocumentKey, 'documents.Document | None']


def _list_changes(
    publication: Publication,
) -> Iterator[tuple[documents.DocumentKey, documents.Document | None]]:
    for document in publication.additions:
        yield documents.identify(document), document
    for key in publication.removals:
        yield key, None


def _is_in_conflict(
    contents: whole.Contents,
    publication: Publication,
    key: documents.DocumentKey,
    document: documents.Document | None,
) -> bool:
    stored = contents.find(key)
    if stored is None:
        # Removals older than the history are forgotten, so the author of
        # an older base may have seen a document that is gone. Taking it
        # as new would undo the removal without a word.
        return publication.base_version < contents.head.horizon
    if stored.document == document:
        return False
    return stored.version > publication.base_version


def _check_repeats(
    contents: whole.Contents, publication: Publication
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
    contents: whole.Contents, publication: Publication
) -> _Changes:
    changes: _Changes = {}
    for key, document in _list_changes(publication):
        stored = contents.find(key)
        if stored is None or stored.document != document:
            changes[key] = document
    return changes


def _check_merged(
    contents: whole.Contents, changes: _Changes
) -> tuple[problems.Problem, ...]:
    """Check the rules on the merged result.

    Two publications can each be right and break a rule together, as when
    one removes a target that the other begins to use. What was broken
    before is not held against this publication, or a rule that a newer
    program adds would block every repair but one that mends all at once.
    """
    by_kind = whole.copy_by_kind(contents.snapshot)
    for key, document in changes.items():
        if document is None:
            by_kind[key.kind].pop(key.name, None)
        else:
            by_kind[key.kind][key.name] = document
    merged = whole.build_snapshot(contents.head.version + 1, by_kind)
    kept = [one for one in changes.values() if one is not None]
    if len(kept) == len(changes) and not _has_target(kept):
        return rules.check_documents(merged, kept)
    broken = rules.check_snapshot(merged)
    if not broken:
        return ()
    before = set(rules.check_snapshot(contents.snapshot))
    return tuple(problem for problem in broken if problem not in before)


def _has_target(changed: Iterable[documents.Document]) -> bool:
    """Tell whether documents that refer to these may break a rule now.

    References go by name, so only a removal or a target of another kind can
    break the rules of a document that was not published.
    """
    return any(isinstance(one, documents.Target) for one in changed)


def _build_plan(
    contents: whole.Contents,
    publication: Publication,
    changes: _Changes,
    wall: int,
) -> Plan:
    version = contents.head.version + 1
    history = (
        *contents.head.history,
        _build_record(publication, changes, version, wall),
    )[-heads.HISTORY_LENGTH :]
    changed = _change_buckets(contents, changes, version, history[0].version)
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


def _change_buckets(
    contents: whole.Contents, changes: _Changes, version: int, oldest: int
) -> dict[int, storage.Bucket]:
    changed: dict[int, storage.Bucket] = {}
    for key, document in changes.items():
        index = storage.assign_bucket(key)
        if index not in changed:
            changed[index] = _copy_bucket(contents.buckets[index], oldest)
        changed[index][key] = storage.StoredDocument(version, document)
    return changed


def _copy_bucket(bucket: storage.Bucket, oldest: int) -> storage.Bucket:
    """Copy a bucket without the removals that the history has forgotten."""
    return {
        key: stored
        for key, stored in bucket.items()
        if stored.document is not None or stored.version >= oldest
    }


def _build_record(
    publication: Publication, changes: _Changes, version: int, wall: int
) -> heads.Record:
    names = sorted(str(key) for key in changes)
    return heads.Record(
        publication.id,
        version,
        publication.author,
        wall,
        publication.message,
        tuple(names[: heads.NAMES_IN_RECORD]),
        len(names),
    )
