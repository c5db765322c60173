"""Sockets to other entries, dialled on demand and limited in number."""

from __future__ import annotations

import asyncio
import collections
import typing
import urllib.parse

import attrs
import pynng

from thornspool.adapters.peers import exceptions

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from thornspool import clock

MAX_LINKS = 400
SEND_BUFFER_MESSAGES = 256
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
UNRESPONSIVE_MS = 3000


@attrs.define
class _Link:
    """A socket to one peer.

    Attributes
    ----------
    socket : pynng.Push0
        Sends in order and buffers a limited number of messages while it
        connects.
    unanswered_since : int or None
        Time in milliseconds of the first message sent after the last one
        received from the peer.
    is_lost : bool
        Whether the connection broke or was closed by the peer.
    is_dropped : bool
        Whether the socket was closed locally.
    """

    socket: pynng.Push0
    unanswered_since: int | None = None
    is_lost: bool = False
    is_dropped: bool = False


def _ignore(address: str) -> None:
    """Ignore a lost connection."""


class Links:
    """One sending socket per peer; closes the least recently used one.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_links : int
        Maximum number of open sockets.
    on_lost : callable
        Called with the address of a peer whose connection closed, on a
        thread of nng.
    """

    def __init__(
        self,
        clock: clock.Clock,
        max_links: int = MAX_LINKS,
        on_lost: Callable[[str], None] = _ignore,
    ) -> None:
        self._clock = clock
        self._max_links = max_links
        self._on_lost = on_lost
        self._links: collections.OrderedDict[str, _Link]
        self._links = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._links)

    def send(self, address: str, data: bytes) -> None:
        """Pass bytes to the socket of a peer without blocking.

        Raises
        ------
        MessageTooLarge
            If the message exceeds the maximum size.
        SendBufferFull
            If the send buffer of the peer is full.
        PeersError
            If the address cannot be dialled.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise exceptions.MessageTooLarge(
                f'A message of {len(data)} bytes exceeds the limit of '
                f'{MAX_MESSAGE_BYTES}.',
                'Split it into several messages.',
            )
        link = self._open(address)
        try:
            link.socket.send(data, block=False)
        except pynng.TryAgain as error:
            raise exceptions.SendBufferFull(
                f'{SEND_BUFFER_MESSAGES} messages are queued for {address}.'
            ) from error
        except pynng.NNGException as error:
            self.drop(address)
            raise exceptions.PeersError(
                f'Cannot send to {address}: {error}.'
            ) from error

    def record_received(self, address: str) -> None:
        """Record a message from a peer, so that its socket is kept."""
        link = self._links.get(address)
        if link is not None:
            link.unanswered_since = None

    def is_connected(self, address: str) -> bool:
        """Return whether the socket to a peer is connected."""
        link = self._links.get(address)
        return link is not None and bool(link.socket.pipes)

    def is_lost(self, address: str) -> bool:
        """Return whether the connection to a peer closed without reconnect.

        A peer that was never connected is not lost; it may be connecting.
        """
        link = self._links.get(address)
        return link is not None and link.is_lost

    def drop(self, address: str) -> None:
        """Close the socket of a peer and discard its queued messages."""
        link = self._links.pop(address, None)
        if link is not None:
            link.is_dropped = True
            link.socket.close()

    def close(self) -> None:
        """Close every socket."""
        while self._links:
            self.drop(next(iter(self._links)))

    def _open(self, address: str) -> _Link:
        now = self._clock.now()
        link = self._links.get(address)
        # After a host crash or a network partition, TCP keeps the connection
        # and retransmits at intervals of up to two minutes. The peer would
        # stay unreachable for that time after the network recovers, so the
        # socket of an unresponsive peer is replaced.
        if link is not None and _is_unresponsive(link, now):
            self.drop(address)
            link = None
        if link is None:
            link = self._dial(address)
        self._links.move_to_end(address)
        if link.unanswered_since is None:
            link.unanswered_since = now
        return link

    def _drop_unreachable(self) -> None:
        # A socket to an address without a listener redials once a second
        # without end. After a year of replaced hosts, an entry would spend
        # its time dialling addresses that no longer exist.
        now = self._clock.now()
        unreachable = [
            a for a, link in self._links.items() if _is_unreachable(link, now)
        ]
        for address in unreachable:
            self.drop(address)

    def _dial(self, address: str) -> _Link:
        self._drop_unreachable()
        if len(self._links) >= self._max_links:
            self.drop(next(iter(self._links)))
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        link = _Link(socket)
        socket.add_post_pipe_connect_cb(lambda _: _mark_connected(link))
        socket.add_post_pipe_remove_cb(
            lambda _: self._mark_lost(address, link)
        )
        try:
            socket.dial(address, block=False)
        except pynng.NNGException as error:
            socket.close()
            raise exceptions.PeersError(
                f'{address} cannot be dialled: {error}.',
                'Use tcp://ip:port.',
            ) from error
        self._links[address] = link
        return link

    def _mark_lost(self, address: str, link: _Link) -> None:
        """Record that a connection closed; runs on a thread of nng."""
        if link.is_dropped:
            return
        link.is_lost = True
        self._on_lost(address)


def _mark_connected(link: _Link) -> None:
    """Record that a connection is established; runs on a thread of nng."""
    link.is_lost = False


async def is_listening(address: str, timeout_ms: int) -> bool:
    """Return whether a peer accepts connections.

    nng dials in the background and does not report a refused connection, so
    a request to a process that has ended would wait for the whole timeout.

    Parameters
    ----------
    address : str
        ``tcp://ip:port``.
    timeout_ms : int
        Timeout in milliseconds.
    """
    url = urllib.parse.urlsplit(address)
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, writer = await asyncio.open_connection(url.hostname, url.port)
    except OSError:
        return False
    writer.close()
    return True


def _is_unreachable(link: _Link, now: int) -> bool:
    return _is_unresponsive(link, now) and not link.socket.pipes


def _is_unresponsive(link: _Link, now: int) -> bool:
    if link.unanswered_since is None:
        return False
    return now - link.unanswered_since > UNRESPONSIVE_MS
