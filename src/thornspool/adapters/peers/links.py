"""Sockets to other entries: dialled on demand and bounded in number."""

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
MAX_WAITING = 256
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
SILENCE_MS = 3000


@attrs.define
class _Link:
    """A socket to one peer.

    Attributes
    ----------
    socket : pynng.Push0
        Sends in order; keeps a bounded number of messages while it
        connects.
    unheard_since : int or None
        When the first message was sent after the peer was last heard.
    is_lost : bool
        Whether its last connection was closed by the other side, or broke.
    is_dropped : bool
        Whether it was closed from here.
    """

    socket: pynng.Push0
    unheard_since: int | None = None
    is_lost: bool = False
    is_dropped: bool = False


def _ignore_loss(address: str) -> None:
    """Take note of nothing."""


class Links:
    """One sending socket a peer; the least recently used is closed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_links : int
        Most sockets kept open.
    note_lost : callable
        Told the address of a peer whose connection closed; called on a
        thread of nng's.
    """

    def __init__(
        self,
        clock: clock.Clock,
        max_links: int = MAX_LINKS,
        note_lost: Callable[[str], None] = _ignore_loss,
    ) -> None:
        self._clock = clock
        self._max_links = max_links
        self._note_lost = note_lost
        self._links: collections.OrderedDict[str, _Link]
        self._links = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._links)

    def send(self, address: str, data: bytes) -> None:
        """Hand bytes to the socket of a peer without waiting.

        Raises
        ------
        MessageTooLarge
            The peer would not accept them.
        SendBufferFull
            Too many messages wait for this peer.
        PeersError
            The address cannot be dialled.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise exceptions.MessageTooLarge(
                f'A message of {len(data)} bytes is over the limit of '
                f'{MAX_MESSAGE_BYTES}.',
                'Send it in parts.',
            )
        link = self._open(address)
        try:
            link.socket.send(data, block=False)
        except pynng.TryAgain as error:
            raise exceptions.SendBufferFull(
                f'{MAX_WAITING} messages wait for {address}.'
            ) from error
        except pynng.NNGException as error:
            self.drop(address)
            raise exceptions.PeersError(
                f'Nothing can be sent to {address}: {error}.'
            ) from error

    def note_heard(self, address: str) -> None:
        """Note that a peer was heard, so that its socket is kept."""
        link = self._links.get(address)
        if link is not None:
            link.unheard_since = None

    def is_connected(self, address: str) -> bool:
        """Return whether a socket to a peer is connected now."""
        link = self._links.get(address)
        return link is not None and bool(link.socket.pipes)

    def is_lost(self, address: str) -> bool:
        """Return whether a peer's connection closed and is not back.

        A peer that was never connected is not lost: it may be connecting.
        """
        link = self._links.get(address)
        return link is not None and link.is_lost

    def drop(self, address: str) -> None:
        """Close the socket of a peer; what waits in it is lost."""
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
        # When a host vanishes or a link is cut, TCP keeps the connection
        # and retries ever more rarely, up to two minutes apart. A healed
        # link would look dead for that long, so a socket that was used and
        # brought no sign of the peer is replaced by a fresh one.
        if link is not None and _is_silent(link, now):
            self.drop(address)
            link = None
        if link is None:
            link = self._dial(address)
        self._links.move_to_end(address)
        if link.unheard_since is None:
            link.unheard_since = now
        return link

    def _drop_dead(self) -> None:
        # A socket to an address that nobody listens at goes on dialling
        # once a second for ever; after a year of replaced hosts an entry
        # would be busy with addresses of the past.
        now = self._clock.now()
        dead = [a for a, link in self._links.items() if _is_dead(link, now)]
        for address in dead:
            self.drop(address)

    def _dial(self, address: str) -> _Link:
        self._drop_dead()
        if len(self._links) >= self._max_links:
            self.drop(next(iter(self._links)))
        socket = pynng.Push0(
            send_buffer_size=MAX_WAITING,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        link = _Link(socket)
        socket.add_post_pipe_connect_cb(lambda _: _regain(link))
        socket.add_post_pipe_remove_cb(lambda _: self._lose(address, link))
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

    def _lose(self, address: str, link: _Link) -> None:
        """Note that a connection closed; runs on a thread of nng's."""
        if link.is_dropped:
            return
        link.is_lost = True
        self._note_lost(address)


def _regain(link: _Link) -> None:
    """Note that a connection stands; runs on a thread of nng's."""
    link.is_lost = False


async def is_listening(address: str, timeout_ms: int) -> bool:
    """Tell whether a peer takes connections.

    nng dials in the background and says nothing of a refusal, so a message
    to a process that is gone would wait for its reply for the whole timeout.

    Parameters
    ----------
    address : str
        ``tcp://ip:port``.
    timeout_ms : int
        Longest wait, in milliseconds.
    """
    parts = urllib.parse.urlsplit(address)
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, writer = await asyncio.open_connection(
                parts.hostname, parts.port
            )
    except OSError:
        return False
    writer.close()
    return True


def _is_dead(link: _Link, now: int) -> bool:
    return _is_silent(link, now) and not link.socket.pipes


def _is_silent(link: _Link, now: int) -> bool:
    if link.unheard_since is None:
        return False
    return now - link.unheard_since > SILENCE_MS
