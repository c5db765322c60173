"""What one message on a socket between two entries carries."""

from __future__ import annotations

import attrs
import msgspec

from thornspool.adapters.peers import exceptions

NO_CORRELATION = 0


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
    recipient : str
        For a reply, the incarnation that asked; empty otherwise. A process
        that restarts at the same address numbers its questions from one
        again, and without this field a late reply to its predecessor would
        be taken for the answer to another question.
    body : bytes
        The encoded message.
    """

    sender: str
    address: str
    kind: str
    correlation: int
    recipient: str
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[str, str, str, int, str, bytes])


def encode(frame: Frame) -> bytes:
    """Encode a frame as a MessagePack array, to spare the field names."""
    return _encoder.encode(
        (
            frame.sender,
            frame.address,
            frame.kind,
            frame.correlation,
            frame.recipient,
            frame.body,
        )
    )


def decode(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    MalformedFrame
        The bytes are no frame.
    """
    try:
        return Frame(*_decoder.decode(data))
    except msgspec.MsgspecError as error:
        raise exceptions.MalformedFrame(
            f'{len(data)} bytes are no frame: {error}.'
        ) from error
