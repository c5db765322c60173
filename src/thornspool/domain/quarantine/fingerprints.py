"""Fingerprints of requests."""

from __future__ import annotations

import xxhash


def fingerprint_call(
    workspace: str, service: str, operation: str, body: bytes
) -> str:
    """Compute the fingerprint of a call to a plain service.

    Its idempotency key has no part in it: a caller that sends a payout
    again under a new key sends what crashed the target.
    """
    return compute_fingerprint(workspace, f'{service}/{operation}', body)


def compute_fingerprint(workspace: str, model: str, body: bytes) -> str:
    """Compute the fingerprint of a request.

    Two requests with one fingerprint share a verdict, so it has 128 bits,
    and each part is preceded by its length: moving a byte from one part to
    the next gives another fingerprint.

    Parameters
    ----------
    workspace, model : str
        Whose request, to which model or service.
    body : bytes
        Its body as it came.

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
