"""Refusals of requests before they are read completely."""

from __future__ import annotations

import http.client
import typing

import msgspec

MEMORY_RETRY_MS = 500
"""Retry-After while the memory for requests is full. A body arrives and is
served in about that time."""

BUSY_RETRY_MS = 1_000
"""Retry-After while demanding heads have to wait; they do so for a second."""

Refusal = tuple[int, str, int | None]
"""Status, reason, and Retry-After in milliseconds."""

RefusalFormatter = typing.Callable[
    [int, str, int | None], tuple[tuple[tuple[str, str], ...], bytes]
]


def format_refusal(
    status: int, reason: str, retry_after_ms: int | None
) -> tuple[tuple[tuple[str, str], ...], bytes]:
    """Format the refusal of a request that was not run.

    Parameters
    ----------
    status : int
        HTTP status.
    reason : str
        Short name of the reason.
    retry_after_ms : int or None
        Time after which a retry may succeed, in milliseconds; None if it
        would not.

    Returns
    -------
    tuple of headers and bytes
        Headers without those on the connection, and the body.
    """
    headers = [('Content-Type', 'application/json')]
    if retry_after_ms is not None:
        headers.append(('Retry-After', f'{retry_after_ms / 1000:.3f}'))
    return tuple(headers), msgspec.json.encode({'error': reason})


def build_refusal(
    refusal: Refusal, format_body: RefusalFormatter, has_body: bool
) -> bytes:
    """Build the bytes of a refusal after which the connection is closed.

    Parameters
    ----------
    refusal : tuple
        Status, reason, and Retry-After in milliseconds.
    format_body : callable
        Formats the refusal for the clients of the listener.
    has_body : bool
        Whether the body is sent; the answer to HEAD has none.
    """
    status, reason, retry_after_ms = refusal
    headers, body = format_body(status, reason, retry_after_ms)
    lines = [
        f'HTTP/1.1 {status} {http.client.responses.get(status, "Unknown")}',
        *(f'{name}: {value}' for name, value in headers),
        f'Content-Length: {len(body)}',
        'Connection: close',
        '\r\n',
    ]
    return '\r\n'.join(lines).encode() + (body if has_body else b'')
