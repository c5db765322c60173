"""Ports: what the use cases need from the outside, as typed protocols."""

from __future__ import annotations

import enum
import typing

import attrs

if typing.TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


@attrs.frozen
class Versioned:
    """A value of the platform's key-value service with its version.

    Attributes
    ----------
    value : bytes
        At most one megabyte.
    version : int
        Grows by any positive amount with each write of the key; 0 stands
        for a key that does not exist.
    """

    value: bytes
    version: int


@attrs.frozen
class WriteDone:
    """The write took effect and made this version."""

    version: int


@attrs.frozen
class WriteConflict:
    """The write did not and will not take effect: the version differs."""


@attrs.frozen
class WriteUnknown:
    """Nobody can tell yet: the write took effect, may still, or never will.

    Reading the old version back proves nothing, since the write may still
    be on its way. Only a later version without it settles that it was lost.
    """


WriteResult = WriteDone | WriteConflict | WriteUnknown


class HostState(enum.Enum):
    """What the platform's list says of a host; it lags."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Host:
    """A line of the platform's list of hosts.

    Attributes
    ----------
    name : str
        Name of the host.
    failure_domain : str
        Where it stands.
    state : HostState
        Live or leaving, some seconds late.
    peer_address : str
        ``tcp://ip:port`` of the entry on it; empty for a target host.
    """

    name: str
    failure_domain: str
    state: HostState
    peer_address: str = ''


class Platform(typing.Protocol):
    """The platform's key-value service and host list.

    Every method raises ``PlatformError`` of ``application.exceptions``
    when no answer could be had within the adapter's timeout, except that a
    write whose fate is open returns ``WriteUnknown``.
    """

    async def get(self, key: str) -> Versioned:
        """Read a key; version 0 and no bytes when it does not exist."""
        ...

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> WriteResult:
        """Write a key if its version still is the expected one."""
        ...

    async def watch(
        self, key: str, after_version: int, timeout_ms: int
    ) -> Versioned | None:
        """Wait until a key is past a version; None when time is up."""
        ...

    async def announce(self, own: Host) -> None:
        """Put an entry into the list of hosts for some time, or keep it.

        It leaves the list by itself when it is not announced again.
        """
        ...

    async def list_hosts(self) -> tuple[Host, ...]:
        """Read the list of live and leaving hosts."""
        ...


@attrs.frozen
class Envelope:
    """A message between entries, before its body is decoded.

    Attributes
    ----------
    sender : str
        Incarnation of the sending process.
    kind : str
        Registered name of the body's type.
    body : bytes
        The encoded message.
    """

    sender: str
    kind: str
    body: bytes


Handler = typing.Callable[[str, typing.Any], 'Awaitable[typing.Any]']
"""Takes the sender's incarnation and a message, returns the reply."""


class FailingPlatform(typing.Protocol):
    """How outages of the platform are followed at its client."""

    def follow_outages(
        self,
        count_entries: Callable[[], int],
        note_failing: Callable[[], None],
        note_back: Callable[[], None],
    ) -> None:
        """Name what counts the entries and what is told of an outage.

        ``note_failing`` is called when calls begin to be held back,
        ``note_back`` at the first answer after that.
        """
        ...

    def read_backoff(self) -> int | None:
        """Return the milliseconds until a call may leave.

        None while calls are not held back.
        """
        ...

    def end_backoff(self) -> None:
        """Let the next call leave at once."""
        ...

    async def probe(self) -> None:
        """Call the platform for its answer alone."""
        ...


class Peers(typing.Protocol):
    """Messages between entries; delivery is at most once and unordered.

    Messages and replies are frozen ``attrs`` classes. ``ask`` raises
    ``PeerUnreachable`` of ``application.exceptions`` when no reply came in
    time; the message may still have been, or may still be, handled.
    """

    async def ask(
        self, peer_address: str, message: typing.Any, timeout_ms: int
    ) -> typing.Any:
        """Send a message and wait for its reply."""
        ...

    def tell(self, peer_address: str, message: typing.Any) -> None:
        """Send a message without waiting; it may be lost."""
        ...

    def handle(
        self,
        message_type: type,
        handler: Callable[[str, typing.Any], Awaitable[typing.Any]],
    ) -> None:
        """Have a coroutine answer every message of one type.

        The handler returns the reply, or None when the message was told
        and not asked.
        """
        ...


class MemberView(typing.Protocol):
    """Who the entries are, as seen from here; views of entries differ."""

    def list_members(self) -> tuple[Member, ...]:
        """Return the members believed alive, this entry included.

        Sorted by incarnation; leaving members are part of it.
        """
        ...

    def find(self, incarnation: str) -> Member | None:
        """Return a member by incarnation; None when gone or unknown."""
        ...


class MemberState(enum.Enum):
    """What an entry believes of a member."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen
class Member:
    """An entry as the others know it.

    Attributes
    ----------
    incarnation : str
        Names one process from its start to its end; a restarted entry has
        another one.
    host : str
        Host that it runs on.
    failure_domain : str
        Where the host stands.
    region : str
        Region of the failure domain.
    peer_address : str
        ``tcp://ip:port`` for messages between entries.
    caller_url : str
        ``http://ip:port`` or ``https://ip:port`` for callers.
    state : MemberState
        What is believed of it.
    configuration_version : int
        Last configuration version that it said was in force there.
    """

    incarnation: str
    host: str
    failure_domain: str
    region: str
    peer_address: str
    caller_url: str
    state: MemberState = MemberState.ALIVE
    configuration_version: int = 0


@attrs.frozen
class ServiceCall:
    """One call to a plain service's target.

    Attributes
    ----------
    url : str
        ``http://ip:port`` of the target.
    service : str
        Service that the target serves.
    operation : str
        Operation to call.
    workspace : str
        Workspace on whose behalf it is called.
    key : str
        Idempotency key, empty for idempotent operations.
    fencing_token : int
        Grows with each grant of a key; 0 where there is none.
    body : bytes
        Request body, JSON.
    timeout_ms : int
        Longest time for the whole answer.
    target : str
        Name of the target.
    fingerprint : str
        Names what is asked, whatever the key; empty when it is not known.
    alone : bool
        Whether the call needs a connection of its own, so that a broken one
        can't have been broken before.
    """

    url: str
    service: str
    operation: str
    workspace: str
    key: str
    fencing_token: int
    body: bytes
    timeout_ms: int
    target: str = ''
    fingerprint: str = ''
    alone: bool = False


@attrs.frozen
class ServiceAnswer:
    """A whole answer of a plain service.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type of the body.
    body : bytes
        The whole body.
    """

    status: int
    content_type: str
    body: bytes


class Services(typing.Protocol):
    """Calls to plain services.

    ``call`` raises ``TargetNotReached`` when not one byte was written and
    ``TargetAnswerLost`` when a byte may have been written and no whole
    answer came back, of which ``TargetConnectionBroken`` says that the
    connection ended under the call.
    """

    async def call(self, call: ServiceCall) -> ServiceAnswer:
        """Call an operation once; never repeats it."""
        ...
