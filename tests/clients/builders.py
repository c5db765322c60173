"""Builders of the bytes that clients under test send."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins import kv_fleet

if TYPE_CHECKING:
    from tests.platform import deployment

BODY_BYTES = 4_194_304
"""Largest legal body."""

HEAD_BYTES = 16_384
"""Largest legal head."""

LIMITS = {
    'max_header_bytes': HEAD_BYTES,
    'max_body_bytes': BODY_BYTES,
    'header_timeout_ms': 3_000,
    'idle_timeout_ms': 15_000,
}
"""Limits on clients, in the platform's configuration."""

ROUTES = ('/read/', '/hold/', '/brief/')
PATHS = {
    'route': '/read/x',
    'action': '/hold/x',
    'stream': '/brief/x',
    'no route': '/none/x',
    'readiness': '/v1/readiness',
    'lookups': '/v1/lookup?name=desk.example&region=r&zone=a',
    'metrics': '/metrics',
    'peers': '/read/x',
}
"""Path of the requests at each door."""

PORTS = {'readiness': 1, 'lookups': 2, 'peers': 3, 'metrics': 4}
"""Number of the port of each door; 0, the port for callers, by default."""


def build_head(method: str, path: str, *lines: str) -> bytes:
    """Build the head of a request with a valid key and a deadline."""
    return '\r\n'.join(
        (
            f'{method} {path} HTTP/1.1',
            f'Host: {kv_fleet.HOST}',
            f'Authorization: Bearer {kv_fleet.KEY}',
            'Attempt-Id: crowd',
            'Token-Usage: 500,200',
            'Deadline-Ms: 3000',
            *lines,
            '\r\n',
        )
    ).encode()


def build_fields(count: int, same: bool = False) -> list[str]:
    """Build empty header fields, with a name each or with the same name."""
    return ['a:' if same else f'{number:x}:' for number in range(count)]


def build_parts(count: int) -> str:
    """Build a header that names parts of a prompt."""
    parts = ','.join(f'{number:x}:1' for number in range(count))
    return f'Prompt-Prefix: {parts}'


def set_limits(deployed: deployment.Deployment) -> None:
    """Publish a configuration with the limits on clients."""
    document = kv_fleet.build_configuration(2)
    document['limits'] = dict(LIMITS)
    deployed.control(put='op/config', document=document)
