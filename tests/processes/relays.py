"""TCP relays in front of the addresses of entries and of the platform.

A cut link passes no byte and closes no connection, as when a network route
is lost. Bytes sent during a short cut arrive late; after a long cut they are
lost with their connection. Links have a direction, from sender to receiver.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
import typing

from tornado import iostream
from tornado import netutil
from tornado import tcpclient
from tornado import tcpserver

from thornspool.adapters.peers import packing

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65_536
POLL_S = 0.01
MAX_DELAY_S = 2.0
STOP_TIMEOUT_S = 5.0


class Relays:
    """Relays that run in a separate thread, and the links that are cut.

    Attributes
    ----------
    blocked : set of (str, str)
        Links, as sender and receiver, that had bytes to pass while cut.
    """

    def __init__(self) -> None:
        self.blocked: set[tuple[str, str]] = set()
        self._cut: frozenset[tuple[str, str]] = frozenset()
        self._addresses: dict[bytes, str] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def stop(self) -> None:
        """Stop all relays and drop the bytes that they hold."""
        self._run_in_loop(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)
        self._loop.close()

    def open(self, receiver: str, sender: str = '') -> Relay:
        """Open a relay in front of a named receiver.

        Without a sender, the receiver is an entry, and the senders are
        identified by the address in their first message.
        """
        relay: Relay = self._run_in_loop(self._open(receiver, sender))
        if not sender:
            packed = packing.pack_address(relay.address)
            self._addresses[packed] = receiver
        return relay

    def cut(self, links: Iterable[tuple[str, str]]) -> None:
        """Cut exactly these links, each a sender and a receiver."""
        self._cut = frozenset(links)

    async def wait_restored(self, sender: str, receiver: str) -> None:
        """Wait while a link is cut.

        Raises
        ------
        iostream.StreamClosedError
            When the link was cut for longer than ``MAX_DELAY_S``.
        """
        began = time.monotonic()
        while (sender, receiver) in self._cut:
            self.blocked.add((sender, receiver))
            await asyncio.sleep(POLL_S)
        if time.monotonic() - began > MAX_DELAY_S:
            raise iostream.StreamClosedError

    def find_sender(self, data: bytes) -> str:
        """Return the entry whose address is first in a message, or empty."""
        offsets = {data.find(one): one for one in self._addresses}
        offsets.pop(-1, None)
        return self._addresses[offsets[min(offsets)]] if offsets else ''

    def _run_in_loop(self, coroutine: typing.Any) -> typing.Any:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(STOP_TIMEOUT_S)

    async def _open(self, receiver: str, sender: str) -> Relay:
        return Relay(self, receiver, sender)

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Relay(tcpserver.TCPServer):
    """Passes bytes between incoming connections and one local port."""

    def __init__(self, relays: Relays, receiver: str, sender: str) -> None:
        super().__init__()
        self._relays = relays
        self._receiver = receiver
        self._sender = sender
        self._port = 0
        sockets = netutil.bind_sockets(0, LOOPBACK)
        self.add_sockets(sockets)
        self.address = f'{LOOPBACK}:{sockets[0].getsockname()[1]}'

    def set_target(self, url: str) -> None:
        """Pass connections to the port of a URL on this host.

        Before this call the relay passes nothing.
        """
        self._port = int(url.rpartition(':')[2])

    async def handle_stream(
        self, stream: iostream.IOStream, address: typing.Any
    ) -> None:
        """Pass bytes in both directions until one side closes."""
        try:
            target = await tcpclient.TCPClient().connect(LOOPBACK, self._port)
        except OSError:
            stream.close()
            return
        sender = self._sender

        async def forward(data: bytes) -> None:
            nonlocal sender
            sender = sender or self._relays.find_sender(data)
            await self._relays.wait_restored(sender, self._receiver)
            await target.write(data)

        async def forward_back(data: bytes) -> None:
            await self._relays.wait_restored(self._receiver, sender)
            await stream.write(data)

        await asyncio.gather(
            _copy_stream(stream, target, forward),
            _copy_stream(target, stream, forward_back),
        )


async def _copy_stream(
    source: iostream.IOStream,
    sink: iostream.IOStream,
    forward_chunk: Callable[[bytes], Awaitable[None]],
) -> None:
    with contextlib.suppress(iostream.StreamClosedError):
        while True:
            await forward_chunk(
                await source.read_bytes(CHUNK_BYTES, partial=True)
            )
    sink.close()
