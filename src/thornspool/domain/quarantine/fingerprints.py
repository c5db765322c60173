"""Fingerprints of requests."""

from __future__ import annotations

import xxhash


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
