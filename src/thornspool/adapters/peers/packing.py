"""Compact encoding of incarnations and addresses in frames."""

from __future__ import annotations

import functools
import ipaddress
import uuid

import xxhash

from thornspool.adapters.peers import exceptions

PackedIncarnation = tuple[str, bytes]
"""Host name and bytes of the identifier; the bytes may be empty."""

_SCHEME = 'tcp://'
_PORT_BYTES = 2
_UUID_BYTES = 16
_UUID_TEXT_LENGTH = 36
_CACHE_SIZE = 1024


@functools.lru_cache(_CACHE_SIZE)
def pack_incarnation(incarnation: str) -> PackedIncarnation:
    """Split an incarnation into its host and the bytes of its identifier.

    An incarnation that does not end in a UUID is not split.
    """
    host, separator = incarnation[:-_UUID_TEXT_LENGTH], '-'
    if not host.endswith(separator):
        return incarnation, b''
    text = incarnation[-_UUID_TEXT_LENGTH:]
    try:
        identifier = uuid.UUID(text)
    except ValueError:
        return incarnation, b''
    # Unpacking returns the canonical form, so other forms are not packed.
    if str(identifier) != text:
        return incarnation, b''
    return host.removesuffix(separator), identifier.bytes


@functools.lru_cache(_CACHE_SIZE)
def unpack_incarnation(host: str, identifier: bytes) -> str:
    """Join the parts returned by `pack_incarnation`.

    Raises
    ------
    MalformedFrame
        If the identifier is not a UUID.
    """
    if not identifier:
        return host
    if len(identifier) != _UUID_BYTES:
        raise exceptions.MalformedFrame(
            f'{len(identifier)} bytes are not an identifier of an incarnation.'
        )
    return f'{host}-{uuid.UUID(bytes=identifier)}'


@functools.lru_cache(_CACHE_SIZE)
def digest_incarnation(incarnation: str) -> bytes:
    """Compute the 8-byte digest of an incarnation."""
    return xxhash.xxh3_64_digest(incarnation.encode())


@functools.lru_cache(_CACHE_SIZE)
def pack_address(address: str) -> bytes:
    """Pack ``tcp://ip:port`` into the bytes of the IP address and port.

    Raises
    ------
    MalformedFrame
        If the address does not have this form.
    """
    host, _, port = address.removeprefix(_SCHEME).rpartition(':')
    try:
        ip_address = ipaddress.ip_address(host.strip('[]'))
        return ip_address.packed + int(port).to_bytes(_PORT_BYTES)
    except (ValueError, OverflowError) as error:
        raise exceptions.MalformedFrame(
            f'{address} cannot be packed: {error}.', 'Use tcp://ip:port.'
        ) from error


@functools.lru_cache(_CACHE_SIZE)
def unpack_address(packed: bytes) -> str:
    """Unpack an address to ``tcp://ip:port``.

    Raises
    ------
    MalformedFrame
        If the bytes are not an address.
    """
    try:
        ip_address = ipaddress.ip_address(packed[:-_PORT_BYTES])
    except ValueError as error:
        raise exceptions.MalformedFrame(
            f'{len(packed)} bytes are not an address.'
        ) from error
    port = int.from_bytes(packed[-_PORT_BYTES:])
    host = str(ip_address) if ip_address.version == 4 else f'[{ip_address}]'
    return f'{_SCHEME}{host}:{port}'
