"""The port ``Peers`` carried out over pynng and TCP."""

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

MAX_HANDLING = 1024
UNKNOWN_VERSION = 'unknown version'
"""Reason under which frames of other releases are counted as dropped."""

_RECEIVE_BUFFER = 256
_BATCH = 64
_STOP_TIMEOUT_S = 1.0

logger = structlog.get_logger(__name__)


@attrs.frozen
class _Question:
    """A question that waits for its reply."""

    address: str
    future: asyncio.Future[typing.Any]


class PeerNode:
    """Messages to and from the other entries.

    Parameters
    ----------
    clock : Clock
        Source of time.
    incarnation : str
        Names this process to the others.
    listen_address : str
        ``tcp://ip:port``; port 0 lets the system choose.
    message_types : iterable of type, optional
        Types that may arrive, replies among them.
    registry : Registry, optional
        Where types are registered; the process-wide one by default.
    max_links : int, optional
        Most sockets to peers kept open.
    max_handling : int, optional
        Most messages being handled at once; more are dropped.

    Attributes
    ----------
    traffic : Traffic
        What was sent, received and dropped so far.
    """

    def __init__(
        self,
        clock: clock.Clock,
        incarnation: str,
        listen_address: str,
        message_types: Iterable[type] = (),
        registry: registries.Registry | None = None,
        max_links: int = links.MAX_LINKS,
        max_handling: int = MAX_HANDLING,
    ) -> None:
        self.traffic = traffic.Traffic()
        self._incarnation = incarnation
        self._digest = packing.digest_incarnation(incarnation)
        self._unknown_versions: set[int] = set()
        self._address = listen_address
        self._registry = registry or registries.default
        self._links = links.Links(clock, max_links, self._hear_loss)
        self._max_handling = max_handling
        self._handlers: dict[type, ports.Handler] = {}
        self._questions: dict[int, _Question] = {}
        self._numbers = itertools.count(1)
        self._handling: set[asyncio.Task[None]] = set()
        self._socket: pynng.Pull0 | None = None
        self._receiver: asyncio.Task[None] | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        own_types = (messages.HandlerFailed, messages.NoReply)
        for message_type in (*own_types, *message_types):
            self._registry.register(message_type)

    @property
    def address(self) -> str:
        """``tcp://ip:port`` at which this node takes messages."""
        return self._address

    async def start(self) -> str:
        """Listen and start to receive.

        Returns
        -------
        str
            The bound ``tcp://ip:port``.

        Raises
        ------
        PeersError
            The address cannot be bound.
        """
        socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER,
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
        self._address = f'tcp://{listener.local_address}'
        self._socket = socket
        self._loop = asyncio.get_running_loop()
        self._receiver = asyncio.create_task(self._receive(socket))
        return self._address

    async def stop(self) -> None:
        """Stop receiving, fail open questions and close every socket."""
        receiver, self._receiver = self._receiver, None
        tasks = [*self._handling, *([receiver] if receiver else [])]
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_STOP_TIMEOUT_S)
        for question in list(self._questions.values()):
            _fail(question.future, f'{self._address} stopped.')
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        self._links.close()

    def handle(self, message_type: type, handler: ports.Handler) -> None:
        """Have a coroutine answer every message of one type."""
        self._registry.register(message_type)
        self._handlers[message_type] = handler

    def tell(self, peer_address: str, message: typing.Any) -> None:
        """Send a message without waiting; it may be lost."""
        try:
            self._send(peer_address, message)
        except exceptions.PeersError as error:
            self._drop('not sent', peer=peer_address, reason=str(error))

    async def ask(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        """Send a message and wait for its reply.

        Returns
        -------
        object
            The reply; None when the handler returned None.

        Raises
        ------
        PeerUnreachable
            No reply in time, or the peer failed to handle the message, or
            nothing could be sent, or its connection closed.
        """
        await self._renew(peer_address, timeout_ms)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._questions[number] = _Question(peer_address, future)
        try:
            self._send(peer_address, message, number)
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except exceptions.PeersError as error:
            raise application_exceptions.PeerUnreachable(
                str(error), 'Try another entry.'
            ) from error
        except TimeoutError as error:
            self._note_timeout(peer_address)
            raise application_exceptions.PeerUnreachable(
                f'{peer_address} gave no reply in {timeout_ms} ms.',
                'It may still handle the message.',
            ) from error
        finally:
            del self._questions[number]

    async def _renew(self, address: str, timeout_ms: int) -> None:
        """Dial a peer whose connection closed anew, if it listens."""
        if not self._links.is_lost(address):
            return
        if not await links.is_listening(address, timeout_ms):
            raise _build_lost(address)
        if self._links.is_lost(address):
            self._links.drop(address)

    def _hear_loss(self, address: str) -> None:
        """Have the loop take in a loss; runs on a thread of nng's."""
        if self._loop is None:
            return
        # A connection may close after the loop did, when the process ends.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(self._fail_questions, address)

    def _fail_questions(self, address: str) -> None:
        # A process that dies answers nothing, and who asked it would wait
        # for the whole timeout, for instance an action for its grant.
        # When only the connection broke, the reply comes late and is
        # dropped: whoever asks must bear that with a timeout as well.
        for question in self._questions.values():
            if question.address == address and not question.future.done():
                question.future.set_exception(_build_lost(address))

    def _note_timeout(self, peer_address: str) -> None:
        # Messages queued for a peer that is down would be delivered when
        # something listens there again, long after their senders gave up.
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
                self._take(await socket.arecv())
                self._take_waiting(socket)
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                self._drop('not received', reason=str(error))
                await asyncio.sleep(0)

    def _take_waiting(self, socket: pynng.Pull0) -> None:
        # Waking up costs more than receiving, so what has arrived
        # meanwhile is taken at once, up to a bound that keeps the loop
        # free for others.
        for _ in range(_BATCH):
            try:
                data = socket.recv(block=False)
            except pynng.TryAgain:
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
        try:
            frame = frames.decode(data)
        except exceptions.UnknownVersion as error:
            self._drop_version(error)
            return
        except exceptions.MalformedFrame as error:
            self._drop('not understood', reason=str(error))
            return
        self._links.note_heard(frame.address)
        try:
            message = self._registry.decode(frame.kind, frame.body)
        except exceptions.PeersError as error:
            self._refuse(frame, error)
            return
        self.traffic.received[frame.kind].add(len(data))
        if frame.recipient:
            self._settle(frame, message)
            return
        self._start_handling(frame, message)

    def _refuse(
        self, frame: frames.Frame, error: exceptions.PeersError
    ) -> None:
        self._drop('not understood', peer=frame.address, reason=str(error))
        failure = messages.HandlerFailed(str(error))
        if frame.recipient:
            self._settle(frame, failure)
            return
        self._reply(frame, failure)

    def _settle(self, frame: frames.Frame, message: typing.Any) -> None:
        question = self._questions.get(frame.correlation)
        if question is None or frame.recipient != self._digest:
            self._drop('late reply', peer=frame.address, kind=frame.kind)
            return
        if question.future.done():
            return
        if isinstance(message, messages.HandlerFailed):
            _fail(question.future, f'{frame.address}: {message.reason}')
            return
        if isinstance(message, messages.NoReply):
            message = None
        question.future.set_result(message)

    def _start_handling(
        self, frame: frames.Frame, message: typing.Any
    ) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self._drop('no handler', peer=frame.address, kind=frame.kind)
            self._reply(frame, messages.HandlerFailed('There is no handler.'))
            return
        if len(self._handling) >= self._max_handling:
            self._drop('too many', peer=frame.address, kind=frame.kind)
            self._reply(frame, messages.HandlerFailed('It is overloaded.'))
            return
        task = asyncio.create_task(self._handle(frame, message, handler))
        self._handling.add(task)
        task.add_done_callback(self._handling.discard)

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
        # While releases run side by side each of hundreds of entries may
        # send such frames several times a second; an operator has to see
        # that, and a line for each would fill the log.
        if error.version in self._unknown_versions:
            self.traffic.dropped[UNKNOWN_VERSION] += 1
            return
        self._unknown_versions.add(error.version)
        self._drop(UNKNOWN_VERSION, reason=str(error))

    def _drop(self, why: str, **fields: object) -> None:
        self.traffic.dropped[why] += 1
        logger.warning('peer_message_dropped', why=why, **fields)


def _build_lost(address: str) -> application_exceptions.PeerUnreachable:
    return application_exceptions.PeerUnreachable(
        f'The connection to {address} closed.', 'Try another entry.'
    )


def _fail(future: asyncio.Future[typing.Any], reason: str) -> None:
    if future.done():
        return
    future.set_exception(
        application_exceptions.PeerUnreachable(reason, 'Try another entry.')
    )
