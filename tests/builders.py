"""Builders of test data and a fake clock."""

from __future__ import annotations

import random
import typing

from thornspool import clock
from thornspool import identifiers
from thornspool.application import ports

WALL_START = 1_790_000_000_000

ODD_ADDRESSES = (
    '',
    'nowhere',
    ':80',
    '127.0.0.1:',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:65536',
    '127.0.0.1:' + '9' * 40,
    '127.0.0.1: 80',
    '127.0.0.1:\u0661',
    '127.0.0.1:80/path?query#part',
    'user@127.0.0.1:80',
    '127.0.0.1:80\r\nX: 1',
    '\x00:80',
)
"""Texts that name no address and port."""

UNREADABLE_DOCUMENTS = {
    'empty': b'',
    'no JSON': b'{"state":',
    'another type': b'[1]',
    'no UTF-8': b'{"name":"\xff\xfe"}',
    'lone surrogate': b'{"name":"\\ud800"}',
    'zeros': b'\x00' * 9,
    'long number': b'{"name":' + b'9' * 5_000 + b'}',
    'nested arrays': b'{"sequence":' + b'[' * 2_000 + b']' * 2_000 + b'}',
    'nested objects': b'{"a":' * 2_000 + b'1' + b'}' * 2_000,
    'nearly too deep': b'{"sequence":' + b'[' * 985 + b']' * 985 + b'}',
    'opening brackets': b'[' * 500_000,
}
"""Bytes that no decoder of a JSON document accepts, by what is wrong."""


class FakeClock(clock.Clock):
    """Clock whose time changes only when a test advances it."""

    def __init__(self, now: int = 0, wall: int = WALL_START) -> None:
        self._now = now
        self._wall = wall

    def now(self) -> int:
        return self._now

    def wall(self) -> int:
        return self._wall

    def advance(self, milliseconds: int) -> None:
        self._now += milliseconds
        self._wall += milliseconds


def build_key(seed: int, wall: int = WALL_START) -> str:
    """Build the text of a UUID version 7 with random bits from a seed."""
    random_bits = random.Random(seed).getrandbits(74)
    return str(identifiers.make_uuid7(wall, random_bits))


def build_member(name: str = 'entry-1', **changes: object) -> ports.Member:
    """Build a member whose addresses are derived from its name."""
    values: dict[str, object] = {
        'incarnation': f'{name}-1',
        'host': name,
        'failure_domain': 'perth-a',
        'region': 'perth',
        'peer_address': f'tcp://{name}:7000',
        'caller_url': f'http://{name}:8000',
    }
    values.update(changes)
    return ports.Member(**values)  # type: ignore[arg-type]


OPERATOR_TOKEN = 'operator-token-for-tests'


def build_settings(**changes: object) -> dict[str, typing.Any]:
    """Build the decoded content of a valid settings file."""
    values: dict[str, typing.Any] = {
        'host': 'perth-1',
        'failure_domain': 'perth-a',
        'callers': {'listen': '127.0.0.1:0'},
        'operators': {
            'listen': '127.0.0.1:0',
            'tokens': [{'name': 'tests', 'token': OPERATOR_TOKEN}],
        },
        'peers': {'listen': '127.0.0.1:0'},
        'platform': {'kind': 'memory'},
    }
    values.update(changes)
    return values
