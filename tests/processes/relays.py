"""TCP relays before the addresses of entries and of the platform.

A cut link passes no byte and closes nothing, as where a route is lost. What
was sent meanwhile comes late after a short cut; after a long one it is lost
with its connection. Links have a direction, from sender to receiver.
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
CHECK_S = 0.01
GIVE_UP_S = 2.0
STOP_S = 5.0


class Relays:
    """Relays in a thread of their own, and the links that are cut.

    Attributes
    ----------
    held : set of (str, str)
        Links of sender and receiver that had something to pass while cut.
    """

    def __init__(self) -> None:
        self.held: set[tuple[str, str]] = set()
        self._cut: frozenset[tuple[str, str]] = frozenset()
        self._addresses: dict[bytes, str] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def stop(self) -> None:
        """End all relays with what still waits in them."""
        self._run(self._cancel_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_S)
        self._loop.close()

    def open(self, receiver: str, sender: str = '') -> Relay:
        """Open a relay before what is named receiver.

        Without a sender it is an entry's. Those that connect are told apart
        by the first message, in which they give their own address.
        """
        relay: Relay = self._run(self._open(receiver, sender))
        if not sender:
            packed = packing.pack_address(relay.address)
            self._addresses[packed] = receiver
        return relay

    def cut(self, links: Iterable[tuple[str, str]]) -> None:
        """Cut these links, of sender and receiver, and no others."""
        self._cut = frozenset(links)

    async def wait_whole(self, sender: str, receiver: str) -> None:
        """Wait while a link is cut; raise if that took too long."""
        began = time.monotonic()
        while (sender, receiver) in self._cut:
            self.held.add((sender, receiver))
            await asyncio.sleep(CHECK_S)
        if time.monotonic() - began > GIVE_UP_S:
            raise iostream.StreamClosedError

    def find_sender(self, data: bytes) -> str:
        """Return whose address comes first in a message; empty if none."""
        places = {data.find(one): one for one in self._addresses}
        places.pop(-1, None)
        return self._addresses[places[min(places)]] if places else ''

    def _run(self, work: typing.Any) -> typing.Any:
        running = asyncio.run_coroutine_threadsafe(work, self._loop)
        return running.result(STOP_S)

    async def _open(self, receiver: str, sender: str) -> Relay:
        return Relay(self, receiver, sender)

    async def _cancel_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Relay(tcpserver.TCPServer):
    """Passes bytes between those that connect and one port."""

    def __init__(self, relays: Relays, receiver: str, sender: str) -> None:
        super().__init__()
        self._relays = relays
        self._receiver = receiver
        self._sender = sender
        self._port = 0
        sockets = netutil.bind_sockets(0, LOOPBACK)
        self.add_sockets(sockets)
        self.address = f'{LOOPBACK}:{sockets[0].getsockname()[1]}'

    def lead_to(self, url: str) -> None:
        """Pass what comes to a port of this host; nothing passes before."""
        self._port = int(url.rpartition(':')[2])

    async def handle_stream(
        self, stream: iostream.IOStream, address: typing.Any
    ) -> None:
        """Pass bytes both ways until one side closes."""
        try:
            target = await tcpclient.TCPClient().connect(LOOPBACK, self._port)
        except OSError:
            stream.close()
            return
        sender = self._sender

        async def pass_on(data: bytes) -> None:
            nonlocal sender
            sender = sender or self._relays.find_sender(data)
            await self._relays.wait_whole(sender, self._receiver)
            await target.write(data)

        async def pass_back(data: bytes) -> None:
            await self._relays.wait_whole(self._receiver, sender)
            await stream.write(data)

        await asyncio.gather(
            _pump(stream, target, pass_on), _pump(target, stream, pass_back)
        )


async def _pump(
    source: iostream.IOStream,
    sink: iostream.IOStream,
    handle: Callable[[bytes], Awaitable[None]],
) -> None:
    with contextlib.suppress(iostream.StreamClosedError):
        while True:
            await handle(await source.read_bytes(CHUNK_BYTES, partial=True))
    sink.close()
