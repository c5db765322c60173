"""Time-ordered identifiers (UUID version 7, RFC 9562)."""

from __future__ import annotations

import uuid

_TIMESTAMP_SHIFT = 80
_VERSION = 7 << 76
_VARIANT = 0b10 << 62
_RAND_A_MASK = (1 << 12) - 1
_RAND_B_MASK = (1 << 62) - 1


def make_uuid7(wall: int, random_bits: int) -> uuid.UUID:
    """Build a UUID version 7.

    Parameters
    ----------
    wall : int
        Milliseconds since the Unix epoch, at most 48 bits.
    random_bits : int
        At least 74 random bits; higher bits are ignored.

    Returns
    -------
    uuid.UUID
        Identifier with the time in its first 48 bits.
    """
    rand_a = (random_bits >> 62) & _RAND_A_MASK
    rand_b = random_bits & _RAND_B_MASK
    value = wall << _TIMESTAMP_SHIFT
    value |= _VERSION | rand_a << 64 | _VARIANT | rand_b
    return uuid.UUID(int=value)


def read_uuid7_time(identifier: uuid.UUID) -> int | None:
    """Return the timestamp of a UUID version 7.

    Parameters
    ----------
    identifier : uuid.UUID
        UUID of any version.

    Returns
    -------
    int or None
        Milliseconds since the Unix epoch; None if the version is not 7.
    """
    if identifier.version != 7:
        return None
    return identifier.int >> _TIMESTAMP_SHIFT
