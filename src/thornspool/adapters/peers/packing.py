"""Short forms of incarnations and addresses for frames."""

from __future__ import annotations

import functools
import ipaddress
import uuid

import xxhash

from thornspool.adapters.peers import exceptions

PackedIncarnation = tuple[str, bytes]
"""Name of the host and the bytes of the identifier; these may be empty."""

_SCHEME = 'tcp://'
_PORT_BYTES = 2
_UUID_BYTES = 16
_UUID_LETTERS = 36
_REMEMBERED = 1024


@functools.lru_cache(_REMEMBERED)
def pack_incarnation(incarnation: str) -> PackedIncarnation:
    """Split an incarnation into its host and the bytes of its identifier.

    One that does not end in a UUID stays whole.
    """
    host, dash = incarnation[:-_UUID_LETTERS], '-'
    if not host.endswith(dash):
        return incarnation, b''
    text = incarnation[-_UUID_LETTERS:]
    try:
        identifier = uuid.UUID(text)
    except ValueError:
        return incarnation, b''
    # Other spellings of a UUID would come back as the usual one.
    if str(identifier) != text:
        return incarnation, b''
    return host.removesuffix(dash), identifier.bytes


@functools.lru_cache(_REMEMBERED)
def unpack_incarnation(host: str, identifier: bytes) -> str:
    """Join what `pack_incarnation` split.

    Raises
    ------
    MalformedFrame
        The identifier is no UUID.
    """
    if not identifier:
        return host
    if len(identifier) != _UUID_BYTES:
        raise exceptions.MalformedFrame(
            f'{len(identifier)} bytes are no identifier of an incarnation.'
        )
    return f'{host}-{uuid.UUID(bytes=identifier)}'


@functools.lru_cache(_REMEMBERED)
def digest_incarnation(incarnation: str) -> bytes:
    """Digest an incarnation to 8 bytes, for those who know their own."""
    return xxhash.xxh3_64_digest(incarnation.encode())


@functools.lru_cache(_REMEMBERED)
def pack_address(address: str) -> bytes:
    """Pack ``tcp://ip:port`` into the bytes of both numbers.

    Raises
    ------
    MalformedFrame
        It is not of that form.
    """
    host, _, port = address.removeprefix(_SCHEME).rpartition(':')
    try:
        number = ipaddress.ip_address(host.strip('[]'))
        return number.packed + int(port).to_bytes(_PORT_BYTES)
    except (ValueError, OverflowError) as error:
        raise exceptions.MalformedFrame(
            f'{address} cannot be packed: {error}.', 'Use tcp://ip:port.'
        ) from error


@functools.lru_cache(_REMEMBERED)
def unpack_address(packed: bytes) -> str:
    """Return the address that was packed.

    Raises
    ------
    MalformedFrame
        The bytes are no address.
    """
    try:
        number = ipaddress.ip_address(packed[:-_PORT_BYTES])
    except ValueError as error:
        raise exceptions.MalformedFrame(
            f'{len(packed)} bytes are no address.'
        ) from error
    port = int.from_bytes(packed[-_PORT_BYTES:])
    host = str(number) if number.version == 4 else f'[{number}]'
    return f'{_SCHEME}{host}:{port}'
