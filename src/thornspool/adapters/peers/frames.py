"""Wire format of messages between entries.

A frame is a byte with the format version, followed by a MessagePack array.
New releases are deployed one entry at a time, so a format change takes two
releases: the first one reads the new version, the second one sends it. An
entry drops and counts frames with an unknown version and logs each version
once. It does not reply, because it cannot decode the sender.
"""

from __future__ import annotations

import typing

import attrs
import msgspec

from thornspool import decoding
from thornspool.adapters.peers import exceptions
from thornspool.adapters.peers import kinds
from thornspool.adapters.peers import packing

NO_CORRELATION = 0
NO_RECIPIENT = b''
VERSION = 1

_PREFIX = bytes([VERSION])
_MAX_VERSION = 15
"""Text, TLS and MessagePack arrays start with larger bytes, so that data of
another program is not mistaken for a frame of a newer release."""


@attrs.frozen
class Frame:
    """A message with the fields that are needed to reply.

    Attributes
    ----------
    sender : str
        Incarnation of the sending process.
    address : str
        ``tcp://ip:port`` on which the sender receives messages.
    kind : str
        Registered name of the body's type.
    correlation : int
        Number of the request; 0 for a message without a reply.
    recipient : bytes
        For a reply, the digest of the requesting incarnation; empty
        otherwise. A process that restarts at the same address numbers its
        requests from one again. Without this field, a late reply to the
        previous process would be matched to a different request.
    body : bytes
        The encoded message.
    """

    sender: str
    address: str
    kind: str
    correlation: int
    recipient: bytes
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(
    tuple[str, bytes, bytes, int | str, int, bytes, bytes]
)


def encode(frame: Frame) -> bytes:
    """Encode a frame.

    Raises
    ------
    MalformedFrame
        If the address of the sender is not numeric.
    """
    return _PREFIX + _encoder.encode(
        (
            *packing.pack_incarnation(frame.sender),
            packing.pack_address(frame.address),
            kinds.pack_kind(frame.kind),
            frame.correlation,
            frame.recipient,
            frame.body,
        )
    )


def decode(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    UnknownVersion
        If the format version is not supported.
    MalformedFrame
        If the bytes are not a valid frame.
    """
    version = data[0] if data else 0
    if version != VERSION:
        _raise_unreadable(version, len(data))
    try:
        with decoding.translate_errors():
            host, identifier, address, kind, correlation, recipient, body = (
                _decoder.decode(data[1:])
            )
    except decoding.DecodeError as error:
        raise exceptions.MalformedFrame(
            f'{len(data)} bytes are not a valid frame: {error}.'
        ) from error
    return Frame(
        packing.unpack_incarnation(host, identifier),
        packing.unpack_address(address),
        kinds.unpack_kind(kind),
        correlation,
        recipient,
        body,
    )


def _raise_unreadable(version: int, size: int) -> typing.NoReturn:
    if 0 < version <= _MAX_VERSION:
        raise exceptions.UnknownVersion(version)
    raise exceptions.MalformedFrame(f'{size} bytes are not a valid frame.')
