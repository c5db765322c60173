"""Conversion between publications and HTTP bodies."""

from __future__ import annotations

import typing

from thornspool import decoding
from thornspool.adapters.operators import bodies
from thornspool.adapters.operators import browsing
from thornspool.adapters.operators import exceptions
from thornspool.application.configuration import (
    results as configuration_results,
)
from thornspool.domain.configuration import documents
from thornspool.domain.configuration import files
from thornspool.domain.configuration import problems
from thornspool.domain.configuration import publications
from thornspool.domain.configuration import publishing

if typing.TYPE_CHECKING:
    from thornspool import settings

_MAX_ID_LENGTH = 100
_MAX_AUTHOR_LENGTH = 100
_MAX_MESSAGE_LENGTH = 500


def read_body(body: bytes) -> bodies.PublicationBody:
    """Decode the body of a publication.

    Raises
    ------
    BadRequest
        If the body is invalid.
    """
    try:
        decoded = decoding.decode_json(body, bodies.PublicationBody)
    except decoding.DecodeError as error:
        raise exceptions.BadRequest(
            f'The publication cannot be decoded: {error}.',
            'Send id, base_version and documents.',
        ) from error
    if not 0 < len(decoded.id) <= _MAX_ID_LENGTH:
        raise exceptions.BadRequest(
            'The publication has no valid id.',
            f'Send a new UUID of at most {_MAX_ID_LENGTH} characters.',
        )
    too_long = (
        len(decoded.author) > _MAX_AUTHOR_LENGTH
        or len(decoded.message) > _MAX_MESSAGE_LENGTH
    )
    if too_long:
        raise exceptions.BadRequest(
            'The author or the message is too long.',
            f'Send at most {_MAX_AUTHOR_LENGTH} and {_MAX_MESSAGE_LENGTH} '
            'characters.',
        )
    return decoded


def read_publication(
    body: bodies.PublicationBody, token: settings.Token
) -> publications.Publication | bodies.ProblemBody:
    """Validate the documents of a body against the schema.

    Returns
    -------
    Publication or ProblemBody
        The publication, or a problem with all schema violations.
    """
    collection = files.parse_documents(body.documents)
    if collection.problems:
        return _describe_invalid(collection.problems)
    return publications.Publication(
        body.id,
        _name_author(body.author, token),
        body.base_version,
        collection.documents,
        tuple(_read_removal(removal) for removal in body.removals),
        body.message,
    )


def describe_result(
    publication: publications.Publication,
    result: configuration_results.PublishResult,
) -> configuration_results.Accepted | bodies.ProblemBody:
    """Return the response body for the result of a publication."""
    if isinstance(result, configuration_results.Accepted):
        return result
    if isinstance(result, publishing.Undecided):
        return _describe_undecided(publication, result)
    return _describe_refusal(result)


def describe_plan(
    planned: publications.PlanResult,
) -> bodies.CheckedBody | bodies.ProblemBody:
    """Return the response body for a dry run."""
    if isinstance(planned, publications.Unchanged):
        return bodies.CheckedBody(planned.version, 0)
    if isinstance(planned, publications.Plan):
        record = planned.head.history[-1]
        return bodies.CheckedBody(record.version - 1, record.changed_count)
    return _describe_refusal(planned)


def _describe_refusal(
    result: publications.Conflict | publications.Invalid,
) -> bodies.ProblemBody:
    if isinstance(result, publications.Invalid):
        return _describe_invalid(result.problems)
    return bodies.ProblemBody(
        f'{bodies.PROBLEM_TYPE_PREFIX}conflict',
        'Documents changed meanwhile',
        409,
        'These documents changed since the base version: '
        f'{", ".join(result.names)}. Fetch version {result.version}, '
        'merge its changes and publish again with it as base_version.',
        names=result.names,
        version=result.version,
    )


def _describe_invalid(
    violations: tuple[problems.Problem, ...],
) -> bodies.ProblemBody:
    return bodies.ProblemBody(
        f'{bodies.PROBLEM_TYPE_PREFIX}invalid',
        'Documents violate rules',
        422,
        'Nothing was published. Correct the listed "problems" and publish '
        'again.',
        problems=violations,
    )


def _describe_undecided(
    publication: publications.Publication, result: publishing.Undecided
) -> bodies.ProblemBody:
    state = 'It was not accepted'
    if result.head_sent:
        state = 'It may have been accepted or may be accepted later'
    return bodies.ProblemBody(
        f'{bodies.PROBLEM_TYPE_PREFIX}undecided',
        'Unknown outcome',
        503,
        f'{result.reason} {state}. Retry with the same id.',
        publication=publication.id,
        written=result.head_sent,
    )


def _name_author(author: str, token: settings.Token) -> str:
    """Return the author with the token's name, which cannot be forged."""
    if author in ('', token.name):
        return token.name
    return f'{author} ({token.name})'


def _read_removal(removal: bodies.Removal) -> documents.DocumentKey:
    return documents.DocumentKey(
        browsing.read_kind(removal.kind), removal.name
    )
