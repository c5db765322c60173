"""Bearer tokens of operators."""

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
    """Return the token that a request carries.

    Every known token is compared, and each in constant time, so that the
    time of the answer tells nothing about how close a guess was.

    Parameters
    ----------
    header : str
        Value of the ``Authorization`` header.
    tokens : sequence of Token
        The tokens that are known.

    Raises
    ------
    Unauthorized
        If there is none or it is not known.
    """
    scheme, _, given = header.partition(' ')
    if scheme.lower() != _SCHEME:
        raise exceptions.Unauthorized('A token is required.', _HINT)
    found = None
    for token in tokens:
        if hmac.compare_digest(given.strip().encode(), token.token.encode()):
            found = token
    if found is None:
        raise exceptions.Unauthorized('The token is not known.', _HINT)
    return found


def check_workspace(token: settings.Token, workspace: str) -> None:
    """Refuse a token that does not cover a workspace.

    Raises
    ------
    Forbidden
        If it does not.
    """
    if token.workspaces is None or workspace in token.workspaces:
        return
    raise exceptions.Forbidden(
        f'Token "{token.name}" does not cover workspace "{workspace}".',
        'Ask for a token that does.',
    )


def check_unlimited(token: settings.Token) -> None:
    """Refuse a token that is limited to some workspaces.

    Raises
    ------
    Forbidden
        If it is.
    """
    if token.workspaces is None:
        return
    raise exceptions.Forbidden(
        f'Token "{token.name}" is limited to some workspaces.',
        'Ask an operator of the whole system.',
    )


def check_publication(
    token: settings.Token,
    snapshot: documents.Snapshot,
    publication: publications.Publication,
) -> None:
    """Refuse a publication that reaches beyond the token's workspaces.

    A service counts to the workspace that it names and to the one that it
    named before. Models and targets are shared by all.

    What this entry does not know of yet is no reason to allow it: whoever
    owns a name now may have published it in a version that is not in force
    here. A base that is in force here makes each such change a conflict.

    Raises
    ------
    Forbidden
        If it does.
    Unavailable
        If its base is not in force here yet.
    """
    if token.workspaces is None:
        return
    if publication.base_version > snapshot.version:
        raise exceptions.Unavailable(
            f'Base version {publication.base_version} is not in force here.',
            f'Version {snapshot.version} is; send it again in a few seconds.',
        )
    for document in publication.additions:
        _check_key(token, snapshot, documents.identify(document))
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
