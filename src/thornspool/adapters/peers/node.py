"""Implements the ``Peers`` port over pynng and TCP."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import typing

import attrs
import pynng
import structlog

from thornspool.adapters.peers import exceptions
from thornspool.adapters.peers import frames
from thornspool.adapters.peers import links
from thornspool.adapters.peers import messages
from thornspool.adapters.peers import packing
from thornspool.adapters.peers import registry as registries
from thornspool.adapters.peers import traffic
from thornspool.application import exceptions as application_exceptions

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from thornspool import clock
    from thornspool.application import ports

MAX_CONCURRENT_HANDLERS = 1024
UNKNOWN_VERSION = 'unknown version'
"""Drop reason for frames with an unsupported format version."""

_RECEIVE_BUFFER_MESSAGES = 256
_MAX_BATCH_MESSAGES = 64
_STOP_TIMEOUT_S = 1.0

logger = structlog.get_logger(__name__)


@attrs.frozen
class _PendingRequest:
    """A request that waits for its reply."""

    address: str
    future: asyncio.Future[typing.Any]


class PeerNode:
    """Sends messages to other entries and handles theirs.

    Parameters
    ----------
    clock : Clock
        Source of time.
    incarnation : str
        Identifies this process to its peers.
    listen_address : str
        ``tcp://ip:port``; port 0 selects a free port.
    message_types : iterable of type, optional
        Types of the messages that may arrive, including replies.
    registry : Registry, optional
        Registry of message types; the default registry if omitted.
    max_links : int, optional
        Maximum number of open sockets to peers.
    max_concurrent_handlers : int, optional
        Maximum number of messages handled at once; others are dropped.
    advertised_address : str, optional
        ``tcp://ip:port`` that is sent to peers; the bound address by
        default.

    Attributes
    ----------
    traffic : Traffic
        Counters of sent, received and dropped messages.
    """

    def __init__(
        self,
        clock: clock.Clock,
        incarnation: str,
        listen_address: str,
        message_types: Iterable[type] = (),
        registry: registries.Registry | None = None,
        max_links: int = links.MAX_LINKS,
        max_concurrent_handlers: int = MAX_CONCURRENT_HANDLERS,
        advertised_address: str = '',
    ) -> None:
        self.traffic = traffic.Traffic()
        self._incarnation = incarnation
        self._digest = packing.digest_incarnation(incarnation)
        self._unknown_versions: set[int] = set()
        self._address = listen_address
        self._advertised_address = advertised_address
        self._registry = registry or registries.default
        self._links = links.Links(clock, max_links, self._on_connection_lost)
        self._max_concurrent_handlers = max_concurrent_handlers
        self._handlers: dict[type, ports.Handler] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._correlations = itertools.count(1)
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._socket: pynng.Pull0 | None = None
        self._receiver: asyncio.Task[None] | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        reply_types = (messages.HandlerFailed, messages.NoReply)
        for message_type in (*reply_types, *message_types):
            self._registry.register(message_type)

    @property
    def address(self) -> str:
        """``tcp://ip:port`` on which peers reach this node."""
        return self._address

    async def start(self) -> str:
        """Listen and start receiving.

        Returns
        -------
        str
            The bound ``tcp://ip:port``.

        Raises
        ------
        PeersError
            If the address cannot be bound.
        """
        socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER_MESSAGES,
            recv_max_size=links.MAX_MESSAGE_BYTES,
        )
        try:
            listener = socket.listen(self._address)
        except pynng.NNGException as error:
            socket.close()
            raise exceptions.PeersError(
                f'{self._address} cannot be bound: {error}.',
                'Choose a free port of an address of this host.',
            ) from error
        bound = f'tcp://{listener.local_address}'
        self._address = self._advertised_address or bound
        self._socket = socket
        self._loop = asyncio.get_running_loop()
        self._receiver = asyncio.create_task(self._receive(socket))
        return bound

    async def stop(self) -> None:
        """Stop receiving, fail pending requests and close every socket."""
        receiver, self._receiver = self._receiver, None
        tasks = [*self._handler_tasks, *([receiver] if receiver else [])]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_STOP_TIMEOUT_S)
        for request in list(self._pending.values()):
            _fail(request.future, f'{self._address} stopped.')
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        self._links.close()

    def handle(self, message_type: type, handler: ports.Handler) -> None:
        """Register the handler coroutine of a message type."""
        self._registry.register(message_type)
        self._handlers[message_type] = handler

    def send(self, peer_address: str, message: typing.Any) -> None:
        """Send a message without waiting; delivery is not guaranteed."""
        try:
            self._send(peer_address, message)
        except exceptions.PeersError as error:
            self._drop('not sent', peer=peer_address, reason=str(error))

    async def request(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        """Send a request and wait for its reply.

        Returns
        -------
        object
            The reply; None if the handler returned None.

        Raises
        ------
        PeerUnreachable
            If there is no reply within the timeout, the handler failed, the
            request could not be sent, or the connection closed.
        """
        await self._reconnect(peer_address, timeout_ms)
        correlation = next(self._correlations)
        future = asyncio.get_running_loop().create_future()
        self._pending[correlation] = _PendingRequest(peer_address, future)
        try:
            self._send(peer_address, message, correlation)
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except exceptions.PeersError as error:
            raise application_exceptions.PeerUnreachable(
                str(error), 'Try another entry.'
            ) from error
        except TimeoutError as error:
            self._handle_timeout(peer_address)
            raise application_exceptions.PeerUnreachable(
                f'{peer_address} did not reply within {timeout_ms} ms.',
                'The message may still be handled.',
            ) from error
        finally:
            del self._pending[correlation]

    async def _reconnect(self, address: str, timeout_ms: int) -> None:
        """Redial a peer whose connection closed, if it listens."""
        if not self._links.is_lost(address):
            return
        if not await links.is_listening(address, timeout_ms):
            raise _build_connection_lost(address)
        if self._links.is_lost(address):
            self._links.drop(address)

    def _on_connection_lost(self, address: str) -> None:
        """Forward a lost connection to the loop; runs on a thread of nng."""
        if self._loop is None:
            return
        # A connection may close after the loop when the process exits.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._fail_pending, address)

    def _fail_pending(self, address: str) -> None:
        # A process that has ended does not reply, and its requesters would
        # wait for the whole timeout, for example an action for its grant.
        # If only the connection broke, the reply is dropped as late; the
        # requester has to handle this like a timeout.
        for request in self._pending.values():
            if request.address == address and not request.future.done():
                request.future.set_exception(_build_connection_lost(address))

    def _handle_timeout(self, peer_address: str) -> None:
        # Messages queued for a peer that is down would be delivered to the
        # next listener at its address, long after their timeout.
        if not self._links.is_connected(peer_address):
            self._links.drop(peer_address)

    def _send(
        self,
        address: str,
        message: typing.Any,
        correlation: int = frames.NO_CORRELATION,
        recipient: bytes = frames.NO_RECIPIENT,
    ) -> None:
        kind, body = self._registry.encode(message)
        frame = frames.Frame(
            self._incarnation,
            self._address,
            kind,
            correlation,
            recipient,
            body,
        )
        data = frames.encode(frame)
        self._links.send(address, data)
        self.traffic.sent[kind].add(len(data))

    async def _receive(self, socket: pynng.Pull0) -> None:
        while True:
            try:
                self._process(await socket.arecv())
                self._process_buffered(socket)
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                self._drop('not received', reason=str(error))
                await asyncio.sleep(0)

    def _process_buffered(self, socket: pynng.Pull0) -> None:
        # A wake-up of the loop costs more than a receive, so buffered
        # messages are processed together, up to a limit that keeps the
        # loop responsive.
        for _ in range(_MAX_BATCH_MESSAGES):
            try:
                data = socket.recv(block=False)
            except pynng.TryAgain:
                return
            self._process(data)

    def _process(self, data: bytes) -> None:
        try:
            frame = frames.decode(data)
        except exceptions.UnknownVersion as error:
            self._drop_version(error)
            return
        except exceptions.MalformedFrame as error:
            self._drop('not understood', reason=str(error))
            return
        self._links.record_received(frame.address)
        try:
            message = self._registry.decode(frame.kind, frame.body)
        except exceptions.PeersError as error:
            self._reject(frame, error)
            return
        self.traffic.received[frame.kind].add(len(data))
        if frame.recipient:
            self._complete_request(frame, message)
            return
        self._start_handling(frame, message)

    def _reject(
        self, frame: frames.Frame, error: exceptions.PeersError
    ) -> None:
        self._drop('not understood', peer=frame.address, reason=str(error))
        failure = messages.HandlerFailed(str(error))
        if frame.recipient:
            self._complete_request(frame, failure)
            return
        self._reply(frame, failure)

    def _complete_request(
        self, frame: frames.Frame, message: typing.Any
    ) -> None:
        request = self._pending.get(frame.correlation)
        if request is None or frame.recipient != self._digest:
            self._drop('late reply', peer=frame.address, kind=frame.kind)
            return
        if request.future.done():
            return
        if isinstance(message, messages.HandlerFailed):
            _fail(request.future, f'{frame.address}: {message.reason}')
            return
        if isinstance(message, messages.NoReply):
            message = None
        request.future.set_result(message)

    def _start_handling(
        self, frame: frames.Frame, message: typing.Any
    ) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self._drop('no handler', peer=frame.address, kind=frame.kind)
            self._reply(
                frame,
                messages.HandlerFailed(
                    'There is no handler for this message.'
                ),
            )
            return
        if len(self._handler_tasks) >= self._max_concurrent_handlers:
            self._drop('too many', peer=frame.address, kind=frame.kind)
            self._reply(
                frame, messages.HandlerFailed('The entry is overloaded.')
            )
            return
        task = asyncio.create_task(self._handle(frame, message, handler))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    async def _handle(
        self, frame: frames.Frame, message: typing.Any, handler: ports.Handler
    ) -> None:
        try:
            reply = await handler(frame.sender, message)
            self._reply(frame, messages.NoReply() if reply is None else reply)
        except Exception as error:
            logger.exception(
                'peer_message_failed', peer=frame.address, kind=frame.kind
            )
            self._reply(frame, messages.HandlerFailed(type(error).__name__))

    def _reply(self, frame: frames.Frame, reply: typing.Any) -> None:
        if frame.correlation == frames.NO_CORRELATION:
            return
        try:
            self._send(
                frame.address,
                reply,
                frame.correlation,
                packing.digest_incarnation(frame.sender),
            )
        except exceptions.PeersError as error:
            self._drop('not sent', peer=frame.address, reason=str(error))

    def _drop_version(self, error: exceptions.UnknownVersion) -> None:
        # During a rolling upgrade, each of hundreds of entries may send such
        # frames several times a second. The operator needs one log line per
        # version; a line per frame would fill the log.
        if error.version in self._unknown_versions:
            self.traffic.dropped[UNKNOWN_VERSION] += 1
            return
        self._unknown_versions.add(error.version)
        self._drop(UNKNOWN_VERSION, reason=str(error))

    def _drop(self, why: str, **fields: object) -> None:
        self.traffic.dropped[why] += 1
        logger.warning('peer_message_dropped', why=why, **fields)


def _build_connection_lost(
    address: str,
) -> application_exceptions.PeerUnreachable:
    return application_exceptions.PeerUnreachable(
        f'The connection to {address} closed.', 'Try another entry.'
    )


def _fail(future: asyncio.Future[typing.Any], reason: str) -> None:
    if future.done():
        return
    future.set_exception(
        application_exceptions.PeerUnreachable(reason, 'Try another entry.')
    )
