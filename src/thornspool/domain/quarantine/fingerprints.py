"""Fingerprints of requests and of parts of their prompts."""

from __future__ import annotations

import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

PART_PREFIX = '0' * 8
"""Beginning of the names of parts, which tells them from fingerprints.

Names of both kinds have the same form, so that messages and stored verdicts
carry either.
"""

_SHORT_DIGITS = 8


def fingerprint_call(
    workspace: str, service: str, operation: str, body: bytes
) -> str:
    """Compute the fingerprint of a call to a plain service.

    The idempotency key is not part of the fingerprint: a caller that
    retries a payout under a new key sends the same request that crashed
    the target.
    """
    return compute_fingerprint(workspace, f'{service}/{operation}', body)


def compute_fingerprint(workspace: str, model: str, body: bytes) -> str:
    """Compute the fingerprint of a request.

    Two requests with the same fingerprint share a verdict. Collisions are
    therefore avoided by using 128 bits and by hashing the length of each
    part before the part: moving a byte from one part to the next changes
    the fingerprint.

    Parameters
    ----------
    workspace, model : str
        Workspace of the caller, and the model or service it requested.
    body : bytes
        Request body as received.

    Returns
    -------
    str
        32 hexadecimal digits.
    """
    digest = xxhash.xxh3_128()
    for part in (workspace.encode(), model.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def compute_part_name(service: str, part: str) -> str:
    """Compute the name of a part of a prompt.

    It does not depend on the caller, since callers share parts. A service
    may run well what crashes the servers of another.

    Parameters
    ----------
    service : str
        Service that handles the requests.
    part : str
        Identifier of the part.

    Returns
    -------
    str
        32 hexadecimal digits.
    """
    digest = compute_fingerprint('', f'part {service}', part.encode())
    return PART_PREFIX + digest[len(PART_PREFIX) :]


def is_part(name: str) -> bool:
    """Return whether a name is that of a part of a prompt."""
    return name.startswith(PART_PREFIX)


def shorten(names: Iterable[str]) -> str:
    """Return the ends of names for the log, separated by commas."""
    return ','.join(name[-_SHORT_DIGITS:] for name in names)
