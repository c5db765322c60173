"""Datagrams between entries: news, and changes of the store's keys.

News is worth nothing after half a second, and a connection to a host that
is frozen or cut off would keep it for later; so it goes by datagrams, one
loss of which the next one mends.
"""

from __future__ import annotations

import asyncio
import math
import typing
import zlib

import msgspec
import structlog

from thornspool.domain.entries import messages
from thornspool.platform import follower
from thornspool.platform import store

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

MAX_BYTES = 60_000
"""Largest datagram that is sent; UDP over IPv4 ends at 65,507."""

TAKEN_UNIT = 1000.0
"""Token-layers of one unit in news; a usual request takes some 8,000."""

PACE_UNITS = 10
"""Units of a pace in news: tenths, as finer ones change no path."""

COMPRESSION_LEVEL = 1
"""The fastest; a configuration of 1,900 routes shrinks from 376 kB to under
a tenth of it in some 4 ms."""

logger = structlog.get_logger(__name__)


class _News(msgspec.Struct, array_like=True, tag=0):
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
    scope: str
    absent: list[str]
    # Tenths.
    slow: dict[int, int]
    refusing: list[int]
    work: dict[int, int]
    breaking: list[int] = []
    # First layer and end.
    moving: dict[int, tuple[int, int]] = {}
    shut_out_ms: int = 0


class _Update(msgspec.Struct, array_like=True, tag=1):
    since: int
    until: int
    # Compressed.
    items: bytes
    exact: bool = False


_Items = list[tuple[str, int, bytes | None]]

_DECODER = msgspec.msgpack.Decoder(_News | _Update)


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
            news.scope.value,
            list(news.absent),
            {
                mark: round(pace * PACE_UNITS)
                for mark, pace in news.slow.items()
            },
            list(news.refusing),
            {mark: round(amount) for mark, amount in news.work.items()},
            list(news.breaking),
            news.moving,
            news.shut_out_ms,
        )
    )


def encode_update(update: follower.Update) -> bytes:
    """Encode changes of the store's keys."""
    items = [(one.key, one.revision, one.value) for one in update.items]
    packed = zlib.compress(msgspec.msgpack.encode(items), COMPRESSION_LEVEL)
    return msgspec.msgpack.encode(
        _Update(update.since, update.until, packed, update.exact)
    )


def decode(raw: bytes) -> messages.News | follower.Update | None:
    """Decode a datagram; None for bytes that are none, which are logged."""
    try:
        read = _DECODER.decode(raw)
        if isinstance(read, _Update):
            return _convert_update(read)
        return _convert_news(read)
    except (msgspec.DecodeError, ValueError, zlib.error) as error:
        logger.warning('datagram_malformed', reason=str(error))
        return None


def _convert_update(read: _Update) -> follower.Update:
    items = msgspec.msgpack.decode(zlib.decompress(read.items), type=_Items)
    return follower.Update(
        read.since,
        read.until,
        tuple(store.Item(*one) for one in items),
        read.exact,
    )


def _convert_news(read: _News) -> messages.News:
    state = messages.State(read.state)
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
        messages.Scope(read.scope),
        tuple(read.absent),
        {mark: pace / PACE_UNITS for mark, pace in read.slow.items()},
        tuple(read.refusing),
        {mark: float(amount) for mark, amount in read.work.items()},
        tuple(read.breaking),
        read.moving,
        read.shut_out_ms,
    )


class Datagrams(asyncio.DatagramProtocol):
    """Sends and takes news and changes.

    Parameters
    ----------
    take_news, take_update : callable
        Take what peers tell.
    """

    def __init__(
        self,
        take_news: Callable[[messages.News], None],
        take_update: Callable[[follower.Update], None],
    ) -> None:
        self._take_news = take_news
        self._take_update = take_update
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
        read = decode(data)
        if isinstance(read, messages.News):
            self._take_news(read)
        elif read is not None:
            self._take_update(read)

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram could not be delivered."""
        logger.debug('datagram_failed', reason=str(exc))

    def send(self, address: str, news: messages.News) -> None:
        """Send news to ``ip:port``."""
        raw = encode_news(news)
        if len(raw) > MAX_BYTES:
            logger.warning('news_too_large', bytes=len(raw))
            return
        self._send_raw(address, raw)

    def send_update(
        self, addresses: Iterable[str], update: follower.Update
    ) -> None:
        """Send changes to many; large ones are left for them to ask for."""
        raw = encode_update(update)
        if len(raw) > MAX_BYTES:
            logger.info('update_too_large', bytes=len(raw))
            return
        for address in addresses:
            self._send_raw(address, raw)

    def _send_raw(self, address: str, raw: bytes) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        ip, _, port = address.rpartition(':')
        self._transport.sendto(raw, (ip, int(port)))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
