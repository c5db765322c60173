"""What a token may read of the documents in force and of their history."""

from __future__ import annotations

import heapq
import typing

from thornspool.adapters.operators import bodies
from thornspool.adapters.operators import exceptions
from thornspool.adapters.operators import tokens as bearer
from thornspool.domain.configuration import contents as whole
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import files

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

    from thornspool import settings
    from thornspool.domain.configuration import head as heads

_KINDS = tuple(documents.DocumentKind)


def list_documents(
    contents: whole.Contents, token: settings.Token, query: bodies.Query
) -> bodies.DocumentsBody:
    """Return a page of the documents in force, by kind and then by name.

    Only a page is sorted and encoded: thousands of documents at once would
    hold up the streams of callers, which share the loop.

    Raises
    ------
    BadRequest
        If the kind or the place to go on from is none.
    Forbidden
        If the token does not cover the workspace.
    """
    if query.workspace:
        bearer.check_workspace(token, query.workspace)
    kinds = _KINDS if not query.kind else (read_kind(query.kind),)
    found = _find_page(contents.snapshot, token, query, kinds)
    following = (
        '' if len(found) <= query.limit else str(found[query.limit - 1])
    )
    lines = [_describe(contents, key) for key in found[: query.limit]]
    return bodies.DocumentsBody(contents.head.version, tuple(lines), following)


def describe_history(
    contents: whole.Contents, token: settings.Token
) -> tuple[bodies.HistoryLine, ...]:
    """Return the publications that a token may read, oldest first."""
    last = _list_last_changes(contents, token)
    lines = (
        _describe_record(contents, token, one, last.get(one.version, ()))
        for one in contents.head.history
    )
    return tuple(line for line in lines if line is not None)


def find_changes(
    contents: whole.Contents, token: settings.Token, version: int
) -> bodies.HistoryLine:
    """Return what one version changed.

    Raises
    ------
    NotFound
        If the history does not hold it, or nothing of it is the token's.
    """
    for line in describe_history(contents, token):
        if line.version == version:
            return line
    first = contents.head.horizon + 1
    raise exceptions.NotFound(
        f'Nothing is known of version {version}.',
        f'The history holds versions {first} to {contents.head.version}; a '
        'token reads what changed documents of its workspaces.',
    )


def read_kind(text: str) -> documents.DocumentKind:
    """Return a kind of document.

    Raises
    ------
    BadRequest
        If it is none.
    """
    try:
        return documents.DocumentKind(text)
    except ValueError as error:
        kinds = ', '.join(one.value for one in _KINDS)
        raise exceptions.BadRequest(
            f'"{text}" is not a kind of document.', f'Write one of: {kinds}.'
        ) from error


def _find_page(
    snapshot: documents.Snapshot,
    token: settings.Token,
    query: bodies.Query,
    kinds: tuple[documents.DocumentKind, ...],
) -> list[documents.DocumentKey]:
    """Return the keys of a page, and one more if more follow."""
    after_kind, _, after_name = query.after.partition('/')
    start = _KINDS.index(read_kind(after_kind)) if query.after else 0
    found: list[documents.DocumentKey] = []
    for kind in kinds:
        place = _KINDS.index(kind)
        if place < start:
            continue
        beyond = after_name if query.after and place == start else ''
        names = (
            name
            for name in _list_names(snapshot, token, kind, query.workspace)
            if name > beyond
        )
        length = query.limit + 1 - len(found)
        found += [
            documents.DocumentKey(kind, name)
            for name in heapq.nsmallest(length, names)
        ]
    return found


def _list_names(
    snapshot: documents.Snapshot,
    token: settings.Token,
    kind: documents.DocumentKind,
    workspace: str,
) -> Iterator[str]:
    """Yield the names of a kind that a token may read, in no order."""
    allowed = (workspace,) if workspace else token.workspaces
    if kind is documents.DocumentKind.WORKSPACE:
        names = snapshot.workspaces if allowed is None else set(allowed)
        yield from (name for name in names if name in snapshot.workspaces)
    elif kind is documents.DocumentKind.SERVICE:
        for name, service in snapshot.services.items():
            if allowed is None or service.workspace in allowed:
                yield name
    elif allowed is None:
        yield from whole.copy_by_kind(snapshot)[kind]


def _describe(
    contents: whole.Contents, key: documents.DocumentKey
) -> bodies.DocumentLine:
    stored = contents.find(key)
    if stored is None or stored.document is None:
        raise AssertionError(f'{key} is in force but not stored')
    return bodies.DocumentLine(
        key.kind.value,
        key.name,
        stored.version,
        files.write_document(stored.document),
    )


def _list_last_changes(
    contents: whole.Contents, token: settings.Token
) -> dict[int, list[str]]:
    """Return what a limited token may read, by the last change of each.

    A record holds its first names only. Without this, a team whose document
    came late in a large publication would not find it in its history.
    """
    found: dict[int, list[str]] = {}
    if token.workspaces is None:
        return found
    for kind in _KINDS:
        for name in _list_names(contents.snapshot, token, kind, ''):
            key = documents.DocumentKey(kind, name)
            stored = contents.find(key)
            if stored is not None:
                found.setdefault(stored.version, []).append(str(key))
    return found


def _describe_record(
    contents: whole.Contents,
    token: settings.Token,
    record: heads.Record,
    last: typing.Iterable[str],
) -> bodies.HistoryLine | None:
    """Describe a publication; None if a token may read nothing of it."""
    names, count = record.changed, record.changed_count
    if token.workspaces is not None:
        own = {one for one in names if _covers(contents.snapshot, token, one)}
        names = tuple(sorted(own.union(last)))
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


def _covers(
    snapshot: documents.Snapshot, token: settings.Token, text: str
) -> bool:
    """Tell whether a limited token covers ``kind/name``."""
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
