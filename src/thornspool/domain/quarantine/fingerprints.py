"""Fingerprints of requests and of parts of their prompts."""

from __future__ import annotations

import typing

import xxhash

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

SHORT_DIGITS = 8
"""Digits of the name of a part in the log."""


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

    It does not depend on the caller, since callers share parts.

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
    return compute_fingerprint('', f'part {service}', part.encode())


def shorten(names: Iterable[str]) -> str:
    """Return the beginnings of names for the log, separated by commas."""
    return ','.join(name[:SHORT_DIGITS] for name in names)
