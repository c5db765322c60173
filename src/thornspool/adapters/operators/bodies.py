"""Request and response bodies of the operator API."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.configuration import problems as rule_problems

MEDIA_TYPE = 'application/json'
PROBLEM_MEDIA_TYPE = 'application/problem+json'
DEFAULT_PAGE_LENGTH = 100
MAX_PAGE_LENGTH = 200
PROBLEM_TYPE_PREFIX = 'urn:thornspool:problem:'


@attrs.frozen
class Removal:
    """Kind and name of a document to remove."""

    kind: str
    name: str


@attrs.frozen
class PublicationBody:
    """Body of ``POST /v1/publications``.

    Attributes
    ----------
    id : str
        Identifier created by the sender; a retry with the same id is safe.
    base_version : int
        Version that the changes are based on.
    documents : list
        Documents in the format of service files.
    removals : tuple of Removal
        Documents to remove.
    author : str
        Name of the author; the token's name if empty.
    message : str
        Message of the author.
    dry_run : bool
        Whether to validate without publishing.
    """

    id: str
    base_version: int
    documents: list[typing.Any] = attrs.field(factory=list)
    removals: tuple[Removal, ...] = ()
    author: str = ''
    message: str = ''
    dry_run: bool = False


@attrs.frozen
class CheckedBody:
    """Response to a dry run without problems.

    Attributes
    ----------
    version : int
        Version that the publication was validated against.
    changed_count : int
        Number of documents that would change.
    """

    version: int
    changed_count: int


@attrs.frozen
class HistoryLine:
    """An accepted publication in the history."""

    version: int
    id: str
    author: str
    wall: int
    message: str
    changed: tuple[str, ...]
    changed_count: int


@attrs.frozen
class ConfigurationBody:
    """Response to ``GET /v1/configuration``."""

    version: int
    history: tuple[HistoryLine, ...]


@attrs.frozen
class Query:
    """Query parameters of ``GET /v1/documents``.

    Attributes
    ----------
    kind, workspace : str
        Filters; empty for all documents that the token may read.
    after : str
        ``kind/name`` of the last document of the previous page.
    limit : int
        Maximum number of documents on the page.
    """

    kind: str = ''
    workspace: str = ''
    after: str = ''
    limit: int = DEFAULT_PAGE_LENGTH


@attrs.frozen
class DocumentLine:
    """A document in force.

    Attributes
    ----------
    kind, name : str
        Kind and name of the document.
    version : int
        Version that last changed the document.
    document : dict
        The document in the format of a service file.
    """

    kind: str
    name: str
    version: int
    document: dict[str, typing.Any]


@attrs.frozen
class DocumentsBody:
    """Response to ``GET /v1/documents``.

    Attributes
    ----------
    version : int
        Version in force; the base version for changes to these documents.
    documents : tuple of DocumentLine
        Documents on the page.
    following : str
        Value of ``after`` for the next page; empty on the last page.
    """

    version: int
    documents: tuple[DocumentLine, ...]
    following: str


@attrs.frozen
class MemberLine:
    """An entry in the local view of the responding entry."""

    host: str
    incarnation: str
    failure_domain: str
    region: str
    caller_url: str
    state: str
    configuration_version: int
    behind: bool


@attrs.frozen
class StatusBody:
    """Response to ``GET /v1/status``.

    Attributes
    ----------
    version : int
        Version in force at the responding entry.
    isolated : bool
        Whether neither the platform nor any peer responded recently.
    members : tuple of MemberLine
        Entries in its local view, including itself.
    stragglers : tuple of str
        Incarnations of entries that report an older version.
    """

    version: int
    isolated: bool
    members: tuple[MemberLine, ...]
    stragglers: tuple[str, ...]


@attrs.frozen
class ProblemBody:
    """Problem details (RFC 9457) with extension members.

    Attributes
    ----------
    type : str
        URN of the problem type.
    title : str
        Summary of the problem type.
    status : int
        HTTP status code.
    detail : str
        Description of the error and of the next step.
    names : tuple of str
        Documents in conflict.
    version : int
        Version to rebase on before publishing again.
    problems : tuple of Problem
        Violated rules.
    publication : str
        Id to use for a retry if the outcome is unknown.
    written : bool
        Whether a publication with unknown outcome may still be accepted.
    """

    type: str
    title: str
    status: int
    detail: str
    names: tuple[str, ...] = ()
    version: int = 0
    problems: tuple[rule_problems.Problem, ...] = ()
    publication: str = ''
    written: bool = False
