"""Datagrams between entries.

News is worth nothing after half a second, and a connection to a host that
is frozen or cut off would keep it for later; so it goes by datagrams, one
loss of which the next one mends.
"""

from __future__ import annotations

import asyncio
import math
import typing

import msgspec
import structlog

from thornspool.domain.entries import messages

if typing.TYPE_CHECKING:
    from collections.abc import Callable

MAX_BYTES = 60_000
"""Largest datagram that is sent; UDP over IPv4 ends at 65,507."""

TAKEN_UNIT = 1000.0
"""Token-layers of one unit in news; a usual request takes some 8,000."""

logger = structlog.get_logger(__name__)


class _News(msgspec.Struct, array_like=True):
    host: str
    incarnation: str
    state: str
    stamp: int
    heard_stamp: int
    revision: int
    proof_age_ms: int
    # Thousands, which are two bytes in place of five.
    taken: dict[int, int]
    suspects: list[str]


def encode_news(news: messages.News) -> bytes:
    """Encode news."""
    return msgspec.msgpack.encode(
        _News(
            news.host,
            news.incarnation,
            news.state.value,
            news.stamp,
            news.heard_stamp,
            news.revision,
            news.proof_age_ms,
            {
                mark: math.ceil(taken / TAKEN_UNIT)
                for mark, taken in news.taken.items()
            },
            list(news.suspects),
        )
    )


def decode_news(raw: bytes) -> messages.News | None:
    """Decode news; None for bytes that are none, which are logged."""
    try:
        read = msgspec.msgpack.decode(raw, type=_News)
        state = messages.State(read.state)
    except (msgspec.DecodeError, ValueError) as error:
        logger.warning('news_malformed', reason=str(error))
        return None
    return messages.News(
        read.host,
        read.incarnation,
        state,
        read.stamp,
        read.heard_stamp,
        read.revision,
        read.proof_age_ms,
        {mark: taken * TAKEN_UNIT for mark, taken in read.taken.items()},
        tuple(read.suspects),
    )


class Datagrams(asyncio.DatagramProtocol):
    """Sends and takes news.

    Parameters
    ----------
    take : callable
        Takes what peers tell.
    """

    def __init__(self, take: Callable[[messages.News], None]) -> None:
        self._take = take
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, ip: str, port: int) -> None:
        """Listen for peers."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take one datagram."""
        news = decode_news(data)
        if news is not None:
            self._take(news)

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram could not be delivered."""
        logger.debug('datagram_failed', reason=str(exc))

    def send(self, address: str, news: messages.News) -> None:
        """Send news to ``ip:port``."""
        if self._transport is None or self._transport.is_closing():
            return
        raw = encode_news(news)
        if len(raw) > MAX_BYTES:
            logger.warning('news_too_large', bytes=len(raw))
            return
        ip, _, port = address.rpartition(':')
        self._transport.sendto(raw, (ip, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
