"""What one message on a socket between two entries carries.

A byte with the version of the format comes first, then a MessagePack array.
New releases roll out entry by entry, so a format is changed in two releases:
the first one reads the next version, the second one sends it. An entry drops
a frame of a version that it does not know, counts it and logs the version
once; nobody is told, since who sent it can't be read.
"""

from __future__ import annotations

import typing

import attrs
import msgspec

from thornspool.adapters.peers import exceptions
from thornspool.adapters.peers import kinds
from thornspool.adapters.peers import packing

NO_CORRELATION = 0
NO_RECIPIENT = b''
VERSION = 1

_PREFIX = bytes([VERSION])
_HIGHEST_VERSION = 15
"""Text, TLS and MessagePack arrays begin with larger bytes, so that another
program at the port is not taken for a newer release."""


@attrs.frozen
class Frame:
    """A message with what is needed to answer it.

    Attributes
    ----------
    sender : str
        Incarnation of the sending process.
    address : str
        ``tcp://ip:port`` at which the sender takes messages.
    kind : str
        Registered name of the body's type.
    correlation : int
        Number of the question, 0 for a message that wants no reply.
    recipient : bytes
        For a reply, the digest of the incarnation that asked; empty
        otherwise. A process that restarts at the same address numbers its
        questions from one again, and without this field a late reply to its
        predecessor would be taken for the answer to another question.
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
        The sender's address has no IP number.
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
        A release that knows another format sent it.
    MalformedFrame
        The bytes are no frame.
    """
    version = data[0] if data else 0
    if version != VERSION:
        _refuse(version, len(data))
    try:
        host, identifier, address, kind, correlation, recipient, body = (
            _decoder.decode(data[1:])
        )
    except msgspec.MsgspecError as error:
        raise exceptions.MalformedFrame(
            f'{len(data)} bytes are no frame: {error}.'
        ) from error
    return Frame(
        packing.unpack_incarnation(host, identifier),
        packing.unpack_address(address),
        kinds.unpack_kind(kind),
        correlation,
        recipient,
        body,
    )


def _refuse(version: int, size: int) -> typing.NoReturn:
    if 0 < version <= _HIGHEST_VERSION:
        raise exceptions.UnknownVersion(version)
    raise exceptions.MalformedFrame(f'{size} bytes are no frame.')
