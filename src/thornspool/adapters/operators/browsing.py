"""Queries of documents and history, limited to what a token may read."""

from __future__ import annotations

import heapq
import typing

from thornspool.adapters.operators import bodies
from thornspool.adapters.operators import exceptions
from thornspool.adapters.operators import tokens as bearer
from thornspool.domain.configuration import contents as contents_module
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import files

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from thornspool import settings
    from thornspool.domain.configuration import head as heads

_KINDS = tuple(documents.DocumentKind)


def list_documents(
    contents: contents_module.Contents,
    token: settings.Token,
    query: bodies.Query,
) -> bodies.DocumentsBody:
    """Return a page of the documents in force, by kind and then by name.

    Only one page is sorted and encoded, because processing thousands of
    documents at once would delay the streams of callers on the same loop.

    Raises
    ------
    BadRequest
        If the kind or the start position is invalid.
    Forbidden
        If the token does not include the workspace.
    """
    if query.workspace:
        bearer.check_workspace(token, query.workspace)
    kinds = _KINDS if not query.kind else (read_kind(query.kind),)
    keys = _find_page(contents.snapshot, token, query, kinds)
    following = '' if len(keys) <= query.limit else str(keys[query.limit - 1])
    lines = [_describe_document(contents, key) for key in keys[: query.limit]]
    return bodies.DocumentsBody(contents.head.version, tuple(lines), following)


def describe_history(
    contents: contents_module.Contents, token: settings.Token
) -> tuple[bodies.HistoryLine, ...]:
    """Return the publications that a token may read, oldest first."""
    last_changes = _list_last_changes(contents, token)
    lines = (
        _describe_record(
            contents, token, record, last_changes.get(record.version, ())
        )
        for record in contents.head.history
    )
    return tuple(line for line in lines if line is not None)


def find_changes(
    contents: contents_module.Contents, token: settings.Token, version: int
) -> bodies.HistoryLine:
    """Return the changes of one version.

    Raises
    ------
    NotFound
        If the history does not contain the version, or the token may not
        read any of its changes.
    """
    for line in describe_history(contents, token):
        if line.version == version:
            return line
    first = contents.head.history_base_version + 1
    raise exceptions.NotFound(
        f'Version {version} is not available.',
        f'The history has versions {first} to {contents.head.version}; a '
        'token can read changes to documents of its workspaces.',
    )


def read_kind(text: str) -> documents.DocumentKind:
    """Parse a document kind.

    Raises
    ------
    BadRequest
        If the kind does not exist.
    """
    try:
        return documents.DocumentKind(text)
    except ValueError as error:
        kinds = ', '.join(kind.value for kind in _KINDS)
        raise exceptions.BadRequest(
            f'"{text}" is not a document kind.', f'Use one of: {kinds}.'
        ) from error


def _find_page(
    snapshot: documents.Snapshot,
    token: settings.Token,
    query: bodies.Query,
    kinds: tuple[documents.DocumentKind, ...],
) -> list[documents.DocumentKey]:
    """Return the keys of a page, and one more if there is a next page."""
    after_kind, _, after_name = query.after.partition('/')
    start = _KINDS.index(read_kind(after_kind)) if query.after else 0
    keys: list[documents.DocumentKey] = []
    for kind in kinds:
        position = _KINDS.index(kind)
        if position < start:
            continue
        lower_bound = after_name if query.after and position == start else ''
        names = (
            name
            for name in _list_names(snapshot, token, kind, query.workspace)
            if name > lower_bound
        )
        length = query.limit + 1 - len(keys)
        keys += [
            documents.DocumentKey(kind, name)
            for name in heapq.nsmallest(length, names)
        ]
    return keys


def _list_names(
    snapshot: documents.Snapshot,
    token: settings.Token,
    kind: documents.DocumentKind,
    workspace: str,
) -> Iterator[str]:
    """Yield the names of a kind that a token may read, unordered."""
    allowed = (workspace,) if workspace else token.workspaces
    if kind is documents.DocumentKind.WORKSPACE:
        names = snapshot.workspaces if allowed is None else set(allowed)
        yield from (name for name in names if name in snapshot.workspaces)
    elif kind is documents.DocumentKind.SERVICE:
        for name, service in snapshot.services.items():
            if allowed is None or service.workspace in allowed:
                yield name
    elif allowed is None:
        yield from contents_module.copy_by_kind(snapshot)[kind]


def _describe_document(
    contents: contents_module.Contents, key: documents.DocumentKey
) -> bodies.DocumentLine:
    stored = contents.find(key)
    if stored is None or stored.document is None:
        raise AssertionError(f'{key} is in force but not stored')
    return bodies.DocumentLine(
        key.kind.value,
        key.name,
        stored.version,
        files.serialize_document(stored.document),
    )


def _list_last_changes(
    contents: contents_module.Contents, token: settings.Token
) -> dict[int, list[str]]:
    """Return readable documents by the version that last changed them.

    It is empty for an unlimited token. A history record contains only the
    first names of a publication, so a document at the end of a large
    publication would otherwise be missing in the history of its team.
    """
    changes: dict[int, list[str]] = {}
    if token.workspaces is None:
        return changes
    for kind in _KINDS:
        for name in _list_names(contents.snapshot, token, kind, ''):
            key = documents.DocumentKey(kind, name)
            stored = contents.find(key)
            if stored is not None:
                changes.setdefault(stored.version, []).append(str(key))
    return changes


def _describe_record(
    contents: contents_module.Contents,
    token: settings.Token,
    record: heads.Record,
    last_changes: typing.Iterable[str],
) -> bodies.HistoryLine | None:
    """Describe a publication; None if the token may not read any of it."""
    names, count = record.changed, record.changed_count
    if token.workspaces is not None:
        readable = {
            name
            for name in names
            if _is_readable(contents.snapshot, token, name)
        }
        names = tuple(sorted(readable.union(last_changes)))
        count = len(names)
    if not names:
        return None
    return bodies.HistoryLine(
        record.version,
        record.id,
        record.author,
        record.wall,
        record.message,
        names,
        count,
    )


def _is_readable(
    snapshot: documents.Snapshot, token: settings.Token, text: str
) -> bool:
    """Return whether a limited token may read ``kind/name``."""
    kind, _, name = text.partition('/')
    allowed = token.workspaces or ()
    if kind == documents.DocumentKind.WORKSPACE.value:
        return name in allowed
    service = snapshot.services.get(name)
    return (
        kind == documents.DocumentKind.SERVICE.value
        and service is not None
        and service.workspace in allowed
    )
