"""Requests and messages of the quarantine between entries, as datagrams."""

from __future__ import annotations

import asyncio
import typing

import attrs
import msgspec
import structlog

from thornspool import decoding
from thornspool.application import exceptions
from thornspool.domain.quarantine import messages

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Coroutine

MAX_RECORDS = 64
"""Records in one message, so that it fits into a datagram."""

KINDS: dict[int, type] = {
    1: messages.QuarantineNews,
    2: messages.QuarantineDigest,
    3: messages.ReservationRequest,
    4: messages.ReservationReply,
    5: messages.ReservationRelease,
}
"""Kinds of messages by their numbers on the wire, which are never reused."""

_NUMBERS = {kind: number for number, kind in KINDS.items()}
_MS_PER_S = 1000.0

logger = structlog.get_logger(__name__)

Handler = typing.Callable[[str, typing.Any], 'Awaitable[typing.Any]']


@attrs.frozen
class Call:
    """A message to a peer.

    Attributes
    ----------
    kind : int
        Number of the kind of its body.
    sender : str
        Incarnation of the sender.
    sequence : int
        Matches a reply with its request; 0 for a message without a reply.
    is_reply : bool
        Whether it is the reply.
    body : bytes
        Encoded message.
    """

    kind: int
    sender: str
    sequence: int
    is_reply: bool
    body: bytes


class PeerCalls:
    """Messaging between entries; messages may be lost or come late.

    Parameters
    ----------
    incarnation : str
        Incarnation of the local entry.
    send : callable
        Sends a message to ``ip:port``.
    start_task : callable
        Runs a coroutine as a background task.
    """

    def __init__(
        self,
        incarnation: str,
        send: Callable[[str, Call], None],
        start_task: Callable[[Coroutine[typing.Any, typing.Any, None]], None],
    ) -> None:
        self._incarnation = incarnation
        self._send = send
        self._start_task = start_task
        self._handlers: dict[type, Handler] = {}
        self._replies: dict[int, asyncio.Future[typing.Any]] = {}
        self._sequence = 0

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register a coroutine as the handler of one type of message."""
        self._handlers[message_type] = handler

    def send(self, peer_address: str, message: typing.Any) -> None:
        """Send a message without waiting for a reply; it may be lost."""
        for part in _split(message):
            self._send(peer_address, self._encode(part))

    async def request(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        """Send a message and wait for its reply.

        Raises
        ------
        exceptions.PeerUnreachable
            No reply arrived in time.
        """
        self._sequence += 1
        sequence = self._sequence
        reply = asyncio.get_running_loop().create_future()
        self._replies[sequence] = reply
        self._send(peer_address, self._encode(message, sequence))
        try:
            async with asyncio.timeout(timeout_ms / _MS_PER_S):
                return await reply
        except TimeoutError as error:
            raise exceptions.PeerUnreachable(
                f'{peer_address} sent no reply within {timeout_ms} ms.'
            ) from error
        finally:
            del self._replies[sequence]

    def receive(self, call: Call, address: str) -> None:
        """Handle a message that arrived from ``ip:port``."""
        kind = KINDS.get(call.kind)
        if kind is None:
            logger.warning('datagram_malformed', reason=f'kind {call.kind}')
            return
        try:
            message: typing.Any = decoding.decode_msgpack(call.body, kind)
        except decoding.DecodeError as error:
            logger.warning('datagram_malformed', reason=str(error))
            return
        if call.is_reply:
            reply = self._replies.get(call.sequence)
            if reply is not None and not reply.done():
                reply.set_result(message)
        elif kind in self._handlers:
            self._start_task(self._handle(call, message, address))

    async def _handle(
        self, call: Call, message: typing.Any, address: str
    ) -> None:
        reply = await self._handlers[type(message)](call.sender, message)
        if call.sequence and reply is not None:
            self._send(address, self._encode(reply, call.sequence, True))

    def _encode(
        self, message: typing.Any, sequence: int = 0, is_reply: bool = False
    ) -> Call:
        return Call(
            _NUMBERS[type(message)],
            self._incarnation,
            sequence,
            is_reply,
            msgspec.msgpack.encode(message),
        )


def _split(message: typing.Any) -> list[typing.Any]:
    """Split records that are too many for a datagram."""
    if not isinstance(message, messages.QuarantineNews):
        return [message]
    records = message.records
    return [
        messages.QuarantineNews(records[start : start + MAX_RECORDS])
        for start in range(0, len(records), MAX_RECORDS)
    ]
