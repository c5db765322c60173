"""Authorization of operators by bearer tokens."""

from __future__ import annotations

import hmac
import typing

from thornspool.adapters.operators import exceptions
from thornspool.domain.configuration import documents

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from thornspool import settings
    from thornspool.domain.configuration import publications

_SCHEME = 'bearer'
_HINT = 'Send the header "Authorization: Bearer TOKEN".'


def find_token(
    header: str, tokens: Sequence[settings.Token]
) -> settings.Token:
    """Return the configured token of a request.

    All tokens are compared, each in constant time, so that the response
    time does not depend on the similarity of a guessed token.

    Parameters
    ----------
    header : str
        Value of the ``Authorization`` header.
    tokens : sequence of Token
        Configured tokens.

    Raises
    ------
    Unauthorized
        If the token is missing or invalid.
    """
    scheme, _, credentials = header.partition(' ')
    if scheme.lower() != _SCHEME:
        raise exceptions.Unauthorized('A token is required.', _HINT)
    matching = None
    for token in tokens:
        if hmac.compare_digest(
            credentials.strip().encode(), token.token.encode()
        ):
            matching = token
    if matching is None:
        raise exceptions.Unauthorized('The token is invalid.', _HINT)
    return matching


def check_workspace(token: settings.Token, workspace: str) -> None:
    """Check that a token includes a workspace.

    Raises
    ------
    Forbidden
        If it does not.
    """
    if token.workspaces is None or workspace in token.workspaces:
        return
    raise exceptions.Forbidden(
        f'Token "{token.name}" does not include workspace "{workspace}".',
        'Use a token that includes it.',
    )


def check_unlimited(token: settings.Token) -> None:
    """Check that a token is not limited to some workspaces.

    Raises
    ------
    Forbidden
        If it is limited.
    """
    if token.workspaces is None:
        return
    raise exceptions.Forbidden(
        f'Token "{token.name}" is limited to some workspaces.',
        'Use a token without this limit.',
    )


def check_publication(
    token: settings.Token,
    snapshot: documents.Snapshot,
    publication: publications.Publication,
) -> None:
    """Check that a publication changes only the token's workspaces.

    A service belongs to the workspace that it names and to the one that it
    named before. Models and targets are shared by all workspaces.

    A document that is missing at this entry is not necessarily free: its
    owner may have published it in a version that is not in force here yet.
    The base version must therefore be in force here, so that any such
    change results in a conflict.

    Raises
    ------
    Forbidden
        If it changes other documents.
    Unavailable
        If its base version is not in force at this entry.
    """
    if token.workspaces is None:
        return
    if publication.base_version > snapshot.version:
        raise exceptions.Unavailable(
            f'Base version {publication.base_version} is not in force here.',
            f'Version {snapshot.version} is in force; retry in a few seconds.',
        )
    for document in publication.additions:
        _check_key(token, snapshot, documents.build_key(document))
        if isinstance(document, documents.Service):
            check_workspace(token, document.workspace)
    for key in publication.removals:
        _check_key(token, snapshot, key)


def _check_key(
    token: settings.Token,
    snapshot: documents.Snapshot,
    key: documents.DocumentKey,
) -> None:
    if key.kind is documents.DocumentKind.WORKSPACE:
        check_workspace(token, key.name)
        return
    if key.kind is not documents.DocumentKind.SERVICE:
        check_unlimited(token)
        return
    service = snapshot.services.get(key.name)
    if service is not None:
        check_workspace(token, service.workspace)
