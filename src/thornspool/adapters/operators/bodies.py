"""Bodies of requests and answers of the operators' interface."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    from thornspool.domain.configuration import problems as rule_problems

MEDIA_TYPE = 'application/json'
PROBLEM_MEDIA_TYPE = 'application/problem+json'
PAGE_LENGTH = 100
LONGEST_PAGE = 200
PROBLEM_TYPE_PREFIX = 'urn:thornspool:problem:'


@attrs.frozen
class Removal:
    """Address of a document to remove."""

    kind: str
    name: str


@attrs.frozen
class PublicationBody:
    """Body of ``POST /v1/publications``.

    Attributes
    ----------
    id : str
        Made by the sender; sending it again with the same id is safe.
    base_version : int
        Version that the author looked at.
    documents : list
        Documents as service files hold them.
    removals : tuple of Removal
        Documents to remove.
    author : str
        Who publishes; the token's name if empty.
    message : str
        The author's note.
    dry_run : bool
        Check only.
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
    """Answer to a dry run that found nothing wrong.

    Attributes
    ----------
    version : int
        Version that it was checked against.
    changed_count : int
        Documents that would change.
    """

    version: int
    changed_count: int


@attrs.frozen
class HistoryLine:
    """One accepted publication."""

    version: int
    id: str
    author: str
    wall: int
    message: str
    changed: tuple[str, ...]
    changed_count: int


@attrs.frozen
class ConfigurationBody:
    """Answer to ``GET /v1/configuration``."""

    version: int
    history: tuple[HistoryLine, ...]


@attrs.frozen
class Query:
    """Query of ``GET /v1/documents``.

    Attributes
    ----------
    kind, workspace : str
        Which documents; empty for all that the token may read.
    after : str
        ``kind/name`` of the last document of the page before.
    limit : int
        Most documents of a page.
    """

    kind: str = ''
    workspace: str = ''
    after: str = ''
    limit: int = PAGE_LENGTH


@attrs.frozen
class DocumentLine:
    """A document in force.

    Attributes
    ----------
    kind, name : str
        Its address.
    version : int
        Version that last changed it.
    document : dict
        The document as a service file holds it.
    """

    kind: str
    name: str
    version: int
    document: dict[str, typing.Any]


@attrs.frozen
class DocumentsBody:
    """Answer to ``GET /v1/documents``.

    Attributes
    ----------
    version : int
        Version in force; the base of a publication that changes these.
    documents : tuple of DocumentLine
        A page of them.
    following : str
        What to send as ``after`` for the next page; empty at the end.
    """

    version: int
    documents: tuple[DocumentLine, ...]
    following: str


@attrs.frozen
class MemberLine:
    """One entry as this one knows it."""

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
    """Answer to ``GET /v1/status``.

    Attributes
    ----------
    version : int
        Version in force at the entry that answers.
    isolated : bool
        Whether neither the platform nor any peer answered it of late.
    members : tuple of MemberLine
        The entries it knows of, itself included.
    stragglers : tuple of str
        Incarnations of those that report an older version.
    """

    version: int
    isolated: bool
    members: tuple[MemberLine, ...]
    stragglers: tuple[str, ...]


@attrs.frozen
class ProblemBody:
    """Problem details (RFC 9457) with this project's extensions.

    Attributes
    ----------
    type : str
        URN of the kind of problem.
    title : str
        The kind in words.
    status : int
        HTTP status.
    detail : str
        What happened and what to do next.
    names : tuple of str
        Documents in conflict.
    version : int
        Version to look at before publishing again.
    problems : tuple of Problem
        Broken rules.
    publication : str
        Id to send again when the outcome is open.
    written : bool
        Whether an open publication may still be accepted.
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
